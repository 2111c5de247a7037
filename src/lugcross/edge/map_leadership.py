# SPDX-License-Identifier: Apache-2.0
"""Leadership for expert maps: whether this process may switch them.

The leader is elected from what processes know of each other. If engines check
fencing tokens, the leader must also hold a lease in the store before it gives
any order.
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

#: Key of the lease in the topic of leases. One lease covers all groups, since
#: one process reads the demand that their maps are planned from.
_LEASE_KEY = "maps"
#: Time between two checks whether the lease needs a call to the store.
_ROUND_INTERVAL_S = 0.1


class Candidacy(Protocol):
    """This process's standing among those that may become leader."""

    def is_eligible(self) -> bool:
        """Tell whether this process may become leader at all."""

    def is_first_candidate(self) -> bool:
        """Tell whether this process comes first among the eligible ones."""

    def lease_held_by_peer(self) -> bool:
        """Tell whether a live peer says that it holds the lease."""


@final
class MapLeadership:
    """Acquires, renews and releases the leadership for this process.

    :param needs_fencing: tells whether orders must carry a generation now.
    :param on_lease_change: called after the lease was acquired or lost.
    :param has_work_in_progress: tells whether a switch is in progress, which
        must end before the lease is released; may be set later.
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
        """Tell whether this process may plan and start switches now."""
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
        """Return the generation that orders must carry.

        :returns: None if engines check none, or if this process has no lease.
        """
        return self._lease.held_generation if self._needs_fencing() else None

    def may_send_orders(self, generation: experts.Generation | None) -> bool:
        """Tell whether orders may still be sent with ``generation``.

        :param generation: what :meth:`generation` returned when the switch
            began.
        """
        if not self._needs_fencing():
            return True
        return (
            generation is not None
            and generation == self._lease.held_generation
        )

    def note_fenced(self, generation: experts.Generation) -> None:
        """Drop the lease, as an engine refused ``generation``."""
        logging.warning("lease superseded", extra={"generation": generation})
        self._lease.note_fenced(generation)

    def store_answers(self) -> bool:
        """Tell whether the store answered the last call about the lease."""
        return not self._lease.store_unavailable

    def note_newer_generation(self, generation: experts.Generation) -> None:
        """Drop the lease if a peer says that it holds a higher generation."""
        self._lease.note_newer_generation(generation)

    async def run(self) -> None:
        """Acquire, renew and release the lease until cancelled."""
        while True:
            await asyncio.sleep(_ROUND_INTERVAL_S)
            if not self._needs_fencing():
                continue
            try:
                await self.round()
            except Exception:
                # An error in one round must not end the renewals, nor keep
                # this process from claiming the lease later.
                logging.exception("lease round failed")

    async def round(self) -> None:
        """Make the call to the store that the lease needs now, if any."""
        old_generation = self._lease.held_generation
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
                "lease call failed",
                extra={"move": action.value, "why": str(exc)},
            )
        if self._lease.held_generation != old_generation:
            logging.info(
                "lease generation changed",
                extra={
                    "generation": self._lease.held_generation,
                    "was": old_generation,
                },
            )
            self._on_lease_change()

    def _wants_lease(self) -> bool:
        if not self._candidacy.is_eligible():
            # A switch in progress must end with the generation that it began
            # with.
            return (
                self._lease.held_generation is not None
                and self.has_work_in_progress()
            )
        return (
            self._lease.held_generation is not None
            or self._candidacy.is_first_candidate()
        )

    async def _read(self) -> None:
        result = await self._store.read_newest(platform.LEASES_TOPIC)
        found = [
            record for record in result.records if record.key == _LEASE_KEY
        ]
        self._lease.note_read(_decode(found[0]) if found else None, result.end)

    async def _write(self, record: experts.LeaseRecord) -> None:
        end = await self._store.append_if_end(
            platform.LEASES_TOPIC,
            _LEASE_KEY,
            record_codec.encode(record),
            self._lease.expected_log_end,
        )
        self._lease.note_written(record, end)


def _decode(found: platform.KeyedRecord) -> experts.LeaseRecord | None:
    try:
        return record_codec.decode(found.value, experts.LeaseRecord)
    except errors.ChangeError as exc:
        logging.error("lease record is malformed", extra={"why": str(exc)})
        return None
