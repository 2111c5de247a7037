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
MAX_UNREACHED = 4


class Event(enum.Enum):
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

    ``AGAIN``: send to another backend server.
    ``REFUSE``: tell the caller that it has not run.
    ``UNKNOWN``: tell the caller that it may have run.
    ``PASS_ON``: give the caller the failure as it came.
    ``CUT``: break the answer off, visibly.
    """

    AGAIN = "again"
    REFUSE = "refuse"
    UNKNOWN = "unknown"
    PASS_ON = "pass-on"
    CUT = "cut"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class State:
    """What is known of one request.

    :param repeatable: whether running it twice does no harm.
    :param attempts: backend servers that it may be sent to.
    :param sent: backend servers that it was sent to.
    :param unreached: connections that failed to come up.
    :param maybe_ran: whether an attempt may have run.
    :param begun: whether the caller has part of the answer.
    """

    repeatable: bool
    attempts: int
    sent: int = 0
    unreached: int = 0
    maybe_ran: bool = False
    begun: bool = False


def after(state: State, event: Event) -> State:
    """Return the state once an attempt has ended with ``event``."""
    if event is Event.UNREACHED:
        return dataclasses.replace(state, unreached=state.unreached + 1)
    return dataclasses.replace(
        state,
        sent=state.sent + 1,
        maybe_ran=state.maybe_ran or event is not Event.NOT_RUN,
    )


def may_send(state: State) -> bool:
    """Tell whether the request may go to one more backend server."""
    if state.sent >= state.attempts or state.unreached >= MAX_UNREACHED:
        return False
    return state.repeatable or not state.maybe_ran


def decide(state: State, event: Event, *, another: bool) -> Action:
    """Return what to do after ``event``; ``state`` includes it.

    :param another: whether a backend server and the budget are there.
    """
    if another and may_send(state):
        return Action.AGAIN
    return give_up(state, event)


def give_up(state: State, event: Event) -> Action:
    """Return what to tell the caller when there is no other attempt."""
    if state.begun:
        return Action.CUT
    if event is Event.FAILED:
        return Action.PASS_ON
    # A proof that the last attempt did not run proves nothing of an
    # earlier one, unless running it once more does no harm.
    if state.maybe_ran and not state.repeatable:
        return Action.UNKNOWN
    if event is Event.BROKEN:
        return Action.UNKNOWN
    return Action.REFUSE
