# SPDX-License-Identifier: Apache-2.0
"""Followers of topics in the store, and the health of the store."""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
import random
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import drain_times
from lugcross.edge import long_poll
from lugcross import errors
from lugcross import platform
from lugcross import positions
from lugcross import topic_reads

#: Wait after a failed call; doubled after each further one.
_RETRY_INITIAL_S = 0.1
#: Longest wait after a failed call. It is well below the time within which a
#: change must be applied, so that the end of an outage is noticed early.
_RETRY_MAX_S = 1.0
#: Wait of a read that is to be answered at once, with or without new records.
_NO_WAIT = datetime.timedelta()
#: Time between two checks whether to resume or restart reading.
_CHECK_INTERVAL_S = 0.25


@final
class StoreHealth:
    """Outcome of this process's calls to the store.

    :ivar failure_reason: why the newest call failed; empty if it did not.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._last_failure: clock_lib.Instant | None = None
        self.failure_reason = ""

    @property
    def failing(self) -> bool:
        """Whether the newest call failed."""
        return bool(self.failure_reason)

    def record_failure(self, why: str) -> None:
        """Record a call that failed."""
        if not self.failure_reason:
            logging.warning("store unavailable", extra={"why": why})
        self.failure_reason = why
        self._last_failure = self._clock.monotonic()

    def record_success(self) -> None:
        """Record a call that the store answered."""
        if self.failure_reason:
            logging.info(
                "store available again", extra={"after": self.failure_reason}
            )
        self.failure_reason = ""

    def failed_within(self, period: datetime.timedelta) -> bool:
        """Return whether a call failed during the last ``period``."""
        if self._last_failure is None:
            return False
        return self._clock.monotonic() - self._last_failure < period


#: Called with the result of a read; the flag is true for a snapshot, which has
#: the newest record of every key, and false for the records since the last
#: read, as far as they fitted in one answer.
ReadHandler = Callable[[platform.ReadResult, bool], None]


@final
class TopicFollower:
    """Follows one topic of the store by long polling.

    :param min_interval: returns the shortest time between two reads.
    :param poll_wait: returns how long the next read may wait at the store for
        new records.
    :param should_restart_read: whether to abandon a read that still waits, and
        read on a new connection instead.
    :param on_caught_up: called after each read that reached the topic's end.
    :param should_pause_reading: whether to send no reads for now, because
        peers read the topic for this process.
    :param on_records_behind: called after each read with the number of records
        that the topic has beyond those read.
    """

    def __init__(
        self,
        store: platform.StoreClient,
        topic: str,
        on_read: ReadHandler,
        store_health: StoreHealth,
        *,
        clock: clock_lib.Clock,
        min_interval: Callable[[], datetime.timedelta],
        poll_wait: Callable[[], datetime.timedelta],
        should_restart_read: Callable[[], bool] = lambda: False,
        on_caught_up: Callable[[], None] = lambda: None,
        should_pause_reading: Callable[[], bool] = lambda: False,
        on_records_behind: Callable[[int], None] = lambda count: None,
    ) -> None:
        self._should_pause_reading = should_pause_reading
        self._store = store
        self._topic = topic
        self._on_read = on_read
        self._store_health = store_health
        self._min_interval = min_interval
        self._poll_wait = poll_wait
        self._should_restart_read = should_restart_read
        self._on_caught_up = on_caught_up
        self._on_records_behind = on_records_behind
        self._progress = topic_reads.ReadProgress()
        self._clock = clock
        #: When the last answer that reached the topic's end arrived.
        self._caught_up_at: clock_lib.Instant | None = None
        #: Whether the store may have kept the read waiting for a record.
        self._may_have_waited = False
        self._last_read_answered = True

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        retry_wait_s = _RETRY_INITIAL_S
        while True:
            if self._is_caught_up() and self._should_pause_reading():
                await asyncio.sleep(_CHECK_INTERVAL_S)
                continue
            try:
                listed = await self._read()
                self._last_read_answered = True
                self._store_health.record_success()
                if self._is_caught_up():
                    self._on_caught_up()
                    # A listing does not show that reads work.
                    if not listed:
                        retry_wait_s = _RETRY_INITIAL_S
                    await asyncio.sleep(self._min_interval().total_seconds())
            except errors.OffsetExpiredError:
                # The store no longer has the records since then, or has a
                # new era.
                self._progress.note_gap()
            except errors.RecordsWithheldError as exc:
                self._progress.note_gap()
                logging.error(
                    "store withholds records", extra={"why": str(exc)}
                )
                retry_wait_s = await _wait_to_retry(retry_wait_s)
            except errors.LogUnavailableError as exc:
                self._last_read_answered = False
                self._store_health.record_failure(str(exc))
                logging.info(
                    "store read failed",
                    extra={"topic": self._topic, "why": str(exc)},
                )
                retry_wait_s = await _wait_to_retry(retry_wait_s)

    def _is_caught_up(self) -> bool:
        return self._progress.step is topic_reads.ReadStep.FOLLOW

    async def _read(self) -> bool:
        """Do the next read; return whether it was a listing."""
        start = self._progress.position
        sent_at = self._clock.monotonic()
        self._may_have_waited = False
        if start is None:
            result = await self._store.read_newest(self._topic)
        else:
            result = await self._read_from(start)
        received_at = self._clock.monotonic()
        age = drain_times.max_record_age(
            last_answer_at=self._caught_up_at,
            sent_at=sent_at,
            received_at=received_at,
            may_have_waited=self._may_have_waited,
        )
        self._on_read(dataclasses.replace(result, max_age=age), start is None)
        if start is None:
            self._progress.note_listing(result.end)
        else:
            self._progress.note_records(
                result.end,
                count=len(result.records),
                records_left=result.records_left,
            )
        if self._is_caught_up():
            self._caught_up_at = received_at
        self._on_records_behind(self._progress.records_behind)
        return start is None

    async def _read_from(
        self, start: positions.Position
    ) -> platform.ReadResult:
        if not self._last_read_answered or not self._is_caught_up():
            # A long poll that is sent during an outage would hang past its
            # end and keep this process from newer state.
            return await self._store.read_from(
                self._topic, start, wait=_NO_WAIT
            )
        read = asyncio.create_task(
            self._store.read_from(
                self._topic,
                start,
                wait=self._poll_wait(),
                answer_timeout=long_poll.ANSWER_TIMEOUT,
            )
        )
        try:
            while not await self._wait_briefly_for(read):
                if (
                    self._should_restart_read()
                    or positions.era(start) < self._store.era
                ):
                    return await self._read_without_wait(start)
            self._may_have_waited = True
            return read.result()
        finally:
            read.cancel()

    async def _wait_briefly_for(
        self, read: asyncio.Task[platform.ReadResult]
    ) -> bool:
        """Wait for a read until the next check; return whether it ended."""
        done, _ = await asyncio.wait([read], timeout=_CHECK_INTERVAL_S)
        return bool(done)

    async def _read_without_wait(
        self, start: positions.Position
    ) -> platform.ReadResult:
        """Read on a new connection, without waiting for new records."""
        logging.info("store read restarted", extra={"topic": self._topic})
        self._store.close()
        return await self._store.read_from(self._topic, start, wait=_NO_WAIT)


async def _wait_to_retry(wait_s: float) -> float:
    """Wait before the next call; return the wait after a further failure."""
    # Jitter keeps the processes from retrying all at once.
    await asyncio.sleep(wait_s * random.uniform(0.5, 1.0))
    return min(2 * wait_s, _RETRY_MAX_S)
