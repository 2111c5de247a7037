# SPDX-License-Identifier: Apache-2.0
"""How long a group is left alone whose first change of map breaks it.

Load pattern: an order, or a map, ends a rank that takes it. The group stands
still, forms anew some seconds later with its first map, and the
leader plans the same change again: the group would break every few seconds for
as long as demand stays as it is.

Groups break for other reasons too, also beside a change. Twice in a row just
after the first change of a life is taken for the change's doing; then the
group keeps its first map for a while, twice as long each further time.
"""

import datetime
from typing import final

from lugcross import clock as clock_lib

#: From the last order of a change until a group that broke of it is seen
#: broken, at most: some passes, the standstill until ranks say that the group
#: is broken (1.5 s), and a look (0.5 s).
BREAK_WINDOW = datetime.timedelta(seconds=2.5)
#: Lives in a row that ended so, from which on the group is left alone.
BREAK_COUNT_FOR_BACKOFF = 2
#: First rest: the time in which four jumps of demand pass on the users' days,
#: so that one rest in vain costs little; doubled each time.
INITIAL_BACKOFF = datetime.timedelta(seconds=15)
#: Longest rest.
MAX_BACKOFF = datetime.timedelta(minutes=10)


@final
class SwitchBackoff:
    """What the lives of one group have shown of changes of its map."""

    def __init__(self) -> None:
        self._switch_started = False
        #: When the first change of this life was over.
        self._switch_ended_at: clock_lib.Instant | None = None
        self._break_count = 0
        self._active_until = datetime.timedelta()

    def note_switch_started(self) -> None:
        """Note that a change of map begins; the first of a life counts."""
        self._switch_started = True

    def note_switch_ended(self, now: clock_lib.Instant) -> None:
        """Note that all orders of a change have been given."""
        if self._switch_started and self._switch_ended_at is None:
            self._switch_ended_at = now

    def note_group_broken(self, now: clock_lib.Instant) -> bool:
        """Note that the group has broken; tell whether it is left alone."""
        switch_started, self._switch_started = self._switch_started, False
        switch_ended_at, self._switch_ended_at = self._switch_ended_at, None
        if not switch_started:
            # Changed by nobody in that life, so that it tells nothing.
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
        """Tell whether the group keeps its map for now."""
        return now < self._active_until
