# SPDX-License-Identifier: Apache-2.0
"""Which ranks of a group are slow, and when all are asked for it.

All ranks of a group make each pass together: one that is four times slower
makes all passes as slow as its own part of them is. Ranks tell in their
reports how slow they are, so that nothing need be guessed from pauses; but a
question to each rank of a large group is priced, so that they are asked where
passes have become longer, and now and then.
"""

from collections.abc import Mapping
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import experts

#: Times the usual from which on a rank counts as slow: below it, moving
#: experts away costs more than the rank.
_MIN_SLOW_FACTOR = 1.25
#: Part by which a belief must change for maps to be planned anew.
_SIGNIFICANT_CHANGE_RATIO = 0.25
#: Time between two rounds of questions where no rank is known to be slow: a
#: rank that turns slow makes passes jump, which is seen at once; this finds
#: what did not.
_QUERY_INTERVAL = datetime.timedelta(seconds=4)
#: The same while one is: it should get its part back soon after.
_QUERY_INTERVAL_WHILE_SLOW = datetime.timedelta(seconds=1)


@final
class RankSlowness:
    """How slow the ranks of one group are, as they told last."""

    def __init__(self) -> None:
        self._due_at = datetime.timedelta()
        self._factors: dict[experts.Rank, float] = {}

    def note_jump(
        self, now: clock_lib.Instant, report_lag: datetime.timedelta
    ) -> None:
        """Note that passes have become longer.

        :param report_lag: age of what ranks tell: before it is over, they
            tell how they were before.
        """
        self._due_at = now + report_lag

    def query_is_due(self, now: clock_lib.Instant) -> bool:
        """Tell whether all ranks should be asked now."""
        return now >= self._due_at

    def update(
        self, factors: Mapping[experts.Rank, float], now: clock_lib.Instant
    ) -> bool:
        """Take over what ranks tell; tell whether it changes anything.

        One that does not answer keeps what is believed of it.
        """
        before = dict(self._factors)
        for rank, times in factors.items():
            if times < _MIN_SLOW_FACTOR:
                self._factors.pop(rank, None)
            else:
                self._factors[rank] = times
        self._due_at = now + (
            _QUERY_INTERVAL_WHILE_SLOW if self._factors else _QUERY_INTERVAL
        )
        ranks = before.keys() | self._factors.keys()
        return any(
            abs(self._factors.get(rank, 1.0) / before.get(rank, 1.0) - 1.0)
            >= _SIGNIFICANT_CHANGE_RATIO
            for rank in ranks
        )

    def slow_ranks(self) -> list[experts.Rank]:
        """Return the ranks that are slow."""
        return sorted(self._factors)

    def factors(self, rank_count: int) -> tuple[float, ...]:
        """Return how slow each rank is; nothing where all are as usual."""
        if not self._factors:
            return ()
        return tuple(
            self._factors.get(experts.Rank(rank), 1.0)
            for rank in range(rank_count)
        )
