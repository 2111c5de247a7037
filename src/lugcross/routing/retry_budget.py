# SPDX-License-Identifier: Apache-2.0
"""Retry budget: limits retries to a fraction of all requests."""

import threading
from typing import final

#: Retries earned by each request.
RETRY_RATIO = 0.1
#: Retries that can be saved up; also the initial balance.
MAX_SAVED_RETRIES = 10.0


@final
class RetryBudget:
    """Retry budget of one service on one entry host (a token bucket).

    :param ratio: retries earned by each request.
    :param max_saved: retries that can be saved up.
    """

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
        """Credit the budget for one request from a caller."""
        with self._lock:
            self._available = min(
                self._max_saved, self._available + self._ratio
            )

    def try_spend(self) -> bool:
        """Take one retry from the budget; return False if there is none."""
        with self._lock:
            if self._available < 1.0:
                return False
            self._available -= 1.0
            return True
