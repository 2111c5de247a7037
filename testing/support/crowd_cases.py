# SPDX-License-Identifier: Apache-2.0
"""Crowds of clients that don't behave, and the bounds that hold under them.

The limits are those of one process in these tests, far below those of a host,
so that a small crowd reaches them. The bounds follow from the limits: memory
is that of the host, and descriptors are what the host leaves to sockets.
"""

import dataclasses
import enum
import random
from typing import final

import cbor2


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Settings of the process and limits of the desired state.

    :param memory_mb: memory of the host; also the bound on what the process
        uses, data that its sockets have received and it has not read
        included.
    :param file_descriptors: descriptors that the process may have open.
    :param header_ms: longer than any test, as is ``idle_ms``: no crowd ends
        by itself.
    :param timeout_ms: timeout of the route.
    :param large_answer_bytes: body of a large answer of the backend server.
    """

    memory_mb: float = 96.0
    file_descriptors: int = 512
    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: int = 600_000
    idle_ms: int = 600_000
    timeout_ms: int = 20_000
    large_answer_bytes: int = 1_000_000


LIMITS = Limits()
#: Bound on the memory of the process.
MAX_MEMORY_MB = LIMITS.memory_mb
#: Bound on its descriptors: hosts reserve 200 of 4,100 for files.
MAX_DESCRIPTORS = int(LIMITS.file_descriptors * (4_100 - 200) / 4_100)


class Port(enum.Enum):
    """A listening address of the process, by its name in the settings."""

    CALLERS = "callers"
    READY = "ready"
    METRICS = "metrics"
    STATE = "state"
    PEERS = "peers"


class End(enum.Enum):
    """What a client does after it has sent what it can.

    ``STAY``: keeps its connection open and reads nothing.
    ``FINISH``: closes its sending side, and reads nothing.
    ``RESET``: resets its connection.
    ``TRICKLE``: goes on sending one byte at a time, with pauses.
    """

    STAY = "stay"
    FINISH = "finish"
    RESET = "reset"
    TRICKLE = "trickle"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Crowd:
    """Clients that all do the same. None of them reads anything.

    :param clients: number of clients of one wave.
    :param waves: number of waves, one after the other.
    :param opening: bytes that each sends first.
    :param repeated: bytes that each sends then, ``repeats`` times, as far as
        they are taken.
    """

    port: Port
    clients: int
    waves: int = 1
    opening: bytes = b""
    repeated: bytes = b""
    repeats: int = 0
    end: End = End.STAY


def request(
    path: bytes,
    *headers: bytes,
    method: bytes = b"GET",
    close: bool = False,
    time_left_ms: int = 20_000,
) -> bytes:
    """Return the head of a request of a caller."""
    lines = [
        method + b" " + path + b" HTTP/1.1",
        b"Host: h",
        b"Attempt-Identifier: a1",
        b"Time-Remaining: %d" % time_left_ms,
        *headers,
    ]
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def own_request(path: bytes) -> bytes:
    """Return a request that the process answers itself."""
    return b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % path


def post(*headers: bytes) -> bytes:
    """Return the head of a request with a body."""
    return request(b"/app/x", *headers, method=b"POST")


def small_fields(count: int) -> list[bytes]:
    """Return header fields without a value, with short names."""
    letters = b"abcdefghijklmnopqrstuvwxyz"
    names = (
        bytes((letters[num % 26], letters[num // 26 % 26]))
        for num in range(count)
    )
    return [name + b":" for name in names]


#: Path of requests that the backend server does not answer until the end.
HELD_PATH = b"/app/hold"
#: Path of requests that it answers at once, shortly.
QUICK_PATH = b"/app/x"
#: Path of requests that it answers at length.
LARGE_PATH = b"/app/large"
#: Path of requests that it fails, with a long body.
FAILED_PATH = b"/app/failed"
#: Header fields that fill a head up to the limit.
MANY_FIELDS = small_fields(3_200)
SMALL_CHUNK = b"2\r\nab\r\n"
CHUNKED = b"Transfer-Encoding: chunked"

_HANDSHAKE = (
    b"GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
    b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
    b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
)
_STATE_REQUEST = cbor2.dumps([0, 0, None])
#: A request for all state, in a masked frame.
_STATE_FRAME = (
    bytes((0x82, 0x80 | len(_STATE_REQUEST))) + bytes(4) + _STATE_REQUEST
)
_GARBAGE = random.Random(1).randbytes(4_000)

CROWDS = {
    "ready-unread": Crowd(
        port=Port.READY,
        clients=300,
        repeated=own_request(b"/readiness") * 100,
        repeats=100,
    ),
    "metrics-unread": Crowd(
        port=Port.METRICS,
        clients=300,
        repeated=own_request(b"/metrics") * 100,
        repeats=50,
    ),
    "ready-unread-in-turn": Crowd(
        port=Port.READY,
        clients=2,
        waves=12,
        repeated=own_request(b"/readiness") * 100,
        repeats=500,
    ),
    "ready-unread-finished": Crowd(
        port=Port.READY,
        clients=300,
        waves=2,
        repeated=own_request(b"/readiness") * 2_000,
        repeats=1,
        end=End.FINISH,
    ),
    "callers-unread-finished": Crowd(
        port=Port.CALLERS,
        clients=300,
        waves=2,
        repeated=request(b"/readiness") * 100,
        repeats=100,
        end=End.FINISH,
    ),
    "ready-idle": Crowd(port=Port.READY, clients=600),
    "metrics-idle": Crowd(port=Port.METRICS, clients=600),
    "state-idle": Crowd(port=Port.STATE, clients=600),
    "state-open": Crowd(port=Port.STATE, clients=600, opening=_HANDSHAKE),
    "state-unread": Crowd(
        port=Port.STATE,
        clients=200,
        opening=_HANDSHAKE,
        repeated=_STATE_FRAME * 1_000,
        repeats=40,
    ),
    "callers-idle": Crowd(port=Port.CALLERS, clients=200, waves=3),
    "callers-half-head": Crowd(
        port=Port.CALLERS,
        clients=200,
        waves=3,
        opening=request(QUICK_PATH, b"A: " + b"x" * 15_000)[:-2],
    ),
    "callers-trickled-body": Crowd(
        port=Port.CALLERS,
        clients=200,
        waves=3,
        opening=post(b"Content-Length: 4000000"),
        end=End.TRICKLE,
    ),
    "callers-held": Crowd(
        port=Port.CALLERS, clients=600, opening=request(HELD_PATH)
    ),
    "callers-held-in-waves": Crowd(
        port=Port.CALLERS,
        clients=200,
        waves=3,
        opening=request(HELD_PATH),
    ),
    "callers-reset": Crowd(
        port=Port.CALLERS,
        clients=200,
        waves=10,
        opening=request(HELD_PATH),
        end=End.RESET,
    ),
    "callers-ahead": Crowd(
        port=Port.CALLERS,
        clients=200,
        opening=request(HELD_PATH),
        repeated=request(QUICK_PATH) * 100,
        repeats=40,
    ),
    "callers-unread": Crowd(
        port=Port.CALLERS,
        clients=200,
        repeated=request(b"/readiness") * 100,
        repeats=100,
    ),
    "callers-many-fields": Crowd(
        port=Port.CALLERS,
        clients=200,
        opening=post(*MANY_FIELDS, b"Content-Length: 10"),
    ),
    "callers-many-fields-held": Crowd(
        port=Port.CALLERS,
        clients=200,
        opening=request(HELD_PATH, *MANY_FIELDS),
    ),
    "callers-small-chunks": Crowd(
        port=Port.CALLERS,
        clients=60,
        opening=post(CHUNKED),
        repeated=SMALL_CHUNK * 1_000,
        repeats=100,
    ),
    "callers-trailer": Crowd(
        port=Port.CALLERS,
        clients=200,
        opening=post(CHUNKED) + b"0\r\n" + b"a:\r\n" * 3_000,
    ),
    "callers-bodies": Crowd(
        port=Port.CALLERS,
        clients=200,
        opening=post(b"Content-Length: 4000000") + b"x" * 200_000,
    ),
    "callers-large-unread": Crowd(
        port=Port.CALLERS, clients=200, opening=request(LARGE_PATH)
    ),
    "callers-failed-unread": Crowd(
        port=Port.CALLERS, clients=200, opening=request(FAILED_PATH)
    ),
    **{
        f"{port.value}-garbage": Crowd(
            port=port, clients=100, opening=_GARBAGE
        )
        for port in (Port.CALLERS, Port.READY, Port.METRICS, Port.STATE)
    },
}
#: Crowds that come at the same time, of other sizes than alone.
TOGETHER = (
    dataclasses.replace(CROWDS["ready-unread"], clients=100),
    dataclasses.replace(CROWDS["state-unread"], clients=100),
    dataclasses.replace(CROWDS["callers-ahead"], clients=60),
    dataclasses.replace(CROWDS["callers-many-fields"], clients=60),
    dataclasses.replace(CROWDS["callers-idle"], clients=200),
)
#: Requests that are unusual and inside the limits: each of them alone is
#: served.
SINGLE_REQUESTS = {
    "many-fields": request(QUICK_PATH, *MANY_FIELDS, close=True),
    "small-chunks": request(QUICK_PATH, CHUNKED, method=b"POST", close=True)
    + SMALL_CHUNK * 100_000
    + b"0\r\n\r\n",
    "large-body": request(
        QUICK_PATH, b"Content-Length: 4194304", method=b"POST", close=True
    )
    + b"x" * 4_194_304,
    "long-trailer": request(QUICK_PATH, CHUNKED, method=b"POST", close=True)
    + b"2\r\nab\r\n0\r\n"
    + b"a: b\r\n" * 500
    + b"\r\n",
    "sent-ahead": request(QUICK_PATH) * 20 + request(QUICK_PATH, close=True),
}
