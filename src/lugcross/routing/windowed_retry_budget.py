# SPDX-License-Identifier: Apache-2.0
"""Retry budget over a sliding window, without coordination.

Each process spends the retries that its own requests have earned, plus its
part of a fixed allowance for the whole fleet. The sum over all processes
therefore stays within the limit, even while they cannot reach each other.
"""

import collections
import datetime
from typing import final

from lugcross import clock as clock_lib

#: Fraction of the allowed ratio that is spent. The rest is a margin for the
#: edges of a window, where a request and its retry may fall into different
#: windows.
_SPENT_RATIO = 0.8
#: Fraction of the slack that is spent. The rest is left for processes that
#: have just started or are not known yet.
_SLACK_RATIO = 0.5
#: Retries per window that need not be earned, so that a lost connection does
#: not fail the first requests of a process.
_FREE_RETRIES_PER_WINDOW = 1


@final
class WindowedRetryBudget:
    """Retry budget of one service in one process.

    :param ratio: retries allowed per request.
    :param window_s: length of the window, in seconds.
    :param slack: further retries per window allowed to all processes
        together.
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
        """Change the limits; retries already sent still count."""
        self._slack = slack * _SLACK_RATIO
        self._ratio = ratio * _SPENT_RATIO
        self._window = datetime.timedelta(seconds=window_s)

    def record_request(self, now: clock_lib.Instant) -> None:
        """Record one request from a caller."""
        self._request_times.append(now)
        # Here too, as no retry may ever be asked for.
        self._drop_old(self._request_times, now)

    def try_spend(
        self,
        now: clock_lib.Instant,
        *,
        budget_fraction: float = 1.0,
        peers: int = 0,
    ) -> bool:
        """Take one retry from the budget; return False if there is none.

        :param budget_fraction: fraction of the budget that this kind of retry
            may use; the rest is reserved for other kinds.
        :param peers: other processes that may exist, reachable or not. If
            none are known, no slack is used, since the process may merely
            not have heard of them.
        """
        for times in (self._request_times, self._retry_times):
            self._drop_old(times, now)
        earned = _FREE_RETRIES_PER_WINDOW + self._ratio * len(
            self._request_times
        )
        if peers:
            earned += self._slack / (peers + 1)
        if len(self._retry_times) + 1 > max(1.0, earned * budget_fraction):
            return False
        self._retry_times.append(now)
        return True

    def _drop_old(
        self,
        times: collections.deque[clock_lib.Instant],
        now: clock_lib.Instant,
    ) -> None:
        while times and now - times[0] > self._window:
            times.popleft()
