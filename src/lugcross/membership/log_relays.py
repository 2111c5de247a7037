# SPDX-License-Identifier: Apache-2.0
"""Which entry hosts of a failure domain read the log for the others."""

from collections.abc import Hashable
from collections.abc import Iterable
from typing import final

from lugcross import ids
from lugcross import routing
from lugcross import wire

#: Relays of one failure domain; two, so that one may be frozen.
RELAYS_PER_DOMAIN = 2


@final
class SeenEntryHosts:
    """Entry hosts of the own failure domain that have links to agents.

    Agents see a dead entry host at once by its links, long before the
    platform's list does.

    :param node: this entry host; always there.
    """

    def __init__(self, node: ids.NodeName, domain: ids.DomainName) -> None:
        self._node = node
        self._domain = domain
        self._seen: dict[Hashable, tuple[wire.Seen, ...]] = {}

    def update_seen(self, link: Hashable, seen: Iterable[wire.Seen]) -> None:
        """Take what the agent behind a link sees."""
        self._seen[link] = tuple(seen)

    def on_link_lost(self, link: Hashable) -> None:
        """Forget what was told on a link."""
        self._seen.pop(link, None)

    def live_in_domain(self) -> frozenset[ids.NodeName]:
        """Return all entry hosts of the domain that are seen."""
        near = (one for one in self.all() if one.domain == self._domain)
        return frozenset((self._node, *(one.node for one in near)))

    def all(self) -> list[wire.Seen]:
        """Return all entry hosts that are seen, with what they have."""
        newest: dict[ids.NodeName, wire.Seen] = {}
        for seen in self._seen.values():
            for one in seen:
                known = newest.get(one.node)
                if known is None or known.offset < one.offset:
                    newest[one.node] = one
        return [newest[name] for name in sorted(newest)]

    def is_log_relay(self) -> bool:
        """Tell whether this entry host reads the log for the others."""
        order = routing.rendezvous_order(
            f"relay\0{self._domain}", self.live_in_domain()
        )
        return self._node in order[:RELAYS_PER_DOMAIN]
