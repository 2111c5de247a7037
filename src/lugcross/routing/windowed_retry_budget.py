# SPDX-License-Identifier: Apache-2.0
"""Repeat budget over a sliding window, kept without asking anyone.

Every process spends what its own requests have earned, and its part of
what is allowed beyond. The sum over all processes then stays within the
bound, whichever of them can be reached.
"""

import collections
import datetime
from typing import final

from lugcross import clock as clock_lib

#: Part of the allowed ratio that is spent. The rest covers what is in
#: flight at a window's edges, where requests and repeats fall apart.
_SPENT_RATIO = 0.8
#: Part of the slack that is spent; processes that start or that nobody
#: has heard of yet share in it too.
_SLACK_RATIO = 0.5
#: Repeats that a process may send in a window before it has earned any:
#: a lost connection of its first requests must not fail them.
_FREE_RETRIES = 1


@final
class WindowedRetryBudget:
    """Repeats of one service from one process.

    :param ratio: repeats allowed for each request.
    :param window_s: length of the window, in seconds.
    :param slack: repeats allowed beyond, to all processes together.
    """

    def __init__(
        self, *, ratio: float, window_s: float, slack: float = 0.0
    ) -> None:
        self.configure(ratio=ratio, window_s=window_s, slack=slack)
        self._request_times: collections.deque[clock_lib.Instant] = (
            collections.deque()
        )
        self._retry_times: collections.deque[clock_lib.Instant] = (
            collections.deque()
        )

    def configure(
        self, *, ratio: float, window_s: float, slack: float
    ) -> None:
        """Change what is allowed; what was spent stays counted."""
        self._slack = slack * _SLACK_RATIO
        self._ratio = ratio * _SPENT_RATIO
        self._window = datetime.timedelta(seconds=window_s)

    def record_request(self, now: clock_lib.Instant) -> None:
        """Note one request of a caller."""
        self._request_times.append(now)

    def try_spend(
        self,
        now: clock_lib.Instant,
        *,
        budget_fraction: float = 1.0,
        peers: int = 0,
    ) -> bool:
        """Take one repeat; tell whether there was one.

        :param budget_fraction: fraction of the budget that this kind of retry
            may use; the rest is reserved for other kinds.
        :param peers: other processes that may exist, heard or not; with
            none known the slack stays untouched, since there may be some.
        """
        for moments in (self._request_times, self._retry_times):
            while moments and now - moments[0] > self._window:
                moments.popleft()
        earned = _FREE_RETRIES + self._ratio * len(self._request_times)
        if peers:
            earned += self._slack / (peers + 1)
        if len(self._retry_times) + 1 > max(1.0, earned * budget_fraction):
            return False
        self._retry_times.append(now)
        return True
