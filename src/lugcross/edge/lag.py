# SPDX-License-Identifier: Apache-2.0
"""For how long this process has been behind its peers."""

import collections
import datetime
from typing import final

from lugcross import clock as clock_lib

#: Missing versions that are tracked; beyond it the oldest are dropped.
_MAX_MISSING_VERSIONS = 64
#: Lag of a process that has every known version.
_NO_LAG = datetime.timedelta()


@final
class Lag:
    """Versions that peers have and this process lacks, with their age.

    Usually this process gets a new version from a peer soon after it learns
    that the version exists. If it does not, for whatever reason, it reads from
    the store itself. Only the time since it learned of the version decides
    that, not which peer failed to respond.

    A version is that of the desired state, or a position in a topic.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._missing: collections.deque[tuple[int, clock_lib.Instant]] = (
            collections.deque(maxlen=_MAX_MISSING_VERSIONS)
        )

    def note_available(self, version: int) -> None:
        """Note that a peer has version ``version``.

        Versions that are not above the newest known one are ignored.
        """
        if not self._missing or version > self._missing[-1][0]:
            self._missing.append((version, self._clock.monotonic()))

    def duration(self, own: int) -> datetime.timedelta:
        """Return for how long this process has been behind its peers.

        That is the time since it learned of the oldest version that it lacks,
        or since the store's last answer if that is later; zero if it lacks
        none.

        :param own: the version that this process has.
        """
        while self._missing and self._missing[0][0] <= own:
            self._missing.popleft()
        if not self._missing:
            return _NO_LAG
        return self._clock.monotonic() - self._missing[0][1]

    def note_store_answer(self) -> None:
        """Measure the lag from now on, as the store has answered a read.

        A peer's version may be one that the store does not return yet, so the
        newest one known stays missing until this process has it.
        """
        now = self._clock.monotonic()
        if self._missing:
            version = self._missing[-1][0]
            self._missing.clear()
            self._missing.append((version, now))
