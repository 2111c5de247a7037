# SPDX-License-Identifier: Apache-2.0
"""What one process knows, in one place for those who decide by it."""

from collections.abc import Callable
from collections.abc import Collection
import datetime
import random
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import admission
from lugcross.edge import backends as backends_lib
from lugcross.edge import choice
from lugcross.edge import figures as figures_lib
from lugcross.edge import lifecycle
from lugcross.edge import loads as loads_lib
from lugcross.edge import outages as outages_lib
from lugcross.edge import pace as pace_lib
from lugcross.edge import pool as pool_lib
from lugcross.edge import settings as settings_lib
from lugcross import ids
from lugcross import routing

#: Part of the repeat budget that refused requests may use.
_REFUSED_PART = 0.5


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
        #: What the operators allow now; settings may be read anew.
        self.bounds = settings.bounds
        self._clock = clock
        self._rng = rng
        self._home = ids.DomainName(settings.domain)
        self._budgets: dict[ids.ServiceName, routing.RepeatBudget] = {}
        self._returns: dict[str, admission.Returns] = {}
        self._paces: dict[ids.ServiceName, pace_lib.Pace] = {}
        #: Called with each pause between two events of a stream.
        self.on_pause: Callable[
            [desired.BackendKey, datetime.timedelta], None
        ] = lambda key, pause: None
        #: How many peers may exist, set by whoever listens to them.
        self.known_peers: Callable[[], int] = lambda: 0
        self.desired: desired.Desired | None = None
        self.desired_record = b""
        self.backends = backends_lib.Backends(
            clock, drain=lambda: self.bounds.drain
        )
        self.loads = loads_lib.Loads(clock)
        self.outages = outages_lib.Outages(clock)
        self.pool = pool_lib.Pool(clock)
        self.figures = figures_lib.Figures()

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

    def allow(self, bounds: settings_lib.Bounds) -> None:
        """Go by other bounds from now on."""
        self.bounds = bounds
        for budget in self._budgets.values():
            budget.allow(
                ratio=bounds.repeat_ratio,
                window_s=bounds.repeat_window_s,
                slack=bounds.repeat_slack,
            )

    def engine(self, service: ids.ServiceName) -> desired.Engine | None:
        """Return how the engines of ``service`` work, if it has any."""
        if self.desired is None:
            return None
        found = self.desired.services.get(service)
        return found.engine if found else None

    def serving(self, service: ids.ServiceName) -> list[desired.Backend]:
        """Return the servers of ``service`` that new requests may go to."""
        broken = self.outages.broken()
        return [
            one for one in self.backends.of(service) if one.key not in broken
        ]

    def picture(self, service: ids.ServiceName) -> admission.Picture:
        """Return the load of ``service`` as it looks from here."""
        servers = self.serving(service)
        busy = [self.loads.busy(one.key) for one in servers]
        return admission.Picture(
            servers=len(servers),
            slots=sum(one.slots for one in servers),
            busy=sum(busy),
            least=min(busy, default=0),
            fresh=self.loads.fresh(service),
            peers=self.loads.peers(),
        )

    def full(self, route: desired.Route, service: ids.ServiceName) -> float:
        """Return how many requests one server of ``service`` may have."""
        engine = self.engine(service)
        if engine is not None:
            return self.pace(service).full(engine, route.max_gap)
        slots = [one.slots for one in self.backends.of(service)]
        return admission.PLAIN_FULL * min(slots, default=1)

    def pace(self, service: ids.ServiceName) -> pace_lib.Pace:
        """Return what the pauses of the streams of ``service`` taught."""
        return self._paces.setdefault(service, pace_lib.Pace())

    def returns(self, route: str) -> admission.Returns:
        """Return what tells requests of ``route`` that come back."""
        return self._returns.setdefault(route, admission.Returns())

    def paused(
        self,
        backend: desired.Backend,
        pause: datetime.timedelta,
        limit: datetime.timedelta,
    ) -> None:
        """Learn from a pause between two events of a stream."""
        self.on_pause(backend.key, pause)
        service = backend.service
        engine = self.engine(service)
        if engine is None:
            return
        picture = self.picture(service)
        if not picture.servers:
            return
        self.pace(service).paused(
            pause,
            self._clock.monotonic(),
            engine=engine,
            per_engine=picture.busy / picture.servers,
            limit=limit,
        )

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
            for one in self.serving(service)
        ]
        return choice.choose(
            candidates, home=self._home, tried=tried, rng=self._rng
        )

    def budget(self, service: ids.ServiceName) -> routing.RepeatBudget:
        """Return this process's part of the repeats of ``service``."""
        found = self._budgets.get(service)
        if found is None:
            bounds = self.bounds
            found = routing.RepeatBudget(
                ratio=bounds.repeat_ratio,
                window_s=bounds.repeat_window_s,
                slack=bounds.repeat_slack,
            )
            self._budgets[service] = found
        return found

    def may_repeat(
        self, service: ids.ServiceName, event: lifecycle.Event
    ) -> bool:
        """Take one repeat of ``service`` from the budget, if it has one.

        A refusal often comes from all servers at once, and its caller can
        come back; a broken answer is lost, so that more is kept for it.
        """
        refused = event is lifecycle.Event.NOT_RUN
        return self.budget(service).spend(
            self._clock.monotonic(),
            part=_REFUSED_PART if refused else 1.0,
            peers=self.known_peers(),
        )

    def sweep(self) -> None:
        """Forget what belongs to backend servers that are gone."""
        known = {one.key for one in self.backends.all()}
        self.pool.sweep(known)
        self.loads.keep_only(known)
