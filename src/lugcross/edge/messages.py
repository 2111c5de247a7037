# SPDX-License-Identifier: Apache-2.0
"""What edge processes say to each other, and how it is written."""

from typing import Annotated
from typing import final

import cbor2
import msgspec

from lugcross import crash_suspects
from lugcross.edge import patches

#: Requests in progress: far more than one process could have.
_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
#: Longest age of an answer that is told, in milliseconds: past a minute it
#: tells no more than none does.
MAX_AGE_MS = 60_000
_AgeMs = Annotated[int, msgspec.Meta(ge=-1, le=MAX_AGE_MS)]
#: The same of what speaks against a request; older has lapsed.
MAX_CRASH_AGE_MS = int(crash_suspects.SUSPICION_TTL.total_seconds() * 1000)
_CrashAgeMs = Annotated[int, msgspec.Meta(ge=-1, le=MAX_CRASH_AGE_MS)]
_FingerprintBytes = Annotated[
    bytes,
    msgspec.Meta(
        min_length=crash_suspects.FINGERPRINT_BYTES,
        max_length=crash_suspects.FINGERPRINT_BYTES,
    ),
]
#: Longest name of a server's life, and of its software, in characters.
_MAX_NAME_CHARS = 200
_Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_CHARS)]


@final
class ServerCrash(msgspec.Struct, frozen=True, array_like=True):
    """A server that ended while it ran a request.

    :param age_ms: how long ago.
    :param ran_for_ms: how long the request had run there.
    """

    server: _Name
    software: _Name
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_CRASH_AGE_MS)]
    ran_for_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_CRASH_AGE_MS)]


@final
class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """What speaks for and against one request.

    :param cleared_age_ms: how long ago it ran to completion; negative if it
        has not.
    """

    request: _FingerprintBytes
    crashes: Annotated[
        list[ServerCrash],
        msgspec.Meta(max_length=crash_suspects.MAX_CRASHES_KEPT),
    ]
    cleared_age_ms: _CrashAgeMs = -1


@final
class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """One datagram.

    :param incarnation: drawn anew at each start.
    :param state_port: where the sender answers questions.
    :param desired_version: version of its desired state; 0 if it has none.
    :param backends_end: how far it has read the list of backend servers.
    :param running_requests: its requests in progress, by backend server.
    :param known_addresses: addresses of peers that it knows, ``HOST:PORT``.
    :param started_ms: when it started, by its time of day, if it can look
        after expert maps; 0 if it cannot now.
    :param broken_backends: backend servers that it has seen in broken groups.
    :param lease_generation: number of its lease of expert maps; 0 without one.
    :param reads_store: whether the store answered its last call.
    :param relay: whether the receiver should pass it on to its domain.
    :param sequence: rises with each datagram of an incarnation: one that was
        passed on may arrive after a later one.
    :param workspace_uses: its requests in progress by workspace and service,
        which stand as numbers (:mod:`lugcross.edge.workspace_usage`).
    :param desired_age_ms: how long ago the store answered it about the desired
        state; less than 0 if it has not for a minute.
    :param backends_age_ms: the same about the list of backend servers.
    :param slow_backends: backend servers that hold their groups back.
    :param suspects: requests under which servers have ended, as far as the
        sender knows; some of them in each datagram.
    :param leaving_backends: backend servers that say in their answers that
        they leave, as long as the list does not say so.
    """

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
    desired_age_ms: _AgeMs = -1
    backends_age_ms: _AgeMs = -1
    slow_backends: list[str] = []
    suspects: list[Suspect] = []
    leaving_backends: list[_Name] = []


@final
class RelayedHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A datagram of another failure domain, passed on within this one.

    :param origin: who sent it, ``HOST:PORT``.
    """

    origin: str
    heartbeat: Heartbeat


#: Fields of a :class:`RelayedHeartbeat`, by which it is told from a
#: :class:`Heartbeat`.
_RELAYED_FIELD_COUNT = 2


@final
class StateRequest(msgspec.Struct, frozen=True, array_like=True):
    """Question for what is newer than this.

    :param digest: of the desired state's record that the sender has; empty
        if it has none. Processes of an older release send none, and take
        nothing but whole records as they are.
    """

    desired_version: int
    backends_end: int
    digest: bytes | None = None


@final
class BackendRecord(msgspec.Struct, frozen=True, array_like=True):
    """Newest record of one backend server; no value if it is gone."""

    key: str
    position: int
    value: bytes


@final
class StateResponse(msgspec.Struct, frozen=True, array_like=True):
    """Answer: the desired state and backend servers' records, if newer.

    :param desired: the record as it is, for older releases.
    :param compressed: the record compressed (:func:`patches.decompress`).
    :param patch: what leads to the record from the one that was named.
    """

    desired: bytes
    backends_end: int
    backends: list[BackendRecord]
    compressed: bytes = b""
    patch: patches.Patch | None = None


def encode(message: msgspec.Struct) -> bytes:
    """Return a message as bytes."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_datagram(data: bytes) -> Heartbeat | RelayedHeartbeat:
    """Return the message in a datagram.

    :raises cbor2.CBORDecodeError: when it is not readable at all.
    :raises msgspec.ValidationError: when it is neither message.
    """
    raw = cbor2.loads(data)
    if isinstance(raw, list) and len(raw) == _RELAYED_FIELD_COUNT:
        return msgspec.convert(raw, RelayedHeartbeat, builtin_types=(bytes,))
    return msgspec.convert(raw, Heartbeat, builtin_types=(bytes,))


def decode_state_request(frame: str | bytes) -> StateRequest:
    """Return the question in a frame; raises as for datagrams."""
    raw = cbor2.loads(_as_bytes(frame))
    return msgspec.convert(raw, StateRequest, builtin_types=(bytes,))


def decode_state_response(frame: str | bytes) -> StateResponse:
    """Return the answer in a frame; raises as for datagrams."""
    raw = cbor2.loads(_as_bytes(frame))
    return msgspec.convert(raw, StateResponse, builtin_types=(bytes,))


def _as_bytes(frame: str | bytes) -> bytes:
    return frame.encode() if isinstance(frame, str) else frame
