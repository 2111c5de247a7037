# SPDX-License-Identifier: Apache-2.0
"""Whether a request is worth sending now, judged before any work."""

import dataclasses
from typing import final

#: Requests per slot at which a service without engines is full; its work
#: is short, so that a short queue is served in time.
PLAIN_FULL = 3.0


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Picture:
    """A service's load as it looks from one process.

    :param servers: backend servers that may be used.
    :param busy: requests that all of them probably have.
    :param least: requests of the least busy one.
    :param fresh: requests sent from here that peers were not told of.
    :param peers: other processes that may have sent as many.
    """

    servers: int
    busy: int
    least: int
    fresh: int
    peers: int


def admit(picture: Picture, full: float) -> str | None:
    """Return why a request should come back later, or none.

    What peers have sent since they last told is not known; that each of
    them sent about as many as this process keeps a burst from filling
    every server before anyone hears of it.

    :param full: requests that one server may have at once.
    """
    unseen = picture.fresh * picture.peers
    room = full * picture.servers - picture.busy - unseen
    if room < 1.0 or picture.least >= max(full, 1.0):
        return "every backend server is full"
    return None
