# SPDX-License-Identifier: Apache-2.0
"""Slow ranks are asked for when passes jump, and believed as long as told."""

import datetime

from lugcross.edge import rank_slowness as rank_slowness_lib
from lugcross import experts

REPORT_LAG = datetime.timedelta(milliseconds=200)
SLOW_RANK = experts.Rank(1)


def _instant(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


def test_all_ranks_are_asked_once_reports_tell_of_longer_passes():
    slowness = rank_slowness_lib.RankSlowness()
    assert slowness.query_is_due(_instant(0))
    slowness.update({SLOW_RANK: 1.0}, _instant(0))
    assert not slowness.query_is_due(_instant(1))
    slowness.note_jump(_instant(1), REPORT_LAG)
    assert not slowness.query_is_due(_instant(1.1))
    assert slowness.query_is_due(_instant(1.2))


def test_rank_is_slow_until_it_tells_that_it_is_not():
    slowness = rank_slowness_lib.RankSlowness()
    assert slowness.update({SLOW_RANK: 4.0}, _instant(0))
    assert slowness.factors(3) == (1.0, 4.0, 1.0)
    assert slowness.query_is_due(_instant(1))
    assert not slowness.update({}, _instant(1)), "its silence changes nothing"
    assert slowness.factors(3) == (1.0, 4.0, 1.0)
    assert slowness.update({SLOW_RANK: 1.0}, _instant(2))
    assert slowness.factors(3) == ()


def test_small_changes_are_no_reason_to_plan_anew():
    slowness = rank_slowness_lib.RankSlowness()
    assert not slowness.update({SLOW_RANK: 1.1}, _instant(0))
    assert slowness.factors(3) == ()
    assert slowness.update({SLOW_RANK: 4.0}, _instant(1))
    assert not slowness.update({SLOW_RANK: 4.5}, _instant(2))
    assert slowness.update({SLOW_RANK: 8.0}, _instant(3))
