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
_SECOND_AFTER = datetime.timedelta(milliseconds=300)
#: Questions under way at once; with more, the links of peers that are only
#: busy carry the same answer many times.
_MOST_OPEN = 2
#: Time for which a peer that did not answer is left alone: by then it counts
#: as lost if it is silent.
_SHUNNED = datetime.timedelta(seconds=2)


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Ahead:
    """A live peer that knows more.

    :param host: where it answers, with ``port``.
    :param newness: version of its desired state, and how far it has read
        the list of backend servers.
    :param near: whether it is of the same failure domain, where bytes cost
        nothing.
    """

    host: str
    port: int
    newness: tuple[int, int]
    near: bool


@final
class Questions:
    """Questions to peers, under way and unanswered."""

    def __init__(self, clock: clock_lib.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._open: dict[str, clock_lib.Instant] = {}
        self._silent: dict[str, clock_lib.Instant] = {}

    def pick(self, ahead: Iterable[Ahead]) -> Ahead | None:
        """Return the peer to ask now; none if it is not time to ask one.

        One nearby goes before one that knows more still; of equals any, so
        that not all ask the same.
        """
        now = self._clock.monotonic()
        if not self._may_ask(now):
            return None
        left = [
            one
            for one in ahead
            if one.host not in self._open and not self._is_silent(one, now)
        ]
        some = [one for one in left if one.near] or left
        most = max((one.newness for one in some), default=None)
        best = [one for one in some if one.newness == most]
        return self._rng.choice(best) if best else None

    def asked(self, peer: Ahead) -> None:
        """Note that a question is under way."""
        self._open[peer.host] = self._clock.monotonic()

    def ended(self, peer: Ahead, *, answered: bool) -> None:
        """Note what came of a question."""
        self._open.pop(peer.host, None)
        if answered:
            self._silent.pop(peer.host, None)
        else:
            self._silent[peer.host] = self._clock.monotonic()

    def _may_ask(self, now: clock_lib.Instant) -> bool:
        if len(self._open) >= _MOST_OPEN:
            return False
        last = max(self._open.values(), default=None)
        return last is None or now - last >= _SECOND_AFTER

    def _is_silent(self, peer: Ahead, now: clock_lib.Instant) -> bool:
        at = self._silent.get(peer.host)
        if at is None:
            return False
        if now - at < _SHUNNED:
            return True
        del self._silent[peer.host]
        return False
