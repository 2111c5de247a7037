# SPDX-License-Identifier: Apache-2.0
"""Between the schema's messages and the configuration's objects."""

import functools

from lugcross import cfg
from lugcross.rpc import lugcross_pb2 as pb

_TYPES = {
    cfg.ServiceType.MODEL: pb.SERVICE_TYPE_MODEL,
    cfg.ServiceType.PLAIN: pb.SERVICE_TYPE_PLAIN,
}
_TYPES_BACK = {value: key for key, value in _TYPES.items()}

_AWAY = {
    cfg.OnceLogAway.REFUSE: pb.ONCE_LOG_AWAY_REFUSE,
    cfg.OnceLogAway.MEMORY: pb.ONCE_LOG_AWAY_MEMORY,
}
_AWAY_BACK = {value: key for key, value in _AWAY.items()}

KINDS = {
    cfg.Kind.GROUP: pb.KIND_GROUP,
    cfg.Kind.WORKSPACE: pb.KIND_WORKSPACE,
    cfg.Kind.SERVICE: pb.KIND_SERVICE,
    cfg.Kind.BACKEND: pb.KIND_BACKEND,
    cfg.Kind.MODEL_GROUP: pb.KIND_MODEL_GROUP,
}
KINDS_BACK = {value: key for key, value in KINDS.items()}

STANDINGS = {
    cfg.Standing.ACCEPTED: pb.STANDING_ACCEPTED,
    cfg.Standing.REJECTED: pb.STANDING_REJECTED,
    cfg.Standing.NOT_KNOWN_YET: pb.STANDING_NOT_KNOWN_YET,
    cfg.Standing.NOT_APPENDED: pb.STANDING_NOT_APPENDED,
}

#: Any object of the schema.
Message = (
    pb.WorkspaceGroup
    | pb.Workspace
    | pb.Service
    | pb.BackendServer
    | pb.ModelGroup
)


@functools.singledispatch
def to_object(msg: Message) -> cfg.Object:
    """Return the configuration's object for a message."""
    raise NotImplementedError(type(msg).__name__)


@to_object.register
def _(msg: pb.WorkspaceGroup) -> cfg.Object:
    return cfg.WorkspaceGroup(
        name=msg.name, share=msg.share, priority=msg.priority
    )


@to_object.register
def _(msg: pb.Workspace) -> cfg.Object:
    return cfg.Workspace(
        name=msg.name,
        group=msg.group,
        key_hashes=tuple(msg.key_hashes),
        max_inflight=msg.max_inflight,
    )


@to_object.register
def _(msg: pb.Service) -> cfg.Object:
    # A type that this version does not know is treated as plain: the
    # fewest things are then assumed of what stands behind it.
    return cfg.Service(
        name=msg.name,
        type=_TYPES_BACK.get(msg.type, cfg.ServiceType.PLAIN),
        repeatable=msg.repeatable,
        timeout_s=msg.timeout_s,
        max_body=msg.max_body,
        max_queue=msg.max_queue,
        resumable=msg.resumable,
        once_log_away=_AWAY_BACK.get(
            msg.once_log_away, cfg.OnceLogAway.REFUSE
        ),
    )


@to_object.register
def _(msg: pb.BackendServer) -> cfg.Object:
    return cfg.BackendServer(
        name=msg.name,
        domain=msg.domain,
        host=msg.host,
        port=msg.port,
        services=tuple(msg.services),
        capacity=msg.capacity,
        checks_orders=msg.checks_orders,
        leaving=msg.leaving,
    )


@to_object.register
def _(msg: pb.ModelGroup) -> cfg.Object:
    return cfg.ModelGroup(
        name=msg.name,
        service=msg.service,
        ranks=tuple(msg.ranks),
        experts=msg.experts,
        layers=msg.layers,
    )


@functools.singledispatch
def to_message(obj: cfg.Object) -> Message:
    """Return the message for an object of the configuration."""
    raise NotImplementedError(type(obj).__name__)


@to_message.register
def _(obj: cfg.WorkspaceGroup) -> Message:
    return pb.WorkspaceGroup(
        name=obj.name, share=obj.share, priority=obj.priority
    )


@to_message.register
def _(obj: cfg.Workspace) -> Message:
    return pb.Workspace(
        name=obj.name,
        group=obj.group,
        key_hashes=obj.key_hashes,
        max_inflight=obj.max_inflight,
    )


@to_message.register
def _(obj: cfg.Service) -> Message:
    return pb.Service(
        name=obj.name,
        type=_TYPES[obj.type],
        repeatable=obj.repeatable,
        timeout_s=obj.timeout_s,
        max_body=obj.max_body,
        max_queue=obj.max_queue,
        resumable=obj.resumable,
        once_log_away=_AWAY[obj.once_log_away],
    )


@to_message.register
def _(obj: cfg.BackendServer) -> Message:
    return pb.BackendServer(
        name=obj.name,
        domain=obj.domain,
        host=obj.host,
        port=obj.port,
        services=obj.services,
        capacity=obj.capacity,
        checks_orders=obj.checks_orders,
        leaving=obj.leaving,
    )


@to_message.register
def _(obj: cfg.ModelGroup) -> Message:
    return pb.ModelGroup(
        name=obj.name,
        service=obj.service,
        ranks=obj.ranks,
        experts=obj.experts,
        layers=obj.layers,
    )


_FIELDS: dict[type, str] = {
    pb.WorkspaceGroup: "group",
    pb.Workspace: "workspace",
    pb.Service: "service",
    pb.BackendServer: "backend",
    pb.ModelGroup: "model_group",
}


def to_item(item: cfg.Item) -> pb.Item:
    """Return the message for an object with its revision."""
    msg = pb.Item(
        revision=item.revision, author=item.author, change_id=item.id
    )
    inner = to_message(item.obj)
    getattr(msg, _FIELDS[type(inner)]).CopyFrom(inner)
    return msg


def object_of(item: pb.Item) -> cfg.Object:
    """Return the configuration's object inside an item."""
    field = item.WhichOneof("object")
    assert field is not None
    return to_object(getattr(item, field))


def to_reply(receipt: cfg.Receipt) -> pb.ChangeReply:
    """Return the message that tells what became of a change."""
    return pb.ChangeReply(
        change_id=receipt.id,
        standing=STANDINGS[receipt.standing],
        reason=receipt.reason,
        offset=receipt.offset,
        current_revision=receipt.current,
        current_author=receipt.holder,
    )
