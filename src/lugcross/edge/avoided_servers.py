# SPDX-License-Identifier: Apache-2.0
"""Backend servers that should get nothing for now, as processes tell.

A group that lost a rank refuses at all the others until it forms anew, and a
slow rank holds its group back. Whoever looks after expert maps sees it first
and tells the others, so that nobody spends attempts there.
"""

from collections.abc import Collection
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired

#: Age at which what was told counts no more: a few messages were lost, or
#: whoever told it is gone. Without news a server is tried as usual.
_REPORT_MAX_AGE = datetime.timedelta(seconds=1.2)


@final
class AvoidedServers:
    """What this process and its peers tell of some servers."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._reports: dict[
            str, tuple[frozenset[desired.BackendKey], clock_lib.Instant]
        ] = {}
        self._servers: frozenset[desired.BackendKey] = frozenset()
        #: Until when what was put together last holds.
        self._valid_until = datetime.timedelta()

    def report(
        self, reporter: str, keys: Collection[desired.BackendKey]
    ) -> None:
        """Take over which servers ``reporter`` has seen so."""
        now = self._clock.monotonic()
        before, _ = self._reports.get(reporter, (frozenset(), now))
        if not keys:
            self._reports.pop(reporter, None)
        else:
            self._reports[reporter] = frozenset(keys), now
        if before != frozenset(keys):
            self._valid_until = now

    def servers(self) -> frozenset[desired.BackendKey]:
        """Return the servers that anyone tells of.

        The same object is returned as long as nothing has changed.
        """
        now = self._clock.monotonic()
        if now >= self._valid_until:
            self._rebuild(now)
        return self._servers

    def _rebuild(self, now: clock_lib.Instant) -> None:
        for reporter, (_, at) in list(self._reports.items()):
            if now - at >= _REPORT_MAX_AGE:
                del self._reports[reporter]
        found: frozenset[desired.BackendKey] = frozenset().union(
            *(keys for keys, _ in self._reports.values())
        )
        if found != self._servers:
            self._servers = found
        ends = [at + _REPORT_MAX_AGE for _, at in self._reports.values()]
        self._valid_until = min(ends, default=datetime.timedelta.max)
