# SPDX-License-Identifier: Apache-2.0
"""An entry host's links to the agents, and the exchanges on them."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import itertools
import queue
import random
from typing import final

from absl import logging

from lugcross import cfg
from lugcross import clock as clock_lib
from lugcross.entry import lifecycle
from lugcross import errors
from lugcross import ids
from lugcross import logservice
from lugcross import membership
from lugcross import observe
from lugcross import routing
from lugcross import wire

_RETRY_FIRST_S = 0.05
_RETRY_MOST_S = 2.0
#: Agents tell their load twice a second while something is open, and
#: every 5 s otherwise; a longer silence means that one is frozen.
SILENCE_BUSY = clock_lib.seconds(2.5)
SILENCE_IDLE = clock_lib.seconds(12)
#: How long a call waits for a link back to its agent, in seconds.
REATTACH_PATIENCE_S = 3.0

#: What a call hears of its exchange.
Heard = lifecycle.Event


@final
class Call:
    """One dispatch and where its news arrive.

    :param uid: drawn for this dispatch; names it after a lost link.
    """

    def __init__(self, peer: "Peer", uid: str) -> None:
        self.peer = peer
        self.uid = uid
        self.incarnation = peer.incarnation
        self.link = peer.link
        self.id = ids.StreamId(0)
        self.sent_id = ids.StreamId(0)
        self.opened_at = clock_lib.Instant()
        self.closed = False
        self.inbox: queue.SimpleQueue[Heard] = queue.SimpleQueue()


@final
class Peer:
    """One backend server's agent as this entry host sees it.

    Its fields are set in the loop's thread; reading one from another
    thread gives a value that was true a moment ago.
    """

    def __init__(self, backend: cfg.BackendServer) -> None:
        self.backend = backend
        self.link: wire.Link | None = None
        self.incarnation = ids.Incarnation("")
        self.load = wire.AgentLoad(
            queued=0, running=0, capacity=backend.capacity, waiting=0
        )
        self.leaving = ""
        self.sent_since_load = 0
        self.calls: dict[ids.StreamId, Call] = {}
        self.health = routing.BackendHealth()
        self.heard_at = clock_lib.Instant()
        self.changed = asyncio.Event()
        self.why_down = "no link yet"

    @property
    def name(self) -> ids.BackendName:
        """Name of the backend server."""
        return ids.BackendName(self.backend.name)

    def candidate(
        self, hosts_leaving: frozenset[str], now: clock_lib.Instant
    ) -> routing.Candidate:
        """Return what the choice goes by."""
        leaving = (
            self.backend.leaving
            or bool(self.leaving)
            or self.backend.name in hosts_leaving
        )
        return routing.Candidate(
            name=self.name,
            domain=ids.DomainName(self.backend.domain),
            usable=self.link is not None
            and not leaving
            and not self.silent(now),
            reported_requests=self.load.queued + self.load.running,
            sent_since_report=self.sent_since_load,
            capacity=self.load.capacity,
            avoided=self.health.is_avoided(now),
            step_ms=self.load.step_ms,
        )

    def silent(self, now: clock_lib.Instant) -> bool:
        """Tell whether the agent should have been heard by now."""
        patience = SILENCE_BUSY if self.calls else SILENCE_IDLE
        return now - self.heard_at > patience

    def receive(self, msg: wire.Message, now: clock_lib.Instant) -> None:
        """Take a message from the agent."""
        self.heard_at = now
        if isinstance(msg, wire.AgentLoad):
            self.load = msg
            self.sent_since_load = 0
        elif isinstance(msg, wire.Leaving):
            self.leaving = msg.reason
        elif isinstance(msg, _FOR_CALLS):
            last = isinstance(msg, wire.ResponseEnd | wire.Failure)
            call = self.calls.get(msg.id)
            if last:
                self.calls.pop(msg.id, None)
            # None for a call that was cancelled: its late answer must
            # reach nobody.
            if call is not None:
                call.inbox.put(msg)


_FOR_CALLS = (
    wire.Started
    | wire.ResponseHead
    | wire.ResponseChunk
    | wire.ResponseEnd
    | wire.Failure
)


@final
class Upstream:
    """Keeps the links up and carries calls over them.

    :param loop: the thread that all links live in.
    """

    def __init__(
        self,
        loop: wire.LoopThread,
        *,
        secret: str,
        node: ids.NodeName,
        domain: ids.DomainName,
        clock: clock_lib.Clock,
        journal: observe.DecisionJournal,
        store: cfg.Store,
    ) -> None:
        self._loop = loop
        self._feed = cfg.Feed(store)
        self._neighbours = membership.LiveEntryHosts(node, domain)
        self._tell_relay: Callable[[bool], None] = lambda relay: None
        self._clock = clock
        self._journal = journal
        self._secret = secret
        self._node = node
        self._domain = domain
        self._peers: dict[ids.BackendName, Peer] = {}
        self._tasks: dict[ids.BackendName, asyncio.Task[None]] = {}
        self._numbers = itertools.count(1)
        self.hosts_leaving: frozenset[str] = frozenset()

    def adopt(self, backends: Iterable[cfg.BackendServer]) -> None:
        """Keep links to exactly these; call in the loop's thread."""
        wanted = {ids.BackendName(b.name): b for b in backends}
        for name in [name for name in self._peers if name not in wanted]:
            self._drop(name)
        for name, backend in wanted.items():
            peer = self._peers.get(name)
            if peer is not None and _place(peer.backend) == _place(backend):
                peer.backend = backend
                continue
            if peer is not None:
                self._drop(name)
            self._add(Peer(backend))

    def on_neighbours(self, listener: Callable[[bool], None]) -> None:
        """Tell ``listener`` whether this entry host is a relay."""
        self._tell_relay = listener

    def entries(self) -> list[wire.LinkedEntry]:
        """Return the entry hosts that agents see."""
        return self._neighbours.all()

    def offset_of(self, peer: Peer) -> ids.Offset:
        """Return the offset of the configuration that an agent has."""
        return self._feed.offset_of(peer.link)

    def pass_on(self, records: Sequence[logservice.Record]) -> None:
        """Tell peers what was put in force; in the loop's thread."""
        self._post_all(self._feed.on_store(records))

    def peer(self, name: ids.BackendName) -> Peer | None:
        """Return what is known of one backend server."""
        return self._peers.get(name)

    def peers(self) -> list[Peer]:
        """Return all backend servers that links are kept to."""
        return list(self._peers.values())

    def open(self, peer: Peer, uid: str) -> Call:
        """Begin a call; :meth:`send` carries its dispatch."""
        call = Call(peer, uid)
        call.opened_at = self._clock.monotonic()
        peer.health.record_sent(call.opened_at)
        self._number(call)
        call.sent_id = call.id
        return call

    def send(self, call: Call, msg: wire.Dispatch) -> None:
        """Send a dispatch.

        :raises errors.LinkDownError: nothing was sent.
        """
        call.peer.sent_since_load += 1
        try:
            # On the link that the call was opened on and on no other:
            # the agent tells by it whether the dispatch arrived.
            _usable(call, call.link).post(msg)
        except errors.LinkDownError:
            self.close(call)
            raise

    def post(self, call: Call, msg: wire.Cancel | wire.Credit) -> None:
        """Send what may be lost with the link."""
        try:
            _usable(call, call.peer.link).post(msg)
        except errors.LinkDownError:
            logging.debug("link went down")

    def reattach(self, call: Call, *, after: int, credit: int) -> None:
        """Go on with a call over the agent's next link.

        The call hears :class:`lifecycle.AgentGone` if it is not the
        same incarnation of the agent any more.
        """
        self._loop.submit(self._reattach(call, after, credit))

    def silent(self, call: Call) -> bool:
        """Tell whether a call's agent has said nothing for too long."""
        heard = max(call.peer.heard_at, call.opened_at)
        return self._clock.monotonic() - heard > SILENCE_BUSY

    def fault(self, peer: Peer) -> None:
        """Note that a backend server failed a request."""
        if peer.health.record_failure(self._clock.monotonic()):
            self._journal.record(
                observe.DecisionTopic.EJECTION,
                peer.name,
                rule=f"{routing.health.FAILURES_TO_EJECT} faults in a row",
                result="ejected",
            )

    def candidates(self, service: ids.ServiceName) -> list[routing.Candidate]:
        """Return what is known of the backend servers of a service."""
        now = self._clock.monotonic()
        return [
            peer.candidate(self.hosts_leaving, now)
            for peer in self.peers()
            if service in peer.backend.services
        ]

    def close(self, call: Call) -> None:
        """Forget a call; what still arrives for it reaches nobody."""
        call.closed = True
        call.peer.calls.pop(call.id, None)

    async def stop(self) -> None:
        """Close all links."""
        tasks = list(self._tasks.values())
        for name in list(self._peers):
            self._drop(name)
        await asyncio.gather(*tasks, return_exceptions=True)

    def _number(self, call: Call) -> None:
        # A new number for each attempt: a late answer to an old one
        # finds no call instead of another caller's.
        call.id = ids.StreamId(next(self._numbers))
        call.peer.calls[call.id] = call

    def _add(self, peer: Peer) -> None:
        self._peers[peer.name] = peer
        self._tasks[peer.name] = asyncio.get_running_loop().create_task(
            self._keep_up(peer)
        )

    def _drop(self, name: ids.BackendName) -> None:
        self._wake(self._peers.pop(name))
        self._tasks.pop(name).cancel()

    async def _keep_up(self, peer: Peer) -> None:
        retry_s = _RETRY_FIRST_S
        while True:
            try:
                await self._run_link(peer)
                retry_s = _RETRY_FIRST_S
            except errors.WireError as exc:
                peer.why_down = str(exc)
            # Jitter keeps all entry hosts from returning at one moment.
            await asyncio.sleep(retry_s * random.uniform(0.5, 1))
            retry_s = min(retry_s * 2, _RETRY_MOST_S)

    async def _run_link(self, peer: Peer) -> None:
        link, welcome = await wire.connect(
            peer.backend.host,
            peer.backend.port,
            secret=self._secret,
            node=self._node,
            domain=self._domain,
        )
        if welcome.backend != peer.name:
            await link.close()
            raise errors.HandshakeError(
                f"{welcome.backend} answers in place of {peer.name}",
                remedy="check host and port of both backend servers",
            )
        peer.incarnation = welcome.incarnation
        peer.leaving = ""
        peer.heard_at = self._clock.monotonic()
        peer.link = link
        self._wake(peer)
        try:
            self._post_all(self._feed.on_link(link))
            await link.run(lambda msg: self._receive(peer, link, msg))
        finally:
            peer.link = None
            self._feed.on_link_lost(link)
            self._neighbours.on_link_lost(link)
            self._tell_relay(self._neighbours.is_log_relay())
            peer.why_down = "the link was lost"
            self._lose_calls(peer)

    def _receive(self, peer: Peer, link: wire.Link, msg: wire.Message) -> None:
        if isinstance(msg, wire.LinkedEntries):
            self._neighbours.update_seen(link, msg.seen)
            self._tell_relay(self._neighbours.is_log_relay())
            return
        peer.receive(msg, self._clock.monotonic())
        self._post_all(self._feed.on_message(link, msg))

    def _post_all(self, posts: Iterable[cfg.Post]) -> None:
        for post in posts:
            assert isinstance(post.link, wire.Link)
            with contextlib.suppress(errors.LinkDownError):
                post.link.post(post.msg)

    def _lose_calls(self, peer: Peer) -> None:
        calls = list(peer.calls.values())
        peer.calls.clear()
        for call in calls:
            call.inbox.put(lifecycle.LinkLost())

    def _wake(self, peer: Peer) -> None:
        peer.changed.set()
        peer.changed = asyncio.Event()

    async def _reattach(self, call: Call, after: int, credit: int) -> None:
        peer = call.peer
        try:
            async with asyncio.timeout(REATTACH_PATIENCE_S):
                while peer.link is None:
                    await peer.changed.wait()
        except TimeoutError:
            call.inbox.put(lifecycle.AgentGone())
            return
        if call.closed:
            return
        if peer.incarnation != call.incarnation:
            call.inbox.put(lifecycle.AgentGone())
            return
        self._number(call)
        msg = wire.Reattach(
            id=call.id,
            uid=call.uid,
            after=after,
            credit=credit,
            previous_link=call.link.num if call.link else 0,
            previous_id=call.sent_id,
        )
        try:
            peer.link.post(msg)
        except errors.LinkDownError:
            call.inbox.put(lifecycle.LinkLost())


def _usable(call: Call, link: wire.Link | None) -> wire.Link:
    if link is None:
        raise errors.LinkDownError(
            f"no link to {call.peer.name} ({call.peer.why_down})",
            remedy="send to another backend server",
        )
    return link


def _place(backend: cfg.BackendServer) -> tuple[str, int]:
    return backend.host, backend.port
