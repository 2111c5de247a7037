# SPDX-License-Identifier: Apache-2.0
"""Whether this process looks after expert maps, and under which number.

Peers' news say who should. Where engines check numbers, a lease in the
store must be held as well before any order is given.
"""

import asyncio
from collections.abc import Callable
from typing import final
from typing import Protocol

from absl import logging

from lugcross import errors
from lugcross import experts
from lugcross import platform
from lugcross import record_codec

#: Name of the leadership in the topic of leases. One for all groups: they
#: share what is seen of demand, and the process that reads it.
_LEASE_KEY = "maps"
#: Time between two looks whether something is to be done, in seconds.
_ROUND_INTERVAL_S = 0.1


class Candidacy(Protocol):
    """What is known of the processes that could be the leader."""

    def is_eligible(self) -> bool:
        """Tell whether this process may be the leader at all."""

    def is_first_candidate(self) -> bool:
        """Tell whether it comes first among those that may."""

    def lease_held_by_peer(self) -> bool:
        """Tell whether a live peer says that it has the lease."""


@final
class MapLeadership:
    """This process's part in the leadership.

    :param needs_fencing: whether orders must carry a number now.
    :param on_lease_change: called when the lease was got or lost.
    :param has_work_in_progress: whether something is under way that must end
        first.
    """

    def __init__(
        self,
        lease: experts.Lease,
        store: platform.StoreClient,
        candidacy: Candidacy,
        *,
        needs_fencing: Callable[[], bool],
        on_lease_change: Callable[[], None],
    ) -> None:
        self._on_lease_change = on_lease_change
        self._lease = lease
        self._store = store
        self._candidacy = candidacy
        self._needs_fencing = needs_fencing
        self.has_work_in_progress: Callable[[], bool] = lambda: False

    def is_leader(self) -> bool:
        """Tell whether this process looks after expert maps now."""
        if not self._needs_fencing():
            return (
                self._candidacy.is_eligible()
                and self._candidacy.is_first_candidate()
            )
        return (
            self._lease.held_generation is not None
            and self._candidacy.is_eligible()
        )

    def generation(self) -> experts.Generation | None:
        """Return the number for orders; none where none is needed."""
        return self._lease.held_generation if self._needs_fencing() else None

    def may_send_orders(self, generation: experts.Generation | None) -> bool:
        """Tell whether orders under ``generation`` may still be given."""
        if not self._needs_fencing():
            return True
        return (
            generation is not None
            and generation == self._lease.held_generation
        )

    def note_fenced(self, generation: experts.Generation) -> None:
        """Note that an engine knows a higher number: stop at once."""
        logging.warning("lease superseded", extra={"generation": generation})
        self._lease.note_fenced(generation)

    def store_answers(self) -> bool:
        """Tell whether the store answered the last call about the lease."""
        return not self._lease.store_unavailable

    def note_newer_generation(self, generation: experts.Generation) -> None:
        """Take over the number that a peer says it holds."""
        self._lease.note_newer_generation(generation)

    async def run(self) -> None:
        """Look after the lease until cancelled."""
        while True:
            await asyncio.sleep(_ROUND_INTERVAL_S)
            if not self._needs_fencing():
                continue
            try:
                await self.round()
            except Exception:
                # A fault in here must not end the renewals, nor keep the
                # lease from being claimed once it is free.
                logging.exception("looking after the lease failed")

    async def round(self) -> None:
        """Do at the store what is to be done now."""
        held = self._lease.held_generation
        action = self._lease.next_action(
            wants_lease=self._wants_lease(),
            held_by_peer=self._candidacy.lease_held_by_peer(),
        )
        if action is experts.LeaseAction.NONE:
            return
        try:
            if action is experts.LeaseAction.READ:
                await self._read()
            else:
                await self._write(self._lease.record_for(action))
        except errors.AppendConflictError:
            self._lease.note_conflict()
        except errors.PlatformError as exc:
            self._lease.note_no_answer()
            logging.warning(
                "lease not settled",
                extra={"move": action.value, "why": str(exc)},
            )
        if self._lease.held_generation != held:
            logging.info(
                "lease",
                extra={"generation": self._lease.held_generation, "was": held},
            )
            self._on_lease_change()

    def _wants_lease(self) -> bool:
        if not self._candidacy.is_eligible():
            # What is under way ends under the number it was begun with.
            return (
                self._lease.held_generation is not None
                and self.has_work_in_progress()
            )
        return (
            self._lease.held_generation is not None
            or self._candidacy.is_first_candidate()
        )

    async def _read(self) -> None:
        tail = await self._store.read_newest(platform.LEASES_TOPIC)
        found = [one for one in tail.records if one.key == _LEASE_KEY]
        self._lease.note_read(_decode(found[0]) if found else None, tail.end)

    async def _write(self, record: experts.LeaseRecord) -> None:
        end = await self._store.append_if_end(
            platform.LEASES_TOPIC,
            _LEASE_KEY,
            record_codec.encode(record),
            self._lease.expected_end,
        )
        self._lease.note_written(record, end)


def _decode(found: platform.KeyedRecord) -> experts.LeaseRecord | None:
    try:
        return record_codec.decode(found.value, experts.LeaseRecord)
    except errors.ChangeError as exc:
        logging.error("lease is malformed", extra={"why": str(exc)})
        return None
