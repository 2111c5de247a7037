# SPDX-License-Identifier: Apache-2.0
"""All pairs of faults at the moment of a change, in a small fleet.

The fleet has three failure domains of three processes each and runs in virtual
time. Each process that reaches the store, or a peer that does, must apply the
change in time, whichever two processes are cut off, cut off from the store or
have a saturated link.

``NEWS_MODEL=all pytest THIS-FILE`` runs all 324 pairs; the default is every
tenth.
"""

import asyncio
from collections.abc import Callable
import itertools
import os
import random

import edge_rig
import fleet_rig
import pytest
import virtual_time

#: Time for every process to read the store, register and find its peers.
SETTLE_TIME_S = 5.0
#: Time within which every process must apply the change.
MAX_CHANGE_S = edge_rig.BOUNDS.max_change_time.total_seconds()
#: Time for which a link is saturated; longer than a change may take.
SATURATED_S = 4.0
#: Step by which pairs are selected.
STEP = 1 if os.environ.get("NEWS_MODEL") == "all" else 10

Fault = Callable[[fleet_rig.Fleet, str], None]


def cut_off(fleet: fleet_rig.Fleet, name: str) -> None:
    fleet.cut_off(name)


def cut_off_from_store(fleet: fleet_rig.Fleet, name: str) -> None:
    fleet.cut_off_from_store(name)


def saturate_link(fleet: fleet_rig.Fleet, name: str) -> None:
    fleet.saturate_link(name, SATURATED_S)


FAULTS: list[Fault] = [cut_off, cut_off_from_store, saturate_link]
#: Processes by failure domain, and by index in the order in which those of a
#: domain take over as readers of the store.
TARGETS = [(domain, order) for domain in range(3) for order in range(3)]
TARGETED_FAULTS = list(itertools.product(FAULTS, TARGETS))
PAIRS = [
    (one, two)
    for one, two in itertools.combinations(TARGETED_FAULTS, 2)
    if one[1] != two[1]
]


def _id(pair: tuple[tuple[Fault, tuple[int, int]], ...]) -> str:
    return "+".join(f"{fault.__name__}-{d}{t}" for fault, (d, t) in pair)


def _node_name(fleet: fleet_rig.Fleet, target: tuple[int, int]) -> str:
    """Return the name of the process at a target."""
    domain, order = target
    in_domain = [
        one for one in fleet.nodes.values() if one.domain == f"d{domain}"
    ]
    in_domain.sort(key=lambda one: one.state_sync.incarnation)
    return in_domain[order].name


@pytest.mark.parametrize("pair", PAIRS[::STEP], ids=_id)
def test_change_is_applied_in_time_despite_any_two_faults(monkeypatch, pair):
    random.seed(1)

    async def main() -> list[str]:
        fleet = fleet_rig.Fleet(monkeypatch, 3, 3, 3)
        fleet.put_desired(1)
        fleet.start()
        await asyncio.sleep(SETTLE_TIME_S)
        assert fleet.nodes_behind(1) == []
        for fault, target in pair:
            fault(fleet, _node_name(fleet, target))
        fleet.put_desired(2)
        await asyncio.sleep(MAX_CHANGE_S)
        late = [
            one for one in fleet.nodes_behind(2) if one not in fleet.cut_nodes
        ]
        await fleet.stop()
        return late

    assert virtual_time.run(main()) == []
