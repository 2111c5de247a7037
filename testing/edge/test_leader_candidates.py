# SPDX-License-Identifier: Apache-2.0
"""Tests of decisions from peers' heartbeats: leadership, store reads, sync."""

import datetime

import cbor2
import edge_rig
import msgspec
import pytest

from lugcross import clock as clock_lib
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import messages
from lugcross.edge import state_sync as state_sync_lib
from lugcross import experts
from lugcross import ids
from lugcross import platform

MS = datetime.timedelta(milliseconds=1)


class Node:
    """State sync of one process without network, with a manual clock."""

    def __init__(self, *, fenced: bool) -> None:
        self.clock = clock_lib.ManualClock()
        settings = edge_rig.settings(
            msgspec.structs.replace(edge_rig.BOUNDS, fenced=fenced)
        )
        edge_state = edge_state_lib.EdgeState(
            settings, clock=self.clock, rng=edge_rig.new_rng()
        )
        store = platform.StoreClient("h:1", timeout=1000 * MS)
        self.state_sync = state_sync_lib.StateSync(
            settings,
            edge_state,
            store,
            clock=self.clock,
            rng=edge_rig.new_rng(),
        )

    def hear(
        self,
        *,
        started_ms: int = 1,
        generation: int = 0,
        leaving: bool = False,
        reads_store: bool = True,
    ) -> None:
        """Receive a heartbeat of peer ``n2``, by default started long ago."""
        heartbeat = messages.Heartbeat(
            node="n2",
            incarnation="i2",
            domain="d1",
            state_port=1,
            leaving=leaving,
            desired_version=0,
            backends_end=0,
            running_requests={},
            known_addresses=[],
            started_ms=started_ms,
            lease_generation=generation,
            reads_store=reads_store,
        )
        data = cbor2.dumps(msgspec.to_builtins(heartbeat))
        self.state_sync.peers.datagram_received(data, ("10.0.0.2", 9))


FENCES = pytest.mark.parametrize(
    "fenced", [False, True], ids=["unchecked", "fenced"]
)


def test_process_that_just_started_does_not_lead_without_a_lease() -> None:
    node = Node(fenced=False)
    assert not node.state_sync.is_first_candidate()
    node.clock.advance(2000 * MS)
    assert node.state_sync.is_first_candidate()


def test_process_that_just_started_may_claim_a_lease() -> None:
    assert Node(fenced=True).state_sync.is_first_candidate()


@FENCES
def test_process_that_runs_longest_is_first_candidate(fenced: bool) -> None:
    node = Node(fenced=fenced)
    node.clock.advance(5000 * MS)
    node.hear()
    assert not node.state_sync.is_first_candidate()
    node.hear(started_ms=0)
    assert node.state_sync.is_first_candidate()


@FENCES
def test_leaving_peer_is_no_candidate(fenced: bool) -> None:
    node = Node(fenced=fenced)
    node.clock.advance(5000 * MS)
    node.hear(leaving=True)
    assert node.state_sync.is_first_candidate()


@pytest.mark.parametrize(("fenced", "silent_ms"), [(False, 1100), (True, 600)])
def test_silent_peer_is_no_candidate(fenced: bool, silent_ms: int) -> None:
    node = Node(fenced=fenced)
    node.clock.advance(5000 * MS)
    node.hear()
    node.clock.advance((silent_ms - 1) * MS)
    assert not node.state_sync.is_first_candidate()
    node.clock.advance(MS)
    assert node.state_sync.is_first_candidate()


def test_lease_is_held_by_a_peer_while_its_heartbeats_arrive() -> None:
    node = Node(fenced=True)
    assert not node.state_sync.lease_held_by_peer()
    node.hear(generation=3)
    assert node.state_sync.lease_held_by_peer()
    node.clock.advance(600 * MS)
    assert not node.state_sync.lease_held_by_peer()


def test_lease_generation_of_a_peer_is_passed_on() -> None:
    node = Node(fenced=True)
    heard: list[experts.Generation] = []
    node.state_sync.on_peer_generation = heard.append
    node.hear(generation=3)
    assert heard == [3]


def _hear_readers(
    node: Node,
    domain: str,
    *,
    reads_store: bool = True,
    old_build: bool = False,
    may_skip: bool = False,
) -> None:
    """Receive heartbeats of two processes that sort first as store readers.

    :param old_build: whether they report no evacuations.
    :param may_skip: whether they are of a build that may skip records.
    """
    for num in range(2):
        heartbeat = messages.Heartbeat(
            node=f"r{num}",
            incarnation=f"!{num}",
            domain=domain,
            state_port=1,
            leaving=False,
            desired_version=0,
            backends_end=0,
            running_requests={},
            known_addresses=[],
            reads_store=reads_store,
            evacuations=None if old_build else [],
            has_all_records=not old_build and not may_skip,
        )
        data = cbor2.dumps(msgspec.to_builtins(heartbeat))
        node.state_sync.peers.datagram_received(data, (f"10.0.1.{num}", 9))


@pytest.mark.parametrize(
    ("domain", "reads_store", "old_build", "peers_read_store"),
    [
        ("d1", True, False, True),
        ("d2", True, False, False),
        ("d1", False, False, False),
        ("d1", True, True, False),
    ],
    ids=["near", "far", "store-away", "old-build"],
)
def test_store_is_left_to_two_readers_of_the_same_domain(
    domain: str, reads_store: bool, old_build: bool, peers_read_store: bool
) -> None:
    node = Node(fenced=False)
    _hear_readers(node, domain, reads_store=reads_store, old_build=old_build)
    assert node.state_sync.peers_read_store() == peers_read_store


def test_store_is_not_left_to_readers_that_may_skip_records() -> None:
    node = Node(fenced=False)
    _hear_readers(node, "d1", may_skip=True)
    assert not node.state_sync.peers_read_store()


def test_store_is_read_again_once_the_readers_are_silent() -> None:
    node = Node(fenced=False)
    _hear_readers(node, "d1")
    node.clock.advance(1100 * MS)
    assert not node.state_sync.peers_read_store()


def test_new_backend_record_schedules_a_heartbeat() -> None:
    node = Node(fenced=False)
    scheduled: list[None] = []
    node.state_sync.peers.schedule_send = lambda: scheduled.append(None)
    row = platform.KeyedRecord(
        ids.Offset(0), "i-1", edge_rig.backend_entry("s", "10.0.0.1:80")
    )
    empty = platform.ReadResult(end=ids.Offset(0), records=())
    node.state_sync.apply_backends(empty, is_snapshot=False)
    assert not scheduled
    node.state_sync.apply_backends(
        platform.ReadResult(end=ids.Offset(1), records=(row,)),
        is_snapshot=False,
    )
    assert scheduled


def _hear_version(node: Node, name: str, domain: str, version: int) -> None:
    heartbeat = messages.Heartbeat(
        name, name, domain, 1, False, version, 0, {}, []
    )
    data = cbor2.dumps(msgspec.to_builtins(heartbeat))
    node.state_sync.peers.datagram_received(data, (name, 9))


@pytest.mark.parametrize(
    ("near", "far", "expected"),
    [
        (0, 0, set()),
        (3, 0, {"near1", "near2"}),
        (3, 9, {"near1", "near2"}),
        (0, 9, {"far"}),
    ],
    ids=["nobody-ahead", "near", "far-knows-more", "only-far"],
)
def test_sync_prefers_peers_of_the_same_domain_and_varies_among_them(
    near: int, far: int, expected: set[str]
) -> None:
    node = Node(fenced=False)
    _hear_version(node, "near1", "d1", near)
    _hear_version(node, "near2", "d1", near)
    _hear_version(node, "far", "d2", far)
    peer_sync = node.state_sync.peer_sync
    found = [
        peer_sync.selector.pick(peer_sync.newer_peers()) for _ in range(40)
    ]
    assert {one.host for one in found if one is not None} == expected


@FENCES
def test_peer_without_the_store_is_no_candidate_for_a_lease(
    fenced: bool,
) -> None:
    node = Node(fenced=fenced)
    node.clock.advance(5000 * MS)
    node.hear(reads_store=False)
    # Without a lease, a leader needs no store.
    assert node.state_sync.is_first_candidate() == fenced


def test_heartbeat_tells_whether_the_store_answers_about_the_lease() -> None:
    node = Node(fenced=True)
    make_heartbeat = node.state_sync._make_heartbeat
    node.state_sync.store_answers_about_lease = lambda: False
    assert not make_heartbeat([]).reads_store
    node.state_sync.store_answers_about_lease = lambda: True
    assert make_heartbeat([]).reads_store
