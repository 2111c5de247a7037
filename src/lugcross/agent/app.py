# SPDX-License-Identifier: Apache-2.0
"""The agent's shell: sockets, threads and time around the dispatcher."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import threading
from typing import final
from typing import NamedTuple

from absl import logging

from lugcross.agent import claimer as claimer_lib
from lugcross.agent import claims
from lugcross.agent import dispatcher as dispatcher_lib
from lugcross.agent import events
from lugcross.agent import exchange as exchange_lib
from lugcross.agent import once
from lugcross.agent import runner as runner_lib
from lugcross import app as app_lib
from lugcross import cfg
from lugcross import clock as clock_lib
from lugcross import errors
from lugcross import ids
from lugcross import logservice
from lugcross import membership
from lugcross import observe
from lugcross import routing
from lugcross import wire

_TICK_S = 0.05
#: Time between two ticks while there is nothing to give up.
_IDLE_TICK_S = 0.5
#: Load is told when it changed, or as a heartbeat.
_LOAD_EVERY = clock_lib.seconds(0.5)
_HEARTBEAT_EVERY = clock_lib.seconds(5)
_HOSTS_EVERY_S = 2.0
_CALL_S = 5.0
#: How long the last words of a hand-over may take, in seconds.
_HAND_OVER_S = 2.0
_UNKNOWN_GROUP_SHARE = 1.0


class _News(NamedTuple):
    uid: str
    event: events.RunnerEvent


@final
class Agent:
    """One agent: the only way from the system to its backend server."""

    def __init__(
        self, settings: cfg.settings.Agent, *, clock: clock_lib.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self.incarnation = ids.Incarnation(ids.new_token())
        self.port = settings.link.port
        self.store = cfg.Store(clock)
        node = settings.node.name
        self.journal = observe.DecisionJournal(clock, node)
        self._tracer = observe.Tracer(settings.observe.traces, node)
        self._metrics = observe.open_metrics(settings.observe, node)
        self._loop = wire.LoopThread(name=f"{node}-links")
        self._dispatcher = dispatcher_lib.Dispatcher(
            incarnation=self.incarnation, weight=self._weight
        )
        self._news = wire.Mailbox(self._loop.loop, self._on_news)
        self._runner = runner_lib.Runner(
            settings.services, self._emit, self._tracer
        )
        self._links: dict[exchange_lib.LinkId, wire.Link] = {}
        self._reasons: dict[str, str] = {}
        self._feed = cfg.Feed(self.store)
        self._entries: dict[exchange_lib.LinkId, wire.Hello] = {}
        self._idle = threading.Event()
        self._work_came = asyncio.Event()
        self._told: wire.AgentLoad | None = None
        self._told_seen: tuple[wire.LinkedEntry, ...] = ()
        self._told_at: clock_lib.Instant | None = None
        self._claimer = self._make_claimer()
        self._listener = wire.Listener(
            self._accept,
            secret=settings.fleet.secret,
            backend=ids.BackendName(settings.backend),
            incarnation=self.incarnation,
        )

    def _make_claimer(self) -> claimer_lib.Claimer:
        where = self._settings.platform
        backend = ids.BackendName(self._settings.backend)
        return claimer_lib.Claimer(
            logservice.HttpLogClient(where.log, timeout_s=where.timeout_s),
            claims.ClaimIndex(backend, self.incarnation),
            self._decide,
            backend=backend,
            incarnation=self.incarnation,
            clock=self._clock,
            poll_s=where.poll_s,
        )

    def backend(self, capacity: int) -> cfg.BackendServer:
        """Return the object that operators publish for this agent."""
        settings = self._settings
        return cfg.BackendServer(
            name=settings.backend,
            domain=settings.node.domain,
            host=settings.link.host,
            port=self.port,
            services=tuple(settings.services),
            capacity=capacity,
        )

    def application(self) -> app_lib.Application:
        """Return the application that owns this agent's parts."""
        app = app_lib.Application(name=self._settings.node.name)
        self._add_platform(app)
        app.add(
            app_lib.Hook(
                name="loop", start=self._loop.start, stop=self._loop.stop
            )
        )
        app.add(app_lib.Hook(name="runner", stop=self._runner.stop))
        app.add(
            app_lib.Hook(
                name="claims",
                start=self._claimer.start,
                stop=self._claimer.stop,
            )
        )
        app.add(
            app_lib.Hook(
                name="links",
                start=self._listen,
                drain=self._drain,
                stop=self._close,
            )
        )
        return app

    def _add_platform(self, app: app_lib.Application) -> None:
        where = self._settings.platform
        log = logservice.HttpLogClient(where.log, timeout_s=where.timeout_s)
        follower = cfg.Follower(
            log, self.store, clock=self._clock, poll_s=where.poll_s
        )
        # Entry hosts bring what is new; an agent reads only to start.
        follower.set_relay(False)
        self.store.listen(self._on_config)
        app.add(app_lib.Hook(name="tracer", stop=self._tracer.close))
        app.add(app_lib.Hook(name="log", stop=log.close))
        app.add(
            app_lib.Hook(
                name="config", start=follower.start, stop=follower.stop
            )
        )
        if where.hosts:
            hosts = logservice.HostListClient(
                where.hosts, timeout_s=where.timeout_s
            )
            watch = membership.HostListWatcher(
                hosts, self._on_hosts, interval_s=_HOSTS_EVERY_S
            )
            app.add(
                app_lib.Hook(name="hosts", start=watch.start, stop=watch.stop)
            )

    # Life cycle, called from the main thread.

    def _listen(self) -> None:
        link = self._settings.link
        self.port = self._loop.call(
            self._listener.start(link.host, link.port), timeout_s=_CALL_S
        )
        self._loop.submit(self._tick_for_ever())
        if self.store.ready:
            self._post(self._adopt, self.store.config)
        logging.info("listening", extra={"what": "links", "port": self.port})

    def _drain(self) -> None:
        """Refuse new work as not run and wait for what runs."""
        self._post(self._set_reason, "signal", "it is being stopped")
        self._idle.clear()
        done = self._idle.wait(self._settings.grace_s)
        if not done:
            self._post(self._hand_over)
            self._idle.clear()
            self._idle.wait(_HAND_OVER_S)
        logging.info("drained", extra={"whole": done})

    def _close(self) -> None:
        self._loop.call(self._close_links(), timeout_s=_CALL_S)

    async def _close_links(self) -> None:
        # What was posted last may still wait: an answer is only given
        # once the link has carried it.
        for link in list(self._links.values()):
            await link.close()
        await self._listener.stop()

    # From other threads into the loop.

    def _post(self, func: Callable[..., None], *args: object) -> None:
        self._loop.loop.call_soon_threadsafe(func, *args)

    def _emit(self, uid: str, event: events.RunnerEvent) -> None:
        self._news.post(_News(uid, event))

    def _on_config(
        self,
        config: cfg.Config,
        records: Sequence[logservice.Record],
        applied: Sequence[cfg.Applied],
    ) -> None:
        del applied
        self._post(self._adopt, config)
        self._post(self._pass_on, tuple(records))

    def _pass_on(self, records: Sequence[logservice.Record]) -> None:
        self._post_all(self._feed.on_store(records))

    def _post_all(self, posts: Iterable[cfg.Post]) -> None:
        for post in posts:
            assert isinstance(post.link, exchange_lib.LinkId)
            link = self._links.get(post.link)
            if link is not None:
                self._send(link, post.msg)

    def _decide(self, uid: str, ruling: claims.Ruling) -> None:
        self._post(self._on_ruling, uid, ruling)

    def _on_hosts(self, leaving: frozenset[str]) -> None:
        gone = self._settings.node.name in leaving
        reason = "the platform's host list says so" if gone else ""
        self._post(self._set_reason, "hosts", reason)

    # In the loop's thread.

    def _weight(self, group: ids.WorkspaceGroupName) -> float:
        found = self.store.config.groups.get(group)
        return found.share if found else _UNKNOWN_GROUP_SHARE

    def _adopt(self, config: cfg.Config) -> None:
        logging.info("configuration", extra={"offset": config.offset})
        backend = config.backends.get(self._settings.backend)
        if backend is None:
            return
        self._dispatcher.capacity = backend.capacity
        self._dispatcher.max_queue = min(
            (config.services[name].max_queue for name in backend.services),
            default=self._dispatcher.max_queue,
        )
        reason = "an operator set it to leaving" if backend.leaving else ""
        self._set_reason("operator", reason)

    def _set_reason(self, source: str, reason: str) -> None:
        """Combine the reasons to leave; any one of them suffices."""
        before = self._dispatcher.leaving
        self._reasons[source] = reason
        reasons = [text for text in self._reasons.values() if text]
        self._dispatcher.set_leaving("; ".join(reasons))
        after = self._dispatcher.leaving
        if after == before:
            return
        self.journal.record(
            observe.DecisionTopic.AVAILABILITY,
            self._settings.backend,
            rule="any reason to leave suffices",
            result=f"leaving: {after}" if after else "taking work",
        )
        for link in self._links.values():
            self._send(link, wire.Leaving(reason=after))

    async def _accept(self, link: wire.Link, hello: wire.Hello) -> None:
        link_id = exchange_lib.LinkId(link.num)
        self._links[link_id] = link
        self._dispatcher.on_link(link_id)
        self._post_all(self._feed.on_link(link_id))
        self._entries[link_id] = hello
        self._tell_entries()
        self._metrics.incr("links.opened")
        if self._dispatcher.leaving:
            self._send(link, wire.Leaving(reason=self._dispatcher.leaving))
        self._send(link, self._dispatcher.load())
        try:
            await link.run(lambda msg: self._on_message(link_id, msg))
        finally:
            del self._links[link_id]
            del self._entries[link_id]
            self._feed.on_link_lost(link_id)
            self._tell_entries()
            self._act(
                self._dispatcher.on_link_lost(link_id, self._clock.monotonic())
            )
            self.journal.record(
                observe.DecisionTopic.LINK,
                hello.node,
                rule="links end when either side goes",
                result="link lost",
            )

    def _tell_entries(self) -> None:
        """Tell the entry hosts of each other, if anything changed."""
        seen = tuple(
            wire.LinkedEntry(
                hello.node, hello.domain, self._feed.offset_of(link_id)
            )
            for link_id, hello in self._entries.items()
        )
        if seen == self._told_seen:
            return
        self._told_seen = seen
        for link in self._links.values():
            self._send(link, wire.LinkedEntries(seen=seen))

    def _on_message(
        self, link_id: exchange_lib.LinkId, msg: wire.Message
    ) -> None:
        if isinstance(
            msg,
            wire.ConfigStatus | wire.ConfigRecords | wire.ConfigSnapshotPart,
        ):
            self._post_all(self._feed.on_message(link_id, msg))
            return
        now = self._clock.monotonic()
        self._work_came.set()
        self._act(self._dispatcher.on_message(link_id, msg, now))

    def _on_news(self, news: _News) -> None:
        now = self._clock.monotonic()
        self._act(self._dispatcher.on_runner(news.uid, news.event, now))

    def _on_ruling(self, uid: str, ruling: claims.Ruling) -> None:
        if ruling.verdict is claims.Verdict.LOG_AWAY:
            ruling = self._without_log(uid, ruling)
        now = self._clock.monotonic()
        self._act(self._dispatcher.on_ruling(uid, ruling, now))

    def _without_log(self, uid: str, ruling: claims.Ruling) -> claims.Ruling:
        """Rule from memory, where the service's operator wants that."""
        dispatch = self._dispatcher.dispatch_of(uid)
        if dispatch is None or not self._claimer.has_read:
            return ruling
        service = self.store.config.services.get(dispatch.service)
        if service is None:
            return ruling
        memory = service.once_log_away is cfg.OnceLogAway.MEMORY
        home = routing.backends_for_key(
            self.store.config, *once.scope_of(dispatch)
        )[:1]
        if not memory or home != [self._settings.backend]:
            return ruling
        self._claimer.note(_claim_of(dispatch))
        return claims.Ruling(claims.Verdict.WON)

    def _hand_over(self) -> None:
        self._act(self._dispatcher.hand_over(self._clock.monotonic()))

    async def _tick_for_ever(self) -> None:
        while True:
            now = self._clock.monotonic()
            self._act(self._dispatcher.on_tick(now))
            idle = self._dispatcher.idle
            if self._dispatcher.leaving and idle:
                self._idle.set()
            self._tell_load(now)
            self._work_came.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_IDLE_TICK_S if idle else _TICK_S):
                    await self._nap(idle)

    async def _nap(self, idle: bool) -> None:
        """Sleep until the next tick, or until work ends idleness."""
        if idle:
            await self._work_came.wait()
        await asyncio.sleep(_TICK_S)

    def _tell_load(self, now: clock_lib.Instant) -> None:
        """Tell all entry hosts the load, as seldom as will do."""
        load = self._dispatcher.load()
        same = load == self._told
        # While something is open, silence must tell a frozen agent.
        quiet = same and self._dispatcher.idle
        every = _HEARTBEAT_EVERY if quiet else _LOAD_EVERY
        if self._told_at is not None and now - self._told_at < every:
            return
        self._told = load
        self._told_at = now
        self._tell_entries()
        for link in self._links.values():
            self._send(link, load)

    def _act(self, actions: list[events.Action]) -> None:
        for action in actions:
            if isinstance(action, events.Send):
                link = self._links.get(action.link)
                if link is not None:
                    self._send(link, action.msg)
            elif isinstance(action, events.Run):
                self._metrics.incr("dispatched")
                self._runner.start(action.dispatch)
            elif isinstance(action, events.AskClaim):
                dispatch = action.dispatch
                self._claimer.ask(dispatch.uid, _claim_of(dispatch))
            elif isinstance(action, events.Abort):
                self._runner.abort(action.uid)
            else:
                self._runner.resume(action.uid, action.events)

    def _send(self, link: wire.Link, msg: wire.Message) -> None:
        try:
            link.post(msg)
        except errors.LinkDownError:
            # Its loss is on the way to the dispatcher, which keeps the
            # answer for the entry host that comes back.
            logging.debug("link went down")


def _claim_of(dispatch: wire.Dispatch) -> claims.Claim:
    return claims.claim_of(once.scope_of(dispatch), once.fingerprint(dispatch))
