# SPDX-License-Identifier: Apache-2.0
"""The list of backend servers, built from the records of the store."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import datetime
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import drain_times
from lugcross import errors
from lugcross import ids
from lugcross import platform
from lugcross import positions

#: Fraction of the drain bound for which servers are still used whose entries
#: may have been removed only because the store was away. Live servers write
#: their entries again within about two seconds of its return; after the drain
#: bound, a server that has really left must get no requests.
_UNCERTAIN_REMOVAL_USE_RATIO = 0.85
#: Fraction of the drain bound for which a leaving server may be used if no
#: other is left. The remainder covers the time a request takes to reach it.
_LEAVING_USE_RATIO = 0.5
#: Time after the store's return from an older copy within which servers write
#: missing entries again (about two seconds, as the platform promises) and this
#: process reads them.
_REWRITE_TIME = datetime.timedelta(seconds=2.2)
#: Longest part of an invalid record's key, or of the error, in a log line.
_MAX_LOGGED_CHARS = 200
#: Number of lives that are remembered because they answered that they are
#: leaving; more than end within the minutes for which the list may still show
#: such a life as ready.
_MAX_LEAVING_ANSWERS = 2_000
#: Number of these, newest first, that one heartbeat carries.
_MAX_LEAVING_ANSWERS_SENT = 16
#: Time for which a selection that depends on time is cached; short against
#: the drain bound.
_USABLE_TTL = datetime.timedelta(milliseconds=50)
_MS = datetime.timedelta(milliseconds=1)


@final
@dataclasses.dataclass
class _Entry:
    """The newest known life of a backend server and the state of its entry.

    :param position: position of the newest record of the server.
    :param leaving_at: when the store confirmed that the life is leaving or
        that its entry was removed, or the server itself said so, as early as
        it may have been; None while it is ready.
    :param removed: whether the entry was removed from the list.
    :param removal_is_uncertain: whether the entry may be missing although the
        server is alive: it could not renew the entry while the store was away,
        or the store came back from an older copy.
    :param lost_in_restore: whether the entry was found missing when the store
        came back from an older copy, which may lack it.
    :param reappeared_at: when the entry, which had been removed or was not
        known, was read from a store that came back from an older copy; None
        otherwise. The life may have ended after that copy was made.
    """

    backend: desired.Backend
    position: positions.Position
    leaving_at: clock_lib.Instant | None = None
    removed: bool = False
    removal_is_uncertain: bool = False
    lost_in_restore: bool = False
    reappeared_at: clock_lib.Instant | None = None


@final
@dataclasses.dataclass(frozen=True)
class _UsableServers:
    """Cached servers that may get new requests of a service."""

    servers: tuple[desired.Backend, ...]
    expires_at: clock_lib.Instant


@final
class Backends:
    """The list of backend servers as this process knows it.

    Records are ordered by position: one that is older than what is known of
    its server is ignored.

    :param max_drain_time: returns the time after which a leaving server must
        get no new requests.
    :ivar on_entry: called with each backend server whose entry was read.
    :ivar end: position after the last record that was read.
    :ivar updated_at: when records were last applied; None before the first.
    :ivar records: newest record of each key, removals included.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        *,
        max_drain_time: Callable[[], datetime.timedelta],
    ) -> None:
        self._clock = clock
        self._max_drain_time = max_drain_time
        self._entries: dict[desired.BackendKey, _Entry] = {}
        #: Newest life of each server, and the position of its last record
        #: once its entry has been forgotten.
        self._newest_lives: dict[desired.BackendId, desired.Backend] = {}
        self._removed_positions: dict[
            desired.BackendId, positions.Position
        ] = {}
        #: When lives answered that they are leaving; oldest first.
        self._leaving_answer_at: dict[
            desired.BackendKey, clock_lib.Instant
        ] = {}
        self._usable: dict[ids.ServiceName, _UsableServers] = {}
        self.on_entry: Callable[[desired.Backend], None] = lambda backend: None
        self.end = positions.START
        self.updated_at: clock_lib.Instant | None = None
        self.records: dict[str, platform.KeyedRecord] = {}

    def replace(
        self, result: platform.ReadResult, *, store_was_away: bool
    ) -> None:
        """Apply a full listing with the newest record of every key.

        Servers that are not listed are removed, unless their known record is
        newer than the listing.

        :param store_was_away: whether entries may be missing only because
            servers could not reach the store to renew them.
        """
        listed = {record.key for record in result.records}
        # Removals get the position before the end: the next record of the
        # store takes the end itself, and may be for the same key.
        last = positions.position_before(result.end)
        confirmation = drain_times.Confirmation(
            _age_to_count(result, store_was_away), store_was_away
        )
        for entry in list(self._entries.values()):
            backend_id = entry.backend.id
            if backend_id not in listed and entry.position < result.end:
                gone = platform.KeyedRecord(last, backend_id, b"")
                self._apply_record(gone, confirmation)
        self.apply(result, store_was_away=store_was_away)

    def apply(
        self, result: platform.ReadResult, *, store_was_away: bool
    ) -> None:
        """Apply further records.

        :param store_was_away: as for :meth:`replace`.
        """
        confirmation = drain_times.Confirmation(
            _age_to_count(result, store_was_away), store_was_away
        )
        self.apply_confirmed(
            [(record, confirmation) for record in result.records], result.end
        )

    def apply_confirmed(
        self,
        records: Iterable[
            tuple[platform.KeyedRecord, drain_times.Confirmation]
        ],
        end: positions.Position,
    ) -> None:
        """Apply records, each with how this process learned of it.

        :param end: position before which no record is missing.
        """
        for record, confirmation in sorted(
            records, key=lambda one: one[0].position
        ):
            self._apply_record(record, confirmation)
        self.end = max(self.end, end)
        self.updated_at = self._clock.monotonic()
        self._forget_removed()

    def usable(self, service: ids.ServiceName) -> tuple[desired.Backend, ...]:
        """Return the servers that may get new requests of ``service``.

        Leaving servers are included only if there is no other, and only for
        part of the drain bound; servers whose entry has reappeared only
        if there are none of these either. Returns the same object until the
        selection is computed again.
        """
        now = self._clock.monotonic()
        cached = self._usable.get(service)
        if cached is None or now >= cached.expires_at:
            cached = self._find_usable(service, now)
            self._usable[service] = cached
        return cached.servers

    def _find_usable(
        self, service: ids.ServiceName, now: clock_lib.Instant
    ) -> _UsableServers:
        entries = [
            entry
            for entry in self._entries.values()
            if entry.backend.service == service
        ]
        ready = [
            entry.backend for entry in entries if self._is_ready(entry, now)
        ]
        if len(ready) == len(entries):
            return _UsableServers(tuple(ready), datetime.timedelta.max)
        uncertain = [
            entry for entry in entries if self._may_use_removed(entry, now)
        ]
        # Servers write the entries again that a copy of the store lacks.
        ready += [
            entry.backend for entry in uncertain if entry.lost_in_restore
        ]
        not_renewed = [
            entry.backend for entry in uncertain if not entry.lost_in_restore
        ]
        # If servers could not reach the store, most entries are removed
        # together. If only a few were removed, these servers have left, even
        # if this process could not reach the store shortly before.
        if len(not_renewed) > len(ready):
            servers = ready + not_renewed
        else:
            servers = ready or self._leaving_but_usable(entries, now)
        if not servers:
            reappeared = [
                entry for entry in entries if entry.reappeared_at is not None
            ]
            servers = [entry.backend for entry in reappeared]
        return _UsableServers(tuple(servers), now + _USABLE_TTL)

    def _is_ready(self, entry: _Entry, now: clock_lib.Instant) -> bool:
        if entry.leaving_at is not None:
            return False
        since = entry.reappeared_at
        # By then, whatever is missing in the copy has been written again and
        # read by this process.
        return (
            since is None
            or now - since >= _REWRITE_TIME + self._max_drain_time()
        )

    def _leaving_but_usable(
        self, entries: list[_Entry], now: clock_lib.Instant
    ) -> list[desired.Backend]:
        """Return leaving servers that may be used while no other is left."""
        return [
            entry.backend
            for entry in entries
            if entry.leaving_at is not None
            and now - entry.leaving_at
            < self._max_drain_time() * _LEAVING_USE_RATIO
        ]

    def service_of(self, key: desired.BackendKey) -> ids.ServiceName | None:
        """Return the service of a backend server, or None if unknown."""
        entry = self._entries.get(key)
        return None if entry is None else entry.backend.service

    def age(self) -> datetime.timedelta:
        """Return the time since the list was last updated.

        :returns: the greatest possible duration before the first update.
        """
        if self.updated_at is None:
            return datetime.timedelta.max
        return self._clock.monotonic() - self.updated_at

    def all(self) -> list[desired.Backend]:
        """Return all known backend servers, also leaving and removed ones."""
        return [entry.backend for entry in self._entries.values()]

    def addresses_by_domain(self) -> dict[ids.DomainName, set[str]]:
        """Return the addresses of the listed servers, by failure domain."""
        found: dict[ids.DomainName, set[str]] = {}
        for entry in self._entries.values():
            if not entry.removed or entry.removal_is_uncertain:
                backend = entry.backend
                found.setdefault(backend.domain, set()).add(backend.address)
        return found

    def forget(self, key: desired.BackendKey, why: str) -> None:
        """Forget a life of a backend server that has certainly ended.

        :param why: reason for the log.
        """
        entry = self._entries.pop(key, None)
        if entry is None:
            return
        self._usable.pop(entry.backend.service, None)
        self._removed_positions[entry.backend.id] = entry.position
        logging.info(
            "backend server forgotten", extra={"backend": key, "why": why}
        )

    def mark_leaving(self, key: desired.BackendKey) -> None:
        """Mark a life as leaving because the server itself answered so.

        No entry of the same life undoes this: entries may be old, and most
        servers answer so before their entries say it. A server that does not
        leave after all gets no requests until its next life.
        """
        if key in self._leaving_answer_at:
            return
        now = self._clock.monotonic()
        self._leaving_answer_at[key] = now
        if len(self._leaving_answer_at) > _MAX_LEAVING_ANSWERS:
            del self._leaving_answer_at[next(iter(self._leaving_answer_at))]
        entry = self._entries.get(key)
        if entry is None:
            return
        logging.info("backend server is leaving", extra={"backend": key})
        entry.removal_is_uncertain = False
        if entry.leaving_at is None:
            entry.leaving_at = now
        self._usable.pop(entry.backend.service, None)

    def confirmation(self, key: str) -> drain_times.Confirmation:
        """Return how long ago the newest record of a server was confirmed.

        :param key: key of the record, whose age matters only if its server
            is leaving or has left.
        """
        life = self._newest_lives.get(desired.BackendId(key))
        entry = self._entries.get(life.key) if life else None
        if entry is None:
            return drain_times.Confirmation(drain_times.UNKNOWN_AGE)
        if entry.leaving_at is None:
            return drain_times.Confirmation()
        return drain_times.Confirmation(
            min(
                self._clock.monotonic() - entry.leaving_at,
                drain_times.UNKNOWN_AGE,
            ),
            entry.removal_is_uncertain,
        )

    def has_drained(self, key: desired.BackendKey) -> bool:
        """Return whether a server must get no requests any more."""
        entry = self._entries.get(key)
        if entry is None:
            return True
        if entry.leaving_at is None or entry.lost_in_restore:
            return False
        return (
            self._clock.monotonic() - entry.leaving_at
            >= self._max_drain_time() * _UNCERTAIN_REMOVAL_USE_RATIO
        )

    def leaving_but_listed_ready(self) -> list[desired.BackendKey]:
        """Return servers that said they are leaving but are listed as ready.

        :returns: the newest, as many as one heartbeat carries.
        """
        listed = [
            self._entries[key]
            for key in self._leaving_answer_at
            if key in self._entries
        ]
        return [
            one.backend.key
            for one in listed
            if not one.removed
            and one.backend.state is desired.BackendState.READY
        ][-_MAX_LEAVING_ANSWERS_SENT:]

    def _may_use_removed(self, entry: _Entry, now: clock_lib.Instant) -> bool:
        """Tell whether a removed server may get requests: it may be alive."""
        if not entry.removal_is_uncertain or entry.leaving_at is None:
            return False
        max_age = self._max_drain_time() * _UNCERTAIN_REMOVAL_USE_RATIO
        if entry.lost_in_restore:
            max_age = _REWRITE_TIME
        return now - entry.leaving_at < max_age

    def _apply_record(
        self,
        record: platform.KeyedRecord,
        confirmation: drain_times.Confirmation,
    ) -> None:
        backend_id = desired.BackendId(record.key)
        life = self._newest_lives.get(backend_id)
        entry = self._entries.get(life.key) if life else None
        newest = (
            entry.position
            if entry
            else self._removed_positions.get(backend_id)
        )
        if newest is not None and record.position <= newest:
            return
        is_new_era = newest is not None and _is_later_era(
            record.position, newest
        )
        self.records[record.key] = record
        if not record.value:
            self._remove(
                backend_id,
                entry,
                record.position,
                confirmation,
                is_new_era=is_new_era,
            )
            return
        try:
            backend = self._read_life(record, life)
        except errors.ChangeError as exc:
            # The invalid record has replaced the server's entry, so nothing
            # is known of the server until it writes its entry again.
            logging.warning(
                "backend entry rejected",
                extra={
                    "backend": backend_id[:_MAX_LOGGED_CHARS],
                    "why": exc.what[:_MAX_LOGGED_CHARS],
                },
            )
            certain = dataclasses.replace(confirmation, store_was_away=False)
            self._remove(backend_id, entry, record.position, certain)
            return
        if backend is None:
            self._skip_earlier_life(record, entry)
            return
        if life is not None and backend.key != life.key:
            self.forget(life.key, "the server has started again")
            entry = None
            is_new_era = False
        self._put_entry(
            backend,
            entry,
            record.position,
            confirmation,
            is_new_era=is_new_era,
        )

    def _read_life(
        self, record: platform.KeyedRecord, life: desired.Backend | None
    ) -> desired.Backend | None:
        """Decode the life of a backend server from its entry.

        An entry without a start time is taken for the newest known life.

        :param life: the newest known life of the server, if any.
        :returns: None if the entry is of an earlier life.
        :raises errors.ChangeError: when the entry is invalid.
        """
        backend = platform.decode_backend(record.key, record.value)
        if life is None or life.started_at_ms is None:
            return backend
        if backend.started_at_ms is None:
            return dataclasses.replace(
                backend, started_at_ms=life.started_at_ms
            )
        return None if backend.started_at_ms < life.started_at_ms else backend

    def _skip_earlier_life(
        self, record: platform.KeyedRecord, entry: _Entry | None
    ) -> None:
        """Ignore an entry of an earlier life, but record its position."""
        logging.info(
            "backend entry of earlier life ignored",
            extra={"backend": record.key},
        )
        if entry is not None:
            entry.position = record.position
        else:
            self._removed_positions[desired.BackendId(record.key)] = (
                record.position
            )

    def _put_entry(
        self,
        backend: desired.Backend,
        entry: _Entry | None,
        position: positions.Position,
        confirmation: drain_times.Confirmation,
        *,
        is_new_era: bool,
    ) -> None:
        """Store the entry of the newest life of a backend server.

        :param entry: what was known of the same life.
        :param is_new_era: whether this is the first record of the life in a
            new era of the store. The store then came back from a copy, in
            which the record may be older than what is known.
        """
        if is_new_era and entry and entry.leaving_at and not entry.removed:
            self._leaving_answer_at.setdefault(backend.key, entry.leaving_at)
        leaving = backend.state is desired.BackendState.LEAVING
        since = entry.leaving_at if entry and not entry.removed else None
        now = self._clock.monotonic()
        answered_at = self._leaving_answer_at.get(backend.key)
        if answered_at is not None:
            leaving = True
            since = answered_at if since is None else min(since, answered_at)
        self._usable.pop(backend.service, None)
        if entry is not None:
            self._usable.pop(entry.backend.service, None)
        self._newest_lives[backend.id] = backend
        self._entries[backend.key] = _Entry(
            backend,
            position,
            (now - confirmation.max_age if since is None else since)
            if leaving
            else None,
            reappeared_at=now
            if is_new_era and self._has_ended(entry)
            else None,
        )
        if entry is None or entry.backend.state is not backend.state:
            logging.info(
                "backend server state",
                extra={
                    "backend": backend.key,
                    "service": backend.service,
                    "address": backend.address,
                    "state": backend.state.value,
                    "offset": positions.offset(position),
                    "era": positions.era(position),
                },
            )
        self.on_entry(backend)

    def _has_ended(self, entry: _Entry | None) -> bool:
        """Return whether a life was removed for good before this record."""
        if entry is None or entry.reappeared_at is not None:
            return True
        return entry.removed and not self._may_use_removed(
            entry, self._clock.monotonic()
        )

    def _remove(
        self,
        backend_id: desired.BackendId,
        entry: _Entry | None,
        position: positions.Position,
        confirmation: drain_times.Confirmation,
        *,
        is_new_era: bool = False,
    ) -> None:
        if entry is None:
            self._removed_positions[backend_id] = position
            return
        entry.position = position
        if entry.removed:
            return
        self._usable.pop(entry.backend.service, None)
        entry.removed = True
        entry.removal_is_uncertain = (
            confirmation.store_was_away or is_new_era
        ) and entry.leaving_at is None
        entry.lost_in_restore = is_new_era
        if entry.leaving_at is None:
            entry.leaving_at = self._clock.monotonic() - confirmation.max_age
        logging.info(
            "backend entry removed",
            extra={
                "backend": entry.backend.key,
                "offset": positions.offset(position),
                "era": positions.era(position),
                "lapsed": entry.removal_is_uncertain,
                "max_age_ms": confirmation.max_age // _MS,
            },
        )

    def _forget_removed(self) -> None:
        now = self._clock.monotonic()
        for key, entry in list(self._entries.items()):
            if not entry.removed or entry.leaving_at is None:
                continue
            if now - entry.leaving_at > max(
                self._max_drain_time(), _REWRITE_TIME
            ):
                self.forget(key, "its entry was removed from the list")


def _age_to_count(
    result: platform.ReadResult, store_was_away: bool
) -> datetime.timedelta:
    """Return the age that the drain time of records in a read counts.

    While the store is away it confirms nothing, so that the time runs from
    its return.
    """
    return datetime.timedelta() if store_was_away else result.max_age


def _is_later_era(one: positions.Position, other: positions.Position) -> bool:
    """Return whether position ``one`` is of a later era than ``other``."""
    return positions.era(one) > positions.era(other)
