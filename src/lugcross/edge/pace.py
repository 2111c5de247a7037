# SPDX-License-Identifier: Apache-2.0
"""How many requests an engine may write for at once, learned from pauses.

All engines of a group advance in one pass, and each pass gives every
stream one event. A pass takes a fixed time and some more for each request
that writes; how much more depends on how evenly the experts' work is
spread, which only the pauses between events show.
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
#: Pauses past this many times the longest in time come of a fault, not
#: of load, and teach nothing.
_FAULT = 4.0
_MS = datetime.timedelta(milliseconds=1)


@final
class Pace:
    """What the pauses of one service's streams have taught."""

    def __init__(self) -> None:
        self._per_request_ms: float | None = None
        self._passes = pulse.Passes()

    def paused(
        self,
        pause: datetime.timedelta,
        now: clock_lib.Instant,
        *,
        engine: desired.Engine,
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
        seen = extra_ms / max(1.0, per_engine)
        held = self._per_request_ms
        if held is None:
            self._per_request_ms = seen
        else:
            self._per_request_ms = held + _WEIGHT * (seen - held)

    def full(
        self, engine: desired.Engine, limit: datetime.timedelta | None
    ) -> float:
        """Return how many requests one engine may have at once."""
        held = self._per_request_ms
        if held is None or limit is None:
            return engine.slots * _FIRST_PART
        spare_ms = limit / _MS * _MEAN_PART - _fixed_ms(engine)
        fits = spare_ms / max(held, engine.per_seq_ms, 0.001)
        least = engine.slots * _LEAST_PART
        return min(float(engine.slots), max(least, fits))


def _fixed_ms(engine: desired.Engine) -> float:
    return engine.stride * engine.step_ms
