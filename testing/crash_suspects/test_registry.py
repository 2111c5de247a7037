# SPDX-License-Identifier: Apache-2.0
"""Crash suspects, whatever the source and order of the reports."""

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


def fingerprint(num: int) -> crash_suspects.Fingerprint:
    return crash_suspects.Fingerprint(
        bytes([num]) * crash_suspects.FINGERPRINT_BYTES
    )


def crash(
    server: str, when: float, software: str = "v1", ran: float = 0.1
) -> crash_suspects.ServerCrash:
    return crash_suspects.ServerCrash(server, software, at(when), at(ran))


A, B, C = fingerprint(1), fingerprint(2), fingerprint(3)


@pytest.fixture
def registry() -> crash_suspects.SuspectRegistry:
    return crash_suspects.SuspectRegistry()


def _status(registry, request, now=100.0, software=SOFTWARE):
    return registry.assess([request], software, at(now)).status


def _record(registry, request, *crashes):
    for one in crashes:
        registry.record_crash(request, one, one.crashed_at)


def test_request_that_ran_on_no_crashed_server_is_not_suspect(registry):
    _record(registry, A, crash("s1", 1))
    assert _status(registry, B) is crash_suspects.SuspectStatus.NOT_SUSPECT


def test_one_crash_makes_suspect(registry):
    _record(registry, A, crash("s1", 1))
    assert _status(registry, A) is crash_suspects.SuspectStatus.SUSPECT


def test_two_crashes_are_not_enough_even_if_nothing_else_explains_them(
    registry,
):
    """An innocent request was refused after two crashes by chance.

    Servers had begun to crash for another reason, and one request was running
    at the first two. No other request was at both, it had run for as long at
    each, and no other server had crashed yet.
    """
    _record(registry, A, crash("s1", 1), crash("s2", 1.1))
    _record(registry, B, crash("s1", 1))
    _record(registry, C, crash("s2", 1.1))
    assert _status(registry, A) is crash_suspects.SuspectStatus.SUSPECT
    assert _status(registry, B) is crash_suspects.SuspectStatus.SUSPECT
    _record(registry, A, crash("s3", 1.4))
    assert _status(registry, A) is crash_suspects.SuspectStatus.REFUSED
    # The cause of the crash is found.
    assert _status(registry, B) is crash_suspects.SuspectStatus.NOT_SUSPECT


def test_requests_that_ran_at_both_crashes_are_tried_once_more(registry):
    for request in (A, B):
        _record(registry, request, crash("s1", 1), crash("s2", 5))
    assert _status(registry, A) is crash_suspects.SuspectStatus.SUSPECT
    registry.record_completion(B, at(7))
    assert _status(registry, B) is crash_suspects.SuspectStatus.NOT_SUSPECT
    assert _status(registry, A) is crash_suspects.SuspectStatus.SUSPECT
    _record(registry, A, crash("s3", 9))
    assert _status(registry, A) is crash_suspects.SuspectStatus.REFUSED


def test_two_crashes_in_a_rack_outage_are_not_enough(registry):
    _record(registry, A, crash("s1", 1), crash("s2", 5))
    _record(registry, B, crash("s3", 5.4))
    registry.record_completion(B, at(6))
    assert _status(registry, A) is crash_suspects.SuspectStatus.SUSPECT
    _record(registry, A, crash("s4", 9))
    assert _status(registry, A) is crash_suspects.SuspectStatus.REFUSED


def test_three_crashes_are_not_enough_while_many_servers_crash(registry):
    _record(registry, A, crash("s1", 1), crash("s2", 2), crash("s3", 3))
    assert _status(registry, A) is crash_suspects.SuspectStatus.REFUSED
    for num in range(4):
        _record(registry, B, crash(f"t{num}", 2 + num))
        registry.record_completion(B, at(2.5 + num))
    assert _status(registry, A) is crash_suspects.SuspectStatus.SUSPECT
    _record(registry, A, crash("s4", 5))
    assert _status(registry, A) is crash_suspects.SuspectStatus.REFUSED


def test_two_crashes_after_different_run_times_are_not_enough(registry):
    _record(registry, A, crash("s1", 1, ran=0.1), crash("s2", 5, ran=0.3))
    assert _status(registry, A) is crash_suspects.SuspectStatus.SUSPECT
    _record(registry, A, crash("s3", 9, ran=0.2))
    assert _status(registry, A) is crash_suspects.SuspectStatus.REFUSED


def test_copies_that_ran_at_once_count_once(registry):
    """A popular request is running everywhere when all servers crash."""
    _record(
        registry,
        A,
        *(crash(f"s{num}", 1 + num / 100, ran=0.5) for num in range(8)),
    )
    assert _status(registry, A) is crash_suspects.SuspectStatus.SUSPECT
    _record(registry, A, crash("t1", 3))
    assert len(registry.assess([A], SOFTWARE, at(4)).crashes) == 2


@pytest.mark.parametrize(
    ("run_times_s", "unrelated", "status"),
    [
        pytest.param(
            (0.1, 0.1, 0.12, 0.1),
            False,
            crash_suspects.SuspectStatus.REFUSED,
            id="same-run-time",
        ),
        pytest.param(
            (0.5, 0.1, 0.3, 0.1),
            False,
            crash_suspects.SuspectStatus.SUSPECT,
            id="other-run-times",
        ),
        pytest.param(
            (0.1, 0.1, 0.1, 0.1),
            True,
            crash_suspects.SuspectStatus.SUSPECT,
            id="another-server-crashed",
        ),
    ],
)
def test_copies_that_crash_servers_after_the_same_run_time_are_the_cause(
    registry, run_times_s, unrelated, status
):
    """Copies at five processes crashed five servers and, seconds later, one.

    All copies at once count as one crash and their retries as the second, so
    that the next caller's request was still let through to a server.
    """
    first, second, third, again = run_times_s
    _record(
        registry,
        A,
        crash("s1", 1.0, ran=first),
        crash("s2", 1.0, ran=second),
        crash("s3", 1.0, ran=third),
    )
    assert _status(registry, A) is crash_suspects.SuspectStatus.SUSPECT
    _record(registry, A, crash("s4", 1.5, ran=again))
    if unrelated:
        _record(registry, B, crash("s5", 1.2))
    assert _status(registry, A) is status


def test_one_server_counts_once_whoever_saw_its_crash(registry):
    for seen in (1.0, 1.2, 4.0):
        _record(registry, A, crash("s1", seen))
    assert len(registry.assess([A], SOFTWARE, at(5)).crashes) == 1
    assert registry.find(A).crashes == (crash("s1", 1.0),)


def test_completed_request_is_cleared_of_earlier_crashes(registry):
    _record(registry, A, crash("s1", 1), crash("s2", 5))
    registry.record_completion(A, at(6))
    assert _status(registry, A) is crash_suspects.SuspectStatus.NOT_SUSPECT
    _record(registry, A, crash("s3", 5.5))
    assert _status(registry, A) is crash_suspects.SuspectStatus.NOT_SUSPECT
    _record(registry, A, crash("s4", 7))
    assert _status(registry, A) is crash_suspects.SuspectStatus.SUSPECT


def test_other_software_version_is_judged_separately(registry):
    _record(registry, A, crash("s1", 1), crash("s2", 5), crash("s3", 8))
    new = frozenset(["v2"])
    assert (
        _status(registry, A, software=new)
        is crash_suspects.SuspectStatus.NOT_SUSPECT
    )
    both = SOFTWARE | new
    assert (
        _status(registry, A, software=both)
        is crash_suspects.SuspectStatus.REFUSED
    )


def test_suspicion_expires(registry):
    _record(registry, A, crash("s1", 1), crash("s2", 2), crash("s3", 5))
    later = 5 + crash_suspects.SUSPICION_TTL.total_seconds()
    assert (
        _status(registry, A, later - 4.5)
        is crash_suspects.SuspectStatus.REFUSED
    )
    assert (
        _status(registry, A, later) is crash_suspects.SuspectStatus.NOT_SUSPECT
    )
    registry.drop_expired(at(later))
    assert not len(registry)


def test_server_that_answers_has_not_crashed(registry):
    _record(registry, A, crash("s0", 0), crash("s1", 1), crash("s2", 5))
    registry.record_answer("s2", at(4.9))
    assert _status(registry, A) is crash_suspects.SuspectStatus.REFUSED
    registry.record_answer("s2", at(5.1))
    assert _status(registry, A) is crash_suspects.SuspectStatus.SUSPECT
    _record(registry, A, crash("s2", 5))
    assert _status(registry, A) is crash_suspects.SuspectStatus.SUSPECT


def test_flood_of_other_requests_evicts_no_refused_request(registry):
    _record(registry, A, crash("s1", 1), crash("s2", 3), crash("s3", 5))
    for num in range(2 * registry_lib.MAX_SUSPECTS):
        other = crash_suspects.Fingerprint(
            num.to_bytes(crash_suspects.FINGERPRINT_BYTES, "big")
        )
        _record(registry, other, crash("s9", 20 + num * 0.001))
    assert len(registry) == registry_lib.MAX_SUSPECTS
    assert _status(registry, A) is crash_suspects.SuspectStatus.REFUSED


CRASHES = st.builds(
    crash, st.sampled_from(["s1", "s2", "s3"]), st.integers(1, 9)
)
RECORDS = st.builds(
    lambda crashes, cleared: crash_suspects.SuspectRecord(
        A,
        tuple({one.server: one for one in crashes}.values()),
        None if cleared is None else at(cleared),
    ),
    st.lists(CRASHES, max_size=3),
    st.none() | st.integers(1, 9),
)


@given(st.lists(RECORDS, min_size=1, max_size=3))
def test_merge_is_commutative_and_idempotent(records):
    found = set()
    for order in itertools.permutations(records):
        registry = crash_suspects.SuspectRegistry()
        for record in (*order, *order):
            registry.merge(record, at(10))
        found.add(registry.find(A))
    assert len(found) == 1


@given(st.lists(st.integers(0, 15), unique=True, min_size=1, max_size=6))
def test_suspects_of_the_same_crashes_get_different_servers(nums):
    servers = [f"s{num}" for num in range(6)]
    suspects = [fingerprint(num) for num in nums]
    assigned = [
        crash_suspects.assign_server(
            one, [x for x in suspects if x != one], servers
        )
        for one in suspects
    ]
    assert len(set(assigned)) == len(suspects)


def test_copies_of_one_suspect_get_the_same_server():
    servers = ["s1", "s2", "s3"]
    assert crash_suspects.assign_server(
        A, [], servers
    ) == crash_suspects.assign_server(A, [], servers[::-1])
    assert crash_suspects.assign_server(A, [B], []) is None
