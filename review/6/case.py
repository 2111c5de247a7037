"""A desired state that raises the limit on request heads."""

import asyncio
import collections
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import rig  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 3
#: Kept connections on each machine; the site has 91 clients for 8 machines.
CLIENTS = 11
#: Limit before and after the change, and the size of a head between them.
OLD_LIMIT = 16_384
NEW_LIMIT = 32_768
HEAD_BYTES = 20_000
#: Data of one packet on usual links.
PACKET_BYTES = 1_460
#: Requests of each client with a large head.
REQUESTS = 2
#: Wait after the confirmation of the change (configuration_ms = 2,000).
WAIT_S = 4.0
#: What the rule allows: 5 + one in 500.
DENIED_ALLOWED = 5
ONE_IN = 500


class Replica:
    """A replica that answers all requests with 200."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.port = 0
        self.runs = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2 * NEW_LIMIT
        )
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = {}
                for one in head[:-4].decode("latin-1").split("\r\n")[1:]:
                    name, _, value = one.partition(":")
                    headers[name.lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                await reader.readexactly(length)
                self.runs += 1
                attempt = headers["attempt-identifier"]
                writer.write(
                    (
                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                        f"Attempt-Identifier: {attempt}\r\n"
                        f"Response-Seal: s.{self.name}\r\n\r\nok"
                    ).encode()
                )
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def send(
    conn: tuple[asyncio.StreamReader, asyncio.StreamWriter], data: bytes
) -> tuple[int, bool]:
    """Send a request packet by packet.

    :returns: the status of the answer, and whether the connection stays open.
    """
    reader, writer = conn
    try:
        for start in range(0, len(data), PACKET_BYTES):
            writer.write(data[start : start + PACKET_BYTES])
            await writer.drain()
            await asyncio.sleep(0.001)
    except OSError:
        # The answer may have come before the whole request was sent.
        pass
    try:
        status, headers, _ = await rig.read_answer(reader)
    except (OSError, asyncio.IncompleteReadError):
        return 0, False
    return status, "connection" not in headers


def large_request(attempt: str) -> bytes:
    """Return a request with a head of about ``HEAD_BYTES``."""
    small = rig.request("/app/x", attempt, body=b"b" * 600)
    cookie = "c" * (HEAD_BYTES - len(small))
    return rig.request("/app/x", attempt, f"Cookie: {cookie}", body=b"b" * 600)


async def main() -> int:
    """Play the case; return the exit code."""
    record = rig.Record(FOLDER)
    store = rig.Store(record)
    await store.start()
    replicas = [Replica(f"i-{num}") for num in range(3)]
    for replica in replicas:
        await replica.start()
        store.put_server(
            replica.name,
            service="app",
            address=f"127.0.0.1:{replica.port}",
            zone="zone-a",
        )
    route = {
        "name": "r-1",
        "host": "site.example",
        "path_prefix": "/app/",
        "kind": "unsafe",
        "timeout_ms": 4000,
        "latency_target_ms": 402,
        "priority": 2,
        "service": "app",
        "attempts": 2,
    }
    services = [{"name": "app", "connection_limit": 110}]
    first = OLD_LIMIT if TROUBLE else NEW_LIMIT
    store.put_config(1, [route], services, header_bytes=first)
    edges = rig.Edges(record, store.address, MACHINES)
    answers: collections.Counter[int] = collections.Counter()
    conns = []
    try:
        await edges.start_all()
        for num in range(CLIENTS * MACHINES):
            conn = await asyncio.open_connection(
                edges.hosts[num % MACHINES], edges.ports["callers"]
            )
            data = rig.request("/app/x", rig.new_id(), body=b"b" * 600)
            status, _ = await send(conn, data)
            record.write(f"client {num}: small head: {status}")
            if status != 200:
                record.result("could not run: a small request is not served")
                return 2
            conns.append(conn)
        store.put_config(2, [route], services, header_bytes=NEW_LIMIT)
        await asyncio.sleep(WAIT_S)
        for turn in range(REQUESTS):
            for num, conn in enumerate(conns):
                data = large_request(rig.new_id())
                status, stays = await send(conn, data)
                answers[status] += 1
                record.write(f"client {num}: large head: {status}")
                if not stays:
                    conn[1].close()
                    conns[num] = await asyncio.open_connection(
                        edges.hosts[num % MACHINES], edges.ports["callers"]
                    )
            record.write(f"turn {turn} done")
    finally:
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        await edges.stop_all()
    sent = CLIENTS * MACHINES * (REQUESTS + 1)
    denied = sum(
        count
        for status, count in answers.items()
        if 300 <= status < 500 and status not in (408, 421, 429)
    )
    record.result(f"answers to requests with a large head: {dict(answers)}")
    if denied > DENIED_ALLOWED + sent / ONE_IN:
        record.result(f"DENIED: {denied} of {sent} requests")
        return 1
    record.result(f"held: {denied} of {sent} requests denied")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
