# SPDX-License-Identifier: Apache-2.0
"""Sums that are kept equal those that are summed up anew each time."""

import collections
import datetime

from hypothesis import given
from hypothesis import strategies as st

from lugcross import clock as clock_lib
from lugcross.edge import fleet_counts

MAX_AGE = datetime.timedelta(seconds=1.5)
KEYS = st.sampled_from("abc")
COUNTS = st.dictionaries(KEYS, st.integers(1, 5))
#: A peer tells, this process adds, or time passes.
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("told"), st.sampled_from("xyz"), COUNTS),
        st.tuples(st.just("add"), KEYS, st.integers(1, 3)),
        st.tuples(st.just("wait"), st.integers(1, 900), st.none()),
    ),
    max_size=30,
)


class _Plain:
    """Keeps all that was told and sums it up when asked."""

    def __init__(self, clock: clock_lib.ManualClock) -> None:
        self.clock = clock
        self.own: collections.Counter[str] = collections.Counter()
        self.told: dict[str, tuple[dict[str, int], datetime.timedelta]] = {}

    def of(self, key: str) -> int:
        now = self.clock.monotonic()
        fresh = [c for c, at in self.told.values() if now - at < MAX_AGE]
        return self.own[key] + sum(c.get(key, 0) for c in fresh)


@given(STEPS)
def test_kept_sums_equal_those_made_anew(steps):
    clock = clock_lib.ManualClock()
    kept: fleet_counts.FleetCounts[str] = fleet_counts.FleetCounts(
        clock, max_age=MAX_AGE
    )
    plain = _Plain(clock)
    for what, one, other in steps:
        if what == "told":
            kept.set_peer_counts(one, other)
            plain.told[one] = other, clock.monotonic()
        elif what == "add":
            kept.add(one, other)
            plain.own[one] += other
        else:
            clock.advance(datetime.timedelta(milliseconds=one))
        for key in "abc":
            assert kept.sum_of(key) == plain.of(key)
        assert kept.sum_of_all("ab") == plain.of("a") + plain.of("b")
        assert all(kept.sums().values())


def test_what_a_peer_told_too_long_ago_is_not_told_as_before():
    clock = clock_lib.ManualClock()
    kept: fleet_counts.FleetCounts[str] = fleet_counts.FleetCounts(
        clock, max_age=MAX_AGE
    )
    assert kept.set_peer_counts("x", {"a": 1}) is None
    assert kept.set_peer_counts("x", {"a": 2}) == {"a": 1}
    clock.advance(2 * MAX_AGE)
    assert kept.set_peer_counts("x", {"a": 3}) is None
