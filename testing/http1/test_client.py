# SPDX-License-Identifier: Apache-2.0
"""Client connections to servers that misbehave."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import fcntl
import struct

import pytest

from lugcross import http1

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
HEADERS = [(b"Host", b"h")]


def _run_against(
    serve: Serve, act: Callable[[http1.ClientConn], Awaitable[object]]
):
    async def main() -> object:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        conn = await http1.connect("127.0.0.1", port, timeout_s=30)
        try:
            async with asyncio.timeout(30):
                return await act(conn)
        finally:
            conn.close()
            server.close()

    return asyncio.run(main())


def _respond_with(data: bytes, *, close: bool = False) -> Serve:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        if close:
            writer.close()

    return serve


async def _get(conn: http1.ClientConn) -> tuple[int, bytes]:
    conn.send(b"GET", b"/", HEADERS, b"")
    answer = await conn.read_head()
    body = b""
    while (data := await conn.read_data()) is not None:
        body += data
    return answer.status, body


def test_a_part_of_a_long_body_that_was_read_counts_as_acknowledged():
    """Guards against a request that is sent again while a server reads it."""
    size = 16 * 1_048_576

    async def act(conn):
        headers = [*HEADERS, (b"Content-Length", b"%d" % size)]
        conn.send(b"POST", b"/", headers, b"x" * size)
        # The server has read the head.
        await conn.read_head()
        return conn.nothing_acknowledged()

    assert not _run_against(_respond_with(b"HTTP/1.1 200 OK\r\n\r\n"), act)


def test_early_response_to_a_long_body_is_read_without_connection_reuse():
    size = 16 * 1_048_576

    async def act(conn):
        headers = [*HEADERS, (b"Content-Length", b"%d" % size)]
        conn.send(b"POST", b"/", headers, b"x" * size)
        answer = await conn.read_head()
        while await conn.read_data() is not None:
            pass
        return answer.status, conn.reusable

    early = _respond_with(b"HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n")
    assert _run_against(early, act) == (413, False)


def test_response_without_length_ends_with_its_connection():
    plain = _respond_with(b"HTTP/1.1 200 OK\r\n\r\nwhole", close=True)

    async def act(conn):
        return await _get(conn), conn.reusable

    assert _run_against(plain, act) == ((200, b"whole"), False)


def test_response_without_length_is_broken_by_a_reset():
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\npart")
        await writer.drain()
        # Closing with unread bytes resets the connection.
        await reader.readexactly(1)
        writer.transport.abort()

    async def act(conn):
        conn.send(b"GET", b"/", HEADERS, b"")
        await conn.read_head()
        part = await conn.read_data()
        conn._writer.write(b"xy" * 100_000)
        with pytest.raises(http1.ConnectionBrokenError):
            while await conn.read_data() is not None:
                pass
        return part

    assert _run_against(serve, act) == b"part"


def test_provisional_responses_are_skipped():
    data = (
        b"HTTP/1.1 103 Early\r\nX: 1\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    )
    assert _run_against(_respond_with(data), _get) == (200, b"ok")


@pytest.mark.parametrize(
    "data",
    [b"", b"HTTP/1.1 200", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"],
    ids=["nothing", "half-a-head", "half-a-body"],
)
def test_connection_that_closes_early_is_broken(data):
    async def act(conn):
        with pytest.raises(http1.ConnectionBrokenError):
            await _get(conn)
        return conn.reusable

    assert _run_against(_respond_with(data, close=True), act) is False


def test_refused_connection_proves_that_nothing_was_sent():
    async def main():
        server = await asyncio.start_server(_respond_with(b""), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        with pytest.raises(http1.NoConnectionError):
            await http1.connect("127.0.0.1", port, timeout_s=30)

    asyncio.run(main())


def test_received_request_counts_as_acknowledged():
    async def act(conn):
        conn.send(b"GET", b"/", HEADERS, b"")
        await conn.read_head()
        return conn.nothing_acknowledged()

    assert _run_against(_respond_with(b"HTTP/1.1 200 X\r\n\r\n"), act) is False


def test_request_without_any_acknowledged_byte_is_detected(monkeypatch):
    async def act(conn):
        conn.send(b"GET", b"/", HEADERS, b"")
        # The kernel's send queue holds the entire request.
        held = struct.pack("i", len(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
        monkeypatch.setattr(fcntl, "ioctl", lambda *args: held)
        unacknowledged = conn.nothing_acknowledged()
        part = struct.pack("i", 1)
        monkeypatch.setattr(fcntl, "ioctl", lambda *args: part)
        return unacknowledged, conn.nothing_acknowledged()

    assert _run_against(_respond_with(b"HTTP/1.1 200 X\r\n\r\n"), act) == (
        True,
        False,
    )


def test_request_counts_as_acknowledged_where_ioctl_fails(monkeypatch):
    async def act(conn):
        conn.send(b"GET", b"/", HEADERS, b"")
        monkeypatch.setattr(fcntl, "ioctl", _no_ioctl)
        return conn.nothing_acknowledged()

    assert _run_against(_respond_with(b"HTTP/1.1 200 X\r\n\r\n"), act) is False


def _no_ioctl(*args: object) -> bytes:
    raise OSError(22, "not supported")
