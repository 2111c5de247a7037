# SPDX-License-Identifier: Apache-2.0
"""Clocks of a suspended host: ``CLOCK_MONOTONIC`` stops meanwhile.

By that clock, data did not age during a suspension, and deadlines that had
passed were still in the future::

    CLOCK_MONOTONIC 100.0 s, time since boot 100.0 s
    CLOCK_MONOTONIC 100.1 s, time since boot 107.1 s, age of the list 0.1 s
"""

import asyncio
import datetime
import time

import pytest

from lugcross import clock


#: Event loop iterations until a due timer has ended its task.
LOOP_ITERATIONS = 5


class _SuspendableHost:
    """Fakes the clocks of a host that can be suspended."""

    def __init__(self) -> None:
        self._monotonic = time.monotonic
        self.suspended_s = 0.0

    def monotonic(self) -> float:
        return self._monotonic()

    def clock_gettime(self, which: int) -> float:
        assert which == time.CLOCK_BOOTTIME
        return self._monotonic() + self.suspended_s


@pytest.fixture
def host(monkeypatch) -> _SuspendableHost:
    found = _SuspendableHost()
    monkeypatch.setattr(time, "clock_gettime", found.clock_gettime)
    return found


def test_age_includes_time_in_suspension(host):
    system = clock.SystemClock()
    before = system.monotonic()
    host.suspended_s = 7.0
    assert system.monotonic() - before >= datetime.timedelta(seconds=7)


def test_timer_is_due_after_a_suspension(host):
    async def main() -> bool:
        late = asyncio.create_task(asyncio.sleep(3600))
        await asyncio.sleep(0)
        host.suspended_s = 7200.0
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        return late.done()

    with asyncio.Runner(loop_factory=clock.BoottimeEventLoop) as runner:
        assert runner.run(main())
