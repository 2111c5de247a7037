# SPDX-License-Identifier: Apache-2.0
"""Tests of the selection of store readers in each failure domain."""

import pytest

from lugcross.edge import store_readers


def _candidates_of_one_domain(
    count: int, *failing: int
) -> list[store_readers.ReaderCandidate]:
    """Return candidates; the store does not answer those in ``failing``."""
    return [
        store_readers.ReaderCandidate(f"i{num:02}", num not in failing, "d1")
        for num in range(count)
    ]


def _reading_incarnations(
    candidates: list[store_readers.ReaderCandidate],
) -> list[str]:
    return [
        candidate.incarnation
        for candidate in candidates
        if store_readers.reads_store(
            candidate, [peer for peer in candidates if peer is not candidate]
        )
    ]


@pytest.mark.parametrize(
    ("count", "reading"),
    [(1, ["i00"]), (2, ["i00", "i01"]), (11, ["i00", "i01"])],
    ids=["alone", "pair", "many"],
)
def test_two_processes_of_a_single_domain_read(
    count: int, reading: list[str]
) -> None:
    assert _reading_incarnations(_candidates_of_one_domain(count)) == reading


def test_others_are_selected_in_place_of_failing_readers() -> None:
    reading = _reading_incarnations(_candidates_of_one_domain(5, 0, 1))
    assert reading == ["i00", "i01", "i02", "i03"]


def test_all_processes_read_if_the_store_answers_none() -> None:
    assert (
        len(_reading_incarnations(_candidates_of_one_domain(4, 0, 1, 2, 3)))
        == 4
    )


def _candidates_in_domains(
    *domains: int,
) -> list[store_readers.ReaderCandidate]:
    """Return candidates that the store answers.

    :param domains: number of candidates in each failure domain.
    """
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
def test_number_of_readers_depends_on_the_number_of_domains(
    domains: tuple[int, ...], reading: list[str]
) -> None:
    assert _reading_incarnations(_candidates_in_domains(*domains)) == reading


def test_readers_are_numbered_over_all_domains() -> None:
    candidates = _candidates_in_domains(2, 2, 2)
    indexes = {
        candidate.incarnation: store_readers.reader_index(
            candidate, [peer for peer in candidates if peer is not candidate]
        )
        for candidate in candidates
        if candidate.incarnation in _reading_incarnations(candidates)
    }
    assert indexes == {"i00-d0": 0, "i00-d1": 1, "i00-d2": 2}


def test_next_reader_becomes_the_first_if_the_first_one_fails() -> None:
    candidates = _candidates_in_domains(2, 2, 2)
    candidates[0] = store_readers.ReaderCandidate("i00-d0", False, "d0")
    peers = [peer for peer in candidates if peer.incarnation != "i00-d1"]
    candidate = next(
        candidate
        for candidate in candidates
        if candidate.incarnation == "i00-d1"
    )
    assert store_readers.reader_index(candidate, peers) == 0
