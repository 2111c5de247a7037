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

from lugcross.demo import calls
from lugcross.demo import fleet as fleet_lib

_WINDOW_S = 5.0
_REFRESH_A_S = 2.0
_TOKENS = 24


@final
class Meter:
    """What one group got lately."""

    def __init__(self) -> None:
        self._done: collections.deque[tuple[float, calls.Result]] = (
            collections.deque()
        )
        self._lock = threading.Lock()
        self.whole = 0
        self.refused = 0
        self.broken = 0

    def add(self, result: calls.Result) -> None:
        """Note the result of one request."""
        with self._lock:
            self._done.append((time.monotonic(), result))
            if result.whole:
                self.whole += 1
            elif result.outcome:
                self.refused += 1
            else:
                self.broken += 1

    def tokens_a_s(self) -> float:
        """Return the tokens a second in the last window."""
        return sum(r.tokens for r in self._recent()) / _WINDOW_S

    def first_ms(self) -> float:
        """Return the median time to the first part, in ms."""
        times = sorted(r.first_s for r in self._recent() if r.whole)
        return times[len(times) // 2] * 1000 if times else 0.0

    def _recent(self) -> list[calls.Result]:
        with self._lock:
            oldest = time.monotonic() - _WINDOW_S
            while self._done and self._done[0][0] < oldest:
                self._done.popleft()
            return [result for _, result in self._done]


@final
class Traffic:
    """Keeps each group's requests in progress, in threads."""

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self._fleet = fleet
        self._stopping = threading.Event()
        self.meters = {rival.name: Meter() for rival in fleet.rivals}
        self._threads = [
            threading.Thread(
                target=self._call_on, args=(rival, num), daemon=True
            )
            for rival in fleet.rivals
            for num in range(rival.callers)
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
        due = sum(rival.share for rival in self._fleet.rivals)
        rates = {name: m.tokens_a_s() for name, m in self.meters.items()}
        got = sum(rates.values()) or 1.0
        for rival in self._fleet.rivals:
            meter = self.meters[rival.name]
            table.add_row(
                rival.name,
                f"{rival.share / due:.0%}",
                f"{rates[rival.name] / got:.0%}",
                f"{rates[rival.name]:.0f}",
                f"{meter.first_ms():.0f}",
                str(meter.whole),
                str(meter.refused),
                str(meter.broken),
            )
        return table

    def show(self, seconds: float | None) -> None:
        """Show the table until interrupted or for ``seconds``."""
        until = time.monotonic() + seconds if seconds else None
        with rich.live.Live(self.table()) as live:
            while until is None or time.monotonic() < until:
                time.sleep(1 / _REFRESH_A_S)
                live.update(self.table())

    def _call_on(self, rival: fleet_lib.Rival, num: int) -> None:
        sender = calls.Sender(rival.key)
        rng = random.Random(num)
        for count in itertools.count():
            if self._stopping.is_set():
                return
            result = sender.complete(
                rng.choice(self._fleet.urls),
                f"{rival.name} {num} {count}",
                tokens=_TOKENS,
                stream=True,
            )
            self.meters[rival.name].add(result)
            self._stopping.wait(result.retry_after_s)
