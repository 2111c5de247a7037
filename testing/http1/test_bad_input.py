# SPDX-License-Identifier: Apache-2.0
"""What a caller's connection does with bytes that are no request."""

import asyncio
import datetime

import edge_rig
import pytest

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import http1

NOW = datetime.timedelta()
OK = b"HTTP/1.1 200 "


def _send_to_server(
    data: bytes, *, limits: desired.RequestLimits = edge_rig.LIMITS
) -> bytes:
    """Send bytes to an echoing server; return all that comes back."""

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
        "no-http",
        "no-host",
        "long-head",
        "long-body",
        "bad-length",
        "two-lengths",
        "length-and-chunks",
        "unknown-coding",
    ],
)
def test_bad_request_gets_an_error_and_the_connection_ends(data, status):
    got = _send_to_server(data)
    assert got.startswith(b"HTTP/1.1 " + status)
    assert b"close" in got.lower()
    assert OK not in got


def test_chunked_body_past_the_limit_is_refused():
    body = b"800\r\n" + b"x" * 0x800 + b"\r\n0\r\n\r\n"
    got = _send_to_server(_post(b"Transfer-Encoding: chunked", body=body))
    assert got.startswith(b"HTTP/1.1 413")


def test_bytes_within_a_body_are_no_request():
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


def test_slow_head_is_refused_as_not_run():
    limits = desired.RequestLimits(
        max_head_bytes=4096,
        max_body_bytes=1024,
        head_timeout=NOW,
        idle_timeout=NOW,
    )
    slow = desired.RequestLimits(
        max_head_bytes=4096,
        max_body_bytes=1024,
        head_timeout=NOW,
        idle_timeout=edge_rig.LIMITS.idle_timeout,
    )
    assert _send_to_server(b"GET / HT", limits=slow).startswith(
        b"HTTP/1.1 408"
    )
    assert _send_to_server(b"", limits=limits) == b""


def test_head_request_gets_no_body():
    got = _send_to_server(
        b"HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    )
    assert got.startswith(OK)
    assert got.endswith(b"\r\n\r\n")
