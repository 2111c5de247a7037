# SPDX-License-Identifier: Apache-2.0
"""What a process knows of its connections to one failure domain."""

import dataclasses
import datetime
from typing import final

from lugcross import clock as clock_lib

#: Age after which a failed connection no longer counts. Longer than the time
#: in which a process with little load sends to three servers of a domain.
FAILURE_MAX_AGE = datetime.timedelta(seconds=3)
#: Failures after which further servers are probed, so that the last failures
#: cost no caller an attempt. One is enough where a peer has reported the
#: domain.
_MIN_FAILED_SERVERS_TO_PROBE = 2
_MIN_FAILED_SERVERS_TO_PROBE_REPORTED = 1
#: Time between two probes of a domain that peers report.
_UNTESTED_PROBE_INTERVAL = datetime.timedelta(milliseconds=20)
#: Probes of a domain on suspicion, within the age of its failures. They are
#: made at once, as requests go on to fail until the last of them has ended.
_MAX_SUSPECTED_PROBES = 4
#: Time between two probes of a domain that is unreachable.
_UNREACHABLE_PROBE_INTERVAL = datetime.timedelta(milliseconds=300)


@final
@dataclasses.dataclass
class DomainRecord:
    """What is known of one domain.

    :param failures: when the last connection to each server failed, by
        address; empty after a connection.
    :param failed_probes: the servers among them to which a probe failed.
    :param unreachable_since: when it was found unreachable.
    :param connected_at: when a connection was made or a response came.
    :param returned_at: when its gradual return began.
    :param reports: when each process of the own domain last reported it.
    :param doubted_since: since when enough processes report it.
    :param probed_at: when each server was last probed.
    """

    failures: dict[str, clock_lib.Instant] = dataclasses.field(
        default_factory=dict
    )
    failed_probes: set[str] = dataclasses.field(default_factory=set)
    unreachable_since: clock_lib.Instant | None = None
    connected_at: clock_lib.Instant | None = None
    returned_at: clock_lib.Instant | None = None
    reports: dict[str, clock_lib.Instant] = dataclasses.field(
        default_factory=dict
    )
    doubted_since: clock_lib.Instant | None = None
    probed_at: dict[str, clock_lib.Instant] = dataclasses.field(
        default_factory=dict
    )

    def drop_old_failures(self, now: clock_lib.Instant) -> None:
        """Drop failed connections that no longer count."""
        self.failures = {
            server: at
            for server, at in self.failures.items()
            if now - at < FAILURE_MAX_AGE
        }
        self.failed_probes &= self.failures.keys()

    def drop_failures(self) -> None:
        """Drop all failed connections, since another one was made."""
        self.failures.clear()
        self.failed_probes.clear()
        self.probed_at.clear()

    def is_untested(self) -> bool:
        """Return whether it is doubted and was not connected to since."""
        return self.doubted_since is not None and (
            self.connected_at is None or self.connected_at < self.doubted_since
        )

    def is_left_out(self) -> bool:
        """Return whether its servers are to get no attempts."""
        return self.unreachable_since is not None or self.is_untested()

    def last_try(self, server: str) -> datetime.timedelta:
        """Return when a server was probed or failed, or the earliest time."""
        never = datetime.timedelta.min
        return max(
            self.probed_at.get(server, never), self.failures.get(server, never)
        )

    def is_suspected(self, now: clock_lib.Instant) -> bool:
        """Return whether further servers are to be probed on suspicion."""
        if not self.failures or self.is_left_out():
            return False
        self.drop_old_failures(now)
        recent = [
            at for at in self.probed_at.values() if now - at < FAILURE_MAX_AGE
        ]
        needed = (
            _MIN_FAILED_SERVERS_TO_PROBE_REPORTED
            if self.reports
            else _MIN_FAILED_SERVERS_TO_PROBE
        )
        return (
            len(self.failures) >= needed
            and len(recent) < _MAX_SUSPECTED_PROBES
        )

    def probe_is_due(self, now: clock_lib.Instant) -> bool:
        """Return whether the domain is to be probed now."""
        if not self.is_left_out():
            return self.is_suspected(now)
        interval = (
            _UNTESTED_PROBE_INTERVAL
            if self.unreachable_since is None
            else _UNREACHABLE_PROBE_INTERVAL
        )
        last = max(self.probed_at.values(), default=None)
        return last is None or now - last >= interval
