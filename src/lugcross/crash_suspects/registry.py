# SPDX-License-Identifier: Apache-2.0
"""Registry of what is suspected of crashing the servers that run it.

A request that crashes servers comes again and again, to any process, and
crashes each server that starts to run it. So do all requests with a part of
the prompt that crashes servers, no two of which need be alike. All other
requests that ran there, up to the capacity of a server, are lost too and are
retried with it although they are innocent. Callers retry after a tenth of a
second to some seconds; servers restart after some seconds.

For each request that a server was running when it crashed, and each part of
its prompt, the crash counts once, no matter how many processes observed it.
What follows from that is decided in :mod:`lugcross.crash_suspects.assessment`.
"""

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross.crash_suspects import assessment
from lugcross.crash_suspects import assignment
from lugcross.crash_suspects import evidence
from lugcross.crash_suspects import fingerprint
from lugcross.crash_suspects import sound_runs

#: Crashes from which on a process does not send a request to another server
#: itself. By the time its caller comes back, reports of other processes have
#: arrived, and the next attempt may be one too many.
CRASHES_TO_LEAVE_TO_CALLER = 2
#: Suspects kept; beyond that, those against which least speaks are evicted. A
#: server runs 6 to 250 requests at once.
MAX_SUSPECTS = 512
#: How long an assessment holds if no record has changed. Only the expiry of
#: crashes depends on the time.
_ASSESSMENT_TTL = datetime.timedelta(milliseconds=100)


@final
class SuspectRegistry:
    """Records of all suspects that this process knows of."""

    def __init__(self) -> None:
        self._records: dict[
            fingerprint.Fingerprint, evidence.SuspectRecord
        ] = {}
        self._sound_runs = sound_runs.SoundRunHistory()
        #: For servers that were reported as crashed but answered a request:
        #: when that request was sent. Crashes reported from before are wrong.
        self._answered_sent_at: dict[str, clock_lib.Instant] = {}
        #: Servers named in any record; None if it must be recomputed.
        self._crashed_servers_cache: frozenset[str] | None = None
        #: By software versions: the latest assessor, and when it was made.
        self._assessors: dict[
            frozenset[str], tuple[clock_lib.Instant, assessment.Assessor]
        ] = {}

    def __len__(self) -> int:
        return len(self._records)

    def records(self) -> list[evidence.SuspectRecord]:
        """Return all records, the most recently changed first."""
        return list(reversed(self._records.values()))

    def find(
        self, suspect: fingerprint.Fingerprint
    ) -> evidence.SuspectRecord | None:
        """Return the record of a suspect, or None."""
        return self._records.get(suspect)

    def record_crash(
        self,
        suspect: fingerprint.Fingerprint,
        crash: evidence.ServerCrash,
        now: clock_lib.Instant,
    ) -> bool:
        """Record a crash while running a suspect; return whether it is new."""
        return self.merge(evidence.SuspectRecord(suspect, (crash,)), now)

    def record_completion(
        self, request: fingerprint.Fingerprint, now: clock_lib.Instant
    ) -> bool:
        """Clear a request that completed; return whether it was suspect."""
        known = self._records.get(request)
        if known is None or not known.crashes_since_cleared:
            return False
        return self.merge(evidence.SuspectRecord(request, cleared_at=now), now)

    def record_sound_run(
        self,
        part: fingerprint.Fingerprint,
        run: evidence.SoundRun,
        now: clock_lib.Instant,
    ) -> bool:
        """Record a run of a prompt part that crashed no server.

        :returns: whether it says something about a crash since the last one.
        """
        self._sound_runs.add(part, run)
        known = self._records.get(part)
        if known is None or not known.crashes_since_sound:
            return False
        return self.merge(evidence.SuspectRecord(part, sound_runs=(run,)), now)

    def merge(
        self, record: evidence.SuspectRecord, now: clock_lib.Instant
    ) -> bool:
        """Merge a record of a peer or the store; return whether it is new."""
        crashes = tuple(
            crash for crash in record.crashes if not self._is_disproved(crash)
        )
        record = dataclasses.replace(
            record,
            crashes=crashes,
            sound_runs=evidence.merge_sound_runs(
                (
                    *record.sound_runs,
                    *self._sound_runs.find(record.suspect, now),
                )
            ),
        )
        before = self._records.get(record.suspect)
        merged = record if before is None else before.merged_with(record)
        if merged == before:
            return False
        if not merged.crashes and merged.cleared_at is None:
            return False
        if merged.changed_at <= now - evidence.SUSPICION_TTL:
            return False
        self._records.pop(record.suspect, None)
        self._records[record.suspect] = merged
        if len(self._records) > MAX_SUSPECTS:
            self._evict_least_suspect()
        self._forget_derived()
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
        for suspect, record in list(self._records.items()):
            left = tuple(
                crash
                for crash in record.crashes
                if not self._is_disproved(crash)
            )
            if left or record.cleared_at is not None:
                self._records[suspect] = dataclasses.replace(
                    record, crashes=left
                )
            else:
                del self._records[suspect]
        self._forget_derived()

    def crashed_servers(self) -> frozenset[str]:
        """Return the servers that crashed while they ran any known suspect.

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
        """Drop records older than :data:`evidence.SUSPICION_TTL`."""
        for suspect, record in list(self._records.items()):
            if record.changed_at <= now - evidence.SUSPICION_TTL:
                del self._records[suspect]
        for server, at in list(self._answered_sent_at.items()):
            if at <= now - evidence.SUSPICION_TTL:
                del self._answered_sent_at[server]
        self._forget_derived()

    def assign_server(
        self, suspect: fingerprint.Fingerprint, servers: Sequence[str]
    ) -> str | None:
        """Return the server to run a suspect on, or None if there is none.

        Other suspects of the same crashes get different servers as long as
        there are enough.
        """
        record = self._records.get(suspect)
        if record is None:
            return assignment.assign_server(suspect, (), servers)
        others = self._records_sharing_crashes(record)
        stronger = sorted(
            (one for one in others if one.weight > record.weight),
            key=lambda one: (-one.weight, one.suspect),
        )
        return assignment.assign_server(
            suspect,
            [one.suspect for one in others if one.weight == record.weight],
            servers,
            stronger_suspects=[one.suspect for one in stronger],
        )

    def _records_sharing_crashes(
        self, record: evidence.SuspectRecord
    ) -> list[evidence.SuspectRecord]:
        """Return the records of other suspects of any crash that counts."""
        servers = {crash.server for crash in record.crashes_since_cleared}
        return [
            other
            for other in self._records.values()
            if other.suspect != record.suspect
            and any(
                crash.server in servers
                for crash in other.crashes_since_cleared
            )
        ]

    def assess(
        self,
        suspects: Sequence[fingerprint.Fingerprint],
        software_versions: Collection[str],
        now: clock_lib.Instant,
    ) -> assessment.Assessment:
        """Return how to treat a request now.

        :param suspects: the request and the parts of its prompt. Where some
            are suspected alike, the first decides where the request is tried.
        :param software_versions: versions that servers of its service run now;
            crashes of other versions do not count.
        """
        versions = frozenset(software_versions)
        made_at, assessor = self._assessors.get(versions, (now, None))
        if assessor is None or abs(now - made_at) > _ASSESSMENT_TTL:
            assessor = assessment.Assessor(self._records, versions, now)
            self._assessors[versions] = now, assessor
        return assessor.assess(suspects)

    def _is_disproved(self, crash: evidence.ServerCrash) -> bool:
        sent_at = self._answered_sent_at.get(crash.server)
        return sent_at is not None and crash.crashed_at < sent_at

    def _evict_least_suspect(self) -> None:
        least = min(
            self._records.values(),
            key=lambda record: (record.weight, record.changed_at),
        )
        del self._records[least.suspect]

    def _forget_derived(self) -> None:
        self._crashed_servers_cache = None
        self._assessors.clear()
