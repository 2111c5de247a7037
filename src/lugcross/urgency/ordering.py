# SPDX-License-Identifier: Apache-2.0
"""Urgency of a request, as an ordered value."""

import bisect
from collections.abc import Sequence
from typing import final
from typing import NamedTuple
from typing import Self

#: Highest number that an engine is told, the least urgent.
_MAX_REQUEST_PRIORITY_LEVEL = 9


@final
class Urgency(NamedTuple):
    """Urgency of a request; lower values are more urgent.

    The workspace's priority goes first. Among requests of workspaces with the
    same priority, that of the route decides, so that setting one priority for
    all workspaces does not make their routes equal.
    """

    workspace_priority: int
    route_priority: int

    @classmethod
    def of(
        cls, *, workspace_priority: int | None, route_priority: int
    ) -> Self:
        """Return the urgency of the requests of a workspace to a route.

        :param workspace_priority: None if the workspace has none, or the
            request has no workspace; the route's priority counts instead.
        """
        if workspace_priority is None:
            workspace_priority = route_priority
        return cls(workspace_priority, route_priority)


def count_more_urgent(urgency: Urgency, in_use: Sequence[Urgency]) -> int:
    """Return how many of the urgencies in use go before ``urgency``.

    :param in_use: distinct urgencies, the most urgent first.
    """
    return bisect.bisect_left(in_use, urgency)


def request_priority(
    urgency: Urgency, in_use: Sequence[Urgency]
) -> int | None:
    """Return the priority that an engine is told, 0 for the most urgent.

    :param in_use: distinct urgencies of the service, the most urgent first.
    :returns: None if all requests of the service have the same urgency.
    """
    if len(in_use) < 2:
        return None
    return min(count_more_urgent(urgency, in_use), _MAX_REQUEST_PRIORITY_LEVEL)
