# SPDX-License-Identifier: Apache-2.0
"""Reuse of idle connections."""

import asyncio
import datetime

import edge_rig
import pytest

from lugcross import clock as clock_lib
from lugcross.edge import connection_pool
from lugcross import http1

BACKEND = edge_rig.backend()
KEEP_ALIVE = datetime.timedelta(seconds=9)


class _FakeConnection:
    """Stands in for :class:`http1.ClientConn`."""

    closing = False
    has_unread_data = False
    reusable = True

    def close(self) -> None:
        self.closing = True


@pytest.fixture
def pool(
    manual_clock: clock_lib.ManualClock, monkeypatch
) -> connection_pool.ConnectionPool:
    async def connect(host, port, *, timeout_s):
        del host, port, timeout_s
        return _FakeConnection()

    monkeypatch.setattr(http1, "connect", connect)
    return connection_pool.ConnectionPool(manual_clock)


@pytest.mark.parametrize(
    ("idle_s", "not_repeatable", "kept"),
    [
        (0.5, True, True),
        (2.0, True, False),
        (2.0, False, True),
        (9.0, False, False),
    ],
    ids=[
        "just-used",
        "idle-and-not-repeatable",
        "idle-and-repeatable",
        "past-keep-alive",
    ],
)
def test_long_idle_connection_is_not_used_for_unrepeatable_requests(
    pool, manual_clock, idle_s, not_repeatable, kept
):
    # Symptom: requests that must not be repeated ended with 502 or at their
    # deadline. Sequence: the connection was idle since an earlier request;
    # the server had dropped it, or it had gone silent; whether a request
    # sent on it ran was unknown, so there was no retry. Cause: any idle
    # connection was reused, however old.
    async def act() -> bool:
        conn = await pool.acquire(BACKEND)
        pool.release(BACKEND, conn, KEEP_ALIVE)
        manual_clock.advance(datetime.timedelta(seconds=idle_s))
        return (
            await pool.acquire(BACKEND, not_repeatable=not_repeatable) is conn
        )

    assert asyncio.run(act()) is kept


def test_long_idle_connection_stays_for_repeatable_requests(
    pool, manual_clock
):
    async def act() -> bool:
        conn = await pool.acquire(BACKEND)
        pool.release(BACKEND, conn, KEEP_ALIVE)
        manual_clock.advance(datetime.timedelta(seconds=2))
        await pool.acquire(BACKEND, not_repeatable=True)
        return await pool.acquire(BACKEND) is conn

    assert asyncio.run(act())


def test_close_idle_closes_connections_of_the_server(pool):
    async def act() -> bool:
        conn = await pool.acquire(BACKEND)
        pool.release(BACKEND, conn, KEEP_ALIVE)
        pool.close_idle(BACKEND.key)
        return conn.closing and await pool.acquire(BACKEND) is not conn

    assert asyncio.run(act())


@pytest.mark.parametrize("keep_alive_s", [0, 1])
def test_connection_that_is_already_over_is_closed(pool, keep_alive_s):
    # Symptom: idle connections that nobody could use took up the pool's
    # places. Sequence: the server announced a Keep-Alive timeout of less than
    # the safety margin. Cause: a negative lifetime was taken for a lifetime.
    async def act() -> bool:
        conn = await pool.acquire(BACKEND)
        pool.release(BACKEND, conn, datetime.timedelta(seconds=keep_alive_s))
        return conn.closing

    assert asyncio.run(act())
