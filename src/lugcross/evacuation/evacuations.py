# SPDX-License-Identifier: Apache-2.0
"""The failure domains that are evacuated, from records of store and peers.

The newest position counts, whichever source reports it. An exception is the
beginning of an era: the store has come back from an older copy, and its
records may contradict newer ones of the era before, which the operator is
about to write again. Contradicting records are held back for a while.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross.evacuation import record as record_lib
from lugcross import ids
from lugcross import positions

#: How long contradicting records of a new era are held back: the operator
#: writes again within 2 s, and the record takes some 0.1 s to arrive. Entries
#: of backend servers are held for the same time (``edge.backends``).
_HOLD_TIME = datetime.timedelta(seconds=2.2)
#: How long a withdrawal is reported to peers. Peers that are silent for as
#: long are forgotten; one that comes back later causes another report.
_WITHDRAWN_REPORT_PERIOD = datetime.timedelta(seconds=60)
#: Withdrawn domains that are kept, the newest. An older report may come from
#: a process that was frozen for any time, so that they have no time limit.
_MAX_WITHDRAWN = 256
#: Records in one heartbeat, the newest. Each takes about 30 bytes.
MAX_RECORDS_TO_SEND = 32


@final
@dataclasses.dataclass
class _Known:
    """What is known of one domain.

    :param record: the record in force.
    :param held: newer record that contradicts it and is held back.
    :param report_until: until when a withdrawal is reported to peers.
    """

    record: record_lib.Record
    held: record_lib.Record | None = None
    report_until: clock_lib.Instant = datetime.timedelta()


@final
class Evacuations:
    """The newest known record of each domain, and the domains in force.

    :ivar on_change: called with each record that changes whether its domain
        is evacuated.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._known: dict[ids.DomainName, _Known] = {}
        self._domains: frozenset[ids.DomainName] = frozenset()
        #: Newest known era, and until when it counts as new.
        self._era: positions.Era | None = None
        self._hold_until: clock_lib.Instant = datetime.timedelta()
        #: End of this process's first listing of that era.
        self._first_end: positions.Position | None = None
        #: End of its newest listing of any era.
        self._newest_end = positions.START
        #: Domains whose record in that listing was malformed.
        self._unreadable: frozenset[ids.DomainName] = frozenset()
        self._has_held = False
        self.on_change: Callable[[record_lib.Record], None] = lambda record: (
            None
        )

    def domains(self) -> frozenset[ids.DomainName]:
        """Return the evacuated domains.

        Returns the same object until they change.
        """
        self._release_held()
        return self._domains

    def records(self) -> list[record_lib.Record]:
        """Return the records in force of all known domains, newest first."""
        self._release_held()
        found = [known.record for known in self._known.values()]
        return sorted(found, key=lambda one: one.position, reverse=True)

    def records_to_send(self) -> list[record_lib.Record]:
        """Return the records for the next heartbeat, newest first.

        These are the evacuated domains and those withdrawn lately.
        """
        if not self._known:
            return []
        now = self._clock.monotonic()
        return [
            one
            for one in self.records()
            if one.requested or self._known[one.domain].report_until > now
        ][:MAX_RECORDS_TO_SEND]

    def note_era(self, era: positions.Era) -> None:
        """Note that the store has reached an era.

        The time for which contradicting records are held back begins when a
        process first learns of the era, from any source.
        """
        if self._era is None or era > self._era:
            self._release_held()
            self._era = era
            self._hold_until = self._clock.monotonic() + _HOLD_TIME
            self._first_end = None

    def apply(self, record: record_lib.Record) -> bool:
        """Apply a record that was read from the log of the store.

        A process reads the log from the end of a listing on, so that its
        records are never held back.

        :returns: whether the evacuated domains have changed.
        """
        before = self.domains()
        self.note_era(positions.era(record.position))
        self._offer(record, may_hold=False)
        return self._domains is not before

    def apply_listing(
        self,
        records: Iterable[record_lib.Record],
        end: positions.Position,
        *,
        unreadable: Collection[ids.DomainName] = (),
    ) -> bool:
        """Apply a full listing; domains that it lacks are withdrawn.

        :param end: position that the next record of the store will get.
        :param unreadable: domains whose listed record is malformed; their
            state is kept.
        :returns: whether the evacuated domains have changed.
        """
        before = self.domains()
        self.note_era(positions.era(end))
        if self._first_end is None:
            self._first_end = end
        if end >= self._newest_end:
            self._newest_end = end
            self._unreadable = frozenset(unreadable)
        listed = set(unreadable)
        for record in records:
            listed.add(record.domain)
            self._offer(record, may_hold=not self._is_after_listing(record))
        for domain, known in list(self._known.items()):
            is_listed = domain in listed
            if not is_listed and known.record.position < end:
                self._offer(_absence(domain, end), may_hold=True)
        return self._domains is not before

    def merge(self, records: Iterable[record_lib.Record]) -> bool:
        """Merge the records of a peer.

        :returns: whether the evacuated domains have changed.
        """
        before = self.domains()
        for record in records:
            self.note_era(positions.era(record.position))
            self._merge_record(record)
        return self._domains is not before

    def _merge_record(self, record: record_lib.Record) -> None:
        known = self._known.get(record.domain)
        if known is not None and record.position <= known.record.position:
            if record.requested != known.record.requested:
                # The peer has missed a withdrawal.
                self._report_again(known)
            return
        if (
            known is None
            and record.requested
            and record.position < self._newest_end
            and record.domain not in self._unreadable
        ):
            self._add_missing_in_listing(record)
            return
        self._offer(record, may_hold=not self._is_after_listing(record))

    def _add_missing_in_listing(self, record: record_lib.Record) -> None:
        """Add a domain whose evacuation a later listing no longer had.

        It has been withdrawn, unless the store has lost it in a copy.
        """
        absence = _absence(record.domain, self._newest_end)
        if self._is_of_earlier_era(record):
            self._put_in_force(record)
            self._offer(absence, may_hold=True)
        else:
            self._known[record.domain] = _Known(absence)
            self._report_again(self._known[record.domain])
            self._drop_oldest_withdrawn()

    def _offer(self, record: record_lib.Record, *, may_hold: bool) -> None:
        """Put a record in force if it is newer, or hold it back."""
        known = self._known.get(record.domain)
        if known is None:
            self._put_in_force(record)
            return
        if record.position <= known.record.position or (
            known.held is not None and record.position <= known.held.position
        ):
            return
        contradicts = record.requested != known.record.requested
        if may_hold and contradicts and self._is_of_earlier_era(known.record):
            known.held = record
            self._has_held = True
            return
        self._put_in_force(record)

    def _is_of_earlier_era(self, record: record_lib.Record) -> bool:
        """Return whether a record is older than an era that is still new."""
        return self._clock.monotonic() < self._hold_until and positions.era(
            record.position
        ) < (self._era or 0)

    def _is_after_listing(self, record: record_lib.Record) -> bool:
        """Return whether a record was written after an era's listing."""
        return (
            self._first_end is not None and record.position >= self._first_end
        )

    def _put_in_force(self, record: record_lib.Record) -> None:
        known = self._known.get(record.domain)
        was_requested = known is not None and known.record.requested
        report_until = known.report_until if known else datetime.timedelta()
        self._known[record.domain] = _Known(record, report_until=report_until)
        if record.requested == was_requested:
            if not record.requested:
                self._drop_oldest_withdrawn()
            return
        self._report_again(self._known[record.domain])
        if record.requested:
            self._domains |= {record.domain}
        else:
            self._domains -= {record.domain}
            self._drop_oldest_withdrawn()
        self.on_change(record)

    def _report_again(self, known: _Known) -> None:
        known.report_until = self._clock.monotonic() + _WITHDRAWN_REPORT_PERIOD

    def _release_held(self) -> None:
        """Put records in force that need not be held back any more."""
        if not self._has_held or self._clock.monotonic() < self._hold_until:
            return
        self._has_held = False
        for known in list(self._known.values()):
            if known.held is not None:
                self._put_in_force(known.held)

    def _drop_oldest_withdrawn(self) -> None:
        withdrawn = [
            known.record
            for known in self._known.values()
            if not known.record.requested and known.held is None
        ]
        if len(withdrawn) > _MAX_WITHDRAWN:
            oldest = min(withdrawn, key=lambda one: one.position)
            del self._known[oldest.domain]


def _absence(
    domain: ids.DomainName, end: positions.Position
) -> record_lib.Record:
    """Return the withdrawal of a domain that a listing lacks.

    It gets the position before the end of the listing, since the next record
    of the store takes the end itself. Before offset 0 that is the last one of
    the era before.
    """
    before = positions.Position(max(end - 1, positions.START))
    return record_lib.Record(domain, before, requested=False)
