# SPDX-License-Identifier: Apache-2.0
"""Simulated fleet with servers that some requests crash, in virtual time.

Everything in the edge processes is real except their sockets: request handler,
state, heartbeats and store followers. The servers run requests, crash, and
restart with a new id.
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

#: Run time of an ordinary request.
REQUEST_S = 1.0
#: Time from the start of a crashing request to the crash.
CRASH_AFTER_S = 0.09
#: Time from a crash until the server is back under a new id.
RESTART_S = 3.0
#: Time from a crash until the server's entry is removed from the store.
ENTRY_REMOVED_AFTER_S = 2.0
SLOTS_PER_SERVER = 6
LATENCY_S = 0.001
_SERVER_PORT = 80
#: Attempts of an ordinary caller, and the delay before each retry.
_MAX_CALLER_ATTEMPTS = 3
_RETRY_DELAY_RANGE_S = (0.2, 1.0)
#: Name of the edge process that handles the request of the current task.
current_node = contextvars.ContextVar("node", default="")
KEYS = ("key-a", "key-b", "key-c")


def _desired(attempts: int, service: dict[str, object]) -> bytes:
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
    tenants = [{"name": f"w-{key}", "api_keys": [key]} for key in KEYS]
    return json.dumps(
        {
            "version": 1,
            "routes": [route],
            "services": [{"name": "app"} | service],
            "limits": limits,
            "tenants": tenants,
        }
    ).encode()


@dataclasses.dataclass(eq=False)
class Server:
    """A backend server; it gets a new name each time it starts.

    :param index: determines its host address and failure domain.
    :param name: id of the current life.
    :param up: whether it is running.
    :param running: number of requests in progress.
    :param backoff_s: if set, it refuses all requests and asks for a backoff
        of this length.
    :param backoff_when_full_s: backoff that it asks for when it has no free
        slot; None to refuse without one.
    :param refused_ratio: fraction of the requests that it refuses at once,
        without asking for a backoff, however many it is running.
    :param limit: limit on the requests of all processes that its answers
        state, as a header value; None to state none.
    :param slots: requests that it runs at once.
    :param leaving: whether its answers say that it is leaving.
    :param crashed: set when the current life crashes.
    """

    index: int
    name: str = ""
    up: bool = False
    running: int = 0
    backoff_s: float | None = None
    backoff_when_full_s: float | None = None
    refused_ratio: float = 0.0
    limit: bytes | None = None
    slots: int = SLOTS_PER_SERVER
    leaving: bool = False
    crashed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def host(self) -> str:
        return f"10.0.0.{self.index + 1}"


@dataclasses.dataclass(frozen=True)
class Send:
    """A request that reached a server.

    :param at: virtual time, in seconds.
    :param node: edge process that sent it.
    :param server: id of the server's life.
    :param parts: parts of its prompt that other requests may share.
    """

    at: float
    body: bytes
    node: str
    server: str
    parts: tuple[str, ...] = ()


@dataclasses.dataclass
class Answer:
    """The answer to a request.

    :param at: when the request was sent, in seconds of virtual time.
    :param body: body of the request.
    :param text: body of the answer.
    :param headers: its headers.
    :param node: edge process that was asked.
    :param parts: parts of its prompt that other requests may share.
    """

    at: float
    body: bytes
    node: str = ""
    parts: tuple[str, ...] = ()
    status: int = 0
    text: bytes = b""
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)


class FakeConn:
    """Fake of :class:`lugcross.http1.ClientConn`."""

    closing = False
    has_unread_data = False
    last_answer_named = True

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
        prompt = self._headers.get(b"prompt-prefix", b"").decode().split(",")
        self._parts = tuple(one.partition(":")[0] for one in prompt[:-1])

    async def read_head(self) -> http1.ResponseHead:
        await asyncio.sleep(LATENCY_S)
        server = self._server
        if not server.up or server.name != self._server_name:
            raise self._broken()
        if server.limit is not None:
            self._fleet.record_limited(self._body, server)
        if self._headers[b"expected-instance"].decode() != server.name:
            return self._answer(421, (b"not-executed", b"1"))
        self._fleet.record_received(self._body, server)
        if server.backoff_s is not None:
            return self._turn_away(server.backoff_s)
        if self._fleet.refusal_rng.random() < server.refused_ratio:
            return self._turn_away(None)
        if server.running >= server.slots:
            return self._turn_away(server.backoff_when_full_s)
        self._fleet.record_send(self._body, server, self._parts)
        crashed = server.crashed
        server.running += 1
        crashing = self._fleet.is_crashing(self._body, self._parts)
        run_s = CRASH_AFTER_S if crashing else self._fleet.run_s(self._body)
        try:
            async with asyncio.timeout(run_s):
                await crashed.wait()
        except TimeoutError:
            if crashing:
                self._fleet.crash(server)
        finally:
            server.running -= 1
        if crashed.is_set():
            await asyncio.sleep(LATENCY_S)
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
        found += self._fleet.extra_headers(self._server)
        if self._server.leaving:
            found.append((b"server-leaving", b"1"))
        if self._server.limit is not None:
            found.append((b"server-limit", self._server.limit))
        return http1.ResponseHead(status, found, found)

    async def skip_body(self) -> None:
        await self.read_body()

    async def read_body(self) -> bytes:
        return b"whole"

    async def read_body_to_hold(self) -> tuple[list[bytes], bool]:
        return [b"whole"], True

    def close(self) -> None:
        self.closing = True


class _RecordedExchange:
    """Exchange that records the answer to a caller."""

    #: Held bytes are not bounded.
    memory = None

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self.head_written = False

    async def write_head(self, status, headers, body=b"", *, complete=False):
        del complete
        self.head_written = True
        self._answer.status = int(status)
        self._answer.headers = dict(headers)
        self._answer.text = body


class Fleet(fleet_rig.Fleet):
    """Edge processes and the servers behind them.

    :ivar crashing_bodies: bodies of the requests that crash servers.
    :ivar crashing_parts: parts of prompts that crash servers.
    :ivar crash_ratio: fraction of the runs with such a part that do.
    :ivar rng: draws the load; each test may draw from it too.
    :ivar refusal_rng: draws which requests a server with a refused ratio
        refuses, so that the load does not depend on it.
    :ivar sends: requests that servers started to run.
    :ivar refusals: requests that servers refused, asking for a backoff.
    :ivar limited: requests that reached servers which state a limit.
    :ivar crashes: times and server ids of all crashes.
    :ivar answers: answers to all requests.
    """

    def __init__(
        self,
        monkeypatch,
        *domains: int,
        servers: int,
        attempts: int = 2,
        seed: int = 1,
        server_domains: int = 2,
        service: dict[str, object] | None = None,
    ) -> None:
        super().__init__(monkeypatch, *domains)
        self._server_domains = server_domains
        self.crashing_bodies: set[bytes] = set()
        self.crashing_parts: set[str] = set()
        self.crash_ratio = 1.0
        self.sends: list[Send] = []
        self.refusals: list[Send] = []
        self.limited: list[Send] = []
        self.crashes: list[tuple[float, str]] = []
        self.answers: list[Answer] = []
        self._ids = itertools.count()
        self._ordinary: set[asyncio.Task[None]] = set()
        self._tasks: dict[str, set[asyncio.Task[Answer]]] = {}
        self.rng = random.Random(seed)
        self.refusal_rng = random.Random(seed)
        self._crash_rng = random.Random(seed)
        self.servers = [Server(index) for index in range(servers)]
        self._by_host = {one.host: one for one in self.servers}
        monkeypatch.setattr(http1, "connect", self._connect)
        self.store.standin.append(
            platform.OPERATOR_TOPIC,
            platform.DESIRED_STATE_KEY,
            _desired(attempts, service or {}),
        )
        for one in self.servers:
            self._start_server(one)

    def _start_server(self, server: Server) -> None:
        server.name = f"i-{next(self._ids)}"
        server.up = True
        server.running = 0
        server.crashed = asyncio.Event()
        self.write_entry(server)

    def write_entry(self, server: Server) -> None:
        """Write a server's entry to the store, as the server does."""
        value = edge_rig.backend_entry(
            "app",
            f"{server.host}:{_SERVER_PORT}",
            self.domain_of(server),
            slots=SLOTS_PER_SERVER,
            **self.entry_fields(server),
        )
        self.store.standin.append(platform.BACKENDS_TOPIC, server.name, value)

    def domain_of(self, server: Server) -> str:
        """Return the failure domain of a server."""
        return f"d{server.index % self._server_domains}"

    def entry_fields(self, server: Server) -> dict[str, object]:
        """Return fields of a server's entry that differ from the usual."""
        del server
        return {}

    def extra_headers(self, server: Server) -> list[tuple[bytes, bytes]]:
        """Return headers that a server adds to all its answers."""
        del server
        return []

    def record_received(self, body: bytes, server: Server) -> None:
        """Record that a request for its present life reached a server."""

    def crash(self, server: Server) -> None:
        """Crash a server; it restarts after :data:`RESTART_S`."""
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
        """Crash ``count`` random servers about every ``gap_s`` seconds."""
        while True:
            await asyncio.sleep(gap_s * self.rng.uniform(0.5, 1.5))
            for one in self.rng.sample(self.servers, count):
                self.crash(one)

    async def restart(self, name: str) -> None:
        """Kill an edge process with its requests, and start it again."""
        for task in list(self._tasks.get(name, ())):
            task.cancel()
        await super().restart(name)

    async def restart_all(self) -> None:
        """Restart all edge processes; they lose their state."""
        for name in list(self.nodes):
            await self.restart(name)

    def is_crashing(self, body: bytes, parts: tuple[str, ...]) -> bool:
        """Return whether this run of a request crashes its server."""
        if body in self.crashing_bodies:
            return True
        return (
            not self.crashing_parts.isdisjoint(parts)
            and self._crash_rng.random() < self.crash_ratio
        )

    def run_s(self, body: bytes) -> float:
        """Return the run time of a request that crashes no server."""
        del body
        return REQUEST_S

    def record_send(
        self, body: bytes, server: Server, parts: tuple[str, ...]
    ) -> None:
        """Record that a server has started to run a request."""
        now = asyncio.get_running_loop().time()
        self.sends.append(
            Send(now, body, current_node.get(), server.name, parts)
        )

    def record_limited(self, body: bytes, server: Server) -> None:
        """Record that a request reached a server that states a limit."""
        now = asyncio.get_running_loop().time()
        self.limited.append(Send(now, body, current_node.get(), server.name))

    def record_refusal(self, body: bytes, server: Server) -> None:
        """Record that a server has refused a request and asked to back off."""
        now = asyncio.get_running_loop().time()
        self.refusals.append(Send(now, body, current_node.get(), server.name))

    async def _connect(self, host: str, port: int, *, timeout_s: float):
        server = self._by_host.get(host)
        if server is None:
            return await self.store.connect(host, port, timeout_s=timeout_s)
        await asyncio.sleep(LATENCY_S)
        if not server.up:
            refused = ConnectionRefusedError("refused")
            raise http1.NoConnectionError("refused", remedy="-") from refused
        return FakeConn(self, server)

    def ask(
        self,
        node: str,
        body: bytes,
        key: str = KEYS[0],
        *,
        prompt: str = "",
    ) -> None:
        """Start a request to an edge process; see :attr:`answers`.

        :param prompt: parts of its prompt, each with its tokens, as sent.
        """
        task = asyncio.create_task(self._run_request(node, body, key, prompt))
        tasks = self._tasks.setdefault(node, set())
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def _run_request(
        self, name: str, body: bytes, key: str, prompt: str = ""
    ) -> Answer:
        clock = virtual_time.LoopClock()
        current_node.set(name)
        node = self.nodes[name]
        headers = [
            (b"host", b"h"),
            (b"attempt-identifier", b"a%d" % next(self._ids)),
            (b"time-remaining", b"8000"),
            (b"x-api-key", key.encode()),
        ]
        if prompt:
            headers.append((b"prompt-prefix", prompt.encode()))
        req = http1.Request(
            method=b"POST",
            target=b"/r/x",
            headers=headers,
            raw_headers=headers,
            body=body,
            received_at=clock.monotonic(),
        )
        parts = tuple(one.partition(":")[0] for one in prompt.split(",")[:-1])
        answer = Answer(asyncio.get_running_loop().time(), body, name, parts)
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
        self, name: str, body: bytes, key: str, prompt: str = ""
    ) -> None:
        """Act as a caller that retries a request until it is served."""
        for _ in range(_MAX_CALLER_ATTEMPTS):
            answer = await self._run_request(name, body, key, prompt)
            if answer.status == http.HTTPStatus.OK:
                return
            await asyncio.sleep(self.rng.uniform(*_RETRY_DELAY_RANGE_S))
            name = self.rng.choice(list(self.nodes))

    async def ordinary_load(self, per_s: float) -> None:
        """Send ordinary requests to random processes until cancelled."""
        for num in itertools.count():
            await asyncio.sleep(self.rng.expovariate(per_s))
            self.start_caller(
                self.rng.choice(list(self.nodes)),
                b"ordinary %d" % num,
                self.rng.choice(KEYS),
            )

    def start_caller(
        self, node: str, body: bytes, key: str, prompt: str = ""
    ) -> None:
        """Start a caller that retries a request until it is served.

        :param prompt: parts of its prompt, each with its tokens, as sent.
        """
        task = asyncio.create_task(
            self._send_until_served(node, body, key, prompt)
        )
        self._ordinary.add(task)
        task.add_done_callback(self._ordinary.discard)

    @contextlib.contextmanager
    def under_load(self, per_s: float) -> Iterator[None]:
        """Send ordinary requests while the context is active."""
        task = asyncio.create_task(self.ordinary_load(per_s))
        try:
            yield
        finally:
            task.cancel()

    def crash_times(
        self, body: bytes, *, exclude_nodes: Collection[str] = ()
    ) -> list[float]:
        """Return the times of crashes under a request, in order.

        :param exclude_nodes: edge processes whose sends do not count.
        """
        ran = {
            one.server
            for one in self.sends
            if one.body == body and one.node not in exclude_nodes
        }
        return [at for at, name in self.crashes if name in ran]

    def sends_after_third_crash(
        self, body: bytes, *, exclude_nodes: Collection[str] = ()
    ) -> int:
        """Return the number of sends of a request after its third crash.

        Sends within the contact bound after that crash are allowed.

        :param exclude_nodes: edge processes whose sends do not count.
        """
        crash_times = self.crash_times(body, exclude_nodes=exclude_nodes)
        if len(crash_times) < 3:
            return 0
        contact: datetime.timedelta = edge_rig.BOUNDS.store_recovery_time
        since = crash_times[2] + contact.total_seconds()
        return sum(
            one.at > since and one.node not in exclude_nodes
            for one in self.sends
            if one.body == body
        )
