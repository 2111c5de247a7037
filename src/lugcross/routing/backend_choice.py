# SPDX-License-Identifier: Apache-2.0
"""Choice of the backend server for one request.

Power of two choices, because the load that is known is old: always
taking the least known load would send every entry host to one place.
"""

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import random
from typing import final

from lugcross import ids

#: Load that a request to another failure domain must save to be worth
#: its way, as a part of a backend server's capacity.
OTHER_DOMAIN_COST_RATIO = 0.5


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """What is known of one backend server.

    :param reported_requests: requests queued and running there when it
        last told.
    :param sent_since_report: requests sent there since.
    :param ejected: it failed lately; used only if too few are left.
    :param step_ms: time of its engine's last steps; 0 if not known. The
        slowest rank of a group decides it, so a stalled rank shows.
    """

    name: ids.BackendName
    domain: ids.DomainName
    usable: bool
    reported_requests: int
    sent_since_report: int
    capacity: int
    ejected: bool = False
    step_ms: float = 0.0

    @property
    def load(self) -> float:
        """Requests per slot, as far as known."""
        return (self.reported_requests + self.sent_since_report) / max(
            1, self.capacity
        )


@final
@dataclasses.dataclass(frozen=True)
class BackendChoice:
    """The backend server chosen, and the others that were looked at."""

    best: Candidate
    considered: tuple[Candidate, ...]


def choose_backend(
    candidates: Sequence[Candidate],
    *,
    home: ids.DomainName,
    tried: Collection[ids.BackendName],
    rng: random.Random,
) -> BackendChoice | None:
    """Choose where to send a request; none if no place is usable.

    :param home: failure domain of this entry host; preferred.
    :param tried: backend servers that refused this request before.
    """
    usable = _without_ejected(
        [c for c in candidates if c.usable and c.name not in tried]
    )
    near = [c for c in usable if c.domain == home]
    far = [c for c in usable if c.domain != home]
    considered = _sample_two(near, rng) + _sample_two(far, rng)
    if not considered:
        return None
    steps = [c.step_ms for c in considered if c.step_ms]
    fastest = min(steps, default=0.0)
    best = min(considered, key=lambda c: _cost(c, home, fastest))
    return BackendChoice(best, tuple(considered))


def _sample_two(
    candidates: Sequence[Candidate], rng: random.Random
) -> list[Candidate]:
    return rng.sample(candidates, min(2, len(candidates)))


def _without_ejected(usable: list[Candidate]) -> list[Candidate]:
    """Leave out ejected ones, unless that would leave under half.

    When most seem to fail the fault is likely here or common to all,
    and the rest would only be overrun.
    """
    healthy = [c for c in usable if not c.ejected]
    return healthy if 2 * len(healthy) >= len(usable) else usable


def _cost(candidate: Candidate, home: ids.DomainName, fastest: float) -> float:
    known = candidate.step_ms and fastest
    pace = candidate.step_ms / fastest if known else 1.0
    remote = candidate.domain != home
    # One more than is there: an idle slow engine is still slow.
    return (candidate.load + 1.0) * pace + (
        OTHER_DOMAIN_COST_RATIO if remote else 0.0
    )
