# SPDX-License-Identifier: Apache-2.0
"""Registry of requests suspected of crashing the servers that run them.

A request that crashes servers comes again and again, to any process, and
crashes each server that starts to run it. All other requests that ran there,
up to the capacity of a server, are lost too and are retried with it although
they are innocent. Callers retry after a tenth of a second to some seconds;
servers restart after some seconds.

For each request that a server was running when it crashed, the crash counts
once, no matter how many processes observed it. Crashes under copies that ran
at the same time count as one: a popular request is running everywhere when a
whole fleet goes down, and would otherwise be refused although it is innocent.

- A request is refused after three crashes. Two are not enough: where servers
  crash for other reasons, one request now and then runs at two of them in a
  row, and nothing distinguishes it from a cause.
- Two are enough if copies of it ran at three or more servers that crashed,
  each after the same run time, and no server crashed without it around then.
  Copies at several processes at once would otherwise crash a server more.
- Four are needed if, around the same time, more servers crashed without the
  request than with it.
- A request that completes is cleared of all earlier crashes.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import datetime
import enum
from typing import final

from lugcross import clock as clock_lib
from lugcross.crash_suspects import fingerprint

#: Crashes after which a request is refused, unless the next case applies. Each
#: crash also fails the other requests of the server, and of its whole rank
#: group if it belongs to one.
CRASHES_TO_REFUSE = 3
#: The same if at least :data:`CRASHES_TO_REFUSE` servers crashed under it,
#: some under copies at the same time, and all after the same run time.
CRASHES_TO_REFUSE_IF_COPIES_AGREE = 2
#: The same if around that time more servers crashed without the request than
#: with it: an innocent request may be running at three of them by chance.
CRASHES_TO_REFUSE_IF_MOST_UNRELATED = 4
#: Crashes from which on a process does not send a request to another server
#: itself. By the time its caller comes back, reports of other processes have
#: arrived, and the next attempt may be one too many.
CRASHES_TO_LEAVE_TO_CALLER = 2
#: Time before and after a crash within which the crash of a server that did
#: not run the request shows that servers also crash for other reasons: a rack
#: or failure domain that loses power, or servers that restart in turn.
UNRELATED_CRASH_WINDOW = datetime.timedelta(seconds=10)
#: Difference between two run times that is not significant, and time by which
#: a run may seem to begin before the crash that it followed: network latency,
#: and a process that was busy when the connection broke.
RUN_TIME_TOLERANCE = datetime.timedelta(milliseconds=50)
#: How long a crash counts against a request. After that its callers may try
#: it again, at the cost of at least two more crashes if nothing was fixed.
SUSPICION_TTL = datetime.timedelta(minutes=10)
#: Requests kept; beyond that, those with the fewest crashes are evicted. A
#: server runs 6 to 250 at once.
MAX_SUSPECTS = 512
#: Crashes kept per request: one more than can be needed for a decision.
MAX_CRASHES_KEPT = CRASHES_TO_REFUSE_IF_MOST_UNRELATED + 1


class SuspectStatus(enum.Enum):
    """How to treat a request.

    ``NOT_SUSPECT``: like any other request.
    ``SUSPECT``: it may run, on a different server than other suspects.
    ``REFUSED``: it must not run.
    """

    NOT_SUSPECT = "free"
    SUSPECT = "suspect"
    REFUSED = "refused"


@final
@dataclasses.dataclass(frozen=True)
class ServerCrash:
    """The crash of a server that was running a request.

    :param server: backend key, which differs for each life of a server.
    :param software: software version that the server was running.
    :param crashed_at: when the crash was observed.
    :param ran_for: time from when the request was sent to the crash.
    """

    server: str
    software: str
    crashed_at: clock_lib.Instant
    ran_for: datetime.timedelta


@final
@dataclasses.dataclass(frozen=True)
class SuspectRecord:
    """The crashes at which one request was running.

    :param crashes: all known crashes, also those before ``cleared_at``.
    :param cleared_at: when the request last completed; earlier crashes do not
        count against it.
    """

    request: fingerprint.Fingerprint
    crashes: tuple[ServerCrash, ...] = ()
    cleared_at: clock_lib.Instant | None = None

    @property
    def crashes_since_cleared(self) -> tuple[ServerCrash, ...]:
        """The crashes after the request last completed."""
        if self.cleared_at is None:
            return self.crashes
        return tuple(
            crash
            for crash in self.crashes
            if crash.crashed_at > self.cleared_at
        )

    @property
    def changed_at(self) -> clock_lib.Instant:
        """Time of the latest crash or completion."""
        times = [crash.crashed_at for crash in self.crashes]
        if self.cleared_at is not None:
            times.append(self.cleared_at)
        return max(times)

    def merged_with(self, other: "SuspectRecord") -> "SuspectRecord":
        """Return the union of both records.

        Merging is commutative and idempotent. Of two times for the crash of
        one server the earlier is kept: a process that was suspended dates
        what it observed too late.
        """
        crashes = {crash.server: crash for crash in self.crashes}
        for crash in other.crashes:
            known = crashes.get(crash.server)
            if known is None or crash.crashed_at < known.crashed_at:
                crashes[crash.server] = crash
        kept = sorted(
            crashes.values(),
            key=lambda crash: (crash.crashed_at, crash.server),
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
    """Crash records of all requests that this process knows of."""

    def __init__(self) -> None:
        self._records: dict[fingerprint.Fingerprint, SuspectRecord] = {}
        #: For servers that were reported as crashed but answered a request:
        #: when that request was sent. Crashes reported from before are wrong.
        self._answered_sent_at: dict[str, clock_lib.Instant] = {}
        #: Servers named in any record; None if it must be recomputed.
        self._crashed_servers_cache: frozenset[str] | None = None

    def __len__(self) -> int:
        return len(self._records)

    def records(self) -> list[SuspectRecord]:
        """Return all records, the most recently changed first."""
        return list(reversed(self._records.values()))

    def find(self, request: fingerprint.Fingerprint) -> SuspectRecord | None:
        """Return the record of a request, or None."""
        return self._records.get(request)

    def record_crash(
        self,
        request: fingerprint.Fingerprint,
        crash: ServerCrash,
        now: clock_lib.Instant,
    ) -> bool:
        """Record a crash while running a request; return whether it is new."""
        return self.merge(SuspectRecord(request, (crash,)), now)

    def record_completion(
        self, request: fingerprint.Fingerprint, now: clock_lib.Instant
    ) -> bool:
        """Clear a request that completed; return whether it was suspect."""
        known = self._records.get(request)
        if known is None or not known.crashes_since_cleared:
            return False
        return self.merge(SuspectRecord(request, cleared_at=now), now)

    def merge(self, record: SuspectRecord, now: clock_lib.Instant) -> bool:
        """Merge a record of a peer or the store; return whether it is new."""
        crashes = tuple(
            crash for crash in record.crashes if not self._is_disproved(crash)
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
            self._evict_least_suspect()
        self._crashed_servers_cache = None
        return True

    def record_answer(self, server: str, sent_at: clock_lib.Instant) -> None:
        """Record that a server has answered a request.

        Reports that it crashed before the request was sent were wrong, for
        example because a connection was refused for another reason, and are
        discarded.

        :param sent_at: when the answered request was sent.
        """
        if server not in self.crashed_servers():
            return
        self._answered_sent_at[server] = sent_at
        for request, record in list(self._records.items()):
            left = tuple(
                crash
                for crash in record.crashes
                if not self._is_disproved(crash)
            )
            if left or record.cleared_at is not None:
                self._records[request] = dataclasses.replace(
                    record, crashes=left
                )
            else:
                del self._records[request]
        self._crashed_servers_cache = None

    def crashed_servers(self) -> frozenset[str]:
        """Return the servers that crashed while they ran any known request.

        Returns the same object as long as nothing has changed.
        """
        if self._crashed_servers_cache is None:
            self._crashed_servers_cache = frozenset(
                crash.server
                for record in self._records.values()
                for crash in record.crashes
            )
        return self._crashed_servers_cache

    def drop_expired(self, now: clock_lib.Instant) -> None:
        """Drop records older than :data:`SUSPICION_TTL`."""
        for request, record in list(self._records.items()):
            if record.changed_at <= now - SUSPICION_TTL:
                del self._records[request]
        for server, at in list(self._answered_sent_at.items()):
            if at <= now - SUSPICION_TTL:
                del self._answered_sent_at[server]
        self._crashed_servers_cache = None

    def suspects_sharing_crashes(
        self, request: fingerprint.Fingerprint
    ) -> list[fingerprint.Fingerprint]:
        """Return the other suspects of any crash since it last completed."""
        record = self._records.get(request)
        if record is None:
            return []
        servers = {crash.server for crash in record.crashes_since_cleared}
        return [
            other.request
            for other in self._records.values()
            if other.request != request
            and any(
                crash.server in servers
                for crash in other.crashes_since_cleared
            )
        ]

    def counted_crashes(
        self,
        request: fingerprint.Fingerprint,
        software_versions: Collection[str],
        now: clock_lib.Instant,
    ) -> list[ServerCrash]:
        """Return the crashes that count against a request, oldest first.

        Crashes while copies ran concurrently are counted once.

        :param software_versions: versions that servers of its service run now;
            crashes of other versions do not count.
        """
        record = self._records.get(request)
        if record is None:
            return []
        return _sequential_crashes(
            _valid_crashes(record, software_versions, now)
        )

    def status(
        self,
        request: fingerprint.Fingerprint,
        software_versions: Collection[str],
        now: clock_lib.Instant,
    ) -> SuspectStatus:
        """Return how to treat a request now."""
        crashes = self.counted_crashes(request, software_versions, now)
        if not crashes:
            return SuspectStatus.NOT_SUSPECT
        if len(crashes) < CRASHES_TO_REFUSE_IF_COPIES_AGREE:
            return SuspectStatus.SUSPECT
        all_crashes = _valid_crashes(
            self._records[request], software_versions, now
        )
        if len(crashes) >= self._refusal_threshold(crashes, all_crashes):
            return SuspectStatus.REFUSED
        return SuspectStatus.SUSPECT

    def _refusal_threshold(
        self,
        crashes: Collection[ServerCrash],
        all_crashes: Collection[ServerCrash],
    ) -> int:
        """Return the number of crashes after which to refuse a request.

        :param crashes: the crashes that count.
        :param all_crashes: the same with those under copies that ran at the
            same time.
        """
        others = self._unrelated_crashed_servers(all_crashes)
        run_times = [crash.ran_for for crash in all_crashes]
        if (
            not others
            and len(all_crashes) >= CRASHES_TO_REFUSE
            and max(run_times) - min(run_times) <= RUN_TIME_TOLERANCE
        ):
            return CRASHES_TO_REFUSE_IF_COPIES_AGREE
        return (
            CRASHES_TO_REFUSE
            if len(others) <= len(crashes)
            else CRASHES_TO_REFUSE_IF_MOST_UNRELATED
        )

    def _unrelated_crashed_servers(
        self, crashes: Collection[ServerCrash]
    ) -> set[str]:
        """Return the other servers that crashed around the same time.

        Crashes under requests cleared since then are included: the servers
        did crash.
        """
        servers = {crash.server for crash in crashes}
        return {
            other.server
            for record in self._records.values()
            for other in record.crashes
            if other.server not in servers
            and any(
                abs(crash.crashed_at - other.crashed_at)
                < UNRELATED_CRASH_WINDOW
                for crash in crashes
            )
        }

    def _is_disproved(self, crash: ServerCrash) -> bool:
        sent_at = self._answered_sent_at.get(crash.server)
        return sent_at is not None and crash.crashed_at < sent_at

    def _evict_least_suspect(self) -> None:
        least = min(
            self._records.values(),
            key=lambda record: (
                len(record.crashes_since_cleared),
                record.changed_at,
            ),
        )
        del self._records[least.request]


def _valid_crashes(
    record: SuspectRecord,
    software_versions: Collection[str],
    now: clock_lib.Instant,
) -> list[ServerCrash]:
    """Return the crashes that may count, also those under copies."""
    return [
        crash
        for crash in record.crashes_since_cleared
        if crash.software in software_versions
        and crash.crashed_at > now - SUSPICION_TTL
    ]


def _sequential_crashes(crashes: Iterable[ServerCrash]) -> list[ServerCrash]:
    """Return the crashes without those whose runs overlap an earlier one.

    Times come from different processes, so a run may seem to begin slightly
    before the crash that it followed.
    """
    sequential: list[ServerCrash] = []
    for crash in sorted(crashes, key=lambda crash: crash.crashed_at):
        if (
            not sequential
            or crash.crashed_at - crash.ran_for
            >= sequential[-1].crashed_at - RUN_TIME_TOLERANCE
        ):
            sequential.append(crash)
    return sequential
