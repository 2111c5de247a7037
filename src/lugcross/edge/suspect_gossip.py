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

#: How long a case is told with each datagram after it has changed: several
#: heartbeats, well within the time in which it must be known everywhere.
_NEW_CASE_PERIOD = datetime.timedelta(seconds=2)
#: New cases that one datagram tells: a server runs six at once as a rule, and
#: each takes about 60 bytes.
_MAX_NEW_CASES = 8
#: Others that one datagram tells: of twenty that are refused, each is told
#: anew within five seconds at rest, and sooner under load.
_MAX_OLD_CASES = 2
_MS = datetime.timedelta(milliseconds=1)


@final
class SuspectGossip:
    """Tells and hears cases by a process's datagrams."""

    def __init__(
        self, ledger: crash_suspects.SuspectRegistry, clock: clock_lib.Clock
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        self._next_old = 0

    def outgoing(self) -> list[messages.Suspect]:
        """Return what the next datagram should tell."""
        if not len(self._ledger):
            return []
        now = self._clock.monotonic()
        cases = self._ledger.records()
        new = [
            one for one in cases if now - one.changed_at < _NEW_CASE_PERIOD
        ][:_MAX_NEW_CASES]
        old = [
            one
            for one in cases
            if one not in new
            and len(one.crashes_since_cleared)
            >= crash_suspects.MIN_CRASHES_TO_REFUSE
        ]
        start = self._next_old % len(old) if old else 0
        self._next_old = start + _MAX_OLD_CASES
        rotated = itertools.islice(
            itertools.cycle(old), start, start + _MAX_OLD_CASES
        )
        told = {one.request: one for one in [*new, *rotated]}
        return [to_message(one, now) for one in told.values()]

    def merge(self, told: list[messages.Suspect]) -> None:
        """Take over what a peer tells."""
        now = self._clock.monotonic()
        for one in told:
            self._ledger.merge(from_message(one, now), now)


def to_message(
    case: crash_suspects.SuspectRecord, now: clock_lib.Instant
) -> messages.Suspect:
    return messages.Suspect(
        case.request,
        [_to_server_crash(one, now) for one in case.crashes],
        -1 if case.cleared_at is None else _age_ms(case.cleared_at, now),
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
