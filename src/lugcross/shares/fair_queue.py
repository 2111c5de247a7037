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
class Ticket:
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
        self.waiting: dict[ids.WorkspaceName, collections.deque[Ticket]] = {}


@final
class FairQueue:
    """Order in which the requests of rival groups are taken.

    :param weight: the configured share of a group.
    """

    def __init__(self, weight: GroupWeight) -> None:
        self._weight = weight
        self._virtual_time = 0.0
        self._groups: dict[ids.WorkspaceGroupName, _Group] = {}
        self._tickets: dict[str, Ticket] = {}
        self.waiting_cost = 0

    def __len__(self) -> int:
        return len(self._tickets)

    def push(self, ticket: Ticket) -> None:
        """Let ``ticket`` wait for its turn."""
        group = self._groups.setdefault(ticket.group, _Group())
        if not group.waiting:
            group.flow.activate(self._virtual_time)
        flow = group.flows.setdefault(ticket.workspace, _Flow())
        line = group.waiting.get(ticket.workspace)
        if line is None:
            flow.activate(group.virtual_time)
            line = group.waiting[ticket.workspace] = collections.deque()
        line.append(ticket)
        self._tickets[ticket.uid] = ticket
        self.waiting_cost += ticket.cost

    def pop(self) -> Ticket | None:
        """Take the ticket whose turn it is and charge its estimate."""
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
        ticket = group.waiting[space][0]
        self._virtual_time = group.flow.start_tag
        group.virtual_time = group.flows[space].start_tag
        group.flow.charge(ticket.cost / self._weight(name))
        group.flows[space].charge(float(ticket.cost))
        self._remove(ticket)
        return ticket

    def remove(self, uid: str) -> bool:
        """Take back a ticket; tell whether it was still waiting."""
        ticket = self._tickets.get(uid)
        if ticket is None:
            return False
        self._remove(ticket)
        return True

    def correct_charge(self, ticket: Ticket, used: int) -> None:
        """Correct the charge of a taken ticket to what it really used.

        :param used: work done, in tokens.
        """
        group = self._groups.get(ticket.group)
        if group is None:
            return
        error = used - ticket.cost
        _adjust(group.flow, error / self._weight(ticket.group), group.waiting)
        flow = group.flows.get(ticket.workspace)
        if flow is not None:
            _adjust(flow, float(error), ticket.workspace in group.waiting)

    def _remove(self, ticket: Ticket) -> None:
        del self._tickets[ticket.uid]
        self.waiting_cost -= ticket.cost
        group = self._groups[ticket.group]
        line = group.waiting[ticket.workspace]
        line.remove(ticket)
        if not line:
            del group.waiting[ticket.workspace]


def _adjust(flow: _Flow, amount: float, backlogged: object) -> None:
    if backlogged:
        flow.charge(amount)
    else:
        # Kept until it wakes: short requests sent one by one would
        # otherwise escape the correction.
        flow.pending_charge = max(0.0, flow.pending_charge + amount)
