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
from lugcross import experts
from lugcross import ids
from lugcross import platform

#: Time between two readings of counts. Demand jumps every few seconds;
#: each reading is priced by its counts.
_READ = datetime.timedelta(milliseconds=800)
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
class Sight:
    """Reads the counts of one rank of each service again and again."""

    def __init__(
        self, engines: platform.Engines, clock: clock_lib.Clock
    ) -> None:
        self._engines = engines
        self._clock = clock
        self._last: dict[ids.ServiceName, _Reading] = {}
        self._seen: dict[
            ids.ServiceName, tuple[experts.Demand, clock_lib.Instant]
        ] = {}

    def clear(self) -> None:
        """Forget everything: another process has looked meanwhile."""
        self._last.clear()
        self._seen.clear()

    async def demand(
        self,
        service: ids.ServiceName,
        groups: Iterable[groups_lib.Group],
        limits: experts.Limits,
    ) -> experts.Demand | None:
        """Return what was in demand since the last reading, if it is due.

        All groups of a service see the same demand, so that one rank of
        one of them tells enough.
        """
        source = next((g for g in groups if g.is_open and g.whole), None)
        now = self._clock.monotonic()
        last = self._last.get(service)
        if source is None:
            return None
        if last is not None and now - last.at < _READ:
            return None
        backend = source.members[experts.Rank(0)]
        try:
            counts = await self._engines.counts(backend, limits)
        except platform.EngineError as exc:
            logging.info("no counts", extra={"why": str(exc)})
            return None
        self._last[service] = _Reading(backend.key, counts, now)
        if last is None or last.backend != backend.key:
            return None
        uses = experts.between(last.counts, counts)
        if uses is not None:
            self._seen[service] = uses, now
        return uses

    def lately(self, service: ids.ServiceName) -> experts.Demand | None:
        """Return what was in demand a while ago, for a group just formed.

        About half of it has changed every few seconds; the rest is more
        than a new group's first map knows.
        """
        found = self._seen.get(service)
        if found is None or self._clock.monotonic() - found[1] > _LATELY:
            return None
        return found[0]
