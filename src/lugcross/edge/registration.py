# SPDX-License-Identifier: Apache-2.0
"""Registration of this process's peer address in the store."""

import asyncio
import random
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross.edge import peers as peers_lib
from lugcross.edge import settings as settings_lib
from lugcross import errors
from lugcross import platform

#: Longest time between two attempts to register; jitter shortens it.
_RETRY_INTERVAL_S = 2.0


@final
class Registration:
    """Registers this process in the store, and reads the peers' addresses.

    The store keeps the registration, so it is repeated only when the store
    may have lost it.

    :param peers: gets the addresses of all processes that are registered.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        store: platform.StoreClient,
        peers: peers_lib.Peers,
        *,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._store = store
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._registered_at: clock_lib.Instant | None = None
        self._repeat_requested = asyncio.Event()

    def register_again_if_done_since(self, since: clock_lib.Instant) -> None:
        """Register again if the last registration was at or after ``since``.

        :param since: writes from this time on may be lost, as when the store
            came back from an older copy.
        """
        if self._registered_at is not None and self._registered_at >= since:
            self._repeat_requested.set()

    async def run(self) -> None:
        """Register now, and again at each request, until cancelled."""
        while True:
            while not await self._register():
                await asyncio.sleep(
                    _RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.0)
                )
            self._registered_at = self._clock.monotonic()
            await self._repeat_requested.wait()
            self._repeat_requested.clear()
            logging.info("registering again")

    async def _register(self) -> bool:
        own = self._settings.listen.peers
        try:
            await self._store.append(
                platform.NODES_TOPIC, self._settings.node, own.encode()
            )
            result = await self._store.read_newest(platform.NODES_TOPIC)
        except errors.PlatformError as exc:
            logging.warning("registration failed", extra={"why": str(exc)})
            return False
        values = [record.value for record in result.records]
        for found in peers_lib.node_addresses(values):
            self._peers.add(found)
        self._peers.schedule_send(urgent=True)
        return True
