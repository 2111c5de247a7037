# SPDX-License-Identifier: Apache-2.0
"""Which backend servers cannot serve because their group of ranks is broken.

A group that lost a rank refuses at all the others until it forms anew.
Whoever looks after expert maps sees it first and tells the others, so that
nobody spends attempts on servers that are bound to refuse.
"""

from collections.abc import Collection
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired

#: Age at which what was told counts no more: a few messages were lost, or
#: whoever told it is gone. Without news a server is tried as usual.
_STALE = datetime.timedelta(seconds=1.2)


@final
class Outages:
    """What this process and its peers tell of broken groups."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._told: dict[
            str, tuple[frozenset[desired.BackendKey], clock_lib.Instant]
        ] = {}

    def told(self, teller: str, keys: Collection[desired.BackendKey]) -> None:
        """Take over which servers ``teller`` has seen in broken groups."""
        if keys:
            self._told[teller] = frozenset(keys), self._clock.monotonic()
        else:
            self._told.pop(teller, None)

    def broken(self) -> frozenset[desired.BackendKey]:
        """Return the servers that are bound to refuse now."""
        now = self._clock.monotonic()
        fresh = [keys for keys, at in self._told.values() if now - at < _STALE]
        return frozenset().union(*fresh)
