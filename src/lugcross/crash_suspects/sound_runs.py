# SPDX-License-Identifier: Apache-2.0
"""Sound runs of prompt parts, remembered before anything is suspected.

The first part of a prompt may be in nearly every request, so it is in nearly
every request that crashes a server too. What tells it from the cause is that
it has run soundly elsewhere, mostly before the first crash.
"""

import collections
from typing import final

from lugcross import clock as clock_lib
from lugcross.crash_suspects import evidence
from lugcross.crash_suspects import fingerprint

#: Parts remembered, the most recently used ones: about 2 MB.
MAX_PARTS = 4096


@final
class SoundRunHistory:
    """The latest sound runs of the parts that this process served lately."""

    def __init__(self) -> None:
        self._runs: collections.OrderedDict[
            fingerprint.Fingerprint, tuple[evidence.SoundRun, ...]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._runs)

    def add(
        self, part: fingerprint.Fingerprint, run: evidence.SoundRun
    ) -> None:
        """Remember a run of a part."""
        known = self._runs.pop(part, ())
        self._runs[part] = evidence.merge_sound_runs((*known, run))
        if len(self._runs) > MAX_PARTS:
            self._runs.popitem(last=False)

    def find(
        self, part: fingerprint.Fingerprint, now: clock_lib.Instant
    ) -> tuple[evidence.SoundRun, ...]:
        """Return the runs of a part that may still count."""
        return tuple(
            run
            for run in self._runs.get(part, ())
            if run.observed_at > now - evidence.SUSPICION_TTL
        )
