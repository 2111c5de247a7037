# SPDX-License-Identifier: Apache-2.0
"""Every placing of two faults at the moment of a change, in a small fleet.

Three failure domains of three processes each, in virtual time. Whoever still
reaches the store, or a process that does, must have the change in time,
whichever two others are dead, cut off, turned away by the store or choked.

All 324 placings: ``NEWS_MODEL=all pytest THIS-FILE``; without it every tenth.
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

#: Until every process has read, registered and heard of the others, s.
SETTLE_TIME_S = 5.0
#: Longest time until the change must be in force, in seconds.
MAX_CHANGE_S = edge_rig.BOUNDS.max_change_time.total_seconds()
#: Time for which a link is taken, longer than that, in seconds.
SATURATED_S = 4.0
#: How many placings are left out between two where not all are played.
STEP = 1 if os.environ.get("NEWS_MODEL") == "all" else 10

Fault = Callable[[fleet_rig.Fleet, str], None]


def cut_off(fleet: fleet_rig.Fleet, name: str) -> None:
    fleet.cut_off(name)


def cut_off_from_store(fleet: fleet_rig.Fleet, name: str) -> None:
    fleet.cut_off_from_store(name)


def link_saturated(fleet: fleet_rig.Fleet, name: str) -> None:
    fleet.saturate_link(name, SATURATED_S)


FAULTS: list[Fault] = [cut_off, cut_off_from_store, link_saturated]
#: By domain and by the order in which its processes read for the others.
TARGETS = [(domain, turn) for domain in range(3) for turn in range(3)]
TARGETED_FAULTS = list(itertools.product(FAULTS, TARGETS))
PAIRS = [
    (one, two)
    for one, two in itertools.combinations(TARGETED_FAULTS, 2)
    if one[1] != two[1]
]


def _id(pair: tuple[tuple[Fault, tuple[int, int]], ...]) -> str:
    return "+".join(f"{fault.__name__}-{d}{t}" for fault, (d, t) in pair)


def _name(fleet: fleet_rig.Fleet, place: tuple[int, int]) -> str:
    """Return the process that is ``turn`` th to read for its domain."""
    domain, turn = place
    here = [one for one in fleet.nodes.values() if one.domain == f"d{domain}"]
    here.sort(key=lambda one: one.state_sync.incarnation)
    return here[turn].name


@pytest.mark.parametrize("pair", PAIRS[::STEP], ids=_id)
def test_change_is_in_force_in_time_beside_any_two_faults(monkeypatch, pair):
    random.seed(1)

    async def main() -> list[str]:
        fleet = fleet_rig.Fleet(monkeypatch, 3, 3, 3)
        fleet.put_desired(1)
        fleet.start()
        await asyncio.sleep(SETTLE_TIME_S)
        assert fleet.nodes_behind(1) == []
        for fault, place in pair:
            fault(fleet, _name(fleet, place))
        fleet.put_desired(2)
        await asyncio.sleep(MAX_CHANGE_S)
        late = [
            one for one in fleet.nodes_behind(2) if one not in fleet.cut_nodes
        ]
        await fleet.stop()
        return late

    assert virtual_time.run(main()) == []
