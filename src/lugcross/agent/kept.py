# SPDX-License-Identifier: Apache-2.0
"""Answers of keyed requests, kept for those who ask again."""

from typing import final

from lugcross.agent import exchange as exchange_lib

#: Answers kept, in bytes of all together; the oldest go first.
MOST_BYTES = 8 * 1_048_576


@final
class KeptAnswers:
    """Ended exchanges whose callers may come back under their key."""

    def __init__(self, *, most_bytes: int = MOST_BYTES) -> None:
        self._kept: dict[str, exchange_lib.Exchange] = {}
        self._bytes = 0
        self._most_bytes = most_bytes

    def get(self, uid: str) -> exchange_lib.Exchange | None:
        """Return an exchange that is still kept."""
        return self._kept.get(uid)

    def add(self, exchange: exchange_lib.Exchange) -> None:
        """Keep an exchange, and drop the oldest if there is no room."""
        self._kept[exchange.uid] = exchange
        self._bytes += exchange.kept_bytes
        while self._bytes > self._most_bytes:
            self.drop(next(iter(self._kept)))

    def drop(self, uid: str) -> None:
        """Forget an exchange, if it is kept."""
        exchange = self._kept.pop(uid, None)
        if exchange is not None:
            self._bytes -= exchange.kept_bytes
