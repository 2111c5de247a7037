# SPDX-License-Identifier: Apache-2.0
"""Life of one request sent to backend servers directly, without I/O.

What may be sent again, and what may be told of an outcome, is decided
here; :mod:`lugcross.edge.request_handler` does the sending.
"""

import dataclasses
import enum
from typing import final

#: Connections that may fail to come up for one request. Nothing was sent,
#: so only the time spent counts; past this the fault is likely here.
MAX_FAILED_CONNECTIONS = 4


class AttemptOutcome(enum.Enum):
    """How an attempt ended without a whole answer.

    ``UNREACHED``: no connection, so that nothing was sent.
    ``NOT_RUN``: the backend server proves that it did not run.
    ``FAILED``: it ran and answered that it failed.
    ``BROKEN``: no proof either way.
    """

    UNREACHED = "unreached"
    NOT_RUN = "not-run"
    FAILED = "failed"
    BROKEN = "broken"


class Action(enum.Enum):
    """What to do next.

    ``RETRY``: send to another backend server.
    ``REFUSE``: tell the caller that it has not run.
    ``REPORT_UNKNOWN``: tell the caller that it may have run.
    ``RETURN_FAILURE``: give the caller the failure as it came.
    ``ABORT_ANSWER``: break the answer off, visibly.
    """

    RETRY = "again"
    REFUSE = "refuse"
    REPORT_UNKNOWN = "unknown"
    RETURN_FAILURE = "pass-on"
    ABORT_ANSWER = "cut"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestState:
    """What is known of one request.

    :param repeatable: whether running it twice does no harm.
    :param max_attempts: backend servers that it may be sent to.
    :param attempts_sent: backend servers that it was sent to.
    :param failed_connections: connections that failed to come up.
    :param may_have_run: whether an attempt may have run.
    :param answer_started: whether the caller has part of the answer.
    """

    repeatable: bool
    max_attempts: int
    attempts_sent: int = 0
    failed_connections: int = 0
    may_have_run: bool = False
    answer_started: bool = False


def state_after(state: RequestState, outcome: AttemptOutcome) -> RequestState:
    """Return the state once an attempt has ended with ``outcome``."""
    if outcome is AttemptOutcome.UNREACHED:
        return dataclasses.replace(
            state, failed_connections=state.failed_connections + 1
        )
    return dataclasses.replace(
        state,
        attempts_sent=state.attempts_sent + 1,
        may_have_run=state.may_have_run
        or outcome is not AttemptOutcome.NOT_RUN,
    )


def may_send(state: RequestState) -> bool:
    """Tell whether the request may go to one more backend server."""
    if (
        state.attempts_sent >= state.max_attempts
        or state.failed_connections >= MAX_FAILED_CONNECTIONS
    ):
        return False
    return state.repeatable or not state.may_have_run


def next_action(
    state: RequestState, outcome: AttemptOutcome, *, retry_available: bool
) -> Action:
    """Return what to do after ``outcome``; ``state`` includes it.

    :param retry_available: whether a backend server and the budget are there.
    """
    if retry_available and may_send(state):
        return Action.RETRY
    return final_action(state, outcome)


def final_action(state: RequestState, outcome: AttemptOutcome) -> Action:
    """Return what to tell the caller when there is no other attempt."""
    if state.answer_started:
        return Action.ABORT_ANSWER
    if outcome is AttemptOutcome.FAILED:
        return Action.RETURN_FAILURE
    # A proof that the last attempt did not run proves nothing of an
    # earlier one, unless running it once more does no harm.
    if state.may_have_run and not state.repeatable:
        return Action.REPORT_UNKNOWN
    if outcome is AttemptOutcome.BROKEN:
        return Action.REPORT_UNKNOWN
    return Action.REFUSE
