# SPDX-License-Identifier: Apache-2.0
"""A machine that is suspended: its steady clock stands still meanwhile.

What was believed before was as young afterwards as when the machine fell
asleep, and deadlines that had passed long ago were still to come::

    steady clock 100.0 s, time since start 100.0 s
    steady clock 100.1 s, time since start 107.1 s, age of the list 0.1 s
"""

import asyncio
import datetime
import time

import pytest

from lugcross import clock


#: Turns of the loop until a timer that is due has ended its task.
TURNS = 5


class _Suspended:
    """The two clocks of a machine that can be suspended."""

    def __init__(self) -> None:
        self._steady = time.monotonic
        self.slept = 0.0

    def steady(self) -> float:
        return self._steady()

    def gettime(self, which: int) -> float:
        assert which == time.CLOCK_BOOTTIME
        return self._steady() + self.slept


@pytest.fixture
def machine(monkeypatch) -> _Suspended:
    found = _Suspended()
    monkeypatch.setattr(time, "clock_gettime", found.gettime)
    return found


def test_age_counts_the_time_of_a_suspension(machine):
    system = clock.SystemClock()
    before = system.monotonic()
    machine.slept = 7.0
    assert system.monotonic() - before >= datetime.timedelta(seconds=7)


def test_timer_is_due_after_a_suspension(machine):
    async def main() -> bool:
        late = asyncio.create_task(asyncio.sleep(3600))
        await asyncio.sleep(0)
        machine.slept = 7200.0
        for _ in range(TURNS):
            await asyncio.sleep(0)
        return late.done()

    with asyncio.Runner(loop_factory=clock.BoottimeEventLoop) as runner:
        assert runner.run(main())
