# SPDX-License-Identifier: Apache-2.0
"""What speaks against a request: the servers that ended while they ran it.

Load pattern: a request comes again and again, at any process, and each server
that begins to run it ends. Whatever else ran there, up to a whole server's
requests, comes back with it and is innocent. Callers come back after a tenth
of a second to some seconds; servers are back after some seconds.

A server's end counts once for each request that it ran, whoever saw it, and
ends of copies that ran at once count as one: what many callers send is
everywhere when a whole fleet goes dark, and would be refused for good. A
request is refused once three servers have ended under it. Two are enough if
they tell it from all others: no other request was at both, both ended at
about the same point of its run, and no others ended then that did not run it.
Four are needed while servers end at large, whatever they run. A request that
ran to its end is cleared of all that was before.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import datetime
import enum
from typing import final

from lugcross import clock as clock_lib
from lugcross.crash_suspects import fingerprint

#: Ends that are enough. Each takes a server's other requests with it, and a
#: group of ranks the group's.
MOST = 3
#: The same where the ends tell the request from all others.
SURE = 2
#: The same where more servers have ended without it than with it. Of 900
#: requests, beside a crash a second among ten servers, one was at three ends
#: by chance.
MOST_AT_LARGE = 4
#: Time around an end within which another server's end, without the request,
#: shows that servers end for other reasons too: a rack or a failure domain
#: that goes dark, servers that go down and up by turns. With 1 s, 4 of those
#: 900 requests were taken for the cause after two ends.
TOGETHER = datetime.timedelta(seconds=10)
#: Part of its longer run that the shorter one must have lasted if a request
#: ended two servers: it ends each at the same point, later where that is
#: fuller, while whatever else runs there may be at any point.
ALIKE = 0.5
#: Difference of two runs that says nothing: the ways there and back, and a
#: process that was busy when the connection broke.
NOISE = datetime.timedelta(milliseconds=50)
#: How long what speaks against a request is kept. Its callers may try the
#: software anew then, at the price of two servers' ends each time.
LAPSE = datetime.timedelta(minutes=10)
#: Requests that are kept; past it those with the least against them go.
#: A server runs 6 to 250 at once.
KEPT_MOST = 512
#: Ends that are kept of one request: one more than decides.
ENDS_MOST = MOST_AT_LARGE + 1


class Standing(enum.Enum):
    """How a request is to be treated.

    ``FREE``: like any other.
    ``SUSPECT``: it may run, apart from other suspects.
    ``REFUSED``: it may not run.
    """

    FREE = "free"
    SUSPECT = "suspect"
    REFUSED = "refused"


@final
@dataclasses.dataclass(frozen=True)
class End:
    """The end of a server that was running a request.

    :param server: the one life of the server that ended.
    :param software: version of the service that the server ran.
    :param ran: from when the request was sent there.
    """

    server: str
    software: str
    at: clock_lib.Instant
    ran: datetime.timedelta


@final
@dataclasses.dataclass(frozen=True)
class Case:
    """All that is known of one request.

    :param cleared: when it last ran to its end; ends before it say nothing.
    """

    request: fingerprint.Fingerprint
    ends: tuple[End, ...] = ()
    cleared: clock_lib.Instant | None = None

    @property
    def against(self) -> tuple[End, ...]:
        """The ends that still speak against it."""
        if self.cleared is None:
            return self.ends
        return tuple(one for one in self.ends if one.at > self.cleared)

    @property
    def newest(self) -> clock_lib.Instant:
        """When the last of it happened."""
        times = [one.at for one in self.ends]
        if self.cleared is not None:
            times.append(self.cleared)
        return max(times)

    def joined(self, other: "Case") -> "Case":
        """Return what both know; in any order and however often.

        A server's end is as old as whoever knows it longest says: a process
        that was suspended takes its own news for younger than they are.
        """
        ends = {one.server: one for one in self.ends}
        for one in other.ends:
            known = ends.get(one.server)
            if known is None or one.at < known.at:
                ends[one.server] = one
        kept = sorted(ends.values(), key=lambda one: (one.at, one.server))
        cleared = [t for t in (self.cleared, other.cleared) if t is not None]
        return Case(
            self.request,
            tuple(kept[-ENDS_MOST:]),
            max(cleared, default=None),
        )


@final
class Ledger:
    """What this process knows of all requests that are or were suspect."""

    def __init__(self) -> None:
        self._cases: dict[fingerprint.Fingerprint, Case] = {}
        #: Servers that answered after somebody took them for ended, and
        #: when what they answered had been sent.
        self._alive: dict[str, clock_lib.Instant] = {}
        #: Servers that any case names; none while that must be looked up.
        self._named: frozenset[str] | None = None

    def __len__(self) -> int:
        return len(self._cases)

    def cases(self) -> list[Case]:
        """Return all cases, those first that changed last."""
        return list(reversed(self._cases.values()))

    def find(self, request: fingerprint.Fingerprint) -> Case | None:
        """Return what is known of a request, if anything is."""
        return self._cases.get(request)

    def ended(
        self,
        request: fingerprint.Fingerprint,
        end: End,
        now: clock_lib.Instant,
    ) -> bool:
        """Note that a server has ended while it ran ``request``."""
        return self.merge(Case(request, (end,)), now)

    def cleared(
        self, request: fingerprint.Fingerprint, now: clock_lib.Instant
    ) -> bool:
        """Note that a request ran to its end; tell whether that is news."""
        known = self._cases.get(request)
        if known is None or not known.against:
            return False
        return self.merge(Case(request, cleared=now), now)

    def merge(self, case: Case, now: clock_lib.Instant) -> bool:
        """Take over what somebody knows; tell whether it was news."""
        ends = tuple(one for one in case.ends if not self._is_void(one))
        case = dataclasses.replace(case, ends=ends)
        before = self._cases.get(case.request)
        joined = case if before is None else before.joined(case)
        if joined == before:
            return False
        if not joined.ends and joined.cleared is None:
            return False
        if joined.newest <= now - LAPSE:
            return False
        self._cases.pop(case.request, None)
        self._cases[case.request] = joined
        if len(self._cases) > KEPT_MOST:
            self._drop_least()
        self._named = None
        return True

    def answered(self, server: str, since: clock_lib.Instant) -> None:
        """Note that a server has answered what was sent at ``since``.

        Whoever said that it had ended before was wrong: a connection may be
        refused for another reason, and news may be false.
        """
        if server not in self._servers():
            return
        self._alive[server] = since
        for request, case in list(self._cases.items()):
            left = tuple(one for one in case.ends if not self._is_void(one))
            if left or case.cleared is not None:
                self._cases[request] = dataclasses.replace(case, ends=left)
            else:
                del self._cases[request]
        self._named = None

    def _servers(self) -> frozenset[str]:
        if self._named is None:
            self._named = frozenset(
                one.server
                for case in self._cases.values()
                for one in case.ends
            )
        return self._named

    def forget_old(self, now: clock_lib.Instant) -> None:
        """Let lapse what is too old."""
        for request, case in list(self._cases.items()):
            if case.newest <= now - LAPSE:
                del self._cases[request]
        for server, at in list(self._alive.items()):
            if at <= now - LAPSE:
                del self._alive[server]
        self._named = None

    def rivals(
        self, request: fingerprint.Fingerprint
    ) -> list[fingerprint.Fingerprint]:
        """Return other suspects that were where this one was."""
        case = self._cases.get(request)
        if case is None:
            return []
        servers = {one.server for one in case.against}
        return [
            other.request
            for other in self._cases.values()
            if other.request != request
            and any(one.server in servers for one in other.against)
        ]

    def against(
        self,
        request: fingerprint.Fingerprint,
        software: Collection[str],
        now: clock_lib.Instant,
    ) -> list[End]:
        """Return the ends that speak against a request, one by one.

        :param software: versions that servers of its service run now; what
            another one has done says nothing of them.
        """
        case = self._cases.get(request)
        if case is None:
            return []
        return _one_by_one(
            one
            for one in case.against
            if one.software in software and one.at > now - LAPSE
        )

    def standing(
        self,
        request: fingerprint.Fingerprint,
        software: Collection[str],
        now: clock_lib.Instant,
    ) -> Standing:
        """Return how a request is to be treated now."""
        ends = self.against(request, software, now)
        if not ends:
            return Standing.FREE
        if len(ends) >= SURE and len(ends) >= self._most(ends):
            return Standing.REFUSED
        return Standing.SUSPECT

    def _most(self, ends: Collection[End]) -> int:
        """Return how many such ends are enough."""
        others = self._others(ends)
        if not others and len(ends) == SURE and self._tells_apart(ends):
            return SURE
        return MOST if len(others) <= len(ends) else MOST_AT_LARGE

    def _others(self, ends: Collection[End]) -> set[str]:
        """Return the servers that ended at about the time of ``ends``.

        What was cleared since tells of a server's end all the same.
        """
        servers = {one.server for one in ends}
        return {
            other.server
            for case in self._cases.values()
            for other in case.ends
            if other.server not in servers
            and any(abs(one.at - other.at) < TOGETHER for one in ends)
        }

    def _tells_apart(self, ends: Collection[End]) -> bool:
        """Tell whether only one request explains why servers ended."""
        shortest = min(one.ran for one in ends)
        longest = max(one.ran for one in ends)
        if shortest < ALIKE * longest and longest - shortest > NOISE:
            return False
        servers = {one.server for one in ends}
        cases = (
            {one.server for one in case.against}
            for case in self._cases.values()
        )
        return sum(servers <= found for found in cases) == 1

    def _is_void(self, end: End) -> bool:
        since = self._alive.get(end.server)
        return since is not None and end.at < since

    def _drop_least(self) -> None:
        least = min(
            self._cases.values(),
            key=lambda case: (len(case.against), case.newest),
        )
        del self._cases[least.request]


def _one_by_one(ends: Iterable[End]) -> list[End]:
    """Return the ends of which each run began after the one before.

    Times are told by other processes, so that a run may seem to begin a
    moment before the end that it followed.
    """
    found: list[End] = []
    for one in sorted(ends, key=lambda end: end.at):
        if not found or one.at - one.ran >= found[-1].at - NOISE:
            found.append(one)
    return found
