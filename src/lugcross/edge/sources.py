# SPDX-License-Identifier: Apache-2.0
"""What a process follows at the store, and how long its reads wait."""

import datetime

from lugcross.edge import follow
from lugcross.edge import knowledge as knowledge_lib
from lugcross.edge import waiting
from lugcross.edge import world as world_lib
from lugcross import platform

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

    def wait(bound: datetime.timedelta) -> datetime.timedelta:
        return waiting.news(
            peers=len(known.peers.live()),
            bound=bound,
            contact=world.bounds.contact,
        )

    return [
        follow.Follower(
            store,
            platform.OPERATOR_TOPIC,
            known.take_desired,
            known.trouble,
            gap=_DESIRED_GAP,
            wait=lambda: wait(world.bounds.change),
            rests=known.rests,
        ),
        follow.Follower(
            store,
            platform.BACKENDS_TOPIC,
            known.take_backends,
            known.trouble,
            gap=_BACKENDS_GAP,
            wait=lambda: wait(world.bounds.drain),
            rests=known.rests,
        ),
    ]
