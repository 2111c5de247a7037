# SPDX-License-Identifier: Apache-2.0
"""Whom edge processes tell their news, and when, by datagrams.

Datagrams carry what is stale at once: requests in progress, and how new
each process's knowledge is. A lost one is replaced by the next, and a
peer that is cut off holds nobody up. Whoever finds that a peer knows
more, while the store does not answer, asks that peer
(:mod:`lugcross.edge.state_transfer`).
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import datetime
from typing import cast
from typing import final

from absl import logging
import cbor2
import msgspec

from lugcross import clock as clock_lib
from lugcross.edge import messages

#: Shortest time between two datagrams to one peer; news in between wait
#: for the next. A small part of a stream's life.
_MIN_SEND_INTERVAL = datetime.timedelta(milliseconds=50)
#: The same to another failure domain, where bytes are priced and requests
#: mostly go to other servers: a tenth of a stream's life, in which few of
#: its requests have changed.
_OTHER_DOMAIN_SEND_INTERVAL = datetime.timedelta(milliseconds=200)
#: Silence after which a peer is not relied on to pass news on; it would
#: take a part of them with it.
_RELAY_TIMEOUT = datetime.timedelta(milliseconds=600)
#: Longest time between two datagrams to one peer.
_HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=500)
#: Silence after which a peer counts as lost; several heartbeats.
_LIVE_TIMEOUT = datetime.timedelta(seconds=2)
#: Silence after which a peer's address is forgotten.
_FORGET_TIMEOUT = datetime.timedelta(seconds=60)
#: Addresses passed on in one datagram; more than that go in later ones.
_MAX_ADDRESSES = 16


@final
@dataclasses.dataclass
class Peer:
    """What is known of one other process."""

    host: str
    port: int
    heartbeat: messages.Heartbeat | None = None
    heard_at: clock_lib.Instant | None = None
    added_at: clock_lib.Instant = datetime.timedelta()

    @property
    def domain(self) -> str | None:
        """Its failure domain; none while it is not known."""
        return None if self.heartbeat is None else self.heartbeat.domain


#: Fills in the sender's own part of a datagram.
HeartbeatFactory = Callable[[list[str]], messages.Heartbeat]


@final
class Peers(asyncio.DatagramProtocol):
    """Sends and takes datagrams; knows who is there.

    :param make_heartbeat: makes the datagram to send.
    :param on_heartbeat: called with each datagram of a peer.
    :param domain: failure domain of this process.
    """

    def __init__(
        self,
        make_heartbeat: HeartbeatFactory,
        on_heartbeat: Callable[[Peer], None],
        *,
        own_address: str,
        domain: str,
        clock: clock_lib.Clock,
    ) -> None:
        self._domain = domain
        self._urgent = False
        #: When each other domain was told last.
        self._other_domain_sent_at: dict[str, clock_lib.Instant] = {}
        self._other_domain_turn = 0
        self._make_heartbeat = make_heartbeat
        self._on_heartbeat = on_heartbeat
        self._own_address = own_address
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._peers: dict[str, Peer] = {}
        self._send_requested = asyncio.Event()
        self._sequence = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        # asyncio's own class is no subclass of the one that it documents.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a datagram; a malformed one is dropped."""
        try:
            got = messages.decode_datagram(data)
        except (cbor2.CBORDecodeError, msgspec.ValidationError) as exc:
            logging.warning(
                "bad datagram", extra={"peer": addr[0], "why": str(exc)}
            )
            return
        if isinstance(got, messages.RelayedHeartbeat):
            if got.origin != self._own_address:
                self._update(got.origin, got.heartbeat)
            return
        origin = f"{addr[0]}:{addr[1]}"
        self._update(origin, got)
        if got.relay:
            self._relay(messages.RelayedHeartbeat(origin, got))

    def _relay(self, relayed: messages.RelayedHeartbeat) -> None:
        """Tell the peers of this domain what one of another has sent."""
        data = messages.encode(relayed)
        for peer in self._peers.values():
            if peer.domain == self._domain:
                self._send_to(peer, data)

    def _update(self, origin: str, heartbeat: messages.Heartbeat) -> None:
        peer = self._add(origin)
        same = (
            peer.heartbeat
            and peer.heartbeat.incarnation == heartbeat.incarnation
        )
        if (
            same
            and peer.heartbeat
            and heartbeat.sequence < peer.heartbeat.sequence
        ):
            return
        if not same:
            logging.info(
                "peer",
                extra={"peer": heartbeat.node, "domain": heartbeat.domain},
            )
            self._send_requested.set()
        peer.heartbeat = heartbeat
        peer.heard_at = self._clock.monotonic()
        for address in heartbeat.known_addresses:
            self._add(address)
        self._on_heartbeat(peer)

    def error_received(self, exc: Exception) -> None:
        """Ignore what comes back of a datagram to a host that is gone."""
        logging.debug("datagram came back", extra={"why": str(exc)})

    def add(self, address: str) -> None:
        """Note an address where a peer may be."""
        self._add(address)

    def schedule_send(self, *, urgent: bool = False) -> None:
        """Note that there is news to tell soon.

        :param urgent: whether other failure domains must hear of it as
            soon as this one.
        """
        self._urgent = self._urgent or urgent
        self._send_requested.set()

    def count(self) -> int:
        """Return how many peers may exist, heard lately or not."""
        return len(self._peers)

    def live(self, within: datetime.timedelta = _LIVE_TIMEOUT) -> list[Peer]:
        """Return the peers that were heard lately."""
        now = self._clock.monotonic()
        return [
            peer
            for peer in self._peers.values()
            if peer.heard_at is not None and now - peer.heard_at < within
        ]

    async def run(self) -> None:
        """Tell all peers again and again until cancelled."""
        while True:
            try:
                async with asyncio.timeout(
                    _HEARTBEAT_INTERVAL.total_seconds()
                ):
                    await self._send_requested.wait()
            except TimeoutError:
                self._drop_silent()
            self._send_requested.clear()
            self.send_due()
            await asyncio.sleep(_MIN_SEND_INTERVAL.total_seconds())

    def send_now(self) -> None:
        """Tell all peers at once; used for the last words."""
        self._urgent = True
        self.send_due()

    def send_due(self) -> None:
        """Tell each peer that is to hear something now."""
        if self._transport is None:
            return
        names = list(self._peers)
        self._sequence += 1
        start = self._sequence % max(1, len(names))
        known = (names[start:] + names[:start])[:_MAX_ADDRESSES]
        told = self._make_heartbeat(known if self._sequence % 8 == 0 else [])
        heartbeat = msgspec.structs.replace(told, sequence=self._sequence)
        data = messages.encode(heartbeat)
        for peer in self._peers.values():
            if self._urgent or peer.domain in (None, self._domain):
                self._send_to(peer, data)
        self._urgent = False
        self._send_to_other_domains(
            msgspec.structs.replace(heartbeat, relay=True)
        )

    def _send_to_other_domains(self, heartbeat: messages.Heartbeat) -> None:
        """Tell one peer of each other domain that is due, by turns."""
        now = self._clock.monotonic()
        # Without a live peer in a domain any is told: who waits to be told
        # first would wait for ever after a cut.
        by_domain = self._by_other_domain(self._peers.values())
        by_domain.update(self._by_other_domain(self.live(_RELAY_TIMEOUT)))
        due = [domain for domain in by_domain if self._is_due(domain, now)]
        if not due:
            return
        data = messages.encode(heartbeat)
        for domain in due:
            self._other_domain_sent_at[domain] = now
            self._other_domain_turn += 1
            peers = by_domain[domain]
            self._send_to(peers[self._other_domain_turn % len(peers)], data)

    def _is_due(self, domain: str, now: clock_lib.Instant) -> bool:
        """Tell whether another domain is to hear from this process again."""
        last = self._other_domain_sent_at.get(domain)
        return last is None or now - last >= _OTHER_DOMAIN_SEND_INTERVAL

    def _by_other_domain(self, peers: Iterable[Peer]) -> dict[str, list[Peer]]:
        """Return the peers of other failure domains, by domain."""
        found: dict[str, list[Peer]] = {}
        for peer in peers:
            if peer.domain is not None and peer.domain != self._domain:
                found.setdefault(peer.domain, []).append(peer)
        return found

    def _send_to(self, peer: Peer, data: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(data, (peer.host, peer.port))

    def _add(self, address: str) -> Peer:
        found = self._peers.get(address)
        if found is not None:
            return found
        host, _, port = address.rpartition(":")
        peer = Peer(host, int(port), added_at=self._clock.monotonic())
        if address != self._own_address:
            self._peers[address] = peer
        return peer

    def _drop_silent(self) -> None:
        now = self._clock.monotonic()
        for address, peer in list(self._peers.items()):
            if now - (peer.heard_at or peer.added_at) > _FORGET_TIMEOUT:
                del self._peers[address]


def node_addresses(records: list[bytes]) -> list[str]:
    """Return the addresses in the records by which processes register."""
    found = []
    for record in records:
        text = record.decode("ascii", "replace")
        host, _, port = text.rpartition(":")
        if host and port.isdigit():
            found.append(text)
    return found
