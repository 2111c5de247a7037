# SPDX-License-Identifier: Apache-2.0
"""Who waits for a place, and who is told at once to come back."""

import asyncio

import edge_rig

from lugcross import desired
from lugcross import ids

KEYS = [desired.BackendKey("i-0")]


def _count_looks(rig: edge_rig.Rig) -> list[None]:
    """Return a list that grows with each look for a place."""
    looks: list[None] = []
    serving = rig.world.serving

    def count(service: ids.ServiceName) -> list[desired.Backend]:
        looks.append(None)
        return serving(service)

    rig.world.serving = count
    return looks


def test_first_request_of_a_broken_group_is_refused_at_once(play):
    async def act(rig: edge_rig.Rig) -> edge_rig.Got:
        rig.world.outages.told("peer", KEYS)
        got = await rig.ask()
        assert not rig.backends[0].seen
        return got

    got = play(edge_rig.SAFE, [[edge_rig.answer()]], act)
    assert got.status == 503
    # As late as leaves time for an answer: a group takes seconds to form.
    assert 1.0 < float(got.headers[b"retry-after"]) < 5.0 / 3


def test_request_that_comes_back_waits_until_the_group_is_open(play):
    async def act(rig: edge_rig.Rig) -> edge_rig.Got:
        rig.world.outages.told("peer", KEYS)
        await rig.ask(time_left=5000)
        looks = _count_looks(rig)
        waiting = asyncio.create_task(rig.ask(time_left=4000))
        while len(looks) < 3 and not waiting.done():
            await asyncio.sleep(0)
        rig.world.outages.told("peer", [])
        return await waiting

    got = play(edge_rig.SAFE, [[edge_rig.answer()]], act)
    assert (got.status, got.body) == (200, b"whole")


def test_request_that_waits_in_vain_has_not_run(play):
    async def act(rig: edge_rig.Rig) -> edge_rig.Got:
        await rig.ask(time_left=5000)
        rig.world.outages.told("peer", KEYS)
        got = await rig.ask(time_left=1000)
        assert len(rig.backends[0].seen) == 1
        return got

    got = play(edge_rig.UNSAFE, [[edge_rig.answer()]], act)
    assert got.status == 503
    assert b"retry-after" in got.headers


def test_waiting_request_is_refused_once_the_process_stops(play):
    async def act(rig: edge_rig.Rig) -> edge_rig.Got:
        await rig.ask(time_left=5000)
        rig.world.outages.told("peer", KEYS)
        looks = _count_looks(rig)
        waiting = asyncio.create_task(rig.ask(time_left=4900))
        while len(looks) < 3 and not waiting.done():
            await asyncio.sleep(0)
        rig.closed = True
        return await waiting

    got = play(edge_rig.SAFE, [[edge_rig.answer()]], act)
    assert got.status == 503
