# SPDX-License-Identifier: Apache-2.0
"""Which processes ask the store for news, and which hear it from them.

Every call is priced, and each change wakes every read that waits. A few
readers in each failure domain are enough: peers there tell each other how
new their knowledge is, and whoever is behind asks one that is ahead.
"""

from collections.abc import Iterable
import dataclasses
from typing import final

#: Processes of a failure domain that ask the store: one that hangs unseen
#: for a second must not keep its domain from news.
READERS = 2


@final
@dataclasses.dataclass(frozen=True)
class Reader:
    """A process that could ask the store.

    :param works: whether the store answered its last call.
    """

    incarnation: str
    works: bool


def asks(own: Reader, peers: Iterable[Reader]) -> bool:
    """Tell whether a process asks the store itself.

    One whose calls fail goes on trying, so that it is seen when the store
    is back; others take its place meanwhile.

    :param peers: live processes of the same failure domain.
    """
    if not own.works:
        return True
    working = sorted(one.incarnation for one in peers if one.works)
    before = [one for one in working if one < own.incarnation]
    return len(before) < READERS
