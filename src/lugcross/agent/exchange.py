# SPDX-License-Identifier: Apache-2.0
"""One request at an agent: its state, its answer, who waits for it."""

import dataclasses
import enum
from typing import final

from lugcross import clock as clock_lib
from lugcross import errors
from lugcross import ids
from lugcross import shares
from lugcross import wire


class State(enum.Enum):
    """Where a request stands at its agent."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@final
@dataclasses.dataclass(frozen=True)
class LinkId:
    """One link of this agent; a link that comes back is another one."""

    num: int


@final
@dataclasses.dataclass(kw_only=True)
class Subscriber:
    """An entry host's request that waits for an exchange's answer.

    :param cursor: number of the next event to send.
    :param credit: events that may be sent now.
    """

    link: LinkId
    id: ids.StreamId
    cursor: int
    credit: int
    started_sent: bool = False
    head_sent: bool = False


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """Why there will be no whole answer."""

    kind: errors.FailureKind
    outcome: errors.Outcome
    what: str
    remedy: str
    retry_after_ms: int = 0
    holder: ids.BackendName = ids.BackendName("")


@final
class Exchange:
    """One dispatched request and as much of its answer as is needed.

    :param deadline: when its caller gives up.
    """

    def __init__(
        self, dispatch: wire.Dispatch, deadline: clock_lib.Instant
    ) -> None:
        self.dispatch = dispatch
        self.deadline = deadline
        self.state = State.CLAIMING if dispatch.once_key else State.QUEUED
        self.dispatched = False
        self.heard_at: clock_lib.Instant | None = None
        self.ticket = shares.QueuedRequest(
            uid=dispatch.uid,
            group=dispatch.group,
            workspace=dispatch.workspace,
            cost=dispatch.cost,
        )
        self.subscribers: list[Subscriber] = []
        self.alone_since: clock_lib.Instant | None = None
        self.ended_at: clock_lib.Instant | None = None
        self.head: tuple[int, tuple[tuple[str, str], ...]] | None = None
        self.failure: Failure | None = None
        self._events: list[bytes] = []
        self._base = 0
        self.kept_bytes = 0

    @property
    def uid(self) -> str:
        """Id drawn by the entry host for this dispatch."""
        return self.dispatch.uid

    @property
    def once(self) -> bool:
        """Whether it must run at most once under its key."""
        return bool(self.dispatch.once_key)

    @property
    def ran(self) -> bool:
        """Whether it may have run, as far as this agent knows."""
        failure = self.failure
        if failure and failure.outcome is errors.Outcome.NOT_RUN:
            return False
        return self.dispatched

    @property
    def total(self) -> int:
        """Events of the answer so far."""
        return self._base + len(self._events)

    @property
    def unsent(self) -> int:
        """Events that the fastest subscriber still has to get."""
        cursors = [sub.cursor for sub in self.subscribers]
        return self.total - max(cursors, default=self._base)

    def add_events(self, events: tuple[bytes, ...]) -> None:
        """Append to the answer."""
        self._events.extend(events)
        self.kept_bytes += sum(map(len, events))

    def has(self, seq: int) -> bool:
        """Tell whether the answer can be sent from event ``seq`` on."""
        return self._base <= seq <= self.total

    def take(self, sub: Subscriber) -> tuple[bytes, ...]:
        """Return what ``sub`` may be sent now and move its cursor."""
        start = sub.cursor - self._base
        events = tuple(self._events[start : start + sub.credit])
        sub.cursor += len(events)
        sub.credit -= len(events)
        return events

    def drop_before(self, seq: int) -> None:
        """Free events that no subscriber needs again."""
        cut = min(seq, self.total) - self._base
        if cut <= 0:
            return
        self.kept_bytes -= sum(map(len, self._events[:cut]))
        del self._events[:cut]
        self._base += cut
