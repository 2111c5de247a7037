# SPDX-License-Identifier: Apache-2.0
"""Which processes ask the store for news, and which hear it from them.

Every call is priced, and each change wakes every read that waits. A few
readers in each failure domain are enough: peers there tell each other how
new their knowledge is, and whoever is behind asks one that is ahead.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import heapq
from typing import final

#: Processes of a failure domain that ask the store where the fleet has few
#: domains: one that hangs unseen for a second must not keep its domain from
#: news, and there may be no other to hear them from.
READERS_PER_DOMAIN_COUNT = 2
#: Domains with which one process of each is enough: each change wakes every
#: read that waits, and any of the others tells a domain whose reader hangs.
_MANY_DOMAINS_COUNT = 3


@final
@dataclasses.dataclass(frozen=True)
class ReaderCandidate:
    """A process that could ask the store.

    :param store_answers: whether the store answered its last call.
    """

    incarnation: str
    store_answers: bool
    domain: str


def reads_store(
    candidate: ReaderCandidate, peers: Collection[ReaderCandidate]
) -> bool:
    """Tell whether a process asks the store itself.

    One whose calls fail goes on trying, so that it is seen when the store
    is back; others take its place meanwhile.

    :param peers: live processes of all failure domains.
    """
    return not candidate.store_answers or candidate in _selected_readers(
        [candidate, *peers]
    )


def reader_index(
    candidate: ReaderCandidate, peers: Collection[ReaderCandidate]
) -> int:
    """Return how many of those that ask go before a process.

    The first one asks every few seconds; reads of the others may wait long.
    """
    before = [
        one
        for one in _selected_readers([candidate, *peers])
        if one.incarnation < candidate.incarnation
    ]
    return len(before)


def _selected_readers(
    candidates: Iterable[ReaderCandidate],
) -> list[ReaderCandidate]:
    """Return who asks, of those that the store answers."""
    by_domain: dict[str, list[ReaderCandidate]] = {}
    for one in candidates:
        here = by_domain.setdefault(one.domain, [])
        if one.store_answers:
            here.append(one)
    count = (
        1
        if len(by_domain) >= _MANY_DOMAINS_COUNT
        else READERS_PER_DOMAIN_COUNT
    )
    return [
        one
        for here in by_domain.values()
        for one in heapq.nsmallest(count, here, key=_incarnation)
    ]


def _incarnation(one: ReaderCandidate) -> str:
    return one.incarnation
