# SPDX-License-Identifier: Apache-2.0
"""Slow ranks are asked for when passes jump, and believed as long as told."""

import datetime

from lugcross.edge import rank_slowness as rank_slowness_lib
from lugcross import experts

LAG = datetime.timedelta(milliseconds=200)
RANK = experts.Rank(1)


def _at(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


def test_all_ranks_are_asked_once_reports_tell_of_longer_passes():
    slow = rank_slowness_lib.RankSlowness()
    assert slow.is_due(_at(0))
    slow.update({RANK: 1.0}, _at(0))
    assert not slow.is_due(_at(1))
    slow.note_jump(_at(1), LAG)
    assert not slow.is_due(_at(1.1))
    assert slow.is_due(_at(1.2))


def test_rank_is_slow_until_it_tells_that_it_is_not():
    slow = rank_slowness_lib.RankSlowness()
    assert slow.update({RANK: 4.0}, _at(0))
    assert slow.factors(3) == (1.0, 4.0, 1.0)
    assert slow.is_due(_at(1))
    assert not slow.update({}, _at(1)), "its silence changes nothing"
    assert slow.factors(3) == (1.0, 4.0, 1.0)
    assert slow.update({RANK: 1.0}, _at(2))
    assert slow.factors(3) == ()


def test_small_changes_are_no_reason_to_plan_anew():
    slow = rank_slowness_lib.RankSlowness()
    assert not slow.update({RANK: 1.1}, _at(0))
    assert slow.factors(3) == ()
    assert slow.update({RANK: 4.0}, _at(1))
    assert not slow.update({RANK: 4.5}, _at(2))
    assert slow.update({RANK: 8.0}, _at(3))
