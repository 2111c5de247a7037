# SPDX-License-Identifier: Apache-2.0
"""Rank groups that form anew with another number of ranks.

The group never became complete again, so its expert map was not changed any
more. A rank on a new server reported the new size; the group was replaced by
an empty one, but its other servers still counted as ranks of the old one and
were not asked again.
"""

import asyncio
import dataclasses

import edge_rig
import pytest

from lugcross import desired
from lugcross.edge import rank_groups
from lugcross.edge import rank_queries
from lugcross.edge import server_backoffs
from lugcross import experts

ENGINE = desired.EngineSpec(
    slots=6,
    kv_cache_tokens=1000,
    experts=experts.ExpertLimits(
        layer_set_count=1,
        expert_count=12,
        max_experts_per_rank=6,
        max_new_experts_per_map=2,
        copy_s=0.1,
        expert_time_ratio=0.5,
    ),
)


def _report(rank: int, rank_count: int, epoch: int) -> experts.RankReport:
    return experts.RankReport(
        group="g",
        rank_count=rank_count,
        rank=experts.Rank(rank),
        epoch=experts.Epoch(epoch),
        is_open=True,
        request_count=0,
        last_pass=experts.PassNumber(1),
        version_in_use=experts.MapVersion(0),
        prepared_version=None,
        armed_order=None,
        held_pass=None,
    )


def _servers(count: int) -> list[desired.Backend]:
    return [
        dataclasses.replace(
            edge_rig.backend(), id=desired.BackendId(f"i-{num}")
        )
        for num in range(count)
    ]


class _FakeEngines:
    """Engines of one group, each with its report."""

    def __init__(self) -> None:
        self.reports: dict[desired.BackendKey, experts.RankReport] = {}

    async def report(self, backend: desired.Backend) -> experts.RankReport:
        return self.reports[backend.key]


@pytest.fixture
def queries(manual_clock):
    """Return queries of engines, and the groups they keep up to date."""
    groups = rank_groups.RankGroups()
    return (
        rank_queries.RankQueries(
            _FakeEngines(),
            groups,
            manual_clock,
            server_backoffs.ServerBackoffs(manual_clock),
        ),
        groups,
    )


def _discover(queries, servers, manual_clock) -> None:
    manual_clock.advance(rank_queries._DISCOVERY_INTERVAL)
    asyncio.run(queries.discover_ranks(servers, ENGINE))


def test_servers_are_asked_again_when_a_new_rank_reports_another_size(
    queries, manual_clock
):
    query, groups = queries
    servers = _servers(5)
    for rank, server in enumerate(servers[:4]):
        query._engines.reports[server.key] = _report(rank, 4, 1)
    _discover(query, servers[:4], manual_clock)
    assert not groups.servers_of_unknown_rank(servers[:4])
    # The server of rank 3 is replaced, and the group forms with three ranks.
    left = [*servers[:2], servers[4]]
    for rank, server in enumerate(left):
        query._engines.reports[server.key] = _report(rank, 3, 2)
    groups.retain_servers(servers[0].service, left)
    _discover(query, [servers[4]], manual_clock)
    assert groups.servers_of_unknown_rank(left) == servers[:2]
    _discover(query, servers[:2], manual_clock)
    (group,) = groups.of_service(servers[0].service)
    assert group.is_complete


def test_group_is_discovered_again_when_a_known_rank_reports_another_size(
    queries, manual_clock
):
    query, groups = queries
    servers = _servers(4)
    for rank, server in enumerate(servers):
        query._engines.reports[server.key] = _report(rank, 4, 1)
    _discover(query, servers, manual_clock)
    (group,) = groups.of_service(servers[0].service)
    assert group.is_complete
    left = servers[:3]
    groups.retain_servers(servers[0].service, left)
    for rank, server in enumerate(left):
        query._engines.reports[server.key] = _report(rank, 3, 2)
    asyncio.run(query.update_state(group))
    assert groups.servers_of_unknown_rank(left) == left
    _discover(query, left, manual_clock)
    (group,) = groups.of_service(servers[0].service)
    assert group.is_complete
    assert group.rank_count == 3


def test_late_report_of_the_size_before_changes_nothing(queries, manual_clock):
    query, groups = queries
    servers = _servers(3)
    for rank, server in enumerate(servers):
        query._engines.reports[server.key] = _report(rank, 3, 2)
    _discover(query, servers, manual_clock)
    (group,) = groups.of_service(servers[0].service)
    asyncio.run(query.update_state(group))
    for rank, server in enumerate(servers):
        query._engines.reports[server.key] = _report(rank, 4, 1)
    asyncio.run(query.update_state(group))
    assert groups.of_service(servers[0].service) == [group]
    assert not groups.servers_of_unknown_rank(servers)
