# SPDX-License-Identifier: Apache-2.0
"""The lease that a process must hold to switch expert maps.

The lease is a record in the platform's store. Each claim has a higher
generation than the claim before it, and every order carries the generation
as a fencing token: engines refuse an order whose generation is lower than
one that they have already seen. Orders of a frozen or partitioned holder that
are still in flight are therefore refused once its successor has given an
order. This makes it safe

- to take over the lease at any time. The time to live only prevents two
  processes that don't hear each other from taking it over in turns;
- to keep the lease while the store is unavailable, since no other process
  can claim it then. A process without the lease waits until the store
  answers again.

Clocks of different processes are never compared. Each process measures the
time to live by its own clock, from when it first read the record, and its
claim is a conditional write that fails if there was any other write since.
"""

import datetime
import enum
from typing import final
from typing import NewType

import msgspec

from lugcross import clock as clock_lib
from lugcross import positions

#: Fencing token of a claim; starts at 1 and rises with each claim.
Generation = NewType("Generation", int)

#: Time between two renewals. A renewal that fails also tells a holder that it
#: has been superseded. Two a second are a two-hundredth of the writes that a
#: store with 400 writes a second takes.
RENEWAL_INTERVAL = datetime.timedelta(milliseconds=500)
#: Time for which a process must see the record unchanged before it may claim
#: the lease: one renewal interval plus the response time of a slow store.
#: Not longer, since a holder that froze in the middle of a switch may stall
#: its group for this long.
TIME_TO_LIVE = datetime.timedelta(milliseconds=750)
#: Wait after a call that the store did not answer, before this process
#: retries; the response time of a slow store.
RETRY_DELAY = datetime.timedelta(milliseconds=500)
#: Low bits of a generation, which count the claims within one era of the
#: store; the era is above them. They last for 145 days even if there is a
#: claim in every time to live.
_GENERATION_BIT_COUNT = 24


class LeaseAction(enum.Enum):
    """The next call that a process makes to the store for its lease."""

    NONE = "none"
    READ = "read"
    CLAIM = "claim"
    RENEW = "renew"
    RELEASE = "release"


@final
class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The record of a lease in the store.

    :param holder: incarnation of the process that wrote the record.
    :param generation: fencing token of that process's claim.
    :param released: whether that process has released the lease.
    """

    holder: str
    generation: Generation
    released: bool = False


@final
class Lease:
    """The state of a lease as seen by one process; does no I/O.

    The caller carries out each :meth:`next_action` at the store and reports
    the result by one of :meth:`note_read`, :meth:`note_written`,
    :meth:`note_conflict` and :meth:`note_no_answer`.

    :param incarnation: incarnation of this process.
    """

    def __init__(self, incarnation: str, clock: clock_lib.Clock) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._seen_record: LeaseRecord | None = None
        self._expected_log_end: positions.Position | None = None
        self._unchanged_since = clock.monotonic()
        self._renewed_at = clock.monotonic()
        self._retry_at = clock.monotonic()
        #: This and all lower generations must not be used any more.
        self._highest_revoked_generation = Generation(0)
        self._held_generation: Generation | None = None
        #: Whether the last call to the store got no answer.
        self.store_unavailable = False

    @property
    def held_generation(self) -> Generation | None:
        """Generation of this process's claim; None if it has no lease."""
        return self._held_generation

    def next_action(
        self, *, wants_lease: bool, held_by_peer: bool
    ) -> LeaseAction:
        """Return the call to make to the store now.

        :param wants_lease: whether this process should have the lease.
        :param held_by_peer: whether a live peer says that it has the lease.
        """
        now = self._clock.monotonic()
        if now < self._retry_at:
            return LeaseAction.NONE
        if self._held_generation is not None:
            return self._next_action_of_holder(now, wants_lease)
        if not wants_lease or held_by_peer:
            # The record must be read again before a claim, so that the time
            # to live does not start at an old reading.
            self._expected_log_end = None
            return LeaseAction.NONE
        if self._expected_log_end is None:
            return LeaseAction.READ
        is_free = self._seen_record is None or self._seen_record.released
        if is_free or now - self._unchanged_since >= TIME_TO_LIVE:
            return LeaseAction.CLAIM
        return LeaseAction.NONE

    def _next_action_of_holder(
        self, now: clock_lib.Instant, wants_lease: bool
    ) -> LeaseAction:
        if self._expected_log_end is None:
            return LeaseAction.READ
        if not wants_lease:
            return LeaseAction.RELEASE
        if now - self._renewed_at >= RENEWAL_INTERVAL:
            return LeaseAction.RENEW
        return LeaseAction.NONE

    def record_for(self, action: LeaseAction) -> LeaseRecord:
        """Return the record to write for a claim, renewal or release."""
        if action is LeaseAction.CLAIM:
            seen_generation = (
                self._seen_record.generation
                if self._seen_record
                else Generation(0)
            )
            # A store that came back from an older copy does not know the
            # claims made since that copy. Generations of each era are
            # therefore above all those of earlier eras.
            era_base = (
                positions.era(self.expected_log_end) << _GENERATION_BIT_COUNT
            )
            generation = Generation(
                max(
                    seen_generation, self._highest_revoked_generation, era_base
                )
                + 1
            )
            return LeaseRecord(holder=self._incarnation, generation=generation)
        assert self._held_generation is not None
        return LeaseRecord(
            holder=self._incarnation,
            generation=self._held_generation,
            released=action is LeaseAction.RELEASE,
        )

    @property
    def expected_log_end(self) -> positions.Position:
        """Where the store's log must end for the next write to succeed."""
        assert self._expected_log_end is not None
        return self._expected_log_end

    def note_read(
        self, record: LeaseRecord | None, end: positions.Position
    ) -> None:
        """Note what a read returned.

        :param record: the newest record of the lease, if there is one.
        :param end: where the store's log ended.
        """
        self.store_unavailable = False
        now = self._clock.monotonic()
        if end != self._expected_log_end or self._seen_record != record:
            self._unchanged_since = now
        self._seen_record, self._expected_log_end = record, end
        if record is None:
            return
        generation = record.generation
        if (
            self._held_generation is not None
            and generation > self._held_generation
        ):
            self._revoke(self._held_generation)
        is_own = record.holder == self._incarnation and not record.released
        if is_own and generation > self._highest_revoked_generation:
            # A write of this process took effect though its answer was lost.
            self._held_generation = generation
            self._renewed_at = now

    def note_written(
        self, record: LeaseRecord, end: positions.Position
    ) -> None:
        """Note that the store has accepted a record of this process.

        :param end: where the store's log ends after the write.
        """
        self.store_unavailable = False
        self._seen_record, self._expected_log_end = record, end
        self._unchanged_since = self._renewed_at = self._clock.monotonic()
        if record.released:
            self._revoke(record.generation)
        elif record.generation > self._highest_revoked_generation:
            self._held_generation = record.generation

    def note_conflict(self) -> None:
        """Note that a write failed because another write came first."""
        self.store_unavailable = False
        self._expected_log_end = None

    def note_no_answer(self) -> None:
        """Note that a call got no answer; a write may have taken effect."""
        self.store_unavailable = True
        self._expected_log_end = None
        self._retry_at = self._clock.monotonic() + RETRY_DELAY

    def note_newer_generation(self, generation: Generation) -> None:
        """Revoke this process's lease if a peer's generation is higher.

        :param generation: the generation that a peer says it holds.
        """
        if (
            self._held_generation is not None
            and generation > self._held_generation
        ):
            self._revoke(self._held_generation)

    def note_fenced(self, generation: Generation) -> None:
        """Note that an engine refused ``generation`` as superseded."""
        self._revoke(generation)

    def _revoke(self, generation: Generation) -> None:
        """Never use ``generation`` or a lower one again."""
        self._highest_revoked_generation = max(
            self._highest_revoked_generation, generation
        )
        if (
            self._held_generation is not None
            and self._held_generation <= self._highest_revoked_generation
        ):
            self._held_generation = None
            self._expected_log_end = None
