# SPDX-License-Identifier: Apache-2.0
"""Which kept connections are used again, and for what."""

import asyncio
import datetime

import edge_rig
import pytest

from lugcross import clock as clock_lib
from lugcross.edge import pool as pool_lib
from lugcross import http1

BACKEND = edge_rig.backend()
KEEP = datetime.timedelta(seconds=9)


class _Conn:
    """Takes the place of a connection."""

    closing = False
    has_unread_data = False
    reusable = True

    def close(self) -> None:
        self.closing = True


@pytest.fixture
def pool(manual_clock: clock_lib.ManualClock, monkeypatch) -> pool_lib.Pool:
    async def connect(host, port, *, timeout_s):
        del host, port, timeout_s
        return _Conn()

    monkeypatch.setattr(http1, "connect", connect)
    return pool_lib.Pool(manual_clock)


@pytest.mark.parametrize(
    ("rested_s", "once", "kept"),
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
def test_what_rested_is_not_used_for_what_must_not_be_repeated(
    pool, manual_clock, rested_s, once, kept
):
    # Symptom: requests that must not be repeated ended with 502 or at their
    # deadline. Sequence: the connection was kept from an earlier request;
    # the server had forgotten it or it had gone silent; what was sent on it
    # may have run for all that is known. Cause: any kept one was used.
    async def act() -> bool:
        conn = await pool.take(BACKEND)
        pool.give(BACKEND, conn, KEEP)
        manual_clock.advance(datetime.timedelta(seconds=rested_s))
        return await pool.take(BACKEND, once=once) is conn

    assert asyncio.run(act()) is kept


def test_what_was_left_alone_is_there_for_repeatable_requests(
    pool, manual_clock
):
    async def act() -> bool:
        conn = await pool.take(BACKEND)
        pool.give(BACKEND, conn, KEEP)
        manual_clock.advance(datetime.timedelta(seconds=2))
        await pool.take(BACKEND, once=True)
        return await pool.take(BACKEND) is conn

    assert asyncio.run(act())


def test_connections_to_a_silent_host_are_closed(pool):
    async def act() -> bool:
        conn = await pool.take(BACKEND)
        pool.give(BACKEND, conn, KEEP)
        pool.drop(BACKEND.key)
        return conn.closing and await pool.take(BACKEND) is not conn

    assert asyncio.run(act())
