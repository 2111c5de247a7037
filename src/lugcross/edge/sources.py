# SPDX-License-Identifier: Apache-2.0
"""What a process follows at the store, and how long its reads wait."""

import datetime

from lugcross.edge import follow
from lugcross.edge import knowledge as knowledge_lib
from lugcross.edge import world as world_lib
from lugcross import platform

#: How long a read waits for news at the store while peers tell what is
#: newest; each read is priced.
_WAIT = datetime.timedelta(seconds=4)
#: Part of a bound on news that a read waits without peers: at times the
#: store does not wake a read that came just before the change.
_ALONE_PART = 0.5
#: Live peers that are enough to hear of each change.
_ENOUGH_PEERS = 2
#: Shortest time between two reads of the desired state, for storms.
_DESIRED_GAP = datetime.timedelta(milliseconds=100)
#: Shortest time between two reads of the backend servers: many of them
#: change at once when a service is released or a domain comes back.
_BACKENDS_GAP = datetime.timedelta(milliseconds=400)


def followers(
    store: platform.StoreClient,
    world: world_lib.World,
    known: knowledge_lib.Knowledge,
) -> list[follow.Follower]:
    """Return the followers of the desired state and the backend servers."""
    return [
        follow.Follower(
            store,
            platform.OPERATOR_TOPIC,
            known.take_desired,
            known.trouble,
            gap=_DESIRED_GAP,
            wait=lambda: _wait(known, world.bounds.change),
            rests=known.rests,
        ),
        follow.Follower(
            store,
            platform.BACKENDS_TOPIC,
            known.take_backends,
            known.trouble,
            gap=_BACKENDS_GAP,
            wait=lambda: _wait(known, world.bounds.drain),
            rests=known.rests,
        ),
    ]


def _wait(
    known: knowledge_lib.Knowledge, bound: datetime.timedelta
) -> datetime.timedelta:
    """Return how long a read may wait for news.

    :param bound: time within which the news must be acted on.
    """
    if len(known.peers.live()) >= _ENOUGH_PEERS:
        return _WAIT
    return bound * _ALONE_PART
