# SPDX-License-Identifier: Apache-2.0
"""Turns of connections whose input takes long to parse."""

import asyncio
from typing import final


@final
class ParsingTurns:
    """Lets one connection at a time parse input that may take long.

    Parsing of tiny chunks or of many header fields takes much longer than
    that of the same bytes in one body. If all connections did it between two
    rounds of the event loop, nothing else would be served meanwhile.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    async def begin(self) -> None:
        """Wait for the turn; other work of the event loop comes first."""
        await self._lock.acquire()
        try:
            # A turn that ended in the same round would leave the next one to
            # the same round.
            await asyncio.sleep(0)
        except asyncio.CancelledError:
            self._lock.release()
            raise

    def end(self) -> None:
        """End the turn, before anything else is awaited."""
        self._lock.release()
