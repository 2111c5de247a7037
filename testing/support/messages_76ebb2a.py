# SPDX-License-Identifier: Apache-2.0
"""Types of messages and records of commit 76ebb2a, as processes decode them.

A process of that build stays beside newer ones while hosts are replaced. The
definitions are copied and don't change.
"""

from typing import Annotated
from typing import Any
from typing import final

import cbor2
import msgspec

# Values of crash_suspects at that commit.
_FINGERPRINT_BYTES = 16
_MAX_CRASHES_KEPT = 5

#: Number of requests in progress; one process never has as many as the limit.
_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
#: Longest reported age of a store answer; an older one is reported as none.
MAX_STORE_ANSWER_AGE_MS = 60_000
_StoreAnswerAgeMs = Annotated[
    int, msgspec.Meta(ge=-1, le=MAX_STORE_ANSWER_AGE_MS)
]
#: Longest reported age of a crash; the suspicion has expired by then.
MAX_CRASH_AGE_MS = 600_000
_CrashAgeMs = Annotated[int, msgspec.Meta(ge=-1, le=MAX_CRASH_AGE_MS)]
_FingerprintBytes = Annotated[
    bytes,
    msgspec.Meta(
        min_length=_FINGERPRINT_BYTES,
        max_length=_FINGERPRINT_BYTES,
    ),
]
#: Longest name of a server's life or of its software version.
_MAX_NAME_CHARS = 200
_Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_CHARS)]


@final
class ServerCrash(msgspec.Struct, frozen=True, array_like=True):
    server: _Name
    software: _Name
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_CRASH_AGE_MS)]
    ran_for_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_CRASH_AGE_MS)]


@final
class Suspect(msgspec.Struct, frozen=True, array_like=True):
    request: _FingerprintBytes
    crashes: Annotated[
        list[ServerCrash],
        msgspec.Meta(max_length=_MAX_CRASHES_KEPT),
    ]
    cleared_age_ms: _CrashAgeMs = -1


#: Longest reported age of a refusal or an accepted request; an older one has
#: no effect.
MAX_REFUSAL_AGE_MS = 60_000


@final
class ServerReport(msgspec.Struct, frozen=True, array_like=True):
    server: _Name
    refusal_count: _Count
    refusal_age_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_REFUSAL_AGE_MS)]
    accepted_age_ms: Annotated[int, msgspec.Meta(ge=-1, le=MAX_REFUSAL_AGE_MS)]


#: Longest reported age of a server's limit.
MAX_LIMIT_AGE_MS = 3_600_000


@final
class ServerLimit(msgspec.Struct, frozen=True, array_like=True):
    server: _Name
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] | None
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_LIMIT_AGE_MS)]


@final
class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    node: str
    incarnation: str
    domain: str
    state_port: int
    leaving: bool
    desired_version: int
    backends_end: int
    running_requests: dict[str, _Count]
    known_addresses: list[str]
    started_ms: int = 0
    broken_backends: list[str] = []
    lease_generation: int = 0
    reads_store: bool = False
    relay: bool = False
    sequence: int = 0
    workspace_uses: dict[int, _Count] = {}
    desired_age_ms: _StoreAnswerAgeMs = -1
    backends_age_ms: _StoreAnswerAgeMs = -1
    slow_backends: list[str] = []
    suspects: list[Suspect] = []
    leaving_backends: list[_Name] = []
    server_reports: list[ServerReport] = []
    server_limits: list[ServerLimit] = []


@final
class RelayedHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    origin: str
    heartbeat: Heartbeat


_RELAYED_FIELD_COUNT = 2


@final
class Splice(msgspec.Struct, frozen=True, array_like=True):
    start: int
    count: int
    inserted: bytes = b""


@final
class Patch(msgspec.Struct, frozen=True, array_like=True):
    digest: bytes
    splices: list[Splice]


@final
class StateRequest(msgspec.Struct, frozen=True, array_like=True):
    desired_version: int
    backends_end: int
    digest: bytes | None = None


@final
class BackendRecord(msgspec.Struct, frozen=True, array_like=True):
    key: str
    position: int
    value: bytes


@final
class StateResponse(msgspec.Struct, frozen=True, array_like=True):
    desired: bytes
    backends_end: int
    backends: list[BackendRecord]
    compressed: bytes = b""
    patch: Patch | None = None


@final
class StoredSuspect(msgspec.Struct, frozen=True, array_like=True):
    suspect: Suspect
    written_ms: int


@final
class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    holder: str
    generation: int
    released: bool = False


def encode(message: msgspec.Struct) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(data: bytes, cls: type) -> Any:
    return msgspec.convert(cbor2.loads(data), cls, builtin_types=(bytes,))


def decode_datagram(data: bytes) -> Heartbeat | RelayedHeartbeat:
    raw = cbor2.loads(data)
    if isinstance(raw, list) and len(raw) == _RELAYED_FIELD_COUNT:
        return msgspec.convert(raw, RelayedHeartbeat, builtin_types=(bytes,))
    return msgspec.convert(raw, Heartbeat, builtin_types=(bytes,))


def node_addresses(records: list[bytes]) -> list[str]:
    found = []
    for record in records:
        text = record.decode("ascii", "replace")
        host, _, port = text.rpartition(":")
        if host and port.isdigit():
            found.append(text)
    return found
