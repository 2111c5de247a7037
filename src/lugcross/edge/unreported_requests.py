# SPDX-License-Identifier: Apache-2.0
"""How many requests peers have sent of which no news can have come yet.

Load pattern: a burst that comes to all processes at once. Each of them sees
free places that the others are filling at the same moment. How many follows
from the rate at which all of them have just begun requests, which their
news tell, and from the age of these news.
"""

import datetime
import math
from typing import final

from lugcross import clock as clock_lib
from lugcross import ids

#: Time over which the rate is taken: of a burst, two thirds are followed
#: after it. Longer spans are steadier, but the estimate is of few requests.
_RATE_TIME_CONSTANT = datetime.timedelta(milliseconds=100)


@final
class _DecayingRate:
    """Events of the last moments, older ones counting ever less."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._at = datetime.timedelta()

    def add(self, count: int, now: clock_lib.Instant) -> None:
        """Note some events."""
        self._weight = self._decayed(now) + count
        self._at = now

    def expected_within(
        self, span: datetime.timedelta, now: clock_lib.Instant
    ) -> float:
        """Return how many are to be expected within ``span``."""
        return self._decayed(now) * (span / _RATE_TIME_CONSTANT)

    def _decayed(self, now: clock_lib.Instant) -> float:
        return self._weight * math.exp((self._at - now) / _RATE_TIME_CONSTANT)


@final
class UnreportedRequests:
    """Requests of peers that are under way and not told, by service.

    :param same_domain_age: mean age of the news of peers in the same failure
        domain.
    :param other_domain_age: the same of peers in others, who are told less
        often.
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
        """Note that a peer has begun some requests since its last news."""
        rate = self._rates.setdefault((service, same_domain), _DecayingRate())
        rate.add(count, now)

    def estimate(
        self, service: ids.ServiceName, now: clock_lib.Instant
    ) -> float:
        """Return how many requests of ``service`` are probably unseen."""
        found = 0.0
        for same_domain, age in self._report_ages.items():
            rate = self._rates.get((service, same_domain))
            if rate is not None:
                found += rate.expected_within(age, now)
        return found
