# SPDX-License-Identifier: Apache-2.0
"""Exchange of the limits of backend servers between edge processes."""

import datetime

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import messages
from lugcross.edge import server_limits

_MS = datetime.timedelta(milliseconds=1)


def own_messages(
    limits: server_limits.ServerLimits, now: clock_lib.Instant
) -> list[messages.ServerLimit]:
    """Return the limits for the next heartbeat, with ages as of ``now``."""
    return [
        messages.ServerLimit(
            str(one.key),
            one.rate_per_s,
            min(int((now - one.stated_at) / _MS), messages.MAX_LIMIT_AGE_MS),
        )
        for one in limits.own_reports()
    ]


def merge(
    limits: server_limits.ServerLimits,
    heartbeat: messages.Heartbeat,
    now: clock_lib.Instant,
) -> None:
    """Merge the limits of a peer's heartbeat, received at ``now``."""
    if heartbeat.server_limits:
        limits.merge(
            server_limits.LimitReport(
                desired.BackendKey(one.server),
                one.rate_per_s,
                now - one.age_ms * _MS,
            )
            for one in heartbeat.server_limits
        )
