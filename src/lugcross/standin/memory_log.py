# SPDX-License-Identifier: Apache-2.0
"""In-process implementation of the platform's log, with faults, for tests."""

from typing import final

from lugcross import errors
from lugcross import ids
from lugcross import logservice


@final
class InMemoryLog:
    """Implementation of :class:`logservice.Log` that never waits.

    :ivar down: whether all appends and reads fail.
    :ivar lose_answers: number of next appends that take effect, but raise
        :class:`errors.AppendUnknownError`.
    :ivar append_count: number of records appended.
    :ivar read_waits_s: ``wait_s`` of each read.
    """

    def __init__(self) -> None:
        self.down = False
        self.lose_answers = 0
        self.append_count = 0
        self.read_waits_s: list[float] = []
        self._streams: dict[str, list[bytes]] = {}
        self._first_offsets: dict[str, int] = {}

    def append(self, stream: str, data: bytes) -> ids.Offset:
        """Append one record; return its offset.

        :raises errors.LogThrottledError: while the log is down.
        :raises errors.AppendUnknownError: while ``lose_answers`` is not 0.
        """
        if self.down:
            raise errors.LogThrottledError(
                "the log is down", remedy="try again"
            )
        records = self._streams.setdefault(stream, [])
        records.append(data)
        self.append_count += 1
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.AppendUnknownError(
                "response lost", remedy="read the log for the outcome"
            )
        return ids.Offset(len(records))

    def read(
        self, stream: str, start: ids.Offset, *, wait_s: float = 0.0
    ) -> logservice.ReadResult:
        """Return the records from ``start`` on, without waiting.

        :raises errors.LogUnavailableError: while the log is down.
        :raises errors.OffsetExpiredError: when the record at ``start`` has
            expired.
        """
        self.read_waits_s.append(wait_s)
        if self.down:
            raise errors.LogUnavailableError(
                "the log is down", remedy="try again"
            )
        first = self._first_offsets.get(stream, 1)
        if start < first:
            raise errors.OffsetExpiredError(
                f"offset {start} has expired", remedy="use a snapshot"
            )
        records = self._streams.get(stream, [])
        last = min(len(records), start - 1 + logservice.MAX_RECORDS_PER_READ)
        return logservice.ReadResult(
            first=ids.Offset(first),
            end=ids.Offset(len(records) + 1),
            records=[
                logservice.Record(ids.Offset(num + 1), records[num])
                for num in range(start - 1, last)
            ],
        )

    def expire(self, stream: str, *, before: int) -> None:
        """Expire the records of a stream before an offset."""
        end = len(self._streams.get(stream, [])) + 1
        self._first_offsets[stream] = min(before, end)
