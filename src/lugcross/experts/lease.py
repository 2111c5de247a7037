# SPDX-License-Identifier: Apache-2.0
"""The lease by which one process gives orders about expert maps.

The lease is a record in the platform's store. Each claim has a number above
that of the one before, and every order carries it: engines refuse orders
with a lower number than they have seen, so that whatever a frozen or
cut-off holder still has on its way is refused once its successor has given
an order. That makes it safe

- to take the lease over at any time; the time to live only keeps two
  processes that don't hear each other from taking it in turns;
- to keep it while the store is away: nobody can claim it meanwhile. A
  process that does not hold it rests until the store answers.

No clocks are compared: the time to live runs from when a process has seen
a record, and any write in between defeats its claim.
"""

import datetime
import enum
from typing import final
from typing import NewType

import msgspec

from lugcross import clock as clock_lib
from lugcross import positions

#: Number of a claim; rises with each, from 1.
Generation = NewType("Generation", int)

#: Time between two renewals. A renewal also tells a holder that it has
#: been superseded; two a second are a two-hundredth of the store's writes.
RENEWAL_INTERVAL = datetime.timedelta(milliseconds=500)
#: Time for which a record must stand unchanged before it may be replaced:
#: one renewal and a slow store's answer. A holder that was frozen between
#: two orders may keep its group from making passes for that long.
TIME_TO_LIVE = datetime.timedelta(milliseconds=750)
#: Rest after a call that got no answer; as long as the store takes to
#: answer when it is slow.
RETRY_DELAY = datetime.timedelta(milliseconds=500)
#: Bits of the numbers of one era of the store: at a claim each time to live
#: they last for 145 days, and claims are a few a day.
_GENERATION_BIT_COUNT = 24


class LeaseAction(enum.Enum):
    """What to do at the store now."""

    NONE = "none"
    READ = "read"
    CLAIM = "claim"
    RENEW = "renew"
    RELEASE = "release"


@final
class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What the store holds of a lease.

    :param holder: incarnation of the process that wrote it.
    :param released: whether that process has given it up.
    """

    holder: str
    generation: Generation
    released: bool = False


@final
class Lease:
    """One process's part in a lease; no I/O.

    Whoever drives it carries out each :meth:`move` and says what came of
    it, by one of :meth:`saw`, :meth:`wrote`, :meth:`conflicted` and
    :meth:`unclear`.

    :param incarnation: of this process.
    """

    def __init__(self, incarnation: str, clock: clock_lib.Clock) -> None:
        self._own = incarnation
        self._clock = clock
        self._seen: LeaseRecord | None = None
        self._end: positions.Position | None = None
        self._since = clock.monotonic()
        self._renewed_at = clock.monotonic()
        self._retry_at = clock.monotonic()
        #: Highest number that is known to be of no use any more.
        self._spent = Generation(0)
        self._held: Generation | None = None
        #: Whether the store left the last call without an answer.
        self.failing = False

    @property
    def held(self) -> Generation | None:
        """Number of this process's claim; none while it has no lease."""
        return self._held

    def move(self, *, wants: bool, held_elsewhere: bool) -> LeaseAction:
        """Return what to do at the store now.

        :param wants: whether this process should have the lease.
        :param held_elsewhere: whether a live peer says that it has it.
        """
        now = self._clock.monotonic()
        if now < self._retry_at:
            return LeaseAction.NONE
        if self._held is not None:
            return self._move_of_holder(now, wants)
        if not wants or held_elsewhere:
            # What was seen is too old to start the time to live from.
            self._end = None
            return LeaseAction.NONE
        if self._end is None:
            return LeaseAction.READ
        free = self._seen is None or self._seen.released
        if free or now - self._since >= TIME_TO_LIVE:
            return LeaseAction.CLAIM
        return LeaseAction.NONE

    def _move_of_holder(
        self, now: clock_lib.Instant, wants: bool
    ) -> LeaseAction:
        if self._end is None:
            return LeaseAction.READ
        if not wants:
            return LeaseAction.RELEASE
        if now - self._renewed_at >= RENEWAL_INTERVAL:
            return LeaseAction.RENEW
        return LeaseAction.NONE

    def record(self, move: LeaseAction) -> LeaseRecord:
        """Return the record that a move writes."""
        if move is LeaseAction.CLAIM:
            before = self._seen.generation if self._seen else Generation(0)
            # What was claimed since the copy that the store came back from is
            # not known to it: each era has numbers above all earlier ones.
            lowest = positions.era(self.end) << _GENERATION_BIT_COUNT
            number = Generation(max(before, self._spent, lowest) + 1)
            return LeaseRecord(holder=self._own, generation=number)
        assert self._held is not None
        return LeaseRecord(
            holder=self._own,
            generation=self._held,
            released=move is LeaseAction.RELEASE,
        )

    @property
    def end(self) -> positions.Position:
        """Where the store's log must end for a write to count."""
        assert self._end is not None
        return self._end

    def saw(self, found: LeaseRecord | None, end: positions.Position) -> None:
        """Take over what the store holds."""
        self.failing = False
        now = self._clock.monotonic()
        if end != self._end or self._seen != found:
            self._since = now
        self._seen, self._end = found, end
        if found is None:
            return
        number = found.generation
        if self._held is not None and number > self._held:
            self._drop(self._held)
        ours = found.holder == self._own and not found.released
        if ours and number > self._spent:
            # A write of ours whose answer was lost took effect.
            self._held = number
            self._renewed_at = now

    def wrote(self, record: LeaseRecord, end: positions.Position) -> None:
        """Note that the store has taken a record of ours."""
        self.failing = False
        self._seen, self._end = record, end
        self._since = self._renewed_at = self._clock.monotonic()
        if record.released:
            self._drop(record.generation)
        elif record.generation > self._spent:
            self._held = record.generation

    def conflicted(self) -> None:
        """Note that another write came first."""
        self.failing = False
        self._end = None

    def unclear(self) -> None:
        """Note that a call got no answer: a write may have counted."""
        self.failing = True
        self._end = None
        self._retry_at = self._clock.monotonic() + RETRY_DELAY

    def superseded(self, by: Generation) -> None:
        """Note a higher number that a peer tells of."""
        if self._held is not None and by > self._held:
            self._drop(self._held)

    def refused(self, number: Generation) -> None:
        """Note that an engine has seen a higher number than ``number``."""
        self._drop(number)

    def _drop(self, number: Generation) -> None:
        """Never use a number again."""
        self._spent = max(self._spent, number)
        if self._held is not None and self._held <= self._spent:
            self._held = None
            self._end = None
