# SPDX-License-Identifier: Apache-2.0
"""Decisions of weight, each a small typed record in a bounded ring."""

import collections
import enum
import threading
from typing import final
from typing import NamedTuple

from absl import logging
import msgspec

from lugcross import clock as clock_lib

#: Records that one process keeps.
JOURNAL_CAPACITY = 2048


class DecisionTopic(enum.Enum):
    """What a decision was about."""

    CHOICE = "choice"
    REFUSAL = "refusal"
    RETRY = "retry"
    EJECTION = "ejection"
    LINK = "link"
    CONFIG = "config"
    AVAILABILITY = "life"
    LOG_RELAY = "duty"


class DecisionInput(NamedTuple):
    """One thing that a decision went by."""

    name: str
    value: str


@final
class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """What was decided, on which inputs, by which rule.

    :param at: time of day, seconds since 1970.
    :param subject: request, backend server or change that it is about.
    """

    at: float
    node: str
    topic: DecisionTopic
    subject: str
    rule: str
    result: str
    inputs: tuple[DecisionInput, ...] = ()


@final
class DecisionJournal:
    """Ring of the newest decisions of one process.

    :param capacity: decisions kept; older ones are overwritten.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        node: str,
        *,
        capacity: int = JOURNAL_CAPACITY,
    ) -> None:
        self._clock = clock
        self._node = node
        self._ring: collections.deque[Decision] = collections.deque(
            maxlen=capacity
        )
        self._lock = threading.Lock()
        self.overwritten = 0

    def record(
        self,
        topic: DecisionTopic,
        subject: str,
        *,
        rule: str,
        result: str,
        inputs: tuple[DecisionInput, ...] = (),
    ) -> None:
        """Record one decision."""
        decision = Decision(
            at=self._clock.now().timestamp(),
            node=self._node,
            topic=topic,
            subject=subject,
            rule=rule,
            result=result,
            inputs=inputs,
        )
        with self._lock:
            if len(self._ring) == self._ring.maxlen:
                self.overwritten += 1
            self._ring.append(decision)
        if logging.level_debug():
            logging.debug(
                "decision", extra={"decision": msgspec.to_builtins(decision)}
            )

    def decisions_about(self, subject: str) -> list[Decision]:
        """Return what is still kept about ``subject``, oldest first."""
        with self._lock:
            return [item for item in self._ring if item.subject == subject]
