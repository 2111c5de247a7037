# SPDX-License-Identifier: Apache-2.0
"""What an agent decides, without I/O: messages in, actions out.

The shell around it (:mod:`lugcross.agent.app`) owns sockets, threads
and time; it calls one method an event and carries out the actions.
"""

import datetime
import functools
from typing import final

from lugcross.agent import arrivals
from lugcross.agent import claims
from lugcross.agent import delivery
from lugcross.agent import events
from lugcross.agent import exchange as exchange_lib
from lugcross.agent import failures
from lugcross.agent import kept
from lugcross.agent import once as once_lib
from lugcross.agent import pace
from lugcross import clock as clock_lib
from lugcross import errors
from lugcross import ids
from lugcross import shares
from lugcross import wire

#: How long an exchange waits for its entry host after a lost link.
LINGER = datetime.timedelta(seconds=10)

_SPEED_FIRST = 500.0
_SPEED_GAIN = 0.1


@final
class Dispatcher:
    """Queue, slots, answers and the at-most-once record of one agent.

    :param incarnation: of this process; other dispatches are refused.
    :param weight: the configured share of a group.
    :param capacity: requests that run side by side.
    """

    def __init__(
        self,
        *,
        incarnation: ids.Incarnation,
        weight: shares.fair_queue.GroupWeight,
        capacity: int = 1,
    ) -> None:
        self.capacity = capacity
        self.max_queue = 256
        self.leaving = ""
        self.once = once_lib.OnceRecord()
        self._incarnation = incarnation
        self._queue = shares.FairQueue(weight)
        self._exchanges: dict[str, exchange_lib.Exchange] = {}
        self._arrivals = arrivals.Arrivals()
        self._kept = kept.KeptAnswers()
        self._running: dict[str, clock_lib.Instant] = {}
        self._speed = _SPEED_FIRST
        self._pace = pace.Pace()
        self._actions: list[events.Action] = []
        self._delivery = delivery.Delivery(self._emit, self.load)

    # What happens, one method an event.

    def on_message(
        self,
        link: exchange_lib.LinkId,
        msg: wire.Message,
        now: clock_lib.Instant,
    ) -> list[events.Action]:
        """Take a message from an entry host."""
        _on_message(msg, self, link, now)
        return self._done()

    def on_link(self, link: exchange_lib.LinkId) -> None:
        """Take note of a new link."""
        self._arrivals.open(link)

    def on_link_lost(
        self, link: exchange_lib.LinkId, now: clock_lib.Instant
    ) -> list[events.Action]:
        """Keep what the link carried for an entry host that returns."""
        self._delivery.drop_link(link, now)
        return self._done()

    def on_runner(
        self, uid: str, event: events.RunnerEvent, now: clock_lib.Instant
    ) -> list[events.Action]:
        """Take news of a running request."""
        exchange = self._exchanges.get(uid)
        if exchange is None or exchange.state is exchange_lib.State.ENDED:
            self._free_slot(uid, event, now)
            return self._done()
        _on_runner(event, self, exchange, now)
        return self._done()

    def on_ruling(
        self, uid: str, ruling: claims.Ruling, now: clock_lib.Instant
    ) -> list[events.Action]:
        """Take what the log says of the claim of a keyed request."""
        exchange = self._exchanges.get(uid)
        claiming = exchange_lib.State.CLAIMING
        if exchange is None or exchange.state is not claiming:
            return self._done()
        if ruling.verdict is claims.Verdict.WON:
            exchange.state = exchange_lib.State.QUEUED
            self._queue.push(exchange.ticket)
            self._fill_slots(now)
        else:
            self._end(exchange, now, failures.of_ruling(ruling))
        return self._done()

    def hand_over(self, now: clock_lib.Instant) -> list[events.Action]:
        """End what still runs at the end of the grace.

        Entry hosts let another replica go on from the last token.
        """
        for exchange in list(self._exchanges.values()):
            if exchange.state is not exchange_lib.State.ENDED:
                self._emit(events.Abort(exchange.uid))
                failure = (
                    failures.HANDED_OVER
                    if exchange.dispatched
                    else failures.NOT_STARTED
                )
                self._end(exchange, now, failure)
        return self._done()

    def on_tick(self, now: clock_lib.Instant) -> list[events.Action]:
        """Give up what is past its time; call a few times a second."""
        self._pace.tick(now)
        for exchange in list(self._exchanges.values()):
            self._check_age(exchange, now)
        for uid in self.once.expire(now):
            self._kept.drop(uid)
        return self._done()

    def set_leaving(self, reason: str) -> None:
        """Take nothing new from now on; empty to take work again."""
        self.leaving = reason

    # What can be asked.

    @property
    def idle(self) -> bool:
        """Whether nothing waits, runs or has still to be delivered."""
        busy = self._running or len(self._queue) or self._delivery.waiting
        return not busy

    def dispatch_of(self, uid: str) -> wire.Dispatch | None:
        """Return the dispatch of an exchange that is known here."""
        exchange = self._find(uid)
        return exchange.dispatch if exchange else None

    def load(self) -> wire.AgentLoad:
        """Return how busy this agent is."""
        return wire.AgentLoad(
            queued=len(self._queue),
            running=len(self._running),
            capacity=self.capacity,
            waiting=self._queue.waiting_cost,
            step_ms=self._pace.step_ms(),
        )

    # Dispatch and reattach.

    def dispatch(
        self,
        link: exchange_lib.LinkId,
        msg: wire.Dispatch,
        now: clock_lib.Instant,
    ) -> None:
        """Take a request, or refuse it with proof that it did not run."""
        refusal = self._refusal(link, msg)
        self._arrivals.note(link, msg.id)
        if refusal is not None:
            self._delivery.fail(link, msg.id, refusal)
            return
        if msg.once_key and self.once.find(msg) is once_lib.Finding.SAME:
            self._attach_repeat(link, msg)
            return
        deadline = now + datetime.timedelta(milliseconds=msg.timeout_ms)
        exchange = exchange_lib.Exchange(msg, deadline)
        self._exchanges[msg.uid] = exchange
        self._subscribe(exchange, link, msg, 0)
        if msg.once_key:
            self.once.take(msg)
            self._emit(events.AskClaim(msg))
            return
        self._queue.push(exchange.ticket)
        self._fill_slots(now)

    def reattach(self, link: exchange_lib.LinkId, msg: wire.Reattach) -> None:
        """Go on with a dispatch whose link was lost."""
        exchange = self._find(msg.uid)
        if exchange is None:
            was_link = exchange_lib.LinkId(msg.previous_link)
            lost = self._arrivals.certainly_not(was_link, msg.previous_id)
            failure = failures.NEVER_ARRIVED if lost else failures.FORGOTTEN
            self._delivery.fail(link, msg.id, failure)
            return
        if not exchange.has(msg.after):
            self._delivery.fail(link, msg.id, failures.ANSWER_GONE)
            return
        self._subscribe(exchange, link, msg, msg.after)

    def cancel(
        self,
        link: exchange_lib.LinkId,
        id: ids.StreamId,
        now: clock_lib.Instant,
    ) -> None:
        """Forget a caller that no longer waits."""
        exchange = self._delivery.unsubscribe(link, id, now)
        if exchange is not None and not exchange.subscribers:
            self._abandon(exchange, now)

    def credit(self, link: exchange_lib.LinkId, msg: wire.Credit) -> None:
        """Send more to an entry host that took what it had."""
        self._delivery.credit(link, msg)

    def _refusal(
        self, link: exchange_lib.LinkId, msg: wire.Dispatch
    ) -> exchange_lib.Failure | None:
        if msg.incarnation != self._incarnation:
            return failures.WRONG_INCARNATION
        if self._arrivals.barred(link):
            return failures.NEVER_ARRIVED
        if msg.uid in self._exchanges:
            return failures.USED_TWICE
        finding = self.once.find(msg) if msg.once_key else once_lib.Finding.NEW
        if finding is once_lib.Finding.SAME:
            return None
        if finding is once_lib.Finding.OTHER_BODY:
            return failures.KEY_REUSED
        if finding is once_lib.Finding.FULL:
            return failures.KEYS_FULL
        if self.leaving:
            return failures.failure(
                errors.FailureKind.DRAINING,
                errors.Outcome.NOT_RUN,
                f"this backend server is leaving ({self.leaving})",
                "ask again; another backend server will take it",
            )
        return self._overload(msg)

    def _overload(self, msg: wire.Dispatch) -> exchange_lib.Failure | None:
        wait_s = self._queue.waiting_cost / self._speed
        full = len(self._queue) >= self.max_queue
        late = wait_s * 1000 > msg.timeout_ms
        if not full and not late:
            return None
        return failures.failure(
            errors.FailureKind.OVERLOADED,
            errors.Outcome.NOT_RUN,
            "the queue is full" if full else "its turn would come too late",
            "ask again after the time in Retry-After",
            retry_after_ms=max(1000, int(wait_s * 1000)),
        )

    def _attach_repeat(
        self, link: exchange_lib.LinkId, msg: wire.Dispatch
    ) -> None:
        exchange = self._find(self.once.uid_of(msg))
        if exchange is None or not exchange.has(0):
            self._delivery.fail(link, msg.id, failures.RAN_BEFORE)
            return
        self._subscribe(exchange, link, msg, 0)

    # Slots.

    def _fill_slots(self, now: clock_lib.Instant) -> None:
        while len(self._running) < self.capacity:
            ticket = self._queue.pop()
            if ticket is None:
                return
            exchange = self._exchanges[ticket.uid]
            exchange.state = exchange_lib.State.RUNNING
            exchange.dispatched = True
            self._running[ticket.uid] = now
            self._actions.append(events.Run(exchange.dispatch))
            self._delivery.pump(exchange)

    def _free_slot(
        self, uid: str, event: events.RunnerEvent, now: clock_lib.Instant
    ) -> None:
        if not isinstance(event, events.GotEnd | events.GotFailure):
            # Nobody takes this answer: let the runner go on to its end.
            if isinstance(event, events.GotEvents):
                self._actions.append(events.Resume(uid, len(event.events)))
            return
        self._pace.ended(uid)
        if self._running.pop(uid, None) is not None:
            self._fill_slots(now)

    def finish(
        self,
        exchange: exchange_lib.Exchange,
        now: clock_lib.Instant,
        *,
        used: int,
        failure: exchange_lib.Failure | None,
    ) -> None:
        """Take the runner's last word on a request."""
        since = self._running.pop(exchange.uid, now)
        self._pace.ended(exchange.uid)
        self._measure(exchange, now - since, used)
        self._end(exchange, now, failure)
        self._fill_slots(now)

    def _measure(
        self,
        exchange: exchange_lib.Exchange,
        took: datetime.timedelta,
        used: int,
    ) -> None:
        if not used:
            return
        self._queue.correct_charge(exchange.ticket, used)
        if took > datetime.timedelta():
            speed = used / took.total_seconds() * self.capacity
            self._speed += _SPEED_GAIN * (speed - self._speed)

    def _abandon(
        self, exchange: exchange_lib.Exchange, now: clock_lib.Instant
    ) -> None:
        """Nobody waits for it: free what it holds, if that is safe."""
        if not exchange.dispatched:
            self._queue.remove(exchange.uid)
            self._end(exchange, now, failures.CANCELLED)
        elif exchange.state is exchange_lib.State.RUNNING:
            # One that may run only once goes on: its caller can still
            # come back for the answer under the same key.
            if not exchange.once:
                self._actions.append(events.Abort(exchange.uid))

    def _end(
        self,
        exchange: exchange_lib.Exchange,
        now: clock_lib.Instant,
        failure: exchange_lib.Failure | None,
    ) -> None:
        exchange.state = exchange_lib.State.ENDED
        exchange.ended_at = now
        exchange.failure = failure
        if exchange.once:
            self._end_once(exchange, now)
        self._delivery.pump(exchange)

    def _end_once(
        self, exchange: exchange_lib.Exchange, now: clock_lib.Instant
    ) -> None:
        if exchange.ran:
            self.once.ended(exchange.dispatch, now)
        else:
            self.once.release(exchange.dispatch)

    def _check_age(
        self, exchange: exchange_lib.Exchange, now: clock_lib.Instant
    ) -> None:
        if exchange.state is exchange_lib.State.ENDED:
            self._forget_old(exchange, now)
        elif self._left_alone(exchange, now):
            exchange.alone_since = now
            self._abandon(exchange, now)
        elif now > exchange.deadline:
            if not exchange.once:
                self._actions.append(events.Abort(exchange.uid))
            self._queue.remove(exchange.uid)
            late = exchange.dispatched
            self._end(
                exchange,
                now,
                failures.TOO_SLOW if late else failures.TOO_LATE,
            )

    def _left_alone(
        self, exchange: exchange_lib.Exchange, now: clock_lib.Instant
    ) -> bool:
        since = exchange.alone_since
        return since is not None and now - since > LINGER

    def _forget_old(
        self, exchange: exchange_lib.Exchange, now: clock_lib.Instant
    ) -> None:
        assert exchange.ended_at is not None
        if exchange.subscribers or now - exchange.ended_at <= LINGER:
            return
        del self._exchanges[exchange.uid]
        if not exchange.once or not exchange.ran:
            return
        self._kept.add(exchange)

    def _find(self, uid: str) -> exchange_lib.Exchange | None:
        return self._exchanges.get(uid) or self._kept.get(uid)

    def _subscribe(
        self,
        exchange: exchange_lib.Exchange,
        link: exchange_lib.LinkId,
        msg: wire.Dispatch | wire.Reattach,
        after: int,
    ) -> None:
        sub = exchange_lib.Subscriber(
            link=link, id=msg.id, cursor=after, credit=msg.credit
        )
        self._delivery.subscribe(exchange, sub)

    def _emit(self, action: events.Action) -> None:
        self._actions.append(action)

    def _done(self) -> list[events.Action]:
        actions = self._actions
        self._actions = []
        return actions

    def got_head(
        self, exchange: exchange_lib.Exchange, event: events.GotHead
    ) -> None:
        """Pass on status and headers."""
        exchange.head = (event.status, event.headers)
        self._delivery.pump(exchange)

    def got_events(
        self,
        exchange: exchange_lib.Exchange,
        event: events.GotEvents,
        now: clock_lib.Instant,
    ) -> None:
        """Pass on more of the answer."""
        exchange.add_events(event.events)
        if exchange.dispatch.model:
            self._pace.heard(exchange.uid, len(event.events), now)
        self._delivery.pump(exchange)
        if exchange.once and not exchange.subscribers:
            # Its caller may come back for the answer under its key, so
            # it must not stall for want of a reader.
            self._emit(events.Resume(exchange.uid, len(event.events)))


@functools.singledispatch
def _on_message(
    msg: wire.Message,
    disp: Dispatcher,
    link: exchange_lib.LinkId,
    now: clock_lib.Instant,
) -> None:
    del msg, disp, link, now  # Not for agents: newer peers may send it.


@_on_message.register
def _(
    msg: wire.Dispatch,
    disp: Dispatcher,
    link: exchange_lib.LinkId,
    now: clock_lib.Instant,
) -> None:
    disp.dispatch(link, msg, now)


@_on_message.register
def _(
    msg: wire.Reattach,
    disp: Dispatcher,
    link: exchange_lib.LinkId,
    now: clock_lib.Instant,
) -> None:
    del now
    disp.reattach(link, msg)


@_on_message.register
def _(
    msg: wire.Cancel,
    disp: Dispatcher,
    link: exchange_lib.LinkId,
    now: clock_lib.Instant,
) -> None:
    disp.cancel(link, msg.id, now)


@_on_message.register
def _(
    msg: wire.Credit,
    disp: Dispatcher,
    link: exchange_lib.LinkId,
    now: clock_lib.Instant,
) -> None:
    del now
    disp.credit(link, msg)


@functools.singledispatch
def _on_runner(
    event: events.RunnerEvent,
    disp: Dispatcher,
    exchange: exchange_lib.Exchange,
    now: clock_lib.Instant,
) -> None:
    raise NotImplementedError(type(event).__name__)


@_on_runner.register
def _(
    event: events.GotHead,
    disp: Dispatcher,
    exchange: exchange_lib.Exchange,
    now: clock_lib.Instant,
) -> None:
    del now
    disp.got_head(exchange, event)


@_on_runner.register
def _(
    event: events.GotEvents,
    disp: Dispatcher,
    exchange: exchange_lib.Exchange,
    now: clock_lib.Instant,
) -> None:
    disp.got_events(exchange, event, now)


@_on_runner.register
def _(
    event: events.GotEnd,
    disp: Dispatcher,
    exchange: exchange_lib.Exchange,
    now: clock_lib.Instant,
) -> None:
    disp.finish(exchange, now, used=event.used, failure=None)


@_on_runner.register
def _(
    event: events.GotFailure,
    disp: Dispatcher,
    exchange: exchange_lib.Exchange,
    now: clock_lib.Instant,
) -> None:
    disp.finish(exchange, now, used=0, failure=event.failure)
