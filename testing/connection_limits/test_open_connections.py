# SPDX-License-Identifier: Apache-2.0
"""Which connection is closed to make room for a new one."""

import datetime

import pytest

from lugcross import clock as clock_lib
from lugcross import connection_limits

MAX_COUNT = 8
WAITING = connection_limits.ConnState.WAITING
SERVING = connection_limits.ConnState.SERVING
AHEAD = connection_limits.ConnState.SERVING_AHEAD
DELIVERING = connection_limits.ConnState.DELIVERING

Conns = connection_limits.OpenConnections[str]


@pytest.fixture
def conns() -> Conns:
    return connection_limits.OpenConnections(MAX_COUNT)


def _open(conns: Conns, *names: str) -> None:
    for name in names:
        conns.reserve()
        conns.add(name)


def _now(seconds: float = 0.0) -> clock_lib.Instant:
    clock = clock_lib.ManualClock()
    clock.advance(datetime.timedelta(seconds=seconds))
    return clock.monotonic()


def test_nothing_is_closed_while_there_is_room(conns):
    _open(conns, *"abcdef")
    assert conns.take_useless(_now()) is None


def test_connections_without_a_request_go_first_and_the_oldest_of_them(conns):
    _open(conns, *"abcdefg")
    conns.update("a", SERVING, _now())
    conns.update("a", WAITING, _now())
    assert conns.take_useless(_now()) == "b"
    assert conns.take_useless(_now()) == "c"


def test_among_served_ones_the_longest_idle_goes_first(conns):
    _open(conns, *"abcdefg")
    for name in "gfedcba":
        conns.update(name, SERVING, _now())
        conns.update(name, WAITING, _now())
    assert conns.take_useless(_now()) == "g"


def test_a_request_in_progress_is_not_interrupted(conns):
    _open(conns, *"abcdefgh")
    for name in "abcdefgh":
        conns.update(name, SERVING, _now())
    assert conns.take_useless(_now(1000)) is None
    assert conns.is_full


def test_an_unread_response_goes_after_a_time_to_take_it(conns):
    _open(conns, *"abcdefgh")
    for num, name in enumerate("abcdefgh"):
        conns.update(name, SERVING, _now())
        conns.update(name, DELIVERING, _now(num))
    assert conns.take_useless(_now(0.9)) is None
    assert conns.take_useless(_now(1.0)) == "a"
    assert conns.take_useless(_now(1.0)) is None


def test_a_closed_connection_counts_until_it_is_gone(conns):
    _open(conns, *"abcdefgh")
    assert conns.take_useless(_now()) == "a"
    assert conns.is_full
    conns.remove("a")
    assert not conns.is_full
    conns.update("a", WAITING, _now())
    assert conns.count == MAX_COUNT - 1


def test_accepted_connections_count_before_they_are_added(conns):
    for _ in range(MAX_COUNT):
        conns.reserve()
    assert conns.is_full
    conns.cancel()
    assert not conns.is_full


def test_a_new_caller_is_not_closed_for_the_next_among_idle_ones(conns):
    _open(conns, *"abcdefg")
    for num in range(100):
        gone = conns.take_useless(_now())
        assert gone != f"n{num - 1}"
        conns.remove(gone)
        _open(conns, f"n{num}")
    assert conns.count <= MAX_COUNT


def test_one_that_sends_ahead_serves_no_further_request(conns):
    _open(conns, *"abcdefgh")
    for name in "abcdefgh":
        conns.update(name, SERVING, _now())
    for name in "dc":
        conns.update(name, AHEAD, _now())
    assert conns.take_useless(_now(1000)) is None
    assert [conns.take_sending_ahead() for _ in range(3)] == ["d", "c", None]


def test_sending_ahead_is_no_harm_while_there_is_room(conns):
    _open(conns, *"abcdef")
    conns.update("a", AHEAD, _now())
    assert conns.take_sending_ahead() is None
