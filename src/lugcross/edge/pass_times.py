# SPDX-License-Identifier: Apache-2.0
"""What a pass of one group of ranks takes, from the pauses of its streams.

Each pass gives each stream of the group one event, so that a pause between
two events is as long as a pass. That costs nothing to see, and shows within
one pass that demand has jumped to other experts: the rank that holds them
becomes the slowest by far.
"""

import datetime
from typing import final

from lugcross import clock as clock_lib

#: Weight of one pass against the usual before; a dozen passes make up most
#: of it, which is a second at most.
_SMOOTHING_WEIGHT = 0.15
#: Times the usual that one pass must take to be a jump. A jump makes passes
#: 1.5 to 2.5 times as long; prompts that are read in a pass make it up to a
#: third longer (pauses logged over a day of jumps).
_JUMP_FACTOR = 1.4
#: Pauses that end this part of their length after another belong to the
#: same pass.
_SAME_PASS_RATIO = 0.5
#: Passes past this many times the usual come of a fault: a group that
#: stands still tells nothing of demand.
_STALL_FACTOR = 6.0


@final
class PassDetector:
    """Tells the first pause of each pass from those of other streams."""

    def __init__(self) -> None:
        self._last_pass_at: clock_lib.Instant | None = None

    def is_new_pass(
        self, pause: datetime.timedelta, now: clock_lib.Instant
    ) -> bool:
        """Take a pause that ends now; tell whether its pass is new."""
        if (
            self._last_pass_at is not None
            and now - self._last_pass_at < pause * _SAME_PASS_RATIO
        ):
            return False
        self._last_pass_at = now
        return True


@final
class PassTimes:
    """Pass times of one group."""

    def __init__(self) -> None:
        self._typical: datetime.timedelta | None = None
        self._detector = PassDetector()

    @property
    def typical(self) -> datetime.timedelta | None:
        """What a pass takes as a rule; none before any was seen."""
        return self._typical

    def note_pause(
        self, pause: datetime.timedelta, now: clock_lib.Instant
    ) -> bool:
        """Take a pause of any stream; tell whether passes have jumped.

        A jump is told once: from then on its passes are the usual.
        """
        if not self._detector.is_new_pass(pause, now):
            return False
        typical = self._typical
        if typical is None:
            self._typical = pause
            return False
        if pause > typical * _STALL_FACTOR:
            return False
        if pause > typical * _JUMP_FACTOR:
            self._typical = pause
            return True
        self._typical = typical + (pause - typical) * _SMOOTHING_WEIGHT
        return False
