# SPDX-License-Identifier: Apache-2.0
"""Requests that a caller sends before it has the answers to earlier ones."""

import asyncio

import edge_rig

from lugcross import clock as clock_lib
from lugcross import held_bytes
from lugcross import http1

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
REQUESTS = 40_000
#: Far less than all requests, and more than a few reads of the connection.
MAX_KEPT_BYTES = 300_000


def _max_kept_bytes(requests: int, limit: int | None) -> int:
    """Let a caller send requests at once, and read all answers.

    :param limit: bound on held bytes; none for no bound.
    :returns: how much was read from the connection beyond the requests served,
        at most.
    """
    kept = 0
    highest = 0

    async def answer(
        response: http1.ResponseWriter, req: http1.Request
    ) -> None:
        nonlocal kept
        del req
        # Lets the connection read ahead, as a slow handler does.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        kept -= len(REQUEST)
        await response.write_head(200, [], b"ok", complete=True)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        read = reader.read

        async def counted_read(size: int = -1) -> bytes:
            nonlocal kept, highest
            data = await read(size)
            kept += len(data)
            highest = max(highest, kept)
            return data

        reader.read = counted_read
        await http1.ServerConn(
            reader,
            writer,
            answer,
            limits=lambda: edge_rig.LIMITS,
            draining=lambda: False,
            clock=clock_lib.SystemClock(),
            held=held_bytes.HeldBytes(limit),
        ).run()

    async def main() -> None:
        server = await asyncio.start_server(
            serve, edge_rig.HOST, 0, limit=http1.CALLER_BUFFER_BYTES
        )
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(edge_rig.HOST, port)
        writer.write(REQUEST * requests)
        for _ in range(requests):
            await reader.readuntil(b"ok")
        writer.close()
        server.close()

    asyncio.run(main())
    return highest


def test_data_kept_ahead_does_not_grow_with_the_requests_served():
    # Symptom: a process ran out of memory. Sequence: a caller sent requests
    # ahead. Cause: during each request up to 128 KB more were read, but the
    # request took only its own few bytes of them.
    assert _max_kept_bytes(REQUESTS, 50_000_000) < MAX_KEPT_BYTES
    assert _max_kept_bytes(REQUESTS // 4, None) < MAX_KEPT_BYTES


def test_requests_sent_ahead_are_answered_where_no_more_may_be_kept():
    # The bound is reached by the first read.
    assert _max_kept_bytes(2_000, 1_000) < MAX_KEPT_BYTES
