# SPDX-License-Identifier: Apache-2.0
"""Cost of the news that edge processes send each other, by their number.

    python bench/news.py

For fleets of several sizes in equal failure domains, under load: datagrams
and bytes that one process takes in a second (by the spacings of
``edge.peers``), and the processor time of taking and of sending them,
measured on this machine.
"""

import datetime
import random
import time

import edge_cfg

from lugcross import clock as clock_lib
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import messages
from lugcross.edge import state_sync as state_sync_lib

#: Processes and failure domains: the users' small, large and target fleets.
SIZES = ((15, 5), (98, 5), (400, 12))
#: Requests that one process has in progress, each at a server of its own.
RUNNING = 5
#: Spacing of datagrams nearby and to other domains, in seconds.
NEAR_S, FAR_S = 0.05, 0.2
#: Datagrams of each peer that are measured.
ROUNDS = 20


class _Nowhere:
    """Takes the place of the socket and the store."""

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        del data, to


def _new_state_sync(rng: random.Random) -> state_sync_lib.StateSync:
    cfg = edge_cfg.settings()
    clock = clock_lib.ManualClock()
    clock.advance(datetime.timedelta(seconds=60))
    edge_state = edge_state_lib.EdgeState(cfg, clock=clock, rng=rng)
    state_sync = state_sync_lib.StateSync(
        cfg, edge_state, _Nowhere(), clock=clock, rng=random.Random(1)
    )
    state_sync.peers.connection_made(_Nowhere())
    return state_sync


def _heartbeat(num: int, domains: int, turn: int, rng: random.Random) -> bytes:
    return messages.encode(
        messages.Heartbeat(
            node=f"front-d{num % domains}-{num}",
            incarnation=f"{num:024x}",
            domain=f"d{num % domains}",
            state_port=8229,
            leaving=False,
            desired_version=12,
            backends_end=500,
            running_requests={
                f"i-{rng.getrandbits(40):x}": 1 for _ in range(RUNNING)
            },
            known_addresses=[],
            started_ms=1_780_208_640_546,
            reads_store=True,
            sequence=turn,
            workspace_uses={rng.getrandbits(32): 1 for _ in range(RUNNING)},
            desired_age_ms=400,
            backends_age_ms=400,
        )
    )


def _measure(processes: int, domains: int) -> str:
    rng = random.Random(1)
    state_sync = _new_state_sync(rng)
    data = [
        (num, _heartbeat(num, domains, turn, rng))
        for turn in range(1, ROUNDS + 1)
        for num in range(1, processes)
    ]
    begun = time.perf_counter()
    for num, one in data:
        state_sync.peers.datagram_received(
            one, (f"10.0.{num // 250}.{num}", 7)
        )
    take_us = (time.perf_counter() - begun) / len(data) * 1e6
    begun = time.perf_counter()
    for _ in range(ROUNDS):
        state_sync.peers.send_due()
    send_us = (time.perf_counter() - begun) / ROUNDS * 1e6
    near = processes // domains
    taken = (near - 1) / NEAR_S + (processes - near) / FAR_S
    size = sum(len(one) for _, one in data) / len(data)
    share = taken * take_us / 1e6 + send_us / NEAR_S / 1e6
    return (
        f"{processes:4} {domains:3}  {taken:6.0f}/s  {size:4.0f} B"
        f"  {taken * size / 1000:6.1f} KB/s  take {take_us:5.1f} us"
        f"  send {send_us:6.1f} us  {share * 100:5.2f} % of a core"
    )


def main() -> None:
    """Print the table."""
    for processes, domains in SIZES:
        print(_measure(processes, domains))


if __name__ == "__main__":
    main()
