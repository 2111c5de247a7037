# SPDX-License-Identifier: Apache-2.0
"""Observations of a soak run, and the checks of the promises to callers."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum


class RequestKind(enum.Enum):
    """Kind of a request, which decides whether it may run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


#: Statuses by which the edge promises that the request was not run.
NOT_RUN_STATUSES = (429, 503)
OK = 200
REFUSED = 503
#: Requests that were sent before the sender read a server's backoff may still
#: arrive: any number for this long after the answer, and this many later.
IN_FLIGHT_GRACE_S = 0.5
MAX_IN_FLIGHT_REQUESTS = 2
#: Time after which a server that said it leaves must get no requests.
LEAVING_GRACE_S = 2.0
#: Time from a server's first statement of a limit until all processes go by
#: it, and time after which a process does that has read a response with it.
LIMIT_CONTACT_S = 3.0
LIMIT_READ_S = 0.5
#: Length of the intervals in which requests to a limited server are counted.
LIMIT_WINDOW_S = 4.0
#: In an interval a server may get this many times what its limit allows, and
#: so many requests besides.
LIMIT_FACTOR = 1.5
LIMIT_EXTRA_REQUESTS = 5
#: Time from a record of the operator until no process sends to the servers of
#: an evacuated domain any more.
EVACUATION_CONTACT_S = 5.0
EVENTS_PER_STREAM = 6


def expected_body(kind: RequestKind, name: str) -> bytes:
    """Return the complete body with which a backend server answers."""
    if kind is RequestKind.STREAM:
        return b"".join(
            stream_event(name, num) for num in range(1, EVENTS_PER_STREAM + 1)
        )
    return b"answer to " + name.encode()


def stream_event(name: str, num: int) -> bytes:
    """Return the bytes of one server-sent event."""
    return b"id: %d\ndata: %s %d\n\n" % (num, name.encode(), num)


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallResult:
    """One request as its caller saw it.

    :param status: HTTP status; 0 where no response head was read.
    :param complete: whether the body was read to its end.
    :param planned_stops_only: whether planned stops of edge processes were
        the only faults in the round.
    """

    name: str
    kind: RequestKind
    status: int = 0
    body: bytes = b""
    complete: bool = False
    planned_stops_only: bool = False


@dataclasses.dataclass(frozen=True)
class AppliedVersion:
    """A desired state version that one run of an edge process applied."""

    run: str
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReceivedRequest:
    """One request as its backend server received and answered it.

    :param sender: run of the edge process that sent it.
    :param received_s: time of the event loop, in seconds.
    :param backoff_s: backoff that the server asked for in its answer, or 0.
    :param leaving: whether the server was leaving, which its answers say
        unless they ask for a backoff.
    :param limit: requests a second from all processes that its answers state
        as its limit unless they ask for a backoff; None if they state none.
    :param domain: failure domain of the server.
    """

    server: str
    sender: str
    received_s: float
    backoff_s: float = 0.0
    leaving: bool = False
    limit: float | None = None
    domain: str = ""


@dataclasses.dataclass
class Evacuation:
    """An evacuation of a failure domain, in seconds of the event loop."""

    domain: str
    requested_s: float
    withdrawn_s: float = float("inf")


@dataclasses.dataclass
class History:
    """What callers, backend servers and the logs of edge processes recorded.

    :ivar run_counts: how often backend servers ran each request, by its name.
    :ivar errors: lines in the output of edge processes that are not log lines.
    """

    calls: list[CallResult] = dataclasses.field(default_factory=list)
    run_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    versions: list[AppliedVersion] = dataclasses.field(default_factory=list)
    errors: list[str] = dataclasses.field(default_factory=list)
    received: list[ReceivedRequest] = dataclasses.field(default_factory=list)
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)

    def violations(self) -> list[str]:
        """Return a message for each violation of a promise."""
        return [
            *self._wrong_bodies(),
            *self._wrong_partial_bodies(),
            *self._run_but_refused(),
            *self._unsafe_run_twice(),
            *self._cut_by_planned_stops(),
            *_version_regressions(self.versions),
            *self._sent_during_backoff(),
            *self._sent_to_leaving_servers(),
            *self._sent_beyond_limits(),
            *self._sent_to_evacuated_domains(),
            *self.errors,
        ]

    def _wrong_bodies(self) -> Iterable[str]:
        for call in self.calls:
            if call.status == OK and call.complete:
                if call.body != expected_body(call.kind, call.name):
                    yield f"{call.name}: body is not the complete answer to it"

    def _wrong_partial_bodies(self) -> Iterable[str]:
        for call in self.calls:
            if call.status == OK and not call.complete:
                if not expected_body(call.kind, call.name).startswith(
                    call.body
                ):
                    yield f"{call.name}: partial body is not of its answer"

    def _run_but_refused(self) -> Iterable[str]:
        for call in self.calls:
            if (
                call.kind is RequestKind.UNSAFE
                and call.status in NOT_RUN_STATUSES
            ):
                if self.run_counts[call.name]:
                    yield f"{call.name}: ran, but answered with {call.status}"

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
                yield f"{asked.server}: {len(late)} requests in its backoff"

    def _sent_to_leaving_servers(self) -> Iterable[str]:
        for first in self.received:
            if first.leaving and self._later_requests(first, LEAVING_GRACE_S):
                yield f"{first.server}: requests after the grace for leaving"

    def _sent_beyond_limits(self) -> Iterable[str]:
        """Yield the servers that got more than the limit that they state.

        A server states one limit for as long as it states any.
        """
        by_server: dict[str, list[ReceivedRequest]] = {}
        for one in self.received:
            if one.limit is not None:
                by_server.setdefault(one.server, []).append(one)
        for server, requests in by_server.items():
            most = most_limited_requests(requests)
            if most > allowed_requests(requests[0].limit or 0.0):
                yield f"{server}: {most} requests beyond its limit"

    def _sent_to_evacuated_domains(self) -> Iterable[str]:
        for evacuation in self.evacuations:
            since = evacuation.requested_s + EVACUATION_CONTACT_S
            for one in self.received:
                if (
                    one.domain == evacuation.domain
                    and since < one.received_s < evacuation.withdrawn_s
                ):
                    yield (
                        f"{one.server}: request of {one.sender}"
                        f" {one.received_s - evacuation.requested_s:.2f} s"
                        " after its domain was evacuated"
                    )

    def _later_requests(
        self, first: ReceivedRequest, delay_s: float
    ) -> list[ReceivedRequest]:
        """Return what this sender sent there more than ``delay_s`` later."""
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
                yield f"{call.name}: truncated by a planned stop"


def allowed_requests(limit: float) -> float:
    """Return how many requests a server may get in one interval.

    :param limit: requests a second that it states as its limit.
    """
    return LIMIT_FACTOR * limit * LIMIT_WINDOW_S + LIMIT_EXTRA_REQUESTS


def most_limited_requests(requests: Sequence[ReceivedRequest]) -> int:
    """Return the most requests that count against a limit in one interval.

    :param requests: what one server received since it first stated a limit,
        in order of time.
    """
    times = _counted_times(requests)
    return max(
        (
            sum(begin <= at < begin + LIMIT_WINDOW_S for at in times)
            for begin in times
        ),
        default=0,
    )


def _counted_times(requests: Sequence[ReceivedRequest]) -> list[float]:
    """Return when requests came whose senders had to go by the limit."""
    first_read: dict[str, float] = {}
    since = requests[0].received_s + LIMIT_CONTACT_S
    counted = []
    for one in requests:
        read = first_read.setdefault(one.sender, one.received_s)
        if one.received_s >= max(since, read + LIMIT_READ_S):
            counted.append(one.received_s)
    return counted


def _version_regressions(versions: Sequence[AppliedVersion]) -> Iterable[str]:
    newest_by_run: dict[str, int] = {}
    for one in versions:
        if one.number < newest_by_run.get(one.run, 0):
            yield f"{one.run}: back to version {one.number}"
        newest_by_run[one.run] = max(one.number, newest_by_run.get(one.run, 0))
