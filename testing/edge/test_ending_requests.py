# SPDX-License-Identifier: Apache-2.0
"""A request that ends each server that runs it, at processes by turns.

Servers ended one after the other, by twos at the pace at which a caller came
back, and each group of ranks stood still most of the time. Whatever process
the request came to knew nothing of its earlier tries: it sent the request to
one server, saw the connection break, and sent it to the next one within 2 ms.
The lines that settled it, of one try at a second process::

    24.983 reaches server i-c5655f2b68 from front-didube-hall-2
    25.183 its run ends: 200 crashed
    25.185 reaches server i-23e785bdf0 from front-didube-hall-2
"""

import asyncio
import itertools

import ending_rig
import virtual_time

#: Until every process has read the store and heard of the others, s.
SETTLED_S = 4.0
#: Ordinary requests a second: six in ten of all places are taken.
LOAD = 36.0
ENDING = b"ends who runs it"


def _play(monkeypatch, seed: int, gap_s: float, attempts: int):
    """Let the request come again every ``gap_s`` for half a minute."""

    async def main():
        fleet = ending_rig.Fleet(
            monkeypatch, 3, 2, servers=10, attempts=attempts, seed=seed
        )
        fleet.ending.add(ENDING)
        fleet.start()
        await asyncio.sleep(SETTLED_S)
        with fleet.under_load(LOAD):
            for _ in range(int(30 / gap_s)):
                await asyncio.sleep(gap_s * fleet.rng.uniform(0.5, 1.5))
                fleet.ask(fleet.rng.choice(list(fleet.nodes)), ENDING)
        await asyncio.sleep(2 * ending_rig.WORK_S)
        await fleet.stop()
        return fleet

    return virtual_time.run(main())


def test_request_that_ends_servers_is_stopped(monkeypatch):
    ended = {}
    late = {}
    for play in itertools.product((1, 2), (0.2, 1.0, 3.0), (2, 4)):
        fleet = _play(monkeypatch, *play)
        ended[play] = len(fleet.ends_of(ENDING))
        late[play] = fleet.sends_after_third(ENDING)
    assert max(ended.values()) <= 3, ended
    assert not any(late.values()), late
