# SPDX-License-Identifier: Apache-2.0
"""Real edge processes with callers, backend servers and a store stand-in."""

import asyncio
import collections
from collections.abc import Callable
import functools
import itertools
import json
import os
import pathlib
import signal
import sys
from typing import Any

import edge_rig
import soak_checks
import soak_proxy

from lugcross import http1
from lugcross import platform
from lugcross.standin import store as standin

HOST = soak_proxy.HOST
#: Deadline that callers send with a request, and timeout of the routes.
REQUEST_TIMEOUT_MS = 2000
#: A caller closes its connection when an answer takes longer than this.
_CALLER_TIMEOUT_S = 6.0
_PROCESSING_S = 0.005
#: Last part of the path of requests that crash the server that runs them.
CRASHING_PATH = "ending"
#: Part of prompts that crashes the server that runs it.
CRASHING_PART = b"bad"


#: Longest part of a log that an error quotes.
_MAX_LOG_CHARS = 500


class BackendServer:
    """A backend server that counts how often it ran each request."""

    def __init__(self, run_counts: collections.Counter[str]) -> None:
        self._run_counts = run_counts
        self._server: asyncio.Server | None = None
        self.port = 0
        #: Id of its current life, as published in the store.
        self.name = ""
        #: Backoff that it answers with instead of running requests, or 0.
        self.backoff_s = 0.0
        #: Whether its answers say that it is leaving.
        self.leaving = False
        #: Requests a second from all processes to which its answers limit
        #: them; None for no limit.
        self.limit: float | None = None
        #: Whether it sends each whole answer once more, in the place of the
        #: next one on the connection.
        self.repeats_answers = False
        #: Called with the name of each request and the backoff it is answered
        #: with, in seconds.
        self.on_request: Callable[[str, float], None] = (
            lambda name, backoff_s: None
        )
        #: Called when a request crashes this server.
        self.on_crash: Callable[[], None] = lambda: None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        last_answer = b""
        try:
            while True:
                last_answer = await self._serve_request(
                    reader, writer, last_answer
                )
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def _serve_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        last_answer: bytes,
    ) -> bytes:
        """Serve one request.

        :param last_answer: the answer before it on the connection.
        :returns: the answer; empty if it was a stream.
        """
        head = await reader.readuntil(b"\r\n\r\n")
        line, *lines = head[:-4].split(b"\r\n")
        fields = dict(one.split(b":", 1) for one in lines)
        headers = {name.lower(): fields[name].strip() for name in fields}
        await reader.readexactly(int(headers.get(b"content-length", b"0")))
        name = headers[b"attempt-identifier"].decode()
        kind = soak_checks.RequestKind(line.split(b"/")[1].decode())
        self.on_request(name, self.backoff_s)
        if self.repeats_answers:
            writer.write(last_answer)
        if self.backoff_s:
            answer = (
                b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0"
                b"\r\nAttempt-Identifier: %s\r\nRetry-After: %g\r\n\r\n"
                % (name.encode(), self.backoff_s)
            )
            writer.write(answer)
            return answer
        self._run_counts[name] += 1
        await asyncio.sleep(_PROCESSING_S)
        prompt = headers.get(b"prompt-prefix", b"").split(b",")
        if (
            line.split(b" ")[1].endswith(CRASHING_PATH.encode())
            or CRASHING_PART + b":7" in prompt
        ):
            self.on_crash()
            raise ConnectionAbortedError
        answer = (
            b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nAttempt-Identifier: %s"
            b"\r\n" % name.encode()
        )
        if self.leaving:
            answer += b"Server-Leaving: 1\r\n"
        if self.limit is not None:
            answer += b"Server-Limit: %g\r\n" % self.limit
        if kind is soak_checks.RequestKind.STREAM:
            writer.write(answer)
            last = int(headers.get(b"last-event-id", b"0"))
            await self._stream(writer, name, last)
            answer = b""
        else:
            body = soak_checks.expected_body(kind, name)
            answer += b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            writer.write(answer)
        await writer.drain()
        return answer

    async def _stream(
        self, writer: asyncio.StreamWriter, name: str, last: int
    ) -> None:
        writer.write(
            b"Content-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for num in range(last + 1, soak_checks.EVENTS_PER_STREAM + 1):
            stream_event = soak_checks.stream_event(name, num)
            writer.write(b"%x\r\n%s\r\n" % (len(stream_event), stream_event))
            await writer.drain()
            await asyncio.sleep(_PROCESSING_S)
        writer.write(b"0\r\n\r\n")


class ProcessEndedError(Exception):
    """An edge process has ended that nobody ended."""


class EdgeProcess:
    """An edge process, which keeps its ports when it is restarted."""

    def __init__(
        self,
        name: str,
        domain: str,
        store_proxy: soak_proxy.Proxy,
        path: pathlib.Path,
    ) -> None:
        self.name = name
        self.store_proxy = store_proxy
        self.start_count = 0
        self.ports = {
            what: edge_rig.reserve_port()
            for what in ("callers", "ready", "state", "peers", "metrics")
        }
        listen = {what: f"{HOST}:{port}" for what, port in self.ports.items()}
        settings = {
            "node": name,
            "domain": domain,
            "listen": listen,
            "store": {"address": f"{HOST}:{store_proxy.port}", "form": "log"},
            "bounds": {
                "grace_s": 8,
                "drain_ms": 2000,
                "change_ms": 2000,
                "repeat_ratio": 0.2,
                "repeat_window_s": 10,
                "repeat_slack": 30,
                "contact_ms": 3000,
            },
        }
        self._file = path / f"{name}.yaml"
        self._file.write_text(json.dumps(settings), encoding="utf-8")
        self._log = path / f"{name}.log"
        self._proc: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process; its output is appended to one file."""
        self.start_count += 1
        with self._log.open("ab") as log:
            log.write(b'{"message": "process started"}\n')
            log.flush()
            self._proc = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lugcross",
                "edge",
                env={**os.environ, "LUGCROSS_CONFIG": str(self._file)},
                stdout=log,
                stderr=log,
            )

    async def restart(self, num: signal.Signals) -> None:
        """End the process by a signal, wait for it and start it again."""
        await self.stop(num)
        await self.start()

    async def stop(self, num: signal.Signals = signal.SIGKILL) -> None:
        """End the process by a signal and wait for it."""
        self.signal(num)
        # A paused process handles SIGTERM only once it continues.
        self.signal(signal.SIGCONT)
        await self.wait()

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._proc is not None and self._proc.returncode is None

    def check_running(self) -> None:
        """Raise :class:`ProcessEndedError` if the process has ended."""
        if not self.running:
            log = self._log.read_text(encoding="utf-8")
            raise ProcessEndedError(
                f"{self.name} has ended by itself: {log[-_MAX_LOG_CHARS:]}"
            )

    def signal(self, num: signal.Signals) -> None:
        if self.running:
            assert self._proc is not None
            self._proc.send_signal(num)

    async def max_listed_crashes(self) -> int:
        """Return the highest number of crashes it lists for one suspect."""
        listed = await self._read_list(b"/suspects", "suspects")
        return max((len(one["ends"]) for one in listed), default=0)

    async def desired_version(self) -> int:
        """Return the version of the desired state that it has in force."""
        name = b"lugcross_desired_version "
        figures = (await self._read_metrics(b"/metrics")).splitlines()
        found = next(one for one in figures if one.startswith(name))
        return int(float(found.removeprefix(name)))

    async def _read_list(self, path: bytes, name: str) -> list[Any]:
        """Return a list that it serves as JSON at its metrics address."""
        listed: list[Any] = json.loads(await self._read_metrics(path))[name]
        return listed

    async def _read_metrics(self, path: bytes) -> bytes:
        """Return what it serves at a path of its metrics address."""
        conn = await http1.connect(
            HOST, self.ports["metrics"], timeout_s=_CALLER_TIMEOUT_S
        )
        headers = [(b"Host", b"h"), (b"Connection", b"close")]
        conn.send(b"GET", path, headers, b"")
        await conn.read_head()
        body = await conn.read_body()
        conn.close()
        return body

    async def evacuated_domains(self) -> set[str]:
        """Return the failure domains that it lists as evacuated."""
        listed = await self._read_list(b"/evacuations", "evacuations")
        return {one["domain"] for one in listed if one["evacuated"]}

    async def wait(self) -> None:
        if self._proc is not None:
            await self._proc.wait()

    def applied_versions(self) -> list[soak_checks.AppliedVersion]:
        """Return the desired state versions that its log says it applied."""
        found = []
        run = 0
        for line in self._log.read_text(encoding="utf-8").splitlines():
            if not line.startswith("{"):
                continue
            entry = json.loads(line)
            if entry["message"] == "process started":
                run += 1
            elif entry["message"] == "desired state":
                one = soak_checks.AppliedVersion(
                    f"{self.name}-{run}", entry["version"]
                )
                found.append(one)
        return found

    def non_log_lines(self) -> list[str]:
        """Return the output that is no JSON log line, such as tracebacks."""
        text = self._log.read_text(encoding="utf-8")
        return [line for line in text.splitlines() if line[:1] != "{"]


class Fleet:
    """Edge processes, backend servers, a store and proxies between them."""

    def __init__(self, path: pathlib.Path, *, processes: int, servers: int):
        self._path = path
        self.history = soak_checks.History()
        self.store = standin.StoreStandin()
        self.store.era = "1"
        self.servers = [
            BackendServer(self.history.run_counts) for _ in range(servers)
        ]
        self.server_proxies: list[soak_proxy.Proxy] = []
        self.processes: list[EdgeProcess] = []
        self._process_count = processes
        self._life_numbers = itertools.count()
        #: Servers that crashed so far.
        self.crash_count = 0
        self._restart_tasks: set[asyncio.Task[None]] = set()
        self.version = 0
        self.evacuated_domains: set[str] = set()

    async def __aenter__(self) -> "Fleet":
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start everything and wait until all processes serve requests."""
        _, _, port = (await self.store.start(HOST)).rpartition(":")
        for num, server in enumerate(self.servers):
            await server.start()
            self.server_proxies.append(soak_proxy.Proxy(server.port))
            await self._start_life(num)
        self.change_desired_state()
        for num in range(self._process_count):
            store_proxy = soak_proxy.Proxy(int(port))
            await store_proxy.start()
            one = EdgeProcess(f"n{num}", _domain(num), store_proxy, self._path)
            self.processes.append(one)
            await one.start()
        await self.wait_until_serving()

    async def _start_life(self, num: int) -> None:
        """Start a life of a server, with a new id and address."""
        proxy = self.server_proxies[num]
        await proxy.start()
        name = f"i-{next(self._life_numbers)}"
        self.servers[num].name = name
        self._publish_server(num)
        self.servers[num].on_request = functools.partial(
            self._record_request, num
        )
        self.servers[num].on_crash = functools.partial(
            self._crash_server, num, name
        )

    def _publish_server(self, num: int) -> None:
        row = edge_rig.backend_entry(
            "app",
            f"{HOST}:{self.server_proxies[num].port}",
            _domain(num),
            slots=8,
        )
        name = self.servers[num].name
        self.store.append(platform.BACKENDS_TOPIC, name, row)

    def _record_request(self, num: int, name: str, backoff_s: float) -> None:
        """Record a request named ``NUM-...`` after the process it went to."""
        number, _, _ = name.partition("-")
        if not number.isdigit():
            return
        sender = self.processes[int(number)]
        server = self.servers[num]
        self.history.received.append(
            soak_checks.ReceivedRequest(
                server=server.name,
                sender=f"{sender.name}-{sender.start_count}",
                received_s=asyncio.get_running_loop().time(),
                backoff_s=backoff_s,
                leaving=server.leaving,
                limit=server.limit,
                domain=_domain(num),
            )
        )

    def _crash_server(self, num: int, name: str) -> None:
        """Crash a server: reset its connections and start its next life."""
        self.crash_count += 1
        self.server_proxies[num].close()
        self.server_proxies[num] = soak_proxy.Proxy(self.servers[num].port)
        self.store.append(platform.BACKENDS_TOPIC, name, b"")
        task = asyncio.create_task(self._start_life(num))
        self._restart_tasks.add(task)
        task.add_done_callback(self._restart_tasks.discard)

    async def stop(self) -> None:
        """Kill all processes, collect their logs and close everything else."""
        for one in self.processes:
            await one.stop()
            self.history.versions += one.applied_versions()
            self.history.errors += one.non_log_lines()
            one.store_proxy.close()
        for proxy in self.server_proxies:
            proxy.close()
        for server in self.servers:
            server.close()
        self.store.close()

    def restore_store(self, older: standin.StoreStandin) -> None:
        """Restore the store from a copy, and publish all entries again."""
        self.store.restore_from(older)
        for num in range(len(self.servers)):
            self._publish_server(num)
        self._publish_desired_state()
        for domain in self.evacuated_domains:
            self._publish_evacuation(domain)

    def evacuate(self, domain: str) -> None:
        """Request the evacuation of a failure domain, as the operator does."""
        self.evacuated_domains.add(domain)
        self._publish_evacuation(domain)
        now = asyncio.get_running_loop().time()
        self.history.evacuations.append(soak_checks.Evacuation(domain, now))

    def _publish_evacuation(self, domain: str) -> None:
        self.store.append(platform.OPERATOR_TOPIC, f"evacuate/{domain}", b"{}")

    def withdraw_evacuation(self, domain: str) -> None:
        """Withdraw the evacuation of a failure domain."""
        self.evacuated_domains.discard(domain)
        self.store.append(platform.OPERATOR_TOPIC, f"evacuate/{domain}", b"")
        for one in self.history.evacuations:
            if one.domain == domain:
                one.withdrawn_s = min(
                    one.withdrawn_s, asyncio.get_running_loop().time()
                )

    def change_desired_state(self) -> None:
        """Publish a new version of the desired state."""
        self.version += 1
        self._publish_desired_state()

    def _publish_desired_state(self) -> None:
        routes = [
            {
                "name": kind.value,
                "host": "h",
                "path_prefix": f"/{kind.value}/",
                "kind": "streaming" if kind.value == "stream" else kind.value,
                "timeout_ms": REQUEST_TIMEOUT_MS,
                "service": "app",
                "attempts": 3,
                "resumable": kind.value == "stream",
            }
            for kind in soak_checks.RequestKind
        ]
        state = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": "app"}],
            "limits": {
                "header_bytes": 4096,
                "body_bytes": 4096,
                "header_ms": 60000,
                "idle_ms": 60000,
            },
        }
        self.store.append(
            platform.OPERATOR_TOPIC,
            platform.DESIRED_STATE_KEY,
            json.dumps(state).encode(),
        )

    async def wait_until_newest_version(self) -> None:
        """Wait until each process has the newest desired state in force."""
        for one in self.processes:
            while await one.desired_version() < self.version:
                one.check_running()
                await asyncio.sleep(0.05)

    async def wait_until_serving(self) -> None:
        """Wait until each process serves a request on a new connection."""
        for num, one in enumerate(self.processes):
            tries = 0
            while True:
                tries += 1
                name = f"settle-{self.version}-{num}-{tries}"
                caller = Caller(one.ports["callers"], self.history)
                call = await caller.send(name, soak_checks.RequestKind.SAFE)
                caller.close()
                if call.status == soak_checks.OK:
                    break
                one.check_running()
                await asyncio.sleep(0.05)


def _domain(num: int) -> str:
    """Return the failure domain of a process or server."""
    return f"d{num % 3}"


class Caller:
    """A caller that keeps its connection open between requests."""

    def __init__(self, port: int, history: soak_checks.History) -> None:
        self._port = port
        self._history = history
        self._conn: http1.ClientConn | None = None

    def close(self) -> None:
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    async def send(
        self,
        name: str,
        kind: soak_checks.RequestKind,
        *,
        planned_stops_only: bool = False,
        path_suffix: str = "x",
        prompt: bytes = b"",
    ) -> soak_checks.CallResult:
        """Send one request; record and return its result.

        :param path_suffix: last part of the path.
        :param prompt: parts of its prompt, as sent; empty to send none.
        """
        parts: list[bytes] = []
        status, complete = 0, False
        try:
            async with asyncio.timeout(_CALLER_TIMEOUT_S):
                conn = await self._open()
                method = (
                    b"POST"
                    if kind is soak_checks.RequestKind.UNSAFE
                    else b"GET"
                )
                headers = [
                    (b"Host", b"h"),
                    (b"Attempt-Identifier", name.encode()),
                    (b"Time-Remaining", b"%d" % REQUEST_TIMEOUT_MS),
                ]
                if method == b"POST":
                    headers.append((b"Content-Length", b"0"))
                if prompt:
                    headers.append((b"Prompt-Prefix", prompt))
                target = f"/{kind.value}/{path_suffix}".encode()
                conn.send(method, target, headers, b"")
                status = (await conn.read_head()).status
                while (data := await conn.read_data()) is not None:
                    parts.append(data)
                complete = True
        except (
            http1.ConnectionBrokenError,
            http1.NoConnectionError,
            TimeoutError,
        ):
            self.close()
        if self._conn is not None and not self._conn.reusable:
            self.close()
        result = soak_checks.CallResult(
            name=name,
            kind=kind,
            status=status,
            body=b"".join(parts),
            complete=complete,
            planned_stops_only=planned_stops_only,
        )
        self._history.calls.append(result)
        return result

    async def _open(self) -> http1.ClientConn:
        if self._conn is None or self._conn.closing:
            self._conn = await http1.connect(HOST, self._port, timeout_s=1.0)
        return self._conn
