# SPDX-License-Identifier: Apache-2.0
"""What running a keyed request at most once costs, three ways.

``python bench/once.py --json``. Claims in the log, gathered by each
agent; one append for each key; and one agent's memory alone. All against
the log's stand-in over HTTP, at several rates and numbers of agents.
"""

import concurrent.futures
import json
import logging
import random
import threading
import time
from typing import Any

import click

from lugcross.agent import claimer as claimer_lib
from lugcross.agent import claims
from lugcross import clock
from lugcross import ids
from lugcross import logservice
from lugcross import standin
import slopes

_HOST = "127.0.0.1"
_MILLI = 1000.0
#: How long the log takes over one request, in seconds.
_LOG_S = 0.005


class _Agent:
    """One claimer over HTTP, with the time of each ruling."""

    def __init__(self, url: str, name: str) -> None:
        self._asked: dict[str, float] = {}
        self._lock = threading.Lock()
        self.took: list[float] = []
        self.away = 0
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

    def ask(self, key: str) -> None:
        claim = claims.Claim(key.encode().rjust(16)[-16:], b"b" * 8)
        self._asked[key] = time.perf_counter()
        self._claimer.ask(key, claim)

    def stop(self) -> None:
        self._claimer.stop()

    def _decide(self, uid: str, ruling: claims.Ruling) -> None:
        took = time.perf_counter() - self._asked.pop(uid)
        with self._lock:
            self.took.append(took * _MILLI)
            self.away += ruling.verdict is claims.Verdict.LOG_AWAY


def _gathered(agents: int, rate: float, seconds: float) -> dict[str, Any]:
    log = standin.LogStandin()
    server = standin.StandinServer(log, host=_HOST, port=0)
    server.start()
    server.app.faults = standin.Faults(delay_s=_LOG_S)
    running = [_Agent(server.url, f"a{num}") for num in range(agents)]
    rng = random.Random(1)
    began = time.perf_counter()
    asked = 0
    while time.perf_counter() - began < seconds:
        rng.choice(running).ask(f"k{asked}")
        asked += 1
        time.sleep(rng.expovariate(rate))
    took_s = time.perf_counter() - began
    time.sleep(0.5)
    for one in running:
        one.stop()
    server.stop()
    took = [value for one in running for value in one.took]
    return {
        "agents": agents,
        "keys_a_s": asked / took_s,
        "appends_a_s": log.appends / took_s,
        "refused": sum(one.away for one in running),
        "median_ms": slopes.percentile(took, 0.5),
        "p99_ms": slopes.percentile(took, 0.99),
    }


def _one_by_one(rate: float, seconds: float) -> dict[str, Any]:
    """One append for each key, all at once if need be."""
    log = standin.LogStandin()
    server = standin.StandinServer(log, host=_HOST, port=0)
    server.start()
    server.app.faults = standin.Faults(delay_s=_LOG_S)
    client = logservice.HttpLogClient(server.url, timeout_s=5)
    took: list[float] = []
    refused = 0

    def append() -> bool:
        began = time.perf_counter()
        try:
            client.append("once", b"x" * 60)
        except Exception:
            return False
        took.append((time.perf_counter() - began) * _MILLI)
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
        "appends_a_s": log.appends / took_s,
        "refused": refused,
        "median_ms": slopes.percentile(took, 0.5),
        "p99_ms": slopes.percentile(took, 0.99),
    }


def _memory() -> dict[str, Any]:
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

    each = slopes.seconds_each(one, count=5000)
    return {"median_ms": each * _MILLI, "appends_a_s": 0.0}


@click.command()
@click.option("--json", "as_json", is_flag=True)
@click.option("--seconds", default=6.0, show_default=True)
def main(as_json: bool, seconds: float) -> None:
    """Measure the three ways beside each other."""
    # One warning for each connection past a pool's size is no news here.
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    found = {
        "log_ms": _LOG_S * _MILLI,
        "gathered": [
            _gathered(agents, rate, seconds)
            for agents, rate in ((3, 10), (3, 60), (3, 300), (24, 60))
        ],
        "one_by_one": [_one_by_one(rate, seconds) for rate in (10, 60, 300)],
        "memory": _memory(),
    }
    click.echo(json.dumps(found, indent=None if as_json else 2))


if __name__ == "__main__":
    main()
