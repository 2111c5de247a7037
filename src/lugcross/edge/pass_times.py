# SPDX-License-Identifier: Apache-2.0
"""Pass times of a rank group, taken from the gaps between events.

Each pass produces one event on each stream of the group, so the gap between
two events of a stream is as long as a pass. This needs no calls to the engines
and shows within one pass that demand has jumped to other experts, since the
ranks that hold these then slow down every pass.
"""

import datetime
from typing import final

from lugcross import clock as clock_lib

#: Weight of a new pass in the moving average of pass times. A dozen passes,
#: a second at most, make up most of the average.
_SMOOTHING_WEIGHT = 0.15
#: A pass that takes more than this multiple of the typical time is a jump.
#: Jumps of demand make passes 1.5 to 2.5 times as long; reading prompts
#: makes a pass up to a third longer.
_JUMP_FACTOR = 1.4
#: A gap belongs to the same pass as the one before it if it ends less than
#: this fraction of its own length later.
_SAME_PASS_RATIO = 0.5
#: A pass that takes more than this multiple of the typical time is a stall of
#: the group, which is caused by a fault rather than by demand.
_STALL_FACTOR = 6.0


@final
class PassDetector:
    """Detects new passes, so that only one gap is counted for each pass."""

    def __init__(self) -> None:
        self._last_pass_at: clock_lib.Instant | None = None

    def detect_new_pass(
        self, gap: datetime.timedelta, now: clock_lib.Instant
    ) -> bool:
        """Record a gap between two events of a stream that ends now.

        :returns: whether it is the first gap recorded of its pass.
        """
        if (
            self._last_pass_at is not None
            and now - self._last_pass_at < gap * _SAME_PASS_RATIO
        ):
            return False
        self._last_pass_at = now
        return True


@final
class PassTimes:
    """Moving average of one group's pass times, with detection of jumps."""

    def __init__(self) -> None:
        self._typical: datetime.timedelta | None = None
        self._detector = PassDetector()

    @property
    def typical(self) -> datetime.timedelta | None:
        """Moving average of the pass time; None before the first pass."""
        return self._typical

    def observe_event_gap(
        self, gap: datetime.timedelta, now: clock_lib.Instant
    ) -> bool:
        """Update the average with a gap between two events that ends now.

        :returns: whether passes have just become longer by a jump. Later
            passes of the same length are not reported again, since the typical
            pass time is set to that of the jump.
        """
        if not self._detector.detect_new_pass(gap, now):
            return False
        typical = self._typical
        if typical is None:
            self._typical = gap
            return False
        if gap > typical * _STALL_FACTOR:
            return False
        if gap > typical * _JUMP_FACTOR:
            self._typical = gap
            return True
        self._typical = typical + (gap - typical) * _SMOOTHING_WEIGHT
        return False
