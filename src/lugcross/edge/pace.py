# SPDX-License-Identifier: Apache-2.0
"""How many requests an engine may write for at once, learned from pauses.

All engines of a group advance in one pass, and each pass gives every
stream one event. A pass takes a fixed time and some more for each request
that writes; how much more depends on how evenly the experts' work is
spread, which only the pauses between events show. Where passes take longer
than all requests together explain, something else holds the group back, such
as a slow rank: that part stays, however few requests there are.
"""

import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import pulse

#: Weight of one pass against what was learned before: half of a jump is
#: followed after two passes, and one pass that reads a long prompt, a third
#: longer than others, changes what is full by a tenth.
_WEIGHT = 0.3
#: Part of the longest pause in time that a mean pass may take. Passes
#: that read long prompts take longer, and one late pause makes a whole
#: stream late; measured, see docs/design/0005-platform.md.
_MEAN_PART = 0.77
#: Least part of the slots that is used, whatever was learned: below half
#: of them the service would refuse what its idle places could do.
_LEAST_PART = 0.5
#: Part of the slots that is used before any pause was seen.
_FIRST_PART = 0.67
#: Times the engine's own figure that a request may add to a pass: with the
#: experts' work spread as badly as was seen. What is more is no request's.
_REQUEST_MOST = 4.0
#: Requests at an engine below which no count is in time: half of the engines
#: would be idle.
_OUT_OF_REACH = 0.5
#: Part of the least count used that must be in time again to go back to
#: it, so that not each pass that is a little shorter changes the count.
_IN_REACH = 0.6
#: Times the longest pause in time that a pass may take while none is in time:
#: a usual stream of some twenty events still ends well before its deadline.
_LATE_MOST = 3.0
#: Pauses past this many times the longest in time come of a fault, not
#: of load, and teach nothing.
_FAULT = 4.0
_MS = datetime.timedelta(milliseconds=1)


@final
class Pace:
    """What the pauses of one service's streams have taught."""

    def __init__(self) -> None:
        self._per_request_ms: float | None = None
        #: Part of a pass that no request explains.
        self._held_back_ms: float | None = None
        #: Whether no count of requests was in time when last asked.
        self._out_of_reach = False
        self._passes = pulse.Passes()

    def paused(
        self,
        pause: datetime.timedelta,
        now: clock_lib.Instant,
        *,
        engine: desired.EngineSpec,
        per_engine: float,
        limit: datetime.timedelta,
    ) -> None:
        """Learn from one pause between two events.

        :param per_engine: mean requests at an engine at that time.
        :param limit: longest pause that is in time.
        """
        if pause > limit * _FAULT or per_engine <= 0:
            return
        if not self._passes.is_new(pause, now):
            return
        extra_ms = max(0.0, pause / _MS - _fixed_ms(engine))
        count = max(1.0, per_engine)
        seen = extra_ms / count
        most = _request_most_ms(engine)
        if most:
            seen = min(seen, most)
        self._per_request_ms = _closer(self._per_request_ms, seen)
        self._held_back_ms = _closer(
            self._held_back_ms, extra_ms - seen * count
        )

    def full(
        self,
        engine: desired.EngineSpec,
        limit: datetime.timedelta | None,
        *,
        slow: bool = False,
    ) -> float:
        """Return how many requests one engine may have at once.

        Where no count is in time, as many are taken as end well before their
        deadline: half of the slots would make all of them late just the
        same, and refuse the rest for nothing. One of 63 ranks that is four
        times slower makes a pass take 170 ms with half of the slots (logged)
        and 195 with all, where 120 are in time: 70 in 100 more requests are
        served (calculated).

        That goes for slow ranks only, which are known: the first passes of a
        group that has just formed read many prompts and are as long, and with
        all slots given at once they would be longer.

        :param slow: whether a rank is known to hold its group back.
        """
        held = self._per_request_ms
        if held is None or limit is None:
            return engine.slots * _FIRST_PART
        each = max(held, engine.ms_per_sequence, 0.001)
        always = _fixed_ms(engine) + (self._held_back_ms or 0.0)
        in_time = (limit / _MS * _MEAN_PART - always) / each
        least = engine.slots * _LEAST_PART
        reach = least * _IN_REACH if self._out_of_reach else _OUT_OF_REACH
        self._out_of_reach = slow and in_time < reach
        if self._out_of_reach:
            in_time = (limit / _MS * _LATE_MOST - always) / each
        return min(float(engine.slots), max(least, in_time))


def _closer(held: float | None, seen: float) -> float:
    """Return what is learned once one more pass was seen."""
    return seen if held is None else held + _WEIGHT * (seen - held)


def _request_most_ms(engine: desired.EngineSpec) -> float:
    """Return what one request adds to a pass at most; 0 if not known."""
    return engine.steps_per_pass * engine.ms_per_sequence * _REQUEST_MOST


def _fixed_ms(engine: desired.EngineSpec) -> float:
    return engine.steps_per_pass * engine.step_ms
