# SPDX-License-Identifier: Apache-2.0
"""What one process knows, in one place for those who decide by it."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import datetime
import random
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import admission
from lugcross.edge import backends as backends_lib
from lugcross.edge import choice
from lugcross.edge import endings as endings_lib
from lugcross.edge import figures as figures_lib
from lugcross.edge import lifecycle
from lugcross.edge import loads as loads_lib
from lugcross.edge import outages as outages_lib
from lugcross.edge import pace as pace_lib
from lugcross.edge import plan as plan_lib
from lugcross.edge import pool as pool_lib
from lugcross.edge import records as records_lib
from lugcross.edge import rests as rests_lib
from lugcross.edge import serving as serving_lib
from lugcross.edge import settings as settings_lib
from lugcross.edge import uses as uses_lib
from lugcross import ids
from lugcross import platform
from lugcross import routing
from lugcross import suspects

#: Part of the repeat budget that refused requests may use.
_REFUSED_PART = 0.5


@final
@dataclasses.dataclass(frozen=True)
class _Cached:
    """The servers of a service, and what they were put together from.

    :param without: sets of servers that were left out.
    """

    listed: tuple[desired.Backend, ...]
    without: tuple[frozenset[desired.BackendKey], ...]
    serving: serving_lib.Serving

    def is_of(
        self,
        listed: tuple[desired.Backend, ...],
        without: tuple[frozenset[desired.BackendKey], ...],
    ) -> bool:
        """Tell whether nothing of this has changed."""
        pairs = zip(self.without, without, strict=True)
        return self.listed is listed and all(a is b for a, b in pairs)


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
        self.desired: desired.DesiredState | None = None
        self.records = records_lib.Records()
        self.backends = backends_lib.Backends(
            clock, drain=lambda: self.bounds.drain
        )
        self.loads = loads_lib.Loads(
            clock, service_of=self.backends.service_of
        )
        self.uses = uses_lib.Uses(clock)
        self.uses.weights = settings.shares.weights
        self.outages = outages_lib.Outages(clock)
        self.slow = outages_lib.Outages(clock)
        self.rests = rests_lib.Rests(clock)
        self.pool = pool_lib.Pool(clock)
        self.figures = figures_lib.Figures()
        self.endings = endings_lib.Endings(clock, software=self.software)
        self.endings.exempt = _exempt(settings.suspects)
        self._serving: dict[ids.ServiceName, _Cached] = {}

    def software(self, service: ids.ServiceName) -> frozenset[str]:
        """Return the versions that servers of ``service`` run now."""
        return frozenset(
            one.software_version for one in self.backends.of(service)
        )

    @property
    def version(self) -> int:
        """Version of the desired state in force; 0 without one."""
        return self.desired.version if self.desired else 0

    def adopt(self, state: desired.DesiredState, record: bytes) -> bool:
        """Put a desired state in force, unless it is not newer."""
        held = self.desired
        if held is not None and state.version <= held.version:
            return False
        self.desired = state
        self.records.add(record)
        self.uses.adopt(state.services, state.workspace_names())
        logging.info(
            "desired state",
            extra={
                "version": state.version,
                "before": held.version if held else None,
            },
        )
        return True

    def allow(self, settings: settings_lib.Settings) -> None:
        """Go by other bounds, shares and exemptions from now on."""
        bounds = settings.bounds
        self.bounds = bounds
        self.uses.weights = settings.shares.weights
        self.endings.exempt = _exempt(settings.suspects)
        for budget in self._budgets.values():
            budget.allow(
                ratio=bounds.repeat_ratio,
                window_s=bounds.repeat_window_s,
                slack=bounds.repeat_slack,
            )

    def engine(self, service: ids.ServiceName) -> desired.EngineSpec | None:
        """Return how the engines of ``service`` work, if it has any."""
        if self.desired is None:
            return None
        found = self.desired.services.get(service)
        return found.engine if found else None

    def serving(self, service: ids.ServiceName) -> serving_lib.Serving:
        """Return the servers of ``service`` that new requests may go to."""
        listed = self.backends.of(service)
        broken = self.outages.servers()
        resting = self.rests.servers()
        slow = self.slow.servers()
        held = self._serving.get(service)
        if held and held.is_of(listed, (broken, resting, slow)):
            return held.serving
        out = broken | resting
        usable = [one for one in listed if one.key not in out]
        usable = serving_lib.without(usable, slow)
        found = serving_lib.of(usable, home=self._home)
        self._serving[service] = _Cached(
            listed, (broken, resting, slow), found
        )
        return found

    def rest_left(self, service: ids.ServiceName) -> datetime.timedelta | None:
        """Return how long nobody serves ``service`` because servers rest.

        :returns: 0 if one does not rest, none if there is none or all that
            there are belong to broken groups.
        """
        listed = self.backends.of(service)
        whole = {one.key for one in listed} - self.outages.servers()
        if whole - self.rests.servers():
            return datetime.timedelta()
        return self.rests.left(whole)

    def heard(
        self, backend: desired.Backend, head: platform.BackendResponseHead
    ) -> None:
        """Take over what a server says of itself beside its answer."""
        key = backend.key
        if head.load is not None:
            self.loads.told(key, head.load)
        if head.leaving and not head.wrong_instance:
            self.backends.says_it_leaves(key)
        if head.retry_after is None:
            return
        self.figures.rest_asked(backend.service)
        logging.info(
            "backend server asks for rest",
            extra={
                "request": head.attempt_id,
                "backend": key,
                "status": head.status,
                "rest_s": head.retry_after.total_seconds(),
                "rested": self.rests.rests(key),
            },
        )
        self.rests.asked(key, head.retry_after)
        self.loads.health(key).rests(
            self._clock.monotonic() + head.retry_after
        )

    def picture(
        self, service: ids.ServiceName, *, least: int = 0
    ) -> admission.Picture:
        """Return the load of ``service`` as it looks from here.

        :param least: requests of the least busy server looked at.
        """
        servers = self.serving(service)
        return admission.Picture(
            servers=len(servers),
            slots=servers.slots,
            busy=self.loads.busy_all(servers.keys),
            least=least,
            unseen=self.loads.unseen(service),
        )

    def full(self, route: desired.Route, service: ids.ServiceName) -> float:
        """Return how many requests one server of ``service`` may have."""
        engine = self.engine(service)
        if engine is not None:
            slow = self.slow.servers()
            return self.pace(service).full(
                engine,
                route.max_event_gap,
                slow=any(
                    self.backends.service_of(key) == service for key in slow
                ),
            )
        slots = [one.slots for one in self.backends.of(service)]
        return admission.PLAIN_FULL * min(slots, default=1)

    def asking(
        self,
        route: desired.Route,
        service: ids.ServiceName,
        workspace: desired.Workspace | None,
        *,
        back: bool = False,
    ) -> admission.Asking:
        """Return who asks for a place of ``service``.

        :param back: whether the request was refused before.
        """
        claim = None
        priority = route.priority
        if workspace is not None:
            claim = self.uses.claim(service, workspace.name)
            if workspace.priority is not None:
                priority = workspace.priority
        state = self.desired
        behind = state.priorities_ahead(service, priority) if state else 0
        return admission.Asking(claim=claim, back=back, behind=behind)

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
        servers = self.serving(service)
        if not servers:
            return
        self.pace(service).paused(
            pause,
            self._clock.monotonic(),
            engine=engine,
            per_engine=self.loads.busy_all(servers.keys) / len(servers),
            limit=limit,
        )

    def choose(
        self,
        service: ids.ServiceName,
        tried: Collection[desired.BackendKey],
    ) -> choice.Choice | None:
        """Return where a request of ``service`` should go.

        All servers are looked at only where those drawn are all tried or
        ejected.
        """
        servers = self.serving(service)
        found = self._choose(servers.sample(self._rng), tried)
        if found is None or found.best.ejected:
            return self._choose(servers.all, tried)
        return found

    def choose_apart(
        self,
        plan: plan_lib.Plan,
        tried: Collection[desired.BackendKey],
    ) -> choice.Choice | None:
        """Return where a suspect should go, apart from other suspects."""
        servers = self.serving(plan.service).all
        usual = self._choose(servers, tried)
        free = {
            one.key: one
            for one, busy in zip(
                servers,
                self.loads.busy_each(one.key for one in servers),
                strict=True,
            )
            if busy < one.slots
            and one.key not in tried
            and not self.loads.ejected(one.key)
        }
        key = self.endings.place(plan, list(free))
        if usual is None or key is None:
            return usual
        return choice.Choice(
            choice.Candidate(backend=free[key], busy=self.loads.busy(key)),
            usual.least,
        )

    def _choose(
        self,
        servers: Sequence[desired.Backend],
        tried: Collection[desired.BackendKey],
    ) -> choice.Choice | None:
        busy = self.loads.busy_each(one.key for one in servers)
        candidates = [
            choice.Candidate(
                backend=one,
                busy=count,
                ejected=self.loads.ejected(one.key),
                on_trial=self.loads.on_trial(one.key),
                closed=self.loads.closed(one.key),
            )
            for one, count in zip(servers, busy, strict=True)
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
        self.endings.forget_old()
        known = {one.key for one in self.backends.all()}
        self.pool.sweep(known)
        self.loads.keep_only(known)


def _exempt(
    cfg: settings_lib.Suspects,
) -> frozenset[suspects.Fingerprint]:
    """Return the requests that the operators have cleared."""
    return frozenset(
        suspects.Fingerprint(bytes.fromhex(one)) for one in cfg.cleared
    )
