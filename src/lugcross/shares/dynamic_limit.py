# SPDX-License-Identifier: Apache-2.0
"""How much of a full service one workspace may take from the others.

Load pattern: one workspace sends many times its usual for some seconds. If
whoever comes first gets a place, its requests take every place that comes
free, and those of all others are refused with it.

A workspace may have as many requests in progress as a few times the places
that are still free. Where one wants all that there is, it leaves one part in
17 free for the others; where several do, they end up with equally many; and
what nobody else uses goes to whoever wants it. As others take more, the limit
falls at once, and the places come back as answers end. Nobody needs to know
who is how busy but the workspace's own use and the free places, so that
processes with old news of each other still agree well enough.

A request holds its place for as many passes as it writes events: places held
are the work that counts, and reading a prompt is a hundredth of it.

Source: A. Choudhury, E. Hahne, "Dynamic Queue Length Thresholds for
Shared-Memory Packet Switches", 1998.
"""

import dataclasses
from typing import final

#: Requests that a workspace of weight 1 may have in progress for each free
#: place. Of a surge to 7.5 times the usual, seven processes in virtual time
#: served the others 0.98 of the time with 16 as with 8, 0.97 with 32, and 0.50
#: with no limit (means of three seeds). With 8 a workspace that has a third
#: of a load that is too much leaves three to five of 70 places idle: 0.854 of
#: such a day's requests were served, 0.881 with 16, 0.885 with 32 and 0.893
#: with no limit (two plays each).
REQUESTS_PER_FREE_SLOT = 16.0


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkspaceQuota:
    """What one workspace has of a service, and may have.

    :param in_progress: its requests in progress, at all processes.
    :param weight: its weight; 1 unless settings say otherwise.
    :param total_weight: sum of the weights of all workspaces with requests in
        progress, this one included.
    """

    in_progress: int
    weight: float = 1.0
    total_weight: float = 1.0

    def fair_share(self, places: float) -> float:
        """Return its part of ``places`` if all that ask want more."""
        return places * self.weight / self.total_weight

    def may_take_slot(self, free_places: float) -> bool:
        """Tell whether it may take one of ``free_places``."""
        return (
            self.in_progress
            < REQUESTS_PER_FREE_SLOT * self.weight * free_places
        )

    def is_within_share(self, places: float) -> bool:
        """Tell whether one more request is within its share."""
        return self.in_progress + 1 <= self.fair_share(places)
