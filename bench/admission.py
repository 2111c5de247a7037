# SPDX-License-Identifier: Apache-2.0
"""Time to choose a backend server for a request and to decide on admission.

    python bench/admission.py

Prints the time for one request at several numbers of peers and backend
servers, and its ratio to that of the smallest fleet, which does not depend on
the speed of the machine.
"""

import datetime
import random
import time

import edge_settings

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import edge_state as edge_state_lib
from lugcross import ids
from lugcross import platform

#: Numbers of peers and of backend servers.
SIZES = ((7, 16), (29, 64), (98, 192), (400, 760))
#: Requests in a round, and rounds at each size, of which the best counts.
REQUESTS = 300
ROUNDS = 5
SERVICE = ids.ServiceName("s")


def _edge_state(
    peers: int, servers: int, rng: random.Random
) -> edge_state_lib.EdgeState:
    clock = clock_lib.ManualClock()
    clock.advance(datetime.timedelta(seconds=60))
    edge_state = edge_state_lib.EdgeState(
        edge_settings.settings(), clock=clock, rng=rng
    )
    rows = tuple(
        platform.KeyedRecord(
            ids.Offset(num),
            f"i-{num}",
            b'{"service":"s","address":"10.0.0.1:%d","zone":"d%d",'
            b'"version":"v1","slots":6,"state":"ready","cold_ms":0,'
            b'"sequence":1}' % (1000 + num, num % 5),
        )
        for num in range(servers)
    )
    tail = platform.ReadResult(end=ids.Offset(servers), records=rows)
    edge_state.backends.apply(tail, store_was_away=False)
    keys = [desired.BackendKey(row.key) for row in rows]
    for num in range(peers):
        edge_state.loads.record_peer_requests(
            f"n{num}", dict.fromkeys(rng.sample(keys, 5), 1)
        )
    return edge_state


def _admit(edge_state: edge_state_lib.EdgeState) -> None:
    """Choose a backend server and read the load, as for one request."""
    found = edge_state.selection.choose(SERVICE, ())
    assert found is not None
    edge_state.load_snapshot(
        SERVICE, least_busy_requests=found.least_busy_requests
    )


def _measure(peers: int, servers: int) -> float:
    """Return the time for one request, in milliseconds."""
    edge_state = _edge_state(peers, servers, random.Random(1))
    best = float("inf")
    for _ in range(ROUNDS):
        begun = time.perf_counter()
        for _ in range(REQUESTS):
            _admit(edge_state)
        best = min(best, time.perf_counter() - begun)
    return best / REQUESTS * 1000.0


def main() -> None:
    """Print a line for each size."""
    first = 0.0
    for peers, servers in SIZES:
        took = _measure(peers, servers)
        first = first or took
        print(f"{peers:4} x {servers:4}  {took:7.3f} ms  {took / first:6.2f}")


if __name__ == "__main__":
    main()
