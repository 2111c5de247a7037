# SPDX-License-Identifier: Apache-2.0
"""Timing, line fitting and percentiles for the benchmarks."""

from collections.abc import Callable
from collections.abc import Sequence
import gc
import time


def median_call_s(func: Callable[[], object], *, count: int) -> float:
    """Return the time of one call: the median of five runs of ``count``."""
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
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    rate = covariance / variance
    return rate, mean_y - rate * mean_x


def percentile(values: Sequence[float], part: float) -> float:
    """Return the quantile of ``values`` at ``part``, from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
