# SPDX-License-Identifier: Apache-2.0
"""Times of the store's last answers to this process and to its peers.

Each process that reads a topic sends the age of its last answer in its
heartbeats. While any of them is answered every few seconds, the others know
that they miss nothing, and their long polls may wait longer.
"""

import datetime
from typing import final

from lugcross import clock as clock_lib


@final
class StoreAnswerTimes:
    """Times of the store's newest answers, by topic."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._own_answers: dict[str, clock_lib.Instant] = {}
        self._newest_answers: dict[str, clock_lib.Instant] = {}

    def record_answer(self, topic: str) -> None:
        """Record that the store has just answered this process."""
        now = self._clock.monotonic()
        self._own_answers[topic] = self._newest_answers[topic] = now

    def record_peer_answer(self, topic: str, age: datetime.timedelta) -> None:
        """Record that the store answered a peer ``age`` ago."""
        at = self._clock.monotonic() - age
        self._newest_answers[topic] = max(
            at, self._newest_answers.get(topic, at)
        )

    def own_answer_age(self, topic: str) -> datetime.timedelta | None:
        """Return the age of the last answer to this process, if any."""
        return self._age(self._own_answers, topic)

    def newest_answer_age(self, topic: str) -> datetime.timedelta | None:
        """Return the age of the last answer to any process, if known."""
        return self._age(self._newest_answers, topic)

    def _age(
        self, answers: dict[str, clock_lib.Instant], topic: str
    ) -> datetime.timedelta | None:
        at = answers.get(topic)
        return None if at is None else self._clock.monotonic() - at
