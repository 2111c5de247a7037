# SPDX-License-Identifier: Apache-2.0
"""Age of a record of the store when a process learns of it.

A leaving server gets no requests after the drain time, which runs from the
store's confirmation. Processes learn of it later: a reader pauses between two
reads, and its peers ask it from time to time. Each adds what it may be late,
so that all of them stop in time, whatever way a record takes.
"""

import dataclasses
import datetime
from typing import final

from lugcross import clock as clock_lib

#: Age of a record of which nothing is known; beyond all drain times.
UNKNOWN_AGE = datetime.timedelta(minutes=1)
#: Longest time from the store's confirmation until its answer arrives, while
#: the store is slow. A read that takes longer has waited for the record.
_MAX_ANSWER_TIME = datetime.timedelta(milliseconds=200)
_NO_AGE = datetime.timedelta()


@final
@dataclasses.dataclass(frozen=True)
class Confirmation:
    """How a process learned of a record.

    :param max_age: greatest time since the store took the record.
    :param store_was_away: whether an entry may be missing only because its
        server could not reach the store to renew it.
    """

    max_age: datetime.timedelta = _NO_AGE
    store_was_away: bool = False


def max_record_age(
    *,
    last_answer_at: clock_lib.Instant | None,
    sent_at: clock_lib.Instant,
    received_at: clock_lib.Instant,
    may_have_waited: bool,
) -> datetime.timedelta:
    """Return the greatest age of the records in an answer of the store.

    :param last_answer_at: when the answer before it arrived, which had none
        of them; None if there was none.
    :param may_have_waited: whether the store may have kept the read waiting
        until there was a record.
    """
    if may_have_waited and received_at - sent_at > _MAX_ANSWER_TIME:
        return _MAX_ANSWER_TIME
    if last_answer_at is None:
        return UNKNOWN_AGE
    return min(received_at - last_answer_at, UNKNOWN_AGE)


def relayed_confirmation(
    *,
    peers_age: datetime.timedelta | None,
    transfer_time: datetime.timedelta,
    peer_was_uncertain: bool,
    store_was_away: bool,
) -> Confirmation:
    """Return what a peer's answer says about a record.

    :param peers_age: greatest age when the peer answered; None if unknown.
    :param transfer_time: time since the peer was asked.
    :param peer_was_uncertain: whether the peer lost the store, so that the
        record may be missing only for that reason.
    :param store_was_away: whether this process lost the store.
    """
    age = UNKNOWN_AGE if peers_age is None else peers_age + transfer_time
    return Confirmation(
        min(age, UNKNOWN_AGE), peer_was_uncertain or store_was_away
    )
