# SPDX-License-Identifier: Apache-2.0
"""What a process follows at the store, and how long its reads wait."""

from collections.abc import Callable
import datetime
import functools

from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import long_poll
from lugcross.edge import state_sync as state_sync_lib
from lugcross.edge import topic_follower
from lugcross import platform

#: Shortest time between two reads of the desired state, for storms.
_DESIRED_MIN_INTERVAL = datetime.timedelta(milliseconds=100)
#: Shortest time between two reads of the backend servers, as a part of the
#: bound within which a leaving one must get nothing new. Many of them change
#: one after the other when a service is released: at a bound of 4 s a read
#: that waits was woken 2.5 times a second with 0.4 s, and 1.25 with this.
_BACKENDS_MIN_INTERVAL_RATIO = 0.2


def followers(
    store: platform.StoreClient,
    edge_state: edge_state_lib.EdgeState,
    state_sync: state_sync_lib.StateSync,
) -> list[topic_follower.TopicFollower]:
    """Return the followers of the desired state and the backend servers.

    Bounds are asked for at each read: settings may be read anew.
    """

    def follower(
        topic: str,
        on_tail: topic_follower.TailHandler,
        bound: Callable[[], datetime.timedelta],
        min_interval: Callable[[], datetime.timedelta],
    ) -> topic_follower.TopicFollower:
        def first_reader_wait() -> datetime.timedelta:
            return long_poll.wait_time(
                live_peers=len(state_sync.peers.live()),
                max_lag=bound(),
                store_recovery_time=edge_state.bounds.contact,
                min_interval=min_interval(),
            )

        def poll_wait() -> datetime.timedelta:
            return (
                long_poll.STANDBY_WAIT
                if state_sync.reader_rank()
                else first_reader_wait()
            )

        def is_late() -> bool:
            return long_poll.must_read_store(state_sync.lag(topic), bound())

        def is_restart_due() -> bool:
            age = state_sync.answers.newest_answer_age(topic)
            return is_late() or long_poll.is_overdue(
                age, first_reader_wait(), state_sync.reader_rank()
            )

        return topic_follower.TopicFollower(
            store,
            topic,
            on_tail,
            state_sync.store_health,
            min_interval=min_interval,
            poll_wait=poll_wait,
            is_restart_due=is_restart_due,
            on_answer=functools.partial(state_sync.on_store_answer, topic),
            is_idle=lambda: (
                state_sync.leaves_store_to_peers() and not is_late()
            ),
        )

    return [
        follower(
            platform.OPERATOR_TOPIC,
            state_sync.apply_desired,
            lambda: edge_state.bounds.change,
            lambda: _DESIRED_MIN_INTERVAL,
        ),
        follower(
            platform.BACKENDS_TOPIC,
            state_sync.apply_backends,
            lambda: edge_state.bounds.drain,
            lambda: edge_state.bounds.drain * _BACKENDS_MIN_INTERVAL_RATIO,
        ),
    ]
