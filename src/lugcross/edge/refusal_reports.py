# SPDX-License-Identifier: Apache-2.0
"""Exchange of refusing backend servers between edge processes."""

import datetime

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import messages
from lugcross.edge import refusing_servers

_MS = datetime.timedelta(milliseconds=1)


def own_messages(
    refusing: refusing_servers.RefusingServers, now: clock_lib.Instant
) -> list[messages.ServerReport]:
    """Return the reports for the next heartbeat, with ages as of ``now``."""
    return [_to_message(one, now) for one in refusing.own_reports()]


def merge(
    refusing: refusing_servers.RefusingServers,
    heartbeat: messages.Heartbeat,
    now: clock_lib.Instant,
) -> None:
    """Merge the reports of a peer's heartbeat, received at ``now``."""
    if heartbeat.server_reports:
        refusing.merge(
            heartbeat.node,
            [_from_message(one, now) for one in heartbeat.server_reports],
        )


def _to_message(
    report: refusing_servers.ServerReport, now: clock_lib.Instant
) -> messages.ServerReport:
    refusals = report.refusals
    accepted_at = report.accepted_at
    return messages.ServerReport(
        str(report.key),
        0 if refusals is None else refusals.count,
        0 if refusals is None else _age_ms(refusals.last_at, now),
        -1 if accepted_at is None else _age_ms(accepted_at, now),
    )


def _from_message(
    message: messages.ServerReport, now: clock_lib.Instant
) -> refusing_servers.ServerReport:
    accepted_ms = message.accepted_age_ms
    return refusing_servers.ServerReport(
        desired.BackendKey(message.server),
        refusing_servers.Refusals(
            message.refusal_count, now - message.refusal_age_ms * _MS
        )
        if message.refusal_count
        else None,
        None if accepted_ms < 0 else now - accepted_ms * _MS,
    )


def _age_ms(at: clock_lib.Instant, now: clock_lib.Instant) -> int:
    return min(int((now - at) / _MS), messages.MAX_REFUSAL_AGE_MS)
