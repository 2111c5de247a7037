# SPDX-License-Identifier: Apache-2.0
"""A few processes of each failure domain ask the store for all of it."""

import pytest

from lugcross.edge import store_readers


def _domain(count: int, *failing: int) -> list[store_readers.ReaderCandidate]:
    return [
        store_readers.ReaderCandidate(f"i{num:02}", num not in failing, "d1")
        for num in range(count)
    ]


def _asking(domain: list[store_readers.ReaderCandidate]) -> list[str]:
    return [
        own.incarnation
        for own in domain
        if store_readers.reads_store(
            own, [one for one in domain if one is not own]
        )
    ]


@pytest.mark.parametrize(
    ("count", "asking"),
    [(1, ["i00"]), (2, ["i00", "i01"]), (11, ["i00", "i01"])],
    ids=["alone", "pair", "many"],
)
def test_two_processes_ask(count: int, asking: list[str]) -> None:
    assert _asking(_domain(count)) == asking


def test_others_take_the_place_of_those_that_get_no_answer() -> None:
    asking = _asking(_domain(5, 0, 1))
    assert asking == ["i00", "i01", "i02", "i03"]


def test_all_ask_where_nobody_gets_an_answer() -> None:
    assert len(_asking(_domain(4, 0, 1, 2, 3))) == 4


def _fleet(*domains: int) -> list[store_readers.ReaderCandidate]:
    """Return processes that the store answers, in several domains."""
    return [
        store_readers.ReaderCandidate(
            f"i{num:02}-d{domain}", True, f"d{domain}"
        )
        for domain, count in enumerate(domains)
        for num in range(count)
    ]


@pytest.mark.parametrize(
    ("domains", "asking"),
    [
        ((3, 3), ["i00-d0", "i01-d0", "i00-d1", "i01-d1"]),
        ((3, 2, 1), ["i00-d0", "i00-d1", "i00-d2"]),
    ],
    ids=["two-domains", "three-domains"],
)
def test_one_process_of_each_of_many_domains_asks(
    domains: tuple[int, ...], asking: list[str]
) -> None:
    assert _asking(_fleet(*domains)) == asking


def test_those_that_ask_are_ranked_over_all_domains() -> None:
    fleet = _fleet(2, 2, 2)
    ranks = {
        one.incarnation: store_readers.reader_position(
            one, [o for o in fleet if o is not one]
        )
        for one in fleet
        if one.incarnation in _asking(fleet)
    }
    assert ranks == {"i00-d0": 0, "i00-d1": 1, "i00-d2": 2}


def test_first_that_asks_is_another_once_it_gets_no_answer() -> None:
    fleet = _fleet(2, 2, 2)
    fleet[0] = store_readers.ReaderCandidate("i00-d0", False, "d0")
    others = [one for one in fleet if one.incarnation != "i00-d1"]
    own = next(one for one in fleet if one.incarnation == "i00-d1")
    assert store_readers.reader_position(own, others) == 0
