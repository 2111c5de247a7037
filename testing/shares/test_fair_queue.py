# SPDX-License-Identifier: Apache-2.0
"""Fair queue: shares in tokens, whatever competing groups send."""

import hypothesis
from hypothesis import strategies as st
import pytest

from lugcross import ids
from lugcross import shares

WEIGHTS = {"x": 3.0, "y": 1.0, "z": 1.0}


def request(
    uid: object, group: str, cost: int = 10, workspace: str = "w"
) -> shares.QueuedRequest:
    return shares.QueuedRequest(
        uid=str(uid),
        group=ids.WorkspaceGroupName(group),
        workspace=ids.WorkspaceName(workspace),
        cost=cost,
    )


@pytest.fixture
def queue() -> shares.FairQueue:
    return shares.FairQueue(lambda group: WEIGHTS[group])


def served_cost(queue: shares.FairQueue, budget: int) -> dict[str, int]:
    got = dict.fromkeys(WEIGHTS, 0)
    while sum(got.values()) < budget:
        one = queue.pop()
        assert one is not None
        got[one.group] += one.cost
    return got


def test_group_with_longer_requests_gets_no_more_than_its_share(
    queue: shares.FairQueue,
) -> None:
    for num in range(400):
        queue.push(request(f"x{num}", "x", 10))
        queue.push(request(f"y{num}", "y", 100))
    got = served_cost(queue, 4000)
    assert got["x"] / got["y"] == pytest.approx(3.0, rel=0.1)


def test_many_workspaces_do_not_win_against_one(
    queue: shares.FairQueue,
) -> None:
    for num in range(200):
        queue.push(request(f"y{num}", "y", 10, workspace=f"w{num % 20}"))
        queue.push(request(f"z{num}", "z", 10))
    got = served_cost(queue, 2000)
    assert got["y"] == pytest.approx(got["z"], abs=20)


def test_workspaces_of_a_group_are_served_evenly(
    queue: shares.FairQueue,
) -> None:
    for num in range(90):
        queue.push(request(f"a{num}", "x", 10, workspace="loud"))
    for num in range(10):
        queue.push(request(f"b{num}", "x", 10, workspace="quiet"))
    first = [queue.pop() for _ in range(20)]
    quiet = [one for one in first if one and one.workspace == "quiet"]
    assert len(quiet) == 10


def test_group_gets_no_credit_for_its_idle_time(
    queue: shares.FairQueue,
) -> None:
    for num in range(100):
        queue.push(request(f"y{num}", "y", 10))
    served_cost(queue, 500)
    for num in range(100):
        queue.push(request(f"z{num}", "z", 10))
    got = served_cost(queue, 400)
    assert got["z"] == pytest.approx(got["y"], abs=20)


def test_work_that_took_more_than_estimated_is_charged(
    queue: shares.FairQueue,
) -> None:
    for num in range(300):
        queue.push(request(f"y{num}", "y", 10))
        queue.push(request(f"z{num}", "z", 10))
    used = {"y": 0, "z": 0}
    for _ in range(200):
        one = queue.pop()
        assert one is not None
        true = 40 if one.group == "y" else 10
        used[one.group] += true
        queue.correct_charge(one, true)
    assert used["y"] == pytest.approx(used["z"], rel=0.1)


OPS = st.lists(
    st.tuples(
        st.sampled_from(["push", "push", "pop", "remove"]),
        st.sampled_from(sorted(WEIGHTS)),
        st.integers(1, 50),
    ),
    max_size=60,
)


@hypothesis.given(OPS)
def test_queue_is_work_conserving_and_loses_nothing(
    ops: list[tuple[str, str, int]],
) -> None:
    queue = shares.FairQueue(lambda group: WEIGHTS[group])
    waiting: dict[str, shares.QueuedRequest] = {}
    for num, (op, group, cost) in enumerate(ops):
        if op == "push":
            waiting[str(num)] = request(num, group, cost)
            queue.push(waiting[str(num)])
        elif op == "pop":
            one = queue.pop()
            assert (one is None) == (not waiting)
            if one is not None:
                assert waiting.pop(one.uid) == one
        elif waiting:
            uid = next(iter(waiting))
            assert queue.remove(uid)
            del waiting[uid]
        assert len(queue) == len(waiting)
        assert queue.waiting_cost == sum(t.cost for t in waiting.values())


@hypothesis.given(
    st.lists(st.integers(1, 50), min_size=1, max_size=40),
    st.lists(st.integers(1, 50), min_size=1, max_size=40),
)
def test_backlogged_groups_stay_within_one_request_of_their_shares(
    xs: list[int], ys: list[int]
) -> None:
    queue = shares.FairQueue(lambda group: WEIGHTS[group])
    left = {"x": len(xs), "y": len(ys)}
    for name, costs in (("x", xs), ("y", ys)):
        for num, cost in enumerate(costs):
            queue.push(request(f"{name}{num}", name, cost))
    got = {"x": 0.0, "y": 0.0}
    bound = max(xs) / WEIGHTS["x"] + max(ys) / WEIGHTS["y"]
    while all(left.values()):
        one = queue.pop()
        assert one is not None
        left[one.group] -= 1
        got[one.group] += one.cost / WEIGHTS[one.group]
        # The fairness bound of start-time fair queueing.
        assert abs(got["x"] - got["y"]) <= bound
