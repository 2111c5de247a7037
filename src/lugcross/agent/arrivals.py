# SPDX-License-Identifier: Apache-2.0
"""Which dispatches arrived on which link: the proof behind "not run"."""

from typing import final

from lugcross.agent import exchange as exchange_lib
from lugcross import ids

#: Links remembered; of older ones nothing can be proved any more.
MAX_LINKS = 10_000


@final
class Arrivals:
    """Highest stream id of a dispatch on each link.

    A link delivers in order, so a dispatch with a higher id than any
    that arrived has not arrived. Ids of one link may be posted out of
    order; then a dispatch that did not arrive is taken for one that
    did, which is the safe side.
    """

    def __init__(self, *, max_links: int = MAX_LINKS) -> None:
        self._highest: dict[exchange_lib.LinkId, ids.StreamId] = {}
        self._barred: dict[exchange_lib.LinkId, None] = {}
        self._max_links = max_links

    def note(self, link: exchange_lib.LinkId, id: ids.StreamId) -> None:
        """Record that a dispatch arrived."""
        self._highest[link] = max(id, self._highest.get(link, id))
        while len(self._highest) > self._max_links:
            del self._highest[next(iter(self._highest))]

    def certainly_not(
        self, link: exchange_lib.LinkId, id: ids.StreamId
    ) -> bool:
        """Tell whether a dispatch has not arrived and never will.

        Its link is barred: a frame that still sits in the buffer of a
        dead link must not make the answer false.
        """
        highest = self._highest.get(link)
        if highest is None or id <= highest:
            return False
        self._barred[link] = None
        while len(self._barred) > self._max_links:
            del self._barred[next(iter(self._barred))]
        return True

    def barred(self, link: exchange_lib.LinkId) -> bool:
        """Tell whether nothing may be taken from a link any more."""
        return link in self._barred

    def open(self, link: exchange_lib.LinkId) -> None:
        """Record a link before anything arrives on it."""
        self.note(link, ids.StreamId(0))
