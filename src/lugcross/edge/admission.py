# SPDX-License-Identifier: Apache-2.0
"""Whether a request is worth sending now, judged before any work."""

import dataclasses
import datetime
from typing import final

#: Requests per slot at which a service without engines is full; its work
#: is short, so that a short queue is served in time.
PLAIN_FULL = 3.0
#: Part of what is full for others at which a service is full for those
#: that were refused before; a few requests of each process below it.
BACK_PART = 0.8
#: Part of the slots up to which nobody is kept out: what is idle past that
#: would serve no one better.
_LEAST_PART = 0.5


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Picture:
    """A service's load as it looks from one process.

    :param servers: backend servers that may be used.
    :param slots: slots of all of them.
    :param busy: requests that all of them probably have.
    :param least: requests of the least busy one that was looked at.
    :param unseen: requests that peers have probably sent and not told yet.
    """

    servers: int
    slots: int
    busy: int
    least: int
    unseen: float


def admit(picture: Picture, full: float, *, back: bool) -> str | None:
    """Return why a request should come back later, or none.

    Under lasting overload someone is refused, whoever goes first. One
    that comes back is late already: a place given to it is worth less to
    its caller than to one that can still be served in time, and would
    make that one come back late in turn. So the last places are kept for
    those that ask for the first time.

    What peers have sent since they last told counts, as far as it can be
    estimated (:mod:`lugcross.edge.unseen`).

    :param full: requests that one server may have at once.
    :param back: whether it was refused before.
    """
    places = full * picture.servers
    if back:
        places = max(places * BACK_PART, picture.slots * _LEAST_PART)
    room = places - picture.busy - picture.unseen
    if room < 1.0 or picture.least >= max(full, 1.0):
        return "every backend server is full"
    return None


#: Part of the longest time seen at which a request counts as one that
#: comes back: a first one loses no more than its way here.
_BACK_TIME = 0.95
#: Part of what lies between the longest time and a new one by which the
#: longest comes down, so that shorter deadlines are learned in time.
_FORGET = 0.02


@final
class Returns:
    """Tells requests that were refused before by the time they have left.

    Callers count their time from their first attempt, and those of one
    route mostly start with the same.
    """

    def __init__(self) -> None:
        self._longest = datetime.timedelta()

    def is_back(self, time_left: datetime.timedelta | None) -> bool:
        """Tell whether a request has probably been refused before."""
        if time_left is None:
            return False
        if time_left >= self._longest:
            self._longest = time_left
            return False
        back = time_left < self._longest * _BACK_TIME
        self._longest -= (self._longest - time_left) * _FORGET
        return back
