# SPDX-License-Identifier: Apache-2.0
"""One real edge process with low limits, and crowds of clients around it."""

import asyncio
from collections.abc import Iterator
import contextlib
import json
import os
import pathlib
import resource
import signal
import socket
import sys
from typing import final

import crowd_cases
import edge_rig

from lugcross import platform
from lugcross.standin import store as standin

HOST = edge_rig.HOST
_BYTES_PER_MB = 1_000_000
#: Time between two looks at the process.
_SAMPLE_INTERVAL_S = 0.02
#: Time without progress after which a client takes it that nobody reads.
_NO_PROGRESS_S = 1.0
_RETRY_INTERVAL_S = 0.01
#: Longest time that the process may take to start, or to answer an ordinary
#: request; reached only if it hangs.
_HANG_S = 60.0
#: Longest time that an ordinary caller waits for one answer.
_CALLER_TIMEOUT_S = 10.0
_TRICKLE_INTERVAL_S = 0.5
#: Time for which a crowd stays before it is looked at what it has done.
_SETTLE_S = 2.0
_READINESS_CHECK = (
    b"GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
)
_METRICS_REQUEST = (
    b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
)
#: A request as ordinary callers send it.
ORDINARY = crowd_cases.request(crowd_cases.QUICK_PATH, close=True)


def _address_row(port: int) -> str:
    """Return a local address as the tables of the kernel spell it."""
    return "0100007F:%04X" % port


@final
class Backend:
    """A backend server that runs requests as their path says.

    ``/app/hold`` is answered only when :attr:`release` is set, ``/app/large``
    with a large body, ``/app/failed`` with a large body and status 500.
    """

    def __init__(self, large_bytes: int) -> None:
        self._large_bytes = large_bytes
        self._server: asyncio.Server | None = None
        self.release = asyncio.Event()
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await self._serve_request(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        line, *lines = head[:-4].split(b"\r\n")
        fields = dict(one.split(b":", 1) for one in lines)
        headers = {name.lower(): one.strip() for name, one in fields.items()}
        length = int(headers.get(b"content-length", b"0"))
        got = await reader.readexactly(length)
        path = line.split(b" ")[1]
        if path.endswith(b"hold"):
            await self.release.wait()
        large = path.endswith((b"large", b"failed"))
        size = self._large_bytes if large else 2
        status = 500 if path.endswith(b"failed") else 200
        writer.write(
            b"HTTP/1.1 %d X\r\nAttempt-Identifier: %s\r\nResponse-Seal: s\r\n"
            b"Body-Bytes: %d\r\nHeader-Fields: %d\r\n"
            b"Content-Length: %d\r\n\r\n"
            % (
                status,
                headers[b"attempt-identifier"],
                len(got),
                len(lines),
                size,
            )
        )
        writer.write(b"x" * size)
        await writer.drain()


@final
class System:
    """An edge process, a store stand-in and a backend server.

    :param path: folder for the settings and the log of the process.
    """

    def __init__(self, path: pathlib.Path, limits: crowd_cases.Limits) -> None:
        self._limits = limits
        self._settings_file = path / "edge.yaml"
        self._log = path / "edge.log"
        self.store = standin.StoreStandin()
        self.backend = Backend(limits.large_answer_bytes)
        self.ports = {
            name: edge_rig.reserve_port()
            for name in ("callers", "ready", "state", "peers", "metrics")
        }
        self._proc: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task[None] | None = None
        self._clients: list[Client] = []
        self._tasks: list[asyncio.Task[None]] = []
        #: Highest memory of the process, unread data of its sockets included.
        self.max_memory_mb = 0.0
        #: Most file descriptors that it had open.
        self.max_descriptors = 0

    async def __aenter__(self) -> "System":
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stop()

    async def _start(self) -> None:
        store_address = await self.store.start(HOST)
        await self.backend.start()
        self._publish()
        self._write_settings(store_address)
        with self._log.open("wb") as log:
            self._proc = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lugcross",
                "edge",
                env={
                    **os.environ,
                    "LUGCROSS_CONFIG": str(self._settings_file),
                },
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_descriptors,
            )
        await self.serve_ordinary_request()
        self._watch = asyncio.create_task(self._sample())

    def _limit_descriptors(self) -> None:
        limit = self._limits.file_descriptors
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    def _publish(self) -> None:
        limits = self._limits
        routes = [
            {
                "name": "app",
                "host": "h",
                "path_prefix": "/app/",
                "kind": "safe",
                "timeout_ms": limits.timeout_ms,
                "service": "app",
                "attempts": 2,
            },
        ]
        desired_state = {
            "version": 1,
            "routes": routes,
            "services": [{"name": "app"}],
            "limits": {
                "header_bytes": limits.header_bytes,
                "body_bytes": limits.body_bytes,
                "header_ms": limits.header_ms,
                "idle_ms": limits.idle_ms,
            },
        }
        self.store.append(
            platform.OPERATOR_TOPIC,
            platform.DESIRED_STATE_KEY,
            json.dumps(desired_state).encode(),
        )
        row = edge_rig.backend_entry(
            "app", f"{HOST}:{self.backend.port}", "d1", slots=1000
        )
        self.store.append(platform.BACKENDS_TOPIC, "i-1", row)

    def _write_settings(self, store_address: str) -> None:
        listen = {name: f"{HOST}:{port}" for name, port in self.ports.items()}
        settings = {
            "node": "n1",
            "domain": "d1",
            "listen": listen,
            "store": {"address": store_address, "form": "log"},
            "bounds": {
                "grace_s": 8,
                "drain_ms": 2000,
                "change_ms": 2000,
                "repeat_ratio": 0.2,
                "repeat_window_s": 10,
                "repeat_slack": 30,
                "contact_ms": 3000,
            },
            "memory_mb": self._limits.memory_mb,
        }
        self._settings_file.write_text(json.dumps(settings), encoding="utf-8")

    async def _stop(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
        self.backend.release.set()
        self.close_clients()
        if self._proc is not None and self.running:
            self._proc.kill()
            await self._proc.wait()
        self.backend.close()
        self.store.close()

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._proc is not None and self._proc.returncode is None

    def send_signal(self, num: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._proc is not None
        self._proc.send_signal(num)

    async def wait(self) -> int:
        """Wait for the process to end; return its status.

        :raises TimeoutError: if it hangs.
        """
        assert self._proc is not None
        async with asyncio.timeout(_HANG_S):
            return await self._proc.wait()

    def descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        assert self._proc is not None
        return len(os.listdir(f"/proc/{self._proc.pid}/fd"))

    async def metrics(self) -> bytes:
        """Return the metrics of the process."""
        return await self._exchange("metrics", _METRICS_REQUEST)

    def log(self) -> str:
        """Return the process's log."""
        return self._log.read_text(encoding="utf-8")

    def log_tail(self, chars: int = 1000) -> str:
        """Return the end of the process's log."""
        return self.log()[-chars:]

    async def _sample(self) -> None:
        """Note the highest memory and most descriptors until cancelled."""
        while self.running:
            self._sample_once()
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def _sample_once(self) -> None:
        assert self._proc is not None
        folder = pathlib.Path("/proc") / str(self._proc.pid)
        with contextlib.suppress(OSError):
            memory = _resident_bytes(folder) + self._unread_bytes()
            self.max_memory_mb = max(
                self.max_memory_mb, memory / _BYTES_PER_MB
            )
            self.max_descriptors = max(
                self.max_descriptors, len(os.listdir(folder / "fd"))
            )

    def _unread_bytes(self) -> int:
        """Return how much the process's sockets hold that it has not read."""
        own = {_address_row(port) for port in self.ports.values()}
        total = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            listening = fields[3] == "0A"
            if fields[1] in own and not listening:
                total += int(fields[4].partition(":")[2], 16)
        return total

    async def serve_ordinary_request(self) -> None:
        """Send one ordinary request, on new connections until it is served.

        :raises AssertionError: if the process has ended.
        :raises TimeoutError: if it hangs.
        """
        async with asyncio.timeout(_HANG_S):
            while not await self.is_served(ORDINARY):
                assert self.running, self.log_tail()
                await asyncio.sleep(0.1)

    async def answer_readiness_check(self) -> None:
        """Check readiness as the platform does, until the answer is 200.

        :raises AssertionError: if the process has ended.
        :raises TimeoutError: if it does not answer.
        """
        async with asyncio.timeout(_HANG_S):
            while not await self.is_ready():
                assert self.running, self.log_tail()
                await asyncio.sleep(0.1)

    async def is_served(self, data: bytes) -> bool:
        """Return whether a request on a new connection gets 200."""
        return (await self.answer_to(data)).startswith(b"HTTP/1.1 200 ")

    async def answer_to(self, data: bytes) -> bytes:
        """Return what answers a request on a new connection of callers."""
        return await self._exchange("callers", data)

    async def is_ready(self) -> bool:
        """Return whether the readiness check is answered with 200."""
        got = await self._exchange("ready", _READINESS_CHECK)
        return got.startswith(b"HTTP/1.1 200 ")

    async def _exchange(self, port_name: str, data: bytes) -> bytes:
        try:
            async with asyncio.timeout(_CALLER_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    HOST, self.ports[port_name]
                )
                try:
                    writer.write(data)
                    return await reader.read()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return b""

    async def play(self, *crowds: crowd_cases.Crowd) -> None:
        """Let crowds do what they do, all at once.

        Their connections stay open until :meth:`close_clients`.
        """
        await asyncio.gather(*(self._play_waves(one) for one in crowds))
        await asyncio.sleep(_SETTLE_S)

    async def _play_waves(self, crowd: crowd_cases.Crowd) -> None:
        for _ in range(crowd.waves):
            port = self.ports[crowd.port.value]
            wave = [Client(port) for _ in range(crowd.clients)]
            self._clients += wave
            await asyncio.gather(*(self._act(one, crowd) for one in wave))

    async def _act(self, client: "Client", crowd: crowd_cases.Crowd) -> None:
        if not await client.connect():
            return
        parts = [crowd.opening] + [crowd.repeated] * crowd.repeats
        await client.send(iter(parts))
        if crowd.end is crowd_cases.End.FINISH:
            client.finish_sending()
        elif crowd.end is crowd_cases.End.RESET:
            client.reset()
        elif crowd.end is crowd_cases.End.TRICKLE:
            self._tasks.append(asyncio.create_task(_trickle(client)))

    def close_clients(self) -> None:
        """Close the connections of all clients."""
        for task in self._tasks:
            task.cancel()
        for client in self._clients:
            client.close()
        self._clients.clear()


@final
class Client:
    """A connection that sends bytes and reads only what it is told to."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.sock = socket.socket()
        self.sock.setblocking(False)
        # What is not read is to be held by the process, not here.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    async def connect(self) -> bool:
        """Connect; return whether that succeeded."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CALLER_TIMEOUT_S):
                await loop.sock_connect(self.sock, (HOST, self._port))
        except (OSError, TimeoutError):
            return False
        return True

    async def send(self, parts: Iterator[bytes]) -> int:
        """Send until all is sent, nobody reads on, or the connection ends.

        :returns: number of bytes sent.
        """
        loop = asyncio.get_running_loop()
        total = 0
        for part in parts:
            rest = memoryview(part)
            progress_at = loop.time()
            while rest:
                try:
                    sent = self.sock.send(rest)
                except BlockingIOError:
                    if loop.time() - progress_at > _NO_PROGRESS_S:
                        return total
                    await asyncio.sleep(_RETRY_INTERVAL_S)
                except OSError:
                    return total
                else:
                    rest = rest[sent:]
                    total += sent
                    progress_at = loop.time()
            await asyncio.sleep(0)
        return total

    def finish_sending(self) -> None:
        """Tell the process that nothing more will be sent."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Close the connection with a reset."""
        linger = (1).to_bytes(4, sys.byteorder) + bytes(4)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


async def _trickle(client: Client) -> None:
    while await client.send(iter([b"x"])):
        await asyncio.sleep(_TRICKLE_INTERVAL_S)


def _resident_bytes(folder: pathlib.Path) -> int:
    pages = int((folder / "statm").read_text().split()[1])
    return pages * resource.getpagesize()
