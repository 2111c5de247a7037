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
from lugcross.edge import pass_times

#: Weight of one pass against what was learned before: half of a jump is
#: followed after two passes, and one pass that reads a long prompt, a third
#: longer than others, changes what is full by a tenth.
_NEW_PASS_WEIGHT = 0.3
#: Part of the longest pause in time that a mean pass may take. Passes
#: that read long prompts take longer, and one late pause makes a whole
#: stream late; measured, see docs/design/0005-platform.md.
_MEAN_PAUSE_FRACTION = 0.77
#: Least part of the slots that is used, whatever was learned: below half
#: of them the service would refuse what its idle places could do.
_MIN_SLOT_FRACTION = 0.5
#: Part of the slots that is used before any pause was seen.
_INITIAL_SLOT_FRACTION = 0.67
#: Times the engine's own figure that a request may add to a pass: with the
#: experts' work spread as badly as was seen. What is more is no request's.
_MAX_REQUEST_COST_FACTOR = 4.0
#: Requests at an engine below which no count is in time: half of the engines
#: would be idle.
_MIN_IN_TIME_REQUESTS = 0.5
#: Part of the least count used that must be in time again to go back to
#: it, so that not each pass that is a little shorter changes the count.
_RECOVERY_FACTOR = 0.6
#: Times the longest pause in time that a pass may take while none is in time:
#: a usual stream of some twenty events still ends well before its deadline.
_LATE_PAUSE_FACTOR = 3.0
#: Pauses past this many times the longest in time come of a fault, not
#: of load, and teach nothing.
_FAULT_PAUSE_FACTOR = 4.0
_MS = datetime.timedelta(milliseconds=1)


@final
class ConcurrencyLimit:
    """What the pauses of one service's streams have taught."""

    def __init__(self) -> None:
        self._per_request_ms: float | None = None
        #: Part of a pass that no request explains.
        self._unexplained_ms: float | None = None
        #: Whether no count of requests was in time when last asked.
        self._none_in_time = False
        self._passes = pass_times.PassDetector()

    def observe_pause(
        self,
        pause: datetime.timedelta,
        now: clock_lib.Instant,
        *,
        engine: desired.EngineSpec,
        mean_requests: float,
        max_pause: datetime.timedelta,
    ) -> None:
        """Learn from one pause between two events.

        :param mean_requests: mean requests at an engine at that time.
        :param max_pause: longest pause that is in time.
        """
        if pause > max_pause * _FAULT_PAUSE_FACTOR or mean_requests <= 0:
            return
        if not self._passes.is_new_pass(pause, now):
            return
        extra_ms = max(0.0, pause / _MS - _fixed_pass_ms(engine))
        count = max(1.0, mean_requests)
        seen_ms = extra_ms / count
        max_ms = _max_request_ms(engine)
        if max_ms:
            seen_ms = min(seen_ms, max_ms)
        self._per_request_ms = _smoothed(self._per_request_ms, seen_ms)
        self._unexplained_ms = _smoothed(
            self._unexplained_ms, extra_ms - seen_ms * count
        )

    def max_requests_per_engine(
        self,
        engine: desired.EngineSpec,
        max_pause: datetime.timedelta | None,
        *,
        has_slow_rank: bool = False,
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

        :param has_slow_rank: whether a rank is known to hold its group back.
        """
        per_request_ms = self._per_request_ms
        if per_request_ms is None or max_pause is None:
            return engine.slots * _INITIAL_SLOT_FRACTION
        request_ms = max(per_request_ms, engine.ms_per_sequence, 0.001)
        fixed_ms = _fixed_pass_ms(engine) + (self._unexplained_ms or 0.0)
        in_time = (
            max_pause / _MS * _MEAN_PAUSE_FRACTION - fixed_ms
        ) / request_ms
        least = engine.slots * _MIN_SLOT_FRACTION
        threshold = (
            least * _RECOVERY_FACTOR
            if self._none_in_time
            else _MIN_IN_TIME_REQUESTS
        )
        self._none_in_time = has_slow_rank and in_time < threshold
        if self._none_in_time:
            in_time = (
                max_pause / _MS * _LATE_PAUSE_FACTOR - fixed_ms
            ) / request_ms
        return min(float(engine.slots), max(least, in_time))


def _smoothed(mean_ms: float | None, seen_ms: float) -> float:
    """Return what is learned once one more pass was seen."""
    return (
        seen_ms
        if mean_ms is None
        else mean_ms + _NEW_PASS_WEIGHT * (seen_ms - mean_ms)
    )


def _max_request_ms(engine: desired.EngineSpec) -> float:
    """Return what one request adds to a pass at most; 0 if not known."""
    return (
        engine.steps_per_pass
        * engine.ms_per_sequence
        * _MAX_REQUEST_COST_FACTOR
    )


def _fixed_pass_ms(engine: desired.EngineSpec) -> float:
    return engine.steps_per_pass * engine.step_ms
