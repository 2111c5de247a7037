# SPDX-License-Identifier: Apache-2.0
"""Sample traffic of all groups, with a live table of their throughput."""

import collections
import itertools
import random
import threading
import time
from typing import final

import rich.live
import rich.table

from lugcross.demo import fleet as fleet_lib
from lugcross.demo import request_sender

_WINDOW_S = 5.0
_REFRESHES_PER_S = 2.0
_MAX_TOKENS = 24


@final
class GroupStats:
    """Counts and recent results of one group's requests."""

    def __init__(self) -> None:
        self._results: collections.deque[
            tuple[float, request_sender.Result]
        ] = collections.deque()
        self._lock = threading.Lock()
        self.succeeded = 0
        self.rejected = 0
        self.failed = 0

    def add(self, result: request_sender.Result) -> None:
        """Add the result of one request."""
        with self._lock:
            self._results.append((time.monotonic(), result))
            if result.correct:
                self.succeeded += 1
            elif result.outcome:
                self.rejected += 1
            else:
                self.failed += 1

    def tokens_per_s(self) -> float:
        """Return the tokens per second over the last window."""
        return sum(r.tokens for r in self._recent()) / _WINDOW_S

    def median_first_part_ms(self) -> float:
        """Return the recent median time to the first part, in ms."""
        times = sorted(r.first_part_s for r in self._recent() if r.correct)
        return times[len(times) // 2] * 1000 if times else 0.0

    def _recent(self) -> list[request_sender.Result]:
        with self._lock:
            oldest = time.monotonic() - _WINDOW_S
            while self._results and self._results[0][0] < oldest:
                self._results.popleft()
            return [result for _, result in self._results]


@final
class Traffic:
    """Sends requests of all groups, each from as many threads as callers."""

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self._fleet = fleet
        self._stopping = threading.Event()
        self.stats = {group.name: GroupStats() for group in fleet.groups}
        self._threads = [
            threading.Thread(
                target=self._send_requests, args=(group, num), daemon=True
            )
            for group in fleet.groups
            for num in range(group.callers)
        ]

    def start(self) -> None:
        """Start sending requests."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending and wait for requests in progress."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def table(self) -> rich.table.Table:
        """Return a table of the groups' recent shares and total counts."""
        table = rich.table.Table(title="throughput by group")
        for name in (
            "group",
            "share set",
            "share got",
            "tokens/s",
            "first part ms",
            "ok",
            "rejected",
            "failed",
        ):
            table.add_column(name, justify="right")
        total_share = sum(group.share for group in self._fleet.groups)
        rates = {name: s.tokens_per_s() for name, s in self.stats.items()}
        total_rate = sum(rates.values()) or 1.0
        for group in self._fleet.groups:
            group_stats = self.stats[group.name]
            table.add_row(
                group.name,
                f"{group.share / total_share:.0%}",
                f"{rates[group.name] / total_rate:.0%}",
                f"{rates[group.name]:.0f}",
                f"{group_stats.median_first_part_ms():.0f}",
                str(group_stats.succeeded),
                str(group_stats.rejected),
                str(group_stats.failed),
            )
        return table

    def show(self, seconds: float | None) -> None:
        """Show the live table for ``seconds``, or until interrupted."""
        deadline = time.monotonic() + seconds if seconds else None
        with rich.live.Live(self.table()) as live:
            while deadline is None or time.monotonic() < deadline:
                time.sleep(1 / _REFRESHES_PER_S)
                live.update(self.table())

    def _send_requests(self, group: fleet_lib.DemoGroup, num: int) -> None:
        sender = request_sender.Sender(group.key)
        rng = random.Random(num)
        for count in itertools.count():
            if self._stopping.is_set():
                return
            result = sender.complete(
                rng.choice(self._fleet.urls),
                f"{group.name} {num} {count}",
                tokens=_MAX_TOKENS,
                stream=True,
            )
            self.stats[group.name].add(result)
            self._stopping.wait(result.retry_after_s)
