# SPDX-License-Identifier: Apache-2.0
"""Sends one request until there is an answer or a reason to give up."""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
import random
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import admission
from lugcross.edge import attempt as attempt_lib
from lugcross.edge import choice
from lugcross.edge import lifecycle
from lugcross.edge import plan as plan_lib
from lugcross.edge import refusal
from lugcross.edge import world as world_lib
from lugcross import http1
from lugcross import suspects

_MS = datetime.timedelta(milliseconds=1)


@final
class Sending:
    """One request on its way: sent until there is an answer."""

    def __init__(
        self,
        world: world_lib.World,
        clock: clock_lib.Clock,
        exchange: http1.ResponseWriter,
        plan: plan_lib.Plan,
        changed: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._world = world
        self._clock = clock
        self._plan = plan
        self._changed = changed
        self._answer = attempt_lib.Delivery(exchange, plan, clock)
        self._tried: set[desired.BackendKey] = set()
        #: Whether the last attempt's server ended its connection.
        self._cut_off = False
        #: When the last attempt was sent.
        self._sent_at = plan.req.received_at
        self._state = lifecycle.State(
            repeatable=plan.route.repeatable, attempts=plan.route.max_attempts
        )

    async def run(self) -> None:
        """Send until there is an answer or a reason to give up."""
        self._world.budget(self._plan.service).asked(self._clock.monotonic())
        left = self._left()
        try:
            async with asyncio.timeout(left.total_seconds()):
                await self._send_all(self._first())
        except TimeoutError:
            self._time_out()

    def _left(self) -> datetime.timedelta:
        return self._plan.deadline - self._clock.monotonic()

    def _first(self) -> desired.Backend:
        """Return the first backend server, or refuse.

        Nobody waits for a place here, also not who comes back: of those
        that were kept waiting hardly any was served, and their callers
        were told so seconds later than they could have been.
        """
        self._refuse_if_ending()
        back = self._world.returns(self._plan.route.name).is_back(
            self._plan.head.time_left
        )
        found = self._choose()
        verdict = self._verdict(found, back=back)
        if found is None or verdict is not None:
            raise self._refusal(found, verdict)
        return found.best.backend

    def _refuse_if_ending(self) -> None:
        """Refuse what ends the servers that run it, before any ends more.

        Unbounded, one such request that came every 0.2 to 3 s ended 17 to 75
        servers in 30 s; with this it ends two, or three where servers end
        for other reasons too.
        """
        endings = self._world.endings
        if endings.standing(self._plan) is not suspects.Standing.REFUSED:
            return
        ends = endings.against(self._plan)
        self._world.figures.suspect_refused(self._plan.service)
        raise refusal.ends_servers(len(ends), endings.lapses(ends))

    def _verdict(
        self, found: choice.Choice | None, *, back: bool
    ) -> str | None:
        plan = self._plan
        world = self._world
        return admission.admit(
            world.picture(plan.service, least=found.least if found else 0),
            world.full(plan.route, plan.service),
            world.asking(plan.route, plan.service, plan.workspace, back=back),
        )

    def _refusal(
        self, found: choice.Choice | None, verdict: str | None
    ) -> refusal.RefusedError:
        if found is not None:
            return refusal.overloaded(verdict or "", self._left(), self._rng)
        rest = self._world.rest_left(self._plan.service)
        if rest is not None:
            return self._resting(rest)
        if self._world.backends.of(self._plan.service):
            return refusal.out_of_order(
                "its groups of ranks are broken", self._left()
            )
        return refusal.not_ready("no backend server is known")

    def _resting(self, rest: datetime.timedelta) -> refusal.RefusedError:
        """Return the refusal while all servers rest or are on trial."""
        self._world.figures.rest_refused(self._plan.service)
        return refusal.resting(rest, self._rng)

    async def _send_all(self, first: desired.Backend) -> None:
        backend = first
        while True:
            self._tried.add(backend.key)
            event = await self._send(backend)
            if event is None:
                self._log_answer(backend)
                return
            self._world.figures.attempt(self._plan.service, event.value)
            self._state = lifecycle.after(self._state, event)
            await self._look_if_ended(event, backend)
            found = self._choose()
            action = lifecycle.decide(
                self._state,
                event,
                another=found is not None and self._may_repeat(event),
            )
            self._log(event, backend, action)
            if action is not lifecycle.Action.AGAIN or found is None:
                await self._give_up(action, event)
                return
            backend = found.best.backend

    async def _send(self, backend: desired.Backend) -> lifecycle.Event | None:
        attempt = attempt_lib.Attempt(
            self._world,
            self._clock,
            self._plan,
            backend,
            self._answer,
            again=self._may_go_on,
            fresh=self._is_suspect(),
        )
        self._changed()
        self._sent_at = self._clock.monotonic()
        try:
            event = await attempt.run()
        finally:
            self._changed()
        self._cut_off = attempt.cut_off
        if event in (None, lifecycle.Event.FAILED):
            self._world.endings.answered(self._plan, backend, self._sent_at)
        begun = self._answer.begun
        self._state = dataclasses.replace(self._state, begun=begun)
        return event

    async def _look_if_ended(
        self, event: lifecycle.Event, backend: desired.Backend
    ) -> None:
        """Find out whether a server has ended under this request."""
        if event is lifecycle.Event.BROKEN and self._cut_off:
            await self._world.endings.broke(self._plan, backend, self._sent_at)

    def _may_go_on(self) -> bool:
        """Tell whether another server is left if this attempt breaks."""
        broken = lifecycle.after(self._state, lifecycle.Event.BROKEN)
        return lifecycle.may_send(broken) and self._choose() is not None

    def _may_repeat(self, event: lifecycle.Event) -> bool:
        """Take one repeat from the budget, unless it would be the first.

        Only what arrived at a backend server counts against it.
        """
        if not lifecycle.may_send(self._state):
            return False
        broke = event is lifecycle.Event.BROKEN
        if not self._world.endings.may_go_again(self._plan, broke=broke):
            return False
        if not self._state.sent:
            return True
        return self._world.may_repeat(self._plan.service, event)

    def _choose(self) -> choice.Choice | None:
        if self._is_suspect():
            return self._world.choose_apart(self._plan, self._tried)
        return self._world.choose(self._plan.service, self._tried)

    def _is_suspect(self) -> bool:
        standing = self._world.endings.standing(self._plan)
        return standing is suspects.Standing.SUSPECT

    async def _give_up(
        self, action: lifecycle.Action, event: lifecycle.Event
    ) -> None:
        if action is lifecycle.Action.PASS_ON:
            await self._answer.pass_on()
        elif action is lifecycle.Action.CUT:
            raise refusal.broken("the answer broke off")
        elif action is lifecycle.Action.REFUSE:
            rest = self._world.rest_left(self._plan.service)
            if rest:
                raise self._resting(rest)
            raise refusal.out_of_order(
                f"no backend server ran it ({event.value})", self._left()
            )
        else:
            raise refusal.unknown("a backend server broke off")

    def _time_out(self) -> None:
        if self._answer.begun:
            raise refusal.broken("its time is over")
        raise refusal.timed_out()

    def _log_answer(self, backend: desired.Backend) -> None:
        """Tell how a request that has its answer came by it."""
        plan = self._plan
        first = self._answer.first_at
        took = None if first is None else first - plan.req.received_at
        status = self._answer.status
        self._world.figures.answered(plan.service, status, took)
        whole = self._clock.monotonic() - plan.req.received_at
        logging.info(
            "answered",
            extra={
                "request": plan.head.attempt_id,
                "service": plan.service,
                "route": plan.route.name,
                "workspace": plan.space,
                "version": plan.version,
                "backend": backend.key,
                "domain": backend.domain,
                "status": status,
                "sent": self._state.sent + 1,
                "first_ms": None if took is None else round(took / _MS),
                "whole_ms": round(whole / _MS),
                "last_id": self._answer.last_id,
            },
        )

    def _log(
        self,
        event: lifecycle.Event,
        backend: desired.Backend,
        action: lifecycle.Action,
    ) -> None:
        logging.info(
            "attempt ended",
            extra={
                "request": self._plan.head.attempt_id,
                "backend": backend.key,
                "event": event.value,
                "action": action.value,
                "sent": self._state.sent,
            },
        )
