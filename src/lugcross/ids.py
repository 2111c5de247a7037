# SPDX-License-Identifier: Apache-2.0
"""Identifier types, distinct so that the type checker finds mix-ups."""

import secrets
from typing import NewType

#: Name of a workspace group in the configuration.
WorkspaceGroupName = NewType("WorkspaceGroupName", str)
#: Name of a workspace in the configuration.
WorkspaceName = NewType("WorkspaceName", str)
#: Name of a service in the configuration.
ServiceName = NewType("ServiceName", str)
#: Name of a backend server in the configuration.
BackendName = NewType("BackendName", str)
#: Name of a model group (ranks that run in lockstep) in the configuration.
ModelGroupName = NewType("ModelGroupName", str)
#: Name of a failure domain, from settings.
DomainName = NewType("DomainName", str)
#: Name of a lugcross process, from its settings.
NodeName = NewType("NodeName", str)
#: Random at each process start; distinguishes a restart from a pause.
Incarnation = NewType("Incarnation", str)
#: Chosen by the caller (``X-Request-Id``) or by the entry host.
RequestId = NewType("RequestId", str)
#: A caller's ``Idempotency-Key``, scoped to its workspace and service.
IdempotencyKey = NewType("IdempotencyKey", str)
#: Chosen by the operator; identifies a change whose response was lost.
ChangeId = NewType("ChangeId", str)
#: Offset of a record in a stream of the platform's log, starting at 1.
Offset = NewType("Offset", int)
#: Offset of the last change to an object; 0 if the object does not exist.
Revision = NewType("Revision", int)
#: Number of a request/response exchange on a link.
StreamId = NewType("StreamId", int)

_TOKEN_BYTES = 12


def new_token() -> str:
    """Return a random hexadecimal token for unique ids."""
    return secrets.token_hex(_TOKEN_BYTES)


__all__ = [
    "BackendName",
    "ChangeId",
    "DomainName",
    "IdempotencyKey",
    "Incarnation",
    "ModelGroupName",
    "NodeName",
    "Offset",
    "RequestId",
    "Revision",
    "ServiceName",
    "StreamId",
    "WorkspaceGroupName",
    "WorkspaceName",
    "new_token",
]
