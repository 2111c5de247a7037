# SPDX-License-Identifier: Apache-2.0
"""Bodies that arrive more slowly than their request's time allows."""

import asyncio
import datetime

import edge_rig

from lugcross import clock as clock_lib
from lugcross import http1

HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n"


async def _send_slowly(limit: datetime.timedelta | None) -> bytes:
    """Send a body byte by byte until there is an answer, and return it."""

    async def answer(
        response: http1.ResponseWriter, req: http1.Request
    ) -> None:
        del req
        await response.write_head(200, [], b"ok", complete=True)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await http1.ServerConn(
            reader,
            writer,
            answer,
            limits=lambda: edge_rig.LIMITS,
            draining=lambda: False,
            clock=clock_lib.SystemClock(),
            time_limit=lambda target, headers: limit,
        ).run()

    server = await asyncio.start_server(serve, edge_rig.HOST, 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(edge_rig.HOST, port)
    writer.write(HEAD)
    read = asyncio.create_task(reader.readuntil(b"\r\n\r\n"))
    for _ in range(1000):
        if read.done():
            break
        writer.write(b"x")
        await asyncio.sleep(0.001)
    got = await read
    writer.close()
    server.close()
    return got


def test_a_body_that_outlasts_the_request_is_refused_as_not_run():
    # Symptom: a few clients kept all connections for hours. Sequence: they
    # sent bodies byte by byte. Cause: the time for a body began again with
    # each byte, and the time of the request did not run while it was read.
    got = asyncio.run(_send_slowly(datetime.timedelta(milliseconds=1)))
    assert got.startswith(b"HTTP/1.1 408 ")
    assert b"connection: close" in got.lower()


def test_a_slow_body_within_its_time_is_served():
    got = asyncio.run(_send_slowly(datetime.timedelta(hours=1)))
    assert got.startswith(b"HTTP/1.1 200 ")


def test_a_slow_body_without_a_time_is_served():
    assert asyncio.run(_send_slowly(None)).startswith(b"HTTP/1.1 200 ")
