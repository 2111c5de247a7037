# SPDX-License-Identifier: Apache-2.0
"""Settings of the programs: YAML, checked by type, errors with a path."""

import enum
import ipaddress
from typing import final
import urllib.parse

import msgspec

from lugcross import errors
from lugcross import yamlfile

_MIN_SECRET = 16


class _Strict(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings that refuse fields they do not know."""


def _check_host(host: str) -> None:
    try:
        ipaddress.ip_address(host)
    except ValueError as exc:
        raise ValueError(f"host {host!r} is not an IP number") from exc


@final
class Address(_Strict, frozen=True, kw_only=True):
    """IP number and port to listen on; port 0 lets the system choose."""

    host: str
    port: int

    def __post_init__(self) -> None:
        _check_host(self.host)
        if not 0 <= self.port < 65_536:
            raise ValueError(f"port {self.port} is not 0 to 65535")


@final
class Node(_Strict, frozen=True, kw_only=True):
    """Who this process is and where it stands."""

    name: str
    domain: str


@final
class Fleet(_Strict, frozen=True, kw_only=True):
    """What all processes of one fleet share.

    :param secret: shown, never sent, when links are opened.
    """

    secret: str

    def __post_init__(self) -> None:
        if len(self.secret) < _MIN_SECRET:
            raise ValueError(f"secret is shorter than {_MIN_SECRET} letters")


@final
class Platform(_Strict, frozen=True, kw_only=True):
    """Where the platform's services are.

    :param timeout_s: longest wait for one answer, in seconds.
    :param poll_s: how long one read waits for new records, in seconds.
        Both together less than the 4 s within which a change is to be in
        force: a read on a connection that went silent shows it no sooner.
    """

    log: str
    hosts: str = ""
    weights: str = ""
    timeout_s: float = 2.0
    poll_s: float = 1.5


class Exporter(enum.Enum):
    """Where finished spans go."""

    NONE = "none"
    LOG = "log"
    OTLP = "otlp"


@final
class Traces(_Strict, frozen=True, kw_only=True):
    """Spans: the exporter and, for ``otlp``, its endpoint."""

    exporter: Exporter = Exporter.NONE
    endpoint: str = ""


@final
class Observe(_Strict, frozen=True, kw_only=True):
    """Logs, metrics and traces.

    :param statsd: where counters go; none are sent without it.
    """

    level: str = "info"
    statsd: Address | None = None
    traces: Traces = Traces()


class Role(enum.Enum):
    """What an operator may do; each role may do what those before may."""

    VIEWER = "viewer"
    EDITOR = "editor"


@final
class Operator(_Strict, frozen=True, kw_only=True):
    """One operator, known by the SHA-256 of a token."""

    name: str
    role: Role
    token_sha256: str


class Daemon(_Strict, frozen=True, kw_only=True, tag_field="program"):
    """What every program needs.

    :param grace_s: longest time for work in progress at a planned
        stop, in seconds.
    """

    node: Node
    fleet: Fleet
    platform: Platform
    observe: Observe = Observe()
    grace_s: float = 60.0


@final
class Entry(Daemon, frozen=True, kw_only=True, tag="entry"):
    """Settings of ``lugcross entry``.

    :param http: for callers.
    :param rpc: for operators.
    :param threads: callers served side by side.
    :param notice_s: how long to go on serving after /readyz first
        fails, so that the platform's balancer notices, in seconds.
    :param links: backend servers of each service to keep links to.
    :param seeds: agents to ask for the configuration when this entry
        host starts while the log is away.
    """

    http: Address
    rpc: Address
    operators: tuple[Operator, ...] = ()
    threads: int = 64
    notice_s: float = 5.0
    links: int = 24
    seeds: tuple[Address, ...] = ()


@final
class Agent(Daemon, frozen=True, kw_only=True, tag="agent"):
    """Settings of ``lugcross agent``.

    :param backend: name of this backend server in the configuration.
    :param link: for entry hosts.
    :param services: base URL of what stands behind each service; with
        an IP number.
    """

    backend: str
    link: Address
    services: dict[str, str]

    def __post_init__(self) -> None:
        for url in self.services.values():
            parts = urllib.parse.urlsplit(url)
            if parts.scheme != "http":
                raise ValueError(f"{url!r} is not an http:// URL")
            _check_host(parts.hostname or "")


#: Settings of any program; the field ``program`` tells which.
Program = Entry | Agent


def check(path: str) -> Program:
    """Return the checked settings of whichever program they are for.

    :raises errors.SettingsError: naming file, path and remedy.
    """
    text = yamlfile.read_text(path)
    program = yamlfile.parse_untyped(text, path)
    name = program.get("program") if isinstance(program, dict) else None
    classes: dict[object, type[Program]] = {"entry": Entry, "agent": Agent}
    if name not in classes:
        raise errors.SettingsError(
            f"{path}: $.program is {name!r}",
            remedy="set it to 'entry' or 'agent'",
        )
    return yamlfile.parse(text, classes[name], source=path)
