# SPDX-License-Identifier: Apache-2.0
"""HTTP calls to engines over the pooled connections that requests use."""

import asyncio
from collections.abc import Callable
from typing import final

from absl import logging

from lugcross import answer_matching
from lugcross import desired
from lugcross.edge import connection_pool
from lugcross import http1
from lugcross import platform

#: Timeout of a request for a report; many round trips.
REPORT_TIMEOUT_S = 0.25
#: Timeout of an order. Short, since a group may stall until this process
#: repeats an order that got no answer; ranks answer within some milliseconds.
ORDER_TIMEOUT_S = 0.1


@final
class EngineTransport:
    """Sends single HTTP requests to engines over pooled connections.

    :param timeout_s: longest time to send a request and read the whole
        response, in seconds; the wait for a connection is not included.
    :param on_response_head: called with the head of each response, in which a
        backend server reports its state.
    :param may_send: tells whether a backend server may be sent a request now;
        false while it is in backoff.
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
        """Send a request; return status and body of the response.

        :raises http1.NoConnectionError: if nothing was sent.
        :raises http1.ConnectionBrokenError: if the backend server may have
            read the request, but no whole response came.
        """
        conn = await self._pool.acquire(backend)
        if not self._may_send(backend.key):
            self._pool.release(backend, conn, None)
            raise http1.NoConnectionError(
                f"backend server {backend.key} is in backoff",
                remedy="this process retries after the backoff",
            )
        headers = [(b"Host", backend.address.encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
            headers.append((b"Content-Length", str(len(body)).encode()))
        try:
            async with asyncio.timeout(self._timeout_s):
                conn.send(method.encode(), target.encode(), headers, body)
                response, head = await self._read_own_head(
                    conn, backend, method
                )
                response_body = await conn.read_body()
        except TimeoutError as exc:
            conn.close()
            raise http1.ConnectionBrokenError(
                f"backend server {backend.key} did not respond within "
                f"{self._timeout_s} s",
                remedy="this process retries",
            ) from exc
        except BaseException:
            conn.close()
            raise
        conn.last_answer_named = False
        self._pool.release(backend, conn, head.keep_alive)
        self._on_response_head(backend, head)
        return response.status, response_body

    async def _read_own_head(
        self, conn: http1.ClientConn, backend: desired.Backend, method: str
    ) -> tuple[http1.ResponseHead, platform.BackendResponseHead]:
        """Read the head; skip answers to callers' requests.

        :returns: the head, as received and parsed.
        """
        while True:
            response = await conn.read_head()
            head = platform.parse_backend_response_head(
                response.status, response.headers
            )
            if answer_matching.is_own_answer(
                head.attempt_id, "", last_answer_named=conn.last_answer_named
            ):
                return response, head
            logging.warning(
                "answer to another request skipped",
                extra={"backend": backend.key, "other": head.attempt_id},
            )
            await conn.read_body()
            conn.expect_another_response(method.encode())
