# SPDX-License-Identifier: Apache-2.0
"""Real processes under steady load, while faults are drawn from a seed.

``python bench/faults.py --json --seed 1``. Kills, freezes, cut links and
trouble of the log hit entry hosts, agents and engines; what callers saw
is then held against what engines and services truly ran.
"""

import collections
from collections.abc import Callable
import concurrent.futures
import contextlib
import dataclasses
import itertools
import json
import pathlib
import random
import signal
import tempfile
import threading
import time
from typing import Any
from typing import final

import click
import urllib3

from lugcross.demo import request_sender
import procs

_TOKENS = 4
_TIMEOUT_S = 10.0
_SLACK_S = 15.0
_REPEATS = 8
_OUTCOME = "Lugcross-Outcome"


@final
@dataclasses.dataclass
class Seen:
    """What a caller saw of one request.

    :param whole: it got the whole answer, which was its own.
    :param told: the outcome that the system told, or ``cut`` when the
        connection went without one.
    """

    id: str
    keyed: bool
    whole: bool = False
    foreign: bool = False
    hung: bool = False
    told: str = ""
    every: list[str] = dataclasses.field(default_factory=list)


@final
class Load:
    """Callers that send requests one after the other."""

    def __init__(self, fleet: procs.Fleet, callers: int, seed: int) -> None:
        self._fleet = fleet
        self._callers = callers
        self._seed = seed
        self._stop = threading.Event()
        self._count = itertools.count()
        self.seen: list[Seen] = []

    def run(self) -> None:
        """Send until :meth:`stop` is called."""
        with concurrent.futures.ThreadPoolExecutor(self._callers) as pool:
            futs = [
                pool.submit(self._call_on, num) for num in range(self._callers)
            ]
            for fut in futs:
                fut.result()

    def stop(self) -> None:
        """Send no new requests."""
        self._stop.set()

    def _call_on(self, num: int) -> None:
        rng = random.Random(f"{self._seed}-{num}")
        http = urllib3.PoolManager(retries=False, maxsize=4)
        while not self._stop.is_set():
            keyed = rng.random() < 0.5
            seen = Seen(f"r{next(self._count)}", keyed)
            if keyed:
                self._charge(http, rng, seen)
            else:
                self._complete(http, rng, seen)
            self.seen.append(seen)
            if not seen.whole:
                self._stop.wait(0.05)

    def _charge(
        self, http: urllib3.PoolManager, rng: random.Random, seen: Seen
    ) -> None:
        """Send under a key, and repeat as a caller would."""
        for _ in range(_REPEATS):
            resp = self._send(
                http,
                rng,
                seen,
                f"/services/{procs.LEDGER}/charge",
                b'{"rent": 1}',
                {"Idempotency-Key": seen.id},
            )
            if resp is not None and resp.status == 200:
                seen.whole = json.loads(resp.data)["for"] == seen.id
                seen.foreign = not seen.whole
                return
            if seen.hung:
                return
            time.sleep(rng.uniform(0.05, 0.3))

    def _complete(
        self, http: urllib3.PoolManager, rng: random.Random, seen: Seen
    ) -> None:
        body = json.dumps(
            {
                "model": procs.MODEL,
                "prompt": seen.id,
                "max_tokens": _TOKENS,
                "stream": True,
            }
        ).encode()
        resp = self._send(http, rng, seen, "/v1/completions", body, {})
        if resp is None or resp.status != 200:
            return
        want = request_sender.expected_completion(seen.id, _TOKENS)
        got = request_sender.parse_stream(resp.data)
        seen.whole = got == want
        if got is None:
            seen.told = "cut"
        elif got != want:
            mark = want.split("-")[0]
            seen.foreign = any(
                not word.startswith(mark) for word in got.split()
            )

    def _send(
        self,
        http: urllib3.PoolManager,
        rng: random.Random,
        seen: Seen,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> urllib3.BaseHTTPResponse | None:
        """Send once, past entry hosts that take no connection."""
        began = time.monotonic()
        for _ in range(30):
            url = rng.choice(self._fleet.urls() or ["http://127.0.0.1:9"])
            try:
                resp = http.request(
                    "POST",
                    url + path,
                    body=body,
                    headers={
                        "Authorization": f"Bearer {self._fleet.key}",
                        "Content-Type": "application/json",
                        "X-Request-Id": seen.id,
                        **headers,
                    },
                    timeout=_TIMEOUT_S + _SLACK_S,
                )
            except urllib3.exceptions.NewConnectionError:
                time.sleep(0.05)
                continue
            except urllib3.exceptions.HTTPError:
                seen.told = "cut"
                seen.every.append("cut")
                took = time.monotonic() - began
                seen.hung = took > _TIMEOUT_S + _SLACK_S - 1
                return None
            seen.told = resp.headers.get(_OUTCOME, "")
            seen.every.append(seen.told or str(resp.status))
            return resp
        seen.told = "not-sent"
        return None


@final
class Faults:
    """Draws a fault, lets it last, and mends it."""

    def __init__(self, fleet: procs.Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self.counts: collections.Counter[str] = collections.Counter()
        self._kinds: dict[str, Callable[[], None]] = {
            "kill-entry": self._kill_entry,
            "kill-agent": self._kill_agent,
            "freeze-entry": lambda: self._freeze(self._fleet.entries),
            "freeze-agent": lambda: self._freeze(self._fleet.agents),
            "freeze-engine": self._freeze_engine,
            "cut-links": self._cut_links,
            "log-down": self._log_down,
            "log-lost-answers": self._lost_answers,
            "engine-closes-early": self._close_early,
        }

    def one(self) -> None:
        """Draw one fault and carry it out."""
        name = self._rng.choice(sorted(self._kinds))
        self._kinds[name]()
        self.counts[name] += 1

    def _pick(
        self, processes: dict[str, procs.Process]
    ) -> tuple[str, procs.Process]:
        name = self._rng.choice(sorted(processes))
        return name, processes[name]

    def _kill_entry(self) -> None:
        _, process = self._pick(self._fleet.entries)
        process.kill()
        process.start("http", "rpc")

    def _kill_agent(self) -> None:
        _, process = self._pick(self._fleet.agents)
        process.kill()
        process.start("links")

    def _freeze(self, processes: dict[str, procs.Process]) -> None:
        _, process = self._pick(processes)
        process.signal(signal.SIGSTOP)
        time.sleep(self._rng.uniform(0.2, 4.0))
        process.signal(signal.SIGCONT)

    def _freeze_engine(self) -> None:
        engines = {
            name: process
            for name, process in self._fleet.standins.items()
            if name.startswith("engine")
        }
        self._freeze(engines)

    def _cut_links(self) -> None:
        name = self._rng.choice(sorted(self._fleet.relays))
        self._fleet.relays[name].cut()
        time.sleep(self._rng.uniform(0.0, 1.5))
        self._fleet.relays[name].mend()

    def _log_down(self) -> None:
        self._fleet.faults("log", down=True)
        time.sleep(self._rng.uniform(0.1, 2.0))
        self._fleet.faults("log")

    def _lost_answers(self) -> None:
        self._fleet.faults("log", lose_answers=3)
        time.sleep(0.2)
        self._fleet.faults("log")

    def _close_early(self) -> None:
        engines = [n for n in self._fleet.standins if n.startswith("engine")]
        self._fleet.faults(self._rng.choice(engines), close_early=3)


def judge(fleet: procs.Fleet, seen: list[Seen]) -> dict[str, Any]:
    """Hold what callers saw against what truly ran."""
    ran = fleet.ran()
    model_ran = fleet.model_ran()
    counts: collections.Counter[str] = collections.Counter()
    bad: list[str] = []
    for one in seen:
        times = (ran if one.keyed else model_ran).get(one.id, 0)
        doubled = one.keyed and times > 1
        # A keyed request that was refused every time must not have run.
        only_not_run = set(one.every) <= {"not-run"} and bool(one.every)
        false_not_run = not one.whole and only_not_run and times > 0
        lost = one.hung or (one.whole and times == 0)
        verdicts = {
            "whole": one.whole,
            "doubled": doubled,
            "foreign": one.foreign,
            "false_not_run": false_not_run,
            "lost": lost,
            "refused_not_run": not one.whole and one.told == "not-run",
            "not_sent": not one.whole and one.told == "not-sent",
            "unknown": not one.whole
            and one.told not in ("not-run", "not-sent"),
        }
        counts.update(name for name, holds in verdicts.items() if holds)
        if doubled or one.foreign or false_not_run or lost:
            bad.append(f"{one} ran {times}")
    names = (
        "whole",
        "lost",
        "doubled",
        "foreign",
        "false_not_run",
        "unknown",
        "refused_not_run",
        "not_sent",
    )
    return {"sent": len(seen), **{n: counts[n] for n in names}, "bad": bad[:9]}


def measure(
    *, seed: int, requests: int, faults: int, seconds: float, callers: int
) -> dict[str, Any]:
    """Run the load and the faults, and judge."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = procs.Fleet(
            pathlib.Path(folder),
            domains=3,
            entries=1,
            engines=1,
            step_s=0.002,
            relays=True,
            resumable=True,
        )
        fleet.timeout_s = _TIMEOUT_S
        try:
            fleet.start()
            load = Load(fleet, callers, seed)
            drawn = Faults(fleet, seed)
            began = time.monotonic()
            thread = threading.Thread(target=load.run)
            thread.start()
            while time.monotonic() - began < seconds and (
                len(load.seen) < requests or drawn.counts.total() < faults
            ):
                drawn.one()
                time.sleep(0.1)
            load.stop()
            thread.join()
            took = time.monotonic() - began
            found = judge(fleet, load.seen)
        finally:
            with contextlib.suppress(Exception):
                fleet.stop()
    return {
        **found,
        "faults": drawn.counts.total(),
        "faults_by_kind": dict(drawn.counts),
        "seconds": took,
        "seed": seed,
    }


@click.command()
@click.option("--json", "as_json", is_flag=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--requests", default=20_000, show_default=True)
@click.option("--faults", default=200, show_default=True)
@click.option("--seconds", default=900.0, help="Longest time.")
@click.option("--callers", default=32, show_default=True)
def main(
    as_json: bool,
    seed: int,
    requests: int,
    faults: int,
    seconds: float,
    callers: int,
) -> None:
    """Count what callers saw while faults hit the fleet."""
    found = measure(
        seed=seed,
        requests=requests,
        faults=faults,
        seconds=seconds,
        callers=callers,
    )
    click.echo(json.dumps(found, indent=None if as_json else 2))


if __name__ == "__main__":
    main()
