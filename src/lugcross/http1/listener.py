# SPDX-License-Identifier: Apache-2.0
"""Accepts connections, and closes those unread that are not to be served.

The event loop's own servers make a transport and a task for each connection
before anyone can refuse it, which costs several times as much as closing its
socket. They also stop accepting for a second when no file descriptor is left.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import socket
from typing import Any
from typing import final

from absl import logging

#: Size of the kernel's receive buffer of a connection, which the kernel
#: doubles. By default it grows to megabytes for a caller whose data is not
#: read, and all of it counts as memory of the host.
_RECEIVE_BUFFER_BYTES = 16_384
#: Connections accepted before other work of the event loop goes on.
_MAX_ACCEPTED_AT_ONCE = 256
#: Time until the next try after a failure to accept, which is usually a lack
#: of file descriptors.
_RETRY_INTERVAL_S = 0.1

_ServeConn = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]
]


def listening_socket(host: str, port: int, *, backlog: int) -> socket.socket:
    """Return a listening socket whose connections have small buffers.

    :param backlog: connections that may wait to be accepted.
    :raises OSError: if the address is not available.
    """
    sock = socket.create_server((host, port), backlog=backlog)
    # Accepted connections inherit it.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    return sock


@final
class Listener:
    """A listening socket.

    :param serve: serves one connection.
    :param admit: tells, for each new connection, whether to serve it.
    :param buffer_bytes: limit of the read buffer of a connection.
    :param on_failure: called when an admitted connection is not served.
    """

    def __init__(
        self,
        serve: _ServeConn,
        *,
        admit: Callable[[], bool],
        buffer_bytes: int,
        on_failure: Callable[[], None] = lambda: None,
    ) -> None:
        self._serve = serve
        self._on_failure = on_failure
        self._admit = admit
        self._buffer_bytes = buffer_bytes
        self._sock: socket.socket | None = None
        self._tasks: set[asyncio.Task[object]] = set()

    @property
    def port(self) -> int:
        """The port that it listens on."""
        assert self._sock is not None
        port: int = self._sock.getsockname()[1]
        return port

    def start(self, host: str, port: int, *, backlog: int) -> None:
        """Listen.

        :param backlog: connections that may wait to be accepted.
        :raises OSError: if the address is not available.
        """
        self._sock = listening_socket(host, port, backlog=backlog)
        self._sock.setblocking(False)
        self._watch()

    def _watch(self) -> None:
        if self._sock is not None:
            asyncio.get_running_loop().add_reader(self._sock, self._accept)

    def close(self) -> None:
        """Stop listening; open connections go on."""
        if self._sock is None:
            return
        asyncio.get_running_loop().remove_reader(self._sock)
        self._sock.close()
        self._sock = None

    def _accept(self) -> None:
        """Accept what waits.

        All of it is accepted at once, as callers whose connections wait
        here could be served by another process.
        """
        assert self._sock is not None
        for _ in range(_MAX_ACCEPTED_AT_ONCE):
            try:
                conn, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as exc:
                # The connection goes on waiting, so the socket stays readable.
                logging.warning(
                    "connection not accepted", extra={"why": str(exc)}
                )
                loop = asyncio.get_running_loop()
                loop.remove_reader(self._sock)
                loop.call_later(_RETRY_INTERVAL_S, self._watch)
                return
            if self._admit():
                self._start_serving(conn)
            else:
                conn.close()

    def _start_serving(self, conn: socket.socket) -> None:
        conn.setblocking(False)
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=self._buffer_bytes, loop=loop)
        protocol = asyncio.StreamReaderProtocol(reader, self._serve, loop=loop)
        task = loop.create_task(
            loop.connect_accepted_socket(lambda: protocol, conn)
        )
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            self._on_failure()
        elif task.exception() is not None:
            self._on_failure()
            logging.warning(
                "connection not served", extra={"why": str(task.exception())}
            )
