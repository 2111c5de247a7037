# SPDX-License-Identifier: Apache-2.0
"""Where a process's knowledge comes from: the store, and peers."""

import asyncio
from collections.abc import Callable
import datetime
import functools
import random
from typing import final

from absl import logging

from lugcross import address
from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import answers as answers_lib
from lugcross.edge import casenews
from lugcross.edge import casestore
from lugcross.edge import follow
from lugcross.edge import lag as lag_lib
from lugcross.edge import messages
from lugcross.edge import news as news_lib
from lugcross.edge import peers as peers_lib
from lugcross.edge import questions
from lugcross.edge import readers
from lugcross.edge import registration as registration_lib
from lugcross.edge import settings as settings_lib
from lugcross.edge import world as world_lib
from lugcross import errors
from lugcross import experts
from lugcross import ids
from lugcross import platform
from lugcross import positions

#: Silence after which a process that looked after expert maps is taken as
#: gone; two of its heartbeats, so that a dead one's pass is not held long.
_DUTY_SILENT = datetime.timedelta(seconds=1.1)
#: Silence after which a holder of the lease is taken as gone: under load
#: processes tell each other every 50 ms, and at least every half second.
#: Who is wrong calls the store for nothing, and leaves a renewed lease.
_LEASE_SILENT = datetime.timedelta(milliseconds=600)
#: Time after a start in which a process leaves the duty to others: it has
#: not heard of all of them yet. A lease needs no such time: one process
#: gets it, whoever else tries.
_DUTY_AFTER = datetime.timedelta(seconds=2)
#: Age of the oldest copy that the store is expected to come back from; what
#: was written before stands in it.
_COPY_AGE_MOST = datetime.timedelta(seconds=60)
#: Time after a start in which peers are listened to before the desired state
#: that the store tells counts: many round trips, well within what a start
#: takes.
_HEAR_FIRST = datetime.timedelta(milliseconds=250)
#: Time after a start for which a newer one is waited for that a peer has:
#: two of them are asked within it.
_ASK_FIRST = datetime.timedelta(seconds=1.5)
#: Time between two looks meanwhile, in seconds.
_LOOK_FIRST_S = 0.02
_MS = datetime.timedelta(milliseconds=1)


@final
class Knowledge:
    """Puts what the store and the peers tell into the world."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        world: world_lib.World,
        store: platform.StoreClient,
        *,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._world = world
        self._store = store
        self._rng = rng
        self._incarnation = ids.new_token()
        self._leaving = False
        self._clock = clock
        self._begun = clock.monotonic()
        self._since_ms = int(clock.now().timestamp() * 1000)
        #: Whether this process cannot look after expert maps for now.
        self.unfit: Callable[[], bool] = lambda: False
        #: Number of this process's lease of expert maps, if it has one.
        self.generation: Callable[[], experts.Generation | None] = lambda: None
        #: Whether the store answers this process about the lease.
        self.can_claim: Callable[[], bool] = lambda: True
        #: Called with the number of a peer's lease.
        self.heard_generation: Callable[[experts.Generation], None] = (
            lambda number: None
        )
        #: Backend servers that this process has seen in broken groups.
        self.seen_broken: Callable[[], list[desired.BackendKey]] = list
        #: Backend servers that this process knows to hold their groups back.
        self.seen_slow: Callable[[], list[desired.BackendKey]] = list
        ledger = world.endings.ledger
        self._cases = casenews.CaseNews(ledger, clock)
        self._case_store = casestore.CaseStore(ledger, store, clock)
        world.endings.found = self._case_store.keep
        store.on_new_era = self._era_began
        #: The desired state that the store told first, until it is sure that
        #: no peer has a newer one.
        self._first_state: bytes = b""
        #: Newest era of the store that this process has acted on.
        self._era: positions.Era | None = None
        self.trouble = follow.Trouble(clock)
        self.answers = answers_lib.Answers(clock)
        self._lags = {
            topic: lag_lib.Lag(clock)
            for topic in (platform.OPERATOR_TOPIC, platform.BACKENDS_TOPIC)
        }
        self.peers = peers_lib.Peers(
            self._tell,
            self._heard,
            own=settings.listen.peers,
            domain=settings.domain,
            clock=clock,
        )
        self._registration = registration_lib.Registration(
            settings, store, self.peers, clock=clock, rng=rng
        )
        world.known_peers = self.peers.known
        world.endings.changed = functools.partial(
            self.peers.changed, urgent=True
        )
        self.news = news_lib.News(
            settings,
            world,
            self.peers,
            adopt=functools.partial(self._adopt, urgent=False),
            unread=lambda: self.trouble.now or self.rests(),
            clock=clock,
            rng=rng,
        )
        self._server = questions.StateServer(self.news.answer)

    async def start(self) -> None:
        """Listen for peers."""
        await self._server.start(
            *address.split_host_port(self._settings.listen.state)
        )
        host, port = address.split_host_port(self._settings.listen.peers)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self.peers, local_addr=(host, port)
        )
        for seed in self._settings.seeds:
            # Ports are the same on all machines.
            self.peers.add(f"{address.split_host_port(seed)[0]}:{port}")

    async def run(self) -> None:
        """Register, and ask peers whenever the store does not answer."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.peers.run())
            tasks.create_task(self._registration.run())
            tasks.create_task(self._begin_with_newest())
            tasks.create_task(self.news.run())
            tasks.create_task(self._case_store.run())

    def leave(self) -> None:
        """Tell the peers that this process is being stopped."""
        self._leaving = True
        self.peers.changed(urgent=True)

    def close(self) -> None:
        """Stop listening."""
        self.peers.tell_now()
        self._server.close()

    @property
    def incarnation(self) -> str:
        """Drawn anew at each start of a process."""
        return self._incarnation

    def fit(self) -> bool:
        """Tell whether this process may look after expert maps."""
        return not self._leaving and not self.unfit()

    def first(self) -> bool:
        """Tell whether it runs longest of those that may.

        Where a lease is needed, one that the store turns away cannot get
        it, and nobody waits for it.
        """
        leased = self._world.bounds.fenced
        age = self._clock.monotonic() - self._begun
        if age < _DUTY_AFTER and not leased:
            return False
        silent = _LEASE_SILENT if leased else _DUTY_SILENT
        claims = [
            experts.Claim(beat.since_ms, beat.incarnation)
            for beat in self._live_beats(silent)
            if beat.since_ms and (beat.reads or not leased)
        ]
        own = experts.Claim(self._since_ms, self._incarnation)
        return experts.holder([*claims, own]) == own

    def held_elsewhere(self) -> bool:
        """Tell whether a live peer has the lease of expert maps."""
        beats = self._live_beats(_LEASE_SILENT)
        return any(beat.generation for beat in beats)

    def rests(self) -> bool:
        """Tell whether peers of this domain ask the store for this one."""
        return not readers.asks(self._reader(), self._other_readers())

    def reads_after(self) -> int:
        """Return how many processes ask the store before this one."""
        return readers.rank(self._reader(), self._other_readers())

    def _reader(self) -> readers.Reader:
        return readers.Reader(
            self._incarnation, not self.trouble.now, self._settings.domain
        )

    def _other_readers(self) -> list[readers.Reader]:
        return [
            readers.Reader(beat.incarnation, beat.reads, beat.domain)
            for beat in self._live_beats(_DUTY_SILENT)
        ]

    def _live_beats(self, silent: datetime.timedelta) -> list[messages.Beat]:
        """Return the newest news of peers that may have the duty."""
        return [
            peer.beat
            for peer in self.peers.live(silent)
            if peer.beat and not peer.beat.leaving
        ]

    def take_desired(self, tail: platform.ReadResult, newest: bool) -> None:
        """Take over records of the operator."""
        del newest
        for record in tail.records:
            if record.key != platform.DESIRED_STATE_KEY or not record.value:
                continue
            if self._world.desired is None and not self._may_begin():
                self._first_state = self._readable(record.value)
            else:
                self._adopt(record.value, urgent=True)

    def take_backends(self, tail: platform.ReadResult, newest: bool) -> None:
        """Take over records of backend servers."""
        contact = self._world.bounds.contact
        away = self.trouble.within(contact)
        if newest:
            self._world.backends.replace(tail, store_was_away=away)
        else:
            self._world.backends.apply(tail, store_was_away=away)
        if tail.records:
            self.peers.changed()

    def _readable(self, record: bytes) -> bytes:
        """Return a record of the desired state if it can be read."""
        try:
            platform.decode_desired(record)
        except errors.ChangeError as exc:
            logging.error("desired state kept out", extra={"why": str(exc)})
            return self._first_state
        return record

    def _adopt(self, record: bytes, *, urgent: bool) -> None:
        """Put a desired state in force.

        :param urgent: whether nobody else may know of it yet.
        """
        try:
            state = platform.decode_desired(record)
        except errors.ChangeError as exc:
            logging.error("desired state kept out", extra={"why": str(exc)})
            return
        if self._world.adopt(state, record):
            self.peers.changed(urgent=urgent)

    def _tell(self, known: list[str]) -> messages.Beat:
        _, port = address.split_host_port(self._settings.listen.state)
        return messages.Beat(
            node=self._settings.node,
            incarnation=self._incarnation,
            domain=self._settings.domain,
            state_port=port,
            leaving=self._leaving,
            version=self._world.version,
            end=self._world.backends.end,
            running={
                str(key): count
                for key, count in self._world.loads.own().items()
            },
            known=known,
            since_ms=0 if self.unfit() else self._since_ms,
            broken=[str(key) for key in self.seen_broken()],
            generation=self.generation() or 0,
            reads=not self.trouble.now and self.can_claim(),
            uses=self._world.uses.own(),
            desired_ms=self._answered_ms(platform.OPERATOR_TOPIC),
            backends_ms=self._answered_ms(platform.BACKENDS_TOPIC),
            slow=[str(key) for key in self.seen_slow()],
            suspects=self._cases.tell(),
            leaving_servers=[
                str(key) for key in self._world.backends.said_only()
            ],
        )

    def _answered_ms(self, topic: str) -> int:
        """Return how long ago the store answered; -1 if too long ago."""
        age = self.answers.own_age(topic)
        if age is None or age > messages.AGE_MOST_MS * _MS:
            return -1
        return int(age / _MS)

    def _heard(self, peer: peers_lib.Peer) -> None:
        beat = peer.beat
        if beat is None:
            return
        running = {
            desired.BackendKey(key): count
            for key, count in beat.running.items()
        }
        self._heard_era(positions.Position(beat.end))
        near = beat.domain == self._settings.domain
        self._world.loads.peer_told(beat.node, running, near=near)
        self._world.uses.peer_told(beat.node, beat.uses)
        broken = [desired.BackendKey(key) for key in beat.broken]
        self._world.outages.told(beat.node, broken)
        slow = [desired.BackendKey(key) for key in beat.slow]
        self._world.slow.told(beat.node, slow)
        self._cases.hear(beat.suspects)
        for name in beat.leaving_servers:
            self._world.backends.says_it_leaves(desired.BackendKey(name))
        self.heard_generation(experts.Generation(beat.generation))
        self._lags[platform.OPERATOR_TOPIC].heard(beat.version)
        self._lags[platform.BACKENDS_TOPIC].heard(beat.end)
        for topic, age_ms in (
            (platform.OPERATOR_TOPIC, beat.desired_ms),
            (platform.BACKENDS_TOPIC, beat.backends_ms),
        ):
            if age_ms >= 0:
                self.answers.told(topic, age_ms * _MS)

    def _era_began(self, era: positions.Era, before: positions.Era) -> None:
        """Have written again what the store may have lost of ours.

        It comes back from a copy some seconds old: what stood there for long
        is in it, so that few processes call.
        """
        if era <= (self._era or 0):
            return
        self._era = era
        logging.warning("store is a copy", extra={"era": era, "was": before})
        self._world.figures.era_began()
        since = self._clock.monotonic() - _COPY_AGE_MOST
        self._registration.again(since)
        if not self.reads_after():
            self._case_store.keep_again(since)

    def _heard_era(self, end: positions.Position) -> None:
        """Note the era of a peer's news; few processes ask the store."""
        era = positions.era(end)
        known = max(self._era or 0, self._store.era)
        if self._era is None:
            self._era = max(era, self._store.era)
        elif era > known:
            self._era_began(era, positions.Era(known))

    async def _begin_with_newest(self) -> None:
        """Adopt what the store told first, unless a peer has a newer one.

        The store may have come back from a copy a moment ago; who has heard
        of a later version must not serve by an earlier one.
        """
        while not self._may_begin():
            await asyncio.sleep(_LOOK_FIRST_S)
        if self._first_state and self._world.desired is None:
            self._adopt(self._first_state, urgent=True)

    def _may_begin(self) -> bool:
        age = self._clock.monotonic() - self._begun
        alone = not self.peers.known()
        if alone or self._world.desired is not None or age >= _ASK_FIRST:
            return True
        beats = [peer.beat for peer in self.peers.live() if peer.beat]
        newest = max((beat.version for beat in beats), default=0)
        if not newest:
            # Nobody that was heard knows one; others may be heard yet.
            return bool(self._first_state) and age >= _HEAR_FIRST
        if not self._first_state:
            return False
        return newest <= platform.decode_desired(self._first_state).version

    def lag(self, topic: str) -> datetime.timedelta:
        """Return since when this process knows of news that it lacks."""
        own = {
            platform.OPERATOR_TOPIC: self._world.version,
            platform.BACKENDS_TOPIC: int(self._world.backends.end),
        }
        return self._lags[topic].age(own[topic])

    def answered(self, topic: str) -> None:
        """Note that the store has told all that it has of a topic."""
        self.answers.answered(topic)
        self._lags[topic].restart()
