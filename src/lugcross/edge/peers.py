# SPDX-License-Identifier: Apache-2.0
"""Heartbeats between edge processes, sent as UDP datagrams.

A heartbeat carries values that are soon outdated: the sender's requests in
progress and the versions of the state that it has. A lost heartbeat is
replaced by the next, and an unreachable peer delays nobody. A process that
learns from a heartbeat that it is behind may request the newer state from the
peer (:mod:`lugcross.edge.state_transfer`).

Within a failure domain each process sends to every other. Of each other
domain it sends to one process, which relays the heartbeat there, except that
urgent heartbeats go to all processes directly.
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

#: Shortest time between two heartbeats; changes in between go with the next.
#: It is short compared with the duration of a streamed response.
_MIN_SEND_INTERVAL = datetime.timedelta(milliseconds=50)
#: The same to one other failure domain: traffic between domains is billed, and
#: their requests mostly run on other backend servers. It is a tenth of the
#: duration of a stream, in which few of its requests have changed.
_OTHER_DOMAIN_SEND_INTERVAL = datetime.timedelta(milliseconds=200)
#: Silence after which a peer is not used as a relay, if its domain has
#: another: heartbeats sent to a dead relay are lost for its whole domain.
_RELAY_TIMEOUT = datetime.timedelta(milliseconds=600)
#: Longest time between two heartbeats.
_HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=500)
#: Silence after which a peer is no longer live: several heartbeats.
_LIVE_TIMEOUT = datetime.timedelta(seconds=2)
#: Silence after which a peer's address is forgotten.
_FORGET_TIMEOUT = datetime.timedelta(seconds=60)
#: Peers' addresses in one heartbeat; the others go in later ones.
_MAX_ADDRESSES = 16
#: One in so many heartbeats carries addresses.
_ADDRESSES_PERIOD_COUNT = 8
#: Time between two searches for peers to forget.
_FORGET_INTERVAL = datetime.timedelta(seconds=1)
#: Peers that are known at most: several times as many as a fleet has, since
#: anyone may send datagrams.
_MAX_PEERS = 2_048
#: Sum of the datagrams that may be stored, one for each peer.
_MAX_STORED_BYTES = 8_000_000
_MAX_PORT = 65_535


@final
@dataclasses.dataclass
class Peer:
    """A peer, or an address at which there may be one.

    :ivar host: its address, with ``port``.
    :ivar heartbeat: newest heartbeat; none before the first.
    :ivar heard_at: when that arrived.
    :ivar added_at: when this process learned of the address.
    :ivar heartbeat_bytes: size of the datagram of its last heartbeat.
    """

    host: str
    port: int
    heartbeat: messages.Heartbeat | None = None
    heard_at: clock_lib.Instant | None = None
    added_at: clock_lib.Instant = datetime.timedelta()
    heartbeat_bytes: int = 0

    @property
    def address(self) -> str:
        """Its address, ``HOST:PORT``."""
        return f"{self.host}:{self.port}"

    @property
    def domain(self) -> str | None:
        """Its failure domain; none before its first heartbeat."""
        return None if self.heartbeat is None else self.heartbeat.domain


#: Makes this process's heartbeat, with the given addresses of peers.
HeartbeatFactory = Callable[[list[str]], messages.Heartbeat]


@final
class Peers(asyncio.DatagramProtocol):
    """Sends and receives heartbeats, and keeps track of the peers.

    :param make_heartbeat: makes the heartbeat to send; the sequence number
        and the relay flag are filled in here.
    :param on_heartbeat: called with the peer after each of its heartbeats.
    :param own_address: address of this process as peers see it,
        ``HOST:PORT``.
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
        #: When this process last sent to each other domain.
        self._other_domain_sent_at: dict[str, clock_lib.Instant] = {}
        self._other_domain_turn = 0
        self._make_heartbeat = make_heartbeat
        self._on_heartbeat = on_heartbeat
        self._own_address = own_address
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._peers: dict[str, Peer] = {}
        #: Sum of the datagrams of the peers' last heartbeats.
        self._heartbeat_bytes = 0
        self._next_forget_at = clock.monotonic()
        self._send_requested = asyncio.Event()
        self._sequence = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to send over ``transport``; called by asyncio."""
        # asyncio's actual transport class is not a DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram, or drop it if malformed; called by asyncio."""
        try:
            message = messages.decode_datagram(data)
        except (cbor2.CBORDecodeError, msgspec.ValidationError) as exc:
            logging.warning(
                "malformed heartbeat", extra={"peer": addr[0], "why": str(exc)}
            )
            return
        if isinstance(message, messages.RelayedHeartbeat):
            if message.origin != self._own_address:
                self._update(message.origin, message.heartbeat, len(data))
            return
        origin = f"{addr[0]}:{addr[1]}"
        self._update(origin, message, len(data))
        if message.relay:
            self._relay(messages.RelayedHeartbeat(origin, message))

    def _relay(self, relayed: messages.RelayedHeartbeat) -> None:
        """Send a heartbeat of another domain to the peers of this one."""
        data = messages.encode(relayed)
        for peer in self._peers.values():
            if peer.domain == self._domain:
                self._send_to(peer, data)

    def _update(
        self, origin: str, heartbeat: messages.Heartbeat, size: int
    ) -> None:
        """Handle a heartbeat, unless there is no room for it.

        :param size: size of its datagram.
        """
        peer = self._add_if_valid(origin)
        if peer is None:
            return
        change = size - peer.heartbeat_bytes
        if change > 0 and self._heartbeat_bytes + change > _MAX_STORED_BYTES:
            return
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
                "new peer",
                extra={"peer": heartbeat.node, "domain": heartbeat.domain},
            )
            self._send_requested.set()
        peer.heartbeat = heartbeat
        peer.heard_at = self._clock.monotonic()
        if peer.address in self._peers:
            self._heartbeat_bytes += change
            peer.heartbeat_bytes = size
        for address in heartbeat.known_addresses[:_MAX_ADDRESSES]:
            self._add_if_valid(address)
        self._on_heartbeat(peer)

    def error_received(self, exc: Exception) -> None:
        """Ignore an ICMP error, as from a host that is gone."""
        logging.debug("heartbeat not delivered", extra={"why": str(exc)})

    def add(self, address: str) -> None:
        """Add an address, ``HOST:PORT``, at which there may be a peer."""
        self._add(address)

    def schedule_send(self, *, urgent: bool = False) -> None:
        """Request a heartbeat as soon as the minimum interval allows.

        :param urgent: whether to send it to all processes of other failure
            domains too, without a relay.
        """
        self._urgent = self._urgent or urgent
        self._send_requested.set()

    def count(self) -> int:
        """Return how many addresses of peers are known, live or not."""
        return len(self._peers)

    def staying_addresses(self) -> list[str]:
        """Return the known addresses of peers that are not shutting down."""
        return [
            address
            for address, peer in self._peers.items()
            if peer.heartbeat is None or not peer.heartbeat.leaving
        ]

    def live(self, within: datetime.timedelta = _LIVE_TIMEOUT) -> list[Peer]:
        """Return the peers that sent a heartbeat within a time."""
        now = self._clock.monotonic()
        return [
            peer
            for peer in self._peers.values()
            if peer.heard_at is not None and now - peer.heard_at < within
        ]

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            try:
                async with asyncio.timeout(
                    _HEARTBEAT_INTERVAL.total_seconds()
                ):
                    await self._send_requested.wait()
            except TimeoutError:
                pass
            self.forget_silent()
            self._send_requested.clear()
            self.send_due()
            await asyncio.sleep(_MIN_SEND_INTERVAL.total_seconds())

    def send_now(self) -> None:
        """Send a heartbeat to all peers at once, as at shutdown."""
        self._urgent = True
        self.send_due()

    def send_due(self) -> None:
        """Send a heartbeat to each peer that is due for one."""
        if self._transport is None:
            return
        addresses = list(self._peers)
        self._sequence += 1
        start = self._sequence % max(1, len(addresses))
        known = (addresses[start:] + addresses[:start])[:_MAX_ADDRESSES]
        heartbeat = self._make_heartbeat(
            known if self._sequence % _ADDRESSES_PERIOD_COUNT == 0 else []
        )
        heartbeat = msgspec.structs.replace(heartbeat, sequence=self._sequence)
        data = messages.encode(heartbeat)
        for peer in self._peers.values():
            if self._urgent or peer.domain in (None, self._domain):
                self._send_to(peer, data)
        self._urgent = False
        self._send_to_other_domains(
            msgspec.structs.replace(heartbeat, relay=True)
        )

    def _send_to_other_domains(self, heartbeat: messages.Heartbeat) -> None:
        """Send to one peer of each other domain that is due, in turn."""
        now = self._clock.monotonic()
        # In a domain without a live peer any peer will do: if both domains
        # waited to hear first, they would stay apart after a partition.
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
        """Return whether it is time to send to another domain again."""
        last = self._other_domain_sent_at.get(domain)
        return last is None or now - last >= _OTHER_DOMAIN_SEND_INTERVAL

    def _by_other_domain(self, peers: Iterable[Peer]) -> dict[str, list[Peer]]:
        """Return the peers in other failure domains, by domain."""
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

    def _add_if_valid(self, address: str) -> Peer | None:
        """Return the peer of an address that a datagram names.

        :returns: None if it is no address, or if too many peers are known.
        """
        known = self._peers.get(address)
        if known is not None:
            return known
        host, _, port = address.rpartition(":")
        is_address = host and port.isascii() and port.isdigit()
        if not is_address or int(port[:6]) > _MAX_PORT:
            return None
        if len(self._peers) >= _MAX_PEERS:
            return None
        return self._add(address)

    def forget_silent(self) -> None:
        """Forget the peers that have been silent for long."""
        now = self._clock.monotonic()
        if now < self._next_forget_at:
            return
        self._next_forget_at = now + _FORGET_INTERVAL
        for address, peer in list(self._peers.items()):
            if now - (peer.heard_at or peer.added_at) > _FORGET_TIMEOUT:
                self._heartbeat_bytes -= peer.heartbeat_bytes
                del self._peers[address]


def node_addresses(records: list[bytes]) -> list[str]:
    """Return the addresses in registration records.

    :param records: values of the store's topic of edge processes, each
        ``HOST:PORT`` in ASCII; others are skipped.
    """
    found = []
    for record in records:
        text = record.decode("ascii", "replace")
        host, _, port = text.rpartition(":")
        if host and port.isdigit():
            found.append(text)
    return found
