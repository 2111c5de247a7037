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

    Whoever drives it carries out each :meth:`next_action` and says what came
    of it, by one of :meth:`note_read`, :meth:`note_written`,
    :meth:`note_conflict` and :meth:`note_no_answer`.

    :param incarnation: of this process.
    """

    def __init__(self, incarnation: str, clock: clock_lib.Clock) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._seen_record: LeaseRecord | None = None
        self._expected_end: positions.Position | None = None
        self._unchanged_since = clock.monotonic()
        self._renewed_at = clock.monotonic()
        self._retry_at = clock.monotonic()
        #: Highest number that is known to be of no use any more.
        self._highest_revoked = Generation(0)
        self._held_generation: Generation | None = None
        #: Whether the store left the last call without an answer.
        self.store_unavailable = False

    @property
    def held_generation(self) -> Generation | None:
        """Number of this process's claim; none while it has no lease."""
        return self._held_generation

    def next_action(
        self, *, wants_lease: bool, held_by_peer: bool
    ) -> LeaseAction:
        """Return what to do at the store now.

        :param wants_lease: whether this process should have the lease.
        :param held_by_peer: whether a live peer says that it has it.
        """
        now = self._clock.monotonic()
        if now < self._retry_at:
            return LeaseAction.NONE
        if self._held_generation is not None:
            return self._next_action_of_holder(now, wants_lease)
        if not wants_lease or held_by_peer:
            # What was seen is too old to start the time to live from.
            self._expected_end = None
            return LeaseAction.NONE
        if self._expected_end is None:
            return LeaseAction.READ
        free = self._seen_record is None or self._seen_record.released
        if free or now - self._unchanged_since >= TIME_TO_LIVE:
            return LeaseAction.CLAIM
        return LeaseAction.NONE

    def _next_action_of_holder(
        self, now: clock_lib.Instant, wants_lease: bool
    ) -> LeaseAction:
        if self._expected_end is None:
            return LeaseAction.READ
        if not wants_lease:
            return LeaseAction.RELEASE
        if now - self._renewed_at >= RENEWAL_INTERVAL:
            return LeaseAction.RENEW
        return LeaseAction.NONE

    def record_for(self, action: LeaseAction) -> LeaseRecord:
        """Return the record that a move writes."""
        if action is LeaseAction.CLAIM:
            before = (
                self._seen_record.generation
                if self._seen_record
                else Generation(0)
            )
            # What was claimed since the copy that the store came back from is
            # not known to it: each era has numbers above all earlier ones.
            lowest = positions.era(self.expected_end) << _GENERATION_BIT_COUNT
            number = Generation(max(before, self._highest_revoked, lowest) + 1)
            return LeaseRecord(holder=self._incarnation, generation=number)
        assert self._held_generation is not None
        return LeaseRecord(
            holder=self._incarnation,
            generation=self._held_generation,
            released=action is LeaseAction.RELEASE,
        )

    @property
    def expected_end(self) -> positions.Position:
        """Where the store's log must end for a write to count."""
        assert self._expected_end is not None
        return self._expected_end

    def note_read(
        self, record: LeaseRecord | None, end: positions.Position
    ) -> None:
        """Take over what the store holds."""
        self.store_unavailable = False
        now = self._clock.monotonic()
        if end != self._expected_end or self._seen_record != record:
            self._unchanged_since = now
        self._seen_record, self._expected_end = record, end
        if record is None:
            return
        number = record.generation
        if (
            self._held_generation is not None
            and number > self._held_generation
        ):
            self._revoke(self._held_generation)
        ours = record.holder == self._incarnation and not record.released
        if ours and number > self._highest_revoked:
            # A write of ours whose answer was lost took effect.
            self._held_generation = number
            self._renewed_at = now

    def note_written(
        self, record: LeaseRecord, end: positions.Position
    ) -> None:
        """Note that the store has taken a record of ours."""
        self.store_unavailable = False
        self._seen_record, self._expected_end = record, end
        self._unchanged_since = self._renewed_at = self._clock.monotonic()
        if record.released:
            self._revoke(record.generation)
        elif record.generation > self._highest_revoked:
            self._held_generation = record.generation

    def note_conflict(self) -> None:
        """Note that another write came first."""
        self.store_unavailable = False
        self._expected_end = None

    def note_no_answer(self) -> None:
        """Note that a call got no answer: a write may have counted."""
        self.store_unavailable = True
        self._expected_end = None
        self._retry_at = self._clock.monotonic() + RETRY_DELAY

    def note_newer_generation(self, generation: Generation) -> None:
        """Note a higher number that a peer tells of."""
        if (
            self._held_generation is not None
            and generation > self._held_generation
        ):
            self._revoke(self._held_generation)

    def note_fenced(self, generation: Generation) -> None:
        """Note that an engine has seen a higher number than ``generation``."""
        self._revoke(generation)

    def _revoke(self, generation: Generation) -> None:
        """Never use a number again."""
        self._highest_revoked = max(self._highest_revoked, generation)
        if (
            self._held_generation is not None
            and self._held_generation <= self._highest_revoked
        ):
            self._held_generation = None
            self._expected_end = None
