# SPDX-License-Identifier: Apache-2.0
"""Follows the store: the desired state and the list of backend servers."""

import asyncio
from collections.abc import Callable
import datetime
import random
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross.edge import waiting
from lugcross import errors
from lugcross import platform
from lugcross import positions

#: Wait after a call that failed; twice as long after each further one.
_RETRY_FIRST_S = 0.1
#: Longest wait after a failed call: half of the shortest bound on news, so
#: that a store that is back is found in time.
_RETRY_MOST_S = 1.0
#: Of a read that asks whether the store answers at all.
_NO_WAIT = datetime.timedelta()
#: Time between two looks whether reading is needed again, in seconds.
_REST_S = 0.25


@final
class Trouble:
    """When the store last failed to answer this process."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._last: clock_lib.Instant | None = None
        self.why = ""

    @property
    def now(self) -> bool:
        """Whether the newest call failed."""
        return bool(self.why)

    def failed(self, why: str) -> None:
        """Note a call that failed."""
        if not self.why:
            logging.warning("store lost", extra={"why": why})
        self.why = why
        self._last = self._clock.monotonic()

    def worked(self) -> None:
        """Note a call that was answered."""
        if self.why:
            logging.info("store regained", extra={"after": self.why})
        self.why = ""

    def within(self, span: datetime.timedelta) -> bool:
        """Tell whether a call failed during the last ``span``."""
        if self._last is None:
            return False
        return self._clock.monotonic() - self._last < span


#: Takes over what was read; the flag tells that it is the newest of all
#: keys and not a continuation.
Taker = Callable[[platform.ReadResult, bool], None]


@final
class Follower:
    """Reads one topic again and again.

    :param gap: shortest time between two reads.
    :param wait: how long the next read waits for news at the store.
    :param is_due: whether a read that still waits should be made anew.
    :param answered: called with each answer.
    :param rests: whether peers tell the news, so that no read is needed.
    """

    def __init__(
        self,
        store: platform.StoreClient,
        topic: str,
        take: Taker,
        trouble: Trouble,
        *,
        gap: Callable[[], datetime.timedelta],
        wait: Callable[[], datetime.timedelta],
        is_due: Callable[[], bool] = lambda: False,
        answered: Callable[[], None] = lambda: None,
        rests: Callable[[], bool] = lambda: False,
    ) -> None:
        self._rests = rests
        self._store = store
        self._topic = topic
        self._take = take
        self._trouble = trouble
        self._gap = gap
        self._wait = wait
        self._is_due = is_due
        self._note_answer = answered
        self._next: positions.Position | None = None
        self._answered = True

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        retry = _RETRY_FIRST_S
        while True:
            if self._next is not None and self._rests():
                await asyncio.sleep(_REST_S)
                continue
            try:
                await self._read()
                self._answered = True
                self._note_answer()
                self._trouble.worked()
                retry = _RETRY_FIRST_S
                await asyncio.sleep(self._gap().total_seconds())
            except errors.OffsetExpiredError:
                # The history is gone; the newest of each key stays.
                self._next = None
            except errors.LogUnavailableError as exc:
                self._answered = False
                self._trouble.failed(str(exc))
                logging.info(
                    "read failed",
                    extra={"topic": self._topic, "why": str(exc)},
                )
                # Jitter keeps all processes from returning at once.
                await asyncio.sleep(retry * random.uniform(0.5, 1.0))
                retry = min(2 * retry, _RETRY_MOST_S)

    async def _read(self) -> None:
        if self._next is None:
            tail = await self._store.read_newest(self._topic)
            self._take(tail, True)
        else:
            tail = await self._tail(self._next)
            self._take(tail, False)
        self._next = max(tail.end, self._next or positions.START)

    async def _tail(self, start: positions.Position) -> platform.ReadResult:
        if not self._answered:
            # A read that waits for news and was sent into an outage would
            # hang past its end, and keep the process from what is new.
            return await self._store.read_from(
                self._topic, start, wait=_NO_WAIT
            )
        read = asyncio.create_task(
            self._store.read_from(
                self._topic, start, wait=self._wait(), answer=waiting.ANSWER
            )
        )
        try:
            while not await self._ends(read):
                if self._is_due() or positions.era(start) < self._store.era:
                    return await self._at_once(start)
            return read.result()
        finally:
            read.cancel()

    async def _ends(self, read: asyncio.Task[platform.ReadResult]) -> bool:
        """Wait for a read until the next look; tell whether it has ended."""
        done, _ = await asyncio.wait([read], timeout=_REST_S)
        return bool(done)

    async def _at_once(self, start: positions.Position) -> platform.ReadResult:
        """Read what is there now, on a new connection."""
        logging.info("read made anew", extra={"topic": self._topic})
        self._store.close()
        return await self._store.read_from(self._topic, start, wait=_NO_WAIT)
