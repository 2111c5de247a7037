# SPDX-License-Identifier: Apache-2.0
"""Confines a crash suspect to the rank groups of the servers that crashed.

A crash of one rank takes its whole group down for seconds. A request that
crashes servers and is sent on to another group takes that down as well, and
with two groups the service is gone. Processes learn which servers form a group
from the reports of broken groups.
"""

from collections.abc import Iterable
from typing import final


@final
class GroupContainment:
    """The rank groups of servers that have crashed."""

    def __init__(self) -> None:
        #: By crashed server: the servers that were reported as broken with it.
        self._groups: dict[str, frozenset[str]] = {}

    def note_broken(
        self, broken: frozenset[str], crashed: frozenset[str]
    ) -> None:
        """Record the servers of broken groups that a process reports.

        A report may cover several groups at once; of several reports the
        smallest is kept.

        :param broken: servers of all groups that the process finds broken.
        :param crashed: servers that are known to have crashed.
        """
        for server in broken & crashed:
            known = self._groups.get(server)
            if known is None or len(broken) < len(known):
                self._groups[server] = broken

    def servers_for(self, crashed: Iterable[str]) -> frozenset[str] | None:
        """Return the servers that a suspect of some crashes may be sent to.

        :param crashed: the servers that crashed while they ran it.
        :returns: None if no group of any of them is known: it may then be
            sent to any server.
        """
        groups = [
            self._groups[server]
            for server in crashed
            if server in self._groups
        ]
        return frozenset().union(*groups) if groups else None

    def retain_only(self, crashed: frozenset[str]) -> None:
        """Drop the groups of servers that are not in ``crashed``."""
        for server in self._groups.keys() - crashed:
            del self._groups[server]
