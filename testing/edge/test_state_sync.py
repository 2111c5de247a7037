# SPDX-License-Identifier: Apache-2.0
"""Where knowledge comes from when the store answers, is away or lies."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime

import cbor2
import edge_rig
import fleet_rig
import msgspec
import pytest

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import backend_loads as backend_loads_lib
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import messages
from lugcross.edge import peers as peers_lib
from lugcross.edge import settings as settings_lib
from lugcross.edge import state_sync as state_sync_lib
from lugcross.edge import topic_follower
from lugcross import ids
from lugcross import platform
from lugcross.standin import store as standin

HOST = edge_rig.HOST


BACKEND = edge_rig.backend_entry("s", "10.0.0.1:80")


class _Node:
    """One process's knowledge, without callers."""

    def __init__(self, name: str, store: str, seeds: tuple[str, ...]) -> None:
        port = edge_rig.reserve_port()
        self.state = f"{HOST}:{port}"
        settings = settings_lib.Settings(
            node=name,
            domain="d1",
            listen=settings_lib.Listen(
                callers=f"{HOST}:0",
                ready=f"{HOST}:0",
                state=self.state,
                peers=self.state,
            ),
            store=settings_lib.Store(address=store, form="log"),
            bounds=edge_rig.BOUNDS,
            seeds=seeds,
        )
        clock = clock_lib.SystemClock()
        self.edge_state = edge_state_lib.EdgeState(
            settings, clock=clock, rng=edge_rig.new_rng()
        )
        self.client = platform.StoreClient(
            store, timeout=datetime.timedelta(seconds=30)
        )
        self.state_sync = state_sync_lib.StateSync(
            settings,
            self.edge_state,
            self.client,
            clock=clock,
            rng=edge_rig.new_rng(),
        )


def _play(act: Callable[[standin.StoreStandin, str], Awaitable[object]]):
    async def main() -> object:
        store = standin.StoreStandin()
        address = await store.start(HOST)
        try:
            async with asyncio.timeout(60):
                return await act(store, address)
        finally:
            store.close()

    return asyncio.run(main())


async def _until(done: Callable[[], bool]) -> None:
    while not done():
        await asyncio.sleep(0)


def test_older_version_never_replaces_a_newer_one():
    async def act(store, address):
        node = _Node("n1", address, ())
        for offset, version in enumerate((3, 5, 4)):
            record = platform.KeyedRecord(
                ids.Offset(offset),
                platform.DESIRED_STATE_KEY,
                fleet_rig.desired_record(version),
            )
            tail = platform.ReadResult(end=ids.Offset(9), records=(record,))
            node.state_sync.apply_desired(tail, is_snapshot=True)
        return node.edge_state.desired.version

    assert _play(act) == 5


def test_malformed_desired_state_leaves_the_one_in_force():
    async def act(store, address):
        node = _Node("n1", address, ())
        for value in (fleet_rig.desired_record(3), b"{"):
            record = platform.KeyedRecord(
                ids.Offset(0), platform.DESIRED_STATE_KEY, value
            )
            tail = platform.ReadResult(end=ids.Offset(9), records=(record,))
            node.state_sync.apply_desired(tail, is_snapshot=False)
        return node.edge_state.desired.version

    assert _play(act) == 3


def test_process_that_starts_while_the_store_is_away_asks_a_seed():
    async def act(store, address):
        one = _Node("n1", address, ())
        await one.state_sync.start()
        one.edge_state.adopt(
            platform.decode_desired(fleet_rig.desired_record(7)),
            fleet_rig.desired_record(7),
        )
        row = platform.KeyedRecord(ids.Offset(4), "i-1", BACKEND)
        one.edge_state.backends.apply(
            platform.ReadResult(end=ids.Offset(5), records=(row,)),
            store_was_away=False,
        )
        store.unavailable = True
        two = _Node("n2", address, (one.state,))
        await two.state_sync.start()
        task = asyncio.create_task(two.state_sync.run())
        await _until(lambda: two.edge_state.desired is not None)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        one.state_sync.close()
        two.state_sync.close()
        known = [backend.key for backend in two.edge_state.backends.all()]
        return (
            two.edge_state.desired.version,
            known,
            two.edge_state.backends.end,
        )

    assert _play(act) == (7, ["i-1"], 5)


def test_process_that_misses_a_change_hears_of_it_from_a_peer():
    async def act(store, address):
        one = _Node("n1", address, ())
        two = _Node("n2", address, ())
        tasks = []
        for node in (one, two):
            await node.state_sync.start()
            tasks.append(asyncio.create_task(node.state_sync.run()))
        await _until(lambda: bool(one.state_sync.peers.live()))
        # Only one of them is told, as if the other's read hung.
        one.edge_state.adopt(
            platform.decode_desired(fleet_rig.desired_record(8)),
            fleet_rig.desired_record(8),
        )
        one.state_sync.peers.schedule_send()
        await _until(lambda: two.edge_state.desired is not None)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        one.state_sync.close()
        two.state_sync.close()
        return two.edge_state.desired.version

    assert _play(act) == 8


def test_follower_starts_again_from_the_newest_when_history_is_dropped():
    async def act(store, address):
        client = platform.StoreClient(
            address, timeout=datetime.timedelta(seconds=30)
        )
        taken = []
        health = topic_follower.StoreHealth(clock_lib.SystemClock())
        follower = topic_follower.TopicFollower(
            client,
            "keyed.t",
            lambda tail, newest: taken.append(
                (newest, [record.value for record in tail.records])
            ),
            health,
            clock=clock_lib.SystemClock(),
            min_interval=datetime.timedelta,
            poll_wait=datetime.timedelta,
        )
        store.append("keyed.t", "a", b"1")
        task = asyncio.create_task(follower.run())
        await _until(lambda: len(taken) >= 2)
        store.append("keyed.t", "a", b"2")
        store.append("keyed.t", "b", b"3")
        store.compact("keyed.t")
        await _until(lambda: (True, [b"2", b"3"]) in taken)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        client.close()
        return taken[0]

    assert _play(act) == (True, [b"1"])


def test_malformed_datagram_is_dropped():
    peers = peers_lib.Peers(
        lambda known: None,
        lambda peer: None,
        own_address="127.0.0.1:1",
        domain="d1",
        clock=clock_lib.ManualClock(),
    )
    for data in (b"", b"\xff", cbor2.dumps({"a": 1}), cbor2.dumps([1])):
        peers.datagram_received(data, (HOST, 9))
    assert peers.live() == []


@pytest.mark.parametrize(
    "fields",
    [
        {"workspace_uses": {1: -1}},
        {"workspace_uses": {1: 10**12}},
        {"desired_age_ms": 2**63},
        {"backends_age_ms": -2},
    ],
    ids=str,
)
def test_datagram_with_figures_that_cannot_be_is_dropped(fields):
    heard = []
    peers = peers_lib.Peers(
        lambda known: None,
        heard.append,
        own_address="own:9",
        domain="d1",
        clock=clock_lib.ManualClock(),
    )
    peers.datagram_received(
        _encoded(_heartbeat("n2", "d1", **fields)), (HOST, 9)
    )
    assert heard == []
    peers.datagram_received(_encoded(_heartbeat("n2", "d1")), (HOST, 9))
    assert len(heard) == 1


def test_requests_of_a_silent_peer_count_no_more():
    clock = clock_lib.ManualClock()
    loads = backend_loads_lib.BackendLoads(clock)
    key = desired.BackendKey("i-1")
    loads.record_peer_requests("n2", {key: 3})
    assert loads.requests_at(key) == 3
    clock.advance(datetime.timedelta(seconds=2))
    assert loads.requests_at(key) == 0


class _Wire:
    """Takes the place of the socket for datagrams."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, bytes]] = []

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        self.sent.append((to[0], data))

    def count(self, *hosts: str) -> int:
        return sum(1 for host, _ in self.sent if host in hosts)


def _heartbeat(node: str, domain: str, **fields: object) -> messages.Heartbeat:
    return messages.Heartbeat(
        node, node, domain, 1, False, 0, 0, {}, [], **fields
    )


def _encoded(message: msgspec.Struct) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(message))


class _Gossip:
    """One process's peers, by hand: two in its own domain, two in another."""

    def __init__(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.wire = _Wire()
        self.peers = peers_lib.Peers(
            lambda known: _heartbeat("own", "d1"),
            lambda peer: None,
            own_address="own:9",
            domain="d1",
            clock=self.clock,
        )
        self.peers.connection_made(self.wire)
        for host, domain in (
            ("near1", "d1"),
            ("near2", "d1"),
            ("far1", "d2"),
            ("far2", "d2"),
        ):
            self.hear(host, _heartbeat(host, domain))

    def hear(self, host: str, message: msgspec.Struct) -> None:
        self.peers.datagram_received(_encoded(message), (host, 9))

    def tell(self, count: int, *, urgent: bool = False) -> None:
        for _ in range(count):
            self.peers.schedule_send(urgent=urgent)
            self.peers.send_due()
            self.clock.advance(datetime.timedelta(milliseconds=50))


def test_other_domains_hear_less_often_and_by_turns():
    gossip = _Gossip()
    gossip.tell(8)
    assert gossip.wire.count("near1") == gossip.wire.count("near2") == 8
    assert gossip.wire.count("far1") == gossip.wire.count("far2") == 1


def test_everyone_hears_at_once_of_what_is_urgent():
    gossip = _Gossip()
    gossip.tell(1)
    before = gossip.wire.count("far1", "far2")
    gossip.tell(1, urgent=True)
    assert gossip.wire.count("far1", "far2") == before + 2


def test_domain_that_is_silent_is_told_all_the_same():
    gossip = _Gossip()
    gossip.clock.advance(datetime.timedelta(seconds=30))
    gossip.tell(8)
    assert gossip.wire.count("far1", "far2") == 2


def test_news_of_another_domain_are_passed_on_within_this_one():
    gossip = _Gossip()
    heartbeat = _heartbeat("far1", "d2", relay=True, sequence=3)
    gossip.hear("far1", heartbeat)
    passed = _encoded(messages.RelayedHeartbeat("far1:9", heartbeat))
    assert gossip.wire.sent == [("near1", passed), ("near2", passed)]


def test_news_that_were_passed_on_count_as_their_senders():
    gossip = _Gossip()
    gossip.clock.advance(datetime.timedelta(seconds=30))
    heartbeat = _heartbeat("far3", "d2", lease_generation=7, relay=True)
    gossip.hear("near1", messages.RelayedHeartbeat("far3:9", heartbeat))
    live = gossip.peers.live()
    assert [(peer.host, peer.heartbeat.lease_generation) for peer in live] == [
        ("far3", 7)
    ]
    # Passed on once only.
    assert not gossip.wire.sent


def test_own_news_that_come_back_are_dropped():
    gossip = _Gossip()
    before = gossip.peers.count()
    heartbeat = _heartbeat("own", "d1")
    gossip.hear("near1", messages.RelayedHeartbeat("own:9", heartbeat))
    assert gossip.peers.count() == before


def test_older_news_never_replace_newer_ones():
    gossip = _Gossip()
    gossip.hear(
        "far1", _heartbeat("far1", "d2", sequence=5, lease_generation=2)
    )
    old = _heartbeat("far1", "d2", sequence=4, lease_generation=1)
    gossip.hear("near1", messages.RelayedHeartbeat("far1:9", old))
    numbers = {
        p.host: p.heartbeat.lease_generation for p in gossip.peers.live()
    }
    assert numbers["far1"] == 2
