# SPDX-License-Identifier: Apache-2.0
"""Selection of the backend server for one request; no I/O.

Edge processes report their requests in progress to each other, so each of
them can choose the least loaded server. To keep all of them from choosing the
same one, ties are broken at random and a process counts its own requests
immediately.
"""

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import random
from typing import final

from lugcross import desired
from lugcross import ids

#: Penalty added to the load of servers in other failure domains, as a
#: fraction of their slots. It accounts for the traffic and a few ms of
#: latency.
OTHER_DOMAIN_PENALTY_FRACTION = 0.17


@final
@dataclasses.dataclass(kw_only=True, slots=True)
class Candidate:
    """A backend server as seen by this process.

    :param requests: estimated number of requests in progress.
    :param avoided: whether requests should go to other servers for now.
    :param on_probation: whether it is avoided, or was and has not answered a
        request since.
    :param probing_after_backoff: whether the probe after a backoff is still
        in progress.
    """

    backend: desired.Backend
    requests: int
    avoided: bool = False
    on_probation: bool = False
    probing_after_backoff: bool = False

    @property
    def load(self) -> float:
        """Requests per slot."""
        return self.requests / self.backend.slots


@final
@dataclasses.dataclass(frozen=True)
class BackendChoice:
    """The best candidate, and the requests on the least busy one.

    :param least_busy_requests: lowest number of requests of any candidate,
        including those already tried.
    """

    best: Candidate
    least_busy_requests: int


def choose_backend(
    candidates: Sequence[Candidate],
    *,
    own_domain: ids.DomainName,
    tried: Collection[desired.BackendKey],
    rng: random.Random,
) -> BackendChoice | None:
    """Return the best candidate, or None if there is none.

    There is none if each was tried already or is being probed after a backoff.
    Avoided servers are used only if there are no others. A request that was
    already sent to one server is not used to probe another, unless only
    servers on probation are left.

    :param own_domain: failure domain of this process; its servers are
        preferred.
    :param tried: servers that this request was already sent to.
    """
    untried = [
        c
        for c in candidates
        if c.backend.key not in tried and not c.probing_after_backoff
    ]
    preferred = [c for c in untried if not c.avoided]
    pool = preferred or untried
    if tried:
        pool = [c for c in pool if not c.on_probation] or pool
    if not pool:
        return None
    best = min(
        pool,
        key=lambda c: (
            c.load
            + (
                0.0
                if c.backend.domain == own_domain
                else OTHER_DOMAIN_PENALTY_FRACTION
            ),
            rng.random(),
        ),
    )
    return BackendChoice(best, min(c.requests for c in candidates))
