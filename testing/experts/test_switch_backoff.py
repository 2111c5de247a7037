# SPDX-License-Identifier: Apache-2.0
"""Tests of the backoff for groups that break whenever they are switched."""

import datetime

import pytest

from lugcross import experts
from lugcross.experts import switch_backoff as switch_backoff_lib


def _instant(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


@pytest.fixture
def backoff() -> experts.SwitchBackoff:
    return experts.SwitchBackoff()


def _break_after_switch(backoff, broken_at, seconds_after_switch):
    backoff.note_switch_started()
    backoff.note_switch_ended(_instant(broken_at - seconds_after_switch))
    return backoff.note_group_broken(_instant(broken_at))


def test_one_break_after_a_switch_starts_no_backoff(backoff):
    assert not _break_after_switch(backoff, 10, 2)
    assert not backoff.is_active(_instant(11))


def test_two_breaks_in_a_row_start_the_backoff(backoff):
    _break_after_switch(backoff, 10, 2)
    assert _break_after_switch(backoff, 20, 2)
    assert backoff.is_active(
        _instant(20) + switch_backoff_lib.INITIAL_BACKOFF - _instant(1)
    )
    assert not backoff.is_active(
        _instant(20) + switch_backoff_lib.INITIAL_BACKOFF
    )


def test_group_that_survives_a_switch_resets_the_count(backoff):
    _break_after_switch(backoff, 10, 2)
    _break_after_switch(backoff, 60, 30)
    assert not _break_after_switch(backoff, 70, 2)


def test_break_without_a_switch_is_ignored(backoff):
    _break_after_switch(backoff, 10, 2)
    assert not backoff.note_group_broken(_instant(15))
    assert _break_after_switch(backoff, 20, 2)


def test_only_the_first_switch_of_an_epoch_counts(backoff):
    _break_after_switch(backoff, 10, 2)
    backoff.note_switch_started()
    backoff.note_switch_ended(_instant(11))
    assert not _break_after_switch(backoff, 30, 1)


def test_unfinished_switch_counts(backoff):
    _break_after_switch(backoff, 10, 2)
    backoff.note_switch_started()
    assert backoff.note_group_broken(_instant(30))


def test_backoff_doubles_up_to_its_limit(backoff):
    now = 0.0
    durations = []
    for _ in range(12):
        now += 1000
        _break_after_switch(backoff, now, 1)
        duration = 0
        while backoff.is_active(_instant(now + duration)):
            duration += 5
        durations.append(duration)
    assert durations[:4] == [0, 15, 30, 60]
    assert durations[-1] == switch_backoff_lib.MAX_BACKOFF.total_seconds()
