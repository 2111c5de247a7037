# SPDX-License-Identifier: Apache-2.0
"""What experts are in demand, as one process sees it from afar."""

from collections.abc import Iterable
import dataclasses
import datetime
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import groups as groups_lib
from lugcross.edge import rests as rests_lib
from lugcross import experts
from lugcross import ids
from lugcross import platform

#: Time between two readings of counts. Demand jumps every few seconds;
#: each reading is priced by its counts.
_READ = datetime.timedelta(milliseconds=800)
#: The same where nothing has been seen yet, as after a takeover or where
#: the group has just formed: a few passes, of which the counts of one rank
#: tell enough.
_FIRST_GAP = datetime.timedelta(milliseconds=250)
#: Age up to which a group that formed anew is planned for by old demand.
_LATELY = datetime.timedelta(seconds=15)


@final
@dataclasses.dataclass(frozen=True)
class _Reading:
    """Counts of one rank and when they were read."""

    backend: desired.BackendKey
    counts: experts.Counts
    at: clock_lib.Instant


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Seen:
    """What was in demand between two readings.

    :param at: when the second of them was made.
    :param past: whether demand has jumped since.
    """

    uses: experts.Demand
    at: clock_lib.Instant
    past: bool = False


@final
class Sight:
    """Reads the counts of one rank of each service again and again."""

    def __init__(
        self,
        engines: platform.EngineClient,
        clock: clock_lib.Clock,
        rests: rests_lib.Rests,
    ) -> None:
        self._rests = rests
        self._engines = engines
        self._clock = clock
        self._last: dict[ids.ServiceName, _Reading] = {}
        self._gaps: dict[ids.ServiceName, datetime.timedelta] = {}
        self._seen: dict[ids.ServiceName, Seen] = {}

    def clear(self) -> None:
        """Forget everything: another process has looked meanwhile."""
        self._last.clear()
        self._gaps.clear()
        self._seen.clear()

    def jumped(
        self, service: ids.ServiceName, settle: datetime.timedelta
    ) -> None:
        """Begin anew: what was counted before tells of the past.

        :param settle: time in which counts tell enough of the new demand.
        """
        self._last.pop(service, None)
        self._gaps[service] = settle
        seen = self._seen.get(service)
        if seen is not None:
            self._seen[service] = dataclasses.replace(seen, past=True)

    async def look(
        self,
        service: ids.ServiceName,
        groups: Iterable[groups_lib.Group],
        limits: experts.Limits,
    ) -> None:
        """Read the counts of one rank, if that is due.

        All groups of a service see the same demand, so that one rank of
        one of them tells enough.
        """
        source = next((g for g in groups if g.is_open and g.whole), None)
        now = self._clock.monotonic()
        last = self._last.get(service)
        if source is None:
            return
        if last is not None and now - last.at < self._gap(service):
            return
        awake = source.awake(self._rests.servers())
        if not awake:
            return
        backend = source.members[awake[0]]
        try:
            counts = await self._engines.counts(backend, limits)
        except platform.EngineQueryError as exc:
            logging.info("no counts", extra={"why": str(exc)})
            return
        self._last[service] = _Reading(backend.key, counts, now)
        if last is None or last.backend != backend.key:
            return
        self._gaps.pop(service, None)
        if last.counts.epoch != counts.epoch:
            self._gaps[service] = _FIRST_GAP
        uses = experts.between(last.counts, counts)
        if uses is not None:
            self._seen[service] = Seen(uses=uses, at=now)

    def _gap(self, service: ids.ServiceName) -> datetime.timedelta:
        usual = _READ if service in self._seen else _FIRST_GAP
        return self._gaps.get(service, usual)

    def demand(
        self, service: ids.ServiceName, group: groups_lib.Group
    ) -> Seen | None:
        """Return what a group's map should be planned by, if it is known.

        For one that has just formed anew that may be what was in demand a
        while ago: about half of it has changed every few seconds; the rest
        is more than the group's first map knows.
        """
        seen = self._seen.get(service)
        if seen is None:
            return None
        age = self._clock.monotonic() - seen.at
        if group.is_new:
            return seen if age <= _LATELY else None
        return seen if age <= _READ and not seen.past else None
