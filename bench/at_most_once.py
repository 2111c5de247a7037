# SPDX-License-Identifier: Apache-2.0
"""Cost of running a request with an idempotency key at most once.

    python bench/at_most_once.py --json

Compares three ways: claims that each agent appends to the log in batches, one
append for each key, and claims in the memory of one agent. The log is its
stand-in over HTTP; several rates and numbers of agents are measured.
"""

import concurrent.futures
import json
import logging
import random
import threading
import time
from typing import Any

import click

import bench_stats

from lugcross.agent import claimer as claimer_lib
from lugcross.agent import claims
from lugcross import clock
from lugcross import ids
from lugcross import logservice
from lugcross import standin

_HOST = "127.0.0.1"
_MILLI = 1000.0
#: Delay that the log stand-in adds to each request.
_LOG_DELAY_S = 0.005


class _Agent:
    """A claimer that records how long each ruling took."""

    def __init__(self, url: str, name: str) -> None:
        self._started_s: dict[str, float] = {}
        self._lock = threading.Lock()
        self.decision_ms: list[float] = []
        self.log_unavailable_count = 0
        backend = ids.BackendName(name)
        incarnation = ids.Incarnation(name)
        self._claimer = claimer_lib.Claimer(
            logservice.HttpLogClient(url, timeout_s=5),
            claims.ClaimIndex(backend, incarnation),
            self._decide,
            backend=backend,
            incarnation=incarnation,
            clock=clock.SystemClock(),
            poll_s=5.0,
        )
        self._claimer.start()

    def claim_key(self, key: str) -> None:
        claim = claims.Claim(key.encode().rjust(16)[-16:], b"b" * 8)
        self._started_s[key] = time.perf_counter()
        self._claimer.ask(key, claim)

    def stop(self) -> None:
        self._claimer.stop()

    def _decide(self, uid: str, ruling: claims.Ruling) -> None:
        took_s = time.perf_counter() - self._started_s.pop(uid)
        with self._lock:
            self.decision_ms.append(took_s * _MILLI)
            self.log_unavailable_count += (
                ruling.verdict is claims.Verdict.LOG_AWAY
            )


def _batched_claims(
    agents: int, rate: float, seconds: float
) -> dict[str, Any]:
    log = standin.LogStandin()
    server = standin.StandinServer(log, host=_HOST, port=0)
    server.start()
    server.fault_injector.faults = standin.Faults(delay_s=_LOG_DELAY_S)
    running = [_Agent(server.url, f"a{num}") for num in range(agents)]
    rng = random.Random(1)
    began = time.perf_counter()
    key_count = 0
    while time.perf_counter() - began < seconds:
        rng.choice(running).claim_key(f"k{key_count}")
        key_count += 1
        time.sleep(rng.expovariate(rate))
    took_s = time.perf_counter() - began
    time.sleep(0.5)
    for one in running:
        one.stop()
    server.stop()
    decision_ms = [value for one in running for value in one.decision_ms]
    return {
        "agents": agents,
        "keys_a_s": key_count / took_s,
        "appends_a_s": log.append_count / took_s,
        "refused": sum(one.log_unavailable_count for one in running),
        "median_ms": bench_stats.percentile(decision_ms, 0.5),
        "p99_ms": bench_stats.percentile(decision_ms, 0.99),
    }


def _append_per_key(rate: float, seconds: float) -> dict[str, Any]:
    """Measure one append for each key, up to 32 at the same time."""
    log = standin.LogStandin()
    server = standin.StandinServer(log, host=_HOST, port=0)
    server.start()
    server.fault_injector.faults = standin.Faults(delay_s=_LOG_DELAY_S)
    client = logservice.HttpLogClient(server.url, timeout_s=5)
    decision_ms: list[float] = []
    refused = 0

    def append() -> bool:
        began = time.perf_counter()
        try:
            client.append("once", b"x" * 60)
        except Exception:
            return False
        decision_ms.append((time.perf_counter() - began) * _MILLI)
        return True

    rng = random.Random(1)
    began = time.perf_counter()
    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        futs = []
        while time.perf_counter() - began < seconds:
            futs.append(pool.submit(append))
            time.sleep(rng.expovariate(rate))
        refused = sum(not fut.result() for fut in futs)
    took_s = time.perf_counter() - began
    server.stop()
    return {
        "keys_a_s": len(futs) / took_s,
        "appends_a_s": log.append_count / took_s,
        "refused": refused,
        "median_ms": bench_stats.percentile(decision_ms, 0.5),
        "p99_ms": bench_stats.percentile(decision_ms, 0.99),
    }


def _memory_only() -> dict[str, Any]:
    index = claims.ClaimIndex(ids.BackendName("a"), ids.Incarnation("a"))
    count = iter(range(1_000_000))
    now = clock.seconds(0)

    def one() -> None:
        num = next(count)
        claim = claims.Claim(num.to_bytes(16, "big"), b"b" * 8)
        batch = claims.Batch(
            ids.BackendName("a"), ids.Incarnation("a"), (claim,)
        )
        index.apply(ids.Offset(num + 1), batch, now)
        index.rule(claim)

    each = bench_stats.median_call_s(one, count=5000)
    return {"median_ms": each * _MILLI, "appends_a_s": 0.0}


@click.command()
@click.option("--json", "as_json", is_flag=True)
@click.option("--seconds", default=6.0, show_default=True)
def main(as_json: bool, seconds: float) -> None:
    """Measure the three ways to run a request at most once."""
    # urllib3 warns of each connection beyond the size of its pool.
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    found = {
        "log_ms": _LOG_DELAY_S * _MILLI,
        "gathered": [
            _batched_claims(agents, rate, seconds)
            for agents, rate in ((3, 10), (3, 60), (3, 300), (24, 60))
        ],
        "one_by_one": [
            _append_per_key(rate, seconds) for rate in (10, 60, 300)
        ],
        "memory": _memory_only(),
    }
    click.echo(json.dumps(found, indent=None if as_json else 2))


if __name__ == "__main__":
    main()
