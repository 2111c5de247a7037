# SPDX-License-Identifier: Apache-2.0
"""What one process sees and believes of requests that end servers.

Decisions are made by :mod:`lugcross.suspects`; here servers are asked whether
they have ended, and what was found is written down.
"""

import asyncio
from collections.abc import Callable
import datetime
import json
from typing import final

from absl import logging

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import plan as plan_lib
from lugcross import http1
from lugcross import ids
from lugcross import suspects

#: Longest wait for a server's host to say whether anybody listens there. It
#: has just ended a connection, so that it is reached within a round trip, or
#: with one lost packet within 0.2 s.
_ASK_S = 0.3


@final
class Endings:
    """Requests that were running at servers that ended.

    :param software: versions that the servers of a service run now.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        *,
        software: Callable[[ids.ServiceName], frozenset[str]],
    ) -> None:
        self._clock = clock
        self._software = software
        self._looks: dict[desired.BackendKey, asyncio.Task[bool]] = {}
        #: When servers were first found to have ended.
        self._ended_at: dict[desired.BackendKey, clock_lib.Instant] = {}
        self._notes: set[asyncio.Task[None]] = set()
        self.ledger = suspects.Ledger()
        #: Requests that an operator has cleared.
        self.exempt: frozenset[suspects.Fingerprint] = frozenset()
        #: Called when there is something new to tell peers.
        self.changed: Callable[[], None] = lambda: None
        #: Called with a request that is refused from now on.
        self.found: Callable[[suspects.Fingerprint], None] = lambda request: (
            None
        )

    def standing(self, plan: plan_lib.Plan) -> suspects.Standing:
        """Return how a request is to be treated now."""
        if not self._is_known(plan) or plan.fingerprint in self.exempt:
            return suspects.Standing.FREE
        return self.ledger.standing(
            plan.fingerprint,
            self._software(plan.service),
            self._clock.monotonic(),
        )

    def against(self, plan: plan_lib.Plan) -> list[suspects.End]:
        """Return what speaks against a request."""
        if not self._is_known(plan):
            return []
        return self.ledger.against(
            plan.fingerprint,
            self._software(plan.service),
            self._clock.monotonic(),
        )

    def _is_known(self, plan: plan_lib.Plan) -> bool:
        """Tell whether there is anything about a request.

        As long as there is nothing about any, none is even hashed.
        """
        if not len(self.ledger):
            return False
        return self.ledger.find(plan.fingerprint) is not None

    def lapses(self, ends: list[suspects.End]) -> datetime.timedelta:
        """Return the time until the oldest of ``ends`` counts no more.

        Then its request may be tried once more, as a suspect.
        """
        oldest = min(one.at for one in ends)
        return oldest + suspects.LAPSE - self._clock.monotonic()

    def may_go_again(self, plan: plan_lib.Plan, *, broke: bool) -> bool:
        """Tell whether a request may go to one more server at once.

        :param broke: whether the last attempt broke off.
        """
        if self.standing(plan) is suspects.Standing.REFUSED:
            return False
        if plan.fingerprint in self.exempt:
            return True
        # What others know of it comes within a moment, its caller later.
        return not broke or len(self.against(plan)) < suspects.SURE

    def place(
        self, plan: plan_lib.Plan, servers: list[desired.BackendKey]
    ) -> desired.BackendKey | None:
        """Return the server that a suspect should go to."""
        rivals = self.ledger.rivals(plan.fingerprint)
        found = suspects.place(plan.fingerprint, rivals, servers)
        return None if found is None else desired.BackendKey(found)

    async def broke(
        self,
        plan: plan_lib.Plan,
        backend: desired.Backend,
        since: clock_lib.Instant,
    ) -> None:
        """Note that an attempt broke off; return once that is judged.

        Its request may be what the server ended of, and its caller may leave
        at any moment: what was found out is noted all the same.

        :param since: when it was sent; what was sent to a server that had
            ended before never ran there.
        """
        task = asyncio.create_task(self._note(plan, backend, since))
        self._notes.add(task)
        task.add_done_callback(self._notes.discard)
        await asyncio.shield(task)

    async def _note(
        self,
        plan: plan_lib.Plan,
        backend: desired.Backend,
        since: clock_lib.Instant,
    ) -> None:
        if not await self._has_ended(backend):
            return
        now = self._clock.monotonic()
        if self._ended_at.setdefault(backend.key, now) < since:
            return
        end = suspects.End(
            backend.key, backend.software_version, now, now - since
        )
        if not self.ledger.ended(plan.fingerprint, end, now):
            return
        standing = self.standing(plan)
        logging.warning(
            "server ended under a request",
            extra={
                "request": plan.head.attempt_id,
                "same": plan.fingerprint.hex(),
                "service": plan.service,
                "backend": backend.key,
                "ends": [one.server for one in self.against(plan)],
                "standing": standing.value,
            },
        )
        self.changed()
        if standing is suspects.Standing.REFUSED:
            self.found(plan.fingerprint)

    async def _has_ended(self, backend: desired.Backend) -> bool:
        """Ask a server's host; once for all whose attempts broke off."""
        look = self._looks.get(backend.key)
        if look is None:
            look = asyncio.create_task(_is_refused(backend))
            self._looks[backend.key] = look
            look.add_done_callback(
                lambda _: self._looks.pop(backend.key, None)
            )
        return await look

    def answered(
        self,
        plan: plan_lib.Plan,
        backend: desired.Backend,
        since: clock_lib.Instant,
    ) -> None:
        """Note that a request ran to its end.

        :param since: when it was sent.
        """
        if self._ended_at.get(backend.key, since) < since:
            # Its host refused a connection for another reason.
            del self._ended_at[backend.key]
        if not len(self.ledger):
            return
        self.ledger.answered(backend.key, since)
        if not self.ledger.cleared(plan.fingerprint, self._clock.monotonic()):
            return
        logging.info(
            "suspect cleared",
            extra={
                "request": plan.head.attempt_id,
                "same": plan.fingerprint.hex(),
                "backend": backend.key,
            },
        )
        self.changed()

    def forget_old(self) -> None:
        """Let lapse what is too old."""
        now = self._clock.monotonic()
        self.ledger.forget_old(now)
        for key, at in list(self._ended_at.items()):
            if at <= now - suspects.LAPSE:
                del self._ended_at[key]

    def listing(self) -> bytes:
        """Return what speaks against which request, as JSON."""
        now = self._clock.monotonic()
        rows = [
            {
                "same": case.request.hex(),
                "ends": [
                    {
                        "backend": one.server,
                        "software": one.software,
                        "ago_s": round((now - one.at).total_seconds(), 1),
                    }
                    for one in case.against
                ],
                "exempt": case.request in self.exempt,
            }
            for case in self.ledger.cases()
            if case.against
        ]
        return json.dumps({"suspects": rows}).encode()


async def _is_refused(backend: desired.Backend) -> bool:
    """Tell whether nobody listens at a server's address any more.

    Silence tells nothing: its host may be cut off.
    """
    try:
        conn = await http1.connect(
            backend.host, backend.port, timeout_s=_ASK_S
        )
    except http1.NoConnectionError as exc:
        return exc.refused
    conn.close()
    return False
