# SPDX-License-Identifier: Apache-2.0
"""What one process knows, in one place for those who decide by it."""

from collections.abc import Collection
import random
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import backends as backends_lib
from lugcross.edge import choice
from lugcross.edge import loads as loads_lib
from lugcross.edge import pool as pool_lib
from lugcross.edge import settings as settings_lib
from lugcross import ids
from lugcross import routing


@final
class World:
    """Desired state, backend servers, loads, connections and budgets."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        *,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._home = ids.DomainName(settings.domain)
        self._budgets: dict[ids.ServiceName, routing.RepeatBudget] = {}
        self.desired: desired.Desired | None = None
        self.desired_record = b""
        self.backends = backends_lib.Backends(
            clock, drain=settings.bounds.drain
        )
        self.loads = loads_lib.Loads(clock)
        self.pool = pool_lib.Pool(clock)

    def adopt(self, state: desired.Desired, record: bytes) -> bool:
        """Put a desired state in force, unless it is not newer."""
        held = self.desired
        if held is not None and state.version <= held.version:
            return False
        self.desired = state
        self.desired_record = record
        logging.info(
            "desired state",
            extra={
                "version": state.version,
                "before": held.version if held else None,
            },
        )
        return True

    def engine(self, service: ids.ServiceName) -> desired.Engine | None:
        """Return how the engines of ``service`` work, if it has any."""
        if self.desired is None:
            return None
        found = self.desired.services.get(service)
        return found.engine if found else None

    def choose(
        self,
        service: ids.ServiceName,
        tried: Collection[desired.BackendKey],
    ) -> choice.Candidate | None:
        """Return where a request of ``service`` should go."""
        candidates = [
            choice.Candidate(
                backend=one,
                busy=self.loads.busy(one.key),
                ejected=self.loads.ejected(one.key),
            )
            for one in self.backends.of(service)
        ]
        return choice.choose(
            candidates, home=self._home, tried=tried, rng=self._rng
        )

    def budget(self, service: ids.ServiceName) -> routing.RepeatBudget:
        """Return this process's part of the repeats of ``service``."""
        found = self._budgets.get(service)
        if found is None:
            bounds = self._settings.bounds
            found = routing.RepeatBudget(
                ratio=bounds.repeat_ratio, window_s=bounds.repeat_window_s
            )
            self._budgets[service] = found
        return found

    def sweep(self) -> None:
        """Forget what belongs to backend servers that are gone."""
        known = {one.key for one in self.backends.all()}
        self.pool.sweep(known)
        self.loads.keep_only(known)
