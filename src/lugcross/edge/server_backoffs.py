# SPDX-License-Identifier: Apache-2.0
"""Backend servers that asked this process for rest; no I/O."""

import collections
from collections.abc import Iterable
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired

#: Urgent messages in one rest: a rank of a group whose pass is held needs to
#: be armed, and the pass to be released.
_MAX_URGENT_MESSAGES = 2


@final
class ServerBackoffs:
    """Until when which server wants nothing from this process.

    A server that turns a request away may ask whoever sent it for rest. Other
    processes are not bound by it: what it asks of them it tells them itself.

    Gone by, it also keeps requests from servers that refuse at once, which
    look idle and so draw the most: of 16 servers five got 269 of 375 attempts
    and ran none. An entry that goes for a while does not end a rest, nor does
    a later answer that asks for less.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._until: dict[desired.BackendKey, clock_lib.Instant] = {}
        #: How many urgent messages each has had in this rest.
        self._urgent_sent: collections.Counter[desired.BackendKey] = (
            collections.Counter()
        )
        self._servers: frozenset[desired.BackendKey] = frozenset()
        #: When the first of the rests ends that are known.
        self._next_end = datetime.timedelta.max

    def start(
        self, key: desired.BackendKey, duration: datetime.timedelta
    ) -> None:
        """Note that a server has asked for rest, from now on.

        One that asked for a longer one before gets that to its end.
        """
        until = self._clock.monotonic() + duration
        self._until[key] = max(until, self._until.get(key, until))
        self._rebuild()

    def is_active(self, key: desired.BackendKey) -> bool:
        """Tell whether a server wants nothing from this process now."""
        return key in self.servers()

    def may_send_deferrable(self, key: desired.BackendKey) -> bool:
        """Tell whether a server may be sent something that can wait."""
        return not self.is_active(key)

    def take_urgent_allowance(self, key: desired.BackendKey) -> bool:
        """Take one of the few urgent messages that a rest allows.

        The orders that bring a switch of expert maps to its end: while a pass
        is held, no rank of the group serves anybody.
        """
        if not self.is_active(key):
            return True
        if self._urgent_sent[key] >= _MAX_URGENT_MESSAGES:
            return False
        self._urgent_sent[key] += 1
        return True

    def servers(self) -> frozenset[desired.BackendKey]:
        """Return the servers that want nothing from this process now.

        The same object is returned as long as nothing has changed.
        """
        now = self._clock.monotonic()
        if now >= self._next_end:
            for key, until in list(self._until.items()):
                if until <= now:
                    del self._until[key]
                    del self._urgent_sent[key]
            self._rebuild()
        return self._servers

    def time_left(
        self, keys: Iterable[desired.BackendKey]
    ) -> datetime.timedelta | None:
        """Return the time until the first of ``keys`` has rested, if any."""
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
