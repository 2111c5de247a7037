# SPDX-License-Identifier: Apache-2.0
"""Backend servers that take few requests for some time; no I/O.

A server is cold after its start, and may become cold again. In any second,
all processes together may send it no more than a bound. Each process uses a
part of its own, with which it sends at most a fixed number of requests in any
second, so that the sum keeps the bound whichever processes hear each other.
"""

from collections.abc import Callable
import dataclasses
import datetime
import enum
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.rate_limits import sharing_processes
from lugcross import routing

#: Longest time for which a server is taken for cold.
MAX_COLD_TIME = datetime.timedelta(hours=1)
#: Number of cold servers that are told to peers at once, the newest.
MAX_REPORTS = 8
#: How long a report is repeated in heartbeats. Other failure domains get one
#: heartbeat each 0.2 s.
_REPORT_PERIOD = datetime.timedelta(seconds=0.3)
#: Fraction of a server's rate that is used on average.
_USED_RATE_RATIO = 0.8
#: Fraction of the bound of one second that parts may add up to. The rest is
#: for processes that know other peers.
_USED_BOUND_RATIO = 0.9
#: Highest rate of a part, as a fraction of the requests that it may send in a
#: second. The rest allows for requests that arrive faster than they were sent.
_MAX_PART_RATE_RATIO = 0.9
#: Time after the end of a cold state in which the rate rises, and how many
#: times itself it is then.
_RISE_TIME = datetime.timedelta(seconds=1)
_RISE_FACTOR = 4.0
#: Time for which a response outweighs entries, which may be older: a server
#: writes one each 1.2 s.
_RESPONSE_PRECEDENCE_TIME = datetime.timedelta(seconds=2)
#: Least additional time by which a report is news for peers.
_MIN_NEWS_TIME = datetime.timedelta(seconds=0.5)
#: Time for which the rates of services are cached.
_REFRESH_INTERVAL = datetime.timedelta(seconds=0.5)
#: Time whose requests count as room of a server in admission.
_ROOM_TIME = datetime.timedelta(seconds=0.25)
_SECOND = datetime.timedelta(seconds=1)
_FIRST_SAVED_SUFFIX = " saved"


class ColdSource(enum.Enum):
    """Where a report that a server is cold comes from."""

    ENTRY = "entry"
    RESPONSE = "response"
    PEER = "peer"


@final
@dataclasses.dataclass(frozen=True)
class ColdReport:
    """A server that is cold, for peers.

    :param left: how much longer it is cold.
    """

    key: desired.BackendKey
    left: datetime.timedelta


@final
@dataclasses.dataclass(frozen=True)
class RatePart:
    """This process's part of a server's rate.

    :param max_saved: requests that it may save up.
    """

    per_s: float
    max_saved: float


_NO_PART = RatePart(0.0, 0.0)


@final
@dataclasses.dataclass
class _ColdServer:
    """The cold state of one life of a server.

    :param reported_at: when the state was last reported.
    :param until: end of the state as reported.
    :param updated_at: when ``saved`` was computed.
    :param saved: requests that this process may send now.
    :param held: requests that have chosen the server and will be sent as soon
        as they have a connection.
    :param limit: limit of its service; None if there is none.
    :param told_at: when a response or a peer last said that it is cold.
    :param news_at: when a response of the server said what peers may not
        know.
    :param part_generation: generation of the processes for which ``part``
        was computed; None if it must be computed again.
    """

    reported_at: clock_lib.Instant
    until: clock_lib.Instant
    updated_at: clock_lib.Instant
    saved: float
    held: int = 0
    limit: desired.ColdLimit | None = None
    told_at: clock_lib.Instant | None = None
    news_at: clock_lib.Instant | None = None
    part: RatePart = _NO_PART
    part_generation: int | None = None

    def end(self) -> clock_lib.Instant:
        """Return the end of the state, given the longest one."""
        if self.limit is None:
            return self.until
        return min(self.until, self.reported_at + self.limit.duration)


@final
class ColdServers:
    """The servers that are cold, and this process's parts of their rates.

    :param processes: the processes that share the rates.
    :ivar limit_of: returns the limit of a server's service, if there is one.
    :ivar own_address: returns the address of this process.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        processes: sharing_processes.SharingProcesses,
    ) -> None:
        self._clock = clock
        self._processes = processes
        self._states: dict[desired.BackendKey, _ColdServer] = {}
        self._servers: frozenset[desired.BackendKey] = frozenset()
        self._refresh_at = clock.monotonic()
        self.limit_of: Callable[
            [desired.BackendKey], desired.ColdLimit | None
        ] = lambda key: None
        self._overshoot = 1.0
        self._slack = 0.0
        self.own_address: Callable[[], str] = lambda: ""

    def servers(self) -> frozenset[desired.BackendKey]:
        """Return the cold servers, and those whose rate still rises.

        Returns the same object as long as nothing has changed.
        """
        if self._states and self._clock.monotonic() >= self._refresh_at:
            self._refresh()
        return self._servers

    def record(
        self,
        key: desired.BackendKey,
        left: datetime.timedelta,
        source: ColdSource,
    ) -> None:
        """Record for how much longer a server is cold.

        :param left: 0 if it is not cold.
        """
        now = self._clock.monotonic()
        until = now + min(left, MAX_COLD_TIME)
        state = self._states.get(key)
        if state is None or now >= state.end() + _RISE_TIME:
            if not left:
                return
            state = _ColdServer(now, now, now, self._first_saved(key))
            self._states[key] = state
        else:
            self._refill(state, key)
        told_at = state.told_at
        may_be_older = source is ColdSource.PEER or (
            source is ColdSource.ENTRY
            and told_at is not None
            and now - told_at < _RESPONSE_PRECEDENCE_TIME
        )
        if may_be_older and until <= state.until:
            return
        if source is not ColdSource.ENTRY:
            state.told_at = now
        if (
            source is ColdSource.RESPONSE
            and until - state.until > _MIN_NEWS_TIME
        ):
            state.news_at = now
        # Responses say again and again that a server is warm, which must not
        # move the end, after which the rate rises.
        state.until = until if left else min(state.until, now)
        state.reported_at = now
        self._update_limit(state, key)
        end = state.end() + _RISE_TIME
        if state.limit is not None and now < end:
            self._refresh_at = min(self._refresh_at, end)
            if key not in self._servers:
                self._servers |= {key}

    def _first_saved(self, key: desired.BackendKey) -> float:
        """Return a fraction of a request, a different one at each process.

        With the same at all of them, they would all send at once later on.
        With nothing, nobody could use the server for seconds.
        The key differs from the one that ranks the processes, since those
        that share a rate have high scores there.
        """
        return routing.rendezvous_fraction(
            f"{key}{_FIRST_SAVED_SUFFIX}", self.own_address()
        )

    def configure(self, *, overshoot: float, slack: float) -> None:
        """Set the bound of any second.

        :param overshoot: how many times its rate a server may get.
        :param slack: requests that it may get in addition.
        """
        self._overshoot = overshoot
        self._slack = slack
        for state in self._states.values():
            state.part_generation = None

    def invalidate(self) -> None:
        """Apply changed limits of services at once."""
        self._refresh_at = self._clock.monotonic()

    def may_send(self, key: desired.BackendKey) -> bool:
        """Return whether a request may choose a server now."""
        if key not in self.servers():
            return True
        state = self._states[key]
        self._refill(state, key)
        return state.saved >= 1.0 + state.held

    def hold(self, key: desired.BackendKey) -> None:
        """Record that a request has chosen a server and is not sent yet."""
        if key in self.servers():
            self._states[key].held += 1

    def release(self, key: desired.BackendKey) -> None:
        """Record that a held request is sent now, or is not sent at all."""
        state = self._states.get(key)
        if state is not None and state.held:
            state.held -= 1

    def spend(self, key: desired.BackendKey) -> None:
        """Count a request that is sent."""
        if key in self._servers:
            self._states[key].saved -= 1.0

    def remaining(self, key: desired.BackendKey) -> datetime.timedelta:
        """Return the time until a cold server takes a request again.

        Without a part of its rate, this process goes by the others' rate.
        """
        state = self._states[key]
        self._refill(state, key)
        limit = state.limit
        assert limit is not None
        per_s = state.part.per_s
        if per_s:
            wait = max(0.0, 1.0 - state.saved) / per_s * _SECOND
        else:
            wait = _SECOND / (limit.requests_per_s * _USED_RATE_RATIO)
        end = state.end() + _RISE_TIME - self._clock.monotonic()
        return min(wait, max(datetime.timedelta(), end))

    def left_ms(self, key: desired.BackendKey) -> int:
        """Return for how many milliseconds a cold server is still cold."""
        left = self._states[key].end() - self._clock.monotonic()
        return max(0, int(left / datetime.timedelta(milliseconds=1)))

    def room(self, key: desired.BackendKey) -> float:
        """Return how many requests all processes may send a server shortly."""
        state = self._states[key]
        if state.limit is None:
            return 0.0
        return (
            state.limit.requests_per_s
            * _USED_RATE_RATIO
            * self._rise_factor(state)
            * _ROOM_TIME.total_seconds()
        )

    def own_reports(self) -> list[ColdReport]:
        """Return the servers to report with the next heartbeat."""
        now = self._clock.monotonic()
        news = sorted(
            (state.news_at, key)
            for key, state in self._states.items()
            if state.news_at is not None
            and state.news_at > now - _REPORT_PERIOD
        )
        return [
            ColdReport(
                key, max(datetime.timedelta(), self._states[key].until - now)
            )
            for _, key in news[-MAX_REPORTS:]
        ]

    def retain_only(self, known: set[desired.BackendKey]) -> None:
        """Drop servers that are not in ``known``, and states that ended."""
        now = self._clock.monotonic()
        self._states = {
            key: state
            for key, state in self._states.items()
            if key in known and now < state.until + _RISE_TIME
        }
        self._refresh()

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        refresh_at = now + _REFRESH_INTERVAL
        cold = set()
        for key, state in self._states.items():
            self._update_limit(state, key)
            end = state.end() + _RISE_TIME
            if state.limit is not None and now < end:
                cold.add(key)
                refresh_at = min(refresh_at, end)
        self._refresh_at = refresh_at
        if cold != self._servers:
            self._servers = frozenset(cold)

    def _update_limit(
        self, state: _ColdServer, key: desired.BackendKey
    ) -> None:
        limit = self.limit_of(key)
        if limit != state.limit:
            state.limit = limit
            state.part_generation = None

    def _refill(self, state: _ColdServer, key: desired.BackendKey) -> None:
        now = self._clock.monotonic()
        factor = self._rise_factor(state, at=state.updated_at)
        elapsed_s = (now - state.updated_at).total_seconds()
        state.updated_at = now
        self._update_part(state, key)
        state.saved = min(
            state.part.max_saved,
            state.saved + state.part.per_s * factor * elapsed_s,
        )

    def _rise_factor(
        self, state: _ColdServer, at: clock_lib.Instant | None = None
    ) -> float:
        """Return how many times its rate a server gets at a time.

        :param at: now by default.
        """
        since_end = (
            self._clock.monotonic() if at is None else at
        ) - state.end()
        risen = min(max(since_end / _RISE_TIME, 0.0), 1.0)
        return 1.0 + (_RISE_FACTOR - 1.0) * risen

    def _update_part(
        self, state: _ColdServer, key: desired.BackendKey
    ) -> None:
        self._processes.refresh()
        if state.part_generation == self._processes.generation:
            return
        state.part_generation = self._processes.generation
        state.part = (
            _NO_PART
            if state.limit is None
            else self._compute_part(key, state.limit.requests_per_s)
        )

    def _compute_part(self, key: desired.BackendKey, per_s: float) -> RatePart:
        """Return this process's part of a server's rate.

        A part with rate ``r`` that saves up ``c`` requests sends at most
        floor(``c`` + ``r``) in any second.
        """
        names = self._processes.names()
        bound = per_s * self._overshoot + self._slack
        all_sends = max(1, int(bound * _USED_BOUND_RATIO))
        count = max(len(names), self._processes.least_count)
        if not self._processes.is_settled():
            count = max(count, all_sends)
        sharing = min(count, all_sends)
        rank = routing.rendezvous_rank(key, names, self.own_address())
        if rank >= sharing:
            return _NO_PART
        sends = all_sends // sharing
        rate = min(
            per_s * _USED_RATE_RATIO / sharing, sends * _MAX_PART_RATE_RATIO
        )
        return RatePart(rate, max(1.0, sends - rate))
