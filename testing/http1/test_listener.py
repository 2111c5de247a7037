# SPDX-License-Identifier: Apache-2.0
"""Connections that are accepted, over real sockets."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import errno
import socket
from typing import Any

import edge_rig
import pytest

from lugcross import http1


async def _echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def _run(
    act: Callable[[http1.Listener], Coroutine[Any, Any, object]],
    admit: Callable[[], bool] = lambda: True,
) -> object:
    async def main() -> object:
        listener = http1.Listener(_echo, admit=admit, buffer_bytes=1000)
        listener.start(edge_rig.HOST, 0, backlog=100)
        try:
            return await act(listener)
        finally:
            listener.close()

    return asyncio.run(main())


async def _exchange(port: int) -> bytes:
    """Send a few bytes; return the answer, empty if there is none."""
    reader, writer = await asyncio.open_connection(edge_rig.HOST, port)
    with contextlib.suppress(ConnectionError):
        writer.write(b"hello")
        return await reader.read(100)
    return b""


def test_admitted_connections_are_served():
    async def act(listener: http1.Listener) -> list[bytes]:
        return await asyncio.gather(
            *(_exchange(listener.port) for _ in range(20))
        )

    assert _run(act) == [b"hello"] * 20


def test_connections_that_are_not_admitted_are_closed_unread():
    async def act(listener: http1.Listener) -> list[bytes]:
        return [await _exchange(listener.port) for _ in range(4)]

    admitted = iter([False, True, False, True])
    got = _run(act, lambda: next(admitted))
    assert got == [b"", b"hello", b"", b"hello"]


def test_open_connections_go_on_while_none_is_admitted():
    admitting = [True]

    async def act(listener: http1.Listener) -> bytes:
        reader, writer = await asyncio.open_connection(
            edge_rig.HOST, listener.port
        )
        writer.write(b"one")
        assert await reader.read(100) == b"one"
        admitting[0] = False
        assert await _exchange(listener.port) == b""
        writer.write(b"two")
        return await reader.read(100)

    assert _run(act, lambda: admitting[0]) == b"two"


def test_closed_listener_refuses_connections():
    async def act(listener: http1.Listener) -> None:
        port = listener.port
        listener.close()
        with pytest.raises(ConnectionRefusedError):
            await _exchange(port)

    _run(act)


def test_lack_of_descriptors_is_retried(monkeypatch):
    """The loop's own servers do not accept for a second then."""
    real_accept = socket.socket.accept
    failures = [OSError(errno.EMFILE, "too many open files")] * 2

    def accept(sock: socket.socket) -> tuple[socket.socket, Any]:
        if failures:
            raise failures.pop()
        return real_accept(sock)

    monkeypatch.setattr(socket.socket, "accept", accept)

    async def act(listener: http1.Listener) -> bytes:
        return await _exchange(listener.port)

    assert _run(act) == b"hello"
    assert not failures
