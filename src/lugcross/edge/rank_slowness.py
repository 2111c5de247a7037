# SPDX-License-Identifier: Apache-2.0
"""Slow ranks of a group, and when to query all ranks for their slowness.

All ranks of a group make each pass together, so one slow rank slows down every
pass. Ranks report their own slowness. As each query has a price, all ranks of
a group are queried only after its passes have become longer, and periodically
at a low rate.
"""

from collections.abc import Mapping
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import experts

#: Ranks with at least this slowness count as slow; below it, moving experts
#: away costs more than it saves.
_MIN_SLOW_FACTOR = 1.25
#: Relative change of a rank's slowness from which on the map must be planned
#: again.
_SIGNIFICANT_CHANGE_RATIO = 0.25
#: Time between two queries of all ranks while none is known to be slow. A rank
#: that becomes slow usually makes pass times jump, which triggers a query at
#: once; this interval finds ranks that did not.
_QUERY_INTERVAL = datetime.timedelta(seconds=4)
#: The same while a rank is known to be slow, so that it gets its experts back
#: soon after it has recovered.
_QUERY_INTERVAL_WHILE_SLOW = datetime.timedelta(seconds=1)


@final
class RankSlowness:
    """The last reported slowness of each rank of one group.

    The slowness is the factor by which a rank's part of a pass takes longer
    than usual; it is 1 for ranks that are not slow.
    """

    def __init__(self) -> None:
        self._due_at = datetime.timedelta()
        self._factors: dict[experts.Rank, float] = {}

    def note_jump(
        self, now: clock_lib.Instant, report_lag: datetime.timedelta
    ) -> None:
        """Schedule a query, as passes have become longer.

        :param report_lag: age of the data that ranks report. The query waits
            this long, so that the reports are not from before the jump.
        """
        self._due_at = now + report_lag

    def query_is_due(self, now: clock_lib.Instant) -> bool:
        """Tell whether all ranks should be queried now."""
        return now >= self._due_at

    def update(
        self, factors: Mapping[experts.Rank, float], now: clock_lib.Instant
    ) -> bool:
        """Store the slowness that ranks reported.

        :param factors: slowness by rank. Ranks that did not answer are left
            out, and keep their last value.
        :returns: whether a rank's slowness changed enough for the map to be
            planned again.
        """
        before = dict(self._factors)
        for rank, factor in factors.items():
            if factor < _MIN_SLOW_FACTOR:
                self._factors.pop(rank, None)
            else:
                self._factors[rank] = factor
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
        """Return the ranks that count as slow, in order."""
        return sorted(self._factors)

    def factors(self, rank_count: int) -> tuple[float, ...]:
        """Return the slowness of each rank; empty if no rank is slow."""
        if not self._factors:
            return ()
        return tuple(
            self._factors.get(experts.Rank(rank), 1.0)
            for rank in range(rank_count)
        )
