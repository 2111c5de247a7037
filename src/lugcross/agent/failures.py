# SPDX-License-Identifier: Apache-2.0
"""Why an agent gives no whole answer, with the proof that it has."""

import dataclasses
from lugcross.agent import exchange as exchange_lib

from lugcross.agent import claims
from lugcross import errors


def failure(
    kind: errors.FailureKind,
    outcome: errors.Outcome,
    what: str,
    remedy: str,
    *,
    retry_after_ms: int = 0,
) -> exchange_lib.Failure:
    """Return why there will be no whole answer."""
    return exchange_lib.Failure(
        kind=kind,
        outcome=outcome,
        what=what,
        remedy=remedy,
        retry_after_ms=retry_after_ms,
    )


WRONG_INCARNATION = failure(
    errors.FailureKind.WRONG_INCARNATION,
    errors.Outcome.NOT_RUN,
    "the agent was restarted since the request was sent",
    "ask again; the request did not run",
)
USED_TWICE = failure(
    errors.FailureKind.LINK_LOST,
    errors.Outcome.UNKNOWN,
    "this dispatch arrived before",
    "ask again only if running it twice does no harm",
)
NEVER_ARRIVED = failure(
    errors.FailureKind.LINK_LOST,
    errors.Outcome.NOT_RUN,
    "the link was lost before the request arrived",
    "ask again; the request did not run",
)
FORGOTTEN = failure(
    errors.FailureKind.LINK_LOST,
    errors.Outcome.UNKNOWN,
    "the request arrived, and its answer is no longer kept",
    "ask again only if running it twice does no harm",
)
ANSWER_GONE = failure(
    errors.FailureKind.STREAM_BROKEN,
    errors.Outcome.RAN,
    "the rest of the answer is no longer kept",
    "ask again if running it twice does no harm",
)
KEY_REUSED = failure(
    errors.FailureKind.IDEMPOTENCY_KEY_REUSED,
    errors.Outcome.NOT_RUN,
    "the idempotency key was used with another request",
    "use a new key for a new request",
)
KEYS_FULL = failure(
    errors.FailureKind.IDEMPOTENCY_UNAVAILABLE,
    errors.Outcome.NOT_RUN,
    "no more idempotency keys can be remembered here",
    "ask again after the time in Retry-After",
    retry_after_ms=60_000,
)
RAN_BEFORE = failure(
    errors.FailureKind.IDEMPOTENCY_KEY_LOST,
    errors.Outcome.RAN,
    "the request of this idempotency key ran; its answer is not kept",
    "look up the effect at the service itself; do not send it again",
)
CANCELLED = failure(
    errors.FailureKind.CANCELLED,
    errors.Outcome.NOT_RUN,
    "it was cancelled before its turn came",
    "ask again if the answer is still wanted",
)
TOO_SLOW = failure(
    errors.FailureKind.DEADLINE_EXCEEDED,
    errors.Outcome.UNKNOWN,
    "the deadline passed while it ran",
    "ask again only if running it twice does no harm",
)
STOPPED = failure(
    errors.FailureKind.CANCELLED,
    errors.Outcome.UNKNOWN,
    "it was stopped while it ran",
    "ask again if the answer is still wanted",
)
ENGINE_BUSY = failure(
    errors.FailureKind.OVERLOADED,
    errors.Outcome.NOT_RUN,
    "the engine takes no more requests now",
    "ask again after the time in Retry-After",
    retry_after_ms=1000,
)
ENGINE_CLOSED = failure(
    errors.FailureKind.STREAM_BROKEN,
    errors.Outcome.RAN,
    "the engine closed the answer before its end",
    "ask again if running it twice does no harm",
)
TOO_LATE = failure(
    errors.FailureKind.DEADLINE_EXCEEDED,
    errors.Outcome.NOT_RUN,
    "the deadline passed while it waited for its turn",
    "ask again with more time or when there is less load",
)
HANDED_OVER = failure(
    errors.FailureKind.DRAINING,
    errors.Outcome.RAN,
    "the backend server stopped before the answer was whole",
    "ask again if running it twice does no harm",
)
NOT_STARTED = failure(
    errors.FailureKind.DRAINING,
    errors.Outcome.NOT_RUN,
    "the backend server stopped before its turn came",
    "ask again; another backend server will take it",
)
_KEY_ELSEWHERE = failure(
    errors.FailureKind.IDEMPOTENCY_KEY_ELSEWHERE,
    errors.Outcome.UNKNOWN,
    "another backend server has claimed the idempotency key",
    "ask again under the same key after the time in Retry-After",
    retry_after_ms=1000,
)
_KEY_BEFORE_RESTART = failure(
    errors.FailureKind.IDEMPOTENCY_KEY_LOST,
    errors.Outcome.UNKNOWN,
    "the agent that claimed the idempotency key was restarted",
    "look up the effect at the service itself; do not send it again",
)
_LOG_AWAY = failure(
    errors.FailureKind.IDEMPOTENCY_UNAVAILABLE,
    errors.Outcome.NOT_RUN,
    "the platform's log, which keeps idempotency keys, is away",
    "ask again under the same key after the time in Retry-After",
    retry_after_ms=5000,
)
_OF_VERDICT = {
    claims.Verdict.TAKEN: _KEY_ELSEWHERE,
    claims.Verdict.TAKEN_BEFORE_RESTART: _KEY_BEFORE_RESTART,
    claims.Verdict.OTHER_BODY: KEY_REUSED,
    claims.Verdict.LOG_AWAY: _LOG_AWAY,
}


def of_ruling(ruling: claims.Ruling) -> exchange_lib.Failure:
    """Return why a keyed request is not run here."""
    found = _OF_VERDICT[ruling.verdict]
    return dataclasses.replace(found, holder=ruling.holder)
