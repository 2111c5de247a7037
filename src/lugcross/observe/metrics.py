# SPDX-License-Identifier: Apache-2.0
"""Counters, timers and gauges, sent to a statsd server."""

import datetime
from typing import final
from typing import Protocol

import statsd

from lugcross.cfg import settings

_PREFIX = "lugcross"


class Metrics(Protocol):
    """Destination of counters, timers and gauges."""

    def incr(self, name: str) -> None:
        """Increment a counter."""

    def timing(self, name: str, took: datetime.timedelta) -> None:
        """Record a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


@final
class NullMetrics:
    """Discards all metrics; used if the settings name no statsd server."""

    def incr(self, name: str) -> None:
        """Do nothing."""

    def timing(self, name: str, took: datetime.timedelta) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""


@final
class StatsdMetrics:
    """Sends metrics over UDP: a lost datagram loses a sample, never blocks.

    :param node: name of this process, part of the prefix of all metric names.
    """

    def __init__(self, address: settings.Address, node: str) -> None:
        self._client = statsd.StatsClient(
            address.host, address.port, prefix=f"{_PREFIX}.{node}"
        )

    def incr(self, name: str) -> None:
        """Increment a counter."""
        self._client.incr(name)

    def timing(self, name: str, took: datetime.timedelta) -> None:
        """Record a duration."""
        self._client.timing(name, took)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)


def open_metrics(observe: settings.Observe, node: str) -> Metrics:
    """Return the metrics client that the settings configure."""
    if observe.statsd is None:
        return NullMetrics()
    return StatsdMetrics(observe.statsd, node)
