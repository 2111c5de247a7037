# SPDX-License-Identifier: Apache-2.0
"""Election of the leader, which is the process that may switch expert maps.

The candidate that started first is the leader. Each process computes this
from what it knows of its peers, without a call to them. While a process is
frozen or partitioned, processes may disagree and two may act as leader at
once; :mod:`lugcross.experts.switch` is safe with any number of leaders.
"""

from collections.abc import Iterable
import dataclasses
from typing import final


@final
@dataclasses.dataclass(frozen=True, order=True)
class Candidate:
    """A process that may be elected; the lowest in order is the leader.

    :param started_at_ms: when the process started, by its own wall clock, in
        milliseconds.
    :param incarnation: identifies the process since its start; breaks ties
        between processes that started in the same millisecond.
    """

    started_at_ms: int
    incarnation: str


def elect_leader(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the leader, or None if there are no candidates."""
    return min(candidates, default=None)
