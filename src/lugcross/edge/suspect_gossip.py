# SPDX-License-Identifier: Apache-2.0
"""What processes tell each other of requests that end servers.

What is new goes with each datagram for a while, so that a few lost ones do no
harm; what gets requests refused goes again and again, some with each datagram,
so that a process that has just started or was cut off learns of it.
"""

import datetime
import itertools
from typing import final

from lugcross import clock as clock_lib
from lugcross import crash_suspects
from lugcross.edge import messages

#: How long a record is told with each datagram after it has changed: several
#: heartbeats, well within the time in which it must be known everywhere.
_NEW_RECORD_PERIOD = datetime.timedelta(seconds=2)
#: New cases that one datagram tells: a server runs six at once as a rule, and
#: each takes about 60 bytes.
_MAX_NEW_RECORDS = 8
#: Others that one datagram tells: of twenty that are refused, each is told
#: anew within five seconds at rest, and sooner under load.
_MAX_ROTATED_RECORDS = 2
_MS = datetime.timedelta(milliseconds=1)


@final
class SuspectGossip:
    """Tells and hears cases by a process's datagrams."""

    def __init__(
        self, registry: crash_suspects.SuspectRegistry, clock: clock_lib.Clock
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._rotation_start = 0

    def next_suspects(self) -> list[messages.Suspect]:
        """Return what the next datagram should tell."""
        if not len(self._registry):
            return []
        now = self._clock.monotonic()
        records = self._registry.records()
        new = [
            one for one in records if now - one.changed_at < _NEW_RECORD_PERIOD
        ][:_MAX_NEW_RECORDS]
        old = [
            one
            for one in records
            if one not in new
            and len(one.crashes_since_cleared)
            >= crash_suspects.MIN_CRASHES_TO_REFUSE
        ]
        start = self._rotation_start % len(old) if old else 0
        self._rotation_start = start + _MAX_ROTATED_RECORDS
        rotated = itertools.islice(
            itertools.cycle(old), start, start + _MAX_ROTATED_RECORDS
        )
        told = {one.request: one for one in [*new, *rotated]}
        return [to_message(one, now) for one in told.values()]

    def merge(self, told: list[messages.Suspect]) -> None:
        """Take over what a peer tells."""
        now = self._clock.monotonic()
        for one in told:
            self._registry.merge(from_message(one, now), now)


def to_message(
    record: crash_suspects.SuspectRecord, now: clock_lib.Instant
) -> messages.Suspect:
    return messages.Suspect(
        record.request,
        [_to_server_crash(one, now) for one in record.crashes],
        -1 if record.cleared_at is None else _age_ms(record.cleared_at, now),
    )


def from_message(
    told: messages.Suspect, now: clock_lib.Instant
) -> crash_suspects.SuspectRecord:
    """Return the case that was told at ``now``."""
    crashes = tuple(
        crash_suspects.ServerCrash(
            one.server,
            one.software,
            now - one.age_ms * _MS,
            one.ran_for_ms * _MS,
        )
        for one in told.crashes
    )
    cleared = (
        None if told.cleared_age_ms < 0 else now - told.cleared_age_ms * _MS
    )
    return crash_suspects.SuspectRecord(
        crash_suspects.Fingerprint(told.request), crashes, cleared
    )


def _to_server_crash(
    end: crash_suspects.ServerCrash, now: clock_lib.Instant
) -> messages.ServerCrash:
    return messages.ServerCrash(
        end.server,
        end.software,
        age_ms=_age_ms(end.crashed_at, now),
        ran_for_ms=min(int(end.ran_for / _MS), messages.MAX_CRASH_AGE_MS),
    )


def _age_ms(at: clock_lib.Instant, now: clock_lib.Instant) -> int:
    return min(int((now - at) / _MS), messages.MAX_CRASH_AGE_MS)
