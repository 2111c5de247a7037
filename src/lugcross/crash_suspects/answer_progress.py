# SPDX-License-Identifier: Apache-2.0
"""How far the answer of one attempt has come.

A prompt part that crashes servers does so when they begin to write. A server
that has been writing for a while will not crash of it any more.
"""

import datetime
from typing import final

from lugcross import clock as clock_lib

#: Time for which events must arrive, and in how many reads at least. A slow
#: server writes its first events far apart.
_SOUND_WRITING_TIME = datetime.timedelta(seconds=0.5)
_SOUND_EVENT_READ_COUNT = 4


@final
class AnswerProgress:
    """Events of one answer, as they arrive.

    :ivar first_event_at: when the first event arrived, if any.
    :ivar is_sound: whether no part of the prompt can crash the server.
    """

    def __init__(self) -> None:
        self._event_reads = 0
        self.first_event_at: clock_lib.Instant | None = None
        self.is_sound = False

    def note_events(self, now: clock_lib.Instant) -> bool:
        """Note that events have arrived; return whether this makes it sound.

        :param now: when they arrived.
        """
        self._event_reads += 1
        if self.first_event_at is None:
            self.first_event_at = now
        was_sound = self.is_sound
        self.is_sound = was_sound or (
            self._event_reads >= _SOUND_EVENT_READ_COUNT
            and now - self.first_event_at >= _SOUND_WRITING_TIME
        )
        return self.is_sound and not was_sound
