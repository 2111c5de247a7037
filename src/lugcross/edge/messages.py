# SPDX-License-Identifier: Apache-2.0
"""Messages between edge processes, and their encoding in CBOR."""

from typing import Annotated
from typing import final

import cbor2
import msgspec

from lugcross import crash_suspects
from lugcross import drain_times
from lugcross.edge import patches
from lugcross import evacuation
from lugcross import positions
from lugcross import rate_limits
from lugcross import reachability

#: Number of requests in progress; one process never has as many as the limit.
_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
#: Longest reported age of a store answer; an older one is reported as none,
#: since past a minute it says no more than none does.
MAX_STORE_ANSWER_AGE_MS = 60_000
_StoreAnswerAgeMs = Annotated[
    int, msgspec.Meta(ge=-1, le=MAX_STORE_ANSWER_AGE_MS)
]
#: Longest reported age of a crash; the suspicion has expired by then.
MAX_CRASH_AGE_MS = int(crash_suspects.SUSPICION_TTL.total_seconds() * 1000)
_CrashAgeMs = Annotated[int, msgspec.Meta(ge=-1, le=MAX_CRASH_AGE_MS)]
_FingerprintBytes = Annotated[
    bytes,
    msgspec.Meta(
        min_length=crash_suspects.FINGERPRINT_BYTES,
        max_length=crash_suspects.FINGERPRINT_BYTES,
    ),
]
_MAX_RECORD_AGE_MS = int(drain_times.UNKNOWN_AGE.total_seconds() * 1000)
#: Longest name of a server's life or of its software version.
_MAX_NAME_CHARS = 200
_Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_CHARS)]


@final
class ServerCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a backend server while it ran a request.

    :param server: the life of the backend server that crashed.
    :param software: version of the software that it ran.
    :param age_ms: time since the crash, in milliseconds.
    :param ran_for_ms: how long the request had run there, in milliseconds.
    """

    server: _Name
    software: _Name
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_CRASH_AGE_MS)]
    ran_for_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_CRASH_AGE_MS)]


@final
class SoundRun(msgspec.Struct, frozen=True, array_like=True):
    """A run of a prompt part that crashed no backend server.

    :param run_id: the same in the reports of all processes.
    :param software: version of the software of the backend server.
    :param age_ms: time since then, in milliseconds.
    """

    run_id: Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
    software: _Name
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_CRASH_AGE_MS)]


@final
class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """Evidence about one crash suspect.

    :param suspect: fingerprint of the request or the prompt part.
    :param crashes: crashes of backend servers while they ran it.
    :param cleared_age_ms: milliseconds since it last ran to completion;
        negative if it never has.
    :param sound_runs: runs of the prompt part that crashed no server.
    """

    suspect: _FingerprintBytes
    crashes: Annotated[
        list[ServerCrash],
        msgspec.Meta(max_length=crash_suspects.MAX_CRASHES_KEPT),
    ]
    cleared_age_ms: _CrashAgeMs = -1
    sound_runs: Annotated[
        list[SoundRun],
        msgspec.Meta(max_length=crash_suspects.MAX_SOUND_RUNS_KEPT),
    ] = []


#: Longest reported age of a refusal or an accepted request; an older one has
#: no effect.
MAX_REFUSAL_AGE_MS = 60_000


@final
class ServerReport(msgspec.Struct, frozen=True, array_like=True):
    """Refusals of one backend server, as seen by one edge process.

    :param server: the life of the backend server.
    :param refusal_count: refusals since it last accepted a request.
    :param refusal_age_ms: milliseconds since the last one.
    :param accepted_age_ms: milliseconds since the last request was sent that
        it accepted after a refusal; negative if there is none.
    """

    server: _Name
    refusal_count: _Count
    refusal_age_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_REFUSAL_AGE_MS)]
    accepted_age_ms: Annotated[int, msgspec.Meta(ge=-1, le=MAX_REFUSAL_AGE_MS)]


@final
class Evacuation(msgspec.Struct, frozen=True, array_like=True):
    """Whether the operator requests the evacuation of a failure domain.

    :param position: position of the record in the store.
    """

    domain: Annotated[
        str,
        msgspec.Meta(min_length=1, max_length=evacuation.MAX_DOMAIN_CHARS),
    ]
    position: Annotated[int, msgspec.Meta(ge=0, le=positions.MAX_POSITION)]
    requested: bool


@final
class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """State of one edge process, sent to its peers in a datagram.

    :param node: name of the sender's host.
    :param incarnation: token that the sender draws at each start.
    :param domain: failure domain of the sender.
    :param state_port: port on which the sender answers state requests.
    :param leaving: whether the sender is shutting down.
    :param desired_version: version of the sender's desired state; 0 if it has
        none.
    :param backends_end: position up to which the sender has read the list of
        backend servers.
    :param running_requests: the sender's requests in progress, by backend
        server.
    :param known_addresses: addresses of other peers, ``HOST:PORT``.
    :param started_ms: start of the sender, in milliseconds since 1970 by its
        own clock; 0 while it cannot be the leader for expert maps.
    :param broken_backends: backend servers that the sender has seen in broken
        rank groups.
    :param lease_generation: generation of the sender's lease on expert maps;
        0 without one.
    :param reads_store: whether the store answered the sender's last call and,
        where it uses a lease, its last call about that.
    :param relay: whether the receiver should relay the heartbeat within its
        failure domain.
    :param sequence: increases with each heartbeat of an incarnation, so that
        a relayed heartbeat that arrives late can be ignored.
    :param workspace_uses: the sender's requests in progress, by hash of
        workspace and service (:mod:`lugcross.edge.workspace_usage`).
    :param desired_age_ms: milliseconds since the store last answered the
        sender about the desired state; negative if over a minute or never.
    :param backends_age_ms: the same about the list of backend servers.
    :param slow_backends: backend servers that slow down their rank groups.
    :param suspects: some of the crash suspects that the sender knows of.
    :param leaving_backends: backend servers whose responses say that they are
        leaving while their entry does not say so yet.
    :param server_reports: backend servers that have lately refused requests
        of the sender, or accepted one after that.
    :param server_limits: some of the limits that backend servers state.
    :param evacuations: failure domains that are evacuated, and those whose
        evacuation was withdrawn lately; None from an older build, which knows
        of none.
    :param cold_servers: backend servers whose responses have just told the
        sender that they are cold.
    :param unreachable_domains: failure domains whose backend servers the
        sender could not connect to.
    :param has_all_records: whether the sender has read all records before
        ``backends_end``; an older build may have skipped some.
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
    desired_age_ms: _StoreAnswerAgeMs = -1
    backends_age_ms: _StoreAnswerAgeMs = -1
    slow_backends: list[str] = []
    suspects: list[Suspect] = []
    leaving_backends: list[_Name] = []
    server_reports: list[ServerReport] = []
    server_limits: list[rate_limits.ServerLimitMessage] = []
    evacuations: (
        Annotated[
            list[Evacuation],
            msgspec.Meta(max_length=evacuation.MAX_RECORDS_TO_SEND),
        ]
        | None
    ) = None
    cold_servers: Annotated[
        list[rate_limits.ColdServerMessage],
        msgspec.Meta(max_length=rate_limits.MAX_COLD_MESSAGES),
    ] = []
    unreachable_domains: Annotated[
        list[_Name],
        msgspec.Meta(max_length=reachability.MAX_REPORTED_DOMAINS),
    ] = []
    has_all_records: bool = False

    @property
    def covered_end(self) -> positions.Position:
        """Position before which the sender has all records of servers."""
        if not self.has_all_records:
            return positions.START
        return positions.Position(self.backends_end)


@final
class RelayedHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat from another failure domain, relayed within this one.

    :param origin: address of the process that sent it first, ``HOST:PORT``.
    """

    origin: str
    heartbeat: Heartbeat


#: Number of fields by which a received array is recognized as a
#: :class:`RelayedHeartbeat`.
_RELAYED_FIELD_COUNT = 2


@final
class StateRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request to a peer for state newer than the sender's.

    :param desired_version: version of the sender's desired state.
    :param backends_end: position up to which the sender has read the list of
        backend servers.
    :param digest: digest of the sender's desired-state record; empty if it has
        none. ``None`` means an older release that understands only whole,
        uncompressed records.
    """

    desired_version: int
    backends_end: int
    digest: bytes | None = None


@final
class BackendRecord(msgspec.Struct, frozen=True, array_like=True):
    """Newest record of one backend server; the value is empty if removed.

    :param age_ms: greatest time in milliseconds since the store confirmed that
        the server is leaving or gone; negative if unknown.
    :param uncertain: whether the entry may be missing only because the store
        was away.
    """

    key: str
    position: int
    value: bytes
    age_ms: Annotated[int, msgspec.Meta(ge=-1, le=_MAX_RECORD_AGE_MS)] = -1
    uncertain: bool = False


@final
class StateResponse(msgspec.Struct, frozen=True, array_like=True):
    """A peer's newer state, in response to a :class:`StateRequest`.

    At most one of ``desired``, ``compressed`` and ``patch`` is set; none if
    the requester's desired state is up to date.

    :param desired: the whole desired-state record, for older releases.
    :param backends_end: position up to which the responder has read the list
        of backend servers.
    :param backends: records of backend servers from the requested position on.
    :param compressed: the record compressed (see :func:`patches.decompress`).
    :param patch: patch from the requester's record to the responder's.
    :param has_all_records: as in :class:`Heartbeat`.
    """

    desired: bytes
    backends_end: int
    backends: list[BackendRecord]
    compressed: bytes = b""
    patch: patches.Patch | None = None
    has_all_records: bool = False


def encode(message: msgspec.Struct) -> bytes:
    """Return a message encoded as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_datagram(data: bytes) -> Heartbeat | RelayedHeartbeat:
    """Return the heartbeat in a datagram.

    :raises cbor2.CBORDecodeError: if the data is not valid CBOR.
    :raises msgspec.ValidationError: if it is neither kind of heartbeat.
    """
    raw = cbor2.loads(data)
    if isinstance(raw, list) and len(raw) == _RELAYED_FIELD_COUNT:
        return msgspec.convert(raw, RelayedHeartbeat, builtin_types=(bytes,))
    return msgspec.convert(raw, Heartbeat, builtin_types=(bytes,))


def decode_state_request(frame: str | bytes) -> StateRequest:
    """Return the request in a WebSocket frame.

    :raises: as :func:`decode_datagram` does.
    """
    raw = cbor2.loads(_as_bytes(frame))
    return msgspec.convert(raw, StateRequest, builtin_types=(bytes,))


def decode_state_response(frame: str | bytes) -> StateResponse:
    """Return the response in a WebSocket frame.

    :raises: as :func:`decode_datagram` does.
    """
    raw = cbor2.loads(_as_bytes(frame))
    return msgspec.convert(raw, StateResponse, builtin_types=(bytes,))


def _as_bytes(frame: str | bytes) -> bytes:
    return frame.encode() if isinstance(frame, str) else frame
