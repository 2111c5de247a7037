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
_SPAN = datetime.timedelta(milliseconds=100)


@final
class _Rate:
    """Events of the last moments, older ones counting ever less."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._at = datetime.timedelta()

    def took(self, count: int, now: clock_lib.Instant) -> None:
        """Note some events."""
        self._weight = self._left(now) + count
        self._at = now

    def within(
        self, span: datetime.timedelta, now: clock_lib.Instant
    ) -> float:
        """Return how many are to be expected within ``span``."""
        return self._left(now) * (span / _SPAN)

    def _left(self, now: clock_lib.Instant) -> float:
        return self._weight * math.exp((self._at - now) / _SPAN)


@final
class Unseen:
    """Requests of peers that are under way and not told, by service.

    :param near: mean age of the news of peers in the same failure domain.
    :param far: the same of peers in others, who are told less often.
    """

    def __init__(
        self, *, near: datetime.timedelta, far: datetime.timedelta
    ) -> None:
        self._ages = {True: near, False: far}
        self._rates: dict[tuple[ids.ServiceName, bool], _Rate] = {}

    def began(
        self,
        service: ids.ServiceName,
        count: int,
        now: clock_lib.Instant,
        *,
        near: bool,
    ) -> None:
        """Note that a peer has begun some requests since its last news."""
        rate = self._rates.setdefault((service, near), _Rate())
        rate.took(count, now)

    def of(self, service: ids.ServiceName, now: clock_lib.Instant) -> float:
        """Return how many requests of ``service`` are probably unseen."""
        found = 0.0
        for near, age in self._ages.items():
            rate = self._rates.get((service, near))
            if rate is not None:
                found += rate.within(age, now)
        return found
