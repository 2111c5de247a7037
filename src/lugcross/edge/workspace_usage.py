# SPDX-License-Identifier: Apache-2.0
"""Requests in progress by workspace, in this process and its peers."""

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

#: Age at which the counts of a peer are dropped, as for server loads.
_PEER_COUNTS_MAX_AGE = datetime.timedelta(seconds=1.5)
#: Workspaces in one heartbeat; those with the most requests are sent. A
#: process with 15 requests a second of two seconds each has no more in
#: progress at once.
_MAX_WORKSPACES_SENT = 32


@final
class WorkspaceUsage:
    """Counts of requests in progress by service and workspace.

    Heartbeats identify a service and workspace by a hash of five bytes or
    less instead of their names. Two workspaces whose hashes collide share one
    fair share.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._counts_by_service: dict[
            ids.ServiceName, fleet_counts_lib.FleetCounts[ids.WorkspaceName]
        ] = {}
        self._names_by_hash: dict[
            int, tuple[ids.ServiceName, ids.WorkspaceName]
        ] = {}
        #: Weights by workspace name; a workspace that is absent has 1.
        self.weights: Mapping[str, float] = {}

    def set_known_workspaces(
        self,
        services: Iterable[ids.ServiceName],
        workspaces: Iterable[ids.WorkspaceName],
    ) -> None:
        """Set the names that hashes in heartbeats are resolved to."""
        unique_workspaces = set(workspaces)
        self._names_by_hash = {
            usage_hash(service, workspace): (service, workspace)
            for service in services
            for workspace in unique_workspaces
        }

    def request_started(
        self, service: ids.ServiceName, workspace: ids.WorkspaceName | None
    ) -> None:
        """Count a request that this process sends for ``workspace``."""
        if workspace is not None:
            self._counts(service).add(workspace, 1)

    def request_ended(
        self, service: ids.ServiceName, workspace: ids.WorkspaceName | None
    ) -> None:
        """Stop counting a request that this process sent."""
        if workspace is not None:
            self._counts(service).add(workspace, -1)

    def own_counts(self) -> dict[int, int]:
        """Return this process's counts for its heartbeat, by usage hash."""
        found = {
            usage_hash(service, workspace): count
            for service, counts in self._counts_by_service.items()
            for workspace, count in counts.own().items()
        }
        if len(found) <= _MAX_WORKSPACES_SENT:
            return found
        heaviest = heapq.nlargest(
            _MAX_WORKSPACES_SENT, found, key=found.__getitem__
        )
        return {one: found[one] for one in heaviest}

    def apply_peer_counts(
        self, node: str, counts_by_hash: Mapping[int, int]
    ) -> None:
        """Replace the counts of peer ``node`` by those of its heartbeat."""
        counts_by_service: dict[
            ids.ServiceName, dict[ids.WorkspaceName, int]
        ] = {service: {} for service in self._counts_by_service}
        for hash_, count in counts_by_hash.items():
            # The peer may have a newer desired state, with more workspaces.
            names = self._names_by_hash.get(hash_)
            if names is not None:
                service, workspace = names
                counts_by_service.setdefault(service, {})[workspace] = count
        for service, counts in counts_by_service.items():
            self._counts(service).set_peer_counts(node, counts)

    def quota_of(
        self, service: ids.ServiceName, workspace: ids.WorkspaceName
    ) -> shares.WorkspaceQuota:
        """Return the workspace's use and weight at ``service``."""
        sums = self._counts(service).sums()
        workspaces = len(sums) + (workspace not in sums)
        extra_weight = sum(
            weight - 1.0
            for name, weight in self.weights.items()
            if name in sums or name == workspace
        )
        return shares.WorkspaceQuota(
            in_progress=sums.get(workspace, 0),
            weight=self.weights.get(workspace, 1.0),
            total_weight=workspaces + extra_weight,
        )

    def counts_by_service(
        self,
    ) -> dict[ids.ServiceName, Mapping[ids.WorkspaceName, int]]:
        """Return the counts of all processes.

        The inner mappings are live views: neither change nor keep them.
        """
        return {
            name: one.sums() for name, one in self._counts_by_service.items()
        }

    def _counts(
        self, service: ids.ServiceName
    ) -> fleet_counts_lib.FleetCounts[ids.WorkspaceName]:
        found = self._counts_by_service.get(service)
        if found is None:
            found = fleet_counts_lib.FleetCounts(
                self._clock, max_age=_PEER_COUNTS_MAX_AGE
            )
            self._counts_by_service[service] = found
        return found


def usage_hash(service: ids.ServiceName, workspace: ids.WorkspaceName) -> int:
    """Return the hash that identifies a service and workspace on the wire."""
    return zlib.crc32(f"{service}\0{workspace}".encode())
