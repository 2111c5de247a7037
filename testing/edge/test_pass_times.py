# SPDX-License-Identifier: Apache-2.0
"""What passes take, and when that has jumped."""

import datetime

import pytest

from lugcross import clock as clock_lib
from lugcross.edge import pass_times as pass_times_lib
from lugcross.edge import rank_groups
from lugcross import experts
from lugcross import ids

MS = datetime.timedelta(milliseconds=1)
LIMITS = experts.ExpertLimits(
    layer_set_count=1,
    expert_count=8,
    max_experts_per_rank=4,
    max_new_experts_per_map=2,
    copy_s=0.1,
    expert_time_ratio=0.8,
)


def run_passes(
    pass_times: pass_times_lib.PassTimes, *lengths: float, streams: int = 3
) -> list[bool]:
    """Let passes go by, each with an event for some streams."""
    clock = clock_lib.ManualClock()
    jumps = []
    for length in lengths:
        clock.advance(length * MS)
        jumps += [
            pass_times.note_pause(length * MS, clock.monotonic())
            for _ in range(streams)
        ]
    return jumps


def test_first_pass_is_no_jump() -> None:
    pass_times = pass_times_lib.PassTimes()
    assert not any(run_passes(pass_times, 50))
    assert pass_times.typical == 50 * MS


def test_jump_is_reported_once_and_at_its_first_pass() -> None:
    jumps = run_passes(
        pass_times_lib.PassTimes(), 50, 50, 50, 110, 110, streams=3
    )
    assert jumps == [False] * 9 + [True] + [False] * 5


def test_streams_of_one_pass_count_as_one() -> None:
    many, one = pass_times_lib.PassTimes(), pass_times_lib.PassTimes()
    run_passes(many, 50, 60, 55, streams=9)
    run_passes(one, 50, 60, 55, streams=1)
    assert many.typical == one.typical


def test_pass_with_long_prompts_is_no_jump() -> None:
    assert not any(run_passes(pass_times_lib.PassTimes(), 50, 50, 65, 50, 60))


def test_stalled_group_does_not_change_the_typical_pass_time() -> None:
    pass_times = pass_times_lib.PassTimes()
    assert not any(run_passes(pass_times, 50, 50, 1500))
    assert pass_times.typical == 50 * MS


@pytest.mark.parametrize(
    ("report_lag_ms", "pass_ms", "ahead"),
    [(200, 50, 5), (200, 90, 3), (200, 250, 1), (0, 50, 5), (200, None, 5)],
    ids=["short", "usual", "long", "lag-unknown", "pass-unknown"],
)
def test_passes_ahead_follow_the_report_lag(
    report_lag_ms: float, pass_ms: float | None, ahead: int
) -> None:
    group = rank_groups.RankGroup(
        "g", ids.ServiceName("s"), LIMITS, 4, report_lag=report_lag_ms * MS
    )
    if pass_ms is not None:
        run_passes(group.pass_times, pass_ms)
    assert group.passes_ahead() == ahead
