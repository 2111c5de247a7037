# SPDX-License-Identifier: Apache-2.0
"""The page on the protocol's liberties names tests and switches that exist."""

import pathlib
import re

import pytest

TESTING = pathlib.Path(__file__).parent
ROOT = TESTING.parent
PAGE = ROOT / "docs" / "protocol-coverage.md"
_NAME = re.compile(r"`([A-Za-z_]\w*)`")


def _rows() -> list[tuple[str, str, str]]:
    rows = []
    for line in PAGE.read_text(encoding="utf-8").splitlines():
        cells = [one.strip() for one in line.strip("|").split("|")]
        if line.startswith("| ") and cells[0] not in ("liberty", "---"):
            rows.append((cells[0], cells[1], cells[2]))
    return rows


@pytest.fixture(scope="module")
def sources() -> str:
    """Return the text of all tests, test rigs and stand-ins."""
    paths = [
        *TESTING.rglob("*.py"),
        *(ROOT / "src" / "lugcross" / "standin").rglob("*.py"),
        ROOT / "src" / "lugcross" / "edge" / "connection_pool.py",
    ]
    return "\n".join(
        one.read_text(encoding="utf-8")
        for one in paths
        if one.name != pathlib.Path(__file__).name
    )


def test_page_has_rows_of_every_side():
    assert len(_rows()) > 50


@pytest.mark.parametrize("row", _rows(), ids=lambda row: row[0])
def test_names_of_a_row_exist(row, sources):
    _, switches, tests = row
    for name in _NAME.findall(tests):
        assert re.search(rf"def {name}\(", sources), name
    for name in _NAME.findall(switches):
        assert re.search(rf"\b{name}\b", sources), name
    # A switch that no test uses plays nothing.
    assert bool(switches) == bool(tests)
