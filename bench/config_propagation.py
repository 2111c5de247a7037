# SPDX-License-Identifier: Apache-2.0
"""Time and cost to propagate a configuration change to all nodes.

    python bench/config_propagation.py --json --seed 1

Simulates many nodes in one process, where their real code exchanges messages
over modelled links, and measures smaller fleets of real processes.
"""

import collections
import concurrent.futures
import json
import pathlib
import random
import statistics
import tempfile
import time
from typing import Any

import click

import bench_stats

from lugcross import cfg
from lugcross import clock
from lugcross import ids
from lugcross import logservice
from lugcross import membership
from lugcross import standin
from lugcross import wire
import process_fleet

_HOP_MS = 2.0
_MICRO = 1e6
_CHANGES = 10


class _Node:
    """The store and feed of one node, and the bytes that it sent."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.store = cfg.Store(clock.ManualClock())
        self.feed = cfg.Feed(self.store)
        self.bytes = 0
        self.unsent: list[list[logservice.Record]] = []
        self.store.listen(lambda c, records, a: self.unsent.append([*records]))


def _change(num: int, expect: int) -> bytes:
    return cfg.encode(
        cfg.Change(
            id=ids.ChangeId(f"c{num}"),
            author="bench",
            at=0.0,
            expect=ids.Revision(expect),
            op=cfg.Put(cfg.WorkspaceGroup(name="g", share=1.0 + num)),
        )
    )


def _links(entries: int, agents: int, seed: int) -> list[tuple[str, str]]:
    """Return the links as pairs of entry host and agent."""
    backends = [
        cfg.BackendServer(
            name=f"a{num}",
            domain=f"d{num % 12}",
            host="10.0.0.1",
            port=1,
            services=("m",),
        )
        for num in range(agents)
    ]
    pairs = []
    for num in range(entries):
        node = ids.NodeName(f"e{seed}-{num}")
        chosen = membership.choose_backend_subset(
            node, ids.DomainName(f"d{num % 12}"), backends, max_links=40
        )
        pairs += [(str(node), one.name) for one in chosen]
    return pairs


def simulate(entries: int, agents: int, seed: int) -> dict[str, Any]:
    """Propagate changes from two relays in each domain over modelled links."""
    pairs = _links(entries, agents, seed)
    names = {name for pair in pairs for name in pair}
    nodes = {name: _Node(name) for name in names}
    entries_by_domain: dict[int, list[str]] = collections.defaultdict(list)
    for name in sorted(name for name in names if name.startswith("e")):
        entries_by_domain[int(name.split("-")[1]) % 12].append(name)
    relays = [
        name for group in entries_by_domain.values() for name in group[:2]
    ]
    queue: collections.deque[tuple[int, str, str, wire.Message]] = (
        collections.deque()
    )
    for one, other in pairs:
        for sender, receiver in ((one, other), (other, one)):
            for post in nodes[sender].feed.on_link(receiver):
                queue.append((0, sender, receiver, post.msg))
    _deliver(nodes, queue)
    for node in nodes.values():
        node.bytes = 0
    hops = 0
    began = time.process_time()
    for num in range(1, _CHANGES + 1):
        record = logservice.Record(ids.Offset(num), _change(num, num - 1))
        for name in relays:
            nodes[name].store.apply([record])
            _queue_updates(nodes[name], queue, 0)
        hops = max(hops, _deliver(nodes, queue))
    spent = time.process_time() - began
    behind = sum(
        node.store.config.offset < _CHANGES for node in nodes.values()
    )
    sent = sorted(node.bytes / _CHANGES for node in nodes.values())
    return {
        "nodes": len(nodes),
        "links": len(pairs),
        "relays": len(relays),
        "behind_at_the_end": behind,
        "hops": hops,
        "seconds_at_2_ms_a_hop": hops * _HOP_MS / 1000,
        "bytes_a_change_median_node": statistics.median(sent),
        "bytes_a_change_worst_node": sent[-1],
        "cpu_us_a_change_a_node": spent / _CHANGES / len(nodes) * _MICRO,
    }


def _queue_updates(node: _Node, queue: Any, hop: int) -> None:
    while node.unsent:
        for post in node.feed.on_store(node.unsent.pop(0)):
            queue.append((hop + 1, node.name, str(post.link), post.msg))


def _deliver(nodes: dict[str, _Node], queue: Any) -> int:
    """Deliver all messages; return the hops until the last store changed."""
    last = 0
    while queue:
        hop, sender, receiver, msg = queue.popleft()
        nodes[sender].bytes += len(wire.encode([msg]))
        node = nodes[receiver]
        before = node.store.config.offset
        for post in node.feed.on_message(sender, msg):
            queue.append((hop + 1, receiver, str(post.link), post.msg))
        if node.store.config.offset > before:
            last = max(last, hop)
        _queue_updates(node, queue, hop)
    return last


def measure_processes(entries: int, engines: int, seed: int) -> dict[str, Any]:
    """Measure propagation from acceptance to every entry host."""
    rng = random.Random(seed)
    durations_ms = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = process_fleet.Fleet(
            pathlib.Path(folder), domains=3, entries=entries, engines=engines
        )
        try:
            fleet.start()
            reads = _log_reads(fleet)
            for num in range(_CHANGES):
                durations_ms.append(_measure_change_ms(fleet, rng, num))
            after = _log_reads(fleet)
        finally:
            fleet.stop()
    return {
        "entries": 3 * entries,
        "agents": 3 * (engines + 1),
        "median_ms": bench_stats.percentile(durations_ms, 0.5),
        "p99_ms": bench_stats.percentile(durations_ms, 0.99),
        "log_reads_a_change": (after - reads) / _CHANGES,
    }


def _log_reads(fleet: process_fleet.Fleet) -> int:
    url = f"{fleet.standin_url('log')}{standin.log.CALL_COUNTS_PATH}"
    counts: dict[str, int] = fleet.control_http.request("GET", url).json()
    return counts["reads"]


def _measure_change_ms(
    fleet: process_fleet.Fleet, rng: random.Random, num: int
) -> float:
    entry = rng.choice(sorted(fleet.entries))
    with fleet.operator(entry) as client:
        expect = next(
            item.revision
            for item in client.config().items
            if item.group.name == "g"
        )
        reply = client.put(
            cfg.WorkspaceGroup(name="g", share=1.0 + num), expect=expect
        )
    began = time.perf_counter()
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        list(
            pool.map(
                lambda name: _wait_for_offset(fleet, name, reply.offset),
                fleet.entries,
            )
        )
    return (time.perf_counter() - began) * 1000


def _wait_for_offset(
    fleet: process_fleet.Fleet, entry: str, offset: int
) -> None:
    with fleet.operator(entry) as client:
        process_fleet.wait_until(
            lambda: client.status().offset >= offset, what="change applied"
        )


@click.command()
@click.option("--json", "as_json", is_flag=True)
@click.option("--seed", default=1, show_default=True)
def main(as_json: bool, seed: int) -> None:
    """Measure propagation time and cost by the number of nodes."""
    found = {
        "in_process": [
            simulate(entries, agents, seed)
            for entries, agents in ((24, 24), (100, 190), (400, 760))
        ],
        "processes": [
            measure_processes(1, 1, seed),
            measure_processes(3, 2, seed),
        ],
    }
    click.echo(json.dumps(found, indent=None if as_json else 2))


if __name__ == "__main__":
    main()
