# SPDX-License-Identifier: Apache-2.0
"""Decides which requests to refuse, from the evidence of all processes.

A suspect is a whole request or a part of its prompt that other requests may
share. All that ran on a server when it crashed is suspected, though at most
one of them is the cause.

- A suspect is refused after three crashes. Two are not enough: where servers
  crash for other reasons, one request now and then runs at two of them in a
  row, and nothing distinguishes it from a cause.
- Two are enough if copies of it ran at three or more servers that crashed,
  each after the same run time, and no server crashed without it around then.
  Copies at several processes at once would otherwise crash a server more.
- Four are needed if, around the same time, more servers crashed without the
  suspect than with it, or if it had run there for very different times.
- Each sound run of a prompt part makes one more crash necessary. After five
  crashes in a row its earlier sound runs no longer help it.
- Crashes while copies ran at the same time count as one: a popular request is
  running everywhere when a whole fleet goes down, and would otherwise be
  refused although it is innocent.
- Crashes under a refused suspect do not count against any other.
- Suspects that ran at just the same crashes, with as many sound runs, can't
  be told apart. Only requests that have all of them are refused.
"""

import bisect
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
import enum
from typing import final

from lugcross import clock as clock_lib
from lugcross.crash_suspects import evidence
from lugcross.crash_suspects import fingerprint

#: Crashes after which a suspect is refused, unless the next cases apply. Each
#: crash also fails the other requests of the server, and of its whole rank
#: group if it belongs to one.
CRASHES_TO_REFUSE = 3
#: The same if at least :data:`CRASHES_TO_REFUSE` servers crashed under it,
#: some under copies at the same time, and all after the same run time.
CRASHES_TO_REFUSE_IF_COPIES_AGREE = 2
#: The same if around that time more servers crashed without the suspect than
#: with it, or if it had run there for very different times: an innocent
#: request may be running at three of them by chance.
CRASHES_TO_REFUSE_IF_UNCERTAIN = 4
#: Crashes since the latest sound run after which a part is refused, however
#: often it has run soundly before.
CRASHES_TO_REFUSE_DESPITE_SOUND_RUNS = evidence.MAX_CRASHES_KEPT
#: Time before and after a crash within which the crash of a server that did
#: not run the suspect shows that servers also crash for other reasons: a rack
#: or failure domain that loses power, or servers that restart in turn.
UNRELATED_CRASH_WINDOW = datetime.timedelta(seconds=10)
#: Difference between two run times that is not significant, and time by which
#: a run may seem to begin before the crash that it followed: network latency,
#: and a process that was busy when the connection broke.
RUN_TIME_TOLERANCE = datetime.timedelta(milliseconds=50)
#: Difference between the run times up to two crashes of one cause: it crashes
#: servers at the same point, but may have to wait there before it runs.
MAX_RUN_TIME_SPREAD = datetime.timedelta(milliseconds=250)


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
class Assessment:
    """How to treat a request, and why.

    :param suspect: the request or the part that the status follows from; None
        if it is no suspect.
    :param crashes: the crashes that count against it, oldest first. Those
        while copies ran at the same time are counted once.
    """

    status: SuspectStatus
    suspect: fingerprint.Fingerprint | None = None
    crashes: tuple[evidence.ServerCrash, ...] = ()


#: Assessment of a request against which nothing speaks.
NOT_SUSPECT = Assessment(SuspectStatus.NOT_SUSPECT)


@final
@dataclasses.dataclass(frozen=True)
class _CountedEvidence:
    """The part of a record that counts now.

    :param crashes: all crashes, also those under copies.
    :param sequential: the same, those under copies counted once.
    :param sequential_since_sound: those after the latest sound run.
    """

    suspect: fingerprint.Fingerprint
    crashes: tuple[evidence.ServerCrash, ...]
    sequential: tuple[evidence.ServerCrash, ...]
    sequential_since_sound: tuple[evidence.ServerCrash, ...]
    sound_run_count: int

    @property
    def servers(self) -> frozenset[str]:
        return frozenset(crash.server for crash in self.crashes)

    @property
    def is_suspicious(self) -> bool:
        return len(self.sequential_since_sound) > self.sound_run_count


@final
class Assessor:
    """Assesses requests by the records of one moment.

    :param records: the records of all suspects.
    :param software_versions: versions that servers run now; crashes of other
        versions do not count.
    """

    def __init__(
        self,
        records: Mapping[fingerprint.Fingerprint, evidence.SuspectRecord],
        software_versions: Collection[str],
        now: clock_lib.Instant,
    ) -> None:
        self._records = records
        self._software_versions = software_versions
        self._now = now
        #: When each server crashed, by the earliest report.
        self._crashed_at = _crash_times(records.values())
        #: The same as times and servers, in order of time.
        self._crashes = sorted(
            (at, server) for server, at in self._crashed_at.items()
        )
        #: Suspects that are refused where they are together, with the servers
        #: that crashed under them.
        self._refused: list[
            tuple[frozenset[fingerprint.Fingerprint], frozenset[str]]
        ] = []
        self._find_refused()

    def assess(
        self, suspects: Sequence[fingerprint.Fingerprint]
    ) -> Assessment:
        """Return how to treat a request.

        :param suspects: the request and the parts of its prompt. Where some
            are suspected alike, the first decides where the request is tried.
        """
        for group, _ in self._refused:
            if group.issubset(suspects):
                first = next(one for one in suspects if one in group)
                found = self._count(self._records[first])
                return Assessment(
                    SuspectStatus.REFUSED, first, found.sequential
                )
        suspicious = [
            one
            for one in map(self._unexplained, suspects)
            if one is not None and one.is_suspicious
        ]
        if not suspicious:
            return NOT_SUSPECT
        strongest = max(suspicious, key=_strength)
        return Assessment(
            SuspectStatus.SUSPECT, strongest.suspect, strongest.sequential
        )

    def _unexplained(
        self, suspect: fingerprint.Fingerprint
    ) -> _CountedEvidence | None:
        """Return what no other, refused suspect explains; None without any."""
        record = self._records.get(suspect)
        if record is None:
            return None
        explained = {
            server
            for group, servers in self._refused
            if suspect not in group
            for server in servers
        }
        return self._count(record, explained)

    def _find_refused(self) -> None:
        candidates = [
            self._count(record)
            for record in self._records.values()
            if len(record.crashes_since_cleared)
            >= CRASHES_TO_REFUSE_IF_COPIES_AGREE
        ]
        # The strongest ones come first, as they may explain the others.
        candidates.sort(key=_strength, reverse=True)
        explained: set[str] = set()
        for one in candidates:
            left = self._count(self._records[one.suspect], explained)
            if not self._is_refusable(left, explained):
                continue
            group = frozenset(
                other.suspect
                for other in candidates
                if other.servers == one.servers
                and other.sound_run_count == one.sound_run_count
            )
            self._refused.append((group, one.servers))
            explained |= one.servers

    def _is_refusable(
        self, found: _CountedEvidence, explained: Collection[str]
    ) -> bool:
        fewest = CRASHES_TO_REFUSE_IF_COPIES_AGREE + found.sound_run_count
        if len(found.sequential) < fewest:
            return False
        if (
            len(found.sequential_since_sound)
            >= CRASHES_TO_REFUSE_DESPITE_SOUND_RUNS
        ):
            return True
        needed = self._crashes_to_refuse(found, explained)
        return len(found.sequential) >= needed + found.sound_run_count

    def _crashes_to_refuse(
        self, found: _CountedEvidence, explained: Collection[str]
    ) -> int:
        """Return the crashes after which to refuse, without sound runs."""
        others = self._unrelated_crashed_servers(found) - set(explained)
        if (
            not others
            and not found.sound_run_count
            and len(found.crashes) >= CRASHES_TO_REFUSE
            and _spread(found.crashes) <= RUN_TIME_TOLERANCE
        ):
            return CRASHES_TO_REFUSE_IF_COPIES_AGREE
        if (
            len(others) > len(found.sequential)
            or _spread(found.sequential) > MAX_RUN_TIME_SPREAD
        ):
            return CRASHES_TO_REFUSE_IF_UNCERTAIN
        return CRASHES_TO_REFUSE

    def _unrelated_crashed_servers(self, found: _CountedEvidence) -> set[str]:
        """Return the other servers that crashed around the same time.

        Crashes under requests cleared since then are included: the servers
        did crash.
        """
        others: set[str] = set()
        for crash in found.crashes:
            first = bisect.bisect_right(
                self._crashes, (crash.crashed_at - UNRELATED_CRASH_WINDOW, "")
            )
            end = bisect.bisect_left(
                self._crashes, (crash.crashed_at + UNRELATED_CRASH_WINDOW, "")
            )
            others.update(server for _, server in self._crashes[first:end])
        return others - found.servers

    def _count(
        self,
        record: evidence.SuspectRecord,
        explained: Collection[str] = frozenset(),
    ) -> _CountedEvidence:
        crashes = self._valid(record.crashes_since_cleared, explained)
        since_sound = self._valid(record.crashes_since_sound, explained)
        return _CountedEvidence(
            record.suspect,
            crashes,
            _sequential_crashes(crashes),
            _sequential_crashes(since_sound),
            sum(
                run.software in self._software_versions
                and run.observed_at > self._now - evidence.SUSPICION_TTL
                for run in record.sound_runs
            ),
        )

    def _valid(
        self,
        crashes: Iterable[evidence.ServerCrash],
        explained: Collection[str],
    ) -> tuple[evidence.ServerCrash, ...]:
        return tuple(
            crash
            for crash in crashes
            if crash.server not in explained
            and crash.software in self._software_versions
            and crash.crashed_at > self._now - evidence.SUSPICION_TTL
            and self._may_have_run(crash)
        )

    def _may_have_run(self, crash: evidence.ServerCrash) -> bool:
        """Return whether the server was still running when it was sent.

        A request may be sent on an idle connection to a server that has
        crashed already.
        """
        sent_at = crash.crashed_at - crash.ran_for
        return sent_at <= self._crashed_at[crash.server] + RUN_TIME_TOLERANCE


def _crash_times(
    records: Iterable[evidence.SuspectRecord],
) -> dict[str, clock_lib.Instant]:
    """Return when each server crashed."""
    times: dict[str, clock_lib.Instant] = {}
    for record in records:
        for crash in record.crashes:
            known = times.get(crash.server, crash.crashed_at)
            times[crash.server] = min(known, crash.crashed_at)
    return times


def _strength(found: _CountedEvidence) -> tuple[int, int, int]:
    """Return a sort key: the greater, the more speaks against a suspect."""
    return (
        len(found.sequential),
        len(found.crashes),
        -found.sound_run_count,
    )


def _spread(
    crashes: Collection[evidence.ServerCrash],
) -> datetime.timedelta:
    """Return the difference between the longest and the shortest run time."""
    run_times = [crash.ran_for for crash in crashes]
    return max(run_times) - min(run_times)


def _sequential_crashes(
    crashes: Iterable[evidence.ServerCrash],
) -> tuple[evidence.ServerCrash, ...]:
    """Return the crashes without those whose runs overlap an earlier one.

    Times come from different processes, so a run may seem to begin slightly
    before the crash that it followed.
    """
    sequential: list[evidence.ServerCrash] = []
    for crash in sorted(crashes, key=lambda crash: crash.crashed_at):
        if (
            not sequential
            or crash.crashed_at - crash.ran_for
            >= sequential[-1].crashed_at - RUN_TIME_TOLERANCE
        ):
            sequential.append(crash)
    return tuple(sequential)
