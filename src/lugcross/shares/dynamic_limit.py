# SPDX-License-Identifier: Apache-2.0
"""Dynamic limit on the requests one workspace may have in progress.

Without a limit, a workspace that suddenly sends many times its usual load
takes every slot that becomes free, and the requests of all other workspaces
are refused along with its own.

The limit of a workspace is a multiple of the number of free slots. A single
workspace that wants everything leaves one slot in 17 free for the others;
several such workspaces end up with equal parts; and slots that nobody else
uses are available to whichever workspace wants them. When the others take
more, the limit drops at once, and the excess drains as answers end. The
decision needs only the workspace's own requests in progress and the number of
free slots, so processes with outdated reports of each other still agree well
enough.

Requests in progress are a good measure of work: a request occupies its slot
for as many engine passes as it writes events, while reading the prompt takes
about a hundredth of that.

Source: A. Choudhury, E. Hahne, "Dynamic Queue Length Thresholds for
Shared-Memory Packet Switches", 1998.
"""

import dataclasses
from typing import final

#: Requests that a workspace of weight 1 may have in progress per free slot.
#: A smaller value leaves more slots idle under overload; a larger one protects
#: other workspaces less during a surge. Without a limit, the others are
#: served half of the time while one workspace sends several times its usual
#: load. With 8, a workspace that sends a third of an overload leaves a few
#: slots idle.
REQUESTS_PER_FREE_SLOT = 16.0


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkspaceQuota:
    """Use of a service by one workspace, and the limits that apply to it.

    :param in_progress: its requests in progress in all edge processes.
    :param weight: its weight; 1 unless set otherwise in the settings.
    :param total_weight: sum of the weights of all workspaces with requests in
        progress, including this one.
    """

    in_progress: int
    weight: float = 1.0
    total_weight: float = 1.0

    def fair_share(self, capacity: float) -> float:
        """Return its part of ``capacity``, by weight of active workspaces.

        :param capacity: requests that the service may run at once.
        """
        return capacity * self.weight / self.total_weight

    def may_take_slot(self, free_slots: float) -> bool:
        """Return whether it is below its limit, given ``free_slots``."""
        return (
            self.in_progress
            < REQUESTS_PER_FREE_SLOT * self.weight * free_slots
        )

    def is_within_share(self, capacity: float) -> bool:
        """Return whether one more request fits its fair share."""
        return self.in_progress + 1 <= self.fair_share(capacity)
