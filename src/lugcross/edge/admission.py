# SPDX-License-Identifier: Apache-2.0
"""Whether a request is worth sending now, judged before any work."""

import dataclasses
import datetime
from typing import final

from lugcross import shares

#: Requests per slot at which a service without engines is full; its work
#: is short, so that a short queue is served in time.
MAX_REQUESTS_PER_PLAIN_SLOT = 3.0
#: Part of what is full for others at which a service is full for those
#: that were refused before; a few requests of each process below it.
CALLER_RETRY_CAPACITY_FRACTION = 0.8
#: Part of what is full for the most urgent requests by which a service is
#: full sooner for each kind that is less urgent, and the most for all: what
#: is urgent finds places free in a burst, and nothing else is starved.
RESERVED_FRACTION_PER_PRIORITY = 0.05
#: Most of what is kept from those that are less urgent, however many kinds.
_MAX_RESERVED_FRACTION = 0.15
#: Part of the slots up to which nobody is kept out: what is idle past that
#: would serve no one better.
_MIN_SLOT_FRACTION = 0.5


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadSnapshot:
    """A service's load as it looks from one process.

    :param servers: backend servers that may be used.
    :param slots: slots of all of them.
    :param requests: requests that all of them probably have.
    :param min_requests: requests of the least busy one that was looked at.
    :param unreported_requests: estimate of what peers have sent since their last
        heartbeat.
    """

    servers: int
    slots: int
    requests: int
    min_requests: int
    unreported_requests: float

    def has_free_slot(self) -> bool:
        """Tell whether a slot is free as far as known.

        What is unseen does not count: a server that has no slot for the
        moment lets one request wait for the next, which comes within a part
        of a second.
        """
        free_of_all = self.requests < self.slots
        return free_of_all and self.min_requests * self.servers < self.slots


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmissionRequest:
    """Who asks for a place.

    :param workspace_use: its workspace's; none where keys are not used.
    :param is_caller_retry: whether the request was refused before.
    :param more_urgent_priorities: how many kinds of requests of the service
        are more urgent.
    """

    workspace_use: shares.WorkspaceUse | None = None
    is_caller_retry: bool = False
    more_urgent_priorities: int = 0


def refusal_reason(
    snapshot: LoadSnapshot,
    max_per_server: float,
    admission_request: AdmissionRequest,
) -> str | None:
    """Return why a request should come back later, or none.

    Under lasting overload someone is refused, whoever goes first. One
    that comes back is late already: a place given to it is worth less to
    its caller than to one that can still be served in time, and would
    make that one come back late in turn. So the last places are kept for
    those that ask for the first time, and some more for what is urgent.

    A workspace that asks for more than its share goes first out of a full
    service (:mod:`lugcross.shares.dynamic_limit`). One that asks for less is
    given what the others have taken of its share, up to the slots: their
    streams end within seconds, and until then all passes take a little
    longer. Of a surge to 7.5 times the usual, the others were served 0.98 of
    the time, 0.50 with no look at workspaces (seven processes in virtual
    time).

    What peers have sent since they last told counts, as far as it can be
    estimated (:mod:`lugcross.edge.unreported_requests`).

    :param max_per_server: requests that one server may have at once.
    """
    workspace_use = admission_request.workspace_use
    capacity = max_per_server * snapshot.servers
    free = (
        _capacity_for(snapshot, capacity, admission_request)
        - snapshot.requests
        - snapshot.unreported_requests
    )
    has_free_place = free >= 1.0 and snapshot.min_requests < max(
        max_per_server, 1.0
    )
    if has_free_place and (
        workspace_use is None or workspace_use.may_take_place(free)
    ):
        return None
    if (
        workspace_use is not None
        and workspace_use.is_within_share(capacity)
        and snapshot.has_free_slot()
    ):
        return None
    if has_free_place:
        return "its workspace has more than its share of a full service"
    return "every backend server is full"


def _capacity_for(
    snapshot: LoadSnapshot,
    capacity: float,
    admission_request: AdmissionRequest,
) -> float:
    """Return how many requests the service may have if this one is let in."""
    fraction = (
        CALLER_RETRY_CAPACITY_FRACTION
        if admission_request.is_caller_retry
        else 1.0
    )
    fraction -= min(
        RESERVED_FRACTION_PER_PRIORITY
        * admission_request.more_urgent_priorities,
        _MAX_RESERVED_FRACTION,
    )
    if fraction == 1.0:
        return capacity
    return max(capacity * fraction, snapshot.slots * _MIN_SLOT_FRACTION)


#: Part of the longest time seen at which a request counts as one that
#: comes back: a first one loses no more than its way here.
_CALLER_RETRY_TIME_LEFT_FRACTION = 0.95
#: Part of what lies between the longest time and a new one by which the
#: longest comes down, so that shorter deadlines are learned in time.
_DECAY_FRACTION = 0.02


@final
class CallerRetryDetector:
    """Tells requests that were refused before by the time they have left.

    Callers count their time from their first attempt, and those of one
    route mostly start with the same.
    """

    def __init__(self) -> None:
        self._longest_time_left = datetime.timedelta()

    def is_caller_retry(self, time_left: datetime.timedelta | None) -> bool:
        """Tell whether a request has probably been refused before."""
        if time_left is None:
            return False
        if time_left >= self._longest_time_left:
            self._longest_time_left = time_left
            return False
        is_caller_retry = (
            time_left
            < self._longest_time_left * _CALLER_RETRY_TIME_LEFT_FRACTION
        )
        self._longest_time_left -= (
            self._longest_time_left - time_left
        ) * _DECAY_FRACTION
        return is_caller_retry
