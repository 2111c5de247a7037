# SPDX-License-Identifier: Apache-2.0
"""Server-sent events: splitting of a byte stream, and event ids."""

from typing import final

#: End of an event, as in HTML's server-sent events.
_EVENT_END = b"\n\n"
#: Field that holds the id of an event.
_ID_FIELD = b"id:"


@final
class EventSplitter:
    """Splits the bytes of a stream into complete events.

    A backend server may fail in the middle of an event. Since only complete
    events are forwarded, another server can resume after the last of them.
    """

    def __init__(self) -> None:
        self._incomplete = b""

    @property
    def incomplete(self) -> bytes:
        """Bytes after the last complete event."""
        return self._incomplete

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes, in order."""
        *complete, self._incomplete = (self._incomplete + data).split(
            _EVENT_END
        )
        return [event + _EVENT_END for event in complete]


def event_id(event: bytes) -> str:
    """Return the id of an event; empty if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return ""


def has_later_id(event: bytes, last_id: str) -> bool:
    """Return whether an event comes after the one with ``last_id``.

    Used to drop events that the caller already has after a resume. An event
    whose id is missing or not a number counts as later.
    """
    found = event_id(event)
    if found.isdigit() and last_id.isdigit():
        return int(found) > int(last_id)
    return True
