# SPDX-License-Identifier: Apache-2.0
"""Greatest age of a record of the store, read or told by a peer."""

import datetime

import pytest

from lugcross import drain_times

UNKNOWN = drain_times.UNKNOWN_AGE


def _s(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


@pytest.mark.parametrize(
    ("last", "sent", "received", "may_have_waited", "age"),
    [
        # The record may have come just after the last answer.
        pytest.param(10.0, 10.4, 10.41, True, 0.41, id="pause"),
        pytest.param(10.0, 10.4, 10.41, False, 0.41, id="pause-no-wait"),
        # The store kept the read until there was a record.
        pytest.param(10.0, 10.4, 12.0, True, 0.2, id="waited"),
        # Whatever came while the first read hung is in the second.
        pytest.param(10.0, 10.4, 12.0, False, 2.0, id="sent-again"),
        pytest.param(10.0, 300.0, 300.1, False, 60.0, id="at-most"),
        pytest.param(None, 0.0, 0.1, False, 60.0, id="first-read"),
    ],
)
def test_age_covers_the_time_since_the_last_answer(
    last, sent, received, may_have_waited, age
):
    found = drain_times.max_record_age(
        last_answer_at=None if last is None else _s(last),
        sent_at=_s(sent),
        received_at=_s(received),
        may_have_waited=may_have_waited,
    )
    assert found == _s(age)


@pytest.mark.parametrize(
    ("peers_age", "transfer", "age"),
    [(0.4, 0.1, 0.5), (59.9, 0.5, 60.0), (None, 0.0, 60.0)],
    ids=["added", "at-most", "unknown"],
)
def test_age_told_by_a_peer_includes_its_way(peers_age, transfer, age):
    found = drain_times.relayed_confirmation(
        peers_age=None if peers_age is None else _s(peers_age),
        transfer_time=_s(transfer),
        peer_was_uncertain=False,
        store_was_away=False,
    )
    assert found == drain_times.Confirmation(_s(age))


@pytest.mark.parametrize("peer", [False, True], ids=["", "peer-lost-store"])
@pytest.mark.parametrize("own", [False, True], ids=["", "lost-store"])
def test_removal_is_uncertain_if_either_process_lost_the_store(peer, own):
    found = drain_times.relayed_confirmation(
        peers_age=_s(0.0),
        transfer_time=_s(0.0),
        peer_was_uncertain=peer,
        store_was_away=own,
    )
    assert found.store_was_away == (peer or own)
