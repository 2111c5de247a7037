# SPDX-License-Identifier: Apache-2.0
"""Concurrency limit of an engine, learned from the gaps between events.

All engines of a rank group advance in one pass, and each pass gives every
stream one event. A pass takes a fixed time and further time for each request.
The cost of a request depends on the skew of the experts' load, which only the
gaps between events show. Where passes take longer than the requests can
explain, something else slows the group down, such as a slow rank. That part of
the pass time does not depend on the number of requests.
"""

import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import pass_times

#: Weight of a new pass in the moving averages. Half of a jump is followed
#: after two passes, while one pass that reads a long prompt, which takes a
#: third longer than others, changes the limit by a tenth.
_NEW_PASS_WEIGHT = 0.3
#: Fraction of the route's maximum event gap that a mean pass may take. Passes
#: that read long prompts take longer, and one late event makes its whole
#: stream late.
_MEAN_GAP_FRACTION = 0.77
#: Fraction of the slots that is always used: the lowest limit. Below it, the
#: service would refuse requests that its idle slots could serve.
_MIN_SLOT_FRACTION = 0.5
#: Fraction of the slots that is used before the first gap is observed.
_DEFAULT_SLOT_FRACTION = 0.67
#: Cost of a request relative to the engine's specification at the worst skew
#: of the experts' load. Any further pass time is not due to requests.
_MAX_REQUEST_COST_FACTOR = 4.0
#: The maximum event gap counts as unreachable if it can be kept only with
#: fewer requests per engine than this.
_MIN_REQUESTS_WITHIN_GAP = 0.5
#: Once it is unreachable, it counts as reachable only if it can be kept with
#: this fraction of the lowest limit. Otherwise each shorter pass would change
#: the limit.
_REACHABLE_AGAIN_FRACTION = 0.6
#: Factor on the maximum event gap while it cannot be kept. Streams are late
#: then, but typical ones still end well before their deadlines.
_RELAXED_GAP_FACTOR = 3.0
#: Gaps longer than this multiple of the maximum event gap are due to faults
#: and are ignored.
_FAULT_GAP_FACTOR = 4.0
_MS = datetime.timedelta(milliseconds=1)


@final
class ConcurrencyLimit:
    """Concurrency limit of the engines of one service."""

    def __init__(self) -> None:
        self._request_cost_ms: float | None = None
        #: Pass time beyond the specification that is not due to requests.
        self._constant_excess_ms: float | None = None
        #: Whether a slow rank made the maximum event gap impossible to keep
        #: when the limit was last computed.
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
        """Update the averages with the gap between two events.

        :param mean_requests: current mean of the requests per engine.
        :param max_event_gap: longest gap that the route allows.
        """
        if gap > max_event_gap * _FAULT_GAP_FACTOR or mean_requests <= 0:
            return
        if not self._pass_detector.detect_new_pass(gap, now):
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

        While a slow rank makes the maximum event gap impossible to keep, the
        limit admits as many requests as can end well before their deadlines.
        A lower limit would refuse requests without making the others timely.

        This requires a rank that is known to be slow. The first passes of a
        new group read many prompts and are as long, and a higher limit would
        make them longer still.

        :param max_event_gap: longest gap that the route allows, if any.
        :param has_slow_rank: whether a rank of the service is known to be
            slow.
        """
        request_cost_ms = self._request_cost_ms
        if request_cost_ms is None or max_event_gap is None:
            return engine.slots * _DEFAULT_SLOT_FRACTION
        request_cost_ms = max(request_cost_ms, engine.ms_per_sequence, 0.001)
        fixed_ms = _fixed_pass_ms(engine) + (self._constant_excess_ms or 0.0)
        max_requests = (
            max_event_gap / _MS * _MEAN_GAP_FRACTION - fixed_ms
        ) / request_cost_ms
        lowest_limit = engine.slots * _MIN_SLOT_FRACTION
        threshold = (
            lowest_limit * _REACHABLE_AGAIN_FRACTION
            if self._event_gap_unreachable
            else _MIN_REQUESTS_WITHIN_GAP
        )
        self._event_gap_unreachable = (
            has_slow_rank and max_requests < threshold
        )
        if self._event_gap_unreachable:
            max_requests = (
                max_event_gap / _MS * _RELAXED_GAP_FACTOR - fixed_ms
            ) / request_cost_ms
        return min(float(engine.slots), max(lowest_limit, max_requests))


def _smoothed(mean_ms: float | None, observed_ms: float) -> float:
    """Return the moving average with one more observation."""
    return (
        observed_ms
        if mean_ms is None
        else mean_ms + _NEW_PASS_WEIGHT * (observed_ms - mean_ms)
    )


def _max_request_cost_ms(engine: desired.EngineSpec) -> float:
    """Return the most that one request adds to a pass; 0 if not known."""
    return (
        engine.steps_per_pass
        * engine.ms_per_sequence
        * _MAX_REQUEST_COST_FACTOR
    )


def _fixed_pass_ms(engine: desired.EngineSpec) -> float:
    """Return the duration of a pass without requests."""
    return engine.steps_per_pass * engine.step_ms
