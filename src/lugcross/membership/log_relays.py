# SPDX-License-Identifier: Apache-2.0
"""Entry hosts that read the log on behalf of their failure domain."""

from collections.abc import Hashable
from collections.abc import Iterable
from typing import final

from lugcross import ids
from lugcross import routing
from lugcross import wire

#: Two, so that the log is still relayed if one of them hangs.
RELAYS_PER_DOMAIN = 2


@final
class LiveEntryHosts:
    """Entry hosts that are alive, as seen by the agents they have links to.

    An agent notices the loss of an entry host as soon as its link breaks,
    long before the platform's host list shows it.

    :param node: this entry host, which always counts as alive.
    :param domain: its failure domain.
    """

    def __init__(self, node: ids.NodeName, domain: ids.DomainName) -> None:
        self._node = node
        self._domain = domain
        self._seen: dict[Hashable, tuple[wire.LinkedEntry, ...]] = {}

    def update_seen(
        self, link: Hashable, seen: Iterable[wire.LinkedEntry]
    ) -> None:
        """Replace what the agent at the other end of ``link`` sees."""
        self._seen[link] = tuple(seen)

    def on_link_lost(self, link: Hashable) -> None:
        """Drop what the agent at the other end of ``link`` reported."""
        self._seen.pop(link, None)

    def live_in_domain(self) -> frozenset[ids.NodeName]:
        """Return the live entry hosts of this host's failure domain."""
        near = (host for host in self.all() if host.domain == self._domain)
        return frozenset((self._node, *(host.node for host in near)))

    def all(self) -> list[wire.LinkedEntry]:
        """Return all live entry hosts, by name.

        Of several reports of a host, the one with the newest configuration
        offset is returned.
        """
        newest: dict[ids.NodeName, wire.LinkedEntry] = {}
        for seen in self._seen.values():
            for host in seen:
                known = newest.get(host.node)
                if known is None or known.offset < host.offset:
                    newest[host.node] = host
        return [newest[name] for name in sorted(newest)]

    def is_log_relay(self) -> bool:
        """Return whether this entry host is a relay of its domain."""
        order = routing.rendezvous_order(
            f"relay\0{self._domain}", self.live_in_domain()
        )
        return self._node in order[:RELAYS_PER_DOMAIN]
