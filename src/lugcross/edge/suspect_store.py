# SPDX-License-Identifier: Apache-2.0
"""Crash suspects kept in the store.

Processes exchange suspects in heartbeats, and a process that starts learns
them from its peers. If all processes lose power at once, that knowledge would
be lost and each refused request could crash servers again. So a process that
finds that a request is to be refused writes a record of it to the store, and
each process reads these records once when it starts.
"""

import asyncio
import datetime
from typing import final

from absl import logging
import cbor2
import msgspec

from lugcross import clock as clock_lib
from lugcross import crash_suspects
from lugcross.edge import messages
from lugcross.edge import suspect_gossip
from lugcross import errors
from lugcross import platform

#: Time between two attempts while the store does not answer. There is no
#: hurry, as the peers have the record already, and each call is billed.
_RETRY_INTERVAL_S = 2.0
_MS = datetime.timedelta(milliseconds=1)


@final
class _StoredSuspect(msgspec.Struct, frozen=True, array_like=True):
    """A suspect as it is stored.

    :param written_ms: when it was written, in milliseconds since 1970 by the
        writer's clock.
    """

    suspect: messages.Suspect
    written_ms: int


@final
class SuspectStore:
    """Writes refused suspects to the store, and reads them at the start."""

    def __init__(
        self,
        registry: crash_suspects.SuspectRegistry,
        store: platform.StoreClient,
        clock: clock_lib.Clock,
    ) -> None:
        self._registry = registry
        self._store = store
        self._clock = clock
        self._unsaved: asyncio.Queue[crash_suspects.Fingerprint] = (
            asyncio.Queue()
        )

    def save(self, request: crash_suspects.Fingerprint) -> None:
        """Schedule the record of a request to be written."""
        self._unsaved.put_nowait(request)

    def save_changed_since(self, since: clock_lib.Instant) -> None:
        """Schedule records that changed lately to be written again.

        :param since: start of the period whose writes the store may have lost.
        """
        for record in self._registry.records():
            refusable = (
                len(record.crashes_since_cleared)
                >= crash_suspects.CRASHES_TO_REFUSE
            )
            if refusable and record.changed_at >= since:
                self.save(record.suspect)

    async def run(self) -> None:
        """Read the stored suspects, then write new ones until cancelled."""
        while not await self._read():
            await asyncio.sleep(_RETRY_INTERVAL_S)
        while True:
            request = await self._unsaved.get()
            while not await self._write(request):
                await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _read(self) -> bool:
        try:
            result = await self._store.read_newest(platform.SUSPECTS_TOPIC)
        except errors.PlatformError as exc:
            logging.warning(
                "crash suspects not read from store", extra={"why": str(exc)}
            )
            return False
        for record in result.records:
            await self._merge_record(record)
        return True

    async def _merge_record(self, record: platform.KeyedRecord) -> None:
        now = self._clock.monotonic()
        try:
            raw = cbor2.loads(record.value)
            stored = msgspec.convert(
                raw, _StoredSuspect, builtin_types=(bytes,)
            )
        except (cbor2.CBORDecodeError, msgspec.ValidationError) as exc:
            logging.warning(
                "malformed crash suspect in store ignored",
                extra={"why": str(exc)},
            )
            return
        age = max(self._now_ms() - stored.written_ms, 0) * _MS
        if age >= crash_suspects.SUSPICION_TTL:
            # Expired: remove it. Other processes may do so too.
            await self._put(record.key, b"")
            return
        self._registry.merge(
            suspect_gossip.from_message(stored.suspect, now - age), now
        )

    async def _write(self, request: crash_suspects.Fingerprint) -> bool:
        record = self._registry.find(request)
        if record is None:
            return True
        suspect = suspect_gossip.to_message(record, self._clock.monotonic())
        value = messages.encode(_StoredSuspect(suspect, self._now_ms()))
        return await self._put(request.hex(), value)

    async def _put(self, key: str, value: bytes) -> bool:
        try:
            await self._store.append(platform.SUSPECTS_TOPIC, key, value)
        except errors.PlatformError as exc:
            logging.warning(
                "crash suspect not written to store", extra={"why": str(exc)}
            )
            return False
        return True

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)
