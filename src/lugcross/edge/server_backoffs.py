# SPDX-License-Identifier: Apache-2.0
"""Backoffs that backend servers have asked this process for; no I/O."""

import collections
from collections.abc import Iterable
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired

#: Urgent messages allowed per backoff. Two are needed for a rank of a group
#: whose pass is held: one to arm the rank, one to release the pass.
_MAX_URGENT_MESSAGES = 2


@final
class ServerBackoffs:
    """Backend servers to send nothing to, and until when.

    A server that refuses a request may ask the sender to back off. This binds
    only the process that sent the request; the server asks each process
    itself.

    Honouring backoffs also keeps requests away from servers that refuse at
    once, which look idle and would attract most of the load. A backoff does
    not end early if the server's entry disappears for a while, or if a later
    answer asks for less.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._until: dict[desired.BackendKey, clock_lib.Instant] = {}
        #: Urgent messages sent to each server during its current backoff.
        self._urgent_sent: collections.Counter[desired.BackendKey] = (
            collections.Counter()
        )
        self._servers: frozenset[desired.BackendKey] = frozenset()
        #: When the first of the current backoffs ends.
        self._next_end = datetime.timedelta.max

    def start(
        self, key: desired.BackendKey, duration: datetime.timedelta
    ) -> None:
        """Start a backoff now; a longer one already in progress continues."""
        until = self._clock.monotonic() + duration
        self._until[key] = max(until, self._until.get(key, until))
        self._rebuild()

    def is_active(self, key: desired.BackendKey) -> bool:
        """Return whether a server is to be sent nothing now."""
        return key in self.servers()

    def may_send_deferrable(self, key: desired.BackendKey) -> bool:
        """Return whether a server may be sent a message that can wait."""
        return not self.is_active(key)

    def try_spend_urgent(self, key: desired.BackendKey) -> bool:
        """Return whether an urgent message may be sent, and count it.

        Urgent messages are the orders that complete a map switch: while a pass
        is held, no rank of the group serves requests. A backoff allows only a
        few of them.
        """
        if not self.is_active(key):
            return True
        if self._urgent_sent[key] >= _MAX_URGENT_MESSAGES:
            return False
        self._urgent_sent[key] += 1
        return True

    def servers(self) -> frozenset[desired.BackendKey]:
        """Return the servers to send nothing to now.

        Returns the same object as long as nothing has changed.
        """
        now = self._clock.monotonic()
        if now >= self._next_end:
            for key, until in list(self._until.items()):
                if until <= now:
                    del self._until[key]
                    del self._urgent_sent[key]
            self._rebuild()
        return self._servers

    def remaining(
        self, keys: Iterable[desired.BackendKey]
    ) -> datetime.timedelta | None:
        """Return the time until the first of ``keys`` may be sent to again.

        Returns None if none of them has a backoff.
        """
        ends = [self._until[key] for key in self.servers().intersection(keys)]
        if not ends:
            return None
        return min(ends) - self._clock.monotonic()

    def _rebuild(self) -> None:
        self._next_end = min(
            self._until.values(), default=datetime.timedelta.max
        )
        if self._servers != self._until.keys():
            self._servers = frozenset(self._until)
