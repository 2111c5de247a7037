# SPDX-License-Identifier: Apache-2.0
"""Evidence about what crashes servers: a request, or a part of its prompt.

Each process records what it observed and merges the records of its peers.
Merging is commutative and idempotent, so that it does not matter how often or
by which way a record arrives.
"""

from collections.abc import Iterable
import dataclasses
import datetime
from typing import final
from typing import TypeVar

from lugcross import clock as clock_lib
from lugcross.crash_suspects import fingerprint

_Id = TypeVar("_Id", str, int)
_Report = TypeVar("_Report")

#: How long a crash counts against a suspect. After that its callers may try
#: it again, at the cost of at least two more crashes if nothing was fixed.
SUSPICION_TTL = datetime.timedelta(minutes=10)
#: Crashes kept per suspect: as many as can be needed for a decision.
MAX_CRASHES_KEPT = 5
#: Sound runs kept per suspect. One with as many is only refused after
#: :data:`MAX_CRASHES_KEPT` crashes in a row.
MAX_SOUND_RUNS_KEPT = 3


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
class SoundRun:
    """A run of a request with some prompt part that crashed no server.

    :param run_id: tells runs apart, whichever process reports them.
    :param software: software version of the server.
    :param observed_at: when the answer was complete, or had been arriving for
        long enough.
    """

    run_id: int
    software: str
    observed_at: clock_lib.Instant


@final
@dataclasses.dataclass(frozen=True)
class SuspectRecord:
    """What is known of one request, or of one prompt part.

    :param crashes: all known crashes, also those before ``cleared_at``.
    :param cleared_at: when the request last completed; earlier crashes do not
        count against it. Prompt parts have sound runs instead: a part that
        crashes most servers, not all, is not cleared by one run.
    :param sound_runs: the latest sound runs of the prompt part.
    """

    suspect: fingerprint.Fingerprint
    crashes: tuple[ServerCrash, ...] = ()
    cleared_at: clock_lib.Instant | None = None
    sound_runs: tuple[SoundRun, ...] = ()

    @property
    def crashes_since_cleared(self) -> tuple[ServerCrash, ...]:
        """The crashes after the request last completed."""
        return _crashes_after(self.crashes, self.cleared_at)

    @property
    def crashes_since_sound(self) -> tuple[ServerCrash, ...]:
        """The crashes after the request last completed or ran soundly."""
        return _crashes_after(self.crashes_since_cleared, self.last_sound_at)

    @property
    def last_sound_at(self) -> clock_lib.Instant | None:
        """Time of the latest sound run, if any."""
        return max((one.observed_at for one in self.sound_runs), default=None)

    @property
    def changed_at(self) -> clock_lib.Instant:
        """Time of the latest crash, completion or sound run."""
        times = [crash.crashed_at for crash in self.crashes]
        times.extend(one.observed_at for one in self.sound_runs)
        if self.cleared_at is not None:
            times.append(self.cleared_at)
        return max(times)

    @property
    def weight(self) -> int:
        """How much speaks against the suspect: crashes, less sound runs.

        Orders records by importance where there is room for a few only.
        """
        return len(self.crashes_since_sound) - len(self.sound_runs)

    def merged_with(self, other: "SuspectRecord") -> "SuspectRecord":
        """Return the union of both records.

        Of two times for the crash of one server the earlier is kept: a
        process that was suspended dates what it observed too late. The same
        holds for sound runs.
        """
        cleared = [
            t for t in (self.cleared_at, other.cleared_at) if t is not None
        ]
        return SuspectRecord(
            self.suspect,
            _merge_crashes(self.crashes + other.crashes),
            max(cleared, default=None),
            merge_sound_runs(self.sound_runs + other.sound_runs),
        )


def _crashes_after(
    crashes: tuple[ServerCrash, ...], since: clock_lib.Instant | None
) -> tuple[ServerCrash, ...]:
    if since is None:
        return crashes
    return tuple(one for one in crashes if one.crashed_at > since)


def _merge_crashes(crashes: Iterable[ServerCrash]) -> tuple[ServerCrash, ...]:
    return _latest_by_id(
        ((crash.server, crash.crashed_at, crash) for crash in crashes),
        MAX_CRASHES_KEPT,
    )


def merge_sound_runs(runs: Iterable[SoundRun]) -> tuple[SoundRun, ...]:
    """Return the latest of some runs, each once, oldest first."""
    return _latest_by_id(
        ((run.run_id, run.observed_at, run) for run in runs),
        MAX_SOUND_RUNS_KEPT,
    )


def _latest_by_id(
    reports: Iterable[tuple[_Id, clock_lib.Instant, _Report]], most: int
) -> tuple[_Report, ...]:
    """Return the earliest report of each id, the latest ``most`` of them.

    :param reports: ids, times and what was reported.
    """
    earliest: dict[_Id, tuple[clock_lib.Instant, _Id, _Report]] = {}
    for key, at, report in reports:
        if key not in earliest or at < earliest[key][0]:
            earliest[key] = at, key, report
    kept = sorted(earliest.values(), key=lambda one: one[:2])
    return tuple(report for _, _, report in kept[-most:])
