# SPDX-License-Identifier: Apache-2.0
"""A few processes of each failure domain ask the store for all of it."""

import pytest

from lugcross.edge import readers


def _domain(count: int, *failing: int) -> list[readers.Reader]:
    return [
        readers.Reader(f"i{num:02}", num not in failing)
        for num in range(count)
    ]


def _asking(domain: list[readers.Reader]) -> list[str]:
    return [
        own.incarnation
        for own in domain
        if readers.asks(own, [one for one in domain if one is not own])
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
