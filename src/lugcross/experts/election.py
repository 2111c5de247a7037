# SPDX-License-Identifier: Apache-2.0
"""Which process looks after expert maps: the one that runs longest.

All processes see the same few facts of each other, so that they mostly
agree without a call. Where they don't, because one was frozen or cut off,
two may act at once for a while; :mod:`lugcross.experts.switch` is safe
with any number of them.
"""

from collections.abc import Iterable
import dataclasses
from typing import final


@final
@dataclasses.dataclass(frozen=True, order=True)
class Candidate:
    """A process that could look after expert maps.

    :param started_at_ms: when it started, by its own time of day; processes
        that started later leave the leadership to earlier ones.
    :param incarnation: decides between two that started together.
    """

    started_at_ms: int
    incarnation: str


def elect_leader(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the leader; none if there is no candidate."""
    return min(candidates, default=None)
