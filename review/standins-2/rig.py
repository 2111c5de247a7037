"""Starts edge processes and stand-ins on loopback addresses for one case."""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse
from typing import Any

STORE_HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[2]
_KEY = "key-1"
#: Limits of the pages' example of a desired state.
_LIMITS = {
    "header_bytes": 16384,
    "body_bytes": 4194304,
    "header_ms": 3000,
    "idle_ms": 15000,
}
_SETTINGS = """
node: "{node}"
domain: "{domain}"
listen:
  callers: "{host}:{callers}"
  ready: "{host}:{ready}"
  state: "{host}:{state}"
  peers: "{host}:{peers}"
  metrics: "{host}:{metrics}"
seeds: [{seeds}]
store:
  address: "{store}"
  form: "log"
bounds:
  grace_s: 8
  drain_ms: 2000
  change_ms: 2000
  repeat_ratio: 0.2
  repeat_window_s: 10
  repeat_slack: 92
  contact_ms: 3000
{fenced}memory_mb: {memory_mb}
"""


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._begun = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        at = time.monotonic() - self._begun
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()

    def result(self, text: str) -> None:
        """Write a line about the result, to standard output too."""
        self.write(text)
        print(text, flush=True)


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free on all of some addresses."""
    found: list[int] = []
    while len(found) < count:
        with socket.socket() as first:
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
        if port not in found and all(_is_free(one, port) for one in hosts):
            found.append(port)
    return found


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


class Edges:
    """Edge processes, started with the command of the deploy file."""

    def __init__(
        self,
        record: Record,
        store: str,
        count: int,
        *,
        fenced: bool = False,
        memory_mb: int = 300,
        domains: tuple[str, ...] = ("zone-a", "zone-b", "zone-c"),
    ) -> None:
        self._record = record
        self._folder = tempfile.TemporaryDirectory()
        self.hosts = [f"127.0.0.{num + 1}" for num in range(count)]
        names = ("callers", "ready", "state", "peers", "metrics")
        ports = free_ports(self.hosts, len(names))
        self.ports = dict(zip(names, ports, strict=True))
        seeds = ", ".join(
            f'"{host}:{self.ports["state"]}"' for host in self.hosts[:3]
        )
        self._paths: list[pathlib.Path] = []
        for num, host in enumerate(self.hosts):
            path = pathlib.Path(self._folder.name) / f"edge-{num}.yaml"
            path.write_text(
                _SETTINGS.format(
                    node=f"front-{num}",
                    domain=domains[num % len(domains)],
                    host=host,
                    seeds=seeds,
                    store=store,
                    fenced="  fenced: true\n" if fenced else "",
                    memory_mb=memory_mb,
                    **self.ports,
                ),
                encoding="utf-8",
            )
            self._paths.append(path)
        self.procs: list[asyncio.subprocess.Process | None] = [None] * count

    def log(self, num: int) -> str:
        """Return what a process has logged."""
        path = self._paths[num].with_suffix(".log")
        return path.read_text(encoding="utf-8", errors="replace")

    async def start(self, num: int) -> None:
        """Start one process."""
        path = self._paths[num]
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LUGCROSS_CONFIG": str(path),
        }
        with path.with_suffix(".log").open("ab") as log:
            self.procs[num] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lugcross",
                "edge",
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self._record.write(f"edge {num} started on {self.hosts[num]}")

    async def start_all(self) -> None:
        """Start all processes and wait until they are ready."""
        for num in range(len(self.procs)):
            await self.start(num)
        async with asyncio.timeout(20):
            for num in range(len(self.procs)):
                while not await self.is_ready(num):
                    await asyncio.sleep(0.05)

    async def is_ready(self, num: int) -> bool:
        """Return whether a process answers 200 to the readiness check."""
        try:
            reader, writer = await asyncio.open_connection(
                self.hosts[num], self.ports["ready"]
            )
        except OSError:
            return False
        writer.write(b"GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n")
        try:
            async with asyncio.timeout(1):
                line = await reader.readline()
        except (OSError, TimeoutError):
            line = b""
        writer.close()
        return b" 200 " in line

    def signal(self, num: int, what: signal.Signals) -> None:
        """Send a signal to one process."""
        proc = self.procs[num]
        if proc is not None and proc.returncode is None:
            proc.send_signal(what)
            self._record.write(f"edge {num} gets {what.name}")

    async def stop_all(self) -> None:
        """Kill all processes and wait for their ends."""
        for proc in self.procs:
            if proc is not None and proc.returncode is None:
                proc.kill()
        for proc in self.procs:
            if proc is not None:
                await proc.wait()

    def keep_logs(self, folder: pathlib.Path) -> None:
        """Copy the logs of all processes into a folder."""
        for num, path in enumerate(self._paths):
            if path.with_suffix(".log").exists():
                (folder / f"edge-{num}.log").write_text(self.log(num))


class Topic:
    """A topic of the store, with one partition of keyed records."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()

    def append(self, key: str, value: bytes) -> None:
        """Append one record; one without a value drops its key."""
        self.newest.pop(key, None)
        if value:
            self.newest[key] = len(self.records), value
        self.records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """A small stand-in of the platform's store: keyed topics only.

    :ivar silent: whether it leaves all calls unanswered.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._topics: dict[str, Topic] = {}
        self.era = 1
        self.silent = False
        self.address = ""

    def topic(self, name: str) -> Topic:
        """Return a topic, which comes into being at its first use."""
        return self._topics.setdefault(name, Topic())

    def append(self, topic: str, key: str, value: bytes) -> None:
        """Append one record of the operator or a replica."""
        self.topic(topic).append(key, value)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, *rest = head[:-4].decode("latin-1").split("\r\n")
                length = 0
                for one in rest:
                    name, _, value = one.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length)
                target = urllib.parse.urlsplit(line.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(target.query))
                status, answer = await self._answer(target.path, query, body)
                while self.silent:
                    await asyncio.sleep(0.05)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode()
                    + answer
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        topic = self.topic(query.get("topic", ""))
        if path == "/log-newest":
            return 200, self._newest(topic, query.get("after_revision", ""))
        if path == "/log-read":
            return await self._read(
                topic, int(query["from"]), int(query.get("wait_ms", "0"))
            )
        if path == "/log-append":
            return self._append(topic, query, body)
        return 404, b""

    def _newest(self, topic: Topic, after: str) -> bytes:
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "private_key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:500]
        ]
        more = len(keys) > len(items)
        end = len(topic.records)
        return json.dumps(
            {"items": items, "has_more": more, "end": end}
        ).encode()

    async def _read(
        self, topic: Topic, start: int, wait_ms: int
    ) -> tuple[int, bytes]:
        if start >= len(topic.records) and wait_ms:
            try:
                async with asyncio.timeout(min(wait_ms, 30_000) / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        if start > len(topic.records):
            return 410, b'{"first":0}'
        found = struct.pack(">QQ", len(topic.records), 0)
        for key, value in topic.records[start:]:
            name = key.encode()
            record = bytes((len(name),)) + name + value
            found += struct.pack(">I", len(record)) + record
        return 200, found

    def _append(
        self, topic: Topic, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        first = len(topic.records)
        if int(query.get("current_rev", first)) != first:
            return 412, json.dumps({"end": first}).encode()
        while body:
            (size,) = struct.unpack_from(">I", body)
            record, body = body[4 : 4 + size], body[4 + size :]
            key_end = 1 + record[0]
            topic.append(record[1:key_end].decode(), record[key_end:])
        end = len(topic.records)
        return 200, json.dumps({"offset": first, "end": end}).encode()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, STORE_HOST, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{STORE_HOST}:{port}"

    def put_config(
        self,
        version: int,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        **limits: int,
    ) -> None:
        """Write a desired state."""
        state = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {**_LIMITS, **limits},
            "tenants": [{"name": "tenant-1", "api_keys": [_KEY]}],
        }
        self.append("keyed.op", "config", json.dumps(state).encode())
        self._record.write(f"store confirms op/config version {version}")

    def put_server(self, name: str, **fields: Any) -> None:
        """Write the entry of a replica."""
        entry = {
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_ms": 0,
            "sequence": 1,
            **fields,
        }
        self.append("keyed.servers", name, json.dumps(entry).encode())


_ids = itertools.count(1)


def new_id() -> str:
    """Return the id of a new client attempt."""
    return f"{os.getpid():08x}{next(_ids):08x}"


def request(
    path: str,
    attempt: str,
    *headers: str,
    method: str = "POST",
    body: bytes = b"",
    time_left_ms: int = 8050,
) -> bytes:
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: site.example",
        f"Attempt-Identifier: {attempt}",
        f"Time-Remaining: {time_left_ms}",
        f"X-Api-Key: {_KEY}",
        *headers,
    ]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of an answer.

    :raises asyncio.IncompleteReadError: when it ends early.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = head[:-4].split("\r\n")
    headers = {}
    for one in rest:
        name, _, value = one.partition(":")
        headers[name.lower()] = value.strip()
    status = int(line.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"x", 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return status, headers, body
    if "content-length" in headers:
        length = int(headers["content-length"])
        return status, headers, await reader.readexactly(length)
    return status, headers, await reader.read()
