# SPDX-License-Identifier: Apache-2.0
"""Counts connections that are closed for what their clients do."""

import collections
from collections.abc import Callable
import enum
from typing import final

from absl import logging


@final
class ClosedConnections:
    """Connections of one listening address that were closed or refused.

    :param listener: name of the address, for the log.
    :param count: called with each reason.
    """

    def __init__(
        self, listener: str, count: Callable[[enum.Enum], None]
    ) -> None:
        self._listener = listener
        self._count = count
        #: Connections since the last line of the log, by reason.
        self._recent: collections.Counter[str] = collections.Counter()

    def note(self, reason: enum.Enum) -> None:
        """Count one connection."""
        self._recent[reason.value] += 1
        self._count(reason)

    def log(self) -> None:
        """Write one line about all connections since the last line, if any."""
        if self._recent:
            logging.warning(
                "connections closed",
                extra={"listener": self._listener, "counts": {**self._recent}},
            )
            self._recent.clear()
