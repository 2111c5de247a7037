# SPDX-License-Identifier: Apache-2.0
"""Each soak check reports a violation, and nothing that is allowed."""

import collections

import pytest
import soak_checks as checks

SAFE, UNSAFE, STREAM = checks.RequestKind


def _call(
    kind: checks.RequestKind = SAFE, **fields: object
) -> checks.CallResult:
    usual = {
        "name": "a",
        "kind": kind,
        "status": 200,
        "body": checks.expected_body(kind, "a"),
        "complete": True,
    }
    return checks.CallResult(**(usual | fields))


def _violations(call: checks.CallResult, *, ran: int = 1) -> list[str]:
    history = checks.History(
        calls=[call], run_counts=collections.Counter({"a": ran})
    )
    return history.violations()


@pytest.mark.parametrize(
    "kind", checks.RequestKind, ids=lambda kind: kind.value
)
def test_complete_answers_violate_nothing(kind: checks.RequestKind):
    assert _violations(_call(kind)) == []


@pytest.mark.parametrize(
    ("call", "ran", "message"),
    [
        (
            _call(body=checks.expected_body(SAFE, "b")),
            1,
            "not the complete answer",
        ),
        (_call(body=b""), 1, "not the complete answer"),
        (
            _call(STREAM, body=checks.stream_event("a", 2)),
            1,
            "not the complete answer",
        ),
        (
            _call(
                STREAM, body=checks.stream_event("a", 1) * 2, complete=False
            ),
            1,
            "partial body is not of its answer",
        ),
        (
            _call(UNSAFE, status=503, body=b""),
            1,
            "ran, but answered with 503",
        ),
        (
            _call(UNSAFE, status=429, body=b""),
            1,
            "ran, but answered with 429",
        ),
        (_call(UNSAFE), 2, "ran 2 times"),
        (
            _call(status=0, body=b"", complete=False, planned_stops_only=True),
            1,
            "truncated by a planned stop",
        ),
    ],
    ids=[
        "other-request",
        "empty",
        "missing-events",
        "repeated-event",
        "run-but-503",
        "run-but-429",
        "unsafe-run-twice",
        "truncated",
    ],
)
def test_broken_promise_is_reported(
    call: checks.CallResult, ran: int, message: str
):
    found = _violations(call, ran=ran)
    assert len(found) == 1
    assert message in found[0]


def _received_request(
    received_s: float, **fields: object
) -> checks.ReceivedRequest:
    usual: dict[str, object] = {
        "server": "i-0",
        "sender": "n0-1",
        "received_s": received_s,
    }
    return checks.ReceivedRequest(**(usual | fields))


@pytest.mark.parametrize(
    ("first", "later", "messages"),
    [
        (
            {"backoff_s": 2.0},
            [0.6, 0.7, 1.9],
            ["3 requests in its backoff"],
        ),
        ({"backoff_s": 2.0}, [0.1, 0.2, 0.3, 0.6, 1.9, 2.1], []),
        ({"leaving": True}, [2.1], ["after the grace for leaving"]),
        ({"leaving": True}, [0.1, 1.9], []),
        ({}, [0.6, 0.7, 0.8, 2.1], []),
    ],
    ids=[
        "in-backoff",
        "in-flight",
        "after-grace",
        "within-grace",
        "neither",
    ],
)
def test_requests_during_backoff_or_leaving_are_reported(
    first, later, messages
):
    received = [
        _received_request(0.0, **first),
        *map(_received_request, later),
    ]
    others = [
        _received_request(1.0, sender="n1-1"),
        _received_request(1.0, server="i-1"),
    ] * 3
    found = checks.History(received=received + others).violations()
    assert len(found) == len(messages)
    assert all(part in one for part, one in zip(messages, found, strict=True))


@pytest.mark.parametrize(
    ("count", "limit", "senders", "reported"),
    [
        pytest.param(18, 2.0, 1, True, id="one-sender"),
        pytest.param(18, 2.0, 3, True, id="three-senders"),
        pytest.param(17, 2.0, 3, False, id="just-allowed"),
        pytest.param(18, 2.5, 3, False, id="higher-limit"),
        pytest.param(6, 0.0, 1, True, id="limit-of-0"),
        pytest.param(18, None, 1, False, id="no-limit"),
    ],
)
def test_requests_beyond_a_limit_are_reported(count, limit, senders, reported):
    first = [
        _received_request(0.0, sender=f"n{num}-1", limit=limit)
        for num in range(senders)
    ]
    later = [
        _received_request(
            3.0 + num * 0.2, sender=f"n{num % senders}-1", limit=limit
        )
        for num in range(count)
    ]
    unaware = [
        _received_request(4.0, sender=f"n{num}-2", limit=limit)
        for num in range(9)
    ]
    history = checks.History(received=first + later + unaware)
    assert bool(history.violations()) is reported


@pytest.mark.parametrize(
    ("at_s", "domain", "reported"),
    [
        pytest.param(9.9, "d0", False, id="before"),
        pytest.param(14.9, "d0", False, id="within-the-bound"),
        pytest.param(15.1, "d0", True, id="after-the-bound"),
        pytest.param(15.1, "d1", False, id="other-domain"),
        pytest.param(20.1, "d0", False, id="withdrawn"),
    ],
)
def test_request_to_an_evacuated_domain_is_reported(at_s, domain, reported):
    history = checks.History(
        received=[_received_request(at_s, domain=domain)],
        evacuations=[checks.Evacuation("d0", 10.0, 20.0)],
    )
    assert bool(history.violations()) is reported


@pytest.mark.parametrize(
    ("call", "ran"),
    [
        (_call(SAFE, status=503, body=b""), 1),
        (_call(UNSAFE, status=503, body=b""), 0),
        (_call(UNSAFE, status=502, body=b""), 1),
        (_call(status=0, body=b"", complete=False), 1),
        (_call(STREAM, body=checks.stream_event("a", 1), complete=False), 1),
    ],
    ids=["safe-run", "not-run", "unknown", "unplanned", "visibly-truncated"],
)
def test_allowed_outcome_is_not_reported(call: checks.CallResult, ran: int):
    assert _violations(call, ran=ran) == []


def test_version_regression_within_a_run_is_reported():
    versions = [
        checks.AppliedVersion("n0-1", 1),
        checks.AppliedVersion("n0-1", 3),
        checks.AppliedVersion("n0-2", 2),
        checks.AppliedVersion("n0-1", 2),
    ]
    history = checks.History(versions=versions)
    assert history.violations() == ["n0-1: back to version 2"]
