# SPDX-License-Identifier: Apache-2.0
"""An event loop in virtual time, which advances when no callback is due."""

import asyncio
from collections.abc import Coroutine
import datetime
import selectors
from typing import Any

from lugcross import clock

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class _Selector(selectors.DefaultSelector):
    """A selector that advances the time instead of waiting."""

    now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            assert timeout is not None, (
                "deadlock: no callback or timer is pending"
            )
            self.now += max(timeout, 0.0)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time; nothing that runs in it may do I/O."""

    def __init__(self) -> None:
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now


class LoopClock:
    """A clock that shows the time of the running event loop."""

    def now(self) -> datetime.datetime:
        return _START + self.monotonic()

    def monotonic(self) -> clock.Instant:
        return datetime.timedelta(seconds=asyncio.get_running_loop().time())


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
