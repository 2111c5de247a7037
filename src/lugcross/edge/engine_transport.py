# SPDX-License-Identifier: Apache-2.0
"""Short calls to engines over the connections that requests use too."""

import asyncio
from collections.abc import Callable
from typing import final

from lugcross import desired
from lugcross.edge import connection_pool
from lugcross import http1
from lugcross import platform

#: Longest wait for a report, in seconds: many round trips; one that takes
#: longer is asked for again.
REPORT_TIMEOUT_S = 0.25
#: Longest wait for the answer to an order, in seconds. Ranks answer within
#: some milliseconds, and a group may stand still until an order that got no
#: answer is given again.
ORDER_TIMEOUT_S = 0.1


@final
class EngineTransport:
    """Sends one request at a time over a pooled connection.

    :param timeout_s: longest wait, in seconds.
    :param on_response_head: takes over what a server says of itself.
    :param may_send: tells whether a server may be sent anything now.
    """

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        *,
        timeout_s: float,
        on_response_head: Callable[
            [desired.Backend, platform.BackendResponseHead], None
        ],
        may_send: Callable[[desired.BackendKey], bool],
    ) -> None:
        self._pool = pool
        self._timeout_s = timeout_s
        self._on_response_head = on_response_head
        self._may_send = may_send

    async def exchange(
        self, backend: desired.Backend, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        """Return status and body of the answer.

        :raises http1.NoConnectionError: when nothing was sent.
        :raises http1.ConnectionBrokenError: when it may have been read.
        """
        conn = await self._pool.acquire(backend)
        if not self._may_send(backend.key):
            self._pool.release(backend, conn, None)
            raise http1.NoConnectionError(
                f"{backend.key} has asked for rest", remedy="ask later"
            )
        headers = [(b"Host", backend.address.encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
            headers.append((b"Content-Length", str(len(body)).encode()))
        try:
            async with asyncio.timeout(self._timeout_s):
                conn.send(method.encode(), target.encode(), headers, body)
                answer = await conn.read_head()
                got = await conn.read_body()
        except TimeoutError as exc:
            conn.close()
            raise http1.ConnectionBrokenError(
                f"no answer within {self._timeout_s} s", remedy="ask again"
            ) from exc
        except BaseException:
            conn.close()
            raise
        head = platform.parse_backend_response_head(
            answer.status, answer.headers
        )
        self._pool.release(backend, conn, head.keep_alive)
        self._on_response_head(backend, head)
        return answer.status, got
