# SPDX-License-Identifier: Apache-2.0
"""Counters and timers, sent by statsd."""

import datetime
from typing import final
from typing import Protocol

import statsd

from lugcross.cfg import settings

_PREFIX = "lugcross"


class Metrics(Protocol):
    """Where counters and timers go."""

    def incr(self, name: str) -> None:
        """Count one."""

    def timing(self, name: str, took: datetime.timedelta) -> None:
        """Note how long something took."""

    def gauge(self, name: str, value: float) -> None:
        """Note how much of something there is."""


@final
class NullMetrics:
    """Sends nothing, where the settings name no statsd."""

    def incr(self, name: str) -> None:
        """Do nothing."""

    def timing(self, name: str, took: datetime.timedelta) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""


@final
class StatsdMetrics:
    """Sends over UDP; a lost datagram costs one sample and no time."""

    def __init__(self, address: settings.Address, node: str) -> None:
        self._client = statsd.StatsClient(
            address.host, address.port, prefix=f"{_PREFIX}.{node}"
        )

    def incr(self, name: str) -> None:
        """Count one."""
        self._client.incr(name)

    def timing(self, name: str, took: datetime.timedelta) -> None:
        """Note how long something took."""
        self._client.timing(name, took)

    def gauge(self, name: str, value: float) -> None:
        """Note how much of something there is."""
        self._client.gauge(name, value)


def open_metrics(observe: settings.Observe, node: str) -> Metrics:
    """Return what the settings ask for."""
    if observe.statsd is None:
        return NullMetrics()
    return StatsdMetrics(observe.statsd, node)
