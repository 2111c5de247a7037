# SPDX-License-Identifier: Apache-2.0
"""Journal of a process's decisions: typed records in a ring buffer."""

import collections
import enum
import threading
from typing import final
from typing import NamedTuple

from absl import logging
import msgspec

from lugcross import clock as clock_lib

#: Default number of decisions that a process keeps.
JOURNAL_CAPACITY = 2048


class DecisionTopic(enum.Enum):
    """Subject area of a decision.

    ``AVAILABILITY``: whether a backend server takes new work.
    ``LOG_RELAY``: whether an entry host reads the log for its failure domain.
    """

    CHOICE = "choice"
    REFUSAL = "refusal"
    RETRY = "retry"
    EJECTION = "ejection"
    LINK = "link"
    CONFIG = "config"
    AVAILABILITY = "life"
    LOG_RELAY = "duty"


class DecisionInput(NamedTuple):
    """A named value that a decision was based on."""

    name: str
    value: str


@final
class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """A decision with the rule and inputs that led to it.

    :param at: Unix time in seconds.
    :param node: name of the process that decided.
    :param subject: id of the request, backend server or change concerned.
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
    """Ring buffer of a process's latest decisions; thread-safe.

    :param node: name of this process.
    :param capacity: decisions kept; older ones are overwritten.
    :ivar overwritten: number of decisions overwritten so far.
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
        """Append a decision; log it as well if debug logging is on."""
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
        """Return the decisions kept about ``subject``, oldest first."""
        with self._lock:
            return [item for item in self._ring if item.subject == subject]
