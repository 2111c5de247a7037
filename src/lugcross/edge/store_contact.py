# SPDX-License-Identifier: Apache-2.0
"""When the store last answered anyone of the fleet, as far as heard.

Each process that reads a topic tells how long ago it was answered. As long
as one of them is answered every few seconds, the others need not ask again
to know that they miss nothing: their reads may wait long.
"""

from typing import final

from lugcross import clock as clock_lib


@final
class StoreContact:
    """Moments of the newest answers about each topic."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._own_answers: dict[str, clock_lib.Instant] = {}
        self._newest_answers: dict[str, clock_lib.Instant] = {}

    def record_answer(self, topic: str) -> None:
        """Note that the store has answered this process."""
        now = self._clock.monotonic()
        self._own_answers[topic] = self._newest_answers[topic] = now

    def record_peer_answer(self, topic: str, age: clock_lib.Instant) -> None:
        """Take over how long ago a peer was answered."""
        at = self._clock.monotonic() - age
        self._newest_answers[topic] = max(
            at, self._newest_answers.get(topic, at)
        )

    def own_answer_age(self, topic: str) -> clock_lib.Instant | None:
        """Return how long ago this process was answered, if ever."""
        return self._age(self._own_answers, topic)

    def newest_answer_age(self, topic: str) -> clock_lib.Instant | None:
        """Return how long ago anyone was answered, if that is known."""
        return self._age(self._newest_answers, topic)

    def _age(
        self, moments: dict[str, clock_lib.Instant], topic: str
    ) -> clock_lib.Instant | None:
        at = moments.get(topic)
        return None if at is None else self._clock.monotonic() - at
