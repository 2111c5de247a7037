# SPDX-License-Identifier: Apache-2.0
"""Measures by how much the event loop is late."""

import asyncio
from collections.abc import Callable
import datetime
from typing import final

from lugcross import clock as clock_lib

#: Time between two measurements.
INTERVAL = datetime.timedelta(milliseconds=50)


@final
class LoopLag:
    """Reports the delay of a timer of the event loop, again and again.

    :param on_interval: called about once per :data:`INTERVAL` with the delay.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        on_interval: Callable[[datetime.timedelta], None],
    ) -> None:
        self._clock = clock
        self._on_interval = on_interval

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = self._clock.monotonic() + INTERVAL
            await asyncio.sleep(INTERVAL.total_seconds())
            self._on_interval(
                max(self._clock.monotonic() - due, datetime.timedelta())
            )
