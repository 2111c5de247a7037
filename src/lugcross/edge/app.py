# SPDX-License-Identifier: Apache-2.0
"""The edge process: owns its servers, followers and connections."""

import asyncio
import datetime
import random
import signal
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import follow
from lugcross.edge import ready as ready_lib
from lugcross.edge import runner as runner_lib
from lugcross.edge import settings as settings_lib
from lugcross.edge import world as world_lib
from lugcross import errors
from lugcross import http1
from lugcross import platform

#: Longest wait for the store's answer. Its usual answer takes a few
#: milliseconds; a slow store needs some hundred.
_STORE_TIMEOUT = datetime.timedelta(seconds=1.5)
#: How long a read of the desired state waits for a change; each read is
#: priced, and a silent cut shows only when one of them ends.
_DESIRED_WAIT = datetime.timedelta(seconds=4)
#: Shortest time between two reads of the desired state, for storms.
_DESIRED_GAP = datetime.timedelta(milliseconds=100)
#: Part of the drain bound between two reads of the backend servers.
_BACKENDS_PART = 0.4
#: Time between two rounds of tidying.
_SWEEP_S = 1.0
#: Part of the grace after which whatever is left is cut.
_GRACE_PART = 0.95
#: Rest after a stop signal during which the platform's balancer notices
#: and callers with open connections may still send.
_NOTICE_S = 3.0
_BACKLOG = 1024
#: Bounds for callers until a desired state tells them.
_FIRST_LIMITS = desired.Limits(
    head_bytes=16_384,
    body_bytes=1_048_576,
    head_time=datetime.timedelta(seconds=3),
    idle_time=datetime.timedelta(seconds=15),
)


@final
class Edge:
    """One process; all are equal and keep nothing."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        *,
        clock: clock_lib.Clock,
        file: str = "",
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._file = file
        rng = random.Random()
        self.world = world_lib.World(settings, clock=clock, rng=rng)
        self._runner = runner_lib.Runner(self.world, clock=clock, rng=rng)
        self._store = platform.StoreClient(
            settings.store.address, timeout=_STORE_TIMEOUT
        )
        self._trouble = follow.Trouble(clock)
        self._conns: set[http1.ServerConn] = set()
        self._leaving = False
        self._stop = asyncio.Event()

    def run(self) -> None:
        """Serve until a stop signal, finish what is held, and return."""
        asyncio.run(self._main())

    async def _main(self) -> None:
        loop = asyncio.get_running_loop()
        for num in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(num, self._ask_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        host, port = _address(self._settings.listen.callers)
        server = await asyncio.start_server(
            self._serve, host, port, backlog=_BACKLOG
        )
        ready_server = await asyncio.start_server(
            self._serve_ready, *_address(self._settings.listen.ready)
        )
        tasks = [asyncio.create_task(one) for one in self._loops()]
        logging.info("started", extra={"domain": self._settings.domain})
        try:
            await self._stop.wait()
            await self._drain()
        finally:
            server.close()
            ready_server.close()
            for task in tasks:
                task.cancel()
            self._store.close()
            self.world.pool.close()
            logging.info("stopped")

    def unready(self) -> str:
        """Return why no new connections should come here, or nothing."""
        if self._leaving:
            return "this process is being stopped"
        if self.world.desired is None:
            return "no desired state is known yet"
        if not self.world.backends.all():
            return "no backend server is known yet"
        return ""

    def _loops(self) -> list:
        heartbeat = datetime.timedelta(
            milliseconds=self._settings.store.heartbeat_ms
        )
        drain_gap = self._settings.bounds.drain * _BACKENDS_PART
        following = (
            follow.Follower(
                self._store,
                platform.OPERATOR_TOPIC,
                self._take_desired,
                self._trouble,
                gap=_DESIRED_GAP,
                wait=_DESIRED_WAIT,
            ),
            follow.Follower(
                self._store,
                platform.BACKENDS_TOPIC,
                self._take_backends,
                self._trouble,
                gap=min(drain_gap, heartbeat),
                wait=datetime.timedelta(),
            ),
        )
        return [one.run() for one in following] + [self._sweep()]

    def _take_desired(self, tail: platform.Tail, newest: bool) -> None:
        del newest
        for record in tail.records:
            if record.key != platform.DESIRED_KEY or not record.value:
                continue
            try:
                state = platform.read_desired(record.value)
            except errors.ChangeError as exc:
                logging.error("desired state kept out", extra={"why": str(exc)})
                continue
            self.world.adopt(state, record.value)

    def _take_backends(self, tail: platform.Tail, newest: bool) -> None:
        bounds = self._settings.bounds
        contact = datetime.timedelta(milliseconds=bounds.contact_ms)
        away = self._trouble.within(contact)
        if newest:
            self.world.backends.replace(tail, store_was_away=away)
        else:
            self.world.backends.apply(tail, store_was_away=away)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = http1.ServerConn(
            reader,
            writer,
            self._runner.handle,
            limits=self._limits,
            leaving=lambda: self._leaving,
            clock=self._clock,
        )
        self._conns.add(conn)
        try:
            await conn.run()
        finally:
            self._conns.discard(conn)

    async def _serve_ready(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = http1.ServerConn(
            reader,
            writer,
            ready_lib.handler(self.unready),
            limits=lambda: _FIRST_LIMITS,
            leaving=lambda: self._leaving,
            clock=self._clock,
        )
        await conn.run()

    def _limits(self) -> desired.Limits:
        state = self.world.desired
        return state.limits if state else _FIRST_LIMITS

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            self.world.sweep()

    async def _drain(self) -> None:
        """Let the balancer notice, then finish what is held."""
        loop = asyncio.get_running_loop()
        self._leaving = True
        begun = loop.time()
        end = begun + self._settings.bounds.grace.total_seconds() * _GRACE_PART
        while loop.time() < end:
            if loop.time() > begun + _NOTICE_S:
                for conn in list(self._conns):
                    conn.close_if_idle()
                if not self._conns:
                    break
            await asyncio.sleep(0.05)
        logging.info("drained", extra={"left": len(self._conns)})

    def _ask_stop(self) -> None:
        logging.info("stop asked")
        self._stop.set()

    def _reload(self) -> None:
        """Read the settings anew; what was in force stays on an error."""
        if not self._file:
            return
        try:
            self._settings = settings_lib.load(self._file)
        except errors.SettingsError as exc:
            logging.error("settings kept out", extra={"why": str(exc)})
            return
        logging.info("settings read anew")


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
