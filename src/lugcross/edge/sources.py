# SPDX-License-Identifier: Apache-2.0
"""What a process follows at the store, and how long its reads wait."""

from collections.abc import Callable
import datetime
import functools

from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import follow
from lugcross.edge import knowledge as knowledge_lib
from lugcross.edge import long_poll
from lugcross import platform

#: Shortest time between two reads of the desired state, for storms.
_DESIRED_GAP = datetime.timedelta(milliseconds=100)
#: Shortest time between two reads of the backend servers, as a part of the
#: bound within which a leaving one must get nothing new. Many of them change
#: one after the other when a service is released: at a bound of 4 s a read
#: that waits was woken 2.5 times a second with 0.4 s, and 1.25 with this.
_BACKENDS_GAP_PART = 0.2


def followers(
    store: platform.StoreClient,
    edge_state: edge_state_lib.EdgeState,
    known: knowledge_lib.Knowledge,
) -> list[follow.Follower]:
    """Return the followers of the desired state and the backend servers.

    Bounds are asked for at each read: settings may be read anew.
    """

    def follower(
        topic: str,
        take: follow.Taker,
        bound: Callable[[], datetime.timedelta],
        gap: Callable[[], datetime.timedelta],
    ) -> follow.Follower:
        def unit() -> datetime.timedelta:
            return long_poll.wait_time(
                peers=len(known.peers.live()),
                bound=bound(),
                contact=edge_state.bounds.contact,
                gap=gap(),
            )

        def wait() -> datetime.timedelta:
            return long_poll.STANDBY_WAIT if known.reads_after() else unit()

        def is_late() -> bool:
            return long_poll.must_read_store(known.lag(topic), bound())

        def is_due() -> bool:
            age = known.answers.newest_answer_age(topic)
            return is_late() or long_poll.is_overdue(
                age, unit(), known.reads_after()
            )

        return follow.Follower(
            store,
            topic,
            take,
            known.trouble,
            gap=gap,
            wait=wait,
            is_due=is_due,
            answered=functools.partial(known.answered, topic),
            rests=lambda: known.rests() and not is_late(),
        )

    return [
        follower(
            platform.OPERATOR_TOPIC,
            known.take_desired,
            lambda: edge_state.bounds.change,
            lambda: _DESIRED_GAP,
        ),
        follower(
            platform.BACKENDS_TOPIC,
            known.take_backends,
            lambda: edge_state.bounds.drain,
            lambda: edge_state.bounds.drain * _BACKENDS_GAP_PART,
        ),
    ]
