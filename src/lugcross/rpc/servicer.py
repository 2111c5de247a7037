# SPDX-License-Identifier: Apache-2.0
"""Serves the operators' calls on an entry host."""

from collections.abc import Callable
from concurrent import futures
from typing import final

from absl import logging
import grpc

from lugcross import cfg
from lugcross import clock as clock_lib
from lugcross import ids
from lugcross import observe
from lugcross.rpc import convert
from lugcross.rpc import lugcross_pb2 as pb
from lugcross.rpc import lugcross_pb2_grpc as pb_grpc
from lugcross.rpc import roles as roles_lib

_THREADS = 4
_GRACE_S = 1.0
_VIEWER = cfg.settings.Role.VIEWER
_EDITOR = cfg.settings.Role.EDITOR

Context = grpc.ServicerContext


@final
class OperatorServicer(pb_grpc.OperatorServicer):
    """The calls of the schema, over one process's configuration.

    :param status: tells how this process stands.
    """

    def __init__(
        self,
        store: cfg.Store,
        publisher: cfg.Publisher,
        roles: roles_lib.Roles,
        journal: observe.DecisionJournal,
        *,
        status: Callable[[], pb.NodeStatus],
        clock: clock_lib.Clock,
    ) -> None:
        self._store = store
        self._publisher = publisher
        self._roles = roles
        self._journal = journal
        self._status = status
        self._clock = clock

    def PutGroup(
        self, request: pb.PutGroupRequest, context: Context
    ) -> pb.ChangeReply:
        """Create or replace a workspace group."""
        return self._put(request.meta, request.group, context)

    def PutWorkspace(
        self, request: pb.PutWorkspaceRequest, context: Context
    ) -> pb.ChangeReply:
        """Create or replace a workspace."""
        return self._put(request.meta, request.workspace, context)

    def PutService(
        self, request: pb.PutServiceRequest, context: Context
    ) -> pb.ChangeReply:
        """Create or replace a service."""
        return self._put(request.meta, request.service, context)

    def PutBackend(
        self, request: pb.PutBackendRequest, context: Context
    ) -> pb.ChangeReply:
        """Create or replace a backend server."""
        return self._put(request.meta, request.backend, context)

    def PutModelGroup(
        self, request: pb.PutModelGroupRequest, context: Context
    ) -> pb.ChangeReply:
        """Create or replace a model group."""
        return self._put(request.meta, request.model_group, context)

    def SetLeaving(
        self, request: pb.SetLeavingRequest, context: Context
    ) -> pb.ChangeReply:
        """Let a backend server leave, or come back."""
        author = self._roles.check(context, _EDITOR)
        backend = self._store.config.backends.get(request.backend)
        if backend is None:
            context.abort(
                grpc.StatusCode.NOT_FOUND,
                f"there is no backend server {request.backend!r}; "
                "see: lugcross ctl config",
            )
        return self._publish(
            request.meta,
            cfg.Put(cfg.with_leaving(backend, request.leaving)),
            author,
        )

    def Remove(
        self, request: pb.RemoveRequest, context: Context
    ) -> pb.ChangeReply:
        """Remove an object."""
        author = self._roles.check(context, _EDITOR)
        kind = convert.KINDS_BACK.get(request.kind)
        if kind is None:
            context.abort(
                grpc.StatusCode.INVALID_ARGUMENT,
                "the kind is not set; name the kind of the object",
            )
        return self._publish(
            request.meta, cfg.Remove(kind, request.name), author
        )

    def GetChange(
        self, request: pb.GetChangeRequest, context: Context
    ) -> pb.ChangeReply:
        """Tell what became of a change."""
        self._roles.check(context, _VIEWER)
        return convert.to_reply(
            self._publisher.ask(ids.ChangeId(request.change_id))
        )

    def GetConfig(
        self, request: pb.GetConfigRequest, context: Context
    ) -> pb.Config:
        """Return the whole configuration in force here."""
        del request
        self._roles.check(context, _VIEWER)
        config = self._store.config
        items = (convert.to_item(item) for item in config.items.values())
        return pb.Config(offset=config.offset, items=items)

    def GetStatus(
        self, request: pb.GetStatusRequest, context: Context
    ) -> pb.NodeStatus:
        """Tell how this entry host stands."""
        del request
        self._roles.check(context, _VIEWER)
        return self._status()

    def Explain(
        self, request: pb.ExplainRequest, context: Context
    ) -> pb.ExplainReply:
        """Return what this process decided about a subject."""
        self._roles.check(context, _VIEWER)
        decisions = self._journal.decisions_about(request.subject)
        return pb.ExplainReply(
            decisions=[_decision(item) for item in decisions],
            overwritten=self._journal.overwritten,
        )

    def _put(
        self, meta: pb.ChangeMeta, msg: convert.Message, context: Context
    ) -> pb.ChangeReply:
        author = self._roles.check(context, _EDITOR)
        return self._publish(meta, cfg.Put(convert.to_object(msg)), author)

    def _publish(
        self, meta: pb.ChangeMeta, op: cfg.Put | cfg.Remove, author: str
    ) -> pb.ChangeReply:
        change = cfg.Change(
            id=ids.ChangeId(meta.change_id or ids.new_token()),
            author=author,
            at=self._clock.now().timestamp(),
            expect=ids.Revision(meta.expected_revision),
            op=op,
        )
        return convert.to_reply(self._publisher.publish(change))


def _decision(item: observe.Decision) -> pb.Decision:
    return pb.Decision(
        at=item.at,
        node=item.node,
        topic=item.topic.value,
        subject=item.subject,
        rule=item.rule,
        result=item.result,
        inputs=[f"{one.name}: {one.value}" for one in item.inputs],
    )


@final
class RpcServer:
    """The gRPC server of one entry host."""

    def __init__(
        self, servicer: OperatorServicer, address: cfg.settings.Address
    ) -> None:
        self._server = grpc.server(
            futures.ThreadPoolExecutor(
                max_workers=_THREADS, thread_name_prefix="rpc"
            )
        )
        pb_grpc.add_OperatorServicer_to_server(  # type: ignore
            servicer, self._server
        )
        self._address = address
        self.port = address.port

    def start(self) -> None:
        """Listen and serve."""
        self.port = self._server.add_insecure_port(
            f"{self._address.host}:{self._address.port}"
        )
        self._server.start()
        logging.info("listening", extra={"what": "rpc", "port": self.port})

    def stop(self) -> None:
        """Finish the calls in progress and stop."""
        self._server.stop(_GRACE_S).wait()
