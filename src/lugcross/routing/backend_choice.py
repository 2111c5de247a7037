# SPDX-License-Identifier: Apache-2.0
"""Selection of the backend server for one request.

Uses the power of two choices. Load reports are stale, so if every entry
host picked the server with the lowest reported load, they would all send
to the same one.
"""

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import random
from typing import final

from lugcross import ids

#: Penalty added to the load of servers in other failure domains, as a
#: fraction of a server's capacity.
OTHER_DOMAIN_PENALTY_FRACTION = 0.5


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A backend server with its last known load.

    :param usable: whether requests may be sent to it at all.
    :param reported_requests: requests queued and running there according
        to its last report.
    :param sent_since_report: requests this entry host has sent there since
        that report.
    :param capacity: requests that it runs at once.
    :param avoided: whether its health says to prefer other servers for now;
        it is used only if too few others are left.
    :param step_ms: duration of its engine's recent steps; 0 if unknown. The
        slowest rank of a group determines it, so it reveals a stalled rank.
    """

    name: ids.BackendName
    domain: ids.DomainName
    usable: bool
    reported_requests: int
    sent_since_report: int
    capacity: int
    avoided: bool = False
    step_ms: float = 0.0

    @property
    def load(self) -> float:
        """Known requests per slot."""
        return (self.reported_requests + self.sent_since_report) / max(
            1, self.capacity
        )


@final
@dataclasses.dataclass(frozen=True)
class BackendChoice:
    """The backend server chosen, and all candidates compared for it."""

    best: Candidate
    considered: tuple[Candidate, ...]


def choose_backend(
    candidates: Sequence[Candidate],
    *,
    own_domain: ids.DomainName,
    tried: Collection[ids.BackendName],
    rng: random.Random,
) -> BackendChoice | None:
    """Return the server to send a request to, or None if none is usable.

    :param own_domain: failure domain of this entry host; its servers are
        preferred.
    :param tried: backend servers that already refused this request.
    """
    usable = _without_avoided(
        [c for c in candidates if c.usable and c.name not in tried]
    )
    near = [c for c in usable if c.domain == own_domain]
    far = [c for c in usable if c.domain != own_domain]
    considered = _sample_two(near, rng) + _sample_two(far, rng)
    if not considered:
        return None
    steps = [c.step_ms for c in considered if c.step_ms]
    fastest = min(steps, default=0.0)
    best = min(considered, key=lambda c: _cost(c, own_domain, fastest))
    return BackendChoice(best, tuple(considered))


def _sample_two(
    candidates: Sequence[Candidate], rng: random.Random
) -> list[Candidate]:
    return rng.sample(candidates, min(2, len(candidates)))


def _without_avoided(usable: list[Candidate]) -> list[Candidate]:
    """Return the servers not avoided, or all if fewer than half remain.

    If most servers seem to fail, the cause is probably this host or common
    to all of them, and the remaining few would only be overloaded.
    """
    preferred = [c for c in usable if not c.avoided]
    return preferred if 2 * len(preferred) >= len(usable) else usable


def _cost(
    candidate: Candidate, own_domain: ids.DomainName, fastest: float
) -> float:
    known = candidate.step_ms and fastest
    slowdown = candidate.step_ms / fastest if known else 1.0
    remote = candidate.domain != own_domain
    # Add one so that a slow engine costs more even when it is idle.
    return (candidate.load + 1.0) * slowdown + (
        OTHER_DOMAIN_PENALTY_FRACTION if remote else 0.0
    )
