# SPDX-License-Identifier: Apache-2.0
"""Heartbeats that no peer has sent: anyone may send datagrams."""

import datetime

import pytest

from lugcross import clock as clock_lib
from lugcross.edge import messages
from lugcross.edge import peers as peers_lib

HEARTBEAT = messages.Heartbeat("n", "i", "d", 1, False, 1, 1, {}, [])
#: Sources of forged heartbeats, far more than a fleet has processes.
SOURCES = 5_000
MAX_PEERS = 2_048
LARGE = messages.Heartbeat("n" * 50_000, "i", "d", 1, False, 1, 1, {}, [])
MAX_STORED_BYTES = 8_000_000


@pytest.fixture
def peers(manual_clock: clock_lib.ManualClock) -> peers_lib.Peers:
    return peers_lib.Peers(
        lambda known: HEARTBEAT,
        lambda peer: None,
        own_address="127.0.0.1:1",
        domain="d",
        clock=manual_clock,
    )


def _receive(
    peers: peers_lib.Peers, heartbeat: messages.Heartbeat, port: int
) -> None:
    peers.datagram_received(messages.encode(heartbeat), ("127.0.0.1", port))


def test_number_of_peers_is_bounded(peers):
    for port in range(2, SOURCES):
        _receive(peers, HEARTBEAT, port)
    assert peers.count() == MAX_PEERS


def test_large_heartbeats_are_stored_up_to_a_sum(peers):
    for port in range(2, 1_000):
        _receive(peers, LARGE, port)
    stored = [one for one in peers.live() if one.heartbeat is not None]
    size = len(messages.encode(LARGE))
    assert 0 < len(stored) * size <= MAX_STORED_BYTES


def test_known_peers_are_heard_when_there_is_no_room_for_more(peers):
    _receive(peers, HEARTBEAT, 2)
    for port in range(3, 1_000):
        _receive(peers, LARGE, port)
    newer = messages.Heartbeat("n", "i2", "d", 1, False, 7, 1, {}, [])
    _receive(peers, newer, 2)
    assert peers.live()[0].heartbeat.desired_version == 7


@pytest.mark.parametrize(
    "address", ["", "h", "h:", ":1", "h:x", "h:99999", "h:-1", "h:" + "9" * 99]
)
def test_addresses_that_are_none_are_ignored(peers, address):
    named = messages.Heartbeat("n", "i", "d", 1, False, 1, 1, {}, [address])
    _receive(peers, named, 2)
    assert peers.count() == 1


def test_silent_peers_are_forgotten(peers, manual_clock):
    for port in range(2, 1_000):
        _receive(peers, LARGE, port)
    manual_clock.advance(datetime.timedelta(seconds=61))
    peers.forget_silent()
    assert peers.count() == 0
    _receive(peers, LARGE, 2)
    assert len(peers.live()) == 1
