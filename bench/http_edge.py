# SPDX-License-Identifier: Apache-2.0
"""Detection of closed connections, and memory of idle ones, at HTTP servers.

    python bench/http_edge.py

Compares the edge's server (h11 over asyncio) with cheroot: the time from when
a caller closes its connection until the handler is cancelled. Also measures
the memory that the edge's server needs for an idle connection.
"""

import asyncio
from collections.abc import Callable
import datetime
import pathlib
import socket
import threading
import time

from cheroot import wsgi

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import http1

IDLE_CONNS = 1500
DISCONNECT_TIMEOUT_S = 2.0
_LIMITS = desired.RequestLimits(
    max_head_bytes=16_384,
    max_body_bytes=1_048_576,
    head_timeout=datetime.timedelta(seconds=30),
    idle_timeout=datetime.timedelta(seconds=60),
)
_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


def _rss_mb() -> float:
    text = pathlib.Path("/proc/self/status").read_text(encoding="ascii")
    line = next(x for x in text.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def _send_and_disconnect(port: int, handler_started: threading.Event) -> float:
    """Send a request, close once its handler runs; return that time."""
    sock = socket.create_connection(("127.0.0.1", port))
    sock.sendall(_REQUEST)
    handler_started.wait(DISCONNECT_TIMEOUT_S)
    sock.close()
    return time.monotonic()


def _idle_conn_kb(port: int) -> float:
    """Return the memory of one idle connection, both ends, in KB."""
    before = _rss_mb()
    socks = []
    for _ in range(IDLE_CONNS):
        socks.append(socket.create_connection(("127.0.0.1", port)))
    time.sleep(1.0)
    took = _rss_mb() - before
    for sock in socks:
        sock.close()
    return took * 1024 / IDLE_CONNS


def _measure_edge() -> tuple[float | None, float]:
    handler_started, handler_ended = threading.Event(), threading.Event()
    ports: list[int] = []
    ready = threading.Event()

    async def handler(resp: http1.ResponseWriter, req: http1.Request) -> None:
        del resp, req
        handler_started.set()
        try:
            await asyncio.sleep(60)
        finally:
            handler_ended.set()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = http1.ServerConn(
            reader,
            writer,
            handler,
            limits=lambda: _LIMITS,
            draining=lambda: False,
            clock=clock_lib.SystemClock(),
        )
        await conn.run()

    async def listen() -> None:
        server = await asyncio.start_server(
            serve, "127.0.0.1", 0, backlog=1024
        )
        ports.append(server.sockets[0].getsockname()[1])
        ready.set()
        await asyncio.sleep(60)

    threading.Thread(target=asyncio.run, args=(listen(),), daemon=True).start()
    ready.wait()
    disconnected_s = _send_and_disconnect(ports[0], handler_started)
    noticed = handler_ended.wait(DISCONNECT_TIMEOUT_S)
    took = time.monotonic() - disconnected_s if noticed else None
    return took, _idle_conn_kb(ports[0])


def _measure_cheroot() -> float | None:
    handler_started, handler_ended = threading.Event(), threading.Event()

    def app(environ: dict, start_response: Callable) -> list[bytes]:
        del environ
        handler_started.set()
        # Stands for a handler that waits for its backend server: unless it
        # writes, it cannot detect that its caller closed the connection.
        time.sleep(DISCONNECT_TIMEOUT_S * 2)
        handler_ended.set()
        start_response("200 OK", [("Content-Length", "0")])
        return []

    server = wsgi.Server(("127.0.0.1", 0), app, numthreads=1)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    disconnected_s = _send_and_disconnect(server.bind_addr[1], handler_started)
    noticed = handler_ended.wait(DISCONNECT_TIMEOUT_S)
    took = time.monotonic() - disconnected_s if noticed else None
    handler_ended.wait()
    server.stop()
    return took


def _describe(took: float | None) -> str:
    if took is None:
        return f"not heard within {DISCONNECT_TIMEOUT_S:.0f} s"
    return f"heard after {took * 1000:.1f} ms"


def main() -> None:
    """Print the measurements."""
    took, idle_kb = _measure_edge()
    print(f"h11 over asyncio: caller that left: {_describe(took)}")
    print(f"h11 over asyncio: idle connection, both ends: {idle_kb:.1f} KB")
    print(f"cheroot: caller that left: {_describe(_measure_cheroot())}")


if __name__ == "__main__":
    main()
