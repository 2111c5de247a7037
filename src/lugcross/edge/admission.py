# SPDX-License-Identifier: Apache-2.0
"""Admission control: whether a request is sent now or refused."""

from collections.abc import Callable
import dataclasses
import datetime
from typing import final

from lugcross import shares

#: Requests per slot at which a service without engines is full. Its requests
#: are short, so a short queue is served in time.
MAX_REQUESTS_PER_PLAIN_SLOT = 3.0
#: Fraction of the capacity that is open to callers' retries.
CALLER_RETRY_CAPACITY_FRACTION = 0.8
#: Fraction of the slots that is open to every request.
_MIN_SLOT_FRACTION = 0.5


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadSnapshot:
    """Load of a service, as one process estimates it.

    :param servers: number of eligible backend servers; a cold one counts in
        part.
    :param slots: slots of all eligible servers.
    :param requests: requests in progress at all eligible servers.
    :param least_busy_requests: requests at the least busy server that was
        compared for the request.
    :param unreported_requests: estimate of the requests that peers have sent
        since their last heartbeat.
    """

    servers: float
    slots: int
    requests: int
    least_busy_requests: int
    unreported_requests: float

    def load_fraction(self, max_per_server: float) -> float:
        """Return the load as a fraction of the capacity.

        :param max_per_server: requests that one server may have at once.
        """
        capacity = max_per_server * self.servers
        if not capacity:
            return 1.0
        return (self.requests + self.unreported_requests) / capacity

    def has_free_slot(self) -> bool:
        """Return whether a slot is free in total and at the least busy server.

        Unreported requests are left out. If they have taken the slot, the
        request waits at its server for the next one, which takes a fraction
        of a second.
        """
        has_free_total = self.requests < self.slots
        return (
            has_free_total
            and self.least_busy_requests * self.servers < self.slots
        )


def _whole_capacity(load_fraction: float) -> float:
    del load_fraction
    return 1.0


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmissionRequest:
    """What admission looks at in a request.

    :param workspace_quota: quota of its workspace; None if its route
        needs no API key.
    :param is_caller_retry: whether the caller retries a refused request.
    :param capacity_fraction: returns the part of the capacity that is open to
        requests of its urgency, given the load as a fraction of the capacity.
    """

    workspace_quota: shares.WorkspaceQuota | None = None
    is_caller_retry: bool = False
    capacity_fraction: Callable[[float], float] = _whole_capacity


def refusal_reason(
    snapshot: LoadSnapshot,
    max_per_server: float,
    admission_request: AdmissionRequest,
) -> str | None:
    """Return why a request is refused for now, or None if it is admitted.

    Under lasting overload some requests must be refused. A caller's retry has
    little time left, so a slot is worth less to it than to a new request,
    which would become late in turn. Part of the capacity is therefore closed
    to callers' retries, and another part to less urgent requests.

    A service is full when its servers have ``max_per_server`` requests each,
    which may be fewer than their slots. When it is nearly full, a workspace
    that exceeds its share is refused first
    (:mod:`lugcross.shares.dynamic_limit`). A workspace below its share is
    admitted even to a full service while there are free slots: the streams
    of the workspaces that exceed their shares end within seconds, and passes
    take slightly longer until then. Its share leaves out what is reserved for
    more urgent requests; otherwise urgency would make no difference where all
    workspaces are within their shares.

    Unreported requests of peers are estimated, see
    :mod:`lugcross.edge.unreported_requests`.

    :param max_per_server: requests that one server may have at once.
    """
    workspace_quota = admission_request.workspace_quota
    capacity = max_per_server * snapshot.servers
    open_fraction = admission_request.capacity_fraction(
        snapshot.load_fraction(max_per_server)
    )
    free = (
        _capacity_for(snapshot, capacity, open_fraction, admission_request)
        - snapshot.requests
        - snapshot.unreported_requests
    )
    has_capacity = free >= 1.0 and snapshot.least_busy_requests < max(
        max_per_server, 1.0
    )
    if has_capacity and (
        workspace_quota is None or workspace_quota.may_take_slot(free)
    ):
        return None
    if (
        workspace_quota is not None
        and workspace_quota.is_within_share(capacity * open_fraction)
        and snapshot.has_free_slot()
    ):
        return None
    if has_capacity:
        return "the workspace exceeds its fair share of a full service"
    return "every backend server is full"


def _capacity_for(
    snapshot: LoadSnapshot,
    capacity: float,
    open_fraction: float,
    admission_request: AdmissionRequest,
) -> float:
    """Return how many requests of this kind the service may have at once.

    :param open_fraction: part of the capacity that is open to its urgency.
    """
    fraction = open_fraction * (
        CALLER_RETRY_CAPACITY_FRACTION
        if admission_request.is_caller_retry
        else 1.0
    )
    if fraction == 1.0:
        return capacity
    return max(capacity * fraction, snapshot.slots * _MIN_SLOT_FRACTION)


#: A request with less than this fraction of the longest time left counts as
#: a retry. First attempts lose only their network latency.
_CALLER_RETRY_TIME_LEFT_FRACTION = 0.95
#: Fraction by which the longest time left approaches a shorter one at each
#: request, so that the detector follows callers that shorten their timeouts.
_DECAY_FRACTION = 0.02


@final
class CallerRetryDetector:
    """Detects callers' retries on one route by the time that they have left.

    A caller's deadline counts from its first attempt, and most callers of a
    route start with the same timeout.
    """

    def __init__(self) -> None:
        self._longest_time_left = datetime.timedelta()

    def is_caller_retry(self, time_left: datetime.timedelta | None) -> bool:
        """Record a request; return whether it is probably a caller's retry."""
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
