# SPDX-License-Identifier: Apache-2.0
"""When a group is left alone, by what its lives have shown."""

import datetime

import pytest

from lugcross import experts
from lugcross.experts import switch_backoff as switch_backoff_lib


def at(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


@pytest.fixture
def backoff() -> experts.SwitchBackoff:
    return experts.SwitchBackoff()


def _break(backoff, now, after):
    backoff.note_switch_started()
    backoff.note_switch_ended(at(now - after))
    return backoff.note_group_broken(at(now))


def test_one_break_beside_a_change_means_nothing(backoff):
    assert not _break(backoff, 10, 2)
    assert not backoff.is_active(at(11))


def test_two_in_a_row_are_the_change(backoff):
    _break(backoff, 10, 2)
    assert _break(backoff, 20, 2)
    assert backoff.is_active(
        at(20) + switch_backoff_lib.INITIAL_BACKOFF - at(1)
    )
    assert not backoff.is_active(at(20) + switch_backoff_lib.INITIAL_BACKOFF)


def test_a_life_that_bears_its_map_ends_the_row(backoff):
    _break(backoff, 10, 2)
    _break(backoff, 60, 30)
    assert not _break(backoff, 70, 2)


def test_a_life_without_a_change_tells_nothing(backoff):
    _break(backoff, 10, 2)
    assert not backoff.note_group_broken(at(15))
    assert _break(backoff, 20, 2)


def test_only_the_first_change_of_a_life_counts(backoff):
    _break(backoff, 10, 2)
    backoff.note_switch_started()
    backoff.note_switch_ended(at(11))
    assert not _break(backoff, 30, 1)


def test_a_change_that_was_not_over_counts(backoff):
    _break(backoff, 10, 2)
    backoff.note_switch_started()
    assert backoff.note_group_broken(at(30))


def test_rests_grow_and_are_bounded(backoff):
    now = 0.0
    rests = []
    for _ in range(12):
        now += 1000
        _break(backoff, now, 1)
        rested = 0
        while backoff.is_active(at(now + rested)):
            rested += 5
        rests.append(rested)
    assert rests[:4] == [0, 15, 30, 60]
    assert rests[-1] == switch_backoff_lib.MAX_BACKOFF.total_seconds()
