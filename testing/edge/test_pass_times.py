# SPDX-License-Identifier: Apache-2.0
"""Tests of pass times: moving average and detection of jumps."""

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
    """Make passes of these lengths in ms, with one event on each stream.

    :returns: for each event, whether a jump was reported.
    """
    clock = clock_lib.ManualClock()
    jumps = []
    for length in lengths:
        clock.advance(length * MS)
        jumps += [
            pass_times.observe_event_gap(length * MS, clock.monotonic())
            for _ in range(streams)
        ]
    return jumps


def test_first_pass_is_not_a_jump() -> None:
    pass_times = pass_times_lib.PassTimes()
    assert not any(run_passes(pass_times, 50))
    assert pass_times.typical == 50 * MS


def test_jump_is_reported_once_at_its_first_pass() -> None:
    jumps = run_passes(
        pass_times_lib.PassTimes(), 50, 50, 50, 110, 110, streams=3
    )
    assert jumps == [False] * 9 + [True] + [False] * 5


def test_pauses_of_one_pass_are_counted_once() -> None:
    of_nine_streams = pass_times_lib.PassTimes()
    of_one_stream = pass_times_lib.PassTimes()
    run_passes(of_nine_streams, 50, 60, 55, streams=9)
    run_passes(of_one_stream, 50, 60, 55, streams=1)
    assert of_nine_streams.typical == of_one_stream.typical


def test_pass_that_reads_long_prompts_is_not_a_jump() -> None:
    assert not any(run_passes(pass_times_lib.PassTimes(), 50, 50, 65, 50, 60))


def test_stalled_group_does_not_change_the_typical_pass_time() -> None:
    pass_times = pass_times_lib.PassTimes()
    assert not any(run_passes(pass_times, 50, 50, 1500))
    assert pass_times.typical == 50 * MS


@pytest.mark.parametrize(
    ("report_lag_ms", "pass_ms", "passes_ahead"),
    [(200, 50, 5), (200, 90, 3), (200, 250, 1), (0, 50, 5), (200, None, 5)],
    ids=["short", "usual", "long", "lag-unknown", "pass-unknown"],
)
def test_passes_ahead_follow_the_report_lag(
    report_lag_ms: float, pass_ms: float | None, passes_ahead: int
) -> None:
    group = rank_groups.RankGroup(
        "g", ids.ServiceName("s"), LIMITS, 4, report_lag=report_lag_ms * MS
    )
    if pass_ms is not None:
        run_passes(group.pass_times, pass_ms)
    assert group.passes_ahead() == passes_ahead
