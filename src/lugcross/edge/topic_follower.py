# SPDX-License-Identifier: Apache-2.0
"""Follows the store: the desired state and the list of backend servers."""

import asyncio
from collections.abc import Callable
import datetime
import random
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross.edge import long_poll
from lugcross import errors
from lugcross import platform
from lugcross import positions

#: Wait after a call that failed; twice as long after each further one.
_RETRY_INITIAL_S = 0.1
#: Longest wait after a failed call: half of the shortest bound on news, so
#: that a store that is back is found in time.
_RETRY_MAX_S = 1.0
#: Of a read that asks whether the store answers at all.
_NO_WAIT = datetime.timedelta()
#: Time between two looks whether reading is needed again, in seconds.
_CHECK_INTERVAL_S = 0.25


@final
class StoreHealth:
    """When the store last failed to answer this process."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._last_failure: clock_lib.Instant | None = None
        self.failure_reason = ""

    @property
    def failing(self) -> bool:
        """Whether the newest call failed."""
        return bool(self.failure_reason)

    def record_failure(self, why: str) -> None:
        """Note a call that failed."""
        if not self.failure_reason:
            logging.warning("store lost", extra={"why": why})
        self.failure_reason = why
        self._last_failure = self._clock.monotonic()

    def record_success(self) -> None:
        """Note a call that was answered."""
        if self.failure_reason:
            logging.info(
                "store regained", extra={"after": self.failure_reason}
            )
        self.failure_reason = ""

    def failed_within(self, period: datetime.timedelta) -> bool:
        """Tell whether a call failed during the last ``period``."""
        if self._last_failure is None:
            return False
        return self._clock.monotonic() - self._last_failure < period


#: Takes over what was read; the flag tells that it is the newest of all
#: keys and not a continuation.
TailHandler = Callable[[platform.ReadResult, bool], None]


@final
class TopicFollower:
    """Reads one topic again and again.

    :param min_interval: shortest time between two reads.
    :param poll_wait: how long the next read waits for news at the store.
    :param is_restart_due: whether a read that still waits should be made
        anew.
    :param on_answer: called with each answer.
    :param is_idle: whether peers tell the news, so that no read is needed.
    """

    def __init__(
        self,
        store: platform.StoreClient,
        topic: str,
        on_tail: TailHandler,
        store_health: StoreHealth,
        *,
        min_interval: Callable[[], datetime.timedelta],
        poll_wait: Callable[[], datetime.timedelta],
        is_restart_due: Callable[[], bool] = lambda: False,
        on_answer: Callable[[], None] = lambda: None,
        is_idle: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_idle = is_idle
        self._store = store
        self._topic = topic
        self._on_tail = on_tail
        self._store_health = store_health
        self._min_interval = min_interval
        self._poll_wait = poll_wait
        self._is_restart_due = is_restart_due
        self._on_answer = on_answer
        self._next_position: positions.Position | None = None
        self._last_read_answered = True

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        retry = _RETRY_INITIAL_S
        while True:
            if self._next_position is not None and self._is_idle():
                await asyncio.sleep(_CHECK_INTERVAL_S)
                continue
            try:
                await self._read()
                self._last_read_answered = True
                self._on_answer()
                self._store_health.record_success()
                retry = _RETRY_INITIAL_S
                await asyncio.sleep(self._min_interval().total_seconds())
            except errors.OffsetExpiredError:
                # The history is gone; the newest of each key stays.
                self._next_position = None
            except errors.LogUnavailableError as exc:
                self._last_read_answered = False
                self._store_health.record_failure(str(exc))
                logging.info(
                    "read failed",
                    extra={"topic": self._topic, "why": str(exc)},
                )
                # Jitter keeps all processes from returning at once.
                await asyncio.sleep(retry * random.uniform(0.5, 1.0))
                retry = min(2 * retry, _RETRY_MAX_S)

    async def _read(self) -> None:
        if self._next_position is None:
            tail = await self._store.read_newest(self._topic)
            self._on_tail(tail, True)
        else:
            tail = await self._read_from(self._next_position)
            self._on_tail(tail, False)
        self._next_position = max(
            tail.end, self._next_position or positions.START
        )

    async def _read_from(
        self, start: positions.Position
    ) -> platform.ReadResult:
        if not self._last_read_answered:
            # A read that waits for news and was sent into an outage would
            # hang past its end, and keep the process from what is new.
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
            while not await self._wait_for_end(read):
                if (
                    self._is_restart_due()
                    or positions.era(start) < self._store.era
                ):
                    return await self._read_at_once(start)
            return read.result()
        finally:
            read.cancel()

    async def _wait_for_end(
        self, read: asyncio.Task[platform.ReadResult]
    ) -> bool:
        """Wait for a read until the next look; tell whether it has ended."""
        done, _ = await asyncio.wait([read], timeout=_CHECK_INTERVAL_S)
        return bool(done)

    async def _read_at_once(
        self, start: positions.Position
    ) -> platform.ReadResult:
        """Read what is there now, on a new connection."""
        logging.info("read made anew", extra={"topic": self._topic})
        self._store.close()
        return await self._store.read_from(self._topic, start, wait=_NO_WAIT)
