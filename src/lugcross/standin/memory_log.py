# SPDX-License-Identifier: Apache-2.0
"""The platform's log in memory, with its faults, for focused tests."""

from typing import final

from lugcross import errors
from lugcross import ids
from lugcross import logservice


@final
class InMemoryLog:
    """Implements :class:`logservice.Log` without waiting or sockets.

    :ivar down: appends and reads fail; nothing is kept.
    :ivar lose_answers: next appends that are kept and look failed.
    :ivar read_waits_s: how long each read asked to wait for news, in seconds.
    """

    def __init__(self) -> None:
        self.down = False
        self.lose_answers = 0
        self.appends = 0
        self.read_waits_s: list[float] = []
        self._streams: dict[str, list[bytes]] = {}
        self._first: dict[str, int] = {}

    def append(self, stream: str, data: bytes) -> ids.Offset:
        """Append one record.

        :raises errors.LogThrottledError: while the log is down.
        :raises errors.AppendUnknownError: when the answer is lost.
        """
        if self.down:
            raise errors.LogThrottledError(
                "the log is down", remedy="try again"
            )
        records = self._streams.setdefault(stream, [])
        records.append(data)
        self.appends += 1
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.AppendUnknownError("lost answer", remedy="read on")
        return ids.Offset(len(records))

    def read(
        self, stream: str, start: ids.Offset, *, wait_s: float = 0.0
    ) -> logservice.ReadResult:
        """Return the records from ``start`` on.

        :raises errors.LogUnavailableError: while the log is down.
        :raises errors.OffsetExpiredError: when ``start`` is too old.
        """
        self.read_waits_s.append(wait_s)
        if self.down:
            raise errors.LogUnavailableError(
                "the log is down", remedy="try again"
            )
        first = self._first.get(stream, 1)
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
        """Let the records before an offset expire."""
        end = len(self._streams.get(stream, [])) + 1
        self._first[stream] = min(before, end)
