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
REMOTE_COST = 0.5


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """What is known of one backend server.

    :param busy: requests queued and running there when it last told.
    :param sent: requests sent there since.
    :param ejected: it failed lately; used only if too few are left.
    :param step_ms: time of its engine's last steps; 0 if not known. The
        slowest rank of a group decides it, so a stalled rank shows.
    """

    name: ids.BackendName
    domain: ids.DomainName
    usable: bool
    busy: int
    sent: int
    capacity: int
    ejected: bool = False
    step_ms: float = 0.0

    @property
    def load(self) -> float:
        """Requests per slot, as far as known."""
        return (self.busy + self.sent) / max(1, self.capacity)


@final
@dataclasses.dataclass(frozen=True)
class Choice:
    """The backend server chosen, and the others that were looked at."""

    best: Candidate
    looked_at: tuple[Candidate, ...]


def choose(
    candidates: Sequence[Candidate],
    *,
    home: ids.DomainName,
    tried: Collection[ids.BackendName],
    rng: random.Random,
) -> Choice | None:
    """Choose where to send a request; none if no place is usable.

    :param home: failure domain of this entry host; preferred.
    :param tried: backend servers that refused this request before.
    """
    usable = _healthy(
        [c for c in candidates if c.usable and c.name not in tried]
    )
    near = [c for c in usable if c.domain == home]
    far = [c for c in usable if c.domain != home]
    looked_at = _two_of(near, rng) + _two_of(far, rng)
    if not looked_at:
        return None
    steps = [c.step_ms for c in looked_at if c.step_ms]
    fastest = min(steps, default=0.0)
    best = min(looked_at, key=lambda c: _cost(c, home, fastest))
    return Choice(best, tuple(looked_at))


def _two_of(
    candidates: Sequence[Candidate], rng: random.Random
) -> list[Candidate]:
    return rng.sample(candidates, min(2, len(candidates)))


def _healthy(usable: list[Candidate]) -> list[Candidate]:
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
    return (candidate.load + 1.0) * pace + (REMOTE_COST if remote else 0.0)
