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
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import engine_transport
from lugcross.edge import map_leadership
from lugcross.edge import map_manager
from lugcross.edge import metrics as metrics_lib
from lugcross.edge import readiness
from lugcross.edge import request_handler
from lugcross.edge import settings as settings_lib
from lugcross.edge import state_sync as state_sync_lib
from lugcross.edge import store_followers
from lugcross import errors
from lugcross import experts
from lugcross import http1
from lugcross import platform

#: Longest wait for the store's answer. Its usual answer takes a few
#: milliseconds; a slow store needs some hundred.
STORE_TIMEOUT = datetime.timedelta(seconds=1.5)
#: Time between two rounds of tidying, in seconds.
_SWEEP_INTERVAL_S = 1.0
#: Part of the grace after which whatever is left is cut.
_DRAIN_GRACE_RATIO = 0.95
#: Rest after a stop signal during which the platform's balancer notices;
#: requests that come later on open connections are refused.
_DRAIN_NOTICE = datetime.timedelta(seconds=3)
#: Time between two looks at what is left to finish, in seconds.
_DRAIN_CHECK_INTERVAL_S = 0.05
#: Connections that may wait to be taken: all callers that come back after
#: a second in which this process was stopped.
_LISTEN_BACKLOG = 1024
#: Bits of the number by which this process marks its map versions.
_MAP_OWNER_BITS = 16
#: What a list of unknown age is shown as, in seconds.
_MAX_SHOWN_AGE_S = 1e6
#: Bounds for callers until a desired state tells them.
_DEFAULT_LIMITS = desired.RequestLimits(
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
        settings_path: str = "",
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._settings_path = settings_path
        self._settings_mtime_ns = (
            _mtime_ns(settings_path) if settings_path else 0
        )
        rng = random.Random()
        self.edge_state = edge_state_lib.EdgeState(
            settings, clock=clock, rng=rng
        )
        self._store = platform.StoreClient(
            settings.store.address, timeout=STORE_TIMEOUT
        )
        self.state_sync = state_sync_lib.StateSync(
            settings, self.edge_state, self._store, clock=clock, rng=rng
        )
        self._request_handler = request_handler.RequestHandler(
            self.edge_state,
            is_stopping=self._refuses_requests,
            on_change=self.state_sync.peers.schedule_send,
            clock=clock,
            rng=rng,
        )
        pool = self.edge_state.pool
        reports = engine_transport.EngineTransport(
            pool,
            timeout_s=engine_transport.REPORT_TIMEOUT_S,
            on_answer_head=self.edge_state.apply_answer_head,
            may_send=self.edge_state.backoffs.may_send_deferrable,
        )
        orders = engine_transport.EngineTransport(
            pool,
            timeout_s=engine_transport.ORDER_TIMEOUT_S,
            on_answer_head=self.edge_state.apply_answer_head,
            may_send=self.edge_state.backoffs.take_urgent_allowance,
        )
        urgent = functools.partial(
            self.state_sync.peers.schedule_send, urgent=True
        )
        self._duty = map_leadership.MapLeadership(
            experts.Lease(self.state_sync.incarnation, clock),
            self._store,
            self.state_sync,
            needs_fencing=lambda: self.edge_state.bounds.fenced,
            on_lease_change=urgent,
        )
        self._maps = map_manager.MapManager(
            self.edge_state,
            platform.EngineClient(reports.exchange, orders.exchange),
            clock=clock,
            sleep=asyncio.sleep,
            leadership=self._duty,
            allocator=experts.NumberAllocator(
                rng.getrandbits(_MAP_OWNER_BITS)
            ),
            on_group_state_change=urgent,
            node=settings.node,
            cfg=settings.maps,
        )
        self._duty.has_work_in_progress = self._maps.switch_runner.is_busy
        self.state_sync.is_unfit_to_lead = self._maps.switch_runner.is_stuck
        self.state_sync.lease_generation = self._duty.generation
        self.state_sync.on_peer_generation = self._duty.note_newer_generation
        self.state_sync.can_claim_lease = self._duty.store_answers
        self.state_sync.seen_broken_backends = (
            self._maps.servers_of_broken_groups
        )
        self.state_sync.seen_slow_backends = self._maps.slow_servers
        self._conns: set[http1.ServerConn] = set()
        self._stopping_since: clock_lib.Instant | None = None
        self._stop_requested = asyncio.Event()

    def run(self) -> None:
        """Serve until a stop signal, finish what is held, and return."""
        with asyncio.Runner(
            loop_factory=clock_lib.BoottimeEventLoop
        ) as runner:
            runner.run(self._main())

    async def _main(self) -> None:
        loop = asyncio.get_running_loop()
        for num in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(num, self._request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        listen = self._settings.listen
        await self.state_sync.start()
        servers = [
            await asyncio.start_server(
                self._serve_caller,
                *address.split_host_port(listen.callers),
                backlog=_LISTEN_BACKLOG,
            ),
            await asyncio.start_server(
                self._serve_readiness, *address.split_host_port(listen.ready)
            ),
        ]
        if listen.metrics:
            servers.append(
                await asyncio.start_server(
                    self._serve_metrics,
                    *address.split_host_port(listen.metrics),
                )
            )
        tasks = [asyncio.create_task(one) for one in self._background_loops()]
        logging.info("started", extra={"domain": self._settings.domain})
        try:
            await self._stop_requested.wait()
            await self._drain()
        finally:
            for server in servers:
                server.close()
            for task in tasks:
                task.cancel()
            self.state_sync.close()
            self._store.close()
            self.edge_state.pool.close()
            logging.info("stopped")

    def unready_reason(self) -> str:
        """Return why no new connections should come here, or nothing."""
        if self._stopping_since is not None:
            return "this process is being stopped"
        if self.edge_state.desired is None:
            return "no desired state is known yet"
        if not self.edge_state.backends.all():
            return "no backend server is known yet"
        return ""

    def _background_loops(self) -> list[Coroutine[Any, Any, None]]:
        state_sync = self.state_sync
        followers = store_followers.make_followers(
            self._store, self.edge_state, state_sync
        )
        return [
            *(follower.run() for follower in followers),
            state_sync.run(),
            self._duty.run(),
            self._maps.run(),
            self._sweep(),
        ]

    async def _serve_caller(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = http1.ServerConn(
            reader,
            writer,
            self._request_handler.handle,
            limits=self._limits,
            draining=lambda: self._stopping_since is not None,
            clock=self._clock,
        )
        self._conns.add(conn)
        try:
            await conn.run()
        finally:
            self._conns.discard(conn)

    async def _serve_readiness(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._serve_platform(
            reader, writer, readiness.handler(self.unready_reason)
        )

    async def _serve_metrics(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        age = self.edge_state.backends.age()
        state = self.edge_state.desired
        self.edge_state.metrics.set_gauges(
            desired_version=state.version if state else 0,
            backends=len(self.edge_state.backends.all()),
            backends_age_seconds=min(age.total_seconds(), _MAX_SHOWN_AGE_S),
            store_lost=float(self.state_sync.store_health.failing),
            peers=len(self.state_sync.peers.live()),
            connections=len(self._conns),
            suspects=len(self.edge_state.crash_tracker.registry),
        )
        self.edge_state.metrics.set_workspace_running(
            self.edge_state.workspace_usage.counts_by_service()
        )
        serve = functools.partial(
            metrics_lib.serve,
            self.edge_state.metrics,
            suspects_json=self.edge_state.crash_tracker.listing_json,
        )
        await self._serve_platform(reader, writer, serve)

    async def _serve_platform(
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
            limits=lambda: _DEFAULT_LIMITS,
            draining=lambda: self._stopping_since is not None,
            clock=self._clock,
        )
        await conn.run()

    def _limits(self) -> desired.RequestLimits:
        state = self.edge_state.desired
        return state.limits if state else _DEFAULT_LIMITS

    def _refuses_requests(self) -> bool:
        """Tell whether new requests can no longer be finished here."""
        since = self._stopping_since
        return (
            since is not None
            and self._clock.monotonic() - since > _DRAIN_NOTICE
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            self.edge_state.forget_gone_backends()
            self.reload_if_changed()

    async def _drain(self) -> None:
        """Let the balancer notice, then finish what is held."""
        begun = self._clock.monotonic()
        self._stopping_since = begun
        self.state_sync.leave()
        end = begun + self.edge_state.bounds.grace_period * _DRAIN_GRACE_RATIO
        while self._clock.monotonic() < end:
            if self._refuses_requests():
                for conn in list(self._conns):
                    conn.close_if_idle()
                if not self._conns:
                    break
            await asyncio.sleep(_DRAIN_CHECK_INTERVAL_S)
        logging.info("drained", extra={"left": len(self._conns)})

    def _request_stop(self) -> None:
        logging.info("stop asked")
        self._stop_requested.set()

    def reload_if_changed(self) -> None:
        """Read the settings anew if their file has changed unannounced."""
        if self._settings_path and self._settings_mtime_ns != _mtime_ns(
            self._settings_path
        ):
            self._reload()

    def _reload(self) -> None:
        """Read the settings anew; what was in force stays on an error.

        Addresses are taken at the start only; all else counts from now on.
        """
        if not self._settings_path:
            return
        self._settings_mtime_ns = _mtime_ns(self._settings_path)
        try:
            settings = settings_lib.load(self._settings_path)
        except errors.SettingsError as exc:
            logging.error("settings kept out", extra={"why": str(exc)})
            return
        self.edge_state.apply_settings(settings)
        self._maps.cfg = settings.maps
        logging.info("settings read anew")


def _mtime_ns(path: str) -> int:
    """Return when a file was changed, in ns; 0 while there is none."""
    try:
        return pathlib.Path(path).stat().st_mtime_ns
    except OSError as exc:
        logging.warning("no settings file", extra={"why": str(exc)})
        return 0
