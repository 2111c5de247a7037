# SPDX-License-Identifier: Apache-2.0
"""Retry budget: retries may add only a part to the load."""

import threading
from typing import final

#: Retries earned by each request.
RETRY_RATIO = 0.1
#: Retries that can be saved up; also what there is at the start.
MAX_SAVED_RETRIES = 10.0


@final
class RetryBudget:
    """Budget of one service at one entry host."""

    def __init__(
        self,
        *,
        ratio: float = RETRY_RATIO,
        max_saved: float = MAX_SAVED_RETRIES,
    ) -> None:
        self._ratio = ratio
        self._max_saved = max_saved
        self._available = max_saved
        self._lock = threading.Lock()

    def record_request(self) -> None:
        """Note one request of a caller."""
        with self._lock:
            self._available = min(
                self._max_saved, self._available + self._ratio
            )

    def try_spend(self) -> bool:
        """Take one retry; tell whether there was one."""
        with self._lock:
            if self._available < 1.0:
                return False
            self._available -= 1.0
            return True
