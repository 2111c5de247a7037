# SPDX-License-Identifier: Apache-2.0
"""Selection of the processes that read the store; the others sync from peers.

Each call to the store has a price, and each change in the store ends every
long poll on it. A few readers in each failure domain are therefore enough.
Processes tell their peers how recent their state is, and a process that is
behind asks a peer that is ahead.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import heapq
from typing import final

#: Readers in each failure domain of a fleet with few domains. More than one,
#: since a reader may hang for a second before its peers notice, and there may
#: be no other domain to sync from.
READERS_PER_DOMAIN_COUNT = 2
#: With at least this many domains, one reader in each is enough: if it hangs,
#: its domain syncs from the readers of the others.
_MANY_DOMAINS_COUNT = 3


@final
@dataclasses.dataclass(frozen=True)
class ReaderCandidate:
    """A process that could read the store.

    :param incarnation: identifies the process since its start; those with the
        lowest are selected.
    :param store_answers: whether the store answered the process's last call.
    :param domain: failure domain of the process.
    """

    incarnation: str
    store_answers: bool
    domain: str


def reads_store(
    candidate: ReaderCandidate, peers: Collection[ReaderCandidate]
) -> bool:
    """Tell whether a process reads the store itself.

    A process whose calls fail continues to read, so that it notices when the
    store is back; others are selected in its place meanwhile.

    :param peers: the other live processes of all failure domains.
    """
    return not candidate.store_answers or candidate in _selected_readers(
        [candidate, *peers]
    )


def reader_index(
    candidate: ReaderCandidate, peers: Collection[ReaderCandidate]
) -> int:
    """Return how many selected readers come before a process.

    The first reader polls the store every few seconds; the long polls of the
    others may last longer.

    :param peers: the other live processes of all failure domains.
    """
    earlier_readers = [
        reader
        for reader in _selected_readers([candidate, *peers])
        if reader.incarnation < candidate.incarnation
    ]
    return len(earlier_readers)


def _selected_readers(
    candidates: Iterable[ReaderCandidate],
) -> list[ReaderCandidate]:
    """Return the readers; only processes that the store answers are chosen."""
    by_domain: dict[str, list[ReaderCandidate]] = {}
    for candidate in candidates:
        in_domain = by_domain.setdefault(candidate.domain, [])
        if candidate.store_answers:
            in_domain.append(candidate)
    count = (
        1
        if len(by_domain) >= _MANY_DOMAINS_COUNT
        else READERS_PER_DOMAIN_COUNT
    )
    return [
        reader
        for in_domain in by_domain.values()
        for reader in heapq.nsmallest(count, in_domain, key=_incarnation)
    ]


def _incarnation(candidate: ReaderCandidate) -> str:
    return candidate.incarnation
