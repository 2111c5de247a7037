# SPDX-License-Identifier: Apache-2.0
"""Drives one request: sends it, sends it again where that is safe."""

from collections.abc import Callable
from collections.abc import Generator
import contextlib
import dataclasses
import datetime
import json
import queue
import random
from typing import final
from typing import NoReturn

from lugcross import clock as clock_lib
from lugcross.entry import lifecycle
from lugcross.entry import upstream as upstream_lib
from lugcross import errors
from lugcross import ids
from lugcross import observe
from lugcross import routing
from lugcross import wire

#: Events that an agent may send ahead of a slow caller.
CREDIT = 64

#: How often a waiting call looks whether its agent is silent.
_LOOK_S = 0.5
_BACKEND_FAULTS = frozenset(
    (
        errors.FailureKind.BACKEND_FAILED,
        errors.FailureKind.STREAM_BROKEN,
    )
)
_NO_RETRY = datetime.timedelta(seconds=1)


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """One request of a caller, checked and ready to be sent.

    :param cost: estimated work, in tokens.
    :param deadline: when the caller gives up.
    :param resumable: whether another replica can go on in the middle.
    :param homes: backend servers that its key is sent to, in order;
        empty without a key.
    """

    id: ids.RequestId
    workspace: ids.WorkspaceName
    group: ids.WorkspaceGroupName
    service: ids.ServiceName
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    cost: int
    model: bool
    repeatable: bool
    deadline: clock_lib.Instant
    once_key: ids.IdempotencyKey = ids.IdempotencyKey("")
    resumable: bool = False
    homes: tuple[ids.BackendName, ...] = ()
    trace: str = ""


#: What a caller gets, in order: one head, then events.
Part = wire.ResponseHead | tuple[bytes, ...]


@final
class Caller:
    """Carries requests to backend servers.

    :param candidates: what is known of the service's backend servers.
    :param budget: the retry budget of a service.
    """

    def __init__(
        self,
        upstream: upstream_lib.Upstream,
        candidates: Callable[[ids.ServiceName], list[routing.Candidate]],
        budget: Callable[[ids.ServiceName], routing.RetryBudget],
        *,
        domain: ids.DomainName,
        clock: clock_lib.Clock,
        journal: observe.DecisionJournal,
        rng: random.Random,
    ) -> None:
        self._upstream = upstream
        self._candidates = candidates
        self._budget = budget
        self._domain = domain
        self._clock = clock
        self._journal = journal
        self._rng = rng

    def run(self, req: Request) -> Generator[Part]:
        """Yield the head and the events of the answer to ``req``.

        Close the iterator when the caller hangs up.

        :raises errors.RequestError: when there is no whole answer; what
            was yielded before is then only a part.
        """
        self._budget(req.service).record_request()
        return _Run(self, req).parts()

    def choose(
        self, req: Request, tried: set[ids.BackendName]
    ) -> upstream_lib.Peer | None:
        """Choose where to send ``req`` next, and note why."""
        if req.homes:
            return self._first_home(req, tried)
        choice = routing.choose_backend(
            self._candidates(req.service),
            own_domain=self._domain,
            tried=tried,
            rng=self._rng,
        )
        if choice is None:
            return None
        self._journal.record(
            observe.DecisionTopic.CHOICE,
            req.id,
            rule="least load of two near and two far",
            result=choice.best.name,
            inputs=tuple(
                observe.DecisionInput(
                    c.name, f"load {c.load:.2f} in {c.domain}"
                )
                for c in choice.considered
            ),
        )
        return self._upstream.peer(choice.best.name)

    def note(
        self,
        topic: observe.DecisionTopic,
        req: Request,
        rule: str,
        result: str,
    ) -> None:
        """Record a decision about ``req``."""
        self._journal.record(topic, req.id, rule=rule, result=result)

    def may_retry(self, req: Request) -> bool:
        """Take a retry from the budget of the request's service."""
        return self._budget(req.service).try_spend()

    def left(self, req: Request) -> datetime.timedelta:
        """Return the time until the caller's deadline."""
        return req.deadline - self._clock.monotonic()

    @property
    def upstream(self) -> upstream_lib.Upstream:
        """The links that calls go over."""
        return self._upstream

    def _first_home(
        self, req: Request, tried: set[ids.BackendName]
    ) -> upstream_lib.Peer | None:
        usable = {c.name for c in self._candidates(req.service) if c.usable}
        for name in req.homes:
            if name in usable and name not in tried:
                self.note(
                    observe.DecisionTopic.CHOICE,
                    req,
                    "first home of its key",
                    name,
                )
                return self._upstream.peer(name)
        return None


@final
class _Run:
    """One request on its way."""

    def __init__(self, caller: Caller, req: Request) -> None:
        self._caller = caller
        self._req = req
        self._state = lifecycle.State(
            repeatable=req.repeatable,
            keyed=bool(req.once_key),
            resumable=req.resumable,
        )
        self._tried: set[ids.BackendName] = set()
        self._call: upstream_lib.Call | None = None
        self._given = 0
        self._last: ids.BackendName | None = None

    def parts(self) -> Generator[Part]:
        finished = False
        try:
            event = self._attempt(_no_backend(self._req), None)
            while not finished:
                part, finished = self._handle(event)
                if part is not None:
                    yield part
                if not finished:
                    event = self._next()
        finally:
            self._close(cancel=not finished)

    def _handle(self, event: lifecycle.Event) -> tuple[Part | None, bool]:
        """Take one event; return a part to yield and whether it ends."""
        self._judge(event)
        self._state, action = lifecycle.step(event, self._state)
        if isinstance(action, lifecycle.GiveHead):
            return action.head, False
        if isinstance(action, lifecycle.Deliver):
            self._give_credit(len(action.events))
            return action.events or None, False
        if isinstance(action, lifecycle.Finish):
            return None, True
        if isinstance(action, lifecycle.GiveUp):
            self._refuse(action.error)
        if isinstance(action, lifecycle.Reattach):
            assert self._call is not None
            self._caller.upstream.reattach(
                self._call, after=action.after, credit=CREDIT
            )
        if isinstance(action, lifecycle.TryAgain):
            return self._handle(self._try_again(action))
        return None, False

    def _try_again(self, action: lifecycle.TryAgain) -> lifecycle.Event:
        self._close(cancel=True)
        if action.costs and not self._caller.may_retry(self._req):
            self._refuse(action.otherwise, rule="the retry budget is spent")
        self._caller.note(
            observe.DecisionTopic.RETRY,
            self._req,
            rule=action.otherwise.what,
            result="sent to another backend server",
        )
        return self._attempt(action.otherwise, action.holder)

    def _attempt(
        self, otherwise: errors.RequestError, holder: ids.BackendName | None
    ) -> lifecycle.Event:
        """Send to the best place left, or raise ``otherwise``.

        :param holder: the only place that will do, if there is one.
        """
        if holder is not None:
            peer = self._caller.upstream.peer(holder)
        else:
            peer = self._choose(otherwise)
        if peer is None:
            self._refuse(otherwise, rule="no other backend server is usable")
        self._tried.add(peer.name)
        self._last = peer.name
        upstream = self._caller.upstream
        self._call = upstream.open(peer, ids.new_token())
        try:
            upstream.send(self._call, self._dispatch(self._call))
        except errors.LinkDownError:
            return lifecycle.Unsent()
        return lifecycle.Sent()

    def _choose(
        self, otherwise: errors.RequestError
    ) -> upstream_lib.Peer | None:
        peer = self._caller.choose(self._req, self._tried)
        refused = otherwise.outcome is errors.Outcome.NOT_RUN
        if peer is not None or refused or not self._last:
            return peer
        # All have been tried, and this one failed rather than refused:
        # the others may work again.
        self._tried = {self._last}
        return self._caller.choose(self._req, self._tried)

    def _next(self) -> lifecycle.Event:
        assert self._call is not None
        while True:
            left_s = self._caller.left(self._req).total_seconds()
            if left_s <= 0:
                return lifecycle.TimedOut()
            with contextlib.suppress(queue.Empty):
                return self._call.inbox.get(timeout=min(left_s, _LOOK_S))
            if self._caller.upstream.silent(self._call):
                return lifecycle.AgentSilent()

    def _give_credit(self, count: int) -> None:
        """Let the agent send on, a half window at a time.

        Called before the caller has what came: the agent then refills
        while the caller writes, and at most a window waits here.
        """
        self._given += count
        if self._given < CREDIT // 2 or self._call is None:
            return
        msg = wire.Credit(
            id=self._call.id, events=self._given, have=self._state.taken
        )
        self._given = 0
        self._caller.upstream.post(self._call, msg)

    def _judge(self, event: lifecycle.Event) -> None:
        """Tell the peer's health how its part of the request went."""
        if self._call is None:
            return
        if isinstance(event, lifecycle.AgentGone | lifecycle.AgentSilent):
            self._caller.upstream.fault(self._call.peer)
        elif isinstance(event, wire.ResponseEnd):
            self._call.peer.health.record_success()
        elif isinstance(event, wire.Failure):
            if event.kind in _BACKEND_FAULTS:
                self._caller.upstream.fault(self._call.peer)
            else:
                self._call.peer.health.record_no_result()

    def _refuse(
        self, error: errors.RequestError, *, rule: str = ""
    ) -> NoReturn:
        self._caller.note(
            observe.DecisionTopic.REFUSAL,
            self._req,
            rule=rule or error.what,
            result=f"{error.kind.value}, {error.outcome.value}",
        )
        raise error

    def _close(self, *, cancel: bool) -> None:
        if self._call is None:
            return
        upstream = self._caller.upstream
        # A link may be gone already; then the agent's linger frees it.
        with contextlib.suppress(errors.LinkDownError):
            if cancel:
                upstream.post(self._call, wire.Cancel(id=self._call.id))
        upstream.close(self._call)
        self._call = None

    def _dispatch(self, call: upstream_lib.Call) -> wire.Dispatch:
        req = self._req
        left_ms = self._caller.left(req) / datetime.timedelta(milliseconds=1)
        return wire.Dispatch(
            id=call.id,
            uid=call.uid,
            req=req.id,
            incarnation=call.incarnation,
            workspace=req.workspace,
            group=req.group,
            service=req.service,
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=_resumed(req, self._state.base),
            timeout_ms=max(0, int(left_ms)),
            cost=req.cost,
            credit=CREDIT,
            model=req.model,
            once_key=req.once_key,
            trace=req.trace,
        )


def _resumed(req: Request, taken: int) -> bytes:
    """Return the body that lets an engine go on after ``taken`` tokens."""
    if not taken:
        return req.body
    fields = json.loads(req.body)
    return json.dumps({**fields, "resume_from": taken}).encode()


def _no_backend(req: Request) -> errors.RequestError:
    return errors.RequestError(
        f"no backend server of service {req.service} is usable",
        remedy="ask again after the time in Retry-After",
        kind=errors.FailureKind.NO_BACKEND,
        outcome=errors.Outcome.NOT_RUN,
        retry_after=_NO_RETRY,
    )
