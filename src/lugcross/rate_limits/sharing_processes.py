# SPDX-License-Identifier: Apache-2.0
"""The processes that share the rates of backend servers; no I/O."""

from collections.abc import Callable
from collections.abc import Collection
import datetime
from typing import final

from lugcross import clock as clock_lib

#: Time for which the known processes are cached; they come and go more slowly.
_REFRESH_INTERVAL = datetime.timedelta(seconds=0.5)
#: Time for which a process counts after it was last known. Peers that are
#: silent are forgotten after 60 s; a process that is cut off for longer would
#: take their parts, which they still use.
_MEMORY_TIME = datetime.timedelta(minutes=5)
#: Time after the last process became known until all are taken as known.
_SETTLING_TIME = datetime.timedelta(seconds=5)


@final
class SharingProcesses:
    """Addresses of the processes that may use a part of a rate.

    :param known: returns the addresses of the known processes, this one
        included.
    :ivar least_count: number of processes that exist according to the
        settings.
    :ivar generation: changes whenever :meth:`names` or :meth:`is_settled`
        returns something else.
    """

    def __init__(
        self, clock: clock_lib.Clock, known: Callable[[], Collection[str]]
    ) -> None:
        self._clock = clock
        self._known = known
        self._last_known_at: dict[str, clock_lib.Instant] = {}
        self._names: frozenset[str] = frozenset()
        self._settled = False
        self._grown_at = clock.monotonic()
        self._refresh_at = clock.monotonic()
        self.least_count = 1
        self.generation = 0

    def names(self) -> frozenset[str]:
        """Return the addresses, including those that were known lately."""
        return self._names

    def is_settled(self) -> bool:
        """Return whether probably all processes are known."""
        return self._settled

    def refresh(self) -> None:
        """Look at the known processes, at most once per interval."""
        now = self._clock.monotonic()
        if now < self._refresh_at:
            return
        self._refresh_at = now + _REFRESH_INTERVAL
        known = self._known()
        self._last_known_at.update(dict.fromkeys(known, now))
        oldest = now - _MEMORY_TIME
        names = frozenset(
            name for name, at in self._last_known_at.items() if at > oldest
        )
        if names - self._names:
            self._grown_at = now
        knows_peers = len(names) > 1 or self.least_count == 1
        settled = knows_peers and now - self._grown_at >= _SETTLING_TIME
        if names == self._names and settled == self._settled:
            return
        self._last_known_at = {
            name: self._last_known_at[name] for name in names
        }
        self._names = names
        self._settled = settled
        self.generation += 1
