# SPDX-License-Identifier: Apache-2.0
"""Which peer a process that is behind asks, and when another one; no I/O."""

from collections.abc import Iterable
import dataclasses
import datetime
import random
from typing import final

from lugcross import clock as clock_lib

#: Time after which a second peer is asked beside one that has not answered:
#: an answer takes some ten milliseconds, and one that is dead or cut off must
#: not use up a third of the shortest bound on news.
_SECOND_REQUEST_DELAY = datetime.timedelta(milliseconds=300)
#: Questions under way at once; with more, the links of peers that are only
#: busy carry the same answer many times.
_MAX_PENDING_REQUESTS = 2
#: Time for which a peer that did not answer is left alone: by then it counts
#: as lost if it is silent.
_UNANSWERED_BACKOFF = datetime.timedelta(seconds=2)


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class NewerPeer:
    """A live peer that knows more.

    :param host: where it answers, with ``port``.
    :param newness: version of its desired state, and how far it has read
        the list of backend servers.
    :param same_domain: whether it is of the same failure domain, where bytes
        cost nothing.
    """

    host: str
    port: int
    newness: tuple[int, int]
    same_domain: bool


@final
class PeerSelector:
    """Questions to peers, under way and unanswered."""

    def __init__(self, clock: clock_lib.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._started_at: dict[str, clock_lib.Instant] = {}
        self._unanswered_at: dict[str, clock_lib.Instant] = {}

    def pick(self, peers: Iterable[NewerPeer]) -> NewerPeer | None:
        """Return the peer to ask now; none if it is not time to ask one.

        One nearby goes before one that knows more still; of equals any, so
        that not all ask the same.
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
        """Note that a question is under way."""
        self._started_at[peer.host] = self._clock.monotonic()

    def request_ended(self, peer: NewerPeer, *, answered: bool) -> None:
        """Note what came of a question."""
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
