# SPDX-License-Identifier: Apache-2.0
"""Sample traffic of rival groups, and a live table of who gets what."""

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
    """What one group got lately."""

    def __init__(self) -> None:
        self._results: collections.deque[
            tuple[float, request_sender.Result]
        ] = collections.deque()
        self._lock = threading.Lock()
        self.succeeded = 0
        self.rejected = 0
        self.failed = 0

    def add(self, result: request_sender.Result) -> None:
        """Note the result of one request."""
        with self._lock:
            self._results.append((time.monotonic(), result))
            if result.correct:
                self.succeeded += 1
            elif result.outcome:
                self.rejected += 1
            else:
                self.failed += 1

    def tokens_per_s(self) -> float:
        """Return the tokens a second in the last window."""
        return sum(r.tokens for r in self._recent()) / _WINDOW_S

    def median_first_part_ms(self) -> float:
        """Return the median time to the first part, in ms."""
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
    """Keeps each group's requests in progress, in threads."""

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
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Send nothing more and wait for what is in progress."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def table(self) -> rich.table.Table:
        """Return who gets what now."""
        table = rich.table.Table(title="who gets what")
        for name in (
            "group",
            "share due",
            "share got",
            "tokens/s",
            "first part ms",
            "whole",
            "refused",
            "broken",
        ):
            table.add_column(name, justify="right")
        due = sum(group.share for group in self._fleet.groups)
        rates = {name: m.tokens_per_s() for name, m in self.stats.items()}
        got = sum(rates.values()) or 1.0
        for group in self._fleet.groups:
            group_stats = self.stats[group.name]
            table.add_row(
                group.name,
                f"{group.share / due:.0%}",
                f"{rates[group.name] / got:.0%}",
                f"{rates[group.name]:.0f}",
                f"{group_stats.median_first_part_ms():.0f}",
                str(group_stats.succeeded),
                str(group_stats.rejected),
                str(group_stats.failed),
            )
        return table

    def show(self, seconds: float | None) -> None:
        """Show the table until interrupted or for ``seconds``."""
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
