# SPDX-License-Identifier: Apache-2.0
"""The edge process: its listeners, background tasks, reload and shutdown."""

import asyncio
from collections.abc import Coroutine
import datetime
import functools
import pathlib
import random
from typing import Any
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import connection_limits
from lugcross import desired
from lugcross.edge import domain_prober
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import engine_transport
from lugcross.edge import evacuation_reports
from lugcross.edge import listeners
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
from lugcross import process_signals

#: Time limit for an answer of the store, which usually takes a few
#: milliseconds, and some hundred while the store is slow.
STORE_TIMEOUT = datetime.timedelta(seconds=1.5)
#: Time between two rounds of periodic cleanup.
_SWEEP_INTERVAL_S = 1.0
#: Fraction of the shutdown grace period after which connections that are
#: still busy are closed.
_DRAIN_GRACE_RATIO = 0.95
#: Time after a stop signal within which the platform's balancer sees that
#: this process is not ready. Requests are accepted until then, and refused
#: afterwards.
_DRAIN_NOTICE = datetime.timedelta(seconds=3)
#: Time between two checks whether all connections have been closed.
_DRAIN_CHECK_INTERVAL_S = 0.05
#: Bits of the random process number in the map versions that this process
#: allocates.
_PROCESS_NUMBER_BITS = 16
#: Upper bound of the age gauge, shown while the age is not known.
_MAX_SHOWN_AGE_S = 1e6


@final
class Edge:
    """The edge process.

    All edge processes are equal and none stores anything locally.

    :param settings_path: file that ``settings`` were loaded from, watched for
        changes; empty to never reload.
    :param signals: signals of the process; None to handle them only while
        this serves.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        *,
        clock: clock_lib.Clock,
        settings_path: str = "",
        signals: process_signals.ProcessSignals | None = None,
    ) -> None:
        self._signals = signals or process_signals.ProcessSignals()
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
        query_transport = engine_transport.EngineTransport(
            pool,
            timeout_s=engine_transport.REPORT_TIMEOUT_S,
            on_response_head=self.edge_state.apply_response_head,
            may_send=self._may_send_deferrable,
        )
        order_transport = engine_transport.EngineTransport(
            pool,
            timeout_s=engine_transport.ORDER_TIMEOUT_S,
            on_response_head=self.edge_state.apply_response_head,
            may_send=self.edge_state.backoffs.try_spend_urgent,
        )
        send_urgently = functools.partial(
            self.state_sync.peers.schedule_send, urgent=True
        )
        self._leadership = map_leadership.MapLeadership(
            experts.Lease(self.state_sync.incarnation, clock),
            self._store,
            self.state_sync,
            needs_fencing=lambda: self.edge_state.bounds.fenced,
            on_lease_change=send_urgently,
        )
        self._map_manager = map_manager.MapManager(
            self.edge_state,
            platform.EngineClient(
                query_transport.exchange, order_transport.exchange
            ),
            clock=clock,
            sleep=asyncio.sleep,
            leadership=self._leadership,
            allocator=experts.SwitchNumberAllocator(
                rng.getrandbits(_PROCESS_NUMBER_BITS)
            ),
            on_group_state_change=send_urgently,
            node=settings.node,
            cfg=settings.maps,
        )
        self._leadership.has_work_in_progress = (
            self._map_manager.switch_tasks.is_busy
        )
        self.state_sync.is_unfit_to_lead = (
            self._map_manager.switch_tasks.has_failed_recently
        )
        self.state_sync.lease_generation = self._leadership.generation
        self.state_sync.on_peer_generation = (
            self._leadership.note_newer_generation
        )
        self.state_sync.store_answers_about_lease = (
            self._leadership.store_answers
        )
        self.state_sync.seen_broken_backends = (
            self._map_manager.servers_of_broken_groups
        )
        self.state_sync.seen_slow_backends = self._map_manager.slow_servers
        self._listeners = listeners.Listeners(
            settings.listen,
            self.edge_state,
            handle_caller=self._request_handler.handle,
            handle_readiness=readiness.handler(self.unready_reason),
            handle_metrics=self._handle_metrics,
            time_limit=self._request_handler.time_limit,
            is_stopping=lambda: self._stopping_since is not None,
            clock=clock,
        )
        self._stopping_since: clock_lib.Instant | None = None
        self._stop_requested = asyncio.Event()

    def _may_send_deferrable(self, key: desired.BackendKey) -> bool:
        """Return whether an engine may be sent a query now, and count it."""
        return self.edge_state.backoffs.may_send_deferrable(
            key
        ) and self.edge_state.limits.try_spend_deferrable(key)

    def run(self) -> None:
        """Serve until a stop signal, drain open connections and return."""
        with asyncio.Runner(
            loop_factory=clock_lib.BoottimeEventLoop
        ) as runner:
            runner.run(self._main())

    async def _main(self) -> None:
        loop = asyncio.get_running_loop()
        self._signals.install()
        self._signals.attach(
            loop, on_stop=self._request_stop, on_reload=self._reload
        )
        await self.state_sync.start()
        self._listeners.start()
        tasks = [asyncio.create_task(one) for one in self._background_loops()]
        logging.info("started", extra={"domain": self._settings.domain})
        try:
            await self._stop_requested.wait()
            await self._drain()
        finally:
            self._signals.detach()
            self._listeners.close()
            for task in tasks:
                task.cancel()
            self.state_sync.close()
            self._store.close()
            self.edge_state.pool.close()
            logging.info("stopped")

    def unready_reason(self) -> str:
        """Return why this process is not ready; empty if it is."""
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
            self._store, self.edge_state, state_sync, clock=self._clock
        )
        return [
            *(follower.run() for follower in followers),
            state_sync.run(),
            self._leadership.run(),
            self._map_manager.run(),
            domain_prober.DomainProber(
                self.edge_state.reachability, self._clock
            ).run(),
            connection_limits.LoopLag(
                self._clock, self._listeners.note_lag
            ).run(),
            self._sweep(),
        ]

    async def _handle_metrics(
        self, response: http1.ResponseWriter, req: http1.Request
    ) -> None:
        age = self.edge_state.backends.age()
        state = self.edge_state.desired
        self.edge_state.metrics.set_gauges(
            desired_version=state.version if state else 0,
            backends=len(self.edge_state.backends.all()),
            backends_age_seconds=min(age.total_seconds(), _MAX_SHOWN_AGE_S),
            store_lost=float(self.state_sync.store_health.failing),
            peers=len(self.state_sync.peers.live()),
            connections=self._listeners.callers.count,
            edge_held_bytes=self.edge_state.held_bytes.total,
            edge_held_bytes_limit=self.edge_state.held_bytes.limit or 0,
            suspects=len(self.edge_state.crash_tracker.registry),
            edge_evacuated_domains=len(self.edge_state.evacuations.domains()),
            edge_unreachable_domains=len(
                self.edge_state.reachability.own_findings()
            ),
            edge_cold_servers=len(self.edge_state.limits.cold_servers()),
        )
        self.edge_state.metrics.set_workspace_running(
            self.edge_state.workspace_usage.counts_by_service()
        )
        await metrics_lib.serve(
            self.edge_state.metrics,
            response,
            req,
            json_lists={
                metrics_lib.SUSPECTS_PATH: (
                    self.edge_state.crash_tracker.suspects_json
                ),
                metrics_lib.EVACUATIONS_PATH: functools.partial(
                    evacuation_reports.to_json,
                    self.edge_state.evacuations,
                    self.edge_state.backends,
                ),
            },
        )

    def _refuses_requests(self) -> bool:
        """Return whether new requests are refused because of a shutdown."""
        since = self._stopping_since
        return (
            since is not None
            and self._clock.monotonic() - since > _DRAIN_NOTICE
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            self.edge_state.drop_outdated()
            self._listeners.log_closed()
            self.state_sync.log_closed()
            self.reload_if_changed()

    async def _drain(self) -> None:
        """Wait until open connections are finished or the grace is used up.

        Requests are accepted for the notice period first, because the
        platform's balancer keeps sending them until it sees that this process
        is not ready.
        """
        begun = self._clock.monotonic()
        self._stopping_since = begun
        self.state_sync.leave()
        end = begun + self.edge_state.bounds.grace_period * _DRAIN_GRACE_RATIO
        callers = self._listeners.callers
        while self._clock.monotonic() < end:
            if self._refuses_requests():
                callers.close_idle()
                if not callers.count:
                    break
            await asyncio.sleep(_DRAIN_CHECK_INTERVAL_S)
        logging.info("drained", extra={"left": callers.count})

    def _request_stop(self) -> None:
        logging.info("stop requested")
        self._stop_requested.set()

    def reload_if_changed(self) -> None:
        """Reload the settings if the modification time of their file moved."""
        if self._settings_path and self._settings_mtime_ns != _mtime_ns(
            self._settings_path
        ):
            self._reload()

    def _reload(self) -> None:
        """Reload the settings; if they are invalid, keep the current ones.

        Applies bounds, shares, cleared suspects and maps; all other settings
        take effect only at a restart.
        """
        if not self._settings_path:
            return
        self._settings_mtime_ns = _mtime_ns(self._settings_path)
        try:
            settings = settings_lib.load(self._settings_path)
        except errors.SettingsError as exc:
            logging.error("settings rejected", extra={"why": str(exc)})
            return
        self.edge_state.apply_settings(settings)
        self._map_manager.cfg = settings.maps
        logging.info("settings reloaded")


def _mtime_ns(path: str) -> int:
    """Return the modification time of a file; 0 if it cannot be read."""
    try:
        return pathlib.Path(path).stat().st_mtime_ns
    except OSError as exc:
        logging.warning(
            "settings file not accessible", extra={"why": str(exc)}
        )
        return 0
