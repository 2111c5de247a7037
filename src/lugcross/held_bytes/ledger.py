# SPDX-License-Identifier: Apache-2.0
"""Counts held bytes by connection and in sum, and bounds the sum; no I/O.

A request whose body is read in part frees its memory only after the rest is
read. If all of them waited for memory, none would ever end. So at the bound
one of them has the turn and is read on; the turn lasts until its request ends,
or bodies would be read one after the other while none is freed. A response
that is read in whole before it is delivered could wait in the same way, so at
the bound it is delivered as it arrives.
"""

from collections.abc import Callable
import enum
from typing import final

from absl import logging

_BYTES_PER_MB = 1_000_000
#: Memory that is left to the process itself: what a node may use for control.
_OWN_BYTES = 64 * _BYTES_PER_MB
#: Fraction of the memory that counts as left on a host with little.
_MIN_LEFT_FRACTION = 0.25
#: Fraction of the memory left that held bytes may use. The rest is for the
#: buffers of parsers and transports, for what is read before a connection
#: waits, and for fragmentation.
_HELD_FRACTION = 0.5
#: A measure ends when the sum is lower by this fraction of the limit than
#: where it begins, so that it does not begin and end with each read.
_HYSTERESIS_FRACTION = 0.1


def limit_bytes(memory_mb: float | None) -> int | None:
    """Return how many bytes a process on a host with this memory may hold.

    :param memory_mb: memory of the host in megabytes; None if not known.
    :returns: None for no limit.
    """
    if memory_mb is None:
        return None
    memory = memory_mb * _BYTES_PER_MB
    left = max(memory - _OWN_BYTES, memory * _MIN_LEFT_FRACTION)
    return int(left * _HELD_FRACTION)


class Kind(enum.Enum):
    """What bytes are held for.

    ``REQUEST``: a head and a body that are read, until their request ends; a
    server that has not yet taken the body is sent the same bytes.
    ``RESPONSE``: a response that is read in whole before it is delivered.
    ``FAILURE``: a failure of a server, while another one is tried.
    ``UNSENT``: parts of responses that the caller has not yet taken.
    """

    REQUEST = "request"
    RESPONSE = "response"
    FAILURE = "failure"
    UNSENT = "unsent"


class Measure(enum.IntEnum):
    """The measures at the bound, in their order; each includes the former.

    ``STOP_BODIES``: no further body is read from callers that are sending, and
    nothing that they send ahead.
    ``REFUSE_BODIES``: new requests with a body or a large head are refused.
    ``SLOW_RESPONSES``: servers are read from only as fast as callers read.
    """

    NONE = 0
    STOP_BODIES = 1
    REFUSE_BODIES = 2
    SLOW_RESPONSES = 3


#: Fraction of the limit from which on a measure is taken. Each leaves room
#: for what goes on meanwhile.
_START_FRACTIONS = {
    Measure.STOP_BODIES: 0.8,
    Measure.REFUSE_BODIES: 0.9,
    Measure.SLOW_RESPONSES: 1.0,
}


@final
class HeldBytes:
    """The bytes that one process holds, and the measures at their bound.

    :param limit: the bound; None for no bound.
    """

    def __init__(self, limit: int | None) -> None:
        self.limit = limit
        self._total = 0
        self._measure = Measure.NONE
        self._holdings: set[Holding] = set()
        #: The connection whose body is read on at the bound.
        self._turn: Holding | None = None
        #: In the order in which they were added.
        self._callbacks: dict[Callable[[], None], None] = {}

    @property
    def total(self) -> int:
        """Bytes held for all connections."""
        return self._total

    @property
    def measure(self) -> Measure:
        """The strongest measure that is in force."""
        return self._measure

    def open(self) -> "Holding":
        """Return the holding of a new connection."""
        holding = Holding(self)
        self._holdings.add(holding)
        return holding

    def largest(self) -> int:
        """Return how many bytes are held for one connection at most."""
        return max((one.total for one in self._holdings), default=0)

    def admits_body(self) -> bool:
        """Return whether a new request may bring a body."""
        return self._measure < Measure.REFUSE_BODIES

    def call_on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once, when a connection that waits may go on."""
        self._callbacks[callback] = None

    def forget(self, callback: Callable[[], None]) -> None:
        """Do not call ``callback`` any more."""
        self._callbacks.pop(callback, None)

    def add(self, change: int) -> None:
        """Add to the sum; used by holdings only."""
        self._total += change
        self._update_measure()

    def close(self, holding: "Holding") -> None:
        """Forget a holding that is empty; used by holdings only."""
        self._holdings.discard(holding)

    def take_turn(self, holding: "Holding") -> bool:
        """Return whether ``holding`` has the turn; it takes one that is free.

        Used by holdings only.
        """
        if self._turn is None:
            self._turn = holding
        return self._turn is holding

    def end_turn(self, holding: "Holding") -> None:
        """End the turn of ``holding``, if it has it; used by holdings only."""
        if self._turn is holding:
            self._turn = None
            self._notify()

    def _update_measure(self) -> None:
        if self.limit is None:
            return
        before = self._measure
        found = Measure.NONE
        for measure, start in _START_FRACTIONS.items():
            if measure <= before:
                start -= _HYSTERESIS_FRACTION
            if self._total >= round(self.limit * start):
                found = measure
        if found is before:
            return
        self._measure = found
        if Measure.NONE in (before, found):
            logging.info(
                "held bytes reached their bound"
                if found
                else "held bytes left their bound",
                extra={
                    "held_bytes": self._total,
                    "limit_bytes": self.limit,
                    "connections": sum(
                        1 for one in self._holdings if one.total
                    ),
                    "largest_bytes": self.largest(),
                },
            )
        if found < before:
            self._notify()

    def _notify(self) -> None:
        callbacks, self._callbacks = self._callbacks, {}
        for callback in callbacks:
            callback()


@final
class Holding:
    """The bytes held for one connection of a caller."""

    def __init__(self, held: HeldBytes) -> None:
        self._held = held
        self._bytes = dict.fromkeys(Kind, 0)
        self._closed = False

    @property
    def total(self) -> int:
        """Bytes held for this connection."""
        return sum(self._bytes.values())

    def set(self, kind: Kind, size: int) -> None:
        """Set how many bytes of one kind are held.

        No effect once the holding is closed.
        """
        change = size - self._bytes[kind]
        if change and not self._closed:
            self._bytes[kind] = size
            self._held.add(change)

    def admits_body(self) -> bool:
        """Return whether a new request may bring a body."""
        return self._held.admits_body()

    def may_read_ahead(self) -> bool:
        """Return whether data beyond the present request may be read."""
        return self._held.measure < Measure.STOP_BODIES

    def may_read_body(self) -> bool:
        """Return whether more of the caller's body may be read.

        While bodies are stopped, the connection that asks first has the turn
        until :meth:`end_request`.
        """
        return (
            self._held.measure < Measure.STOP_BODIES
            or self._held.take_turn(self)
        )

    def end_request(self) -> None:
        """Note that a request has ended and frees its memory."""
        self._held.end_turn(self)

    def may_read_response(self) -> bool:
        """Return whether more of a response may be read from a server.

        While responses are slowed, it may if the caller has taken all.
        """
        return not (self._is_slowed() and self._bytes[Kind.UNSENT])

    def may_hold_response(self) -> bool:
        """Return whether a response may be held until it is read in whole."""
        return not (self._is_slowed() and self._bytes[Kind.RESPONSE])

    def _is_slowed(self) -> bool:
        return self._held.measure >= Measure.SLOW_RESPONSES

    def call_on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once, when a connection that waits may go on."""
        self._held.call_on_change(callback)

    def forget(self, callback: Callable[[], None]) -> None:
        """Do not call ``callback`` any more."""
        self._held.forget(callback)

    def close(self) -> None:
        """Note that nothing is held for this connection any more."""
        self.end_request()
        for kind in Kind:
            self.set(kind, 0)
        self._closed = True
        self._held.close(self)
