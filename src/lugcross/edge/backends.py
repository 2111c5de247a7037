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
_LAPSE_PART = 0.85
#: Part of the drain bound for which a leaving server may still be used
#: where no other is left; the rest covers a request's own way.
_DRAIN_PART = 0.5
#: Time in which servers have written again what a copy of the store lacks,
#: about two seconds by the platform's word, and the way of that news to here.
_WRITTEN_AGAIN = datetime.timedelta(seconds=2.2)
#: Characters of what another writer wrote that a log line shows.
_SHOWN = 200
#: Lives of which is kept that they said that they leave: more than end within
#: the minutes for which the list may still name one that has.
_SAID_MOST = 2_000
#: Of these, how many one datagram tells of, the newest.
_SAID_TOLD_MOST = 16
#: How long a list with leaving servers is used before it is looked through
#: anew: a small part of what is left of the drain bound.
_LOOK_AGAIN = datetime.timedelta(milliseconds=50)


@final
@dataclasses.dataclass
class _Known:
    """One backend server and the offset of its newest record.

    :param leaving_at: when it was learned that it leaves or is gone.
    :param lapsed: whether its entry may have gone only because the
        store was away.
    :param copied: whether it may have gone only because the store came back
        from a copy that is older than the entry.
    :param doubted_at: since when an entry stands that may only be older than
        the end of this life.
    """

    backend: desired.Backend
    offset: positions.Position
    leaving_at: clock_lib.Instant | None = None
    removed: bool = False
    lapsed: bool = False
    copied: bool = False
    doubted_at: clock_lib.Instant | None = None


@final
@dataclasses.dataclass(frozen=True)
class _List:
    """Servers that new requests of a service may go to, until then."""

    servers: tuple[desired.Backend, ...]
    until: clock_lib.Instant


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
        self._known: dict[desired.BackendKey, _Known] = {}
        #: Newest life of each server, and the offset of its last entry
        #: once that is forgotten.
        self._lives: dict[desired.BackendId, desired.Backend] = {}
        self._removed: dict[desired.BackendId, positions.Position] = {}
        #: When lives said that they leave; oldest first.
        self._said: dict[desired.BackendKey, clock_lib.Instant] = {}
        self._lists: dict[ids.ServiceName, _List] = {}
        self.end = positions.START
        self.heard: clock_lib.Instant | None = None
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
        for known in list(self._known.values()):
            name = known.backend.id
            if name not in listed and known.offset < tail.end:
                gone = platform.KeyedRecord(last, name, b"")
                self._take(gone, store_was_away)
        self.apply(tail, store_was_away=store_was_away)

    def apply(
        self, tail: platform.ReadResult, *, store_was_away: bool
    ) -> None:
        """Take over records that follow those known."""
        for record in sorted(tail.records, key=lambda one: one.position):
            self._take(record, store_was_away)
        self.end = max(self.end, tail.end)
        self.heard = self._clock.monotonic()
        self._forget()

    def of(self, service: ids.ServiceName) -> tuple[desired.Backend, ...]:
        """Return the servers that may get new requests of ``service``.

        Leaving ones only where there is no other, and not for long. The
        same object is returned as long as nothing has changed.
        """
        now = self._clock.monotonic()
        held = self._lists.get(service)
        if held is None or now >= held.until:
            held = self._look_through(service, now)
            self._lists[service] = held
        return held.servers

    def _look_through(
        self, service: ids.ServiceName, now: clock_lib.Instant
    ) -> _List:
        here = [
            known
            for known in self._known.values()
            if known.backend.service == service
        ]
        ready = [known.backend for known in here if self._is_ready(known, now)]
        if len(ready) == len(here):
            return _List(tuple(ready), datetime.timedelta.max)
        held = [known for known in here if self._held(known, now)]
        # Servers write again what a copy of the store lacks.
        ready += [known.backend for known in held if known.copied]
        lapsed = [known.backend for known in held if not known.copied]
        # Entries lapse all together; a few that go have left, even if the
        # store was away from here a moment before.
        if len(lapsed) > len(ready):
            usable = ready + lapsed
        else:
            usable = ready or self._still_leaving(here, now)
        if not usable:
            doubted = [known for known in here if known.doubted_at is not None]
            usable = [known.backend for known in doubted]
        return _List(tuple(usable), now + _LOOK_AGAIN)

    def _is_ready(self, known: _Known, now: clock_lib.Instant) -> bool:
        if known.leaving_at is not None:
            return False
        since = known.doubted_at
        # By then, news of what was written again are here.
        return since is None or now - since >= _WRITTEN_AGAIN + self._drain()

    def _still_leaving(
        self, here: list[_Known], now: clock_lib.Instant
    ) -> list[desired.Backend]:
        """Return leaving servers that may be used for a while."""
        return [
            known.backend
            for known in here
            if known.leaving_at is not None
            and now - known.leaving_at < self._drain() * _DRAIN_PART
        ]

    def service_of(self, key: desired.BackendKey) -> ids.ServiceName | None:
        """Return the service of a server; none if it is not known."""
        known = self._known.get(key)
        return None if known is None else known.backend.service

    def age(self) -> datetime.timedelta:
        """Return how long ago the list was last told."""
        if self.heard is None:
            return datetime.timedelta.max
        return self._clock.monotonic() - self.heard

    def all(self) -> list[desired.Backend]:
        """Return every server that is known."""
        return [known.backend for known in self._known.values()]

    def forget(self, key: desired.BackendKey, why: str) -> None:
        """Drop a server that is proved to be gone."""
        known = self._known.pop(key, None)
        if known is None:
            return
        self._lists.pop(known.backend.service, None)
        self._removed[known.backend.id] = known.offset
        logging.info("backend server gone", extra={"backend": key, "why": why})

    def says_it_leaves(self, key: desired.BackendKey) -> None:
        """Note that a server's own answer says that it is leaving.

        Whatever the list says of this life, now or later, does not undo it:
        the list may be old, and most servers leave before it says so. One that
        stays all the same gets nothing until its next life.
        """
        if key in self._said:
            return
        now = self._clock.monotonic()
        self._said[key] = now
        if len(self._said) > _SAID_MOST:
            del self._said[next(iter(self._said))]
        known = self._known.get(key)
        if known is None:
            return
        logging.info("backend server says it leaves", extra={"backend": key})
        known.lapsed = False
        if known.leaving_at is None:
            known.leaving_at = now
        self._lists.pop(known.backend.service, None)

    def said_only(self) -> list[desired.BackendKey]:
        """Return servers that say they leave, while the list does not."""
        here = [self._known[key] for key in self._said if key in self._known]
        return [
            one.backend.key
            for one in here
            if not one.removed
            and one.backend.state is desired.BackendState.READY
        ][-_SAID_TOLD_MOST:]

    def _held(self, known: _Known, now: clock_lib.Instant) -> bool:
        if not known.lapsed or known.leaving_at is None:
            return False
        most = self._drain() * _LAPSE_PART
        if known.copied:
            most = _WRITTEN_AGAIN
        return now - known.leaving_at < most

    def _take(self, record: platform.KeyedRecord, away: bool) -> None:
        name = desired.BackendId(record.key)
        life = self._lives.get(name)
        known = self._known.get(life.key) if life else None
        newest = known.offset if known else self._removed.get(name)
        if newest is not None and record.position <= newest:
            return
        copied = newest is not None and _is_later(record.position, newest)
        self.records[record.key] = record
        if not record.value:
            self._remove(name, known, record.position, away, copied=copied)
            return
        try:
            backend = self._life(record, life)
        except errors.ChangeError as exc:
            # Whoever wrote it, it names no server, nor the one before.
            logging.warning(
                "entry kept out",
                extra={"backend": name[:_SHOWN], "why": exc.what[:_SHOWN]},
            )
            self._remove(name, known, record.position, False)
            return
        if backend is None:
            self._pass_over(record, known)
            return
        if life is not None and backend.key != life.key:
            self.forget(life.key, "it has started again")
            known = None
            copied = False
        self._note(backend, known, record.position, copied=copied)

    def _life(
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

    def _pass_over(
        self, record: platform.KeyedRecord, known: _Known | None
    ) -> None:
        """Leave an entry of an earlier life alone; the later one stands."""
        logging.info("entry of an earlier life", extra={"backend": record.key})
        if known is not None:
            known.offset = record.position
        else:
            self._removed[desired.BackendId(record.key)] = record.position

    def _note(
        self,
        backend: desired.Backend,
        known: _Known | None,
        offset: positions.Position,
        *,
        copied: bool,
    ) -> None:
        """Take over an entry.

        :param copied: whether it is the first of this life in a new era of
            the store: then it may be older than what is known.
        """
        if copied and known and known.leaving_at and not known.removed:
            self._said.setdefault(backend.key, known.leaving_at)
        leaving = backend.state is desired.BackendState.LEAVING
        since = known.leaving_at if known and not known.removed else None
        now = self._clock.monotonic()
        said = self._said.get(backend.key)
        if said is not None:
            leaving = True
            since = said if since is None else min(since, said)
        self._lists.pop(backend.service, None)
        if known is not None:
            self._lists.pop(known.backend.service, None)
        self._lives[backend.id] = backend
        self._known[backend.key] = _Known(
            backend,
            offset,
            (now if since is None else since) if leaving else None,
            doubted_at=now if copied and self._has_ended(known) else None,
        )
        if known is None or known.backend.state is not backend.state:
            logging.info(
                "backend server",
                extra={
                    "backend": backend.key,
                    "service": backend.service,
                    "address": backend.address,
                    "state": backend.state.value,
                    "offset": positions.offset(offset),
                    "era": positions.era(offset),
                },
            )

    def _has_ended(self, known: _Known | None) -> bool:
        """Tell whether a life was gone from the list for good."""
        if known is None or known.doubted_at is not None:
            return True
        return known.removed and not self._held(known, self._clock.monotonic())

    def _remove(
        self,
        name: desired.BackendId,
        known: _Known | None,
        offset: positions.Position,
        away: bool,
        *,
        copied: bool = False,
    ) -> None:
        if known is None:
            self._removed[name] = offset
            return
        known.offset = offset
        if known.removed:
            return
        self._lists.pop(known.backend.service, None)
        known.removed = True
        known.lapsed = (away or copied) and known.leaving_at is None
        known.copied = copied
        if known.leaving_at is None:
            known.leaving_at = self._clock.monotonic()
        logging.info(
            "backend server removed",
            extra={
                "backend": known.backend.key,
                "offset": positions.offset(offset),
                "era": positions.era(offset),
                "lapsed": known.lapsed,
            },
        )

    def _forget(self) -> None:
        now = self._clock.monotonic()
        for key, known in list(self._known.items()):
            if not known.removed or known.leaving_at is None:
                continue
            if now - known.leaving_at > max(self._drain(), _WRITTEN_AGAIN):
                self.forget(key, "its entry is gone from the list")


def _is_later(one: positions.Position, other: positions.Position) -> bool:
    """Tell whether a place is of a later era than another."""
    return positions.era(one) > positions.era(other)
