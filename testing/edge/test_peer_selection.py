# SPDX-License-Identifier: Apache-2.0
"""Which peer newer state is requested from, and when the store is read."""

import datetime
import random

from lugcross import clock as clock_lib
from lugcross.edge import lag as lag_lib
from lugcross.edge import long_poll
from lugcross.edge import peer_selection

BOUND = datetime.timedelta(seconds=3)


def _seconds(count: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=count)


def _newer(
    host: str, version: int = 2, *, same_domain: bool = True
) -> peer_selection.NewerPeer:
    return peer_selection.NewerPeer(
        host=host, port=1, newness=(version, 0), same_domain=same_domain
    )


class _Rig:
    def __init__(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.selector = peer_selection.PeerSelector(
            self.clock, random.Random(1)
        )
        self.peers = [_newer("a"), _newer("b"), _newer("c", same_domain=False)]

    def request(self) -> str | None:
        """Start the request that is due; return its host, none without one."""
        peer = self.selector.pick(self.peers)
        if peer is None:
            return None
        self.selector.request_started(peer)
        return peer.host

    def advance(self, seconds: float) -> None:
        self.clock.advance(_seconds(seconds))

    def end_request(self, host: str, *, answered: bool) -> None:
        self.selector.request_ended(_newer(host), answered=answered)


def test_at_most_two_peers_are_asked_in_parallel():
    rig = _Rig()
    first = rig.request()
    assert rig.request() is None
    rig.advance(0.3)
    second = rig.request()
    assert {first, second} == {"a", "b"}
    rig.advance(0.5)
    assert rig.request() is None


def test_peer_of_another_domain_is_asked_after_near_ones_failed():
    """A dead peer stays live, and may be the newest, for two seconds."""
    rig = _Rig()
    for _ in range(2):
        host = rig.request()
        assert host is not None
        rig.end_request(host, answered=False)
    assert rig.request() == "c"
    rig.end_request("c", answered=False)
    assert rig.request() is None
    rig.advance(2.0)
    assert rig.request() in {"a", "b"}


def test_peer_that_answered_is_asked_again_at_once():
    rig = _Rig()
    rig.peers = [_newer("a")]
    assert rig.request() == "a"
    rig.end_request("a", answered=True)
    assert rig.request() == "a"


def test_newest_peer_of_the_same_domain_is_asked():
    rig = _Rig()
    rig.peers = [
        _newer("older", 2),
        _newer("newer", 3),
        _newer("far", 9, same_domain=False),
    ]
    assert rig.request() == "newer"


def test_lag_counts_from_the_first_missing_version():
    clock = clock_lib.ManualClock()
    lag = lag_lib.Lag(clock)
    lag.note_available(5)
    clock.advance(_seconds(1))
    lag.note_available(6)
    clock.advance(_seconds(1))
    assert lag.duration(4) == _seconds(2)
    assert lag.duration(5) == _seconds(1)
    assert lag.duration(6) == _seconds(0)


def test_store_is_read_after_a_lag_and_not_again_at_once():
    """Under frequent changes the store is read for old versions only.

    After each answer this process waits as long again before it reads the
    store, even if a peer has a version that the answer lacked.
    """
    clock = clock_lib.ManualClock()
    lag = lag_lib.Lag(clock)
    lag.note_available(5)
    assert not long_poll.must_read_store(lag.duration(4), BOUND)
    clock.advance(_seconds(1))
    assert long_poll.must_read_store(lag.duration(4), BOUND)
    lag.note_store_answer()
    assert not long_poll.must_read_store(lag.duration(4), BOUND)
    clock.advance(_seconds(1))
    assert long_poll.must_read_store(lag.duration(4), BOUND)
