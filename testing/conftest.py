# SPDX-License-Identifier: Apache-2.0
"""Fixtures that several test files share."""

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
