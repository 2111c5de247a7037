# SPDX-License-Identifier: Apache-2.0
"""What the store keeps of requests that are refused.

Processes tell each other all that they know, and whoever starts learns it from
them. Where all lose power at once, nobody is left to ask: each time two more
servers would end. So who finds that a request is to be refused writes that
down, one record for each such request, and who starts reads them, once.
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

#: Time between two tries while the store does not answer, in seconds: what
#: is to be written down is known to all processes meanwhile, and each call
#: has its price.
_RETRY_INTERVAL_S = 2.0
_MS = datetime.timedelta(milliseconds=1)


@final
class _StoredSuspect(msgspec.Struct, frozen=True, array_like=True):
    """One record.

    :param written_ms: when, by the writer's time of day, in milliseconds
        since 1970.
    """

    suspect: messages.Suspect
    written_ms: int


@final
class SuspectStore:
    """Writes cases down, and reads them at the start."""

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
        """Have what is known of a request written down soon."""
        self._unsaved.put_nowait(request)

    def save_changed_since(self, since: clock_lib.Instant) -> None:
        """Have written down again what was found lately; the store lost it."""
        for record in self._registry.records():
            certain = (
                len(record.crashes_since_cleared)
                >= crash_suspects.MIN_CRASHES_TO_REFUSE
            )
            if certain and record.changed_at >= since:
                self.save(record.request)

    async def run(self) -> None:
        """Read what others have written, then write until cancelled."""
        while not await self._read():
            await asyncio.sleep(_RETRY_INTERVAL_S)
        while True:
            request = await self._unsaved.get()
            while not await self._write(request):
                await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _read(self) -> bool:
        try:
            tail = await self._store.read_newest(platform.SUSPECTS_TOPIC)
        except errors.PlatformError as exc:
            logging.warning("suspects not read", extra={"why": str(exc)})
            return False
        for record in tail.records:
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
            logging.warning("bad suspect kept", extra={"why": str(exc)})
            return
        ago = max(self._now_ms() - stored.written_ms, 0) * _MS
        if ago >= crash_suspects.SUSPICION_TTL:
            # Nobody needs it any more; others may drop it as well.
            await self._put(record.key, b"")
            return
        self._registry.merge(
            suspect_gossip.from_message(stored.suspect, now - ago), now
        )

    async def _write(self, request: crash_suspects.Fingerprint) -> bool:
        record = self._registry.find(request)
        if record is None:
            return True
        told = suspect_gossip.to_message(record, self._clock.monotonic())
        value = messages.encode(_StoredSuspect(told, self._now_ms()))
        return await self._put(request.hex(), value)

    async def _put(self, key: str, value: bytes) -> bool:
        try:
            await self._store.append(platform.SUSPECTS_TOPIC, key, value)
        except errors.PlatformError as exc:
            logging.warning("suspect not written", extra={"why": str(exc)})
            return False
        return True

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)
