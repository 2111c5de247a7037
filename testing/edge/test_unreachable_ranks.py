# SPDX-License-Identifier: Apache-2.0
"""Rank groups that span a domain which the leader for maps can't reach.

On the smaller side of a cut, the process that took over knew only the ranks
that it could reach, and reported only these as broken: processes there went
on to try the servers of the other domains.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime

import edge_rig
import pytest

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import map_manager
from lugcross.edge import settings as settings_lib
from lugcross import experts
from lugcross import ids
from lugcross import platform

SERVICE = ids.ServiceName("llm")
DOMAINS = ("d0", "d1", "d2")
#: Ranks of each of two groups; those of a domain have consecutive numbers.
RANK_COUNT = 9
GROUPS = ("g0", "g1")
LIMITS = experts.ExpertLimits(
    layer_set_count=1,
    expert_count=18,
    max_experts_per_rank=4,
    max_new_experts_per_map=2,
    copy_s=0.1,
    expert_time_ratio=0.8,
)
ROUND = datetime.timedelta(seconds=1)
SHORT_ROUND = datetime.timedelta(milliseconds=50)


def _domain(key: str) -> str:
    return DOMAINS[int(key.partition("-")[2]) // len(DOMAINS)]


def _key(group: str, rank: int) -> str:
    return f"{group}-{rank}"


KEYS = [_key(group, rank) for group in GROUPS for rank in range(RANK_COUNT)]


class _Engines:
    """Engines of two groups, of which some domains can't be reached.

    :ivar cut: domains that can't be reached.
    :ivar asked: servers that were queried.
    """

    def __init__(self, edge_state: edge_state_lib.EdgeState) -> None:
        self._edge_state = edge_state
        self.cut: set[str] = set()
        self.silent: set[str] = set()
        self.asked: list[str] = []
        self.is_open = True

    async def report(self, backend: desired.Backend) -> experts.RankReport:
        self._check(backend)
        group, _, rank = str(backend.key).partition("-")
        return experts.RankReport(
            group=group,
            rank_count=RANK_COUNT,
            rank=experts.Rank(int(rank)),
            epoch=experts.Epoch(1),
            is_open=self.is_open,
            request_count=0,
            last_pass=experts.PassNumber(1),
            version_in_use=experts.MapVersion(0),
            prepared_version=None,
            armed_order=None,
            held_pass=None,
        )

    def _check(self, backend: desired.Backend) -> None:
        self.asked.append(str(backend.key))
        if str(backend.key) in self.silent:
            raise platform.EngineQueryError("silent", remedy="")
        reachability = self._edge_state.reachability
        if backend.domain in self.cut:
            reachability.record_not_connected(backend.domain, backend.address)
            raise platform.EngineQueryError("not connected", remedy="")
        reachability.record_connected(backend.domain, backend.address)

    async def counts(self, backend, limits):
        del limits
        self._check(backend)
        raise platform.EngineQueryError("no counts", remedy="")

    async def held_experts(self, backend):
        self._check(backend)
        return experts.round_robin_map(RANK_COUNT, LIMITS).ranks[0]


class _Leadership:
    """Leadership that a test grants and revokes."""

    def __init__(self) -> None:
        self.leads = True

    def is_leader(self) -> bool:
        return self.leads

    def generation(self) -> experts.Generation | None:
        return None


class Rig:
    """A map manager in domain d0, and engines in three domains."""

    def __init__(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.edge_state = edge_state_lib.EdgeState(
            edge_rig.settings(), clock=self.clock, rng=edge_rig.new_rng()
        )
        self.engines = _Engines(self.edge_state)
        self.leadership = _Leadership()
        self.notification_count = 0
        self.maps = map_manager.MapManager(
            self.edge_state,
            self.engines,
            clock=self.clock,
            sleep=asyncio.sleep,
            leadership=self.leadership,
            allocator=experts.SwitchNumberAllocator(1),
            on_group_state_change=self._count_notification,
            node="n1",
            cfg=settings_lib.Maps(),
        )
        engine = desired.EngineSpec(
            slots=6, kv_cache_tokens=1000, experts=LIMITS
        )
        state = desired.DesiredState(
            version=1,
            routes={},
            services={SERVICE: desired.Service(name=SERVICE, engine=engine)},
            limits=edge_rig.LIMITS,
            workspaces_by_key={},
            keys_required=False,
        )
        self.edge_state.adopt(state, b"")
        self.list_servers(KEYS)

    def _count_notification(self) -> None:
        self.notification_count += 1

    def list_servers(self, keys: list[str]) -> None:
        """List these servers and no others."""
        self._end = getattr(self, "_end", 0) + len(keys) + 1
        records = tuple(
            platform.KeyedRecord(
                ids.Offset(self._end - len(keys) + num),
                key,
                edge_rig.backend_entry(
                    "llm",
                    f"10.0.0.{KEYS.index(key) + 1}:80",
                    _domain(key),
                ),
            )
            for num, key in enumerate(keys)
        )
        self.edge_state.backends.replace(
            platform.ReadResult(
                end=ids.Offset(self._end + 1), records=records
            ),
            store_was_away=False,
        )
        self._end += 1

    async def rounds(self, count: int, step: datetime.timedelta = ROUND):
        for _ in range(count):
            self.clock.advance(step)
            await self.maps.round()

    def reported(self) -> set[str]:
        return {str(key) for key in self.maps.servers_of_broken_groups()}


def run(act: Callable[[Rig], Awaitable[object]]) -> None:
    async def main() -> None:
        await act(Rig())

    asyncio.run(main())


def _cut_found(rig: Rig, *domains: str) -> None:
    """Cut domains, and let requests of callers find that out."""
    rig.engines.cut = set(domains)
    for key in KEYS:
        if _domain(key) in domains:
            rig.edge_state.reachability.record_not_connected(
                ids.DomainName(_domain(key)),
                f"10.0.0.{KEYS.index(key) + 1}:80",
            )


def test_group_with_ranks_in_unreachable_domain_is_broken_at_once():
    """Its reachable ranks report it as open until it has stalled."""

    async def act(rig: Rig) -> None:
        await rig.rounds(3)
        assert rig.reported() == set()
        _cut_found(rig, "d2")
        # Without a round: one may have to wait for connections.
        assert rig.reported() == set(KEYS)
        assert not rig.edge_state.selection.eligible_servers(SERVICE)
        before = rig.notification_count
        await rig.rounds(5)
        assert rig.reported() == set(KEYS)
        assert rig.notification_count == before

    run(act)


def test_leader_that_took_over_in_a_cut_reports_all_ranks():
    """It hears only from a third of the ranks, and only once."""

    async def act(rig: Rig) -> None:
        rig.engines.cut = {"d1", "d2"}
        await rig.rounds(3)
        assert rig.reported() == set(KEYS)

    run(act)


def test_missing_ranks_break_a_group_whose_servers_are_gone_from_the_list():
    """Servers that are cut off may be removed; those left are of no use."""

    async def act(rig: Rig) -> None:
        rig.engines.cut = {"d1", "d2"}
        left = [key for key in KEYS if _domain(key) == "d0"]
        rig.list_servers([*left, "g0-3", "g1-3", "g0-8"])
        await rig.rounds(3)
        assert rig.reported() >= set(left)

    run(act)


def test_rank_that_is_silent_but_reachable_breaks_no_group():
    """One query that gets no answer must not stop a group that works."""

    async def act(rig: Rig) -> None:
        rig.engines.silent = {"g0-5"}
        await rig.rounds(5)
        assert rig.reported() == set()
        # Nor where another domain is cut off that has no ranks.
        rig.edge_state.reachability.servers_by_domain = lambda: {
            ids.DomainName("other"): ["a:1", "b:1"],
            ids.DomainName("d0"): ["c:1"],
        }
        for server in ("a:1", "b:1"):
            rig.edge_state.reachability.record_not_connected(
                ids.DomainName("other"), server
            )
        assert rig.edge_state.reachability.unreachable()
        await rig.rounds(5)
        assert rig.reported() == set()

    run(act)


def test_finding_of_the_leader_alone_breaks_no_group():
    """A fault of its own host must not stop all groups."""

    async def act(rig: Rig) -> None:
        await rig.rounds(3)
        rig.edge_state.reachability.count_peers_here = lambda: 2
        _cut_found(rig, "d2")
        await rig.rounds(2, SHORT_ROUND)
        assert rig.reported() == set()
        rig.edge_state.reachability.merge_report("n2", [ids.DomainName("d2")])
        assert rig.reported() == set(KEYS)

    run(act)


def test_group_opens_again_after_the_cut():
    async def act(rig: Rig) -> None:
        await rig.rounds(3)
        _cut_found(rig, "d2")
        rig.engines.is_open = False
        await rig.rounds(3)
        rig.engines.cut = set()
        rig.edge_state.reachability.record_connected(
            ids.DomainName("d2"), "10.0.0.9:80"
        )
        await rig.rounds(1)
        # The group still forms.
        assert rig.reported() == set(KEYS)
        rig.engines.is_open = True
        await rig.rounds(1)
        assert rig.reported() == set()

    run(act)


def test_ranks_are_remembered_without_leadership():
    """A leader that loses its duty in a cut and gets it again knows all."""

    async def act(rig: Rig) -> None:
        await rig.rounds(3)
        rig.leadership.leads = False
        await rig.rounds(1)
        assert rig.reported() == set()
        _cut_found(rig, "d1", "d2")
        rig.leadership.leads = True
        rig.engines.asked.clear()
        await rig.rounds(2)
        assert rig.reported() == set(KEYS)
        # No query waits for a connection there.
        assert {_domain(key) for key in rig.engines.asked} == {"d0"}

    run(act)


@pytest.mark.parametrize("known_group", GROUPS)
def test_group_that_is_complete_leaves_servers_without_group_in_use(
    known_group,
):
    """They may be ranks of a group that has just started."""

    async def act(rig: Rig) -> None:
        other = GROUPS[1 - GROUPS.index(known_group)]
        rig.engines.silent = {_key(other, rank) for rank in range(RANK_COUNT)}
        await rig.rounds(3)
        assert rig.reported() == set()

    run(act)
