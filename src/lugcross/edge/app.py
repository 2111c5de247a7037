# SPDX-License-Identifier: Apache-2.0
"""The edge process: owns its servers, followers and connections."""

import asyncio
from collections.abc import Coroutine
import datetime
import functools
import pathlib
import random
import signal
from typing import Any
from typing import final

from absl import logging

from lugcross import address
from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import duty as duty_lib
from lugcross.edge import engines as engines_lib
from lugcross.edge import figures as figures_lib
from lugcross.edge import knowledge as knowledge_lib
from lugcross.edge import maps as maps_lib
from lugcross.edge import ready as ready_lib
from lugcross.edge import runner as runner_lib
from lugcross.edge import settings as settings_lib
from lugcross.edge import sources
from lugcross.edge import world as world_lib
from lugcross import errors
from lugcross import experts
from lugcross import http1
from lugcross import platform

#: Longest wait for the store's answer. Its usual answer takes a few
#: milliseconds; a slow store needs some hundred.
STORE_TIMEOUT = datetime.timedelta(seconds=1.5)
#: Time between two rounds of tidying, in seconds.
_SWEEP_S = 1.0
#: Part of the grace after which whatever is left is cut.
_GRACE_PART = 0.95
#: Rest after a stop signal during which the platform's balancer notices;
#: requests that come later on open connections are refused.
_NOTICE = datetime.timedelta(seconds=3)
#: Time between two looks at what is left to finish, in seconds.
_DRAIN_LOOK_S = 0.05
#: Connections that may wait to be taken: all callers that come back after
#: a second in which this process was stopped.
_BACKLOG = 1024
#: Bits of the number by which this process marks its map versions.
_OWNER_BITS = 16
#: What a list of unknown age is shown as, in seconds.
_AGE_MOST_S = 1e6
#: Bounds for callers until a desired state tells them.
_FIRST_LIMITS = desired.RequestLimits(
    max_head_bytes=16_384,
    max_body_bytes=1_048_576,
    head_timeout=datetime.timedelta(seconds=3),
    idle_timeout=datetime.timedelta(seconds=15),
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
        self._read_at = _changed_at(file) if file else 0
        rng = random.Random()
        self.world = world_lib.World(settings, clock=clock, rng=rng)
        self._store = platform.StoreClient(
            settings.store.address, timeout=STORE_TIMEOUT
        )
        self.knowledge = knowledge_lib.Knowledge(
            settings, self.world, self._store, clock=clock, rng=rng
        )
        self._runner = runner_lib.Runner(
            self.world,
            closed=self._closed,
            changed=self.knowledge.peers.changed,
            clock=clock,
            rng=rng,
        )
        pool = self.world.pool
        reports = engines_lib.Caller(
            pool,
            answer_s=engines_lib.REPORT_S,
            heard=self.world.heard,
            may_send=self.world.rests.may_ask,
        )
        orders = engines_lib.Caller(
            pool,
            answer_s=engines_lib.ORDER_S,
            heard=self.world.heard,
            may_send=self.world.rests.may_disturb,
        )
        urgent = functools.partial(self.knowledge.peers.changed, urgent=True)
        self._duty = duty_lib.Duty(
            experts.Lease(self.knowledge.incarnation, clock),
            self._store,
            self.knowledge,
            fenced=lambda: self.world.bounds.fenced,
            changed=urgent,
        )
        self._maps = maps_lib.Maps(
            self.world,
            platform.EngineClient(reports.exchange, orders.exchange),
            clock=clock,
            sleep=asyncio.sleep,
            duty=self._duty,
            owner=experts.Owner(rng.getrandbits(_OWNER_BITS)),
            changed=urgent,
            node=settings.node,
            cfg=settings.maps,
        )
        self._duty.busy = self._maps.switches.is_busy
        self.knowledge.unfit = self._maps.switches.is_stuck
        self.knowledge.generation = self._duty.generation
        self.knowledge.heard_generation = self._duty.heard
        self.knowledge.can_claim = self._duty.can_claim
        self.knowledge.seen_broken = self._maps.seen_broken
        self.knowledge.seen_slow = self._maps.seen_slow
        self._conns: set[http1.ServerConn] = set()
        self._leaving_since: clock_lib.Instant | None = None
        self._stop = asyncio.Event()

    def run(self) -> None:
        """Serve until a stop signal, finish what is held, and return."""
        with asyncio.Runner(
            loop_factory=clock_lib.BoottimeEventLoop
        ) as runner:
            runner.run(self._main())

    async def _main(self) -> None:
        loop = asyncio.get_running_loop()
        for num in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(num, self._ask_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        listen = self._settings.listen
        await self.knowledge.start()
        servers = [
            await asyncio.start_server(
                self._serve,
                *address.split_host_port(listen.callers),
                backlog=_BACKLOG,
            ),
            await asyncio.start_server(
                self._serve_ready, *address.split_host_port(listen.ready)
            ),
        ]
        if listen.metrics:
            servers.append(
                await asyncio.start_server(
                    self._serve_metrics,
                    *address.split_host_port(listen.metrics),
                )
            )
        tasks = [asyncio.create_task(one) for one in self._loops()]
        logging.info("started", extra={"domain": self._settings.domain})
        try:
            await self._stop.wait()
            await self._drain()
        finally:
            for server in servers:
                server.close()
            for task in tasks:
                task.cancel()
            self.knowledge.close()
            self._store.close()
            self.world.pool.close()
            logging.info("stopped")

    def unready(self) -> str:
        """Return why no new connections should come here, or nothing."""
        if self._leaving_since is not None:
            return "this process is being stopped"
        if self.world.desired is None:
            return "no desired state is known yet"
        if not self.world.backends.all():
            return "no backend server is known yet"
        return ""

    def _loops(self) -> list[Coroutine[Any, Any, None]]:
        known = self.knowledge
        followers = sources.followers(self._store, self.world, known)
        return [
            *(follower.run() for follower in followers),
            known.run(),
            self._duty.run(),
            self._maps.run(),
            self._sweep(),
        ]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = http1.ServerConn(
            reader,
            writer,
            self._runner.handle,
            limits=self._limits,
            draining=lambda: self._leaving_since is not None,
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
        await self._serve_inner(
            reader, writer, ready_lib.handler(self.unready)
        )

    async def _serve_metrics(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        age = self.world.backends.age()
        state = self.world.desired
        self.world.figures.now(
            desired_version=state.version if state else 0,
            backends=len(self.world.backends.all()),
            backends_age_seconds=min(age.total_seconds(), _AGE_MOST_S),
            store_lost=float(self.knowledge.trouble.now),
            peers=len(self.knowledge.peers.live()),
            connections=len(self._conns),
            suspects=len(self.world.endings.ledger),
        )
        self.world.figures.running(self.world.uses.by_service())
        give = functools.partial(
            figures_lib.give,
            self.world.figures,
            listing=self.world.endings.listing,
        )
        await self._serve_inner(reader, writer, give)

    async def _serve_inner(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: http1.Handler,
    ) -> None:
        """Serve someone of the platform rather than a caller."""
        conn = http1.ServerConn(
            reader,
            writer,
            handler,
            limits=lambda: _FIRST_LIMITS,
            draining=lambda: self._leaving_since is not None,
            clock=self._clock,
        )
        await conn.run()

    def _limits(self) -> desired.RequestLimits:
        state = self.world.desired
        return state.limits if state else _FIRST_LIMITS

    def _closed(self) -> bool:
        """Tell whether new requests can no longer be finished here."""
        since = self._leaving_since
        return since is not None and self._clock.monotonic() - since > _NOTICE

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            self.world.sweep()
            self.look_at_file()

    async def _drain(self) -> None:
        """Let the balancer notice, then finish what is held."""
        begun = self._clock.monotonic()
        self._leaving_since = begun
        self.knowledge.leave()
        end = begun + self.world.bounds.grace * _GRACE_PART
        while self._clock.monotonic() < end:
            if self._closed():
                for conn in list(self._conns):
                    conn.close_if_idle()
                if not self._conns:
                    break
            await asyncio.sleep(_DRAIN_LOOK_S)
        logging.info("drained", extra={"left": len(self._conns)})

    def _ask_stop(self) -> None:
        logging.info("stop asked")
        self._stop.set()

    def look_at_file(self) -> None:
        """Read the settings anew if their file has changed unannounced."""
        if self._file and self._read_at != _changed_at(self._file):
            self._reload()

    def _reload(self) -> None:
        """Read the settings anew; what was in force stays on an error.

        Addresses are taken at the start only; all else counts from now on.
        """
        if not self._file:
            return
        self._read_at = _changed_at(self._file)
        try:
            settings = settings_lib.load(self._file)
        except errors.SettingsError as exc:
            logging.error("settings kept out", extra={"why": str(exc)})
            return
        self.world.allow(settings)
        self._maps.cfg = settings.maps
        logging.info("settings read anew")


def _changed_at(path: str) -> int:
    """Return when a file was changed, in ns; 0 while there is none."""
    try:
        return pathlib.Path(path).stat().st_mtime_ns
    except OSError as exc:
        logging.warning("no settings file", extra={"why": str(exc)})
        return 0
