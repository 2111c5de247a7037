# SPDX-License-Identifier: Apache-2.0
"""How fast the engine makes tokens, and whether it has stalled."""

import datetime
from typing import final

from lugcross import clock as clock_lib

_GAIN = 0.05
_MILLI = datetime.timedelta(milliseconds=1)
#: A silence of so many steps is a stall, not chance.
_STALL_STEPS = 5.0


@final
class Pace:
    """Time between two tokens of one request, over all requests.

    Ranks advance in lock-step, so a rank that stalls stops the tokens
    of all requests of its group: the silence shows here first.
    """

    def __init__(self) -> None:
        self._heard: dict[str, clock_lib.Instant] = {}
        self._step_ms = 0.0
        self._silent_ms = 0.0

    def heard(self, uid: str, count: int, now: clock_lib.Instant) -> None:
        """Note ``count`` tokens of one request."""
        before = self._heard.get(uid)
        self._heard[uid] = now
        if before is None:
            return  # The first comes after the prefill; not a step.
        gap_ms = (now - before) / _MILLI / count
        if not self._step_ms:
            self._step_ms = gap_ms
        self._step_ms += _GAIN * (gap_ms - self._step_ms)

    def ended(self, uid: str) -> None:
        """Forget a request that runs no more."""
        self._heard.pop(uid, None)

    def tick(self, now: clock_lib.Instant) -> None:
        """Look for a silence; call a few times a second."""
        newest = max(self._heard.values(), default=now)
        self._silent_ms = (now - newest) / _MILLI

    def step_ms(self) -> float:
        """Return the time of a step in ms; 0 while it is not known."""
        if self._silent_ms > _STALL_STEPS * self._step_ms:
            return max(self._silent_ms, self._step_ms)
        return self._step_ms
