# SPDX-License-Identifier: Apache-2.0
"""A fleet of processes that admit requests of rival workspaces, by hand.

Each process has its own edge state and hears of the others only by their news,
which come late, rarely or never. Time is moved by hand; requests come at
random from one seed, hold their server for a while and end.
"""

import collections
import dataclasses
import datetime
import heapq
import itertools
import random

import edge_cfg

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import admission
from lugcross.edge import edge_state as edge_state_lib
from lugcross import ids
from lugcross import platform

SERVICE = ids.ServiceName("s")
SLOTS = 6
#: Requests that one server may have, as if learned from pauses.
FULL = 4.0
LIFE_S = 1.7
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
class Load:
    """Who asks how often.

    :param rates: requests a second by workspace.
    :param hot: the workspace that sends ``times`` its usual from ``since``
        until ``until``, in seconds.
    """

    rates: dict[str, float]
    hot: str = ""
    times: float = 1.0
    since: float = 0.0
    until: float = 0.0

    def rate(self, space: str, now: float) -> float:
        surges = space == self.hot and self.since <= now < self.until
        return self.rates[space] * (self.times if surges else 1.0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class News:
    """How soon processes hear of each other.

    :param gap_s: time between two pieces of news of one process; none are
        sent where it is 0.
    :param way_s: time until they arrive.
    """

    gap_s: float = 0.05
    way_s: float = 0.002


class Fleet:
    """Processes before servers that all of them share."""

    def __init__(
        self,
        load: Load,
        *,
        processes: int,
        servers: int,
        news: News,
        seed: int,
        by_workspace: bool = True,
    ) -> None:
        self.load = load
        self.news = news
        self.rng = random.Random(seed)
        self.clock = clock_lib.ManualClock()
        self.by_workspace = by_workspace
        self.edge_states = [
            self._edge_state(num, servers) for num in range(processes)
        ]
        self.asked: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.served: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        #: Requests in progress in all, by moment of an arrival.
        self.busy = 0
        self.most_busy = 0
        self.places = FULL * servers
        self._order = itertools.count()
        self._due: list[tuple[float, int, tuple[object, ...]]] = []
        self._now = 0.0

    def _edge_state(self, num: int, servers: int) -> edge_state_lib.EdgeState:
        edge_state = edge_state_lib.EdgeState(
            edge_cfg.settings(),
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
                limits=edge_cfg.LIMITS,
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

    def _at(self, when: float, *what: object) -> None:
        heapq.heappush(self._due, (when, next(self._order), what))

    def run(self, seconds: float) -> "Fleet":
        """Play from the start; return the fleet itself."""
        for name in self.load.rates:
            self._at(self._gap(name, 0.0), "ask", name)
        if self.news.gap_s:
            for num in range(len(self.edge_states)):
                self._at(self.rng.random() * self.news.gap_s, "tell", num)
        while self._due and self._due[0][0] < seconds:
            when, _, what = heapq.heappop(self._due)
            self.clock.advance(datetime.timedelta(seconds=when - self._now))
            self._now = when
            getattr(self, f"_{what[0]}")(*what[1:])
        return self

    def _gap(self, name: str, now: float) -> float:
        # Drawn at the highest rate; what is too much is left out at once.
        most = self.load.rates[name] * (
            self.load.times if name == self.load.hot else 1.0
        )
        gap: float = now + self.rng.expovariate(most)
        return gap

    def _ask(self, name: str) -> None:
        now = self._now
        self._at(self._gap(name, now), "ask", name)
        times = self.load.times if name == self.load.hot else 1.0
        usual = self.load.rate(name, now) / (self.load.rates[name] * times)
        if self.rng.random() >= usual:
            return
        self.asked[name, int(now)] += 1
        edge_state = self.rng.choice(self.edge_states)
        key = self._admitted(edge_state, name)
        if key is None:
            return
        self.served[name, int(now)] += 1
        edge_state.loads.record_started(key)
        edge_state.workspace_usage.request_started(
            SERVICE, ids.WorkspaceName(name)
        )
        self.busy += 1
        self.most_busy = max(self.most_busy, self.busy)
        life = LIFE_S * self.rng.uniform(0.5, 1.5)
        self._at(now + life, "end", edge_state, name, key)

    def _admitted(
        self, edge_state: edge_state_lib.EdgeState, name: str
    ) -> desired.BackendKey | None:
        found = edge_state.choose_backend(SERVICE, ())
        if found is None:
            return None
        snapshot = edge_state.load_snapshot(
            SERVICE, least_busy_requests=found.least_busy_requests
        )
        space = desired.Workspace(name=ids.WorkspaceName(name))
        admission_request = edge_state.admission_request(ROUTE, SERVICE, space)
        if not self.by_workspace:
            admission_request = admission.AdmissionRequest()
        verdict = admission.refusal_reason(snapshot, FULL, admission_request)
        return found.best.backend.key if verdict is None else None

    def _end(
        self,
        edge_state: edge_state_lib.EdgeState,
        name: str,
        key: desired.BackendKey,
    ) -> None:
        edge_state.loads.record_ended(key)
        edge_state.workspace_usage.request_ended(
            SERVICE, ids.WorkspaceName(name)
        )
        self.busy -= 1

    def _tell(self, num: int) -> None:
        edge_state = self.edge_states[num]
        self._at(self._now + self.news.gap_s, "tell", num)
        when = self._now + self.news.way_s
        self._at(
            when,
            "heard",
            num,
            edge_state.loads.own_requests(),
            edge_state.workspace_usage.own_counts(),
        )

    def _heard(
        self,
        num: int,
        running: dict[desired.BackendKey, int],
        uses: dict[int, int],
    ) -> None:
        for other, edge_state in enumerate(self.edge_states):
            if other != num:
                edge_state.loads.record_peer_requests(f"n{num}", running)
                edge_state.workspace_usage.apply_peer_counts(f"n{num}", uses)

    def share_served(self, names: set[str], since: int, until: int) -> float:
        """Return the share of some workspaces' requests that was served."""
        asked = served = 0
        for (name, second), count in self.asked.items():
            if name in names and since <= second < until:
                asked += count
                served += self.served[name, second]
        return served / max(1, asked)
