# SPDX-License-Identifier: Apache-2.0
"""Clock interface, so that tests can control the time."""

import asyncio
import datetime
import time
from typing import final
from typing import Protocol

#: Time since an arbitrary origin; only differences are meaningful.
Instant = datetime.timedelta


class Clock(Protocol):
    """Source of time, passed to all code that needs it."""

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC; it may jump."""

    def monotonic(self) -> Instant:
        """Return a time that never decreases."""


def boottime_s() -> float:
    """Return the seconds since boot, time in suspension included.

    ``CLOCK_MONOTONIC`` stops while a host is suspended. By that clock, a
    lease, a server list or a message from a peer would not age during the
    suspension and would still seem valid afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@final
class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers count time in suspension.

    A ``select`` call in progress still waits by ``CLOCK_MONOTONIC``; overdue
    timers run after it returns.
    """

    def time(self) -> float:
        """Return the time by which timers are scheduled."""
        return boottime_s()


@final
class SystemClock:
    """Clock of the host."""

    def now(self) -> datetime.datetime:
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> Instant:
        return datetime.timedelta(seconds=boottime_s())


@final
class ManualClock:
    """Clock for tests, moved only by :meth:`advance`.

    :param start: initial wall-clock time in UTC.
    """

    def __init__(
        self,
        start: datetime.datetime = datetime.datetime(
            2026, 1, 1, tzinfo=datetime.UTC
        ),
    ) -> None:
        self._start = start
        self._elapsed = datetime.timedelta()

    def now(self) -> datetime.datetime:
        return self._start + self._elapsed

    def monotonic(self) -> Instant:
        return self._elapsed

    def advance(self, by: datetime.timedelta) -> None:
        """Advance wall-clock and monotonic time by ``by``."""
        self._elapsed += by


def seconds(value: float) -> datetime.timedelta:
    """Return a ``timedelta`` of ``value`` seconds."""
    return datetime.timedelta(seconds=value)


__all__ = [
    "BoottimeEventLoop",
    "Clock",
    "Instant",
    "ManualClock",
    "SystemClock",
    "boottime_s",
    "seconds",
]
