# SPDX-License-Identifier: Apache-2.0
"""Backoff for groups that break whenever their map is switched.

If an order or a map crashes the rank that gets it, the group stalls and forms
anew some seconds later, with its initial map. The leader would then plan the
same switch again, and the group would break every few seconds until demand
changes.

A group may also break during a switch for another reason. The switch is taken
for the cause only if the group breaks just after the first switch of an epoch,
in two such epochs in a row. The group then keeps its initial map for a while,
which doubles with each further break.
"""

import datetime
from typing import final

from lugcross import clock as clock_lib

#: A group that breaks within this time of the end of a switch counts as broken
#: by it. Covers some passes, the time until ranks report the stalled group as
#: broken (1.5 s), and the interval between two reports (0.5 s).
BREAK_WINDOW = datetime.timedelta(seconds=2.5)
#: Consecutive breaks by a switch after which the backoff starts.
BREAK_COUNT_FOR_BACKOFF = 2
#: Duration of the first backoff; doubled with each further break. Short, so
#: that a group that broke for another reason loses little.
INITIAL_BACKOFF = datetime.timedelta(seconds=15)
#: Longest backoff, so that a group is tried again after its fault is mended.
MAX_BACKOFF = datetime.timedelta(minutes=10)


@final
class SwitchBackoff:
    """Decides whether a group may be switched, from its recent breaks."""

    def __init__(self) -> None:
        self._switch_started = False
        #: When the first switch of this epoch ended.
        self._switch_ended_at: clock_lib.Instant | None = None
        self._break_count = 0
        self._active_until = datetime.timedelta()

    def note_switch_started(self) -> None:
        """Note that a switch starts."""
        self._switch_started = True

    def note_switch_ended(self, now: clock_lib.Instant) -> None:
        """Note that a switch has ended, so that no more orders follow.

        Only the first switch of an epoch counts.
        """
        if self._switch_started and self._switch_ended_at is None:
            self._switch_ended_at = now

    def note_group_broken(self, now: clock_lib.Instant) -> bool:
        """Note that the group has broken, which ends its epoch.

        :returns: whether a backoff starts.
        """
        switch_started, self._switch_started = self._switch_started, False
        switch_ended_at, self._switch_ended_at = self._switch_ended_at, None
        if not switch_started:
            # Without a switch, the break says nothing about switches.
            return False
        if (
            switch_ended_at is not None
            and now - switch_ended_at > BREAK_WINDOW
        ):
            self._break_count = 0
            return False
        self._break_count += 1
        doublings = self._break_count - BREAK_COUNT_FOR_BACKOFF
        if doublings < 0:
            return False
        self._active_until = now + min(
            INITIAL_BACKOFF * 2.0**doublings, MAX_BACKOFF
        )
        return True

    def is_active(self, now: clock_lib.Instant) -> bool:
        """Tell whether the group must not be switched for now."""
        return now < self._active_until
