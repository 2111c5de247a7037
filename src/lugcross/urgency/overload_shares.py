# SPDX-License-Identifier: Apache-2.0
"""Part of a service's capacity that is open to each urgency; no I/O.

Part of the capacity is closed to a request so that more urgent ones find
room. How large it is follows from the part of the arrivals that is more urgent
and from how far the load exceeds the capacity. So that no urgency is shut out
while the overload lasts, each earns credit by its arrivals, and a request with
credit may use the whole capacity. The alternatives are compared in
``docs/design/0014-urgency.md``.
"""

import dataclasses
import datetime
import math
from typing import final

from lugcross import clock as clock_lib
from lugcross.urgency import ordering

#: Fraction of the capacity that is closed to a request where all others are
#: more urgent: counts of peers are up to 0.2 s old, in which 0.16 of the
#: capacity arrives at 1.6 times the load that fits, with streams of 2 s.
_MAX_RESERVED_FRACTION = 0.16
#: Rate at which an urgency earns credit, as a fraction of the rate at which
#: all requests are admitted. The required minimum is a quarter; a process sees
#: few requests of each urgency, and not all with credit find a free slot.
_MIN_SERVED_RATIO = 0.3
#: Part of the reserved capacity that stays closed without overload, for the
#: first second of a burst.
_MIN_RESERVE_RATIO = 0.3
#: Load beyond the capacity, as a fraction of it, from which all of the
#: reserved capacity is closed.
_FULL_RESERVE_EXCESS_FRACTION = 0.3
#: Lowest admitted fraction that the load is estimated by.
_MIN_ADMITTED_FRACTION = 0.1
#: Requests with credit that an urgency can save up.
_MAX_CREDIT_COUNT = 2.0
#: Time after which two thirds of the counts are of a new mix of arrivals. A
#: process gets a few requests a second; shorter times give no steady mix.
_TIME_CONSTANT = datetime.timedelta(seconds=10)
#: Decayed count at which an urgency is dropped, 70 s after its last request.
_MIN_ARRIVED_COUNT = 0.001


@final
@dataclasses.dataclass
class _Counts:
    """Decayed counts of one urgency's requests.

    :param credit: requests that may use the whole capacity.
    """

    arrived: float = 0.0
    admitted: float = 0.0
    credit: float = 0.0


@final
class OverloadShares:
    """Decides which part of a service's capacity is open to an urgency.

    A process has one for each service. It counts its own requests only; the
    load of all processes is passed in.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._counts: dict[ordering.Urgency, _Counts] = {}
        self._decayed_at = clock.monotonic()

    def record_arrival(self, urgency: ordering.Urgency) -> None:
        """Record a request, before admission decides on it."""
        self._decay()
        counts = self._counts.setdefault(urgency, _Counts())
        counts.arrived += 1.0
        counts.credit = min(
            _MAX_CREDIT_COUNT,
            counts.credit + _MIN_SERVED_RATIO * self._admitted_fraction(),
        )

    def record_admitted(self, urgency: ordering.Urgency) -> None:
        """Record that a request was admitted."""
        counts = self._counts.setdefault(urgency, _Counts())
        counts.admitted += 1.0
        counts.credit = max(0.0, counts.credit - 1.0)

    def capacity_fraction(
        self, urgency: ordering.Urgency, load_fraction: float
    ) -> float:
        """Return the part of the capacity that is open to a request.

        :param load_fraction: requests in progress at all processes, as a
            fraction of the capacity.
        """
        more_urgent = sum(
            counts.arrived
            for other, counts in self._counts.items()
            if other < urgency
        )
        if not more_urgent:
            return 1.0
        if self._counts.get(urgency, _Counts()).credit >= 1.0:
            return 1.0
        total = sum(counts.arrived for counts in self._counts.values())
        reserved = _MAX_RESERVED_FRACTION * more_urgent / total
        return 1.0 - reserved * self._reserve_ratio(load_fraction)

    def _reserve_ratio(self, load_fraction: float) -> float:
        """Return which part of the reserved capacity is closed.

        The load that was asked for is that in progress, divided by the
        fraction of the requests that were admitted.
        """
        asked_fraction = load_fraction / max(
            _MIN_ADMITTED_FRACTION, self._admitted_fraction()
        )
        ratio = (asked_fraction - 1.0) / _FULL_RESERVE_EXCESS_FRACTION
        return min(1.0, max(_MIN_RESERVE_RATIO, ratio))

    def _admitted_fraction(self) -> float:
        admitted = sum(counts.admitted for counts in self._counts.values())
        arrived = sum(counts.arrived for counts in self._counts.values())
        return min(1.0, admitted / arrived) if arrived else 1.0

    def _decay(self) -> None:
        now = self._clock.monotonic()
        factor = math.exp((self._decayed_at - now) / _TIME_CONSTANT)
        self._decayed_at = now
        for counts in self._counts.values():
            counts.arrived *= factor
            counts.admitted *= factor
        self._counts = {
            urgency: counts
            for urgency, counts in self._counts.items()
            if counts.arrived > _MIN_ARRIVED_COUNT
        }
