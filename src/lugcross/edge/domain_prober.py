# SPDX-License-Identifier: Apache-2.0
"""Probes of failure domains, by connections without requests."""

import asyncio
from typing import final

from lugcross import address
from lugcross import clock as clock_lib
from lugcross import http1
from lugcross import reachability as reachability_lib

#: Time between two checks whether a probe is due; short against the time
#: between two probes.
_CHECK_INTERVAL_S = 0.025
#: Many round trips within a region. Waiting for longer would not help after
#: a lost packet, which is sent again after a second.
_CONNECT_TIMEOUT_S = 0.2


@final
class DomainProber:
    """Periodic task that connects to servers of unreachable domains."""

    def __init__(
        self,
        reachability: reachability_lib.DomainReachability,
        clock: clock_lib.Clock,
    ) -> None:
        self._reachability = reachability
        self._clock = clock
        self._probes: set[asyncio.Task[None]] = set()
        self._suspicion = asyncio.Event()
        reachability.on_suspicion = self._suspicion.set

    async def run(self) -> None:
        """Make the probes that are due until cancelled."""
        try:
            while True:
                await self._wait()
                while (probe := self._reachability.due_probe()) is not None:
                    task = asyncio.create_task(self._connect(probe))
                    self._probes.add(task)
                    task.add_done_callback(self._probes.discard)
        finally:
            for task in self._probes:
                task.cancel()

    async def _wait(self) -> None:
        """Wait until a probe may be due."""
        try:
            async with asyncio.timeout(_CHECK_INTERVAL_S):
                await self._suspicion.wait()
        except TimeoutError:
            pass
        self._suspicion.clear()

    async def _connect(self, probe: reachability_lib.Probe) -> None:
        begun_at = self._clock.monotonic()
        host, port = address.split_host_port(probe.server)
        try:
            conn = await http1.connect(
                host, port, timeout_s=_CONNECT_TIMEOUT_S
            )
        except http1.NoConnectionError:
            self._reachability.record_not_connected(
                probe.domain, probe.server, begun_at=begun_at, probe=True
            )
            return
        conn.close()
        self._reachability.record_connected(probe.domain, probe.server)
