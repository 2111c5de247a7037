# SPDX-License-Identifier: Apache-2.0
"""Fixtures shared by all tests, and the handling of known failures."""

import pathlib

import hypothesis
import pytest

from lugcross import clock

# The same examples on every run, so that results are reproducible.
hypothesis.settings.register_profile(
    "lugcross", derandomize=True, deadline=None, print_blob=False
)
hypothesis.settings.load_profile("lugcross")


@pytest.fixture
def manual_clock() -> clock.ManualClock:
    """A clock that only the test advances."""
    return clock.ManualClock()


#: Lists tests that fail because of a bug that is not fixed yet, one a line:
#: ``TEST: CAUSE (ISSUE)``.
_KNOWN_FAILURES_FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_SEPARATOR = ": "
_MAX_KNOWN_FAILURES = 3


def _known_failures() -> dict[str, str]:
    """Return the causes of the listed failures by test id."""
    if not _KNOWN_FAILURES_FILE.exists():
        return {}
    lines = _KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    listed = dict(line.split(_SEPARATOR, 1) for line in lines if line)
    assert len(listed) <= _MAX_KNOWN_FAILURES, (
        "too many known failures are listed; fix some"
    )
    return listed


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark listed tests as expected failures; an unexpected pass fails."""
    listed = _known_failures()
    for item in items:
        cause = listed.get(item.nodeid)
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))


def pytest_report_header() -> list[str]:
    """Print the ids of the listed tests."""
    return [f"known failure: {name}" for name in _known_failures()]
