# SPDX-License-Identifier: Apache-2.0
"""The engine client against responses of the platform's protocol."""

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


class _FakeTransport:
    """Gives every request the same response, or raises the same error.

    :ivar requests: method, target and body of each request.
    """

    def __init__(self, status: int, answer: object) -> None:
        self.status = status
        self.answer = answer
        self.requests: list[tuple[str, str, bytes]] = []

    async def exchange(
        self, backend: desired.Backend, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        assert backend == dataclasses.replace(
            BACKEND, started_at_ms=backend.started_at_ms
        )
        self.requests.append((method, target, body))
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.status, json.dumps(self.answer).encode()


def _make_client(
    answer: object, status: int = 200
) -> tuple[platform.EngineClient, _FakeTransport]:
    transport = _FakeTransport(status, answer)
    return platform.EngineClient(
        transport.exchange, transport.exchange
    ), transport


def test_report_is_decoded():
    client, transport = _make_client(REPORT)
    report = asyncio.run(client.report(BACKEND))
    assert transport.requests == [("GET", "/report", b"")]
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
    client, _ = _make_client({"running": 1})
    assert asyncio.run(client.report(BACKEND)) is None


def test_broken_group_is_not_open():
    group = {**REPORT["group"], "state": "broken"}
    client, _ = _make_client({**REPORT, "group": group})
    report = asyncio.run(client.report(BACKEND))
    assert report is not None
    assert not report.is_open


def test_counts_are_split_by_layer_set():
    client, transport = _make_client(
        {"step": 9, "epoch": 1, "counts": [1, 2, 3, 4, 5, 6]}
    )
    counts = asyncio.run(client.counts(BACKEND, LIMITS))
    assert transport.requests == [("GET", "/picked", b"")]
    assert counts.uses_by_set == ((1, 2, 3), (4, 5, 6))


@pytest.mark.parametrize(
    "answer",
    [
        {"step": 9, "epoch": 1, "counts": [1, 2]},
        {"step": 9},
        http1.ConnectionBrokenError("cut", remedy=""),
        http1.NoConnectionError("none", remedy=""),
    ],
    ids=["short", "malformed", "broken", "unreached"],
)
def test_failed_query_for_counts_names_the_backend_server(answer: object):
    client, _ = _make_client(answer)
    with pytest.raises(platform.EngineQueryError, match="i-1"):
        asyncio.run(client.counts(BACKEND, LIMITS))


@pytest.mark.parametrize(
    ("pace", "slowness"),
    [(1.0, 1.0), (4.04, 4.04), (0.5, 1.0), (1e300, 100.0)],
    ids=["usual", "slow", "fast", "too-large"],
)
def test_slowness_is_limited_to_its_range(pace: float, slowness: float):
    client, _ = _make_client({**REPORT, "pace": pace})
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
def test_any_report_is_decoded_or_refused(field: str, value: object):
    client, _ = _make_client({**REPORT, field: value})
    try:
        report = asyncio.run(client.report(BACKEND))
    except platform.EngineQueryError:
        return
    assert report is None or 1.0 <= report.slowness <= 100.0


@pytest.mark.parametrize("born", [2000, 1000, None])
def test_response_of_another_life_is_an_error(born: int | None):
    """A restarted engine has lost its counts, but may keep its address.

    If its start were not checked, counts of the new life would be compared
    with those of the old one.
    """
    backend = dataclasses.replace(BACKEND, started_at_ms=1000)
    answer = {"step": 9, "epoch": 1, "counts": [1, 2, 3, 4, 5, 6]}
    client, _ = _make_client(
        answer if born is None else {**answer, "born": born}
    )
    if born == 2000:
        with pytest.raises(platform.EngineQueryError, match="another life"):
            asyncio.run(client.counts(backend, LIMITS))
    else:
        assert asyncio.run(client.counts(backend, LIMITS)).last_pass == 9


def test_held_experts_are_decoded():
    client, transport = _make_client(
        {"epoch": 1, "map": {"version": 3, "experts": [[0, 2], [1]]}}
    )
    assert asyncio.run(client.held_experts(BACKEND)) == ((0, 2), (1,))
    assert transport.requests[0][1].startswith("/picked?lists")


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
def test_order_is_encoded_with_its_epoch(
    order: experts.Order, body: dict[str, object]
):
    client, transport = _make_client({})
    asyncio.run(client.order(BACKEND, order, experts.Epoch(4), None))
    method, target, sent = transport.requests[0]
    assert (method, target) == ("POST", "/order")
    assert json.loads(sent) == {**body, "epoch": 4}


def test_order_is_fenced_by_the_generation_of_the_lease():
    client, transport = _make_client({})
    order = experts.Hold(experts.PassNumber(1))
    generation = experts.Generation(7)
    asyncio.run(client.order(BACKEND, order, experts.Epoch(4), generation))
    assert json.loads(transport.requests[0][2])["fence"] == 7


@pytest.mark.parametrize(
    ("status", "answer", "expected"),
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
    ids=["done", "accepted", "conflict", "fenced", "unavailable", "broken"]
    + ["unreached"],
)
def test_response_to_an_order_gives_its_result(
    status: int, answer: object, expected: experts.OrderResult
):
    client, _ = _make_client(answer, status)
    order = experts.Hold(experts.PassNumber(1))
    result = asyncio.run(client.order(BACKEND, order, experts.Epoch(1), None))
    assert result is expected
