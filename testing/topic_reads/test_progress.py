# SPDX-License-Identifier: Apache-2.0
"""Progress of the reads of a topic whose answers are limited in size."""

import pytest

from lugcross import positions
from lugcross import topic_reads

STEP = topic_reads.ReadStep


def _position(offset: int) -> positions.Position:
    return positions.Position(offset)


@pytest.fixture
def progress() -> topic_reads.ReadProgress:
    """Return the progress of a reader that has listed a topic of 10."""
    found = topic_reads.ReadProgress()
    found.note_listing(_position(10))
    return found


def test_first_read_is_a_listing():
    assert topic_reads.ReadProgress().step is STEP.LIST


def test_reader_with_all_records_follows_from_the_end(progress):
    progress.note_records(_position(12), count=2, records_left=0)
    assert (progress.step, progress.position) == (STEP.FOLLOW, 12)


def test_reader_that_is_one_answer_behind_reads_on_from_the_last_record(
    progress,
):
    progress.note_records(_position(20), count=10, records_left=10)
    assert (progress.step, progress.position) == (STEP.CATCH_UP, 20)
    assert progress.records_behind == 10


@pytest.mark.parametrize(
    "answers",
    [
        pytest.param([(10, 11)], id="more-left-than-read"),
        pytest.param([(10, 4), (3, 1)], id="second-incomplete-answer"),
    ],
)
def test_reader_that_is_further_behind_lists_the_newest(progress, answers):
    end = 10
    for count, left in answers:
        end += count
        progress.note_records(_position(end), count=count, records_left=left)
    assert progress.step is STEP.LIST
    assert progress.records_behind == answers[-1][1]
    progress.note_listing(_position(40))
    assert (progress.step, progress.position) == (STEP.FOLLOW, 40)
    assert progress.records_behind == 0


def test_one_incomplete_answer_after_a_caught_up_read_is_read_on(progress):
    for end in (20, 30):
        progress.note_records(_position(end), count=5, records_left=5)
        progress.note_records(_position(end + 5), count=5, records_left=0)
    progress.note_records(_position(40), count=5, records_left=5)
    assert progress.step is STEP.CATCH_UP


@pytest.mark.parametrize("writes_per_read", [11, 50, 1000])
def test_topic_that_grows_faster_than_it_is_read_is_listed(writes_per_read):
    progress = topic_reads.ReadProgress()
    end, per_answer, listings = 10, 10, 0
    for _ in range(100):
        if progress.step is STEP.LIST:
            listings += 1
            progress.note_listing(_position(end))
        else:
            count = min(per_answer, end - progress.position)
            read_end = progress.position + count
            progress.note_records(
                _position(read_end), count=count, records_left=end - read_end
            )
        end += writes_per_read
        # Between two listings there are three reads at most.
        assert progress.position is None or end - progress.position <= (
            3 * writes_per_read
        )
    assert listings >= 25


def test_gap_is_bridged_by_a_listing_of_a_later_era(progress):
    progress.note_gap()
    assert progress.step is STEP.LIST
    end = positions.position_of(positions.Era(1), 3)
    progress.note_listing(end)
    assert (progress.step, progress.position) == (STEP.FOLLOW, end)
