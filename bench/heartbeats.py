# SPDX-License-Identifier: Apache-2.0
"""Cost of the heartbeats between edge processes, by their number.

    python bench/heartbeats.py

For fleets of several sizes in equal failure domains, and heartbeats with and
without reports of refusing servers: the heartbeats and bytes that one process
receives in a second, computed from the intervals of ``edge.peers``, and the
measured processor time to receive and to send them.
"""

import datetime
import random
import time

import edge_settings

from lugcross import clock as clock_lib
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import messages
from lugcross.edge import state_sync as state_sync_lib
from lugcross import positions

#: Numbers of edge processes and of failure domains.
SIZES = ((15, 5), (98, 5), (400, 12))
#: Requests in progress at each process, each at another backend server.
REQUESTS_PER_PROCESS = 5
#: Intervals of heartbeats within a failure domain and to others.
SAME_DOMAIN_INTERVAL_S, OTHER_DOMAIN_INTERVAL_S = 0.05, 0.2
DATAGRAMS_PER_PEER = 20
#: Reports of refusing servers in each heartbeat: none, and the most.
SERVER_REPORTS = (0, 8)
#: Servers that refuse requests while there are reports.
REFUSING_SERVERS = 228


class _NullTransport:
    """A socket and store client that discards what is sent.

    :ivar era: era of the store, as of :class:`platform.StoreClient`.
    """

    era = positions.Era(0)

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        del data, to


def _new_state_sync(rng: random.Random) -> state_sync_lib.StateSync:
    cfg = edge_settings.settings()
    clock = clock_lib.ManualClock()
    clock.advance(datetime.timedelta(seconds=60))
    edge_state = edge_state_lib.EdgeState(cfg, clock=clock, rng=rng)
    state_sync = state_sync_lib.StateSync(
        cfg, edge_state, _NullTransport(), clock=clock, rng=random.Random(1)
    )
    state_sync.peers.connection_made(_NullTransport())
    return state_sync


def _heartbeat(
    num: int,
    domains: int,
    sequence: int,
    rng: random.Random,
    server_reports: int,
) -> bytes:
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
                f"i-{rng.getrandbits(40):x}": 1
                for _ in range(REQUESTS_PER_PROCESS)
            },
            known_addresses=[],
            started_ms=1_780_208_640_546,
            reads_store=True,
            sequence=sequence,
            workspace_uses={
                rng.getrandbits(32): 1 for _ in range(REQUESTS_PER_PROCESS)
            },
            desired_age_ms=400,
            backends_age_ms=400,
            server_reports=[
                messages.ServerReport(
                    f"i-{rng.randrange(REFUSING_SERVERS):x}", 2, 40, -1
                )
                for _ in range(server_reports)
            ],
        )
    )


def _measure(processes: int, domains: int, server_reports: int) -> str:
    rng = random.Random(1)
    state_sync = _new_state_sync(rng)
    data = [
        (
            num,
            _heartbeat(num, domains, sequence, rng, server_reports),
        )
        for sequence in range(1, DATAGRAMS_PER_PEER + 1)
        for num in range(1, processes)
    ]
    begun = time.perf_counter()
    for num, datagram in data:
        state_sync.peers.datagram_received(
            datagram, (f"10.0.{num // 250}.{num}", 7)
        )
    receive_us = (time.perf_counter() - begun) / len(data) * 1e6
    begun = time.perf_counter()
    for _ in range(DATAGRAMS_PER_PEER):
        state_sync.peers.send_due()
    send_us = (time.perf_counter() - begun) / DATAGRAMS_PER_PEER * 1e6
    domain_size = processes // domains
    receive_rate = (domain_size - 1) / SAME_DOMAIN_INTERVAL_S + (
        processes - domain_size
    ) / OTHER_DOMAIN_INTERVAL_S
    size = sum(len(datagram) for _, datagram in data) / len(data)
    share = (
        receive_rate * receive_us / 1e6
        + send_us / SAME_DOMAIN_INTERVAL_S / 1e6
    )
    return (
        f"{processes:4} {domains:3} {server_reports:3}"
        f"  {receive_rate:6.0f}/s  {size:4.0f} B"
        f"  {receive_rate * size / 1000:6.1f} KB/s  take {receive_us:5.1f} us"
        f"  send {send_us:6.1f} us  {share * 100:5.2f} % of a core"
    )


def main() -> None:
    """Print a line for each size."""
    for processes, domains in SIZES:
        for server_reports in SERVER_REPORTS:
            print(_measure(processes, domains, server_reports))


if __name__ == "__main__":
    main()
