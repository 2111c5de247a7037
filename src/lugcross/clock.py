# SPDX-License-Identifier: Apache-2.0
"""Time as an interface, so that decisions can be tested at any moment."""

import asyncio
import datetime
import time
from typing import final
from typing import Protocol

#: Time since an arbitrary start; only differences have a meaning.
Instant = datetime.timedelta


class Clock(Protocol):
    """Source of time that is passed into everything that needs it."""

    def now(self) -> datetime.datetime:
        """Return the time of day, in UTC; it may jump."""

    def monotonic(self) -> Instant:
        """Return a time that never runs backwards."""


def boottime_s() -> float:
    """Return the seconds since the machine was started.

    The steady clock stands still while a machine is suspended. Counted by it,
    what was believed before, a lease, a list or a peer's news, would be as
    young after ten seconds of that as before them.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@final
class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers are due also after a suspension.

    A wait that has begun goes on by the steady clock, until the next event;
    all that is due by then is done at once.
    """

    def time(self) -> float:
        """Return the time that timers go by."""
        return boottime_s()


@final
class SystemClock:
    """The clock of the machine."""

    def now(self) -> datetime.datetime:
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> Instant:
        return datetime.timedelta(seconds=boottime_s())


@final
class ManualClock:
    """A clock that moves only when it is told to.

    :param start: time of day at the start, in UTC.
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
        """Move both times forward by ``by``."""
        self._elapsed += by


def seconds(value: float) -> datetime.timedelta:
    """Return ``value`` seconds as the standard type."""
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
