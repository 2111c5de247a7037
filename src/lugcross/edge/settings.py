# SPDX-License-Identifier: Apache-2.0
"""Settings of ``lugcross edge``."""

import datetime
import math
from typing import final

import msgspec

from lugcross import crash_suspects
from lugcross import yamlfile


class _StrictStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings that refuse fields they do not know."""


@final
class Listen(_StrictStruct, frozen=True, kw_only=True):
    """Where the process listens, each as ``HOST:PORT``.

    :param callers: for callers' requests.
    :param ready: for the platform's question whether to send any.
    :param state: for peers that ask what they missed.
    :param peers: for datagrams of peers.
    :param metrics: for whoever collects figures; none without it.
    """

    callers: str
    ready: str
    state: str
    peers: str
    metrics: str = ""


@final
class Store(_StrictStruct, frozen=True, kw_only=True):
    """The platform's log.

    :param form: how it is spoken to; only ``log`` is known.
    """

    address: str
    form: str

    def __post_init__(self) -> None:
        if self.form != "log":
            raise ValueError(f"form {self.form!r} is not 'log'")


@final
class Bounds(_StrictStruct, frozen=True, kw_only=True):
    """Times and shares that the operators allow.

    :param grace_s: from SIGTERM until the process is killed, seconds.
    :param drain_ms: after a backend server is known to leave, until it
        must get nothing new, milliseconds.
    :param change_ms: after a change of the desired state is accepted,
        until it must be in force everywhere, milliseconds.
    :param repeat_ratio: repeats that a service may get for each of its
        requests, within ``repeat_window_s`` seconds.
    :param repeat_slack: repeats allowed beyond, all processes together.
    :param contact_ms: time after which the store counts as sound again.
    :param fenced: whether engines refuse orders of an earlier holder.
    """

    grace_s: float
    drain_ms: float
    change_ms: float
    repeat_ratio: float
    repeat_window_s: float
    repeat_slack: float
    contact_ms: float
    fenced: bool = False

    @property
    def grace_period(self) -> datetime.timedelta:
        """Time from SIGTERM until the process is killed."""
        return datetime.timedelta(seconds=self.grace_s)

    @property
    def max_change_time(self) -> datetime.timedelta:
        """Longest time until a change must be in force."""
        return datetime.timedelta(milliseconds=self.change_ms)

    @property
    def max_drain_time(self) -> datetime.timedelta:
        """Longest time that a leaving backend server may be used."""
        return datetime.timedelta(milliseconds=self.drain_ms)

    @property
    def store_recovery_time(self) -> datetime.timedelta:
        """Time after which the store counts as sound again."""
        return datetime.timedelta(milliseconds=self.contact_ms)


@final
class Maps(_StrictStruct, frozen=True, kw_only=True):
    """When the expert map of a group changes.

    Lower both for steps that are as even as can be, raise the first where
    moving experts disturbs more than uneven steps do.

    :param least_saving: part of a pass that a new map must save, 0 to 1;
        with 1 no map is ever changed.
    :param copy_ms: longest time that ranks may copy experts for one map:
        demand stays as it is for a few seconds, so that the first few
        copies, early, are worth most. Both defaults were chosen on
        recorded counts, see docs/design/0006-expert-maps.md.
    """

    least_saving: float = 0.25
    copy_ms: float = 450.0

    def __post_init__(self) -> None:
        if not 0.0 <= self.least_saving <= 1.0:
            raise ValueError("least_saving must be 0 to 1")
        if self.copy_ms <= 0:
            raise ValueError("copy_ms must be over 0")

    @property
    def copy_s(self) -> float:
        """Longest time that ranks may copy for one map, in seconds."""
        return self.copy_ms / 1000.0


@final
class Shares(_StrictStruct, frozen=True, kw_only=True):
    """How rival workspaces share a full service.

    :param weights: weight by the name of a workspace; all others have 1. One
        with 2 gets twice as much as others where all want more.
    """

    weights: dict[str, float] = {}

    def __post_init__(self) -> None:
        for name, weight in self.weights.items():
            if not 0.0 < weight < math.inf:
                raise ValueError(f"weight of {name!r} must be over 0")


@final
class Suspects(_StrictStruct, frozen=True, kw_only=True):
    """Requests that end the servers that run them.

    :param cleared: fingerprints, as logs show them, of requests that are
        never refused for that, whatever speaks against them.
    """

    cleared: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        for one in self.cleared:
            if len(bytes.fromhex(one)) != crash_suspects.FINGERPRINT_BYTES:
                raise ValueError(f"{one!r} is no fingerprint")


@final
class Settings(_StrictStruct, frozen=True, kw_only=True):
    """Settings of one process.

    :param node: name of the process's machine.
    :param seeds: where ``state`` of a few peers is; they may be gone.
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
    level: str = "info"


def load(path: str) -> Settings:
    """Return the checked settings in the file at ``path``.

    :raises errors.SettingsError: naming file, path and remedy.
    """
    return yamlfile.load(path, Settings)
