# SPDX-License-Identifier: Apache-2.0
"""Estimate of the requests that peers have sent but not yet reported.

In a burst that reaches all processes at once, each of them sees free slots
that the others are filling at the same moment. The number of requests not yet
reported is estimated from the rate at which peers have recently started
requests, according to their reports, and the age of these reports.
"""

import datetime
import math
from typing import final

from lugcross import clock as clock_lib
from lugcross import ids

#: After this time the rate has followed two thirds of a burst. A longer one
#: would be steadier but follow bursts more slowly.
_RATE_TIME_CONSTANT = datetime.timedelta(milliseconds=100)


@final
class _DecayingRate:
    """Rate of events as an exponentially decaying average."""

    def __init__(self) -> None:
        self._decayed_count = 0.0
        self._at = datetime.timedelta()

    def add(self, count: int, now: clock_lib.Instant) -> None:
        """Record events at the time ``now``."""
        self._decayed_count = self._decayed(now) + count
        self._at = now

    def expected_within(
        self, span: datetime.timedelta, now: clock_lib.Instant
    ) -> float:
        """Return the expected number of events within ``span``."""
        return self._decayed(now) * (span / _RATE_TIME_CONSTANT)

    def _decayed(self, now: clock_lib.Instant) -> float:
        return self._decayed_count * math.exp(
            (self._at - now) / _RATE_TIME_CONSTANT
        )


@final
class UnreportedRequests:
    """Estimates the unreported requests of all peers, by service.

    :param same_domain_age: mean age of reports from peers in the same failure
        domain.
    :param other_domain_age: the same for peers in other failure domains, which
        send reports less often.
    """

    def __init__(
        self,
        *,
        same_domain_age: datetime.timedelta,
        other_domain_age: datetime.timedelta,
    ) -> None:
        self._report_ages = {True: same_domain_age, False: other_domain_age}
        self._rates: dict[tuple[ids.ServiceName, bool], _DecayingRate] = {}

    def record_started(
        self,
        service: ids.ServiceName,
        count: int,
        now: clock_lib.Instant,
        *,
        same_domain: bool,
    ) -> None:
        """Record requests that a peer has started since its last report."""
        rate = self._rates.setdefault((service, same_domain), _DecayingRate())
        rate.add(count, now)

    def estimate(
        self, service: ids.ServiceName, now: clock_lib.Instant
    ) -> float:
        """Return the estimated number of unreported requests."""
        total = 0.0
        for same_domain, age in self._report_ages.items():
            rate = self._rates.get((service, same_domain))
            if rate is not None:
                total += rate.expected_within(age, now)
        return total
