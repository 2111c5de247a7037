# SPDX-License-Identifier: Apache-2.0
"""Fixtures that several test files share."""

import pathlib

import hypothesis
import pytest

from lugcross import clock

# The same examples on every run: a verdict must not depend on chance.
hypothesis.settings.register_profile(
    "lugcross", derandomize=True, deadline=None, print_blob=False
)
hypothesis.settings.load_profile("lugcross")


@pytest.fixture
def manual_clock() -> clock.ManualClock:
    """A clock that moves only when a test moves it."""
    return clock.ManualClock()


#: Tests that fail for a real fault that is not mended yet, one line each:
#: ``TEST: CAUSE (ISSUE)``.
_KNOWN_FAILURES_FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_SEPARATOR = ": "
_MAX_KNOWN_FAILURES = 3


def _known_failures() -> dict[str, str]:
    """Return the cause by the id of each listed test."""
    if not _KNOWN_FAILURES_FILE.exists():
        return {}
    lines = _KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    listed = dict(line.split(_SEPARATOR, 1) for line in lines if line)
    assert len(listed) <= _MAX_KNOWN_FAILURES, (
        "mend some: too many tests are red"
    )
    return listed


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Pass over just the listed tests; one that passes must be struck."""
    listed = _known_failures()
    for item in items:
        cause = listed.get(item.nodeid)
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))


def pytest_report_header() -> list[str]:
    """Print the listed tests at the head of each run."""
    return [f"known red: {name}" for name in _known_failures()]
