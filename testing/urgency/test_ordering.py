# SPDX-License-Identifier: Apache-2.0
"""Order of urgencies, and the numbers that engines are told."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from lugcross import urgency

PRIORITIES = st.integers(0, 20)
URGENCIES = st.builds(urgency.Urgency, PRIORITIES, PRIORITIES)


def _urgency(workspace: int | None, route: int) -> urgency.Urgency:
    return urgency.Urgency.of(
        workspace_priority=workspace, route_priority=route
    )


def test_equal_workspace_priorities_leave_routes_in_order():
    """One priority of all workspaces must not make their routes equal.

    Symptom: the most urgent route was served least, since the workspaces'
    priority replaced that of the routes.
    """
    assert _urgency(3, 0) < _urgency(3, 1) < _urgency(3, 2)


def test_workspace_priority_goes_before_that_of_the_route():
    assert _urgency(0, 9) < _urgency(1, 0)


def test_workspace_without_priority_counts_with_the_routes():
    assert _urgency(None, 1) < _urgency(2, 0)
    assert _urgency(1, 0) < _urgency(None, 1)
    assert _urgency(None, 1) == _urgency(1, 1)


@pytest.mark.parametrize("in_use", [[], [urgency.Urgency(0, 0)]], ids=len)
def test_one_urgency_gets_no_priority(in_use: list[urgency.Urgency]):
    assert urgency.request_priority(urgency.Urgency(0, 0), in_use) is None


def test_priorities_number_the_urgencies_in_use_up_to_nine():
    in_use = [urgency.Urgency(num // 4, num % 4) for num in range(12)]
    numbers = [urgency.request_priority(one, in_use) for one in in_use]
    assert numbers == [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 9, 9]


@given(st.sets(URGENCIES, min_size=2), URGENCIES, URGENCIES)
def test_more_urgent_requests_never_get_a_higher_number(some, one, other):
    in_use = sorted(some)
    one, other = sorted((one, other))
    first = urgency.request_priority(one, in_use)
    second = urgency.request_priority(other, in_use)
    assert first is not None and second is not None
    assert 0 <= first <= second <= 9
