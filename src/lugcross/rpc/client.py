# SPDX-License-Identifier: Apache-2.0
"""The operators' client of the schema's calls."""

import functools
from typing import Any
from typing import final
from typing import TypeVar

import grpc

from lugcross import cfg
from lugcross import errors
from lugcross import ids
from lugcross.rpc import convert
from lugcross.rpc import lugcross_pb2 as pb
from lugcross.rpc import lugcross_pb2_grpc as pb_grpc
from lugcross.rpc import roles

_TIMEOUT_S = 10.0

_M = TypeVar("_M")


@final
class CallError(errors.LugcrossError):
    """A call that an entry host did not carry out."""


@final
class OperatorClient:
    """Calls one entry host.

    :param target: IP number and port of its RPC server.
    :param token: the operator's token.
    """

    def __init__(self, target: str, token: str) -> None:
        self._target = target
        self._channel = grpc.insecure_channel(target)
        self._stub = pb_grpc.OperatorStub(self._channel)  # type: ignore
        self._metadata = ((roles.METADATA, f"Bearer {token}"),)

    def put(
        self, obj: cfg.Object, *, expect: int, change_id: str = ""
    ) -> pb.ChangeReply:
        """Create or replace an object.

        :param expect: revision that the author saw; 0 for a new one.
        """
        return self._call(
            *_put_call(convert.to_message(obj)), expect, change_id
        )

    def remove(
        self, ref: cfg.Ref, *, expect: int, change_id: str = ""
    ) -> pb.ChangeReply:
        """Remove an object."""
        req = pb.RemoveRequest(kind=convert.KINDS[ref.kind], name=ref.name)
        return self._call("Remove", req, expect, change_id)

    def set_leaving(
        self, backend: str, leaving: bool, *, expect: int, change_id: str = ""
    ) -> pb.ChangeReply:
        """Let a backend server leave, or come back."""
        req = pb.SetLeavingRequest(backend=backend, leaving=leaving)
        return self._call("SetLeaving", req, expect, change_id)

    def change(self, change_id: str) -> pb.ChangeReply:
        """Ask what became of a change."""
        return self._send(
            "GetChange",
            pb.GetChangeRequest(change_id=change_id),
            pb.ChangeReply,
        )

    def config(self) -> pb.Config:
        """Return the configuration in force."""
        return self._send("GetConfig", pb.GetConfigRequest(), pb.Config)

    def status(self) -> pb.NodeStatus:
        """Return how the entry host stands."""
        return self._send("GetStatus", pb.GetStatusRequest(), pb.NodeStatus)

    def explain(self, subject: str) -> pb.ExplainReply:
        """Return what the entry host decided about a subject."""
        return self._send(
            "Explain", pb.ExplainRequest(subject=subject), pb.ExplainReply
        )

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    def _call(
        self, method: str, req: Any, expect: int, change_id: str
    ) -> pb.ChangeReply:
        req.meta.change_id = change_id or ids.new_token()
        req.meta.expected_revision = expect
        return self._send(method, req, pb.ChangeReply)

    def _send(self, method: str, req: Any, reply: type[_M]) -> _M:
        try:
            answer = getattr(self._stub, method)(
                req, timeout=_TIMEOUT_S, metadata=self._metadata
            )
        except grpc.RpcError as exc:
            raise CallError(
                f"{method} at {self._target}: {exc.details()}",
                remedy="check the address, the token and its role",
            ) from exc
        assert isinstance(answer, reply)
        return answer


@functools.singledispatch
def _put_call(msg: Any) -> tuple[str, Any]:
    raise NotImplementedError(type(msg).__name__)


@_put_call.register
def _(msg: pb.WorkspaceGroup) -> tuple[str, Any]:
    return "PutGroup", pb.PutGroupRequest(group=msg)


@_put_call.register
def _(msg: pb.Workspace) -> tuple[str, Any]:
    return "PutWorkspace", pb.PutWorkspaceRequest(workspace=msg)


@_put_call.register
def _(msg: pb.Service) -> tuple[str, Any]:
    return "PutService", pb.PutServiceRequest(service=msg)


@_put_call.register
def _(msg: pb.BackendServer) -> tuple[str, Any]:
    return "PutBackend", pb.PutBackendRequest(backend=msg)


@_put_call.register
def _(msg: pb.ModelGroup) -> tuple[str, Any]:
    return "PutModelGroup", pb.PutModelGroupRequest(model_group=msg)
