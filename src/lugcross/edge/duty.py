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

#: Name of the duty in the topic of leases. One for all groups: they share
#: what is seen of demand, and the process that reads it.
_MAPS = "maps"
#: Time between two looks whether something is to be done, in seconds.
_ROUND_S = 0.1


class Claimants(Protocol):
    """What is known of the processes that could have the duty."""

    def fit(self) -> bool:
        """Tell whether this process may have the duty at all."""

    def first(self) -> bool:
        """Tell whether it comes first among those that may."""

    def held_elsewhere(self) -> bool:
        """Tell whether a live peer says that it has the lease."""


@final
class Duty:
    """This process's part in the duty.

    :param fenced: whether orders must carry a number now.
    :param changed: called when the lease was got or lost.
    :param busy: whether something is under way that must end first.
    """

    def __init__(
        self,
        lease: experts.Lease,
        store: platform.StoreClient,
        claimants: Claimants,
        *,
        fenced: Callable[[], bool],
        changed: Callable[[], None],
    ) -> None:
        self._changed = changed
        self._lease = lease
        self._store = store
        self._claimants = claimants
        self._fenced = fenced
        self.busy: Callable[[], bool] = lambda: False

    def mine(self) -> bool:
        """Tell whether this process looks after expert maps now."""
        if not self._fenced():
            return self._claimants.fit() and self._claimants.first()
        return self._lease.held is not None and self._claimants.fit()

    def generation(self) -> experts.Generation | None:
        """Return the number for orders; none where none is needed."""
        return self._lease.held if self._fenced() else None

    def may_order(self, number: experts.Generation | None) -> bool:
        """Tell whether orders under ``number`` may still be given."""
        if not self._fenced():
            return True
        return number is not None and number == self._lease.held

    def refused(self, number: experts.Generation) -> None:
        """Note that an engine knows a higher number: stop at once."""
        logging.warning("lease superseded", extra={"generation": number})
        self._lease.refused(number)

    def can_claim(self) -> bool:
        """Tell whether the store answered the last call about the lease."""
        return not self._lease.failing

    def heard(self, number: experts.Generation) -> None:
        """Take over the number that a peer says it holds."""
        self._lease.superseded(number)

    async def run(self) -> None:
        """Look after the lease until cancelled."""
        while True:
            await asyncio.sleep(_ROUND_S)
            if not self._fenced():
                continue
            try:
                await self.round()
            except Exception:
                # A fault in here must not end the renewals, nor keep the
                # lease from being claimed once it is free.
                logging.exception("looking after the lease failed")

    async def round(self) -> None:
        """Do at the store what is to be done now."""
        held = self._lease.held
        move = self._lease.move(
            wants=self._wants(),
            held_elsewhere=self._claimants.held_elsewhere(),
        )
        if move is experts.Move.NONE:
            return
        try:
            if move is experts.Move.READ:
                await self._read()
            else:
                await self._write(self._lease.record(move))
        except errors.AppendConflictError:
            self._lease.conflicted()
        except errors.PlatformError as exc:
            self._lease.unclear()
            logging.warning(
                "lease not settled",
                extra={"move": move.value, "why": str(exc)},
            )
        if self._lease.held != held:
            logging.info(
                "lease", extra={"generation": self._lease.held, "was": held}
            )
            self._changed()

    def _wants(self) -> bool:
        if not self._claimants.fit():
            # What is under way ends under the number it was begun with.
            return self._lease.held is not None and self.busy()
        return self._lease.held is not None or self._claimants.first()

    async def _read(self) -> None:
        tail = await self._store.read_newest(platform.LEASES_TOPIC)
        found = [one for one in tail.records if one.key == _MAPS]
        self._lease.saw(_decode(found[0]) if found else None, tail.end)

    async def _write(self, record: experts.Record) -> None:
        end = await self._store.append_if_end(
            platform.LEASES_TOPIC,
            _MAPS,
            record_codec.encode(record),
            self._lease.end,
        )
        self._lease.wrote(record, end)


def _decode(found: platform.KeyedRecord) -> experts.Record | None:
    try:
        return record_codec.decode(found.value, experts.Record)
    except errors.ChangeError as exc:
        logging.error("lease is malformed", extra={"why": str(exc)})
        return None
