# SPDX-License-Identifier: Apache-2.0
"""The entry host: owns its links, its HTTP server and its RPC server."""

from collections.abc import Sequence
import datetime
import random
import threading
import time
from typing import final

from absl import logging
from cheroot import wsgi

from lugcross import app as app_lib
from lugcross import cfg
from lugcross import clock as clock_lib
from lugcross.entry import admission
from lugcross.entry import caller as caller_lib
from lugcross.entry import http
from lugcross.entry import seeds as seeds_lib
from lugcross.entry import upstream as upstream_lib
from lugcross import ids
from lugcross import logservice
from lugcross import membership
from lugcross import observe
from lugcross import routing
from lugcross import rpc
from lugcross.rpc import lugcross_pb2 as pb
from lugcross import wire

#: Threads kept free to refuse and to answer health checks at once.
SPARE_THREADS = 4
#: How long an operator's call waits for the log to show its change.
PATIENCE = datetime.timedelta(seconds=4)

_HOSTS_EVERY_S = 2.0
_CALL_S = 5.0
_HEADERS_S = 10
_MAX_HEADERS = 65_536
_BACKLOG = 256


@final
class Entry:
    """One entry host; all are equal and keep nothing."""

    def __init__(
        self, settings: cfg.settings.Entry, *, clock: clock_lib.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._domain = ids.DomainName(settings.node.domain)
        self._node = ids.NodeName(settings.node.name)
        self.store = cfg.Store(clock)
        self.journal = observe.DecisionJournal(clock, self._node)
        self._tracer = observe.Tracer(settings.observe.traces, self._node)
        self._loop = wire.LoopThread(name=f"{self._node}-links")
        self.upstream = upstream_lib.Upstream(
            self._loop,
            secret=settings.fleet.secret,
            node=self._node,
            domain=self._domain,
            clock=clock,
            journal=self.journal,
            store=self.store,
        )
        self._budgets: dict[ids.ServiceName, routing.RetryBudget] = {}
        self._leaving = ""
        self.inflight = admission.Inflight(
            limit=settings.threads - SPARE_THREADS
        )
        self._server = self._make_server(clock)
        self._served: threading.Thread | None = None
        where = settings.platform
        self.log = logservice.HttpLogClient(
            where.log, timeout_s=where.timeout_s
        )
        self.follower = cfg.Follower(
            self.log,
            self.store,
            clock=clock,
            poll_s=where.poll_s,
            writes=True,
        )
        publisher = cfg.Publisher(
            self.log,
            self.store,
            patience=PATIENCE,
            published=self.follower.look,
        )
        self.rpc = rpc.RpcServer(
            rpc.OperatorServicer(
                self.store,
                publisher,
                rpc.Roles(settings.operators),
                self.journal,
                status=self.status,
                clock=clock,
            ),
            settings.rpc,
        )

    @property
    def http_port(self) -> int:
        """Port that callers reach, once started."""
        port: int = self._server.bind_addr[1]
        return port

    def application(self) -> app_lib.Application:
        """Return the application that owns this entry host's parts."""
        app = app_lib.Application(name=self._node)
        app.add(app_lib.Hook(name="tracer", stop=self._tracer.close))
        app.add(
            app_lib.Hook(
                name="loop", start=self._loop.start, stop=self._loop.stop
            )
        )
        app.add(
            app_lib.Hook(
                name="links", start=self._ask_seeds, stop=self._stop_links
            )
        )
        self._add_platform(app)
        app.add(
            app_lib.Hook(name="rpc", start=self.rpc.start, stop=self.rpc.stop)
        )
        app.add(
            app_lib.Hook(
                name="http",
                start=self._start_http,
                drain=self._drain,
                stop=self._server.stop,
            )
        )
        return app

    def unready(self) -> str:
        """Return why the platform's balancer should send nothing here."""
        if self._leaving:
            return self._leaving
        if not self.store.ready:
            return f"no configuration: {self.store.trouble}"
        if not any(peer.link for peer in self.upstream.peers()):
            return "no link to any backend server"
        return ""

    def status(self) -> pb.NodeStatus:
        """Tell how this entry host stands."""
        age = self.store.age()
        return pb.NodeStatus(
            node=self._node,
            domain=self._domain,
            unready=self.unready(),
            offset=self.store.config.offset,
            knowledge_age_s=age.total_seconds() if age else 0.0,
            inflight=self.inflight.total,
            relay=self.follower.relay,
            trouble=self.store.trouble,
            peers=[self._peer_status(one) for one in self.upstream.peers()],
            entries=[
                pb.SeenEntry(
                    node=one.node, domain=one.domain, offset=one.offset
                )
                for one in self.upstream.entries()
            ],
        )

    def _peer_status(self, peer: upstream_lib.Peer) -> pb.PeerStatus:
        heard = self._clock.monotonic() - peer.heard_at
        return pb.PeerStatus(
            backend=peer.name,
            domain=peer.backend.domain,
            linked=peer.link is not None,
            why_down="" if peer.link else peer.why_down,
            leaving=peer.leaving,
            queued=peer.load.queued,
            running=peer.load.running,
            capacity=peer.load.capacity,
            offset=self.upstream.offset_of(peer),
            heard_s=heard.total_seconds(),
        )

    def _make_server(self, clock: clock_lib.Clock) -> wsgi.Server:
        settings = self._settings
        caller = caller_lib.Caller(
            self.upstream,
            self.upstream.candidates,
            self._budget,
            domain=self._domain,
            clock=clock,
            journal=self.journal,
            rng=random.Random(),
        )
        api = http.HttpApi(
            self.store,
            caller,
            self.inflight,
            unready=self.unready,
            clock=clock,
            tracer=self._tracer,
            metrics=observe.open_metrics(settings.observe, self._node),
        )
        server = wsgi.Server(
            (settings.http.host, settings.http.port),
            api,
            numthreads=settings.threads,
            max=settings.threads,
            request_queue_size=_BACKLOG,
            timeout=_HEADERS_S,
        )
        server.max_request_header_size = _MAX_HEADERS
        server.error_log = _log_server_error  # type: ignore[method-assign]
        return server

    def _add_platform(self, app: app_lib.Application) -> None:
        where = self._settings.platform
        follower = self.follower
        self.store.listen(self._on_config)
        self.upstream.on_neighbours(self._on_neighbours)
        app.add(app_lib.Hook(name="log", stop=self.log.close))
        app.add(
            app_lib.Hook(
                name="config", start=follower.start, stop=follower.stop
            )
        )
        if not where.hosts:
            return
        hosts = logservice.HostListClient(
            where.hosts, timeout_s=where.timeout_s
        )
        watch = membership.HostListWatcher(
            hosts, self._on_hosts, interval_s=_HOSTS_EVERY_S
        )
        app.add(app_lib.Hook(name="hosts", start=watch.start, stop=watch.stop))

    def _start_http(self) -> None:
        self._server.prepare()
        self._served = threading.Thread(
            target=self._server.serve, name=f"{self._node}-http", daemon=True
        )
        self._served.start()
        logging.info(
            "listening", extra={"what": "http", "port": self.http_port}
        )

    def _drain(self) -> None:
        """Let the balancer notice, then finish what is held."""
        self._leaving = "this entry host is being stopped"
        time.sleep(self._settings.notice_s)
        self.inflight.refuse(self._leaving)
        grace = datetime.timedelta(seconds=self._settings.grace_s)
        whole = self.inflight.wait_none(grace)
        logging.info("drained", extra={"whole": whole})

    def _ask_seeds(self) -> None:
        seeds = seeds_lib.Seeds(
            self._settings.seeds,
            self.store,
            secret=self._settings.fleet.secret,
            node=self._node,
            domain=self._domain,
        )
        self._loop.submit(seeds.ask())

    def _stop_links(self) -> None:
        self._loop.call(self.upstream.stop(), timeout_s=_CALL_S)

    def _on_neighbours(self, relay: bool) -> None:
        if relay != self.follower.relay:
            self.journal.record(
                observe.DecisionTopic.LOG_RELAY,
                self._node,
                rule="first by hash among the entry hosts that are seen",
                result="relay of the log" if relay else "no relay",
            )
            self.follower.set_relay(relay)

    def _on_config(
        self,
        config: cfg.Config,
        records: Sequence[logservice.Record],
        applied: Sequence[cfg.Applied],
    ) -> None:
        for one in applied:
            self.journal.record(
                observe.DecisionTopic.CONFIG,
                str(one.ref or one.offset),
                rule=one.reason or "valid at its place in the log",
                result=one.verdict.value,
            )
        self._loop.loop.call_soon_threadsafe(
            self.upstream.adopt, self._wanted(config)
        )
        self._loop.loop.call_soon_threadsafe(
            self.upstream.pass_on, tuple(records)
        )

    def _on_hosts(self, leaving: frozenset[str]) -> None:
        self.upstream.hosts_leaving = leaving
        if self._node in leaving:
            self._leaving = "the platform's host list says it is leaving"

    def _wanted(self, config: cfg.Config) -> list[cfg.BackendServer]:
        """Return the backend servers to keep links to."""
        wanted: dict[str, cfg.BackendServer] = {}
        for name, service in config.services.items():
            backends = config.by_service[name]
            # A repeat must find the agent that has claimed its key.
            links = self._settings.links if service.repeatable else None
            chosen = membership.choose_backend_subset(
                self._node,
                self._domain,
                backends,
                max_links=links or len(backends),
            )
            wanted.update({backend.name: backend for backend in chosen})
        return list(wanted.values())

    def _budget(self, service: ids.ServiceName) -> routing.RetryBudget:
        return self._budgets.setdefault(service, routing.RetryBudget())


def _log_server_error(
    msg: str = "", level: int = 20, traceback: bool = False
) -> None:
    del level
    logging.warning("http: %s", msg, exc_info=traceback)
