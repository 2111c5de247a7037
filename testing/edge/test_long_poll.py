# SPDX-License-Identifier: Apache-2.0
"""Wait times of long polls."""

import datetime

import hypothesis
from hypothesis import strategies as st
import pytest

from lugcross.edge import long_poll

ANSWER_TIMEOUT_S = long_poll.ANSWER_TIMEOUT.total_seconds()
MIN_INTERVAL = datetime.timedelta(seconds=0.4)


def _wait_s(peers: int, max_lag_s: float, recovery_s: float) -> float:
    wait = long_poll.wait_time(
        live_peers=peers,
        max_lag=datetime.timedelta(seconds=max_lag_s),
        store_recovery_time=datetime.timedelta(seconds=recovery_s),
        min_interval=MIN_INTERVAL,
    )
    return wait.total_seconds()


@pytest.mark.parametrize(
    ("peers", "max_lag_s", "recovery_s", "expected"),
    [
        (0, 2.0, 5.0, 1.0),
        (1, 2.0, 5.0, 1.0),
        (2, 2.0, 5.0, 3.1),
        (2, 2.0, 3.0, 1.1),
        (2, 2.0, 60.0, 4.0),
        (2, 3.0, 0.5, 1.5),
    ],
    ids=[
        "alone",
        "one-peer",
        "enough-peers",
        "short-recovery-time",
        "limited-by-maximum",
        "recovery-shorter-than-an-answer",
    ],
)
def test_wait_depends_on_peers_and_bounds(
    peers, max_lag_s, recovery_s, expected
):
    assert _wait_s(peers, max_lag_s, recovery_s) == expected


@hypothesis.given(st.floats(0.1, 10.0), st.floats(3.0, 60.0))
def test_hung_poll_ends_before_the_store_counts_as_healthy(
    max_lag_s, recovery_s
):
    wait_s = _wait_s(5, max_lag_s, recovery_s)
    longest_s = max(max_lag_s / 2, recovery_s - ANSWER_TIMEOUT_S - 0.9)
    assert wait_s == pytest.approx(min(longest_s, 4.0), abs=1e-6)


@hypothesis.given(
    st.integers(0, 9), st.floats(0.1, 10.0), st.floats(0.1, 60.0)
)
def test_wait_is_positive(peers, max_lag_s, recovery_s):
    assert _wait_s(peers, max_lag_s, recovery_s) > 0.0
