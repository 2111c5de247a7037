# SPDX-License-Identifier: Apache-2.0
"""The topics that an edge process follows, and how long its reads wait."""

from collections.abc import Callable
import datetime
import functools

from lugcross import clock as clock_lib
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import long_poll
from lugcross.edge import state_sync as state_sync_lib
from lugcross.edge import topic_follower
from lugcross import platform

#: Shortest time between two reads of the desired state, which limits the rate
#: of reads while it changes often.
_DESIRED_MIN_INTERVAL = datetime.timedelta(milliseconds=100)
#: Shortest time between two reads of the list of backend servers, as a
#: fraction of the time for which a leaving one may be used. When a service is
#: rolled out many of them change one after another; each change would
#: otherwise wake a read.
_BACKENDS_MIN_INTERVAL_RATIO = 0.2


def make_followers(
    store: platform.StoreClient,
    edge_state: edge_state_lib.EdgeState,
    state_sync: state_sync_lib.StateSync,
    *,
    clock: clock_lib.Clock,
) -> list[topic_follower.TopicFollower]:
    """Return the followers of the desired state and the backend servers.

    The bounds are looked up at each read, as settings can be reloaded.
    """

    def follower(
        topic: str,
        on_read: topic_follower.ReadHandler,
        bound: Callable[[], datetime.timedelta],
        min_interval: Callable[[], datetime.timedelta],
    ) -> topic_follower.TopicFollower:
        def first_reader_wait() -> datetime.timedelta:
            return long_poll.wait_time(
                live_peers=len(state_sync.peers.live()),
                max_lag=bound(),
                store_recovery_time=edge_state.bounds.store_recovery_time,
                min_interval=min_interval(),
            )

        def poll_wait() -> datetime.timedelta:
            return (
                long_poll.STANDBY_WAIT
                if state_sync.reader_index()
                else first_reader_wait()
            )

        def is_late() -> bool:
            return long_poll.must_read_store(state_sync.lag(topic), bound())

        def should_restart_read() -> bool:
            age = state_sync.store_answer_times.newest_answer_age(topic)
            return is_late() or long_poll.is_overdue(
                age, first_reader_wait(), state_sync.reader_index()
            )

        return topic_follower.TopicFollower(
            store,
            topic,
            on_read,
            state_sync.store_health,
            clock=clock,
            min_interval=min_interval,
            poll_wait=poll_wait,
            should_restart_read=should_restart_read,
            on_caught_up=functools.partial(state_sync.on_store_answer, topic),
            should_pause_reading=lambda: (
                state_sync.peers_read_store() and not is_late()
            ),
            on_records_behind=functools.partial(
                edge_state.metrics.set_records_behind, topic
            ),
        )

    return [
        follower(
            platform.OPERATOR_TOPIC,
            state_sync.apply_desired,
            lambda: edge_state.bounds.max_change_time,
            lambda: _DESIRED_MIN_INTERVAL,
        ),
        follower(
            platform.BACKENDS_TOPIC,
            state_sync.apply_backends,
            lambda: edge_state.bounds.max_drain_time,
            lambda: (
                edge_state.bounds.max_drain_time * _BACKENDS_MIN_INTERVAL_RATIO
            ),
        ),
    ]
