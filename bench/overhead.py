# SPDX-License-Identifier: Apache-2.0
"""Latency that entry host and agent add to direct calls of an engine.

    python bench/overhead.py --json

Requests alternate between both paths, so that load on the machine affects
both alike.
"""

import concurrent.futures
import json
import pathlib
import tempfile
import threading
import time
from typing import Any

import click
import urllib3

import bench_stats
import process_fleet

_TOKENS = 40
_ROUNDS = 60
_MILLI = 1000.0


def _token_times(
    pool: urllib3.PoolManager, url: str, key: str, prompt: str, tokens: int
) -> list[float]:
    """Return the time of each token, in seconds since the request."""
    body = json.dumps(
        {
            "model": process_fleet.MODEL,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": True,
        }
    )
    began = time.perf_counter()
    resp = pool.request(
        "POST",
        f"{url}/v1/completions",
        body=body,
        headers={
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
        },
        preload_content=False,
    )
    times = []
    for data in resp.stream():
        now = time.perf_counter() - began
        times += [now] * data.count(b"data: {")
    assert len(times) == tokens, (len(times), resp.status)
    return times


def _latencies(fleet: process_fleet.Fleet) -> dict[str, Any]:
    urls_by_path = {
        "direct": fleet.standin_url("engine-d0-0"),
        "through": fleet.urls()[0],
    }
    first_ms: dict[str, list[float]] = {name: [] for name in urls_by_path}
    intervals_ms: dict[str, list[float]] = {name: [] for name in urls_by_path}
    for num in range(_ROUNDS):
        for name, url in urls_by_path.items():
            times = _token_times(
                fleet.http, url, fleet.key, f"p{num}", _TOKENS
            )
            first_ms[name].append(times[0] * _MILLI)
            intervals_ms[name] += [
                (b - a) * _MILLI
                for a, b in zip(times, times[1:], strict=False)
            ]
    found: dict[str, Any] = {}
    for what, samples in (("first_ms", first_ms), ("token_ms", intervals_ms)):
        for name, values in samples.items():
            found[f"{what}_{name}"] = {
                "median": bench_stats.percentile(values, 0.5),
                "p99": bench_stats.percentile(values, 0.99),
            }
        medians = [found[f"{what}_{name}"]["median"] for name in urls_by_path]
        found[f"{what}_added_median"] = medians[1] - medians[0]
        found[f"{what}_ratio_median"] = medians[1] / medians[0]
    return found


def _capacity(fleet: process_fleet.Fleet, callers: int, seconds: float) -> Any:
    """Measure requests and tokens a second, also per core of each role."""
    url = fleet.urls()[0]
    stop = threading.Event()
    counts = []

    def send_until_stopped(num: int) -> int:
        count = 0
        while not stop.is_set():
            _token_times(
                fleet.http, url, fleet.key, f"c{num}-{count}", _TOKENS
            )
            count += 1
        return count

    entry = next(iter(fleet.entries.values()))
    agents = [p for n, p in fleet.agents.items() if n.startswith("model")]
    before = entry.cpu_s(), sum(a.cpu_s() for a in agents)
    began = time.perf_counter()
    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        futs = [pool.submit(send_until_stopped, num) for num in range(callers)]
        time.sleep(seconds)
        stop.set()
        counts = [fut.result() for fut in futs]
    took = time.perf_counter() - began
    requests = sum(counts)
    entry_s = entry.cpu_s() - before[0]
    agents_s = sum(a.cpu_s() for a in agents) - before[1]
    return {
        "callers": callers,
        "requests_a_s": requests / took,
        "tokens_a_s": requests * _TOKENS / took,
        "entry_core_share": entry_s / took,
        "requests_a_s_a_core_of_entry": requests / entry_s,
        "tokens_a_s_a_core_of_entry": requests * _TOKENS / entry_s,
        "tokens_a_s_a_core_of_agent": requests * _TOKENS / agents_s,
        "entry_rss_mb": entry.rss_bytes() / 1e6,
    }


@click.command()
@click.option("--json", "as_json", is_flag=True)
@click.option("--callers", default=48, show_default=True)
@click.option("--seconds", default=10.0, show_default=True)
def main(as_json: bool, callers: int, seconds: float) -> None:
    """Measure the latency added and the capacity of one entry host."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = process_fleet.Fleet(
            pathlib.Path(folder), engines=3, capacity=32, step_s=0.01
        )
        try:
            fleet.start()
            found = {
                "latency": _latencies(fleet),
                "capacity": _capacity(fleet, callers, seconds),
            }
        finally:
            fleet.stop()
    click.echo(json.dumps(found, indent=None if as_json else 2))


if __name__ == "__main__":
    main()
