# SPDX-License-Identifier: Apache-2.0
"""Bytes, processor time and memory of the control traffic and state.

    python bench/control_costs.py --json

Fits the cost of each message, object, link and stream, from which the figures
in docs/CAPACITY.md are computed.
"""

from collections.abc import Iterator
import contextlib
import json
import pathlib
import random
import subprocess
import sys
import tempfile
import time
from typing import Any

import click

import bench_stats

from lugcross import cfg
from lugcross import ids
from lugcross import membership
from lugcross import routing
from lugcross import shares
from lugcross import wire
import process_fleet

_MICRO = 1e6
_IDLE_S = 10.0
#: Headers of WebSocket, TCP and IP for a small frame and its TCP ack.
_FRAME_OVERHEAD_BYTES = 2 + 52 + 52
#: A WebSocket ping and its pong, each with a TCP ack.
_PING_BYTES = 2 * (6 + 52 + 52)


def _change(num: int, obj: cfg.Object) -> cfg.Change:
    return cfg.Change(
        id=ids.ChangeId(ids.new_token()),
        author="bench",
        at=time.time(),
        expect=ids.Revision(0),
        op=cfg.Put(obj),
    )


def _backend(num: int) -> cfg.BackendServer:
    return cfg.BackendServer(
        name=f"model-{num:04}",
        domain=f"domain-{num % 12}",
        host="10.0.0.1",
        port=9000,
        services=("moe",),
    )


def _config(backends: int, workspaces: int) -> cfg.Config:
    objects: list[cfg.Object] = [
        cfg.WorkspaceGroup(name="g", share=1.0),
        cfg.Service(name="moe", type=cfg.ServiceType.MODEL),
    ]
    objects += [_backend(num) for num in range(backends)]
    objects += [
        cfg.Workspace(
            name=f"w{num}", group="g", key_hashes=(cfg.hash_key(str(num)),)
        )
        for num in range(workspaces)
    ]
    config = cfg.Config()
    for num, obj in enumerate(objects, start=1):
        data = cfg.encode(_change(num, obj))
        config, _ = cfg.step(config, ids.Offset(num), data)
    return config


def measure_messages() -> dict[str, Any]:
    """Measure size and coding time of messages between entry and agent."""
    token = json.dumps(
        {
            "id": "cmpl-12345678",
            "object": "chat.completion.chunk",
            "created": 1,
            "model": "moe",
            "choices": [
                {"index": 0, "delta": {"content": " word"}, "finish": None}
            ],
        }
    ).encode()
    samples: dict[str, wire.Message] = {
        "load": wire.AgentLoad(queued=9, running=8, capacity=8, waiting=4000),
        "token": wire.ResponseChunk(
            id=ids.StreamId(1000), seq=77, events=(token,)
        ),
        "credit": wire.Credit(id=ids.StreamId(1000), events=32, have=64),
        "dispatch": wire.Dispatch(
            id=ids.StreamId(1000),
            uid=ids.new_token(),
            req=ids.RequestId(ids.new_token()),
            incarnation=ids.Incarnation(ids.new_token()),
            workspace=ids.WorkspaceName("north-desk"),
            group=ids.WorkspaceGroupName("north"),
            service=ids.ServiceName("moe"),
            method="POST",
            path="/v1/chat/completions",
            headers=(("content-type", "application/json"),),
            body=b"x" * 2000,
            timeout_ms=60_000,
            cost=300,
            credit=64,
        ),
    }
    found: dict[str, Any] = {}
    for name, msg in samples.items():
        frame = wire.encode([msg])
        found[name] = {
            "bytes": len(frame),
            "encode_us": _MICRO
            * bench_stats.median_call_s(
                lambda m=msg: wire.encode([m]), count=2000
            ),
            "decode_us": _MICRO
            * bench_stats.median_call_s(
                lambda f=frame: wire.decode(f), count=2000
            ),
        }
    return found


def measure_records() -> dict[str, Any]:
    """Measure a configuration record by the number of objects."""
    points = []
    for backends in (100, 400, 760):
        config = _config(backends, 250)
        group = cfg.WorkspaceGroup(name="new", share=1.0)
        data = cfg.encode(_change(1, group))
        offset = ids.Offset(config.offset + 1)
        took = bench_stats.median_call_s(
            lambda c=config, o=offset, d=data: cfg.step(c, o, d), count=200
        )
        points.append((float(backends + 252), took * _MICRO))
    rate, base = bench_stats.fit_line(points)
    return {
        "record_bytes": len(cfg.encode(_change(1, _backend(1)))),
        "apply_us_at_1012_objects": points[-1][1],
        "apply_us_an_object": rate,
        "apply_us_base": base,
    }


def measure_decisions() -> dict[str, Any]:
    """Measure choice of a backend server, link subset and fair queue."""
    rng = random.Random(1)
    found: dict[str, Any] = {}
    for count in (24, 64, 760):
        candidates = [
            routing.Candidate(
                name=ids.BackendName(f"b{num}"),
                domain=ids.DomainName(f"d{num % 12}"),
                usable=True,
                reported_requests=num % 9,
                sent_since_report=0,
                capacity=8,
            )
            for num in range(count)
        ]
        found[f"choice_us_at_{count}"] = _MICRO * bench_stats.median_call_s(
            lambda c=candidates: routing.choose_backend(
                c, own_domain=ids.DomainName("d1"), tried=(), rng=rng
            ),
            count=300,
        )
    backends = [_backend(num) for num in range(760)]
    found["subset_ms_at_760"] = 1000 * bench_stats.median_call_s(
        lambda: membership.choose_backend_subset(
            ids.NodeName("e"),
            ids.DomainName("domain-1"),
            backends,
            max_links=24,
        ),
        count=20,
    )
    found["fair_queue_us_push_and_pop"] = _MICRO * bench_stats.median_call_s(
        _fair_queue_step(), count=2000
    )
    return found


def _fair_queue_step() -> Any:
    queue = shares.FairQueue(lambda group: 1.0)
    count = iter(range(10_000_000))

    def push_and_pop() -> None:
        num = next(count)
        queue.push(
            shares.QueuedRequest(
                uid=str(num),
                group=ids.WorkspaceGroupName(f"g{num % 10}"),
                workspace=ids.WorkspaceName(f"w{num % 250}"),
                cost=100,
            )
        )
        if len(queue) > 250:
            queue.pop()

    return push_and_pop


def _python_memory(code: str) -> int:
    """Return the peak memory of a fresh interpreter, in bytes."""
    script = (
        f"{code}\n"
        "import re\n"
        "text = open('/proc/self/status').read()\n"
        "print(int(re.search(r'VmHWM:\\s+(\\d+)', text)[1]) * 1024)"
    )
    result = subprocess.run(
        [sys.executable, "-c", script],
        capture_output=True,
        text=True,
        check=True,
        cwd=pathlib.Path(__file__).parent,
    )
    return int(result.stdout.split()[-1])


def measure_memory() -> dict[str, Any]:
    """Measure the memory of imports and of configuration objects."""
    bare = _python_memory("pass")
    agent = _python_memory("import lugcross.agent")
    entry = _python_memory("import lugcross.entry")
    points = []
    for objects in (0, 500, 1000, 2000):
        used = _python_memory(
            f"import control_costs\nc = control_costs._config({objects}, 250)"
        )
        points.append((float(objects), float(used)))
    return {
        "bare_mb": bare / 1e6,
        "agent_imports_mb": agent / 1e6,
        "entry_imports_mb": entry / 1e6,
        "bytes_a_replica_known": bench_stats.fit_line(points)[0],
    }


def measure_links(counts: tuple[int, ...]) -> dict[str, Any]:
    """Measure processor time and memory of idle links in real processes."""
    cpu: list[tuple[float, float]] = []
    agent_cpu: list[tuple[float, float]] = []
    rss_bytes: list[tuple[float, float]] = []
    agents_rss: list[float] = []
    for count in counts:
        with tempfile.TemporaryDirectory() as folder:
            fleet = process_fleet.Fleet(pathlib.Path(folder), engines=count)
            try:
                fleet.start()
                entry = next(iter(fleet.entries.values()))
                agent = next(iter(fleet.agents.values()))
                before = (entry.threads_cpu_s(), agent.threads_cpu_s())
                time.sleep(_IDLE_S)
                spent = entry.threads_cpu_s() - before[0]
                cpu.append((float(count + 1), spent / _IDLE_S * 100))
                agent_cpu.append(
                    (
                        float(count + 1),
                        (agent.threads_cpu_s() - before[1]) / _IDLE_S * 100,
                    )
                )
                rss_bytes.append((float(count + 1), float(entry.rss_bytes())))
                agents_rss.append(float(agent.rss_bytes()))
            finally:
                fleet.stop()
    load = len(
        wire.encode(
            [wire.AgentLoad(queued=9, running=8, capacity=8, waiting=9)]
        )
    )
    rate, base = bench_stats.fit_line(cpu)
    rss_rate, rss_base = bench_stats.fit_line(rss_bytes)
    return {
        "links": [int(x) for x, _ in cpu],
        "entry_idle_cpu_percent": [round(y, 2) for _, y in cpu],
        "entry_cpu_percent_a_link": rate,
        "entry_cpu_percent_base": base,
        "entry_rss_mb": [round(y / 1e6, 1) for _, y in rss_bytes],
        "entry_rss_kb_a_link": rss_rate / 1e3,
        "entry_rss_mb_base": rss_base / 1e6,
        "agent_idle_cpu_percent": [round(y, 2) for _, y in agent_cpu],
        "agent_rss_mb": [round(y / 1e6, 1) for y in agents_rss],
        "idle_bytes_a_s_a_link": (load + _FRAME_OVERHEAD_BYTES) / 5
        + 2 * _PING_BYTES / 10,
        "busy_bytes_a_s_a_link": 2 * (load + _FRAME_OVERHEAD_BYTES)
        + 2 * _PING_BYTES / 10,
    }


def measure_streams(counts: tuple[int, ...]) -> dict[str, Any]:
    """Measure memory of entry host and agent by open streams."""
    points: dict[str, list[tuple[float, float]]] = {"entry": [], "agent": []}
    with tempfile.TemporaryDirectory() as folder:
        fleet = process_fleet.Fleet(
            pathlib.Path(folder), capacity=128, step_s=0.02, threads=128
        )
        try:
            fleet.start()
            entry = next(iter(fleet.entries.values()))
            agent = fleet.agents["model-d0-0"]
            for count in counts:
                with _open_streams(fleet, count):
                    points["entry"].append((float(count), entry.rss_bytes()))
                    points["agent"].append((float(count), agent.rss_bytes()))
        finally:
            fleet.stop()
    found: dict[str, Any] = {"streams": list(counts)}
    for name, values in points.items():
        rate, base = bench_stats.fit_line(values)
        found[f"{name}_rss_mb"] = [round(y / 1e6, 1) for _, y in values]
        found[f"{name}_kb_a_stream"] = rate / 1e3
        found[f"{name}_base_mb"] = base / 1e6
    return found


@contextlib.contextmanager
def _open_streams(fleet: process_fleet.Fleet, count: int) -> Iterator[None]:
    """Keep ``count`` streams open, each after its first tokens."""
    body = json.dumps(
        {
            "model": process_fleet.MODEL,
            "prompt": "a prompt",
            "max_tokens": 2000,
            "stream": True,
        }
    )
    headers = {"Authorization": f"Bearer {fleet.key}"}
    url = f"{fleet.urls()[0]}/v1/completions"
    answers = [
        fleet.http.request(
            "POST", url, body=body, headers=headers, preload_content=False
        )
        for _ in range(count)
    ]
    for resp in answers:
        for _ in range(50):
            resp.readline()
    yield
    for resp in answers:
        resp.close()


@click.command()
@click.option("--json", "as_json", is_flag=True)
@click.option("--links", "counts", default="1,8,24", show_default=True)
def main(as_json: bool, counts: str) -> None:
    """Measure the costs of control traffic and state."""
    link_counts = tuple(int(one) for one in counts.split(","))
    if len(set(link_counts)) < 2:
        raise click.BadParameter(
            "name two counts or more, from which a line is fitted",
            param_hint="--links",
        )
    found = {
        "messages": measure_messages(),
        "records": measure_records(),
        "decisions": measure_decisions(),
        "memory": measure_memory(),
        "streams": measure_streams((1, 32, 96)),
        "links": measure_links(link_counts),
    }
    click.echo(json.dumps(found, indent=None if as_json else 2))


if __name__ == "__main__":
    main()
