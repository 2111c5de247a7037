# SPDX-License-Identifier: Apache-2.0
"""A few processes of each failure domain ask the store for all of it."""

import pytest

from lugcross.edge import store_readers


def _candidates_of_domain(
    count: int, *failing: int
) -> list[store_readers.ReaderCandidate]:
    return [
        store_readers.ReaderCandidate(f"i{num:02}", num not in failing, "d1")
        for num in range(count)
    ]


def _reading_incarnations(
    domain: list[store_readers.ReaderCandidate],
) -> list[str]:
    return [
        candidate.incarnation
        for candidate in domain
        if store_readers.reads_store(
            candidate, [one for one in domain if one is not candidate]
        )
    ]


@pytest.mark.parametrize(
    ("count", "reading"),
    [(1, ["i00"]), (2, ["i00", "i01"]), (11, ["i00", "i01"])],
    ids=["alone", "pair", "many"],
)
def test_two_processes_ask(count: int, reading: list[str]) -> None:
    assert _reading_incarnations(_candidates_of_domain(count)) == reading


def test_others_take_the_place_of_those_that_get_no_answer() -> None:
    reading = _reading_incarnations(_candidates_of_domain(5, 0, 1))
    assert reading == ["i00", "i01", "i02", "i03"]


def test_all_ask_where_nobody_gets_an_answer() -> None:
    assert (
        len(_reading_incarnations(_candidates_of_domain(4, 0, 1, 2, 3))) == 4
    )


def _candidates_in(*domains: int) -> list[store_readers.ReaderCandidate]:
    """Return processes that the store answers, in several domains."""
    return [
        store_readers.ReaderCandidate(
            f"i{num:02}-d{domain}", True, f"d{domain}"
        )
        for domain, count in enumerate(domains)
        for num in range(count)
    ]


@pytest.mark.parametrize(
    ("domains", "reading"),
    [
        ((3, 3), ["i00-d0", "i01-d0", "i00-d1", "i01-d1"]),
        ((3, 2, 1), ["i00-d0", "i00-d1", "i00-d2"]),
    ],
    ids=["two-domains", "three-domains"],
)
def test_one_process_of_each_of_many_domains_asks(
    domains: tuple[int, ...], reading: list[str]
) -> None:
    assert _reading_incarnations(_candidates_in(*domains)) == reading


def test_those_that_ask_are_ranked_over_all_domains() -> None:
    candidates = _candidates_in(2, 2, 2)
    ranks = {
        one.incarnation: store_readers.reader_index(
            one, [o for o in candidates if o is not one]
        )
        for one in candidates
        if one.incarnation in _reading_incarnations(candidates)
    }
    assert ranks == {"i00-d0": 0, "i00-d1": 1, "i00-d2": 2}


def test_first_that_asks_is_another_once_it_gets_no_answer() -> None:
    candidates = _candidates_in(2, 2, 2)
    candidates[0] = store_readers.ReaderCandidate("i00-d0", False, "d0")
    others = [one for one in candidates if one.incarnation != "i00-d1"]
    candidate = next(one for one in candidates if one.incarnation == "i00-d1")
    assert store_readers.reader_index(candidate, others) == 0
