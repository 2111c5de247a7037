# SPDX-License-Identifier: Apache-2.0
"""Fair queue of one backend server; shares are counted in tokens.

Hierarchical start-time fair queueing: workspace groups are served by weight,
and the workspaces within a group evenly. A request is charged its estimated
cost when it leaves the queue; the charge is corrected once the actual cost is
known.

Source: P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", 1996.
"""

import collections
from collections.abc import Callable
import dataclasses
from typing import final

from lugcross import ids

#: Returns the weight of a group; above 0 even for unknown groups.
GroupWeight = Callable[[ids.WorkspaceGroupName], float]


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class QueuedRequest:
    """A request in a :class:`FairQueue`.

    :param cost: estimated cost, in tokens.
    """

    uid: str
    group: ids.WorkspaceGroupName
    workspace: ids.WorkspaceName
    cost: int


@final
class _Flow:
    """Scheduling state of one group, or of one workspace in its group.

    :ivar start_tag: virtual start time of its next request.
    :ivar pending_charge: correction to apply when it next becomes active.
    """

    def __init__(self) -> None:
        self.start_tag = 0.0
        self.pending_charge = 0.0

    def activate(self, virtual_time: float) -> None:
        # Idle time earns no credit, otherwise a flow that becomes active
        # again could starve the others. An outstanding charge is applied.
        self.start_tag = (
            max(self.start_tag, virtual_time) + self.pending_charge
        )
        self.pending_charge = 0.0

    def charge(self, amount: float) -> None:
        self.start_tag += amount


@final
class _Group:
    def __init__(self) -> None:
        self.flow = _Flow()
        self.virtual_time = 0.0
        self.flows: dict[ids.WorkspaceName, _Flow] = {}
        self.waiting: dict[
            ids.WorkspaceName, collections.deque[QueuedRequest]
        ] = {}


@final
class FairQueue:
    """Queue that serves competing workspace groups in proportion to weight.

    :param weight: returns the configured weight of a group.
    :ivar waiting_cost: total estimated cost of all queued requests, in tokens.
    """

    def __init__(self, weight: GroupWeight) -> None:
        self._weight = weight
        self._virtual_time = 0.0
        self._groups: dict[ids.WorkspaceGroupName, _Group] = {}
        self._requests: dict[str, QueuedRequest] = {}
        self.waiting_cost = 0

    def __len__(self) -> int:
        return len(self._requests)

    def push(self, request: QueuedRequest) -> None:
        """Add a request."""
        group = self._groups.setdefault(request.group, _Group())
        if not group.waiting:
            group.flow.activate(self._virtual_time)
        flow = group.flows.setdefault(request.workspace, _Flow())
        fifo = group.waiting.get(request.workspace)
        if fifo is None:
            flow.activate(group.virtual_time)
            fifo = group.waiting[request.workspace] = collections.deque()
        fifo.append(request)
        self._requests[request.uid] = request
        self.waiting_cost += request.cost

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request and charge its estimated cost.

        Returns None if the queue is empty.
        """
        name = min(
            (name for name, group in self._groups.items() if group.waiting),
            key=lambda name: self._groups[name].flow.start_tag,
            default=None,
        )
        if name is None:
            return None
        group = self._groups[name]
        workspace = min(
            group.waiting, key=lambda name: group.flows[name].start_tag
        )
        request = group.waiting[workspace][0]
        self._virtual_time = group.flow.start_tag
        group.virtual_time = group.flows[workspace].start_tag
        group.flow.charge(request.cost / self._weight(name))
        group.flows[workspace].charge(float(request.cost))
        self._remove(request)
        return request

    def remove(self, uid: str) -> bool:
        """Remove a request by id; return whether it was still queued."""
        request = self._requests.get(uid)
        if request is None:
            return False
        self._remove(request)
        return True

    def correct_charge(self, request: QueuedRequest, used: int) -> None:
        """Replace the estimated charge of a dequeued request by its cost.

        :param used: actual cost, in tokens.
        """
        group = self._groups.get(request.group)
        if group is None:
            return
        error = used - request.cost
        _adjust(group.flow, error / self._weight(request.group), group.waiting)
        flow = group.flows.get(request.workspace)
        if flow is not None:
            _adjust(flow, float(error), request.workspace in group.waiting)

    def _remove(self, request: QueuedRequest) -> None:
        del self._requests[request.uid]
        self.waiting_cost -= request.cost
        group = self._groups[request.group]
        fifo = group.waiting[request.workspace]
        fifo.remove(request)
        if not fifo:
            del group.waiting[request.workspace]


def _adjust(flow: _Flow, amount: float, backlogged: object) -> None:
    if backlogged:
        flow.charge(amount)
    else:
        # Applied when the flow becomes active again. Otherwise a caller that
        # sends one request at a time would never be charged the correction.
        flow.pending_charge = max(0.0, flow.pending_charge + amount)
