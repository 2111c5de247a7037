# SPDX-License-Identifier: Apache-2.0
"""What speaks against a request, whoever tells it and in whatever order."""

import datetime
import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from lugcross import crash_suspects
from lugcross.crash_suspects import registry as registry_lib

SOFTWARE = frozenset(["v1"])


def at(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


def name(num: int) -> crash_suspects.Fingerprint:
    return crash_suspects.Fingerprint(bytes([num]) * crash_suspects.SIZE)


def end(
    server: str, when: float, software: str = "v1", ran: float = 0.1
) -> crash_suspects.End:
    return crash_suspects.End(server, software, at(when), at(ran))


A, B, C = name(1), name(2), name(3)


@pytest.fixture
def ledger() -> crash_suspects.Ledger:
    return crash_suspects.Ledger()


def _standing(ledger, request, now=100.0, software=SOFTWARE):
    return ledger.standing(request, software, at(now))


def _note(ledger, request, *ends):
    for one in ends:
        ledger.ended(request, one, one.at)


def test_nothing_is_held_against_who_was_nowhere(ledger):
    _note(ledger, A, end("s1", 1))
    assert _standing(ledger, B) is crash_suspects.Standing.FREE


def test_one_end_makes_suspect(ledger):
    _note(ledger, A, end("s1", 1))
    assert _standing(ledger, A) is crash_suspects.Standing.SUSPECT


def test_two_ends_are_enough_where_nobody_else_was_at_both(ledger):
    _note(ledger, A, end("s1", 1), end("s2", 1.1))
    _note(ledger, B, end("s1", 1))
    _note(ledger, C, end("s2", 1.1))
    assert _standing(ledger, A) is crash_suspects.Standing.REFUSED
    assert _standing(ledger, B) is crash_suspects.Standing.SUSPECT


def test_who_was_at_both_is_tried_once_more(ledger):
    for request in (A, B):
        _note(ledger, request, end("s1", 1), end("s2", 5))
    assert _standing(ledger, A) is crash_suspects.Standing.SUSPECT
    ledger.cleared(B, at(7))
    assert _standing(ledger, B) is crash_suspects.Standing.FREE
    assert _standing(ledger, A) is crash_suspects.Standing.REFUSED


def test_two_ends_of_a_rack_that_went_dark_are_not_enough(ledger):
    _note(ledger, A, end("s1", 1), end("s2", 5))
    _note(ledger, B, end("s3", 5.4))
    ledger.cleared(B, at(6))
    assert _standing(ledger, A) is crash_suspects.Standing.SUSPECT
    _note(ledger, A, end("s4", 9))
    assert _standing(ledger, A) is crash_suspects.Standing.REFUSED


def test_three_ends_are_not_enough_while_servers_end_at_large(ledger):
    _note(ledger, A, end("s1", 1), end("s2", 2), end("s3", 3))
    assert _standing(ledger, A) is crash_suspects.Standing.REFUSED
    for num in range(4):
        _note(ledger, B, end(f"t{num}", 2 + num))
        ledger.cleared(B, at(2.5 + num))
    assert _standing(ledger, A) is crash_suspects.Standing.SUSPECT
    _note(ledger, A, end("s4", 5))
    assert _standing(ledger, A) is crash_suspects.Standing.REFUSED


def test_two_ends_at_other_points_of_its_run_are_not_enough(ledger):
    _note(ledger, A, end("s1", 1, ran=0.1), end("s2", 5, ran=0.3))
    assert _standing(ledger, A) is crash_suspects.Standing.SUSPECT


def test_copies_that_ran_at_once_count_once(ledger):
    """A request that many send is everywhere when all servers end."""
    _note(
        ledger,
        A,
        *(end(f"s{num}", 1 + num / 100, ran=0.5) for num in range(8)),
    )
    assert _standing(ledger, A) is crash_suspects.Standing.SUSPECT
    _note(ledger, A, end("t1", 3))
    assert len(ledger.against(A, SOFTWARE, at(4))) == 2


def test_one_server_counts_once_whoever_saw_its_end(ledger):
    for seen in (1.0, 1.2, 4.0):
        _note(ledger, A, end("s1", seen))
    assert len(ledger.against(A, SOFTWARE, at(5))) == 1
    assert ledger.find(A).ends == (end("s1", 1.0),)


def test_what_ran_to_its_end_is_cleared_of_all_before(ledger):
    _note(ledger, A, end("s1", 1), end("s2", 5))
    ledger.cleared(A, at(6))
    assert _standing(ledger, A) is crash_suspects.Standing.FREE
    _note(ledger, A, end("s3", 5.5))
    assert _standing(ledger, A) is crash_suspects.Standing.FREE
    _note(ledger, A, end("s4", 7))
    assert _standing(ledger, A) is crash_suspects.Standing.SUSPECT


def test_other_software_gets_a_chance_of_its_own(ledger):
    _note(ledger, A, end("s1", 1), end("s2", 5))
    new = frozenset(["v2"])
    assert _standing(ledger, A, software=new) is crash_suspects.Standing.FREE
    both = SOFTWARE | new
    assert (
        _standing(ledger, A, software=both) is crash_suspects.Standing.REFUSED
    )


def test_it_lapses(ledger):
    _note(ledger, A, end("s1", 1), end("s2", 5))
    later = 5 + crash_suspects.LAPSE.total_seconds()
    assert _standing(ledger, A, later - 4.5) is crash_suspects.Standing.REFUSED
    assert _standing(ledger, A, later) is crash_suspects.Standing.FREE
    ledger.forget_old(at(later))
    assert not len(ledger)


def test_server_that_answers_has_not_ended(ledger):
    _note(ledger, A, end("s1", 1), end("s2", 5))
    ledger.answered("s2", at(4.9))
    assert _standing(ledger, A) is crash_suspects.Standing.REFUSED
    ledger.answered("s2", at(5.1))
    assert _standing(ledger, A) is crash_suspects.Standing.SUSPECT
    _note(ledger, A, end("s2", 5))
    assert _standing(ledger, A) is crash_suspects.Standing.SUSPECT


def test_flood_of_other_requests_drives_out_no_proof(ledger):
    _note(ledger, A, end("s1", 1), end("s2", 5))
    for num in range(2 * registry_lib.KEPT_MOST):
        other = crash_suspects.Fingerprint(
            num.to_bytes(crash_suspects.SIZE, "big")
        )
        _note(ledger, other, end("s9", 20 + num * 0.001))
    assert len(ledger) == registry_lib.KEPT_MOST
    assert _standing(ledger, A) is crash_suspects.Standing.REFUSED


ENDS = st.builds(end, st.sampled_from(["s1", "s2", "s3"]), st.integers(1, 9))
CASES = st.builds(
    lambda ends, cleared: crash_suspects.Case(
        A,
        tuple({one.server: one for one in ends}.values()),
        None if cleared is None else at(cleared),
    ),
    st.lists(ENDS, max_size=3),
    st.none() | st.integers(1, 9),
)


@given(st.lists(CASES, min_size=1, max_size=3))
def test_news_mean_the_same_in_any_order_and_twice(cases):
    found = set()
    for order in itertools.permutations(cases):
        ledger = crash_suspects.Ledger()
        for case in (*order, *order):
            ledger.merge(case, at(10))
        found.add(ledger.find(A))
    assert len(found) == 1


@given(st.lists(st.integers(0, 15), unique=True, min_size=1, max_size=6))
def test_suspects_of_the_same_ends_are_tried_apart(nums):
    servers = [f"s{num}" for num in range(6)]
    names = [name(num) for num in nums]
    places = [
        crash_suspects.place(one, [x for x in names if x != one], servers)
        for one in names
    ]
    assert len(set(places)) == len(names)


def test_copies_of_one_suspect_meet_at_one_server():
    servers = ["s1", "s2", "s3"]
    assert crash_suspects.place(A, [], servers) == crash_suspects.place(
        A, [], servers[::-1]
    )
    assert crash_suspects.place(A, [B], []) is None
