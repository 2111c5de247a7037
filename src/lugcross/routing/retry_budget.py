# SPDX-License-Identifier: Apache-2.0
"""Retry budget: retries may add only a part to the load."""

import threading
from typing import final

#: Retries earned by each request.
RATIO = 0.1
#: Retries that can be saved up; also what there is at the start.
SAVED = 10.0


@final
class RetryBudget:
    """Budget of one service at one entry host."""

    def __init__(self, *, ratio: float = RATIO, saved: float = SAVED) -> None:
        self._ratio = ratio
        self._saved = saved
        self._left = saved
        self._lock = threading.Lock()

    def earn(self) -> None:
        """Note one request of a caller."""
        with self._lock:
            self._left = min(self._saved, self._left + self._ratio)

    def spend(self) -> bool:
        """Take one retry; tell whether there was one."""
        with self._lock:
            if self._left < 1.0:
                return False
            self._left -= 1.0
            return True
