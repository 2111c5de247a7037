# SPDX-License-Identifier: Apache-2.0
"""Which peer is asked for news, and when the store itself."""

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

    def ask(self) -> str | None:
        """Ask whoever is to be asked now; return its host."""
        peer = self.selector.pick(self.peers)
        if peer is None:
            return None
        self.selector.request_started(peer)
        return peer.host

    def passes(self, seconds: float) -> None:
        self.clock.advance(_seconds(seconds))

    def ends(self, host: str, *, answered: bool) -> None:
        self.selector.request_ended(_newer(host), answered=answered)


def test_second_peer_is_asked_beside_a_silent_one_and_no_third():
    rig = _Rig()
    first = rig.ask()
    assert rig.ask() is None
    rig.passes(0.3)
    second = rig.ask()
    assert {first, second} == {"a", "b"}
    rig.passes(0.5)
    assert rig.ask() is None


def test_peer_that_did_not_answer_gives_way_to_one_far_away():
    """A dead process goes on being the one that knows most for two seconds."""
    rig = _Rig()
    for _ in range(2):
        host = rig.ask()
        assert host is not None
        rig.ends(host, answered=False)
    assert rig.ask() == "c"
    rig.ends("c", answered=False)
    assert rig.ask() is None
    rig.passes(2.0)
    assert rig.ask() in {"a", "b"}


def test_peer_that_answered_is_asked_again_at_once():
    rig = _Rig()
    rig.peers = [_newer("a")]
    assert rig.ask() == "a"
    rig.ends("a", answered=True)
    assert rig.ask() == "a"


def test_of_peers_nearby_the_newest_is_asked():
    rig = _Rig()
    rig.peers = [
        _newer("old", 2),
        _newer("new", 3),
        _newer("far", 9, same_domain=False),
    ]
    assert rig.ask() == "new"


def test_lag_counts_from_the_first_news_that_is_missing():
    clock = clock_lib.ManualClock()
    lag = lag_lib.Lag(clock)
    lag.note_available(5)
    clock.advance(_seconds(1))
    lag.note_available(6)
    clock.advance(_seconds(1))
    assert lag.age(4) == _seconds(2)
    assert lag.age(5) == _seconds(1)
    assert lag.age(6) == _seconds(0)


def test_store_is_asked_in_time_and_not_again_at_once():
    """In a storm the store is asked for news that are old, not for the last.

    Once it has told all that it has, it is left alone for as long again, also
    where a peer tells of more than it has.
    """
    clock = clock_lib.ManualClock()
    lag = lag_lib.Lag(clock)
    lag.note_available(5)
    assert not long_poll.must_read_store(lag.age(4), BOUND)
    clock.advance(_seconds(1))
    assert long_poll.must_read_store(lag.age(4), BOUND)
    lag.restart()
    assert not long_poll.must_read_store(lag.age(4), BOUND)
    clock.advance(_seconds(1))
    assert long_poll.must_read_store(lag.age(4), BOUND)
