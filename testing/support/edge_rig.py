# SPDX-License-Identifier: Apache-2.0
"""A request handler with scripted backend servers, over loopback sockets."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime
import json
import random
import socket

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import request_handler
from lugcross.edge import settings as settings_lib
from lugcross import http1
from lugcross import ids
from lugcross import platform

HOST = "127.0.0.1"
API_KEY = "key-of-a"
#: Timeouts so long that no test runs into them.
LIMITS = desired.RequestLimits(
    max_head_bytes=4096,
    max_body_bytes=1024,
    head_timeout=datetime.timedelta(seconds=30),
    idle_timeout=datetime.timedelta(seconds=30),
)
BOUNDS = settings_lib.Bounds(
    grace_s=8,
    drain_ms=2000,
    change_ms=2000,
    repeat_ratio=0.2,
    repeat_window_s=10,
    repeat_slack=0,
    contact_ms=3000,
)


def settings(
    bounds: settings_lib.Bounds = BOUNDS,
) -> settings_lib.Settings:
    """Return settings of a process; its addresses cannot be listened on."""
    return settings_lib.Settings(
        node="n1",
        domain="d1",
        listen=settings_lib.Listen(
            callers="h:0", ready="h:0", state="h:0", peers="h:0"
        ),
        store=settings_lib.Store(address="h:1", form="log"),
        bounds=bounds,
    )


def backend_entry(
    service: str, address: str, domain: str = "d", /, **changes: object
) -> bytes:
    """Return a backend server's record, as it is stored.

    :param changes: fields to replace; none removes a field.
    """
    fields: dict[str, object] = {
        "service": service,
        "address": address,
        "zone": domain,
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_ms": 0,
        "sequence": 1,
    }
    merged = fields | changes
    return json.dumps(
        {name: one for name, one in merged.items() if one is not None}
    ).encode()


def backend(name: str = "i-1", domain: str = "d1") -> desired.Backend:
    """Return the description of a backend server that is not running."""
    return desired.Backend(
        id=desired.BackendId(name),
        service=ids.ServiceName("s"),
        host=HOST,
        port=1,
        domain=ids.DomainName(domain),
        slots=6,
        state=desired.BackendState.READY,
    )


def new_rng() -> random.Random:
    """Return a random generator with a fixed seed."""
    return random.Random(1)


#: Sockets that hold the reserved ports until the tests end.
_reserving_sockets: list[socket.socket] = []


def reserve_port() -> int:
    """Return a port that no other process is given until the tests end.

    A socket stays bound to it without listening. Servers may listen on it all
    the same, since they set ``SO_REUSEADDR`` too.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    _reserving_sockets.append(sock)
    port: int = sock.getsockname()[1]
    return port


@dataclasses.dataclass
class ReceivedRequest:
    """A request that a backend server has received."""

    line: bytes
    headers: dict[bytes, bytes]
    body: bytes


#: What a backend server does with one request.
Script = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


def answer(
    status: int = 200,
    body: bytes = b"whole",
    *headers: bytes,
    seal: bool = True,
) -> Script:
    """Return a script that answers with the request's id.

    :param seal: whether the answer is signed.
    """

    async def script(
        seen: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        lines = [
            b"HTTP/1.1 %d X" % status,
            b"Content-Length: %d" % len(body),
            b"Attempt-Identifier: " + seen.headers[b"attempt-identifier"],
            *headers,
        ]
        if seal:
            lines.append(b"Response-Seal: s1")
        writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    return script


def events(*parts: bytes, end: bool = True, seal: bytes = b"s1") -> Script:
    """Return a script that streams ``parts``.

    :param end: whether to end the stream; otherwise the connection is closed.
    """

    async def script(
        seen: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = seen.headers[b"attempt-identifier"]
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nAttempt-Identifier: "
            + attempt_id
            + b"\r\nResponse-Seal: "
            + seal
            + b"\r\n\r\n"
        )
        for part in parts:
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
        if end:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()

    return script


def raw_bytes(data: bytes, *, close: bool = False) -> Script:
    """Return a script that writes raw bytes, valid HTTP or not."""

    async def script(
        seen: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        del seen
        writer.write(data)
        if close:
            writer.close()

    return script


async def never_answer(
    seen: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Never answer."""
    del seen, writer


class FakeBackend:
    """A backend server that runs the next of its scripts for each request."""

    def __init__(self, scripts: list[Script]) -> None:
        self.scripts = scripts
        self.seen: list[ReceivedRequest] = []
        self.connections = 0
        self.disconnected = asyncio.Event()
        self.request_received = asyncio.Event()
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                seen = await _read(reader)
                self.seen.append(seen)
                script = self.scripts.pop(0)
                await script(seen, writer)
                self.request_received.set()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.disconnected.set()
            writer.close()


async def _read(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = await reader.readuntil(b"\r\n\r\n")
    line, *rest = head[:-4].split(b"\r\n")
    headers = {}
    for one in rest:
        name, _, value = one.partition(b":")
        headers[name.lower()] = value.strip()
    length = int(headers.get(b"content-length", b"0"))
    return ReceivedRequest(line, headers, await reader.readexactly(length))


@dataclasses.dataclass
class CallerAnswer:
    """Parsed answer that a caller has received.

    :param complete: whether the whole body has arrived.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    complete: bool


class Rig:
    """A request handler with its edge state and fake backend servers.

    :param memory_mb: memory of the host; none to bound no held bytes.
    """

    def __init__(
        self,
        clock: clock_lib.Clock | None = None,
        *,
        memory_mb: float | None = None,
    ) -> None:
        self.clock = clock or clock_lib.SystemClock()
        settings = settings_lib.Settings(
            node="n1",
            domain="d1",
            listen=settings_lib.Listen(
                callers=f"{HOST}:0",
                ready=f"{HOST}:0",
                state=f"{HOST}:0",
                peers=f"{HOST}:0",
            ),
            store=settings_lib.Store(address=f"{HOST}:1", form="log"),
            bounds=BOUNDS,
            memory_mb=memory_mb,
        )
        rng = new_rng()
        self.edge_state = edge_state_lib.EdgeState(
            settings, clock=self.clock, rng=rng
        )
        self.stopping = False
        self.draining = False
        self.request_handler = request_handler.RequestHandler(
            self.edge_state,
            is_stopping=lambda: self.stopping,
            on_change=lambda: None,
            clock=self.clock,
            rng=rng,
        )
        self.backends: list[FakeBackend] = []
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self, *scripts: list[Script]) -> None:
        """Start the handler, and a backend server for each list of scripts."""
        rows = []
        for num, one in enumerate(scripts):
            backend = FakeBackend(one)
            await backend.start()
            self.backends.append(backend)
            # Servers listed first have more slots and are preferred.
            value = backend_entry(
                "app", f"{HOST}:{backend.port}", "d1", slots=100 - 10 * num
            )
            rows.append(
                platform.KeyedRecord(ids.Offset(num), f"i-{num}", value)
            )
        tail = platform.ReadResult(
            end=ids.Offset(len(rows)), records=tuple(rows)
        )
        self.edge_state.backends.apply(tail, store_was_away=False)
        self._server = await asyncio.start_server(
            self._serve, HOST, 0, limit=http1.CALLER_BUFFER_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        assert self._server is not None
        self._server.close()
        self.edge_state.pool.close()
        for backend in self.backends:
            backend.close()

    def adopt(self, *routes: desired.Route, version: int = 1) -> None:
        """Put a desired state with ``routes`` in force."""
        workspace = desired.Workspace(name=ids.WorkspaceName("space-a"))
        self.edge_state.adopt(
            desired.DesiredState(
                version=version,
                routes={"h": routes},
                services={},
                limits=LIMITS,
                workspaces_by_key={API_KEY: workspace},
                keys_required=True,
            ),
            b"",
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = http1.ServerConn(
            reader,
            writer,
            self.request_handler.handle,
            limits=lambda: LIMITS,
            draining=lambda: self.draining,
            clock=self.clock,
            held=self.edge_state.held_bytes,
        )
        await conn.run()

    async def send(self, data: bytes) -> CallerAnswer:
        """Send raw bytes and read until the connection ends."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(data)
        got = await reader.read()
        writer.close()
        return parse_answer(got)

    async def ask(
        self,
        *headers: bytes,
        method: bytes = b"GET",
        path: bytes = b"/r/x",
        body: bytes = b"",
        time_left: int = 5000,
    ) -> CallerAnswer:
        """Send one valid request and return its answer."""
        return await self.send(
            request(
                *headers,
                method=method,
                path=path,
                body=body,
                time_left=time_left,
            )
        )


def request(
    *headers: bytes,
    method: bytes = b"GET",
    path: bytes = b"/r/x",
    body: bytes = b"",
    time_left: int = 5000,
) -> bytes:
    """Return the bytes of a valid request.

    :param time_left: time until the caller's deadline, in milliseconds.
    """
    lines = [
        method + b" " + path + b" HTTP/1.1",
        b"Host: h",
        b"Attempt-Identifier: a1",
        b"Time-Remaining: %d" % time_left,
        b"X-Api-Key: " + API_KEY.encode(),
        b"Connection: close",
        *headers,
    ]
    if body:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def parse_answer(data: bytes) -> CallerAnswer:
    """Parse the bytes of one answer; the status is 0 if there are none."""
    head, _, rest = data.partition(b"\r\n\r\n")
    line, *lines = head.split(b"\r\n")
    headers = {}
    for one in lines:
        name, _, value = one.partition(b":")
        headers[name.lower()] = value.strip()
    status = int(line.split(b" ")[1]) if line else 0
    if headers.get(b"transfer-encoding") == b"chunked":
        body, complete = _unchunk(rest)
    else:
        body = rest
        complete = len(rest) == int(headers.get(b"content-length", b"-1"))
    return CallerAnswer(status, headers, body, complete)


def _unchunk(data: bytes) -> tuple[bytes, bool]:
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        if int(size, 16) == 0:
            return body, True
        body += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]
    return body, False


def route(
    kind: desired.RouteKind, *, attempts: int = 2, resumable: bool = False
) -> desired.Route:
    """Return a route of ``kind`` to the service ``app``."""
    return desired.Route(
        name="r",
        host="h",
        path_prefix="/r/",
        kind=kind,
        weighted_services=(
            desired.WeightedService(ids.ServiceName("app"), 1.0),
        ),
        timeout=datetime.timedelta(seconds=5),
        latency_target=datetime.timedelta(milliseconds=400),
        max_attempts=attempts,
        resumable=resumable,
    )


SAFE_ROUTE = route(desired.RouteKind.SAFE)
UNSAFE_ROUTE = route(desired.RouteKind.UNSAFE, attempts=1)
UNSAFE_ROUTE_TWO_ATTEMPTS = route(desired.RouteKind.UNSAFE, attempts=2)
RESUMABLE_STREAM_ROUTE = route(desired.RouteKind.STREAM, resumable=True)
STREAM_ROUTE = route(desired.RouteKind.STREAM)
