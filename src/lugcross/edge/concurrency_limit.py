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
_MEAN_GAP_FRACTION = 0.77
#: Least part of the slots that is used, whatever was learned: below half
#: of them the service would refuse what its idle places could do.
_MIN_SLOT_FRACTION = 0.5
#: Part of the slots that is used before any pause was seen.
_DEFAULT_SLOT_FRACTION = 0.67
#: Times the engine's own figure that a request may add to a pass: with the
#: experts' work spread as badly as was seen. What is more is no request's.
_MAX_REQUEST_COST_FACTOR = 4.0
#: Requests at an engine below which no count is in time: half of the engines
#: would be idle.
_MIN_REACHABLE_REQUESTS = 0.5
#: Part of the least count used that must be in time again to go back to
#: it, so that not each pass that is a little shorter changes the count.
_RECOVERY_FRACTION = 0.6
#: Times the longest pause in time that a pass may take while none is in time:
#: a usual stream of some twenty events still ends well before its deadline.
_RELAXED_GAP_FACTOR = 3.0
#: Pauses past this many times the longest in time come of a fault, not
#: of load, and teach nothing.
_FAULT_GAP_FACTOR = 4.0
_MS = datetime.timedelta(milliseconds=1)


@final
class ConcurrencyLimit:
    """What the pauses of one service's streams have taught."""

    def __init__(self) -> None:
        self._request_cost_ms: float | None = None
        #: Part of a pass that no request explains.
        self._constant_excess_ms: float | None = None
        #: Whether no count of requests was in time when last asked.
        self._event_gap_unreachable = False
        self._pass_detector = pass_times.PassDetector()

    def observe_event_gap(
        self,
        gap: datetime.timedelta,
        now: clock_lib.Instant,
        *,
        engine: desired.EngineSpec,
        mean_requests: float,
        max_event_gap: datetime.timedelta,
    ) -> None:
        """Learn from one pause between two events.

        :param mean_requests: mean requests at an engine at that time.
        :param max_pause: longest pause that is in time.
        """
        if gap > max_event_gap * _FAULT_GAP_FACTOR or mean_requests <= 0:
            return
        if not self._pass_detector.is_new_pass(gap, now):
            return
        extra_ms = max(0.0, gap / _MS - _fixed_pass_ms(engine))
        count = max(1.0, mean_requests)
        observed_ms = extra_ms / count
        max_cost_ms = _max_request_cost_ms(engine)
        if max_cost_ms:
            observed_ms = min(observed_ms, max_cost_ms)
        self._request_cost_ms = _smoothed(self._request_cost_ms, observed_ms)
        self._constant_excess_ms = _smoothed(
            self._constant_excess_ms, extra_ms - observed_ms * count
        )

    def max_requests_per_engine(
        self,
        engine: desired.EngineSpec,
        max_event_gap: datetime.timedelta | None,
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
        request_cost_ms = self._request_cost_ms
        if request_cost_ms is None or max_event_gap is None:
            return engine.slots * _DEFAULT_SLOT_FRACTION
        request_cost_ms = max(request_cost_ms, engine.ms_per_sequence, 0.001)
        fixed_ms = _fixed_pass_ms(engine) + (self._constant_excess_ms or 0.0)
        max_requests = (
            max_event_gap / _MS * _MEAN_GAP_FRACTION - fixed_ms
        ) / request_cost_ms
        min_requests = engine.slots * _MIN_SLOT_FRACTION
        threshold = (
            min_requests * _RECOVERY_FRACTION
            if self._event_gap_unreachable
            else _MIN_REACHABLE_REQUESTS
        )
        self._event_gap_unreachable = has_slow_rank and max_requests < threshold
        if self._event_gap_unreachable:
            max_requests = (
                max_event_gap / _MS * _RELAXED_GAP_FACTOR - fixed_ms
            ) / request_cost_ms
        return min(float(engine.slots), max(min_requests, max_requests))


def _smoothed(mean_ms: float | None, observed_ms: float) -> float:
    """Return what is learned once one more pass was seen."""
    return (
        observed_ms
        if mean_ms is None
        else mean_ms + _NEW_PASS_WEIGHT * (observed_ms - mean_ms)
    )


def _max_request_cost_ms(engine: desired.EngineSpec) -> float:
    """Return what one request adds to a pass at most; 0 if not known."""
    return (
        engine.steps_per_pass
        * engine.ms_per_sequence
        * _MAX_REQUEST_COST_FACTOR
    )


def _fixed_pass_ms(engine: desired.EngineSpec) -> float:
    return engine.steps_per_pass * engine.step_ms
