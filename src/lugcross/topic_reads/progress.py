# SPDX-License-Identifier: Apache-2.0
"""Progress of the reads of one topic, and the choice of the next read.

The store limits the size of an answer, so that a read may end before the
topic does. A reader that is one answer behind reads on, which shows it every
record. One that is further behind gets the newest record of each key instead:
the size of that listing does not grow with the time missed, and a topic that
grows faster than it is read cannot keep the reader behind.
"""

import enum
from typing import final

from lugcross import positions


@final
class ReadStep(enum.Enum):
    """What the next read of a topic returns.

    :cvar LIST: the newest record of each key.
    :cvar CATCH_UP: the records that the last answer left out.
    :cvar FOLLOW: new records, once there are any.
    """

    LIST = enum.auto()
    CATCH_UP = enum.auto()
    FOLLOW = enum.auto()


@final
class ReadProgress:
    """Position up to which a topic has been read without a gap.

    :ivar position: position of the next record to read; None if the next read
        is a listing.
    :ivar records_behind: records after those read that the topic had when the
        store last answered.
    """

    def __init__(self) -> None:
        self.position: positions.Position | None = None
        self.records_behind = 0

    @property
    def step(self) -> ReadStep:
        """The read that comes next."""
        if self.position is None:
            return ReadStep.LIST
        return ReadStep.CATCH_UP if self.records_behind else ReadStep.FOLLOW

    def note_listing(self, end: positions.Position) -> None:
        """Record that a listing was read.

        :param end: end of the topic when the listing began.
        """
        self.position = end
        self.records_behind = 0

    def note_records(
        self, end: positions.Position, *, count: int, records_left: int
    ) -> None:
        """Record that records were read.

        :param end: position after the last of them.
        :param count: number of records read.
        :param records_left: number of further records that the topic had.
        """
        was_behind = bool(self.records_behind)
        self.records_behind = records_left
        if records_left > count or (records_left and was_behind):
            self.position = None
        else:
            self.position = max(end, self.position or positions.START)

    def note_gap(self) -> None:
        """Record that the store does not return the next records."""
        self.position = None
