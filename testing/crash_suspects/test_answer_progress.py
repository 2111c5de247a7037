# SPDX-License-Identifier: Apache-2.0
"""Answers that have come so far that no prompt part crashes their server."""

import pytest

from lugcross import clock as clock_lib
from lugcross import crash_suspects


@pytest.mark.parametrize(
    ("times_s", "sound"),
    [
        pytest.param([], False, id="no-event"),
        pytest.param([1.0], False, id="one-event"),
        pytest.param([1.0, 1.1, 1.2, 1.3, 1.4], False, id="too-short"),
        pytest.param([1.0, 1.9, 2.8], False, id="slow-server"),
        pytest.param([1.0, 1.1, 1.2, 1.6], True, id="long-enough"),
    ],
)
def test_answer_is_sound_after_some_time_and_reads(times_s, sound):
    progress = crash_suspects.AnswerProgress()
    for one in times_s:
        progress.note_events(clock_lib.seconds(one))
    assert progress.is_sound is sound


def test_it_becomes_sound_once():
    progress = crash_suspects.AnswerProgress()
    news = [progress.note_events(clock_lib.seconds(num)) for num in range(6)]
    assert news == [False, False, False, True, False, False]
    assert progress.first_event_at == clock_lib.seconds(0)
