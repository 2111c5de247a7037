# SPDX-License-Identifier: Apache-2.0
"""Counts of wrong answers while random faults hit a fleet under load.

    python bench/faults.py --json --seed 1

Kills and freezes processes, cuts links and lets the log fail. What callers
recorded is then compared with what engines and services ran.
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
import process_fleet

_TOKENS = 4
_TIMEOUT_S = 10.0
_TIMEOUT_SLACK_S = 15.0
_MAX_ATTEMPTS = 8
_OUTCOME_HEADER = "Lugcross-Outcome"


@final
@dataclasses.dataclass
class CallerRecord:
    """What a caller recorded of one request.

    :param complete: it got the complete answer to this request.
    :param wrong_answer: it got an answer to another request.
    :param timed_out: its last attempt got no answer in time.
    :param outcome: outcome that the entry host reported for the last attempt,
        ``cut`` where the connection ended early, or ``not-sent``.
    :param outcomes: outcomes, or else the status codes, of all attempts.
    """

    id: str
    has_key: bool
    complete: bool = False
    wrong_answer: bool = False
    timed_out: bool = False
    outcome: str = ""
    outcomes: list[str] = dataclasses.field(default_factory=list)


@final
class CallerLoad:
    """Concurrent callers, each of which sends one request at a time."""

    def __init__(
        self, fleet: process_fleet.Fleet, callers: int, seed: int
    ) -> None:
        self._fleet = fleet
        self._callers = callers
        self._seed = seed
        self._stop = threading.Event()
        self._count = itertools.count()
        self.records: list[CallerRecord] = []

    def run(self) -> None:
        """Send requests until :meth:`stop` is called."""
        with concurrent.futures.ThreadPoolExecutor(self._callers) as pool:
            futs = [
                pool.submit(self._send_until_stopped, num)
                for num in range(self._callers)
            ]
            for fut in futs:
                fut.result()

    def stop(self) -> None:
        """Let callers finish their requests and send no more."""
        self._stop.set()

    def _send_until_stopped(self, num: int) -> None:
        rng = random.Random(f"{self._seed}-{num}")
        http = urllib3.PoolManager(retries=False, maxsize=4)
        while not self._stop.is_set():
            has_key = rng.random() < 0.5
            record = CallerRecord(f"r{next(self._count)}", has_key)
            if has_key:
                self._send_keyed(http, rng, record)
            else:
                self._send_completion(http, rng, record)
            self.records.append(record)
            if not record.complete:
                self._stop.wait(0.05)

    def _send_keyed(
        self,
        http: urllib3.PoolManager,
        rng: random.Random,
        record: CallerRecord,
    ) -> None:
        """Send a request with a key, with retries as a caller makes them."""
        for _ in range(_MAX_ATTEMPTS):
            resp = self._send(
                http,
                rng,
                record,
                f"/services/{process_fleet.LEDGER}/charge",
                b'{"rent": 1}',
                {"Idempotency-Key": record.id},
            )
            if resp is not None and resp.status == 200:
                record.complete = json.loads(resp.data)["for"] == record.id
                record.wrong_answer = not record.complete
                return
            if record.timed_out:
                return
            time.sleep(rng.uniform(0.05, 0.3))

    def _send_completion(
        self,
        http: urllib3.PoolManager,
        rng: random.Random,
        record: CallerRecord,
    ) -> None:
        body = json.dumps(
            {
                "model": process_fleet.MODEL,
                "prompt": record.id,
                "max_tokens": _TOKENS,
                "stream": True,
            }
        ).encode()
        resp = self._send(http, rng, record, "/v1/completions", body, {})
        if resp is None or resp.status != 200:
            return
        want = request_sender.expected_completion(record.id, _TOKENS)
        got = request_sender.parse_stream(resp.data)
        record.complete = got == want
        if got is None:
            record.outcome = "cut"
        elif got != want:
            answer_prefix = want.split("-")[0]
            record.wrong_answer = any(
                not word.startswith(answer_prefix) for word in got.split()
            )

    def _send(
        self,
        http: urllib3.PoolManager,
        rng: random.Random,
        record: CallerRecord,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> urllib3.BaseHTTPResponse | None:
        """Send one attempt, to an entry host that accepts a connection."""
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
                        "X-Request-Id": record.id,
                        **headers,
                    },
                    timeout=_TIMEOUT_S + _TIMEOUT_SLACK_S,
                )
            except urllib3.exceptions.NewConnectionError:
                time.sleep(0.05)
                continue
            except urllib3.exceptions.HTTPError:
                record.outcome = "cut"
                record.outcomes.append("cut")
                took = time.monotonic() - began
                record.timed_out = took > _TIMEOUT_S + _TIMEOUT_SLACK_S - 1
                return None
            record.outcome = resp.headers.get(_OUTCOME_HEADER, "")
            record.outcomes.append(record.outcome or str(resp.status))
            return resp
        record.outcome = "not-sent"
        return None


@final
class FaultInjector:
    """Injects random faults, one at a time, and counts them by kind."""

    def __init__(self, fleet: process_fleet.Fleet, seed: int) -> None:
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
            "log-lost-answers": self._lose_log_answers,
            "engine-closes-early": self._close_early,
        }

    def inject_one(self) -> None:
        """Inject a random fault, and return once it is removed."""
        name = self._rng.choice(sorted(self._kinds))
        self._kinds[name]()
        self.counts[name] += 1

    def _pick(
        self, processes: dict[str, process_fleet.Process]
    ) -> tuple[str, process_fleet.Process]:
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

    def _freeze(self, processes: dict[str, process_fleet.Process]) -> None:
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
        self._fleet.relays[name].restore()

    def _log_down(self) -> None:
        self._fleet.set_faults("log", down=True)
        time.sleep(self._rng.uniform(0.1, 2.0))
        self._fleet.set_faults("log")

    def _lose_log_answers(self) -> None:
        self._fleet.set_faults("log", lose_answers=3)
        time.sleep(0.2)
        self._fleet.set_faults("log")

    def _close_early(self) -> None:
        engines = [n for n in self._fleet.standins if n.startswith("engine")]
        self._fleet.set_faults(self._rng.choice(engines), close_early=3)


def compare_with_runs(
    fleet: process_fleet.Fleet, records: list[CallerRecord]
) -> dict[str, Any]:
    """Compare what callers recorded with what ran, and count verdicts."""
    ran = fleet.ledger_run_counts()
    model_run_counts = fleet.model_run_counts()
    counts: collections.Counter[str] = collections.Counter()
    bad: list[str] = []
    for record in records:
        times = (ran if record.has_key else model_run_counts).get(record.id, 0)
        doubled = record.has_key and times > 1
        # If all attempts were reported as not run, it must not have run.
        only_not_run = set(record.outcomes) <= {"not-run"} and bool(
            record.outcomes
        )
        false_not_run = not record.complete and only_not_run and times > 0
        lost = record.timed_out or (record.complete and times == 0)
        verdicts = {
            "whole": record.complete,
            "doubled": doubled,
            "foreign": record.wrong_answer,
            "false_not_run": false_not_run,
            "lost": lost,
            "refused_not_run": not record.complete
            and record.outcome == "not-run",
            "not_sent": not record.complete and record.outcome == "not-sent",
            "unknown": not record.complete
            and record.outcome not in ("not-run", "not-sent"),
        }
        counts.update(name for name, holds in verdicts.items() if holds)
        if doubled or record.wrong_answer or false_not_run or lost:
            bad.append(f"{record} ran {times}")
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
    return {
        "sent": len(records),
        **{n: counts[n] for n in names},
        "bad": bad[:9],
    }


def measure(
    *, seed: int, requests: int, faults: int, seconds: float, callers: int
) -> dict[str, Any]:
    """Run the load and the faults; return the counts."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = process_fleet.Fleet(
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
            load = CallerLoad(fleet, callers, seed)
            injector = FaultInjector(fleet, seed)
            began = time.monotonic()
            thread = threading.Thread(target=load.run)
            thread.start()
            while time.monotonic() - began < seconds and (
                len(load.records) < requests
                or injector.counts.total() < faults
            ):
                injector.inject_one()
                time.sleep(0.1)
            load.stop()
            thread.join()
            took = time.monotonic() - began
            found = compare_with_runs(fleet, load.records)
        finally:
            with contextlib.suppress(Exception):
                fleet.stop()
    return {
        **found,
        "faults": injector.counts.total(),
        "faults_by_kind": dict(injector.counts),
        "seconds": took,
        "seed": seed,
    }


@click.command()
@click.option("--json", "as_json", is_flag=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--requests", default=20_000, show_default=True)
@click.option("--faults", default=200, show_default=True)
@click.option("--seconds", default=900.0, help="Time limit.")
@click.option("--callers", default=32, show_default=True)
def main(
    as_json: bool,
    seed: int,
    requests: int,
    faults: int,
    seconds: float,
    callers: int,
) -> None:
    """Count outcomes of requests while faults hit the fleet."""
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
