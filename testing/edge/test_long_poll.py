# SPDX-License-Identifier: Apache-2.0
"""How long reads wait for news, from bounds and company."""

import datetime

import hypothesis
from hypothesis import strategies as st
import pytest

from lugcross.edge import long_poll

ANSWER_TIMEOUT_S = long_poll.ANSWER_TIMEOUT.total_seconds()
MIN_INTERVAL = datetime.timedelta(seconds=0.4)


def _wait_s(peers: int, bound_s: float, contact_s: float) -> float:
    wait = long_poll.wait_time(
        live_peers=peers,
        max_lag=datetime.timedelta(seconds=bound_s),
        store_recovery_time=datetime.timedelta(seconds=contact_s),
        min_interval=MIN_INTERVAL,
    )
    return wait.total_seconds()


@pytest.mark.parametrize(
    ("peers", "bound_s", "contact_s", "expected"),
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
        "short-contact",
        "never-over-the-most",
        "contact-shorter-than-an-answer",
    ],
)
def test_wait_follows_peers_and_bounds(peers, bound_s, contact_s, expected):
    assert _wait_s(peers, bound_s, contact_s) == expected


@hypothesis.given(st.floats(0.1, 10.0), st.floats(3.0, 60.0))
def test_read_that_hangs_ends_before_the_store_counts_as_sound(
    bound_s, contact_s
):
    wait_s = _wait_s(5, bound_s, contact_s)
    most_s = max(bound_s / 2, contact_s - ANSWER_TIMEOUT_S - 0.9)
    assert wait_s == pytest.approx(min(most_s, 4.0), abs=1e-6)


@hypothesis.given(
    st.integers(0, 9), st.floats(0.1, 10.0), st.floats(0.1, 60.0)
)
def test_wait_is_positive(peers, bound_s, contact_s):
    assert _wait_s(peers, bound_s, contact_s) > 0.0
