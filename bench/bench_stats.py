# SPDX-License-Identifier: Apache-2.0
"""Small helpers that all benches share: timing, slopes, percentiles."""

from collections.abc import Callable
from collections.abc import Sequence
import gc
import time


def median_call_s(func: Callable[[], object], *, count: int) -> float:
    """Return the median of five runs of ``count`` calls, per call."""
    times = []
    gc.collect()
    for _ in range(5):
        began = time.perf_counter()
        for _ in range(count):
            func()
        times.append((time.perf_counter() - began) / count)
    return sorted(times)[2]


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    under = sum((x - mean_x) ** 2 for x, _ in points)
    rate = over / under
    return rate, mean_y - rate * mean_x


def percentile(values: Sequence[float], part: float) -> float:
    """Return the value below which ``part`` of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
