# SPDX-License-Identifier: Apache-2.0
"""Tests that incrementally kept sums equal sums added up at each read."""

import collections
import datetime

from hypothesis import given
from hypothesis import strategies as st

from lugcross import clock as clock_lib
from lugcross.edge import fleet_counts

MAX_AGE = datetime.timedelta(seconds=1.5)
KEYS = st.sampled_from("abc")
COUNTS = st.dictionaries(KEYS, st.integers(1, 5))
#: A peer's counts arrive, this process adds to its own, or time passes (ms).
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("peer"), st.sampled_from("xyz"), COUNTS),
        st.tuples(st.just("add"), KEYS, st.integers(1, 3)),
        st.tuples(st.just("wait"), st.integers(1, 900), st.none()),
    ),
    max_size=30,
)


class _ReferenceCounts:
    """Reference model that adds up all counts at each read."""

    def __init__(self, clock: clock_lib.ManualClock) -> None:
        self.clock = clock
        self.own: collections.Counter[str] = collections.Counter()
        self.by_peer: dict[str, tuple[dict[str, int], datetime.timedelta]] = {}

    def sum_of(self, key: str) -> int:
        now = self.clock.monotonic()
        fresh = [c for c, at in self.by_peer.values() if now - at < MAX_AGE]
        return self.own[key] + sum(c.get(key, 0) for c in fresh)


@given(STEPS)
def test_sums_equal_those_of_the_reference_model(steps):
    clock = clock_lib.ManualClock()
    counts: fleet_counts.FleetCounts[str] = fleet_counts.FleetCounts(
        clock, max_age=MAX_AGE
    )
    expected = _ReferenceCounts(clock)
    for step, one, other in steps:
        if step == "peer":
            counts.set_peer_counts(one, other)
            expected.by_peer[one] = other, clock.monotonic()
        elif step == "add":
            counts.add(one, other)
            expected.own[one] += other
        else:
            clock.advance(datetime.timedelta(milliseconds=one))
        for key in "abc":
            assert counts.sum_of(key) == expected.sum_of(key)
        ab = expected.sum_of("a") + expected.sum_of("b")
        assert counts.sum_of_all("ab") == ab
        assert all(counts.sums().values())


def test_expired_counts_of_a_peer_are_not_returned_as_the_previous_ones():
    clock = clock_lib.ManualClock()
    counts: fleet_counts.FleetCounts[str] = fleet_counts.FleetCounts(
        clock, max_age=MAX_AGE
    )
    assert counts.set_peer_counts("x", {"a": 1}) is None
    assert counts.set_peer_counts("x", {"a": 2}) == {"a": 1}
    clock.advance(2 * MAX_AGE)
    assert counts.set_peer_counts("x", {"a": 3}) is None
