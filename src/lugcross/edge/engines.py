# SPDX-License-Identifier: Apache-2.0
"""Short calls to engines over the connections that requests use too."""

import asyncio
from typing import final

from lugcross import desired
from lugcross.edge import pool as pool_lib
from lugcross import http1
from lugcross import platform

#: Longest wait for an answer, in seconds: a few round trips and an engine's
#: own work; one that takes longer is asked again.
_ANSWER_S = 0.25


@final
class Caller:
    """Sends one request at a time over a pooled connection."""

    def __init__(self, pool: pool_lib.Pool) -> None:
        self._pool = pool

    async def exchange(
        self, backend: desired.Backend, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        """Return status and body of the answer.

        :raises http1.NoConnectionError: when nothing was sent.
        :raises http1.BrokenError: when it may have been read.
        """
        conn = await self._pool.take(backend)
        headers = [(b"Host", backend.address.encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
            headers.append((b"Content-Length", str(len(body)).encode()))
        try:
            async with asyncio.timeout(_ANSWER_S):
                conn.send(method.encode(), target.encode(), headers, body)
                answer = await conn.answer()
                got = await conn.body()
        except TimeoutError as exc:
            conn.close()
            raise http1.BrokenError(
                f"no answer within {_ANSWER_S} s", remedy="ask again"
            ) from exc
        except BaseException:
            conn.close()
            raise
        head = platform.read_answer_head(answer.status, answer.headers)
        self._pool.give(backend, conn, head.keep)
        return answer.status, got
