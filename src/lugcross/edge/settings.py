# SPDX-License-Identifier: Apache-2.0
"""Settings of ``lugcross edge``."""

import datetime
import math
from typing import Annotated
from typing import final

import msgspec

from lugcross import crash_suspects
from lugcross import yamlfile


class _StrictStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of settings; an unknown field is an error."""


@final
class Listen(_StrictStruct, frozen=True, kw_only=True):
    """Addresses on which the process listens, each as ``HOST:PORT``.

    :param callers: requests of callers (HTTP).
    :param ready: readiness checks of the platform (HTTP).
    :param state: state requests of peers (WebSocket).
    :param peers: heartbeats of peers (UDP).
    :param metrics: metrics endpoint; empty to serve none.
    """

    callers: str
    ready: str
    state: str
    peers: str
    metrics: str = ""


@final
class Store(_StrictStruct, frozen=True, kw_only=True):
    """The store in which shared state is kept.

    :param address: ``HOST:PORT`` of the store.
    :param form: protocol of the store; only ``log`` is supported.
    """

    address: str
    form: str

    def __post_init__(self) -> None:
        if self.form != "log":
            raise ValueError(f"form {self.form!r} is not supported; use 'log'")


@final
class Bounds(_StrictStruct, frozen=True, kw_only=True):
    """Limits that the operators set.

    :param grace_s: seconds from SIGTERM until the platform kills the process.
    :param drain_ms: milliseconds from the time that a backend server is known
        to leave until it must get no new requests.
    :param change_ms: milliseconds from the acceptance of a change of the
        desired state until all processes must apply it.
    :param repeat_ratio: retries by edge processes that a service may get for
        each of its requests, within ``repeat_window_s`` seconds.
    :param repeat_slack: retries allowed in addition to that ratio, in total
        for all processes.
    :param contact_ms: milliseconds from the time that the store is reachable
        again until ``drain_ms`` and ``change_ms`` must be met again.
    :param fenced: whether engines reject orders under an outdated lease
        generation, so that the leader for expert maps needs a lease.
    :param cold_overshoot: how many times the rate that its service allows a
        cold backend server may get in any second.
    :param cold_slack: requests that it may get in addition.
    """

    grace_s: float
    drain_ms: float
    change_ms: float
    repeat_ratio: float
    repeat_window_s: float
    repeat_slack: float
    contact_ms: float
    fenced: bool = False
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0

    def __post_init__(self) -> None:
        if not 0.0 < self.cold_overshoot < math.inf:
            raise ValueError("cold_overshoot must be greater than 0")
        if not 0.0 <= self.cold_slack < math.inf:
            raise ValueError("cold_slack must not be negative")

    @property
    def grace_period(self) -> datetime.timedelta:
        """Time from SIGTERM until the platform kills the process."""
        return datetime.timedelta(seconds=self.grace_s)

    @property
    def max_change_time(self) -> datetime.timedelta:
        """Longest time until all processes must apply a change."""
        return datetime.timedelta(milliseconds=self.change_ms)

    @property
    def max_drain_time(self) -> datetime.timedelta:
        """Longest time for which a leaving backend server may be used."""
        return datetime.timedelta(milliseconds=self.drain_ms)

    @property
    def store_recovery_time(self) -> datetime.timedelta:
        """Time allowed to catch up once the store is reachable again."""
        return datetime.timedelta(milliseconds=self.contact_ms)


@final
class Maps(_StrictStruct, frozen=True, kw_only=True):
    """When to switch the expert map of a rank group.

    Lower both settings for passes that are as even as possible. Raise
    ``least_saving`` where copying experts costs more than uneven passes do.

    :param least_saving: fraction of a pass that a new map must save, 0 to 1;
        1 disables map switches.
    :param copy_ms: longest time in milliseconds that ranks may copy experts
        for one map switch. Demand is stable for a few seconds only, so that a
        few early copies help most. See docs/design/0006-expert-maps.md.
    """

    least_saving: float = 0.25
    copy_ms: float = 450.0

    def __post_init__(self) -> None:
        if not 0.0 <= self.least_saving <= 1.0:
            raise ValueError("least_saving must be from 0 to 1")
        if self.copy_ms <= 0:
            raise ValueError("copy_ms must be greater than 0")

    @property
    def copy_s(self) -> float:
        """Longest time that ranks may copy for one map switch, in seconds."""
        return self.copy_ms / 1000.0


@final
class Shares(_StrictStruct, frozen=True, kw_only=True):
    """How workspaces share a service that is at its limit.

    :param weights: weight by workspace; the default is 1. A workspace with
        weight 2 gets twice the share of one with weight 1 if both want more.
    """

    weights: dict[str, float] = {}

    def __post_init__(self) -> None:
        for name, weight in self.weights.items():
            if not 0.0 < weight < math.inf:
                raise ValueError(
                    f"weight of {name!r} must be finite and greater than 0"
                )


@final
class Suspects(_StrictStruct, frozen=True, kw_only=True):
    """Handling of crash suspects.

    :param cleared: fingerprints (hexadecimal, as in logs) of requests that are
        never refused as crash suspects.
    """

    cleared: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        for one in self.cleared:
            if len(bytes.fromhex(one)) != crash_suspects.FINGERPRINT_BYTES:
                raise ValueError(
                    f"fingerprint {one!r} must have"
                    f" {crash_suspects.FINGERPRINT_BYTES} bytes"
                )


@final
class Settings(_StrictStruct, frozen=True, kw_only=True):
    """Settings of one edge process.

    :param node: name of the host that the process runs on.
    :param domain: failure domain of the process.
    :param seeds: ``state`` addresses of some peers; not all need to exist.
    :param memory_mb: memory of the host in megabytes, of which a part bounds
        what the process holds for callers and servers that read slowly; none
        to bound nothing.
    :param level: lowest level of log messages that are written.
    """

    node: str
    domain: str
    listen: Listen
    store: Store
    bounds: Bounds
    seeds: tuple[str, ...] = ()
    maps: Maps = Maps()
    shares: Shares = Shares()
    suspects: Suspects = Suspects()
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] | None = None
    level: str = "info"


def load(path: str) -> Settings:
    """Return the validated settings in the YAML file at ``path``.

    :raises errors.SettingsError: if the file cannot be read or is invalid;
        the message names the file, the setting and a remedy.
    """
    return yamlfile.load(path, Settings)
