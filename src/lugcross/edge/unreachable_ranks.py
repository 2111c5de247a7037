# SPDX-License-Identifier: Apache-2.0
"""Rank groups with ranks in failure domains that can't be reached; no I/O.

A group that has lost a rank stalls, and refuses all requests a moment later,
so none of its ranks is of use, also those that can be reached.
"""

from collections.abc import Sequence

from lugcross import desired
from lugcross.edge import rank_groups
from lugcross import ids


def mark_groups(
    groups: rank_groups.RankGroups,
    backends: Sequence[desired.Backend],
    unreachable: frozenset[ids.DomainName],
) -> list[rank_groups.RankGroup]:
    """Mark the groups of which a rank cannot be known to be reachable.

    A missing rank may be any server of unknown rank. If all of these are in
    unreachable domains, so is the rank, or its server is gone. Without an
    unreachable domain, missing ranks are merely not known yet.

    :param backends: all backend servers of one service.
    :returns: the groups that were open so far.
    """
    found = _groups_of(groups, backends)
    if not unreachable:
        for group in found:
            group.has_unreachable_rank = False
        return []
    unknown_is_reachable = any(
        one.domain not in unreachable
        for one in groups.servers_of_unknown_rank(backends)
    )
    broken = []
    for group in found:
        group.has_unreachable_rank = group.is_split(unreachable) or (
            not group.is_complete and not unknown_is_reachable
        )
        if group.has_unreachable_rank and group.is_open:
            group.is_open = False
            broken.append(group)
    return broken


def servers_without_group(
    groups: rank_groups.RankGroups, backends: Sequence[desired.Backend]
) -> list[desired.BackendKey]:
    """Return the servers of unknown rank that belong to broken groups.

    These are all of them where every known group is incomplete and has an
    unreachable rank. They are reported as broken, since each process would
    try them one after another otherwise.

    :param backends: all backend servers of one service.
    """
    found = _groups_of(groups, backends)
    if not found or any(
        one.is_complete or not one.has_unreachable_rank for one in found
    ):
        return []
    return [one.key for one in groups.servers_of_unknown_rank(backends)]


def _groups_of(
    groups: rank_groups.RankGroups, backends: Sequence[desired.Backend]
) -> list[rank_groups.RankGroup]:
    return groups.of_service(backends[0].service) if backends else []
