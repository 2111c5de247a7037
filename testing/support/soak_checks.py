# SPDX-License-Identifier: Apache-2.0
"""What callers and backend servers saw, and which promises it breaks."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum


class RequestKind(enum.Enum):
    """What may be done with a request."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


#: Statuses that promise that a request has not run.
NOT_RUN_STATUSES = (429, 503)
OK = 200
REFUSED = 503
#: What was on its way may still arrive this long after a server has asked for
#: rest, in seconds, and as many requests later.
IN_FLIGHT_GRACE_S = 0.5
MAX_IN_FLIGHT_REQUESTS = 2
#: Time after which a server that leaves must get nothing, in seconds.
LEAVING_GRACE_S = 2.0
#: Events of each stream.
EVENTS_PER_STREAM = 6


def expected_body(kind: RequestKind, name: str) -> bytes:
    """Return the whole answer that a backend server gives to a request."""
    if kind is RequestKind.STREAM:
        return b"".join(
            stream_event(name, num) for num in range(1, EVENTS_PER_STREAM + 1)
        )
    return b"answer to " + name.encode()


def stream_event(name: str, num: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: %s %d\n\n" % (num, name.encode(), num)


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallResult:
    """One request as its caller saw it.

    :param status: 0 where no answer began.
    :param whole: whether the answer had its end.
    :param planned: whether nothing but planned stops was under way.
    """

    name: str
    kind: RequestKind
    status: int = 0
    body: bytes = b""
    complete: bool = False
    planned_stops_only: bool = False


@dataclasses.dataclass(frozen=True)
class AppliedVersion:
    """A version that one life of a process put in force."""

    run: str
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReceivedRequest:
    """One request as its backend server saw it, and what that said.

    :param sender: life of the process that sent it.
    :param at: when it came, in seconds.
    :param rest_s: rest that the server asked for in its answer; 0 for none.
    :param leaves: whether its answer said that it leaves.
    """

    server: str
    sender: str
    received_s: float
    backoff_s: float = 0.0
    leaving: bool = False


@dataclasses.dataclass
class History:
    """All that was seen, by callers, backend servers and in logs."""

    calls: list[CallResult] = dataclasses.field(default_factory=list)
    run_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    versions: list[AppliedVersion] = dataclasses.field(default_factory=list)
    errors: list[str] = dataclasses.field(default_factory=list)
    received: list[ReceivedRequest] = dataclasses.field(default_factory=list)

    def violations(self) -> list[str]:
        """Return each promise that was broken, and by what."""
        return [
            *self._wrong_bodies(),
            *self._wrong_partial_bodies(),
            *self._run_but_refused(),
            *self._unsafe_run_twice(),
            *self._cut_by_planned_stops(),
            *_version_regressions(self.versions),
            *self._sent_during_backoff(),
            *self._sent_to_leaving_servers(),
            *self.errors,
        ]

    def _wrong_bodies(self) -> Iterable[str]:
        for call in self.calls:
            if call.status == OK and call.complete:
                if call.body != expected_body(call.kind, call.name):
                    yield f"{call.name}: not its own whole answer"

    def _wrong_partial_bodies(self) -> Iterable[str]:
        for call in self.calls:
            if call.status == OK and not call.complete:
                if not expected_body(call.kind, call.name).startswith(
                    call.body
                ):
                    yield f"{call.name}: a part that is not of its answer"

    def _run_but_refused(self) -> Iterable[str]:
        for call in self.calls:
            if (
                call.kind is RequestKind.UNSAFE
                and call.status in NOT_RUN_STATUSES
            ):
                if self.run_counts[call.name]:
                    yield f"{call.name}: ran, though {call.status} was told"

    def _unsafe_run_twice(self) -> Iterable[str]:
        for call in self.calls:
            if (
                call.kind is RequestKind.UNSAFE
                and self.run_counts[call.name] > 1
            ):
                yield f"{call.name}: ran {self.run_counts[call.name]} times"

    def _sent_during_backoff(self) -> Iterable[str]:
        for asked in self.received:
            end = asked.received_s + asked.backoff_s
            late = [
                one
                for one in self._later_requests(asked, IN_FLIGHT_GRACE_S)
                if one.received_s <= end
            ]
            if len(late) > MAX_IN_FLIGHT_REQUESTS:
                yield f"{asked.server}: {len(late)} requests in its rest"

    def _sent_to_leaving_servers(self) -> Iterable[str]:
        for told in self.received:
            if told.leaving and self._later_requests(told, LEAVING_GRACE_S):
                yield f"{told.server}: requests long after it said it leaves"

    def _later_requests(
        self, first: ReceivedRequest, delay_s: float
    ) -> list[ReceivedRequest]:
        """Return what the same sender sent later than that after a visit."""
        return [
            one
            for one in self.received
            if one.server == first.server
            and one.sender == first.sender
            and one.received_s > first.received_s + delay_s
        ]

    def _cut_by_planned_stops(self) -> Iterable[str]:
        for call in self.calls:
            if (
                call.planned_stops_only
                and self.run_counts[call.name]
                and not call.complete
            ):
                yield f"{call.name}: cut by a planned stop"


def _version_regressions(versions: Sequence[AppliedVersion]) -> Iterable[str]:
    newest_by_run: dict[str, int] = {}
    for one in versions:
        if one.number < newest_by_run.get(one.run, 0):
            yield f"{one.run}: back to version {one.number}"
        newest_by_run[one.run] = max(one.number, newest_by_run.get(one.run, 0))
