# SPDX-License-Identifier: Apache-2.0
"""Memory of a request handler whose callers or servers read nothing.

The handler runs in this process; its callers and its backend server run in
processes of their own. For each kind of load it prints the bound, the highest
sum of held bytes and the resident memory before and at its highest, in MB::

    python bench/slow_readers.py --memory-mb 152
"""

import argparse
import asyncio
import dataclasses
import datetime
import multiprocessing
import multiprocessing.connection
import os
import pathlib
import resource
import socket
import time

import edge_rig

from lugcross import ids
from lugcross import platform

MB = 1_000_000
RESPONSE_BYTES = 6 * MB
BODY_BYTES = MB
EVENT = b"id: 1\ndata: " + b"x" * 50_000 + b"\n\n"
SOCKET_BYTES = 16_384
TIME_LEFT_MS = 50_000
ROUTE = dataclasses.replace(
    edge_rig.STREAM_ROUTE, timeout=datetime.timedelta(seconds=60)
)
#: Kinds of load: streams and whole responses that callers don't read, and
#: bodies that the server doesn't answer.
KINDS = ("streams", "whole", "bodies")


def _script(kind: str) -> edge_rig.Script:
    if kind == "streams":
        return edge_rig.events(*[EVENT] * (RESPONSE_BYTES // len(EVENT)))
    if kind == "whole":
        return edge_rig.answer(200, b"y" * RESPONSE_BYTES)
    return edge_rig.never_answer


def _run_server(
    kind: str, count: int, pipe: multiprocessing.connection.Connection
) -> None:
    async def main() -> None:
        backend = edge_rig.FakeBackend([_script(kind)] * count)
        await backend.start()
        pipe.send(backend.port)
        await asyncio.Event().wait()

    asyncio.run(main())


def _run_callers(kind: str, count: int, port: int) -> None:
    body = b"z" * BODY_BYTES if kind == "bodies" else b""
    data = edge_rig.request(method=b"POST", body=body, time_left=TIME_LEFT_MS)

    async def call() -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (edge_rig.HOST, port))
        await loop.sock_sendall(sock, data)
        return sock

    async def main() -> None:
        calls = [call() for _ in range(count)]
        # The sockets stay open, and nothing is read from them.
        results = await asyncio.gather(*calls, return_exceptions=True)
        await asyncio.Event().wait()
        del results

    asyncio.run(main())


def _resident_mb() -> float:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / MB


async def _measure(args: argparse.Namespace, kind: str) -> str:
    own, other = multiprocessing.Pipe()
    server = multiprocessing.Process(
        target=_run_server, args=(kind, args.callers, other), daemon=True
    )
    server.start()
    limits = dataclasses.replace(edge_rig.LIMITS, max_body_bytes=2 * MB)
    edge_rig.LIMITS = limits
    rig = edge_rig.Rig(memory_mb=args.memory_mb)
    held = rig.edge_state.held_bytes
    rig.adopt(ROUTE)
    await rig.start()
    entry = edge_rig.backend_entry(
        "app", f"{edge_rig.HOST}:{own.recv()}", "d1", slots=10_000
    )
    record = platform.KeyedRecord(ids.Offset(0), "i-0", entry)
    rig.edge_state.backends.apply(
        platform.ReadResult(end=ids.Offset(1), records=(record,)),
        store_was_away=False,
    )
    before = _resident_mb()
    callers = multiprocessing.Process(
        target=_run_callers, args=(kind, args.callers, rig.port), daemon=True
    )
    callers.start()
    highest = highest_held = 0.0
    end = time.monotonic() + args.seconds
    while time.monotonic() < end:
        await asyncio.sleep(0.01)
        highest = max(highest, _resident_mb())
        highest_held = max(highest_held, held.total / MB)
    callers.terminate()
    server.terminate()
    rig.close()
    limit = "none" if held.limit is None else f"{held.limit / MB:.1f}"
    return (
        f"{kind}: {args.callers} callers, bound {limit}, held "
        f"{highest_held:.1f}, resident {before:.1f} before, {highest:.1f} at "
        "its highest"
    )


def _run_kind(args: argparse.Namespace, kind: str) -> None:
    async def run() -> None:
        print(await _measure(args, kind), flush=True)
        # Without waiting for the requests that are still held.
        os._exit(0)

    asyncio.run(run())


def main() -> None:
    """Measure each kind of load in a process of its own."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--memory-mb", type=float, default=None)
    parser.add_argument("--callers", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=8.0)
    args = parser.parse_args()
    for kind in KINDS:
        run = multiprocessing.Process(target=_run_kind, args=(args, kind))
        run.start()
        run.join()


if __name__ == "__main__":
    main()
