# SPDX-License-Identifier: Apache-2.0
"""Server connections with invalid requests and unusual framing."""

import asyncio
import datetime

import edge_rig
import pytest

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import http1

NO_TIME = datetime.timedelta()
OK = b"HTTP/1.1 200 "


def _send_to_server(
    data: bytes, *, limits: desired.RequestLimits = edge_rig.LIMITS
) -> bytes:
    """Send bytes to an echo server; return all that it sends back."""

    async def echo(response: http1.ResponseWriter, req: http1.Request) -> None:
        body = req.method + b" " + req.target + b" " + (req.body or b"-")
        await response.write_head(200, [], body, complete=True)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = http1.ServerConn(
            reader,
            writer,
            echo,
            limits=lambda: limits,
            draining=lambda: False,
            clock=clock_lib.SystemClock(),
        )
        await conn.run()

    async def main() -> bytes:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        got = await reader.read()
        writer.close()
        server.close()
        return got

    return asyncio.run(main())


def _post(*headers: bytes, body: bytes = b"") -> bytes:
    lines = [b"POST /p HTTP/1.1", b"Host: h", *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"no http at all\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 9000, b"431"),
        (_post(b"Content-Length: 99999"), b"413"),
        (_post(b"Content-Length: x"), b"400"),
        (_post(b"Content-Length: 3", b"Content-Length: 4"), b"400"),
        (
            _post(
                b"Content-Length: 3",
                b"Transfer-Encoding: chunked",
                body=b"0\r\n\r\n",
            ),
            b"400",
        ),
        (_post(b"Transfer-Encoding: gzip"), b"501"),
    ],
    ids=[
        "not-http",
        "missing-host",
        "long-head",
        "long-body",
        "bad-length",
        "conflicting-lengths",
        "length-and-chunked",
        "unknown-coding",
    ],
)
def test_bad_request_gets_error_response_and_connection_closes(data, status):
    got = _send_to_server(data)
    assert got.startswith(b"HTTP/1.1 " + status)
    assert b"close" in got.lower()
    assert OK not in got


def test_chunked_body_over_the_limit_is_refused():
    body = b"800\r\n" + b"x" * 0x800 + b"\r\n0\r\n\r\n"
    got = _send_to_server(_post(b"Transfer-Encoding: chunked", body=body))
    assert got.startswith(b"HTTP/1.1 413")


def test_request_inside_a_body_is_not_served():
    inner = b"GET /inner HTTP/1.1\r\nHost: h\r\n\r\n"
    length = b"Content-Length: %d" % len(inner)
    got = _send_to_server(_post(length, b"Connection: close", body=inner))
    assert got.count(OK) == 1


def test_pipelined_requests_are_answered_in_order():
    first = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
    last = b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    got = _send_to_server(first + last)
    assert got.count(OK) == 2
    assert got.index(b"GET /1") < got.index(b"GET /2")


def test_slow_head_times_out_and_idle_connection_closes():
    no_time = desired.RequestLimits(
        max_head_bytes=4096,
        max_body_bytes=1024,
        head_timeout=NO_TIME,
        idle_timeout=NO_TIME,
    )
    no_head_time = desired.RequestLimits(
        max_head_bytes=4096,
        max_body_bytes=1024,
        head_timeout=NO_TIME,
        idle_timeout=edge_rig.LIMITS.idle_timeout,
    )
    assert _send_to_server(b"GET / HT", limits=no_head_time).startswith(
        b"HTTP/1.1 408"
    )
    assert _send_to_server(b"", limits=no_time) == b""


def test_head_request_gets_no_body():
    got = _send_to_server(
        b"HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    )
    assert got.startswith(OK)
    assert got.endswith(b"\r\n\r\n")
