# SPDX-License-Identifier: Apache-2.0
"""What speaks against a request: the servers that ended while they ran it.

Load pattern: a request comes again and again, at any process, and each server
that begins to run it ends. Whatever else ran there, up to a whole server's
requests, comes back with it and is innocent. Callers come back after a tenth
of a second to some seconds; servers are back after some seconds.

A server's end counts once for each request that it ran, whoever saw it, and
ends of copies that ran at once count as one: what many callers send is
everywhere when a whole fleet goes dark, and would be refused for good. A
request is refused once three servers have ended under it. Two are enough if
they tell it from all others: no other request was at both, both ended at
about the same point of its run, and no others ended then that did not run it.
Four are needed while servers end at large, whatever they run. A request that
ran to its end is cleared of all that was before.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import datetime
import enum
from typing import final

from lugcross import clock as clock_lib
from lugcross.crash_suspects import fingerprint

#: Ends that are enough. Each takes a server's other requests with it, and a
#: group of ranks the group's.
CRASHES_TO_REFUSE = 3
#: The same where the ends tell the request from all others.
MIN_CRASHES_TO_REFUSE = 2
#: The same where more servers have ended without it than with it. Of 900
#: requests, beside a crash a second among ten servers, one was at three ends
#: by chance.
CRASHES_TO_REFUSE_IN_OUTAGE = 4
#: Time around an end within which another server's end, without the request,
#: shows that servers end for other reasons too: a rack or a failure domain
#: that goes dark, servers that go down and up by turns. With 1 s, 4 of those
#: 900 requests were taken for the cause after two ends.
UNRELATED_CRASH_WINDOW = datetime.timedelta(seconds=10)
#: Part of its longer run that the shorter one must have lasted if a request
#: ended two servers: it ends each at the same point, later where that is
#: fuller, while whatever else runs there may be at any point.
MIN_RUN_TIME_RATIO = 0.5
#: Difference of two runs that says nothing: the ways there and back, and a
#: process that was busy when the connection broke.
RUN_TIME_TOLERANCE = datetime.timedelta(milliseconds=50)
#: How long what speaks against a request is kept. Its callers may try the
#: software anew then, at the price of two servers' ends each time.
SUSPICION_TTL = datetime.timedelta(minutes=10)
#: Requests that are kept; past it those with the least against them go.
#: A server runs 6 to 250 at once.
MAX_SUSPECTS = 512
#: Ends that are kept of one request: one more than decides.
MAX_CRASHES_KEPT = CRASHES_TO_REFUSE_IN_OUTAGE + 1


class SuspectStatus(enum.Enum):
    """How a request is to be treated.

    ``NOT_SUSPECT``: like any other.
    ``SUSPECT``: it may run, apart from other suspects.
    ``REFUSED``: it may not run.
    """

    NOT_SUSPECT = "free"
    SUSPECT = "suspect"
    REFUSED = "refused"


@final
@dataclasses.dataclass(frozen=True)
class ServerCrash:
    """The end of a server that was running a request.

    :param server: the one life of the server that ended.
    :param software: version of the service that the server ran.
    :param ran_for: from when the request was sent there.
    """

    server: str
    software: str
    crashed_at: clock_lib.Instant
    ran_for: datetime.timedelta


@final
@dataclasses.dataclass(frozen=True)
class SuspectRecord:
    """All that is known of one request.

    :param cleared_at: when it last ran to its end; ends before it say nothing.
    """

    request: fingerprint.Fingerprint
    crashes: tuple[ServerCrash, ...] = ()
    cleared_at: clock_lib.Instant | None = None

    @property
    def crashes_since_cleared(self) -> tuple[ServerCrash, ...]:
        """The ends that still speak against it."""
        if self.cleared_at is None:
            return self.crashes
        return tuple(
            one for one in self.crashes if one.crashed_at > self.cleared_at
        )

    @property
    def changed_at(self) -> clock_lib.Instant:
        """When the last of it happened."""
        times = [one.crashed_at for one in self.crashes]
        if self.cleared_at is not None:
            times.append(self.cleared_at)
        return max(times)

    def merged_with(self, other: "SuspectRecord") -> "SuspectRecord":
        """Return what both know; in any order and however often.

        A server's end is as old as whoever knows it longest says: a process
        that was suspended takes its own news for younger than they are.
        """
        crashes = {one.server: one for one in self.crashes}
        for one in other.crashes:
            known = crashes.get(one.server)
            if known is None or one.crashed_at < known.crashed_at:
                crashes[one.server] = one
        kept = sorted(
            crashes.values(), key=lambda one: (one.crashed_at, one.server)
        )
        cleared = [
            t for t in (self.cleared_at, other.cleared_at) if t is not None
        ]
        return SuspectRecord(
            self.request,
            tuple(kept[-MAX_CRASHES_KEPT:]),
            max(cleared, default=None),
        )


@final
class SuspectRegistry:
    """What this process knows of all requests that are or were suspect."""

    def __init__(self) -> None:
        self._records: dict[fingerprint.Fingerprint, SuspectRecord] = {}
        #: Servers that answered after somebody took them for ended, and
        #: when what they answered had been sent.
        self._answered_since: dict[str, clock_lib.Instant] = {}
        #: Servers that any record names; none while that must be looked up.
        self._crashed_servers_cache: frozenset[str] | None = None

    def __len__(self) -> int:
        return len(self._records)

    def records(self) -> list[SuspectRecord]:
        """Return all records, those first that changed last."""
        return list(reversed(self._records.values()))

    def find(self, request: fingerprint.Fingerprint) -> SuspectRecord | None:
        """Return what is known of a request, if anything is."""
        return self._records.get(request)

    def record_crash(
        self,
        request: fingerprint.Fingerprint,
        crash: ServerCrash,
        now: clock_lib.Instant,
    ) -> bool:
        """Note that a server has ended while it ran ``request``."""
        return self.merge(SuspectRecord(request, (crash,)), now)

    def record_completion(
        self, request: fingerprint.Fingerprint, now: clock_lib.Instant
    ) -> bool:
        """Note that a request ran to its end; tell whether that is news."""
        known = self._records.get(request)
        if known is None or not known.crashes_since_cleared:
            return False
        return self.merge(SuspectRecord(request, cleared_at=now), now)

    def merge(self, record: SuspectRecord, now: clock_lib.Instant) -> bool:
        """Take over what somebody knows; tell whether it was news."""
        crashes = tuple(
            one for one in record.crashes if not self._is_disproved(one)
        )
        record = dataclasses.replace(record, crashes=crashes)
        before = self._records.get(record.request)
        merged = record if before is None else before.merged_with(record)
        if merged == before:
            return False
        if not merged.crashes and merged.cleared_at is None:
            return False
        if merged.changed_at <= now - SUSPICION_TTL:
            return False
        self._records.pop(record.request, None)
        self._records[record.request] = merged
        if len(self._records) > MAX_SUSPECTS:
            self._drop_weakest()
        self._crashed_servers_cache = None
        return True

    def record_answer(self, server: str, since: clock_lib.Instant) -> None:
        """Note that a server has answered what was sent at ``since``.

        Whoever said that it had ended before was wrong: a connection may be
        refused for another reason, and news may be false.
        """
        if server not in self._crashed_servers():
            return
        self._answered_since[server] = since
        for request, record in list(self._records.items()):
            left = tuple(
                one for one in record.crashes if not self._is_disproved(one)
            )
            if left or record.cleared_at is not None:
                self._records[request] = dataclasses.replace(
                    record, crashes=left
                )
            else:
                del self._records[request]
        self._crashed_servers_cache = None

    def _crashed_servers(self) -> frozenset[str]:
        if self._crashed_servers_cache is None:
            self._crashed_servers_cache = frozenset(
                one.server
                for record in self._records.values()
                for one in record.crashes
            )
        return self._crashed_servers_cache

    def drop_expired(self, now: clock_lib.Instant) -> None:
        """Let lapse what is too old."""
        for request, record in list(self._records.items()):
            if record.changed_at <= now - SUSPICION_TTL:
                del self._records[request]
        for server, at in list(self._answered_since.items()):
            if at <= now - SUSPICION_TTL:
                del self._answered_since[server]
        self._crashed_servers_cache = None

    def suspects_sharing_crashes(
        self, request: fingerprint.Fingerprint
    ) -> list[fingerprint.Fingerprint]:
        """Return other suspects that were where this one was."""
        record = self._records.get(request)
        if record is None:
            return []
        servers = {one.server for one in record.crashes_since_cleared}
        return [
            other.request
            for other in self._records.values()
            if other.request != request
            and any(
                one.server in servers for one in other.crashes_since_cleared
            )
        ]

    def counted_crashes(
        self,
        request: fingerprint.Fingerprint,
        software: Collection[str],
        now: clock_lib.Instant,
    ) -> list[ServerCrash]:
        """Return the ends that speak against a request, one by one.

        :param software: versions that servers of its service run now; what
            another one has done says nothing of them.
        """
        record = self._records.get(request)
        if record is None:
            return []
        return _sequential_crashes(
            one
            for one in record.crashes_since_cleared
            if one.software in software
            and one.crashed_at > now - SUSPICION_TTL
        )

    def status(
        self,
        request: fingerprint.Fingerprint,
        software: Collection[str],
        now: clock_lib.Instant,
    ) -> SuspectStatus:
        """Return how a request is to be treated now."""
        crashes = self.counted_crashes(request, software, now)
        if not crashes:
            return SuspectStatus.NOT_SUSPECT
        if len(crashes) >= MIN_CRASHES_TO_REFUSE and len(
            crashes
        ) >= self._refusal_threshold(crashes):
            return SuspectStatus.REFUSED
        return SuspectStatus.SUSPECT

    def _refusal_threshold(self, crashes: Collection[ServerCrash]) -> int:
        """Return how many such ends are enough."""
        others = self._unrelated_crashed_servers(crashes)
        if (
            not others
            and len(crashes) == MIN_CRASHES_TO_REFUSE
            and self._is_only_explanation(crashes)
        ):
            return MIN_CRASHES_TO_REFUSE
        return (
            CRASHES_TO_REFUSE
            if len(others) <= len(crashes)
            else CRASHES_TO_REFUSE_IN_OUTAGE
        )

    def _unrelated_crashed_servers(
        self, crashes: Collection[ServerCrash]
    ) -> set[str]:
        """Return the servers that ended at about the time of ``crashes``.

        What was cleared since tells of a server's end all the same.
        """
        servers = {one.server for one in crashes}
        return {
            other.server
            for record in self._records.values()
            for other in record.crashes
            if other.server not in servers
            and any(
                abs(one.crashed_at - other.crashed_at) < UNRELATED_CRASH_WINDOW
                for one in crashes
            )
        }

    def _is_only_explanation(self, crashes: Collection[ServerCrash]) -> bool:
        """Tell whether only one request explains why servers ended."""
        shortest = min(one.ran_for for one in crashes)
        longest = max(one.ran_for for one in crashes)
        if (
            shortest < MIN_RUN_TIME_RATIO * longest
            and longest - shortest > RUN_TIME_TOLERANCE
        ):
            return False
        servers = {one.server for one in crashes}
        server_sets = (
            {one.server for one in record.crashes_since_cleared}
            for record in self._records.values()
        )
        return sum(servers <= found for found in server_sets) == 1

    def _is_disproved(self, crash: ServerCrash) -> bool:
        since = self._answered_since.get(crash.server)
        return since is not None and crash.crashed_at < since

    def _drop_weakest(self) -> None:
        least = min(
            self._records.values(),
            key=lambda record: (
                len(record.crashes_since_cleared),
                record.changed_at,
            ),
        )
        del self._records[least.request]


def _sequential_crashes(crashes: Iterable[ServerCrash]) -> list[ServerCrash]:
    """Return the ends of which each run began after the one before.

    Times are told by other processes, so that a run may seem to begin a
    moment before the end that it followed.
    """
    found: list[ServerCrash] = []
    for one in sorted(crashes, key=lambda crash: crash.crashed_at):
        if (
            not found
            or one.crashed_at - one.ran_for
            >= found[-1].crashed_at - RUN_TIME_TOLERANCE
        ):
            found.append(one)
    return found
