# SPDX-License-Identifier: Apache-2.0
"""Fair queue of one backend server: shares between groups, in tokens.

Start-time fair queueing on two levels: workspace groups by their share,
and the workspaces of a group evenly. Work is charged with its estimate
when it is taken and corrected when its true cost is known.

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
    """One request that waits.

    :param cost: estimated work, in tokens.
    """

    uid: str
    group: ids.WorkspaceGroupName
    workspace: ids.WorkspaceName
    cost: int


@final
class _Flow:
    """Tags of one group or workspace in the virtual time of its level."""

    def __init__(self) -> None:
        self.start_tag = 0.0
        self.pending_charge = 0.0

    def activate(self, virtual_time: float) -> None:
        # Idle time earns no credit, or a group that wakes could starve
        # the others; a debt still open is paid first.
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
    """Order in which the requests of rival groups are taken.

    :param weight: the configured share of a group.
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
        """Let ``request`` wait for its turn."""
        group = self._groups.setdefault(request.group, _Group())
        if not group.waiting:
            group.flow.activate(self._virtual_time)
        flow = group.flows.setdefault(request.workspace, _Flow())
        line = group.waiting.get(request.workspace)
        if line is None:
            flow.activate(group.virtual_time)
            line = group.waiting[request.workspace] = collections.deque()
        line.append(request)
        self._requests[request.uid] = request
        self.waiting_cost += request.cost

    def pop(self) -> QueuedRequest | None:
        """Take the request whose turn it is and charge its estimate."""
        name = min(
            (name for name, group in self._groups.items() if group.waiting),
            key=lambda name: self._groups[name].flow.start_tag,
            default=None,
        )
        if name is None:
            return None
        group = self._groups[name]
        space = min(
            group.waiting, key=lambda name: group.flows[name].start_tag
        )
        request = group.waiting[space][0]
        self._virtual_time = group.flow.start_tag
        group.virtual_time = group.flows[space].start_tag
        group.flow.charge(request.cost / self._weight(name))
        group.flows[space].charge(float(request.cost))
        self._remove(request)
        return request

    def remove(self, uid: str) -> bool:
        """Take back a request; tell whether it was still waiting."""
        request = self._requests.get(uid)
        if request is None:
            return False
        self._remove(request)
        return True

    def correct_charge(self, request: QueuedRequest, used: int) -> None:
        """Correct the charge of a taken request to what it really used.

        :param used: work done, in tokens.
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
        line = group.waiting[request.workspace]
        line.remove(request)
        if not line:
            del group.waiting[request.workspace]


def _adjust(flow: _Flow, amount: float, backlogged: object) -> None:
    if backlogged:
        flow.charge(amount)
    else:
        # Kept until it wakes: short requests sent one by one would
        # otherwise escape the correction.
        flow.pending_charge = max(0.0, flow.pending_charge + amount)
