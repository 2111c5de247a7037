# SPDX-License-Identifier: Apache-2.0
"""Exchange of the limits of backend servers between edge processes."""

from collections.abc import Iterable
import datetime
from typing import Annotated
from typing import final

import msgspec

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.rate_limits import cold_servers
from lugcross.rate_limits import server_limits

_MS = datetime.timedelta(milliseconds=1)
#: Longest name of a server's life.
_MAX_NAME_CHARS = 200
_Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_CHARS)]
#: Longest reported age of a server's limit.
_MAX_LIMIT_AGE_MS = 3_600_000
_MAX_COLD_MS = int(cold_servers.MAX_COLD_TIME / _MS)
#: Number of cold servers that one heartbeat carries at most.
MAX_COLD_MESSAGES = cold_servers.MAX_REPORTS


@final
class ServerLimitMessage(msgspec.Struct, frozen=True, array_like=True):
    """What the newest response of a backend server says of its limit.

    :param server: the life of the backend server.
    :param rate_per_s: requests a second that it takes from all processes;
        None if it states no limit any more.
    :param age_ms: milliseconds since the response.
    """

    server: _Name
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] | None
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=_MAX_LIMIT_AGE_MS)]


@final
class ColdServerMessage(msgspec.Struct, frozen=True, array_like=True):
    """A backend server whose response has just said that it is cold.

    :param server: the life of the backend server.
    :param left_ms: milliseconds for which it is still cold.
    """

    server: _Name
    left_ms: Annotated[int, msgspec.Meta(ge=0, le=_MAX_COLD_MS)]


def own_limit_messages(
    limits: server_limits.ServerLimits, now: clock_lib.Instant
) -> list[ServerLimitMessage]:
    """Return the limits for the next heartbeat, with ages as of ``now``."""
    return [
        ServerLimitMessage(
            str(one.key),
            one.rate_per_s,
            min(int((now - one.stated_at) / _MS), _MAX_LIMIT_AGE_MS),
        )
        for one in limits.own_reports()
    ]


def apply_limit_messages(
    limits: server_limits.ServerLimits,
    received: Iterable[ServerLimitMessage],
    now: clock_lib.Instant,
) -> None:
    """Merge the limits of a peer's heartbeat, received at ``now``."""
    limits.merge(
        server_limits.LimitReport(
            desired.BackendKey(one.server),
            one.rate_per_s,
            now - one.age_ms * _MS,
        )
        for one in received
    )


def own_cold_messages(
    limits: server_limits.ServerLimits,
) -> list[ColdServerMessage]:
    """Return the cold servers for the next heartbeat."""
    return [
        ColdServerMessage(str(one.key), int(one.left / _MS))
        for one in limits.own_cold_reports()
    ]


def apply_cold_messages(
    limits: server_limits.ServerLimits,
    received: Iterable[ColdServerMessage],
) -> None:
    """Apply the cold servers of a peer's heartbeat."""
    for one in received:
        limits.record_cold(
            desired.BackendKey(one.server),
            one.left_ms * _MS,
            cold_servers.ColdSource.PEER,
        )
