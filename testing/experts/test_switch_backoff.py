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


def _break_after_switch(backoff, now, after):
    backoff.note_switch_started()
    backoff.note_switch_ended(at(now - after))
    return backoff.note_group_broken(at(now))


def test_one_break_after_a_switch_starts_no_backoff(backoff):
    assert not _break_after_switch(backoff, 10, 2)
    assert not backoff.is_active(at(11))


def test_two_breaks_in_a_row_start_the_backoff(backoff):
    _break_after_switch(backoff, 10, 2)
    assert _break_after_switch(backoff, 20, 2)
    assert backoff.is_active(
        at(20) + switch_backoff_lib.INITIAL_BACKOFF - at(1)
    )
    assert not backoff.is_active(at(20) + switch_backoff_lib.INITIAL_BACKOFF)


def test_group_that_survives_a_switch_resets_the_count(backoff):
    _break_after_switch(backoff, 10, 2)
    _break_after_switch(backoff, 60, 30)
    assert not _break_after_switch(backoff, 70, 2)


def test_break_without_a_switch_is_ignored(backoff):
    _break_after_switch(backoff, 10, 2)
    assert not backoff.note_group_broken(at(15))
    assert _break_after_switch(backoff, 20, 2)


def test_only_the_first_switch_of_an_epoch_counts(backoff):
    _break_after_switch(backoff, 10, 2)
    backoff.note_switch_started()
    backoff.note_switch_ended(at(11))
    assert not _break_after_switch(backoff, 30, 1)


def test_unfinished_switch_counts(backoff):
    _break_after_switch(backoff, 10, 2)
    backoff.note_switch_started()
    assert backoff.note_group_broken(at(30))


def test_backoff_doubles_up_to_its_limit(backoff):
    now = 0.0
    rests = []
    for _ in range(12):
        now += 1000
        _break_after_switch(backoff, now, 1)
        rested = 0
        while backoff.is_active(at(now + rested)):
            rested += 5
        rests.append(rested)
    assert rests[:4] == [0, 15, 30, 60]
    assert rests[-1] == switch_backoff_lib.MAX_BACKOFF.total_seconds()
