# SPDX-License-Identifier: Apache-2.0
"""Tests of rank slowness: when ranks are queried, and what is kept."""

import datetime

from lugcross.edge import rank_slowness as rank_slowness_lib
from lugcross import experts

REPORT_LAG = datetime.timedelta(milliseconds=200)
SLOW_RANK = experts.Rank(1)


def _instant(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


def test_query_is_due_one_report_lag_after_a_jump():
    slowness = rank_slowness_lib.RankSlowness()
    assert slowness.query_is_due(_instant(0))
    slowness.update({SLOW_RANK: 1.0}, _instant(0))
    assert not slowness.query_is_due(_instant(1))
    slowness.note_jump(_instant(1), REPORT_LAG)
    assert not slowness.query_is_due(_instant(1.1))
    assert slowness.query_is_due(_instant(1.2))


def test_rank_stays_slow_until_it_reports_otherwise():
    slowness = rank_slowness_lib.RankSlowness()
    assert slowness.update({SLOW_RANK: 4.0}, _instant(0))
    assert slowness.factors(3) == (1.0, 4.0, 1.0)
    assert slowness.query_is_due(_instant(1))
    assert not slowness.update({}, _instant(1)), "no report, no change"
    assert slowness.factors(3) == (1.0, 4.0, 1.0)
    assert slowness.update({SLOW_RANK: 1.0}, _instant(2))
    assert slowness.factors(3) == ()


def test_small_changes_do_not_require_a_new_plan():
    slowness = rank_slowness_lib.RankSlowness()
    assert not slowness.update({SLOW_RANK: 1.1}, _instant(0))
    assert slowness.factors(3) == ()
    assert slowness.update({SLOW_RANK: 4.0}, _instant(1))
    assert not slowness.update({SLOW_RANK: 4.5}, _instant(2))
    assert slowness.update({SLOW_RANK: 8.0}, _instant(3))
