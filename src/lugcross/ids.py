# SPDX-License-Identifier: Apache-2.0
"""Identifiers, each a type of its own, so that none stands for another."""

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
#: Name of a model group (ranks in lock-step) in the configuration.
ModelGroupName = NewType("ModelGroupName", str)
#: Name of a failure domain, from settings.
DomainName = NewType("DomainName", str)
#: Name of one process of the system, from settings.
NodeName = NewType("NodeName", str)
#: Drawn anew at each start of a process: tells a restart from a pause.
Incarnation = NewType("Incarnation", str)
#: Chosen by the caller (``X-Request-Id``) or by the entry host.
RequestId = NewType("RequestId", str)
#: A caller's ``Idempotency-Key``, scoped to its workspace and service.
IdempotencyKey = NewType("IdempotencyKey", str)
#: Chosen by the operator; settles an append whose answer was lost.
ChangeId = NewType("ChangeId", str)
#: Position of a record in one stream of the platform's log, from 1.
Offset = NewType("Offset", int)
#: Offset of the change that last set an object; 0 where there is none.
Revision = NewType("Revision", int)
#: Number of one exchange on one link.
StreamId = NewType("StreamId", int)

_TOKEN_BYTES = 12


def new_token() -> str:
    """Return a random token for ids that must not repeat."""
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
