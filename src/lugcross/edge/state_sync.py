# SPDX-License-Identifier: Apache-2.0
"""Keeps a process's state up to date from the store and from peers."""

import asyncio
from collections.abc import Callable
import datetime
import functools
import random
import resource
from typing import final

from absl import logging

from lugcross import address
from lugcross import clock as clock_lib
from lugcross import connection_limits
from lugcross import desired
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import evacuation_reports
from lugcross.edge import lag as lag_lib
from lugcross.edge import messages
from lugcross.edge import peer_sync as peer_sync_lib
from lugcross.edge import peers as peers_lib
from lugcross.edge import refusal_reports
from lugcross.edge import registration as registration_lib
from lugcross.edge import settings as settings_lib
from lugcross.edge import state_transfer
from lugcross.edge import store_answer_times
from lugcross.edge import store_readers
from lugcross.edge import suspect_gossip
from lugcross.edge import suspect_store
from lugcross.edge import topic_follower
from lugcross import errors
from lugcross import experts
from lugcross import ids
from lugcross import platform
from lugcross import positions
from lugcross import rate_limits

#: Silence after which a peer no longer counts as the leader for expert maps or
#: as a reader of the store: two heartbeats, so that another takes over soon.
_ACTIVE_PEER_TIMEOUT = datetime.timedelta(seconds=1.1)
#: Silence after which a peer that holds the lease counts as dead. Heartbeats
#: come at least every 500 ms, and every 50 ms under load. If the peer is alive
#: after all, this process reads the store in vain and finds the lease renewed.
_LEASE_HOLDER_TIMEOUT = datetime.timedelta(milliseconds=600)
#: Time after a start for which this process does not become the leader without
#: a lease, as it has not heard from all peers yet. With a lease no such delay
#: is needed: only one process can get it.
_LEADER_START_DELAY = datetime.timedelta(seconds=2)
#: Greatest age of a copy that the store may come back from; whatever was
#: written earlier is in the copy.
_MAX_RESTORED_COPY_AGE = datetime.timedelta(seconds=60)
#: Time after a start for which this process waits for heartbeats before it
#: adopts the store's desired state: a peer may have a newer one. It is many
#: round trips, and short compared with a start.
_INITIAL_LISTEN_TIME = datetime.timedelta(milliseconds=250)
#: Time after a start for which this process waits to get a newer desired state
#: from a peer that has one; long enough to ask two peers.
_INITIAL_WAIT_FOR_NEWER = datetime.timedelta(seconds=1.5)
#: Time between two checks meanwhile.
_INITIAL_CHECK_INTERVAL_S = 0.02
_MS = datetime.timedelta(milliseconds=1)


@final
class StateSync:
    """Updates the edge state from the store and from peers.

    It also sends this process's heartbeats, serves the state requests of
    peers, and decides from their heartbeats whether this process reads the
    store and whether it may be the leader for expert maps.

    Attributes that hold functions are set by the owner before :meth:`run`.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        edge_state: edge_state_lib.EdgeState,
        store: platform.StoreClient,
        *,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._edge_state = edge_state
        self._store = store
        self._rng = rng
        self._incarnation = ids.new_token()
        self._leaving = False
        self._clock = clock
        self._started_at = clock.monotonic()
        self._started_ms = int(clock.now().timestamp() * 1000)
        #: Returns whether this process cannot be the leader for expert maps.
        self.is_unfit_to_lead: Callable[[], bool] = lambda: False
        #: Returns the generation of this process's lease, if it has one.
        self.lease_generation: Callable[[], experts.Generation | None] = (
            lambda: None
        )
        #: Returns whether the store answers this process about the lease.
        self.store_answers_about_lease: Callable[[], bool] = lambda: True
        #: Called with the generation of a peer's lease; 0 without one.
        self.on_peer_generation: Callable[[experts.Generation], None] = (
            lambda number: None
        )
        #: Returns the backend servers that this process saw in broken groups.
        self.seen_broken_backends: Callable[[], list[desired.BackendKey]] = (
            list
        )
        #: Returns the backend servers that slow down their groups, as seen by
        #: this process.
        self.seen_slow_backends: Callable[[], list[desired.BackendKey]] = list
        registry = edge_state.crash_tracker.registry
        self._suspect_gossip = suspect_gossip.SuspectGossip(registry, clock)
        self._suspect_store = suspect_store.SuspectStore(
            registry, store, clock
        )
        edge_state.crash_tracker.on_refused = self._suspect_store.save
        store.on_new_era = self._on_new_era
        #: Record of the desired state from the store that is not adopted yet,
        #: as a peer may have a newer one; empty without one.
        self._pending_desired: bytes = b""
        #: Newest era of the store that this process has handled.
        self._era: positions.Era | None = None
        self.store_health = topic_follower.StoreHealth(clock)
        self.store_answer_times = store_answer_times.StoreAnswerTimes(clock)
        self._lags = {
            topic: lag_lib.Lag(clock)
            for topic in (platform.OPERATOR_TOPIC, platform.BACKENDS_TOPIC)
        }
        self.peers = peers_lib.Peers(
            self._make_heartbeat,
            self._on_heartbeat,
            own_address=settings.listen.peers,
            domain=settings.domain,
            clock=clock,
        )
        self._registration = registration_lib.Registration(
            settings, store, self.peers, clock=clock, rng=rng
        )
        edge_state.count_known_peers = self.peers.count
        edge_state.evacuations.on_change = functools.partial(
            evacuation_reports.log_change, edge_state.backends
        )
        edge_state.limits.own_address = settings.listen.peers
        edge_state.limits.known_processes = self.peers.staying_addresses
        edge_state.reachability.count_peers_here = self._count_peers_here
        edge_state.limits.processes.least_count = 1 + len(
            {*settings.seeds} - {settings.listen.state}
        )
        edge_state.crash_tracker.on_change = functools.partial(
            self.peers.schedule_send, urgent=True
        )
        self.peer_sync = peer_sync_lib.PeerSync(
            settings,
            edge_state,
            self.peers,
            adopt=functools.partial(self._adopt, urgent=False),
            depends_on_peers=lambda: (
                self.store_health.failing or self.peers_read_store()
            ),
            store_was_away=self._store_was_away,
            clock=clock,
            rng=rng,
        )
        descriptor_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._state_server = state_transfer.StateServer(
            self.peer_sync.respond,
            closed=connection_limits.ClosedConnections(
                "state",
                functools.partial(edge_state.metrics.count_closed, "state"),
            ),
            max_connections=connection_limits.default_max_own_connections(
                descriptor_limit
            ),
            clock=clock,
        )

    async def start(self) -> None:
        """Start to listen for heartbeats and state requests of peers."""
        await self._state_server.start(
            *address.split_host_port(self._settings.listen.state)
        )
        host, port = address.split_host_port(self._settings.listen.peers)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self.peers, local_addr=(host, port)
        )
        for seed in self._settings.seeds:
            # All processes use the same port for heartbeats.
            self.peers.add(f"{address.split_host_port(seed)[0]}:{port}")

    async def run(self) -> None:
        """Register and keep in sync with peers until cancelled.

        Topics of the store are followed separately, by the followers of
        :mod:`lugcross.edge.store_followers`.
        """
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.peers.run())
            tasks.create_task(self._registration.run())
            tasks.create_task(self._adopt_pending_desired())
            tasks.create_task(self.peer_sync.run())
            tasks.create_task(self._suspect_store.run())

    def log_closed(self) -> None:
        """Log how many connections were closed for what their clients do."""
        self._state_server.log_closed()

    def leave(self) -> None:
        """Tell the peers that this process is shutting down."""
        self._leaving = True
        self.peers.schedule_send(urgent=True)

    def close(self) -> None:
        """Send a last heartbeat and stop listening for state requests."""
        self.peers.send_now()
        self._state_server.close()

    @property
    def incarnation(self) -> str:
        """Random token that identifies this run of the process."""
        return self._incarnation

    def is_eligible(self) -> bool:
        """Return whether this process may be the leader for expert maps."""
        return not self._leaving and not self.is_unfit_to_lead()

    def is_first_candidate(self) -> bool:
        """Return whether this process started first of those that may lead.

        Where a lease is needed, processes that the store does not answer are
        left out, as they cannot get it.
        """
        needs_lease = self._edge_state.bounds.fenced
        age = self._clock.monotonic() - self._started_at
        if age < _LEADER_START_DELAY and not needs_lease:
            return False
        timeout = (
            _LEASE_HOLDER_TIMEOUT if needs_lease else _ACTIVE_PEER_TIMEOUT
        )
        candidates = [
            experts.Candidate(heartbeat.started_ms, heartbeat.incarnation)
            for heartbeat in self._live_heartbeats(timeout)
            if heartbeat.started_ms
            and (heartbeat.reads_store or not needs_lease)
        ]
        own = experts.Candidate(self._started_ms, self._incarnation)
        return experts.elect_leader([*candidates, own]) == own

    def lease_held_by_peer(self) -> bool:
        """Return whether a live peer has the lease on expert maps."""
        heartbeats = self._live_heartbeats(_LEASE_HOLDER_TIMEOUT)
        return any(heartbeat.lease_generation for heartbeat in heartbeats)

    def peers_read_store(self) -> bool:
        """Return whether peers of this domain read the store for this one."""
        return not store_readers.reads_store(
            self._own_reader_candidate(), self._peer_reader_candidates()
        )

    def reader_index(self) -> int:
        """Return the number of store readers that come before this process.

        With 0 this process polls the store every few seconds; the reads of
        other readers may wait longer.
        """
        return store_readers.reader_index(
            self._own_reader_candidate(), self._peer_reader_candidates()
        )

    def _own_reader_candidate(self) -> store_readers.ReaderCandidate:
        return store_readers.ReaderCandidate(
            self._incarnation,
            not self.store_health.failing,
            self._settings.domain,
        )

    def _peer_reader_candidates(self) -> list[store_readers.ReaderCandidate]:
        """Return the live peers that may read the store for this process.

        Peers of an older build do not, since they may skip records.
        """
        return [
            store_readers.ReaderCandidate(
                heartbeat.incarnation,
                heartbeat.reads_store and heartbeat.has_all_records,
                heartbeat.domain,
            )
            for heartbeat in self._live_heartbeats(_ACTIVE_PEER_TIMEOUT)
        ]

    def _live_heartbeats(
        self, timeout: datetime.timedelta
    ) -> list[messages.Heartbeat]:
        """Return the newest heartbeats of live peers that are not leaving."""
        return [
            peer.heartbeat
            for peer in self.peers.live(timeout)
            if peer.heartbeat and not peer.heartbeat.leaving
        ]

    def apply_desired(
        self, result: platform.ReadResult, is_snapshot: bool
    ) -> None:
        """Apply the operator's records: evacuations and desired state.

        Evacuations come first: requests are served once there is a desired
        state.

        :param is_snapshot: whether ``result`` is a full listing.
        """
        if evacuation_reports.apply_read(
            self._edge_state.evacuations, result, is_snapshot=is_snapshot
        ):
            self.peers.schedule_send(urgent=True)
        for record in result.records:
            if record.key != platform.DESIRED_STATE_KEY or not record.value:
                continue
            if (
                self._edge_state.desired is None
                and not self._may_adopt_from_store()
            ):
                self._pending_desired = self._valid_or_pending(record.value)
            else:
                self._adopt(record.value, urgent=True)

    def apply_backends(
        self, result: platform.ReadResult, is_snapshot: bool
    ) -> None:
        """Apply records of the list of backend servers.

        :param is_snapshot: whether ``result`` replaces the whole list.
        """
        away = self._store_was_away()
        if is_snapshot:
            self._edge_state.backends.replace(result, store_was_away=away)
        else:
            self._edge_state.backends.apply(result, store_was_away=away)
        if result.records:
            self.peers.schedule_send()

    def _store_was_away(self) -> bool:
        """Return whether entries may lack as servers lost the store."""
        recovery = self._edge_state.bounds.store_recovery_time
        return self.store_health.failed_within(recovery)

    def _valid_or_pending(self, record: bytes) -> bytes:
        """Return a record if valid, otherwise the pending one so far."""
        try:
            platform.decode_desired(record)
        except errors.ChangeError as exc:
            logging.error(
                "invalid desired state ignored", extra={"why": str(exc)}
            )
            return self._pending_desired
        return record

    def _adopt(self, record: bytes, *, urgent: bool) -> None:
        """Adopt a desired state unless it is invalid or not newer.

        :param urgent: whether to tell other failure domains at once, as no
            peer may have it yet.
        """
        try:
            state = platform.decode_desired(record)
        except errors.ChangeError as exc:
            logging.error(
                "invalid desired state ignored", extra={"why": str(exc)}
            )
            return
        if self._edge_state.adopt(state, record):
            self.peers.schedule_send(urgent=urgent)

    def _make_heartbeat(
        self, known_addresses: list[str]
    ) -> messages.Heartbeat:
        _, port = address.split_host_port(self._settings.listen.state)
        return messages.Heartbeat(
            node=self._settings.node,
            incarnation=self._incarnation,
            domain=self._settings.domain,
            state_port=port,
            leaving=self._leaving,
            desired_version=self._edge_state.version,
            backends_end=self._edge_state.backends.end,
            running_requests={
                str(key): count
                for key, count in self._edge_state.loads.own_requests().items()
            },
            known_addresses=known_addresses,
            started_ms=0 if self.is_unfit_to_lead() else self._started_ms,
            broken_backends=[str(key) for key in self.seen_broken_backends()],
            lease_generation=self.lease_generation() or 0,
            reads_store=not self.store_health.failing
            and self.store_answers_about_lease(),
            workspace_uses=self._edge_state.workspace_usage.own_counts(),
            desired_age_ms=self._store_answer_age_ms(platform.OPERATOR_TOPIC),
            backends_age_ms=self._store_answer_age_ms(platform.BACKENDS_TOPIC),
            slow_backends=[str(key) for key in self.seen_slow_backends()],
            suspects=self._suspect_gossip.next_suspects(),
            leaving_backends=[
                str(key)
                for key in self._edge_state.backends.leaving_but_listed_ready()
            ],
            server_reports=refusal_reports.own_messages(
                self._edge_state.refusing, self._clock.monotonic()
            ),
            server_limits=rate_limits.own_limit_messages(
                self._edge_state.limits, self._clock.monotonic()
            ),
            evacuations=evacuation_reports.own_messages(
                self._edge_state.evacuations
            ),
            cold_servers=rate_limits.own_cold_messages(
                self._edge_state.limits
            ),
            unreachable_domains=[
                str(one)
                for one in self._edge_state.reachability.own_findings()
            ],
            has_all_records=True,
        )

    def _count_peers_here(self) -> int:
        """Return how many other processes of this domain are live."""
        return sum(
            peer.domain == self._settings.domain
            for peer in self.peers.live(_ACTIVE_PEER_TIMEOUT)
        )

    def _store_answer_age_ms(self, topic: str) -> int:
        """Return the age of the store's last answer in milliseconds.

        :returns: -1 if it has never answered, or too long ago to report.
        """
        age = self.store_answer_times.own_answer_age(topic)
        if age is None or age > messages.MAX_STORE_ANSWER_AGE_MS * _MS:
            return -1
        return int(age / _MS)

    def _on_heartbeat(self, peer: peers_lib.Peer) -> None:
        heartbeat = peer.heartbeat
        if heartbeat is None:
            return
        running = {
            desired.BackendKey(key): count
            for key, count in heartbeat.running_requests.items()
        }
        self._on_peer_era(positions.Position(heartbeat.backends_end))
        if evacuation_reports.merge(self._edge_state.evacuations, heartbeat):
            # Not urgent: the process that read the change told all others.
            self.peers.schedule_send()
        same_domain = heartbeat.domain == self._settings.domain
        self._edge_state.loads.record_peer_requests(
            heartbeat.node, running, same_domain=same_domain
        )
        self._edge_state.workspace_usage.apply_peer_counts(
            heartbeat.node, heartbeat.workspace_uses
        )
        broken = [desired.BackendKey(key) for key in heartbeat.broken_backends]
        self._edge_state.report_broken_groups(heartbeat.node, broken)
        slow = [desired.BackendKey(key) for key in heartbeat.slow_backends]
        self._edge_state.slow_servers.report(heartbeat.node, slow)
        if heartbeat.suspects:
            self._suspect_gossip.merge(heartbeat.suspects)
            self._edge_state.crash_tracker.note_crash_reports()
        refusal_reports.merge(
            self._edge_state.refusing, heartbeat, self._clock.monotonic()
        )
        limits = self._edge_state.limits
        rate_limits.apply_limit_messages(
            limits, heartbeat.server_limits, self._clock.monotonic()
        )
        if same_domain:
            self._edge_state.reachability.merge_report(
                heartbeat.node,
                map(ids.DomainName, heartbeat.unreachable_domains),
            )
        if heartbeat.cold_servers:
            rate_limits.apply_cold_messages(limits, heartbeat.cold_servers)
            self._edge_state.cold_recorder.log_changes("peer")
        for name in heartbeat.leaving_backends:
            self._edge_state.backends.mark_leaving(desired.BackendKey(name))
        self.on_peer_generation(experts.Generation(heartbeat.lease_generation))
        self._lags[platform.OPERATOR_TOPIC].note_available(
            heartbeat.desired_version
        )
        self._lags[platform.BACKENDS_TOPIC].note_available(
            heartbeat.backends_end
        )
        for topic, age_ms in (
            (platform.OPERATOR_TOPIC, heartbeat.desired_age_ms),
            (platform.BACKENDS_TOPIC, heartbeat.backends_age_ms),
        ):
            if age_ms >= 0 and heartbeat.has_all_records:
                self.store_answer_times.record_peer_answer(topic, age_ms * _MS)

    def _on_new_era(self, era: positions.Era, before: positions.Era) -> None:
        """Write again what the store may have lost.

        The store has come back from an older copy, which lacks the newest
        records. To keep calls few, only processes that registered lately
        register again, and only the first reader writes crash suspects again.
        """
        if era <= (self._era or 0):
            return
        self._era = era
        self._edge_state.evacuations.note_era(era)
        logging.warning(
            "store restored from older copy", extra={"era": era, "was": before}
        )
        self._edge_state.metrics.count_store_restore()
        since = self._clock.monotonic() - _MAX_RESTORED_COPY_AGE
        self._registration.register_again_if_done_since(since)
        if not self.reader_index():
            self._suspect_store.save_changed_since(since)

    def _on_peer_era(self, end: positions.Position) -> None:
        """Handle the era in a peer's heartbeat.

        A process that does not read the store learns of a new era this way.
        """
        era = positions.era(end)
        self._edge_state.evacuations.note_era(era)
        known = max(self._era or 0, self._store.era)
        if self._era is None:
            self._era = max(era, self._store.era)
        elif era > known:
            self._on_new_era(era, positions.Era(known))

    async def _adopt_pending_desired(self) -> None:
        """Adopt the store's desired state, unless a peer has a newer one.

        The store may just have come back from an older copy. A process that
        learned from a peer of a newer version must not serve by an older one.
        """
        while not self._may_adopt_from_store():
            await asyncio.sleep(_INITIAL_CHECK_INTERVAL_S)
        if self._pending_desired and self._edge_state.desired is None:
            self._adopt(self._pending_desired, urgent=True)

    def _may_adopt_from_store(self) -> bool:
        """Return whether a desired state from the store may be adopted now.

        Until this process has one, it waits a while for peers with a newer
        one. A process that knows no peer does not wait.
        """
        age = self._clock.monotonic() - self._started_at
        knows_no_peer = not self.peers.count()
        if (
            knows_no_peer
            or self._edge_state.desired is not None
            or age >= _INITIAL_WAIT_FOR_NEWER
        ):
            return True
        heartbeats = [
            peer.heartbeat for peer in self.peers.live() if peer.heartbeat
        ]
        newest = max(
            (heartbeat.desired_version for heartbeat in heartbeats), default=0
        )
        if not newest:
            # No peer heard so far has one; heartbeats of others may come.
            return bool(self._pending_desired) and age >= _INITIAL_LISTEN_TIME
        if not self._pending_desired:
            return False
        return newest <= platform.decode_desired(self._pending_desired).version

    def lag(self, topic: str) -> datetime.timedelta:
        """Return for how long this process has been behind in a topic."""
        own = {
            platform.OPERATOR_TOPIC: self._edge_state.version,
            platform.BACKENDS_TOPIC: int(self._edge_state.backends.end),
        }
        return self._lags[topic].duration(own[topic])

    def on_store_answer(self, topic: str) -> None:
        """Record that a read of the store has reached a topic's end."""
        self.store_answer_times.record_answer(topic)
        self._lags[topic].note_store_answer()
