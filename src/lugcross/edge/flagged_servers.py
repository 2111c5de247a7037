# SPDX-License-Identifier: Apache-2.0
"""Backend servers that edge processes report as broken or slow.

A rank group that has lost a rank refuses requests on all other ranks until it
forms again, and a slow rank slows down its whole group. The process that
manages the expert maps notices this first and reports it to its peers, so
that no process wastes attempts on such servers.
"""

from collections.abc import Collection
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired

#: Age after which a report is discarded: several heartbeats were lost, or the
#: reporting process is gone. The servers are then used as usual.
_REPORT_MAX_AGE = datetime.timedelta(seconds=1.2)


@final
class FlaggedServers:
    """Servers that this process or a peer reports for one reason.

    One instance holds the servers of broken rank groups, another one the slow
    servers.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._reports: dict[
            str, tuple[frozenset[desired.BackendKey], clock_lib.Instant]
        ] = {}
        self._servers: frozenset[desired.BackendKey] = frozenset()
        #: When ``_servers`` must be rebuilt.
        self._valid_until = datetime.timedelta()

    def report(
        self, reporter: str, keys: Collection[desired.BackendKey]
    ) -> None:
        """Replace the servers that the process ``reporter`` reports."""
        now = self._clock.monotonic()
        before, _ = self._reports.get(reporter, (frozenset(), now))
        if not keys:
            self._reports.pop(reporter, None)
        else:
            self._reports[reporter] = frozenset(keys), now
        if before != frozenset(keys):
            self._valid_until = now

    def servers(self) -> frozenset[desired.BackendKey]:
        """Return the servers that any process reports.

        Returns the same object as long as nothing has changed.
        """
        now = self._clock.monotonic()
        if now >= self._valid_until:
            self._rebuild(now)
        return self._servers

    def _rebuild(self, now: clock_lib.Instant) -> None:
        for reporter, (_, at) in list(self._reports.items()):
            if now - at >= _REPORT_MAX_AGE:
                del self._reports[reporter]
        servers: frozenset[desired.BackendKey] = frozenset().union(
            *(keys for keys, _ in self._reports.values())
        )
        if servers != self._servers:
            self._servers = servers
        expiries = [at + _REPORT_MAX_AGE for _, at in self._reports.values()]
        self._valid_until = min(expiries, default=datetime.timedelta.max)
