# SPDX-License-Identifier: Apache-2.0
"""How engines are asked and ordered, by the platform's published words."""

import asyncio
import dataclasses
import json

import edge_rig
from hypothesis import given
from hypothesis import strategies
import pytest

from lugcross import desired
from lugcross import experts
from lugcross import http1
from lugcross import platform

BACKEND = edge_rig.backend()
LIMITS = experts.ExpertLimits(
    layer_set_count=2,
    expert_count=3,
    max_experts_per_rank=2,
    max_new_experts_per_map=1,
    copy_s=0.1,
    expert_time_ratio=0.8,
)
REPORT = {
    "group": {"name": "g", "epoch": 2, "rank": 1, "state": "open"},
    "size": 8,
    "running": 3,
    "waiting": 1,
    "step": 46,
    "map": 5,
    "prepared": 6,
    "armed": {"version": 6, "step": 60},
    "held": 60,
}


class FakeTransport:
    """Answers every request alike and keeps what was asked."""

    def __init__(self, status: int, answer: object) -> None:
        self.status = status
        self.answer = answer
        self.asked: list[tuple[str, str, bytes]] = []

    async def exchange(
        self, backend: desired.Backend, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        assert backend == dataclasses.replace(
            BACKEND, started_at_ms=backend.started_at_ms
        )
        self.asked.append((method, target, body))
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.status, json.dumps(self.answer).encode()


def engine_client(
    answer: object, status: int = 200
) -> tuple[platform.EngineClient, FakeTransport]:
    transport = FakeTransport(status, answer)
    return platform.EngineClient(
        transport.exchange, transport.exchange
    ), transport


def test_report_is_decoded_into_what_its_fields_say():
    client, transport = engine_client(REPORT)
    report = asyncio.run(client.report(BACKEND))
    assert transport.asked == [("GET", "/report", b"")]
    assert report == experts.RankReport(
        group="g",
        rank_count=8,
        rank=experts.Rank(1),
        epoch=experts.Epoch(2),
        is_open=True,
        request_count=4,
        last_pass=experts.PassNumber(46),
        version_in_use=experts.MapVersion(5),
        prepared_version=experts.MapVersion(6),
        armed_order=experts.Arm(experts.MapVersion(6), experts.PassNumber(60)),
        held_pass=experts.PassNumber(60),
    )


def test_engine_without_a_group_has_no_report():
    client, _ = engine_client({"running": 1})
    assert asyncio.run(client.report(BACKEND)) is None


def test_group_that_is_not_open_is_broken():
    group = {**REPORT["group"], "state": "broken"}
    client, _ = engine_client({**REPORT, "group": group})
    report = asyncio.run(client.report(BACKEND))
    assert report is not None
    assert not report.is_open


def test_counts_are_split_into_sets():
    client, transport = engine_client(
        {"step": 9, "epoch": 1, "counts": [1, 2, 3, 4, 5, 6]}
    )
    counts = asyncio.run(client.counts(BACKEND, LIMITS))
    assert transport.asked == [("GET", "/picked", b"")]
    assert counts.uses_by_set == ((1, 2, 3), (4, 5, 6))


@pytest.mark.parametrize(
    "answer",
    [
        {"step": 9, "epoch": 1, "counts": [1, 2]},
        {"step": 9},
        http1.ConnectionBrokenError("cut", remedy=""),
        http1.NoConnectionError("none", remedy=""),
    ],
    ids=["short", "malformed", "cut", "unreached"],
)
def test_counts_that_cannot_be_had_are_an_error_that_says_so(answer: object):
    client, _ = engine_client(answer)
    with pytest.raises(platform.EngineQueryError, match="i-1"):
        asyncio.run(client.counts(BACKEND, LIMITS))


@pytest.mark.parametrize(
    ("pace", "slowness"),
    [(1.0, 1.0), (4.04, 4.04), (0.5, 1.0), (1e300, 100.0)],
    ids=["usual", "slow", "fast", "absurd"],
)
def test_rank_tells_how_slow_it_is(pace: float, slowness: float):
    client, _ = engine_client({**REPORT, "pace": pace})
    report = asyncio.run(client.report(BACKEND))
    assert report is not None
    assert report.slowness == slowness


@given(
    field=strategies.sampled_from([*sorted(REPORT), "pace", "born", "more"]),
    value=strategies.recursive(
        strategies.none()
        | strategies.integers()
        | strategies.floats(allow_nan=False, allow_infinity=False)
        | strategies.text(max_size=4),
        lambda inner: strategies.lists(inner, max_size=3),
        max_leaves=5,
    ),
)
def test_any_report_is_read_or_no_answer(field: str, value: object):
    client, _ = engine_client({**REPORT, field: value})
    try:
        report = asyncio.run(client.report(BACKEND))
    except platform.EngineQueryError:
        return
    assert report is None or 1.0 <= report.slowness <= 100.0


@pytest.mark.parametrize("told", [2000, 1000, None])
def test_answer_of_another_instance_is_an_error(told: int | None):
    """An engine that started again knows nothing of what it was told before.

    Its address may stay: without a look at its start a new life's counts
    would be taken off those of the old one.
    """
    backend = dataclasses.replace(BACKEND, started_at_ms=1000)
    answer = {"step": 9, "epoch": 1, "counts": [1, 2, 3, 4, 5, 6]}
    client, _ = engine_client(
        answer if told is None else {**answer, "born": told}
    )
    if told == 2000:
        with pytest.raises(platform.EngineQueryError, match="another life"):
            asyncio.run(client.counts(backend, LIMITS))
    else:
        assert asyncio.run(client.counts(backend, LIMITS)).last_pass == 9


def test_held_experts_are_those_of_the_map_in_use():
    client, transport = engine_client(
        {"epoch": 1, "map": {"version": 3, "experts": [[0, 2], [1]]}}
    )
    assert asyncio.run(client.held_experts(BACKEND)) == ((0, 2), (1,))
    assert transport.asked[0][1].startswith("/picked?lists")


MAP = experts.ExpertMap((((0, 1), (2,)), ((2,), (0, 1))))


@pytest.mark.parametrize(
    ("order", "body"),
    [
        (
            experts.Prepare(experts.MapVersion(7), MAP),
            {
                "operation": "prepare",
                "version": 7,
                "map": [[[0, 1], [2]], [[2], [0, 1]]],
            },
        ),
        (
            experts.Arm(experts.MapVersion(7), experts.PassNumber(9)),
            {"operation": "arm", "version": 7, "step": 9},
        ),
        (
            experts.Disarm(experts.MapVersion(7)),
            {"operation": "disarm", "version": 7},
        ),
        (
            experts.Hold(experts.PassNumber(9)),
            {"operation": "hold", "step": 9},
        ),
        (
            experts.Release(experts.PassNumber(9)),
            {"operation": "go", "step": 9},
        ),
    ],
    ids=["prepare", "arm", "disarm", "hold", "release"],
)
def test_order_names_its_epoch(order: experts.Order, body: dict[str, object]):
    client, transport = engine_client({})
    asyncio.run(client.order(BACKEND, order, experts.Epoch(4), None))
    method, target, sent = transport.asked[0]
    assert (method, target) == ("POST", "/order")
    assert json.loads(sent) == {**body, "epoch": 4}


def test_order_carries_the_number_of_the_lease():
    client, transport = engine_client({})
    order = experts.Hold(experts.PassNumber(1))
    number = experts.Generation(7)
    asyncio.run(client.order(BACKEND, order, experts.Epoch(4), number))
    assert json.loads(transport.asked[0][2])["fence"] == 7


@pytest.mark.parametrize(
    ("status", "answer", "verdict"),
    [
        (200, {}, experts.OrderResult.DONE),
        (202, {}, experts.OrderResult.DONE),
        (409, {}, experts.OrderResult.REFUSED),
        (412, {}, experts.OrderResult.FENCED),
        (503, {}, experts.OrderResult.UNKNOWN),
        (
            200,
            http1.ConnectionBrokenError("cut", remedy=""),
            experts.OrderResult.UNKNOWN,
        ),
        (
            200,
            http1.NoConnectionError("none", remedy=""),
            experts.OrderResult.UNKNOWN,
        ),
    ],
    ids=["holds", "begun", "conflict", "fenced", "away", "cut", "unreached"],
)
def test_answer_to_an_order_tells_what_became_of_it(
    status: int, answer: object, verdict: experts.OrderResult
):
    client, _ = engine_client(answer, status)
    order = experts.Hold(experts.PassNumber(1))
    found = asyncio.run(client.order(BACKEND, order, experts.Epoch(1), None))
    assert found is verdict
