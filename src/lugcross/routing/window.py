# SPDX-License-Identifier: Apache-2.0
"""Repeat budget over a sliding window, kept without asking anyone.

Every process spends only what its own requests have earned. The sum over
all processes then stays within the same part of all requests, however
many of them there are and whichever can be reached.
"""

import collections
import datetime
from typing import final

from lugcross import clock as clock_lib

#: Part of the allowed ratio that is spent. The rest covers what is in
#: flight at a window's edges, where requests and repeats fall apart.
_SPENT_PART = 0.8
#: Repeats that a process may send in a window before it has earned any:
#: a lost connection of its first requests must not fail them.
_FREE = 1


@final
class RepeatBudget:
    """Repeats of one service from one process.

    :param ratio: repeats allowed for each request.
    :param window_s: length of the window, in seconds.
    """

    def __init__(self, *, ratio: float, window_s: float) -> None:
        self._ratio = ratio * _SPENT_PART
        self._window = datetime.timedelta(seconds=window_s)
        self._asked: collections.deque[clock_lib.Instant] = collections.deque()
        self._spent: collections.deque[clock_lib.Instant] = collections.deque()

    def asked(self, now: clock_lib.Instant) -> None:
        """Note one request of a caller."""
        self._asked.append(now)

    def spend(self, now: clock_lib.Instant) -> bool:
        """Take one repeat; tell whether there was one."""
        for moments in (self._asked, self._spent):
            while moments and now - moments[0] > self._window:
                moments.popleft()
        earned = _FREE + self._ratio * len(self._asked)
        if len(self._spent) + 1 > earned:
            return False
        self._spent.append(now)
        return True
