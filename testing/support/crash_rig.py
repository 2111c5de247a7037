# SPDX-License-Identifier: Apache-2.0
"""A small fleet before servers that some requests end, in virtual time.

Processes are whole but for their sockets: handler, knowledge, datagrams and
followers of the store. Servers work, end, and start again with a new id.
"""

import asyncio
from collections.abc import Collection
from collections.abc import Iterator
import contextlib
import contextvars
import dataclasses
import datetime
import http
import itertools
import json
import random

import edge_rig
import fleet_rig
import virtual_time

from lugcross.edge import request_handler
from lugcross import http1
from lugcross import platform

#: How long an ordinary request runs, in seconds.
REQUEST_S = 1.0
#: How long a server runs a request that ends it, in seconds.
CRASH_AFTER_S = 0.09
#: From the end of a server until its next life, in seconds.
RESTART_S = 3.0
#: From the end of a server until its entry goes, in seconds.
ENTRY_REMOVED_AFTER_S = 2.0
SLOTS_PER_SERVER = 6
_LATENCY_S = 0.001
_SERVER_PORT = 80
#: How often an ordinary caller tries, and when it comes back, in seconds.
_MAX_TRIES = 3
_RETRY_DELAY_RANGE_S = (0.2, 1.0)
#: The process that carries the request of a task.
_current_node = contextvars.ContextVar("node", default="")
_KEYS = ("key-a", "key-b", "key-c")


def _desired(attempts: int) -> bytes:
    limits = dict.fromkeys(
        ("header_bytes", "body_bytes", "header_ms", "idle_ms"), 100_000
    )
    route = {
        "name": "r",
        "host": "h",
        "path_prefix": "/r/",
        "kind": "safe",
        "service": "app",
        "timeout_ms": 8000,
        "latency_target_ms": 400,
        "attempts": attempts,
        "priority": 1,
    }
    tenants = [{"name": f"w-{key}", "api_keys": [key]} for key in _KEYS]
    return json.dumps(
        {
            "version": 1,
            "routes": [route],
            "services": [{"name": "app"}],
            "limits": limits,
            "tenants": tenants,
        }
    ).encode()


@dataclasses.dataclass(eq=False)
class Server:
    """One place at which servers run, one life after the other."""

    place: int
    name: str = ""
    up: bool = False
    running: int = 0
    #: What it answers instead of running requests, in seconds of rest.
    backoff_s: float | None = None
    #: For how long it asks for rest where it has no slot, in seconds.
    backoff_when_full_s: float | None = None
    slots: int = SLOTS_PER_SERVER
    #: Whether it says in its answers that it is leaving.
    leaving: bool = False
    crashed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def host(self) -> str:
        return f"10.0.0.{self.place + 1}"


@dataclasses.dataclass(frozen=True)
class Send:
    """A request that reached a server."""

    at: float
    body: bytes
    node: str
    server: str


@dataclasses.dataclass
class Answer:
    """What a caller was told."""

    at: float
    body: bytes
    status: int = 0
    text: bytes = b""


class _FakeConn:
    """Takes the place of :class:`lugcross.http1.ClientConn`."""

    closing = False
    has_unread_data = False

    def __init__(self, fleet: "Fleet", server: Server) -> None:
        self._fleet = fleet
        self._server = server
        self._server_name = server.name
        self.reusable = True

    def nothing_acknowledged(self) -> bool:
        return False

    def send(self, method, target, headers, body):
        del method, target
        self._headers = {name.lower(): value for name, value in headers}
        self._body = body

    async def read_head(self) -> http1.ResponseHead:
        await asyncio.sleep(_LATENCY_S)
        server = self._server
        if not server.up or server.name != self._server_name:
            raise self._broken()
        if self._headers[b"expected-instance"].decode() != server.name:
            return self._answer(421, (b"not-executed", b"1"))
        if server.backoff_s is not None:
            return self._turn_away(server.backoff_s)
        if server.running >= server.slots:
            return self._turn_away(server.backoff_when_full_s)
        self._fleet.record_send(self._body, server)
        crashed = server.crashed
        server.running += 1
        try:
            async with asyncio.timeout(self._fleet.run_s(self._body)):
                await crashed.wait()
        except TimeoutError:
            if self._fleet.is_crashing(self._body):
                self._fleet.crash(server)
        finally:
            server.running -= 1
        if crashed.is_set():
            await asyncio.sleep(_LATENCY_S)
            raise self._broken()
        return self._answer(200, (b"response-seal", b"s"))

    def _turn_away(self, backoff_s: float | None) -> http1.ResponseHead:
        proof = (b"not-executed", b"1")
        if backoff_s is None:
            return self._answer(503, proof)
        self._fleet.record_refusal(self._body, self._server)
        return self._answer(503, proof, (b"retry-after", b"%g" % backoff_s))

    def _broken(self) -> http1.ConnectionBrokenError:
        self.reusable = False
        return http1.ConnectionBrokenError("reset by peer", remedy="not known")

    def _answer(self, status: int, *headers: tuple[bytes, bytes]):
        attempt = self._headers[b"attempt-identifier"]
        found = [(b"attempt-identifier", attempt), *headers]
        if self._server.leaving:
            found.append((b"server-leaving", b"1"))
        return http1.ResponseHead(status, found, found)

    async def read_body(self) -> bytes:
        return b"whole"

    def close(self) -> None:
        self.closing = True


class _RecordedExchange:
    """Takes what a caller is told."""

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self.head_written = False

    async def write_head(self, status, headers, body=b"", *, whole=False):
        del headers, whole
        self.head_written = True
        self._answer.status = int(status)
        self._answer.text = body


class Fleet(fleet_rig.Fleet):
    """Processes and servers; ``crashing_bodies`` end who runs them."""

    def __init__(
        self,
        monkeypatch,
        *domains: int,
        servers: int,
        attempts: int = 2,
        seed: int = 1,
    ) -> None:
        super().__init__(monkeypatch, *domains)
        self.crashing_bodies: set[bytes] = set()
        self.sends: list[Send] = []
        #: Requests that servers turned away and asked for rest.
        self.refusals: list[Send] = []
        self.crashes: list[tuple[float, str]] = []
        self.answers: list[Answer] = []
        self._ids = itertools.count()
        self._ordinary: set[asyncio.Task[None]] = set()
        self._tasks: dict[str, set[asyncio.Task[Answer]]] = {}
        self.rng = random.Random(seed)
        self.servers = [Server(place) for place in range(servers)]
        self._by_host = {one.host: one for one in self.servers}
        monkeypatch.setattr(http1, "connect", self._connect)
        self.store.standin.append(
            platform.OPERATOR_TOPIC,
            platform.DESIRED_STATE_KEY,
            _desired(attempts),
        )
        for one in self.servers:
            self._start_server(one)

    def _start_server(self, server: Server) -> None:
        server.name = f"i-{next(self._ids)}"
        server.up = True
        server.running = 0
        server.crashed = asyncio.Event()
        value = edge_rig.backend_entry(
            "app",
            f"{server.host}:{_SERVER_PORT}",
            f"d{server.place % 2}",
            slots=SLOTS_PER_SERVER,
        )
        self.store.standin.append(platform.BACKENDS_TOPIC, server.name, value)

    def crash(self, server: Server) -> None:
        """End a server as a crash does; it is back after some seconds."""
        if not server.up:
            return
        loop = asyncio.get_running_loop()
        server.up = False
        server.crashed.set()
        self.crashes.append((loop.time(), server.name))
        loop.call_later(
            ENTRY_REMOVED_AFTER_S,
            self.store.standin.append,
            platform.BACKENDS_TOPIC,
            server.name,
            b"",
        )
        loop.call_later(RESTART_S, self._start_server, server)

    async def crash_repeatedly(self, gap_s: float, count: int) -> None:
        """End some servers again and again, whatever they run."""
        while True:
            await asyncio.sleep(gap_s * self.rng.uniform(0.5, 1.5))
            for one in self.rng.sample(self.servers, count):
                self.crash(one)

    async def restart(self, name: str) -> None:
        """Kill a process with all that it carries, and start it again."""
        for task in list(self._tasks.get(name, ())):
            task.cancel()
        await super().restart(name)

    async def restart_all(self) -> None:
        """Start all processes anew, knowing nothing of before."""
        for name in list(self.nodes):
            await self.restart(name)

    def is_crashing(self, body: bytes) -> bool:
        """Tell whether a request ends who runs it."""
        return body in self.crashing_bodies

    def run_s(self, body: bytes) -> float:
        """Return how long a request runs."""
        return CRASH_AFTER_S if self.is_crashing(body) else REQUEST_S

    def record_send(self, body: bytes, server: Server) -> None:
        """Note that a server has begun a request."""
        now = asyncio.get_running_loop().time()
        self.sends.append(Send(now, body, _current_node.get(), server.name))

    def record_refusal(self, body: bytes, server: Server) -> None:
        """Note that a server wants no request for a while."""
        now = asyncio.get_running_loop().time()
        self.refusals.append(Send(now, body, _current_node.get(), server.name))

    async def _connect(self, host: str, port: int, *, timeout_s: float):
        server = self._by_host.get(host)
        if server is None:
            return await self.store.connect(host, port, timeout_s=timeout_s)
        await asyncio.sleep(_LATENCY_S)
        if not server.up:
            refused = ConnectionRefusedError("refused")
            raise http1.NoConnectionError("refused", remedy="-") from refused
        return _FakeConn(self, server)

    def ask(self, node: str, body: bytes, key: str = _KEYS[0]) -> None:
        """Send a request to a process; its answer comes to ``answers``."""
        task = asyncio.create_task(self._run_request(node, body, key))
        mine = self._tasks.setdefault(node, set())
        mine.add(task)
        task.add_done_callback(mine.discard)

    async def _run_request(self, name: str, body: bytes, key: str) -> Answer:
        clock = virtual_time.LoopClock()
        _current_node.set(name)
        node = self.nodes[name]
        headers = [
            (b"host", b"h"),
            (b"attempt-identifier", b"a%d" % next(self._ids)),
            (b"time-remaining", b"8000"),
            (b"x-api-key", key.encode()),
        ]
        req = http1.Request(
            method=b"POST",
            target=b"/r/x",
            headers=headers,
            raw_headers=headers,
            body=body,
            received_at=clock.monotonic(),
        )
        answer = Answer(asyncio.get_running_loop().time(), body)
        handler = request_handler.RequestHandler(
            node.edge_state,
            is_stopping=lambda: False,
            on_change=node.state_sync.peers.schedule_send,
            clock=clock,
            rng=self.rng,
        )
        await handler.handle(_RecordedExchange(answer), req)
        self.answers.append(answer)
        return answer

    async def _send_until_served(
        self, name: str, body: bytes, key: str
    ) -> None:
        """Send an ordinary request again until it is served."""
        for _ in range(_MAX_TRIES):
            answer = await self._run_request(name, body, key)
            if answer.status == http.HTTPStatus.OK:
                return
            await asyncio.sleep(self.rng.uniform(*_RETRY_DELAY_RANGE_S))
            name = self.rng.choice(list(self.nodes))

    async def ordinary_load(self, per_s: float) -> None:
        """Send ordinary requests to all processes until cancelled."""
        for num in itertools.count():
            await asyncio.sleep(self.rng.expovariate(per_s))
            name = self.rng.choice(list(self.nodes))
            key = self.rng.choice(_KEYS)
            task = asyncio.create_task(
                self._send_until_served(name, b"ordinary %d" % num, key)
            )
            self._ordinary.add(task)
            task.add_done_callback(self._ordinary.discard)

    @contextlib.contextmanager
    def under_load(self, per_s: float) -> Iterator[None]:
        """Send ordinary requests meanwhile."""
        task = asyncio.create_task(self.ordinary_load(per_s))
        try:
            yield
        finally:
            task.cancel()

    def crash_times(
        self, body: bytes, *, leave_out: Collection[str] = ()
    ) -> list[float]:
        """Return when servers ended under a request, first one first.

        :param leave_out: processes whose sends do not count.
        """
        ran = {
            one.server
            for one in self.sends
            if one.body == body and one.node not in leave_out
        }
        return [at for at, name in self.crashes if name in ran]

    def sends_after_third_crash(
        self, body: bytes, *, leave_out: Collection[str] = ()
    ) -> int:
        """Return its sends later than the bound after its third end.

        :param leave_out: processes whose sends do not count.
        """
        ends = self.crash_times(body, leave_out=leave_out)
        if len(ends) < 3:
            return 0
        contact: datetime.timedelta = edge_rig.BOUNDS.store_recovery_time
        since = ends[2] + contact.total_seconds()
        return sum(
            one.at > since and one.node not in leave_out
            for one in self.sends
            if one.body == body
        )
