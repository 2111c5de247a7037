# SPDX-License-Identifier: Apache-2.0
"""One attempt at one backend server, and the answer that comes of it."""

import asyncio
from collections.abc import Callable
import datetime
import http
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import events
from lugcross.edge import lifecycle
from lugcross.edge import plan as plan_lib
from lugcross.edge import world as world_lib
from lugcross import http1
from lugcross import platform
from lugcross import routing

#: Time within which a peer's host acknowledges a request. Many round trips
#: within a region, and one packet that is lost and sent again after 0.2 s.
#: A repeatable request to a host that was cut off is answered elsewhere
#: after 0.3 s instead of being given up at the end of its time.
HEARD_WITHIN = datetime.timedelta(seconds=0.3)
#: What a backend server gets less than there is, so that its own answer
#: at the deadline still arrives before ours is due.
_ON_THE_WAY = datetime.timedelta(milliseconds=20)
#: Type of an answer that comes in events.
_STREAM = b"text/event-stream"


class _BadAnswerError(Exception):
    """An answer that cannot be the one to this request."""


@final
class Delivery:
    """What the caller was given, over all attempts.

    :ivar begun: whether the caller has part of the answer.
    :ivar first_at: when the first part was given.
    :ivar last_id: id of the last event that was given.
    """

    def __init__(
        self,
        exchange: http1.ResponseWriter,
        plan: plan_lib.Plan,
        clock: clock_lib.Clock,
    ) -> None:
        self._exchange = exchange
        self._clock = clock
        self.first_at: clock_lib.Instant | None = None
        self.status = 0
        self._held: tuple[http1.ResponseHead, bytes] | None = None
        self.begun = False
        self.last_id = plan.head.last_event_id

    async def give(self, answer: http1.ResponseHead, body: bytes) -> None:
        """Give a whole answer."""
        self._begin(answer)
        headers = platform.headers_to_caller(answer.raw_headers)
        await self._exchange.write_head(
            answer.status, headers, body, whole=True
        )

    def hold(self, answer: http1.ResponseHead, body: bytes) -> None:
        """Keep a failure, for the case that there is nothing better."""
        self._held = (answer, body)

    async def pass_on(self) -> None:
        """Give the failure that was kept."""
        assert self._held is not None
        await self.give(*self._held)

    async def events(
        self, answer: http1.ResponseHead, some: list[bytes]
    ) -> None:
        """Give events; before the first of them the head."""
        data = b"".join(some)
        for event in some:
            self.last_id = events.event_id(event) or self.last_id
        if self.begun:
            await self._exchange.write_data(data)
            return
        self._begin(answer)
        headers = platform.headers_to_caller(answer.raw_headers)
        await self._exchange.write_head(answer.status, headers, data)

    def _begin(self, answer: http1.ResponseHead) -> None:
        self.begun = True
        self.status = answer.status
        self.first_at = self._clock.monotonic()

    async def end(self, answer: http1.ResponseHead) -> None:
        """Mark a stream as whole."""
        if not self.begun:
            await self.give(answer, b"")
            return
        await self._exchange.finish()


@final
class Attempt:
    """Sends a request to one backend server and passes its answer on.

    :param again: tells whether it may go to another one if it breaks here.
    :param fresh: whether it must not be sent to a server that has ended
        already: nothing may speak against a request that never ran there.
    """

    def __init__(
        self,
        world: world_lib.World,
        clock: clock_lib.Clock,
        plan: plan_lib.Plan,
        backend: desired.Backend,
        delivery: Delivery,
        *,
        again: Callable[[], bool],
        fresh: bool,
    ) -> None:
        self._again = again
        self._fresh = fresh
        self._world = world
        self._clock = clock
        self._plan = plan
        self._backend = backend
        self._delivery = delivery
        self._keep: datetime.timedelta | None = None
        self._unheard = False
        #: Whether the attempt told how the server is.
        self._told = False
        #: Whether the server, or its host, ended the connection.
        self.cut_off = False

    async def run(self) -> lifecycle.Event | None:
        """Return none once the caller has the whole answer.

        :raises http1.CallerDisconnectedError: when nobody reads it.
        """
        world = self._world
        plan = self._plan
        world.loads.started(self._backend.key)
        world.uses.began(plan.service, plan.space)
        try:
            try:
                once = not self._plan.route.repeatable
                conn = await world.pool.take(
                    self._backend, once=once, fresh=self._fresh
                )
            except http1.NoConnectionError as exc:
                self._failed(str(exc))
                return lifecycle.Event.UNREACHED
            if world.rests.rests(self._backend.key):
                # It has asked while this one waited for its connection, for
                # up to 0.4 s: as many as waited would reach it.
                world.pool.give(self._backend, conn, None)
                return lifecycle.Event.UNREACHED
            return await self._use(conn)
        finally:
            if not self._told:
                # Its caller left, or its time was over: a server on trial
                # would be left alone for good.
                self._health().unclear()
            world.loads.ended(self._backend.key)
            world.uses.ended(plan.service, plan.space)

    async def _use(self, conn: http1.ClientConn) -> lifecycle.Event | None:
        whole = False
        try:
            self._send(conn)
            event = await self._receive(conn)
            whole = conn.reusable
        except (http1.ConnectionBrokenError, _BadAnswerError) as exc:
            ended = isinstance(exc, http1.ConnectionBrokenError)
            self.cut_off = ended and not self._unheard
            unheard = "no byte of the request was acknowledged"
            self._failed(unheard if self._unheard else str(exc))
            return lifecycle.Event.BROKEN
        finally:
            if whole:
                self._world.pool.give(self._backend, conn, self._keep)
            else:
                # The server notices, and stops working on the request.
                conn.close()
        return event

    def _send(self, conn: http1.ClientConn) -> None:
        plan = self._plan
        resumed = self._delivery.begun
        left = plan.deadline - self._clock.monotonic() - _ON_THE_WAY
        headers = platform.headers_to_backend(
            plan.req.raw_headers,
            backend=self._backend.id,
            workspace=plan.space,
            time_left=left,
            body_bytes=None if plan.req.body is None else len(plan.req.body),
            resume_after=self._delivery.last_id if resumed else "",
        )
        conn.send(
            plan.req.method, plan.req.target, headers, plan.req.body or b""
        )

    async def _receive(self, conn: http1.ClientConn) -> lifecycle.Event | None:
        answer, head = await self._heard_answer(conn)
        self._keep = head.keep_alive
        self._world.heard(self._backend, head)
        if head.not_executed:
            await conn.read_body()
            return self._not_run(head)
        self._check(head)
        types = [v for n, v in answer.headers if n == b"content-type"]
        streams = bool(types) and types[0].startswith(_STREAM)
        if head.success and streams:
            self._health().accepted()
            return await self._pass_events(conn, answer)
        return await self._pass_whole(conn, answer, head)

    async def _heard_answer(
        self, conn: http1.ClientConn
    ) -> tuple[http1.ResponseHead, platform.BackendResponseHead]:
        """Return the answer to this request, unless it was not heard.

        Where it cannot go elsewhere, as what must not be repeated and may
        have run, its answer is waited for to the end.
        """
        look = asyncio.get_running_loop().call_later(
            HEARD_WITHIN.total_seconds(), self._end_if_unheard, conn
        )
        try:
            return await self._own_answer(conn)
        finally:
            look.cancel()

    def _end_if_unheard(self, conn: http1.ClientConn) -> None:
        if not conn.nothing_acknowledged() or not self._again():
            return
        self._unheard = True
        self._world.pool.drop(self._backend.key)
        conn.close()

    async def _own_answer(
        self, conn: http1.ClientConn
    ) -> tuple[http1.ResponseHead, platform.BackendResponseHead]:
        """Return the answer to this request, past any to earlier ones."""
        while True:
            answer = await conn.read_head()
            head = platform.parse_backend_response_head(
                answer.status, answer.headers
            )
            if head.attempt_id in ("", self._plan.head.attempt_id):
                return answer, head
            logging.warning(
                "surplus answer skipped",
                extra={
                    "request": self._plan.head.attempt_id,
                    "backend": self._backend.key,
                    "other": head.attempt_id,
                },
            )
            # Late, but the same server's word about itself.
            self._world.heard(self._backend, head)
            await conn.read_body()
            conn.expect_another_response(self._plan.req.method)

    def _not_run(self, head: platform.BackendResponseHead) -> lifecycle.Event:
        if head.wrong_instance:
            self._world.backends.forget(
                self._backend.key, "another life has its address"
            )
        elif head.retry_after is None:
            self._health().turned_away(self._clock.monotonic())
        return lifecycle.Event.NOT_RUN

    def _check(self, head: platform.BackendResponseHead) -> None:
        if head.content_encoded:
            raise _BadAnswerError("an encoded body is not the server's own")
        if head.success and not head.signed:
            raise _BadAnswerError("a success without a signature")
        if head.success and head.attempt_id != self._plan.head.attempt_id:
            raise _BadAnswerError("a success without the request's id")

    async def _pass_whole(
        self,
        conn: http1.ClientConn,
        answer: http1.ResponseHead,
        head: platform.BackendResponseHead,
    ) -> lifecycle.Event | None:
        body = await conn.read_body()
        failed = head.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        if failed or head.status in platform.NOT_EXECUTED_STATUSES:
            self._failed(f"status {head.status}")
            if head.status in platform.NOT_EXECUTED_STATUSES:
                # Without a proof, the status would promise too much.
                return lifecycle.Event.BROKEN
            self._delivery.hold(answer, body)
            return lifecycle.Event.FAILED
        self._worked()
        if self._delivery.begun:
            raise _BadAnswerError("not a stream, where one was to go on")
        await self._delivery.give(answer, body)
        return None

    async def _pass_events(
        self, conn: http1.ClientConn, answer: http1.ResponseHead
    ) -> lifecycle.Event | None:
        splitter = events.Splitter()
        after = self._delivery.last_id if self._delivery.begun else ""
        last: clock_lib.Instant | None = None
        while (data := await conn.read_data()) is not None:
            some = splitter.feed(data)
            if some:
                last = self._note_pause(last)
            if after:
                some = [one for one in some if events.is_later(one, after)]
            if some:
                await self._delivery.events(answer, some)
        if splitter.rest:
            raise _BadAnswerError("the stream ended within an event")
        self._worked()
        await self._delivery.end(answer)
        return None

    def _note_pause(self, last: clock_lib.Instant | None) -> clock_lib.Instant:
        now = self._clock.monotonic()
        limit = self._plan.route.max_event_gap
        if last is not None and limit is not None:
            self._world.paused(self._backend, now - last, limit)
        return now

    def _health(self) -> routing.Health:
        return self._world.loads.health(self._backend.key)

    def _worked(self) -> None:
        self._told = True
        self._health().worked()

    def _failed(self, why: str) -> None:
        self._told = True
        ejected = self._health().failed(self._clock.monotonic())
        logging.info(
            "backend server failed",
            extra={
                "request": self._plan.head.attempt_id,
                "same": self._plan.fingerprint.hex(),
                "backend": self._backend.key,
                "why": why,
                "ejected": ejected,
            },
        )
