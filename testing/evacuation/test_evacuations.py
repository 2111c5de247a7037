# SPDX-License-Identifier: Apache-2.0
"""Which failure domains are evacuated, after records in any order.

Failure: nothing read the operator's evacuation records, and 1,554 requests
of one day went to backend servers of evacuated domains.
"""

from collections.abc import Callable
import datetime
import itertools

from hypothesis import given
from hypothesis import strategies
import pytest

from lugcross import clock as clock_lib
from lugcross import evacuation
from lugcross import ids
from lugcross import positions

D0 = ids.DomainName("d0")
D1 = ids.DomainName("d1")
SECOND = datetime.timedelta(seconds=1)
#: Longer than contradicting records of a new era are held back.
HOLD_OVER_S = 2.3


def _at(era: int, offset: int) -> positions.Position:
    return positions.position_of(positions.Era(era), ids.Offset(offset))


def _record(
    domain: str, era: int, offset: int, requested: bool
) -> evacuation.Record:
    return evacuation.Record(
        ids.DomainName(domain), _at(era, offset), requested
    )


def _on(era: int, offset: int, domain: str = "d0") -> evacuation.Record:
    return _record(domain, era, offset, True)


def _off(era: int, offset: int, domain: str = "d0") -> evacuation.Record:
    return _record(domain, era, offset, False)


Step = Callable[[evacuation.Evacuations, clock_lib.ManualClock], object]


def _log(record: evacuation.Record) -> Step:
    return lambda one, clock: one.apply(record)


def _listing(
    end: tuple[int, int], *records: evacuation.Record, unreadable: str = ""
) -> Step:
    names = {ids.DomainName(unreadable)} if unreadable else set()
    return lambda one, clock: one.apply_listing(
        records, _at(*end), unreadable=names
    )


def _peer(*records: evacuation.Record) -> Step:
    return lambda one, clock: one.merge(records)


def _era(era: int) -> Step:
    return lambda one, clock: one.note_era(positions.Era(era))


def _wait(seconds: float) -> Step:
    return lambda one, clock: clock.advance(seconds * SECOND)


CASES = {
    # One era: the newest position counts, from any source.
    "log": ([_log(_on(1, 5))], {D0}),
    "listing": ([_listing((1, 9), _on(1, 5))], {D0}),
    "peer": ([_peer(_on(1, 5))], {D0}),
    "withdrawn-in-log": ([_log(_on(1, 5)), _log(_off(1, 6))], set()),
    "withdrawn-at-peer": ([_log(_on(1, 5)), _peer(_off(1, 6))], set()),
    "withdrawn-before-known": ([_peer(_off(1, 6)), _peer(_on(1, 5))], set()),
    "absent-in-listing": ([_log(_on(1, 5)), _listing((1, 9))], set()),
    "newer-than-listing": ([_peer(_on(1, 9)), _listing((1, 9))], {D0}),
    "requested-after-listing": ([_listing((1, 9)), _log(_on(1, 9))], {D0}),
    "requested-before-listing": ([_listing((1, 9)), _peer(_on(1, 8))], set()),
    "withdrawn-and-requested-again": (
        [_log(_on(1, 5)), _log(_off(1, 6)), _log(_on(1, 7))],
        {D0},
    ),
    "requested-again-heard-first": (
        [_peer(_on(1, 7)), _log(_on(1, 5)), _log(_off(1, 6))],
        {D0},
    ),
    "malformed-in-listing": (
        [_log(_on(1, 5)), _listing((1, 9), unreadable="d0")],
        {D0},
    ),
    "malformed-in-listing-requested-at-peer": (
        [_listing((1, 9), unreadable="d0"), _peer(_on(1, 5))],
        {D0},
    ),
    "several-domains": ([_peer(_on(1, 5), _on(1, 6, "d1"))], {D0, D1}),
    "one-of-two-withdrawn": (
        [_peer(_on(1, 5), _on(1, 6, "d1")), _log(_off(1, 7, "d1"))],
        {D0},
    ),
    "without-eras": ([_log(_on(0, 0)), _listing((0, 2))], set()),
    # A new era: the first listing contradicts what is known.
    "lost-by-copy": ([_log(_on(1, 5)), _listing((2, 3))], {D0}),
    "lost-for-good": (
        [_log(_on(1, 5)), _listing((2, 3)), _wait(HOLD_OVER_S)],
        set(),
    ),
    "lost-by-empty-copy": (
        [_log(_on(1, 5)), _listing((2, 0)), _wait(HOLD_OVER_S)],
        set(),
    ),
    "first-record-after-empty-copy": (
        [
            _log(_on(1, 5)),
            _listing((2, 0)),
            _wait(HOLD_OVER_S),
            _log(_on(2, 0)),
        ],
        {D0},
    ),
    "written-again": (
        [
            _log(_on(1, 5)),
            _listing((2, 3)),
            _wait(1.9),
            _log(_on(2, 4)),
            _wait(HOLD_OVER_S),
        ],
        {D0},
    ),
    "written-again-told-by-peer": (
        [
            _log(_on(1, 5)),
            _listing((2, 3)),
            _peer(_on(2, 4)),
            _wait(HOLD_OVER_S),
        ],
        {D0},
    ),
    "withdrawal-lost-by-copy": (
        [_log(_on(1, 5)), _log(_off(1, 6)), _listing((2, 6), _on(2, 5))],
        set(),
    ),
    "withdrawal-lost-for-good": (
        [
            _log(_off(1, 6)),
            _listing((2, 6), _on(2, 5)),
            _wait(HOLD_OVER_S),
        ],
        {D0},
    ),
    "withdrawal-written-again": (
        [
            _log(_off(1, 6)),
            _listing((2, 6), _on(2, 5)),
            _log(_off(2, 6)),
            _wait(HOLD_OVER_S),
        ],
        set(),
    ),
    "changed-in-new-era": (
        [_log(_on(1, 5)), _listing((2, 6), _on(2, 5)), _log(_off(2, 6))],
        set(),
    ),
    "changed-after-listing-told-by-peer": (
        [_log(_off(1, 6)), _listing((2, 6), _on(2, 5)), _peer(_on(2, 7))],
        {D0},
    ),
    "second-listing-still-lacks-it": (
        [_log(_on(1, 5)), _listing((2, 3)), _listing((2, 4))],
        {D0},
    ),
    "record-after-first-listing-in-second": (
        [
            _log(_off(1, 6)),
            _listing((2, 6), _on(2, 5)),
            _listing((2, 9), _on(2, 7)),
        ],
        {D0},
    ),
    "unknown-domain-uses-listing": ([_listing((2, 3), _on(2, 2))], {D0}),
    "peer-started-after-restore": (
        [_log(_off(1, 6)), _peer(_on(2, 5))],
        set(),
    ),
    "peer-started-after-restore-later": (
        [_log(_off(1, 6)), _peer(_on(2, 5)), _wait(HOLD_OVER_S)],
        {D0},
    ),
    "era-known-for-long": (
        [_log(_off(1, 6)), _era(2), _wait(HOLD_OVER_S), _peer(_on(2, 5))],
        {D0},
    ),
    "start-after-restore-hears-of-lost-one": (
        [_listing((2, 3)), _peer(_on(1, 5))],
        {D0},
    ),
    "start-after-restore-lost-for-good": (
        [_listing((2, 3)), _peer(_on(1, 5)), _wait(HOLD_OVER_S)],
        set(),
    ),
    "report-of-old-era-much-later": (
        [_listing((2, 3)), _wait(HOLD_OVER_S), _peer(_on(1, 5))],
        set(),
    ),
    "restored-twice": (
        [
            _log(_on(1, 5)),
            _listing((2, 3)),
            _wait(1.5),
            _listing((3, 3)),
            _wait(1.5),
        ],
        {D0},
    ),
}


@pytest.mark.parametrize(("steps", "expected"), CASES.values(), ids=CASES)
def test_domains_after_steps(manual_clock, steps, expected):
    evacuations = evacuation.Evacuations(manual_clock)
    for step in steps:
        step(evacuations, manual_clock)
    assert evacuations.domains() == expected


def test_set_is_the_same_object_until_it_changes(manual_clock):
    # Failure: a new set for each call would end the cache of the selection.
    evacuations = evacuation.Evacuations(manual_clock)
    first = evacuations.domains()
    assert not evacuations.apply(_off(1, 1))
    assert evacuations.domains() is first
    assert evacuations.apply(_on(1, 2))
    second = evacuations.domains()
    assert second == {D0}
    assert not evacuations.merge([_on(1, 2), _on(1, 1)])
    assert not evacuations.apply_listing([_on(1, 2)], _at(1, 4))
    assert not evacuations.apply(_on(1, 5))
    assert evacuations.domains() is second
    assert evacuations.apply_listing([], _at(1, 9))
    assert evacuations.domains() == frozenset()


def test_a_listing_that_is_held_back_changes_the_set_once(manual_clock):
    evacuations = evacuation.Evacuations(manual_clock)
    changes = []
    evacuations.on_change = changes.append
    evacuations.apply(_on(1, 5))
    assert not evacuations.apply_listing([], _at(2, 3))
    held = evacuations.domains()
    manual_clock.advance(HOLD_OVER_S * SECOND)
    assert evacuations.domains() is not held
    assert evacuations.domains() is evacuations.domains()
    assert [(one.requested, one.position) for one in changes] == [
        (True, _at(1, 5)),
        (False, _at(2, 2)),
    ]


def test_an_outdated_report_is_not_logged_as_a_change(manual_clock):
    evacuations = evacuation.Evacuations(manual_clock)
    changes = []
    evacuations.on_change = changes.append
    evacuations.apply_listing([], _at(1, 9))
    assert not evacuations.merge([_on(1, 5)])
    assert not changes


def test_withdrawals_are_reported_for_a_while_and_evacuations_always(
    manual_clock,
):
    evacuations = evacuation.Evacuations(manual_clock)
    evacuations.apply(_on(1, 5))
    evacuations.apply(_on(1, 6, "d1"))
    evacuations.apply(_off(1, 7))
    assert evacuations.records_to_send() == [_off(1, 7), _on(1, 6, "d1")]
    manual_clock.advance(61 * SECOND)
    assert evacuations.records_to_send() == [_on(1, 6, "d1")]


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param([_log(_on(1, 5)), _log(_off(1, 7))], id="withdrawn"),
        pytest.param([_listing((1, 9))], id="absent-when-it-started"),
    ],
)
def test_a_peer_that_missed_a_withdrawal_is_told_again(manual_clock, steps):
    # Failure: a process that was frozen for minutes reads the store only if
    # it must; without a report it would keep the domain evacuated.
    evacuations = evacuation.Evacuations(manual_clock)
    for step in steps:
        step(evacuations, manual_clock)
    manual_clock.advance(600 * SECOND)
    assert evacuations.records_to_send() == []
    assert not evacuations.merge([_on(1, 5)])
    assert [one.requested for one in evacuations.records_to_send()] == [False]
    peer = evacuation.Evacuations(manual_clock)
    peer.apply(_on(1, 5))
    assert peer.merge(evacuations.records_to_send())
    assert peer.domains() == frozenset()


def test_heartbeats_carry_the_newest_32_records(manual_clock):
    evacuations = evacuation.Evacuations(manual_clock)
    for number in range(40):
        evacuations.apply(_on(1, number, f"d{number}"))
    sent = evacuations.records_to_send()
    assert [one.domain for one in sent] == [f"d{n}" for n in range(39, 7, -1)]
    assert len(evacuations.domains()) == 40


def test_withdrawn_domains_do_not_grow_without_bound(manual_clock):
    evacuations = evacuation.Evacuations(manual_clock)
    evacuations.apply(_on(1, 0, "evacuated"))
    for number in range(1000):
        evacuations.apply(_on(1, 2 * number + 1, f"d{number}"))
        evacuations.apply(_off(1, 2 * number + 2, f"d{number}"))
    kept = {one.domain for one in evacuations.records()}
    assert len(kept) <= 257
    assert {"evacuated", "d999"} <= kept


@given(
    requests=strategies.lists(strategies.booleans(), min_size=1, max_size=5),
    order=strategies.randoms(use_true_random=False),
)
def test_any_order_and_source_in_one_era_ends_with_the_newest(requests, order):
    clock = clock_lib.ManualClock()
    evacuations = evacuation.Evacuations(clock)
    records = [
        _record("d0", 1, offset, requested)
        for offset, requested in enumerate(requests)
    ]
    steps = [
        kind(record)
        for record, kind in itertools.product(records, (_log, _peer))
    ]
    order.shuffle(steps)
    for step in steps:
        step(evacuations, clock)
    assert evacuations.domains() == ({D0} if requests[-1] else set())


@given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["peer", "log", "listing", "wait"]),
            strategies.integers(1, 3),
            strategies.integers(0, 5),
            strategies.booleans(),
        ),
        max_size=12,
    )
)
def test_processes_with_any_history_agree_after_the_same_records(steps):
    """Two processes, one of which knows nothing, end in the same state."""
    clock = clock_lib.ManualClock()
    one = evacuation.Evacuations(clock)
    other = evacuation.Evacuations(clock)
    for kind, era, offset, requested in steps:
        record = _record("d0", era, offset, requested)
        if kind == "peer":
            _peer(record)(one, clock)
        elif kind == "log":
            _log(record)(one, clock)
        elif kind == "listing":
            listed = [record] if requested else []
            _listing((era, offset + 1), *listed)(one, clock)
        else:
            clock.advance(SECOND)
    last = _on(4, 3)
    for process in (one, other):
        process.apply_listing([last], _at(4, 4))
    clock.advance(HOLD_OVER_S * SECOND)
    for sender, receiver in ((one, other), (other, one)):
        receiver.merge(sender.records_to_send())
    assert one.domains() == other.domains() == {D0}
