# SPDX-License-Identifier: Apache-2.0
"""Selection of the peer to request newer state from; no I/O."""

from collections.abc import Iterable
import dataclasses
import datetime
import random
from typing import final

from lugcross import clock as clock_lib

#: Time after which a second peer is asked in parallel. A response usually
#: takes some ten milliseconds; a peer that is dead or unreachable must not use
#: up much of the time within which a change must be applied.
_SECOND_REQUEST_DELAY = datetime.timedelta(milliseconds=300)
#: Requests in progress at once; more would load the links of peers that are
#: merely slow with further copies of the same response.
_MAX_PENDING_REQUESTS = 2
#: Time for which a peer that did not respond is not asked again; a dead one is
#: no longer live by then.
_UNANSWERED_BACKOFF = datetime.timedelta(seconds=2)


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class NewerPeer:
    """A live peer that has newer state than this process.

    :param host: where it serves state requests, with ``port``.
    :param newness: version of its desired state, and position up to which it
        has read the list of backend servers.
    :param same_domain: whether it is in this process's failure domain, where
        traffic is free of charge.
    """

    host: str
    port: int
    newness: tuple[int, int]
    same_domain: bool


@final
class PeerSelector:
    """Decides which peer to ask, from the requests made so far."""

    def __init__(self, clock: clock_lib.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._started_at: dict[str, clock_lib.Instant] = {}
        self._unanswered_at: dict[str, clock_lib.Instant] = {}

    def pick(self, peers: Iterable[NewerPeer]) -> NewerPeer | None:
        """Return the peer to ask now; none if no request is due.

        A peer in this failure domain is preferred to a newer one in another.
        Among equals the choice is random, to spread the load.
        """
        now = self._clock.monotonic()
        if not self._may_request(now):
            return None
        eligible = [
            one
            for one in peers
            if one.host not in self._started_at
            and not self._is_backed_off(one, now)
        ]
        preferred = [one for one in eligible if one.same_domain] or eligible
        newest = max((one.newness for one in preferred), default=None)
        equals = [one for one in preferred if one.newness == newest]
        return self._rng.choice(equals) if equals else None

    def request_started(self, peer: NewerPeer) -> None:
        """Record that a request was sent."""
        self._started_at[peer.host] = self._clock.monotonic()

    def request_ended(self, peer: NewerPeer, *, answered: bool) -> None:
        """Record the outcome of a request."""
        self._started_at.pop(peer.host, None)
        if answered:
            self._unanswered_at.pop(peer.host, None)
        else:
            self._unanswered_at[peer.host] = self._clock.monotonic()

    def _may_request(self, now: clock_lib.Instant) -> bool:
        if len(self._started_at) >= _MAX_PENDING_REQUESTS:
            return False
        last = max(self._started_at.values(), default=None)
        return last is None or now - last >= _SECOND_REQUEST_DELAY

    def _is_backed_off(self, peer: NewerPeer, now: clock_lib.Instant) -> bool:
        at = self._unanswered_at.get(peer.host)
        if at is None:
            return False
        if now - at < _UNANSWERED_BACKOFF:
            return True
        del self._unanswered_at[peer.host]
        return False
