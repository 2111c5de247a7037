# SPDX-License-Identifier: Apache-2.0
"""Exchange of crash suspects between edge processes, in heartbeats.

Of the records that have changed lately, those against which most speaks go
with each heartbeat for a while, so that a few lost datagrams do no harm, and
the others in rotation: a crash makes a record of all that ran on the server.
Records that may get a request refused are also repeated in rotation, a few
with each heartbeat, for processes that have just started or were unreachable.
"""

import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import crash_suspects
from lugcross.edge import messages

#: How long a record goes with each heartbeat after it has changed: several
#: heartbeats, and well within the time in which all processes must know it.
_CHANGED_RECORD_PERIOD = datetime.timedelta(seconds=2)
#: Changed records that go with each heartbeat. Each takes about 60 bytes.
_MAX_STRONGEST_RECORDS = 8
#: Further changed records in one heartbeat: in all usually enough for the
#: requests that ran at one server when it crashed, with their prompt parts.
_MAX_FURTHER_RECORDS = 8
#: Other records in one heartbeat: twenty refused requests are repeated within
#: five seconds at the slowest rate of heartbeats.
_MAX_ROTATED_RECORDS = 2
_MS = datetime.timedelta(milliseconds=1)


@final
class SuspectGossip:
    """Selects the suspects to send in heartbeats and merges those of peers."""

    def __init__(
        self, registry: crash_suspects.SuspectRegistry, clock: clock_lib.Clock
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._heartbeats = 0

    def next_suspects(self) -> list[messages.Suspect]:
        """Return the suspects to send with the next heartbeat."""
        if not len(self._registry):
            return []
        now = self._clock.monotonic()
        records = self._registry.records()
        changed = [
            one
            for one in records
            if now - one.changed_at < _CHANGED_RECORD_PERIOD
        ]
        changed.sort(key=lambda one: one.weight, reverse=True)
        refusable = [
            one
            for one in records
            if now - one.changed_at >= _CHANGED_RECORD_PERIOD
            and len(one.crashes_since_cleared)
            >= crash_suspects.CRASHES_TO_LEAVE_TO_CALLER
        ]
        self._heartbeats += 1
        selected = [
            *changed[:_MAX_STRONGEST_RECORDS],
            *_rotate(
                changed[_MAX_STRONGEST_RECORDS:],
                self._heartbeats * _MAX_FURTHER_RECORDS,
                _MAX_FURTHER_RECORDS,
            ),
            *_rotate(
                refusable,
                self._heartbeats * _MAX_ROTATED_RECORDS,
                _MAX_ROTATED_RECORDS,
            ),
        ]
        return [to_message(one, now) for one in selected]

    def merge(self, suspects: list[messages.Suspect]) -> None:
        """Merge the suspects of a peer's heartbeat into the registry."""
        now = self._clock.monotonic()
        for one in suspects:
            self._registry.merge(from_message(one, now), now)


def _rotate(
    records: list[crash_suspects.SuspectRecord], start: int, count: int
) -> list[crash_suspects.SuspectRecord]:
    """Return up to ``count`` records from ``start`` on, cyclically."""
    if not records:
        return []
    first = start % len(records)
    turned = records[first:] + records[:first]
    return turned[:count]


def to_message(
    record: crash_suspects.SuspectRecord, now: clock_lib.Instant
) -> messages.Suspect:
    """Return the message for a record, with ages as of ``now``."""
    return messages.Suspect(
        record.suspect,
        [_to_server_crash(one, now) for one in record.crashes],
        -1 if record.cleared_at is None else _age_ms(record.cleared_at, now),
        [
            messages.SoundRun(
                one.run_id, one.software, _age_ms(one.observed_at, now)
            )
            for one in record.sound_runs
        ],
    )


def from_message(
    message: messages.Suspect, now: clock_lib.Instant
) -> crash_suspects.SuspectRecord:
    """Return the record for a message that was written at ``now``."""
    crashes = tuple(
        crash_suspects.ServerCrash(
            one.server,
            one.software,
            now - one.age_ms * _MS,
            one.ran_for_ms * _MS,
        )
        for one in message.crashes
    )
    cleared = (
        None
        if message.cleared_age_ms < 0
        else now - message.cleared_age_ms * _MS
    )
    sound_runs = tuple(
        crash_suspects.SoundRun(
            one.run_id, one.software, now - one.age_ms * _MS
        )
        for one in message.sound_runs
    )
    return crash_suspects.SuspectRecord(
        crash_suspects.Fingerprint(message.suspect),
        crashes,
        cleared,
        sound_runs,
    )


def _to_server_crash(
    crash: crash_suspects.ServerCrash, now: clock_lib.Instant
) -> messages.ServerCrash:
    return messages.ServerCrash(
        crash.server,
        crash.software,
        age_ms=_age_ms(crash.crashed_at, now),
        ran_for_ms=min(int(crash.ran_for / _MS), messages.MAX_CRASH_AGE_MS),
    )


def _age_ms(at: clock_lib.Instant, now: clock_lib.Instant) -> int:
    return min(int((now - at) / _MS), messages.MAX_CRASH_AGE_MS)
