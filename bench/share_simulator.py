# SPDX-License-Identifier: Apache-2.0
"""Discrete-event simulation of a fleet that serves competing workspaces.

Each process has its own edge state and learns of the requests of others only
from their periodic updates. Arrivals and durations of requests are random,
from one seed.
"""

import collections
import dataclasses
import datetime
import heapq
import itertools
import random

import edge_settings

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import admission
from lugcross.edge import edge_state as edge_state_lib
from lugcross import ids
from lugcross import platform

SERVICE = ids.ServiceName("s")
SLOTS = 6
#: Requests in progress that each backend server is assumed to sustain.
LEARNED_LIMIT = 4.0
MEAN_REQUEST_S = 1.7
ROUTE = desired.Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=desired.RouteKind.STREAM,
    weighted_services=(desired.WeightedService(SERVICE, 1.0),),
    timeout=datetime.timedelta(seconds=8),
    latency_target=datetime.timedelta(seconds=0.5),
    resumable=True,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadProfile:
    """The request rates of the workspaces.

    :param rates: requests a second by workspace.
    :param surging: the workspace whose rate is multiplied by
        ``surge_factor`` from ``surge_start_s`` until ``surge_end_s``.
    """

    rates: dict[str, float]
    surging: str = ""
    surge_factor: float = 1.0
    surge_start_s: float = 0.0
    surge_end_s: float = 0.0

    def rate(self, space: str, now: float) -> float:
        surges = (
            space == self.surging
            and self.surge_start_s <= now < self.surge_end_s
        )
        return self.rates[space] * (self.surge_factor if surges else 1.0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class GossipTiming:
    """When processes receive updates of each other.

    :param interval_s: time between the updates of one process; 0 for none.
    :param delay_s: time until an update arrives.
    """

    interval_s: float = 0.05
    delay_s: float = 0.002


class Fleet:
    """Edge processes that share the same backend servers.

    :ivar sent: requests by workspace and second of their arrival.
    :ivar served: those of them that were admitted.
    """

    def __init__(
        self,
        load: LoadProfile,
        *,
        processes: int,
        servers: int,
        gossip: GossipTiming,
        seed: int,
        by_workspace: bool = True,
    ) -> None:
        self.load = load
        self.gossip = gossip
        self.rng = random.Random(seed)
        self.clock = clock_lib.ManualClock()
        self.by_workspace = by_workspace
        self.edge_states = [
            self._edge_state(num, servers) for num in range(processes)
        ]
        self.sent: collections.Counter[tuple[str, int]] = collections.Counter()
        self.served: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        #: Requests in progress at all processes.
        self.running = 0
        self.max_running = 0
        self.places = LEARNED_LIMIT * servers
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, tuple[object, ...]]] = []
        self._now = 0.0

    def _edge_state(self, num: int, servers: int) -> edge_state_lib.EdgeState:
        edge_state = edge_state_lib.EdgeState(
            edge_settings.settings(),
            clock=self.clock,
            rng=random.Random(f"{num}"),
        )
        spaces = {
            f"key-{name}": desired.Workspace(name=ids.WorkspaceName(name))
            for name in self.load.rates
        }
        edge_state.adopt(
            desired.DesiredState(
                version=1,
                routes={"h": (ROUTE,)},
                services={SERVICE: desired.Service(name=SERVICE)},
                limits=edge_settings.LIMITS,
                workspaces_by_key=spaces,
                keys_required=True,
            ),
            b"",
        )
        rows = tuple(
            platform.KeyedRecord(
                ids.Offset(one),
                f"i-{one}",
                b'{"service":"s","address":"10.0.0.1:%d","zone":"d%d",'
                b'"version":"v1","slots":%d,"state":"ready","cold_ms":0,'
                b'"sequence":1}' % (1000 + one, one % 3, SLOTS),
            )
            for one in range(servers)
        )
        tail = platform.ReadResult(end=ids.Offset(servers), records=rows)
        edge_state.backends.apply(tail, store_was_away=False)
        return edge_state

    def _schedule(self, when: float, *what: object) -> None:
        heapq.heappush(self._events, (when, next(self._event_numbers), what))

    def run(self, seconds: float) -> "Fleet":
        """Simulate so many seconds; return the fleet itself."""
        for name in self.load.rates:
            self._schedule(self._next_arrival(name, 0.0), "arrival", name)
        if self.gossip.interval_s:
            for num in range(len(self.edge_states)):
                self._schedule(
                    self.rng.random() * self.gossip.interval_s, "publish", num
                )
        while self._events and self._events[0][0] < seconds:
            when, _, what = heapq.heappop(self._events)
            self.clock.advance(datetime.timedelta(seconds=when - self._now))
            self._now = when
            getattr(self, f"_on_{what[0]}")(*what[1:])
        return self

    def _next_arrival(self, name: str, now: float) -> float:
        # Drawn at the highest rate; :meth:`_on_arrival` drops the excess.
        max_rate = self.load.rates[name] * (
            self.load.surge_factor if name == self.load.surging else 1.0
        )
        arrival: float = now + self.rng.expovariate(max_rate)
        return arrival

    def _on_arrival(self, name: str) -> None:
        now = self._now
        self._schedule(self._next_arrival(name, now), "arrival", name)
        surge_factor = (
            self.load.surge_factor if name == self.load.surging else 1.0
        )
        fraction = self.load.rate(name, now) / (
            self.load.rates[name] * surge_factor
        )
        if self.rng.random() >= fraction:
            return
        self.sent[name, int(now)] += 1
        edge_state = self.rng.choice(self.edge_states)
        key = self._admit(edge_state, name)
        if key is None:
            return
        self.served[name, int(now)] += 1
        edge_state.loads.record_started(key)
        edge_state.workspace_usage.request_started(
            SERVICE, ids.WorkspaceName(name)
        )
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        duration_s = MEAN_REQUEST_S * self.rng.uniform(0.5, 1.5)
        self._schedule(now + duration_s, "finish", edge_state, name, key)

    def _admit(
        self, edge_state: edge_state_lib.EdgeState, name: str
    ) -> desired.BackendKey | None:
        found = edge_state.selection.choose(SERVICE, ())
        if found is None:
            return None
        snapshot = edge_state.load_snapshot(
            SERVICE, least_busy_requests=found.least_busy_requests
        )
        space = desired.Workspace(name=ids.WorkspaceName(name))
        admission_request = edge_state.admission_request(ROUTE, SERVICE, space)
        if not self.by_workspace:
            admission_request = admission.AdmissionRequest()
        verdict = admission.refusal_reason(
            snapshot, LEARNED_LIMIT, admission_request
        )
        return found.best.backend.key if verdict is None else None

    def _on_finish(
        self,
        edge_state: edge_state_lib.EdgeState,
        name: str,
        key: desired.BackendKey,
    ) -> None:
        edge_state.loads.record_ended(key)
        edge_state.workspace_usage.request_ended(
            SERVICE, ids.WorkspaceName(name)
        )
        self.running -= 1

    def _on_publish(self, num: int) -> None:
        edge_state = self.edge_states[num]
        self._schedule(self._now + self.gossip.interval_s, "publish", num)
        when = self._now + self.gossip.delay_s
        self._schedule(
            when,
            "delivery",
            num,
            edge_state.loads.own_requests(),
            edge_state.workspace_usage.own_counts(),
        )

    def _on_delivery(
        self,
        num: int,
        running: dict[desired.BackendKey, int],
        uses: dict[int, int],
    ) -> None:
        for other, edge_state in enumerate(self.edge_states):
            if other != num:
                edge_state.loads.record_peer_requests(f"n{num}", running)
                edge_state.workspace_usage.apply_peer_counts(f"n{num}", uses)

    def served_ratio(self, names: set[str], start_s: int, end_s: int) -> float:
        """Return the fraction of the workspaces' requests that was served."""
        sent = served = 0
        for (name, second), count in self.sent.items():
            if name in names and start_s <= second < end_s:
                sent += count
                served += self.served[name, second]
        return served / max(1, sent)
