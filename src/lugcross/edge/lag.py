# SPDX-License-Identifier: Apache-2.0
"""Since when a process knows of news that it does not have."""

import collections
import datetime
from typing import final

from lugcross import clock as clock_lib

#: News that are told apart; more come to the same.
_MAX_MISSING = 64
#: Age of news that nothing is missing of.
_NO_LAG = datetime.timedelta()


@final
class Lag:
    """News that others have, each since it was first heard of.

    Peers pass news on, so that a process that knows of them seldom lacks
    them for long. Where it does, whatever the reason, it reads them from
    the store itself: how long it has known decides, and not which of its
    peers failed it.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._missing: collections.deque[tuple[int, clock_lib.Instant]] = (
            collections.deque(maxlen=_MAX_MISSING)
        )

    def note_available(self, number: int) -> None:
        """Note that someone has the news ``number``; they rise."""
        if not self._missing or number > self._missing[-1][0]:
            self._missing.append((number, self._clock.monotonic()))

    def age(self, own: int) -> datetime.timedelta:
        """Return since when the oldest news that is missing is known.

        :param own: the newest that this process has.
        """
        while self._missing and self._missing[0][0] <= own:
            self._missing.popleft()
        if not self._missing:
            return _NO_LAG
        return self._clock.monotonic() - self._missing[0][1]

    def restart(self) -> None:
        """Count anew: the store has just told all that it has."""
        now = self._clock.monotonic()
        if self._missing:
            number = self._missing[-1][0]
            self._missing.clear()
            self._missing.append((number, now))
