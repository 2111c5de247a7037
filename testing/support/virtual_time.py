# SPDX-License-Identifier: Apache-2.0
"""An event loop whose time moves only when nothing else is left to do."""

import asyncio
from collections.abc import Coroutine
import datetime
import selectors
from typing import Any

from lugcross import clock

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class _Selector(selectors.DefaultSelector):
    """Moves the time on instead of waiting."""

    now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "nothing is left to happen"
            self.now += max(timeout, 0.0)
        return ready


class Loop(asyncio.SelectorEventLoop):
    """A loop in virtual time; nothing in it may use sockets."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


class LoopClock:
    """The running loop's time as a clock."""

    def now(self) -> datetime.datetime:
        return _START + self.monotonic()

    def monotonic(self) -> clock.Instant:
        return datetime.timedelta(seconds=asyncio.get_running_loop().time())


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time; the same on every run."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(main)
