# SPDX-License-Identifier: Apache-2.0
"""Events of a stream: split where one ends, told apart by their ids."""

from typing import final

#: End of an event, as HTML's server-sent events have it.
_EVENT_END = b"\n\n"
#: Field that holds the id of an event.
_ID_FIELD = b"id:"


@final
class EventSplitter:
    """Cuts the bytes of a stream into whole events.

    A backend server may stop anywhere; passing on only whole events lets
    another one go on where the last of them ended.
    """

    def __init__(self) -> None:
        self._incomplete = b""

    @property
    def incomplete(self) -> bytes:
        """Bytes of an event whose end has not come yet."""
        return self._incomplete

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes, in order."""
        *whole, self._incomplete = (self._incomplete + data).split(_EVENT_END)
        return [event + _EVENT_END for event in whole]


def event_id(event: bytes) -> str:
    """Return the id of an event; empty if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return ""


def has_later_id(event: bytes, last_id: str) -> bool:
    """Tell whether an event's id is past ``last_id``.

    After a resume, what the caller already has must not come twice.
    """
    found = event_id(event)
    if found.isdigit() and last_id.isdigit():
        return int(found) > int(last_id)
    return True
