# SPDX-License-Identifier: Apache-2.0
"""When a group is left alone, by what its lives have shown."""

import datetime

import pytest

from lugcross import experts
from lugcross.experts import switch_backoff as switch_backoff_lib


def at(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


@pytest.fixture
def group() -> experts.SwitchBackoff:
    return experts.SwitchBackoff()


def _break(group, now, after):
    group.began()
    group.ended(at(now - after))
    return group.broke(at(now))


def test_one_break_beside_a_change_means_nothing(group):
    assert not _break(group, 10, 2)
    assert not group.rests(at(11))


def test_two_in_a_row_are_the_change(group):
    _break(group, 10, 2)
    assert _break(group, 20, 2)
    assert group.rests(at(20) + switch_backoff_lib.INITIAL_BACKOFF - at(1))
    assert not group.rests(at(20) + switch_backoff_lib.INITIAL_BACKOFF)


def test_a_life_that_bears_its_map_ends_the_row(group):
    _break(group, 10, 2)
    _break(group, 60, 30)
    assert not _break(group, 70, 2)


def test_a_life_without_a_change_tells_nothing(group):
    _break(group, 10, 2)
    assert not group.broke(at(15))
    assert _break(group, 20, 2)


def test_only_the_first_change_of_a_life_counts(group):
    _break(group, 10, 2)
    group.began()
    group.ended(at(11))
    assert not _break(group, 30, 1)


def test_a_change_that_was_not_over_counts(group):
    _break(group, 10, 2)
    group.began()
    assert group.broke(at(30))


def test_rests_grow_and_are_bounded(group):
    now = 0.0
    rests = []
    for _ in range(12):
        now += 1000
        _break(group, now, 1)
        rested = 0
        while group.rests(at(now + rested)):
            rested += 5
        rests.append(rested)
    assert rests[:4] == [0, 15, 30, 60]
    assert rests[-1] == switch_backoff_lib.MAX_BACKOFF.total_seconds()
