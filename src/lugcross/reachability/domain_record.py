# SPDX-License-Identifier: Apache-2.0
"""What a process knows of its connections to one failure domain."""

import dataclasses
import datetime
from typing import final

from lugcross import clock as clock_lib

#: Age after which a failed connection no longer counts. Longer than the time
#: in which a process with little load sends to three servers of a domain.
FAILURE_MAX_AGE = datetime.timedelta(seconds=3)


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
