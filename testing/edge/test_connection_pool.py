# SPDX-License-Identifier: Apache-2.0
"""Which kept connections are used again, and for what."""

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
    """Takes the place of a connection."""

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
        "rested-and-not-repeatable",
        "rested-and-repeatable",
        "over-what-the-server-keeps",
    ],
)
def test_idle_connection_is_not_used_for_what_must_not_be_repeated(
    pool, manual_clock, idle_s, not_repeatable, kept
):
    # Symptom: requests that must not be repeated ended with 502 or at their
    # deadline. Sequence: the connection was kept from an earlier request;
    # the server had forgotten it or it had gone silent; what was sent on it
    # may have run for all that is known. Cause: any kept one was used.
    async def act() -> bool:
        conn = await pool.acquire(BACKEND)
        pool.release(BACKEND, conn, KEEP_ALIVE)
        manual_clock.advance(datetime.timedelta(seconds=idle_s))
        return (
            await pool.acquire(BACKEND, not_repeatable=not_repeatable) is conn
        )

    assert asyncio.run(act()) is kept


def test_idle_connection_is_kept_for_repeatable_requests(pool, manual_clock):
    async def act() -> bool:
        conn = await pool.acquire(BACKEND)
        pool.release(BACKEND, conn, KEEP_ALIVE)
        manual_clock.advance(datetime.timedelta(seconds=2))
        await pool.acquire(BACKEND, not_repeatable=True)
        return await pool.acquire(BACKEND) is conn

    assert asyncio.run(act())


def test_close_idle_closes_connections_to_a_silent_host(pool):
    async def act() -> bool:
        conn = await pool.acquire(BACKEND)
        pool.release(BACKEND, conn, KEEP_ALIVE)
        pool.close_idle(BACKEND.key)
        return conn.closing and await pool.acquire(BACKEND) is not conn

    assert asyncio.run(act())
