# SPDX-License-Identifier: Apache-2.0
"""Capacity open to each urgency, alone and under the load it is for."""

import dataclasses
import datetime

from hypothesis import given
from hypothesis import strategies as st
import overload_simulator
import pytest

from lugcross import clock as clock_lib
from lugcross import urgency as urgency_lib

FIRST, SECOND, THIRD = overload_simulator.URGENCIES
TEN_SECONDS = datetime.timedelta(seconds=10)

#: Workspaces that all exceed their shares alike, of which some do, and none.
LOADS = {
    "even": overload_simulator.Load(factor=1.0, seconds=0),
    "uneven": overload_simulator.Load(
        factor=1.0, seconds=0, workspaces=(0.45, 0.25, 0.15, 0.1, 0.05)
    ),
    "no-keys": overload_simulator.Load(
        factor=1.0, seconds=0, has_api_keys=False
    ),
}


def _shares(
    *arrivals: int, clock: clock_lib.Clock | None = None
) -> urgency_lib.OverloadShares:
    """Return shares after so many admitted requests of each urgency."""
    found = urgency_lib.OverloadShares(clock or clock_lib.ManualClock())
    for urgency, count in zip(
        overload_simulator.URGENCIES, arrivals, strict=False
    ):
        for _ in range(count):
            found.record_arrival(urgency)
            found.record_admitted(urgency)
    return found


@pytest.mark.parametrize("load", [0.0, 0.9, 1.0, 2.0])
def test_whole_capacity_is_open_without_other_urgencies(load: float):
    assert _shares().capacity_fraction(THIRD, load) == 1.0
    assert _shares(0, 0, 5).capacity_fraction(THIRD, load) == 1.0
    assert _shares(0, 0, 5).capacity_fraction(FIRST, load) == 1.0


def test_reserve_follows_what_more_urgent_requests_ask_for():
    few, many = _shares(1, 0, 99), _shares(50, 0, 50)
    assert 0.99 < few.capacity_fraction(THIRD, 1.2) < 1.0
    assert many.capacity_fraction(THIRD, 1.2) < 0.96
    assert many.capacity_fraction(FIRST, 1.2) == 1.0


def test_reserve_grows_with_the_load_beyond_the_capacity():
    found = _shares(50, 0, 50)
    opened = [
        found.capacity_fraction(THIRD, load) for load in (0.5, 1.1, 1.2, 1.3)
    ]
    assert opened == sorted(opened, reverse=True)
    assert opened[0] > opened[-1]


def test_refused_requests_count_as_load():
    """A full service must count as overloaded when many are refused.

    Requests in progress never exceed the capacity by much, whatever is asked
    for.
    """
    found = _shares(50, 0, 50)
    before = found.capacity_fraction(THIRD, 1.0)
    for _ in range(100):
        found.record_arrival(FIRST)
    assert found.capacity_fraction(SECOND, 1.0) < before


def test_refused_urgency_earns_the_whole_capacity_once():
    """No urgency may be shut out while the overload lasts."""
    found = _shares(50, 0, 10)
    opened = 0
    for _ in range(40):
        found.record_arrival(FIRST)
        found.record_admitted(FIRST)
        found.record_arrival(THIRD)
        if found.capacity_fraction(THIRD, 1.0) == 1.0:
            found.record_admitted(THIRD)
            opened += 1
    # At 0.3 of the mean, which falls from 1 to about 0.65 meanwhile.
    assert 7 <= opened <= 12


def test_requests_long_ago_reserve_nothing():
    clock = clock_lib.ManualClock()
    found = _shares(50, 0, 50, clock=clock)
    for _ in range(12):
        clock.advance(TEN_SECONDS)
        found.record_arrival(THIRD)
    assert found.capacity_fraction(THIRD, 1.3) == 1.0


@given(
    st.lists(st.integers(0, 60), min_size=3, max_size=3),
    st.floats(0.0, 3.0),
)
def test_more_urgent_requests_find_at_least_as_much_open(arrivals, load):
    found = _shares(*arrivals)
    opened = [
        found.capacity_fraction(one, load)
        for one in overload_simulator.URGENCIES
    ]
    assert opened == sorted(opened, reverse=True)
    assert all(0.8 < one <= 1.0 for one in opened)


class _WithoutShares(overload_simulator.Policy):
    """Admission to which all urgencies are alike."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        super().__init__(clock)
        self.shares.capacity_fraction = lambda urgency, load: 1.0


def _run(
    kind: str, factor: float, seconds: float, seed: int, **kwargs
) -> overload_simulator.Overload:
    load = dataclasses.replace(LOADS[kind], factor=factor, seconds=seconds)
    return overload_simulator.Overload(load, seed, **kwargs).run()


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("seconds", [2, 4, 60])
@pytest.mark.parametrize("factor", [1.0, 1.3, 1.6])
@pytest.mark.parametrize("kind", LOADS)
def test_less_urgent_requests_are_refused_first_but_not_all(
    kind: str, factor: float, seconds: float, seed: int
):
    """More urgent requests are served first, and nobody is starved."""
    overload = _run(kind, factor, seconds, seed)
    served = overload.by_urgency()
    total = overload.served_ratio(lambda one: True)
    for more, less in zip(served, served[1:], strict=False):
        assert more >= less - 0.05
    assert min(served) >= 0.25 * total
    for space in range(len(overload.load.workspaces)):
        assert (
            overload.served_ratio(
                lambda one, space=space: one.workspace == space
            )
            >= 0.25 * total
        )
    assert overload.max_running < 1.1 * overload_simulator.CAPACITY


@pytest.mark.parametrize(("seconds", "seeds"), [(4, 6), (60, 1)])
@pytest.mark.parametrize("kind", LOADS)
def test_most_urgent_requests_are_served_at_a_bounded_cost(
    kind: str, seconds: float, seeds: int
):
    """Urgency must not cost many requests in all.

    Without shares the most urgent are served as often as the others.
    """
    served, alike = (
        [_run(kind, 1.6, seconds, seed, **kwargs) for seed in range(seeds)]
        for kwargs in ({}, {"policy": _WithoutShares})
    )

    def mean(
        runs: list[overload_simulator.Overload], num: int | None
    ) -> float:
        return sum(
            one.served_ratio(lambda r: num is None or r.urgency == num)
            for one in runs
        ) / len(runs)

    assert mean(served, 0) > mean(alike, 0) + 0.1
    assert mean(served, None) > mean(alike, None) - 0.06


@pytest.mark.parametrize("kind", LOADS)
def test_large_requests_are_served_as_often_as_their_kind(kind: str):
    overload = _run(kind, 1.3, 60, seed=3)
    for num, served in enumerate(overload.by_urgency()):
        large = overload.served_ratio(
            lambda one, num=num: one.large and one.urgency == num
        )
        assert large >= 0.8 * served


@pytest.mark.parametrize("factor", [1.3, 1.6])
@pytest.mark.parametrize(
    "own_urgency",
    [{}, {0: 0, 1: 2, 2: 2, 3: 2}, {0: 2, 1: 0, 2: 1, 3: 2}],
    ids=["mixed", "surge-urgent", "surge-not-urgent"],
)
def test_surge_of_one_workspace_does_not_take_the_others_shares(
    own_urgency: dict[int, int], factor: float
):
    """Shares of workspaces hold whatever is urgent.

    One workspace asks for far more than its share, the others for less than
    theirs.
    """
    load = overload_simulator.Load(
        factor=factor,
        seconds=15,
        workspaces=(0.7, 0.1, 0.1, 0.1),
        own_urgency=own_urgency,
    )
    overload = overload_simulator.Overload(load, 1).run()
    for space in (1, 2, 3):
        assert (
            overload.served_ratio(
                lambda one, space=space: one.workspace == space
            )
            > 0.95
        )
    total = overload.served_ratio(lambda one: True)
    assert overload.served_ratio(lambda one: one.workspace == 0) > 0.5 * total


def test_two_greedy_workspaces_get_similar_shares_whatever_is_urgent():
    load = overload_simulator.Load(
        factor=1.6,
        seconds=15,
        workspaces=(0.5, 0.5),
        own_urgency={0: 0, 1: 2},
    )
    overload = overload_simulator.Overload(load, 1).run()
    urgent, other = (
        overload.served_ratio(lambda one, space=space: one.workspace == space)
        for space in (0, 1)
    )
    assert 1.0 < urgent / other < 1.25
