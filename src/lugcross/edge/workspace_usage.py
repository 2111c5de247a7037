# SPDX-License-Identifier: Apache-2.0
"""Requests in progress by workspace, here and at all peers."""

from collections.abc import Iterable
from collections.abc import Mapping
import datetime
import heapq
from typing import final
import zlib

from lugcross import clock as clock_lib
from lugcross.edge import fleet_counts as fleet_counts_lib
from lugcross import ids
from lugcross import shares

#: Age at which what a peer told counts no more, as for servers' loads.
_PEER_COUNTS_MAX_AGE = datetime.timedelta(seconds=1.5)
#: Workspaces that one datagram tells of, heaviest first; a process with 15
#: requests a second of two seconds each has no more in progress at once.
_MAX_WORKSPACES_TOLD = 32


@final
class WorkspaceUsage:
    """What each workspace has in progress of each service.

    Peers tell them by number, which takes five bytes a workspace where names
    would take a dozen and more. Of 250 workspaces and 5 services two have the
    same number with a chance of 2 in 10,000; they would share one share.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._tallies: dict[
            ids.ServiceName, fleet_counts_lib.FleetCounts[ids.WorkspaceName]
        ] = {}
        self._names: dict[int, tuple[ids.ServiceName, ids.WorkspaceName]] = {}
        #: Weights other than 1, by workspace.
        self.weights: Mapping[str, float] = {}

    def set_names(
        self,
        services: Iterable[ids.ServiceName],
        workspaces: Iterable[ids.WorkspaceName],
    ) -> None:
        """Learn which workspaces and services there are."""
        spaces = set(workspaces)
        self._names = {
            workspace_number(service, space): (service, space)
            for service in services
            for space in spaces
        }

    def request_started(
        self, service: ids.ServiceName, space: ids.WorkspaceName | None
    ) -> None:
        """Note that a request of ``space`` was sent from here."""
        if space is not None:
            self._tally(service).add(space, 1)

    def request_ended(
        self, service: ids.ServiceName, space: ids.WorkspaceName | None
    ) -> None:
        """Note that a request of ``space`` sent from here is over."""
        if space is not None:
            self._tally(service).add(space, -1)

    def own_counts(self) -> dict[int, int]:
        """Return what to tell peers: requests in progress, by number."""
        found = {
            workspace_number(service, space): count
            for service, tally in self._tallies.items()
            for space, count in tally.own().items()
        }
        if len(found) <= _MAX_WORKSPACES_TOLD:
            return found
        heaviest = heapq.nlargest(
            _MAX_WORKSPACES_TOLD, found, key=found.__getitem__
        )
        return {number: found[number] for number in heaviest}

    def apply_peer_counts(
        self, node: str, counts_by_number: Mapping[int, int]
    ) -> None:
        """Take over what a peer has in progress, by number."""
        counts_by_service: dict[
            ids.ServiceName, dict[ids.WorkspaceName, int]
        ] = {service: {} for service in self._tallies}
        for number, count in counts_by_number.items():
            # One that is not known is of a desired state yet to come.
            named = self._names.get(number)
            if named is not None:
                service, space = named
                counts_by_service.setdefault(service, {})[space] = count
        for service, counts in counts_by_service.items():
            self._tally(service).set_peer_counts(node, counts)

    def use_of(
        self, service: ids.ServiceName, space: ids.WorkspaceName
    ) -> shares.WorkspaceUse:
        """Return what a workspace has of a service, and may have."""
        sums = self._tally(service).sums()
        workspaces = len(sums) + (space not in sums)
        extra_weight = sum(
            weight - 1.0
            for name, weight in self.weights.items()
            if name in sums or name == space
        )
        return shares.WorkspaceUse(
            in_progress=sums.get(space, 0),
            weight=self.weights.get(space, 1.0),
            total_weight=workspaces + extra_weight,
        )

    def counts_by_service(
        self,
    ) -> dict[ids.ServiceName, Mapping[ids.WorkspaceName, int]]:
        """Return all that is in progress; not to be changed or kept."""
        return {name: one.sums() for name, one in self._tallies.items()}

    def _tally(
        self, service: ids.ServiceName
    ) -> fleet_counts_lib.FleetCounts[ids.WorkspaceName]:
        found = self._tallies.get(service)
        if found is None:
            found = fleet_counts_lib.FleetCounts(
                self._clock, max_age=_PEER_COUNTS_MAX_AGE
            )
            self._tallies[service] = found
        return found


def workspace_number(
    service: ids.ServiceName, space: ids.WorkspaceName
) -> int:
    """Return the number by which peers tell of a workspace's requests."""
    return zlib.crc32(f"{service}\0{space}".encode())
