# SPDX-License-Identifier: Apache-2.0
"""What one process believes of the backend servers, and since when."""

from collections.abc import Callable
import dataclasses
import datetime
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import errors
from lugcross import ids
from lugcross import platform
from lugcross import positions

#: Part of the drain bound for which entries that lapsed with the store are
#: still used. Live servers write theirs anew within about two seconds of
#: its return; past the bound, one that has really left must get nothing.
_LAPSED_USE_RATIO = 0.85
#: Part of the drain bound for which a leaving server may still be used
#: where no other is left; the rest covers a request's own way.
_LEAVING_USE_RATIO = 0.5
#: Time in which servers have written again what a copy of the store lacks,
#: about two seconds by the platform's word, and the way of that news to here.
_REWRITE_TIME = datetime.timedelta(seconds=2.2)
#: Characters of what another writer wrote that a log line shows.
_MAX_LOGGED_CHARS = 200
#: Lives of which is kept that they said that they leave: more than end within
#: the minutes for which the list may still name one that has.
_MAX_LEAVING_ANSWERS = 2_000
#: Of these, how many one datagram tells of, the newest.
_MAX_LEAVING_ANSWERS_SENT = 16
#: How long a list with leaving servers is used before it is looked through
#: anew: a small part of what is left of the drain bound.
_USABLE_TTL = datetime.timedelta(milliseconds=50)


@final
@dataclasses.dataclass
class _Entry:
    """One backend server and the offset of its newest record.

    :param leaving_at: when it was learned that it leaves or is gone.
    :param lapsed: whether its entry may have gone only because the
        store was away.
    :param missing_in_copy: whether it may have gone only because the store
        came back from a copy that is older than the entry.
    :param possibly_outdated_since: since when an entry stands that may only
        be older than the end of this life.
    """

    backend: desired.Backend
    position: positions.Position
    leaving_at: clock_lib.Instant | None = None
    removed: bool = False
    lapsed: bool = False
    missing_in_copy: bool = False
    possibly_outdated_since: clock_lib.Instant | None = None


@final
@dataclasses.dataclass(frozen=True)
class _UsableServers:
    """Servers that new requests of a service may go to, until then."""

    servers: tuple[desired.Backend, ...]
    expires_at: clock_lib.Instant


@final
class Backends:
    """The list of backend servers; never goes back to older records.

    :param drain: bound after which a leaving server gets nothing new.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        *,
        drain: Callable[[], datetime.timedelta],
    ) -> None:
        self._clock = clock
        self._drain = drain
        self._entries: dict[desired.BackendKey, _Entry] = {}
        #: Newest life of each server, and the offset of its last entry
        #: once that is forgotten.
        self._newest_lives: dict[desired.BackendId, desired.Backend] = {}
        self._removed_positions: dict[
            desired.BackendId, positions.Position
        ] = {}
        #: When lives said that they leave; oldest first.
        self._leaving_answer_at: dict[
            desired.BackendKey, clock_lib.Instant
        ] = {}
        self._usable: dict[ids.ServiceName, _UsableServers] = {}
        self.end = positions.START
        self.updated_at: clock_lib.Instant | None = None
        self.records: dict[str, platform.KeyedRecord] = {}

    def replace(
        self, tail: platform.ReadResult, *, store_was_away: bool
    ) -> None:
        """Take over the newest record of every key.

        A server without one has left, unless its record is newer than
        this answer: then the answer is an old one.
        """
        listed = {record.key for record in tail.records}
        # The next record has the end's own place, and may be of such a key.
        last = positions.previous(tail.end)
        for entry in list(self._entries.values()):
            name = entry.backend.id
            if name not in listed and entry.position < tail.end:
                gone = platform.KeyedRecord(last, name, b"")
                self._apply_record(gone, store_was_away)
        self.apply(tail, store_was_away=store_was_away)

    def apply(
        self, tail: platform.ReadResult, *, store_was_away: bool
    ) -> None:
        """Take over records that follow those known."""
        for record in sorted(tail.records, key=lambda one: one.position):
            self._apply_record(record, store_was_away)
        self.end = max(self.end, tail.end)
        self.updated_at = self._clock.monotonic()
        self._forget_removed()

    def usable(self, service: ids.ServiceName) -> tuple[desired.Backend, ...]:
        """Return the servers that may get new requests of ``service``.

        Leaving ones only where there is no other, and not for long. The
        same object is returned as long as nothing has changed.
        """
        now = self._clock.monotonic()
        held = self._usable.get(service)
        if held is None or now >= held.expires_at:
            held = self._find_usable(service, now)
            self._usable[service] = held
        return held.servers

    def _find_usable(
        self, service: ids.ServiceName, now: clock_lib.Instant
    ) -> _UsableServers:
        here = [
            entry
            for entry in self._entries.values()
            if entry.backend.service == service
        ]
        ready = [entry.backend for entry in here if self._is_ready(entry, now)]
        if len(ready) == len(here):
            return _UsableServers(tuple(ready), datetime.timedelta.max)
        held = [entry for entry in here if self._is_retained(entry, now)]
        # Servers write again what a copy of the store lacks.
        ready += [entry.backend for entry in held if entry.missing_in_copy]
        lapsed = [entry.backend for entry in held if not entry.missing_in_copy]
        # Entries lapse all together; a few that go have left, even if the
        # store was away from here a moment before.
        if len(lapsed) > len(ready):
            servers = ready + lapsed
        else:
            servers = ready or self._leaving_but_usable(here, now)
        if not servers:
            doubted = [
                entry
                for entry in here
                if entry.possibly_outdated_since is not None
            ]
            servers = [entry.backend for entry in doubted]
        return _UsableServers(tuple(servers), now + _USABLE_TTL)

    def _is_ready(self, entry: _Entry, now: clock_lib.Instant) -> bool:
        if entry.leaving_at is not None:
            return False
        since = entry.possibly_outdated_since
        # By then, news of what was written again are here.
        return since is None or now - since >= _REWRITE_TIME + self._drain()

    def _leaving_but_usable(
        self, here: list[_Entry], now: clock_lib.Instant
    ) -> list[desired.Backend]:
        """Return leaving servers that may be used for a while."""
        return [
            entry.backend
            for entry in here
            if entry.leaving_at is not None
            and now - entry.leaving_at < self._drain() * _LEAVING_USE_RATIO
        ]

    def service_of(self, key: desired.BackendKey) -> ids.ServiceName | None:
        """Return the service of a server; none if it is not known."""
        entry = self._entries.get(key)
        return None if entry is None else entry.backend.service

    def age(self) -> datetime.timedelta:
        """Return how long ago the list was last told."""
        if self.updated_at is None:
            return datetime.timedelta.max
        return self._clock.monotonic() - self.updated_at

    def all(self) -> list[desired.Backend]:
        """Return every server that is known."""
        return [entry.backend for entry in self._entries.values()]

    def forget(self, key: desired.BackendKey, why: str) -> None:
        """Drop a server that is proved to be gone."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return
        self._usable.pop(entry.backend.service, None)
        self._removed_positions[entry.backend.id] = entry.position
        logging.info("backend server gone", extra={"backend": key, "why": why})

    def note_leaving_answer(self, key: desired.BackendKey) -> None:
        """Note that a server's own answer says that it is leaving.

        Whatever the list says of this life, now or later, does not undo it:
        the list may be old, and most servers leave before it says so. One that
        stays all the same gets nothing until its next life.
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
        logging.info("backend server says it leaves", extra={"backend": key})
        entry.lapsed = False
        if entry.leaving_at is None:
            entry.leaving_at = now
        self._usable.pop(entry.backend.service, None)

    def leaving_by_answer_only(self) -> list[desired.BackendKey]:
        """Return servers that say they leave, while the list does not."""
        here = [
            self._entries[key]
            for key in self._leaving_answer_at
            if key in self._entries
        ]
        return [
            one.backend.key
            for one in here
            if not one.removed
            and one.backend.state is desired.BackendState.READY
        ][-_MAX_LEAVING_ANSWERS_SENT:]

    def _is_retained(self, entry: _Entry, now: clock_lib.Instant) -> bool:
        if not entry.lapsed or entry.leaving_at is None:
            return False
        most = self._drain() * _LAPSED_USE_RATIO
        if entry.missing_in_copy:
            most = _REWRITE_TIME
        return now - entry.leaving_at < most

    def _apply_record(
        self, record: platform.KeyedRecord, store_was_away: bool
    ) -> None:
        name = desired.BackendId(record.key)
        life = self._newest_lives.get(name)
        entry = self._entries.get(life.key) if life else None
        newest = entry.position if entry else self._removed_positions.get(name)
        if newest is not None and record.position <= newest:
            return
        is_new_era = newest is not None and _is_later_era(
            record.position, newest
        )
        self.records[record.key] = record
        if not record.value:
            self._remove(
                name,
                entry,
                record.position,
                store_was_away,
                is_new_era=is_new_era,
            )
            return
        try:
            backend = self._read_life(record, life)
        except errors.ChangeError as exc:
            # Whoever wrote it, it names no server, nor the one before.
            logging.warning(
                "entry kept out",
                extra={
                    "backend": name[:_MAX_LOGGED_CHARS],
                    "why": exc.what[:_MAX_LOGGED_CHARS],
                },
            )
            self._remove(name, entry, record.position, False)
            return
        if backend is None:
            self._skip_earlier_life(record, entry)
            return
        if life is not None and backend.key != life.key:
            self.forget(life.key, "it has started again")
            entry = None
            is_new_era = False
        self._put_entry(backend, entry, record.position, is_new_era=is_new_era)

    def _read_life(
        self, record: platform.KeyedRecord, life: desired.Backend | None
    ) -> desired.Backend | None:
        """Return the life of a server that an entry tells of.

        One that does not tell when its life began belongs to the one that
        is known.

        :param life: the newest one that is known.
        :returns: none if the entry tells of an earlier one.
        :raises errors.ChangeError: when it is no server's entry.
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
        """Leave an entry of an earlier life alone; the later one stands."""
        logging.info("entry of an earlier life", extra={"backend": record.key})
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
        *,
        is_new_era: bool,
    ) -> None:
        """Take over an entry.

        :param is_new_era: whether it is the first of this life in a new
            era of the store: then it may be older than what is known.
        """
        if is_new_era and entry and entry.leaving_at and not entry.removed:
            self._leaving_answer_at.setdefault(backend.key, entry.leaving_at)
        leaving = backend.state is desired.BackendState.LEAVING
        since = entry.leaving_at if entry and not entry.removed else None
        now = self._clock.monotonic()
        said = self._leaving_answer_at.get(backend.key)
        if said is not None:
            leaving = True
            since = said if since is None else min(since, said)
        self._usable.pop(backend.service, None)
        if entry is not None:
            self._usable.pop(entry.backend.service, None)
        self._newest_lives[backend.id] = backend
        self._entries[backend.key] = _Entry(
            backend,
            position,
            (now if since is None else since) if leaving else None,
            possibly_outdated_since=now
            if is_new_era and self._has_ended(entry)
            else None,
        )
        if entry is None or entry.backend.state is not backend.state:
            logging.info(
                "backend server",
                extra={
                    "backend": backend.key,
                    "service": backend.service,
                    "address": backend.address,
                    "state": backend.state.value,
                    "offset": positions.offset(position),
                    "era": positions.era(position),
                },
            )

    def _has_ended(self, entry: _Entry | None) -> bool:
        """Tell whether a life was gone from the list for good."""
        if entry is None or entry.possibly_outdated_since is not None:
            return True
        return entry.removed and not self._is_retained(
            entry, self._clock.monotonic()
        )

    def _remove(
        self,
        name: desired.BackendId,
        entry: _Entry | None,
        position: positions.Position,
        store_was_away: bool,
        *,
        is_new_era: bool = False,
    ) -> None:
        if entry is None:
            self._removed_positions[name] = position
            return
        entry.position = position
        if entry.removed:
            return
        self._usable.pop(entry.backend.service, None)
        entry.removed = True
        entry.lapsed = (
            store_was_away or is_new_era
        ) and entry.leaving_at is None
        entry.missing_in_copy = is_new_era
        if entry.leaving_at is None:
            entry.leaving_at = self._clock.monotonic()
        logging.info(
            "backend server removed",
            extra={
                "backend": entry.backend.key,
                "offset": positions.offset(position),
                "era": positions.era(position),
                "lapsed": entry.lapsed,
            },
        )

    def _forget_removed(self) -> None:
        now = self._clock.monotonic()
        for key, entry in list(self._entries.items()):
            if not entry.removed or entry.leaving_at is None:
                continue
            if now - entry.leaving_at > max(self._drain(), _REWRITE_TIME):
                self.forget(key, "its entry is gone from the list")


def _is_later_era(one: positions.Position, other: positions.Position) -> bool:
    """Tell whether a place is of a later era than another."""
    return positions.era(one) > positions.era(other)
