# SPDX-License-Identifier: Apache-2.0
"""Who waits for which exchange, and what they may be sent now."""

from collections.abc import Callable
from typing import final

from lugcross.agent import events
from lugcross.agent import exchange as exchange_lib
from lugcross import clock as clock_lib
from lugcross import ids
from lugcross import wire


@final
class Delivery:
    """Sends answers to the entry hosts that wait for them.

    :param emit: takes each action.
    :param load: how busy the agent is; sent with each last word.
    """

    def __init__(
        self,
        emit: Callable[[events.Action], None],
        load: Callable[[], wire.AgentLoad],
    ) -> None:
        self._emit = emit
        self._load = load
        self._streams: dict[
            tuple[exchange_lib.LinkId, ids.StreamId], exchange_lib.Exchange
        ] = {}

    @property
    def waiting(self) -> int:
        """Requests of entry hosts that still wait for something."""
        return len(self._streams)

    def subscribe(
        self, exchange: exchange_lib.Exchange, sub: exchange_lib.Subscriber
    ) -> None:
        """Let ``sub`` wait for ``exchange`` and send what there is."""
        exchange.alone_since = None
        exchange.subscribers.append(sub)
        self._streams[sub.link, sub.id] = exchange
        self.pump(exchange)

    def unsubscribe(
        self,
        link: exchange_lib.LinkId,
        id: ids.StreamId,
        now: clock_lib.Instant,
    ) -> exchange_lib.Exchange | None:
        """Forget a subscriber; return the exchange it waited for."""
        exchange = self._streams.pop((link, id), None)
        if exchange is None:
            return None
        unsent = exchange.unsent
        exchange.subscribers = [
            sub
            for sub in exchange.subscribers
            if (sub.link, sub.id) != (link, id)
        ]
        if not exchange.subscribers:
            exchange.alone_since = now
            if exchange.once and exchange.state is exchange_lib.State.RUNNING:
                # It runs to its end though nobody reads any more.
                self._emit(events.Resume(exchange.uid, unsent))
        return exchange

    def drop_link(
        self, link: exchange_lib.LinkId, now: clock_lib.Instant
    ) -> None:
        """Forget every subscriber on a lost link."""
        for key in [key for key in self._streams if key[0] == link]:
            self.unsubscribe(*key, now)

    def credit(self, link: exchange_lib.LinkId, msg: wire.Credit) -> None:
        """Send more to an entry host that took what it had."""
        exchange = self._streams.get((link, msg.id))
        if exchange is None:
            return
        for sub in exchange.subscribers:
            if (sub.link, sub.id) == (link, msg.id):
                sub.credit += msg.events
        if not exchange.once and len(exchange.subscribers) == 1:
            exchange.drop_before(msg.have)
        self.pump(exchange)

    def pump(self, exchange: exchange_lib.Exchange) -> None:
        """Send every subscriber what it may have and does not."""
        before = exchange.unsent
        for sub in list(exchange.subscribers):
            self._pump_one(exchange, sub)
        taken = before - exchange.unsent
        if taken > 0 and exchange.state is exchange_lib.State.RUNNING:
            self._emit(events.Resume(exchange.uid, taken))

    def fail(
        self,
        link: exchange_lib.LinkId,
        id: ids.StreamId,
        failure: exchange_lib.Failure,
    ) -> None:
        """Tell one request that there will be no whole answer."""
        msg = wire.Failure(
            id=id,
            kind=failure.kind,
            outcome=failure.outcome,
            what=failure.what,
            remedy=failure.remedy,
            retry_after_ms=failure.retry_after_ms,
            holder=failure.holder,
        )
        self._emit(events.Send(link, msg))

    def _pump_one(
        self, exchange: exchange_lib.Exchange, sub: exchange_lib.Subscriber
    ) -> None:
        self._send_start(exchange, sub)
        seq = sub.cursor
        taken = exchange.take(sub)
        if taken:
            chunk = wire.ResponseChunk(id=sub.id, seq=seq, events=taken)
            self._emit(events.Send(sub.link, chunk))
        ended = exchange.state is exchange_lib.State.ENDED
        if ended and sub.cursor >= exchange.total:
            self._send_last(exchange, sub)

    def _send_start(
        self, exchange: exchange_lib.Exchange, sub: exchange_lib.Subscriber
    ) -> None:
        if exchange.ran and not sub.started_sent:
            sub.started_sent = True
            self._emit(events.Send(sub.link, wire.Started(id=sub.id)))
        if exchange.head is not None and not sub.head_sent:
            sub.head_sent = True
            status, headers = exchange.head
            head = wire.ResponseHead(id=sub.id, status=status, headers=headers)
            self._emit(events.Send(sub.link, head))

    def _send_last(
        self, exchange: exchange_lib.Exchange, sub: exchange_lib.Subscriber
    ) -> None:
        if exchange.failure is None:
            end = wire.ResponseEnd(id=sub.id, events=exchange.total)
            self._emit(events.Send(sub.link, end))
        else:
            self.fail(sub.link, sub.id, exchange.failure)
        self._emit(events.Send(sub.link, self._load()))
        exchange.subscribers.remove(sub)
        del self._streams[sub.link, sub.id]
