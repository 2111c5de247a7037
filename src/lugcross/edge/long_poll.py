# SPDX-License-Identifier: Apache-2.0
"""Durations of long polls: reads that wait at the store for new records."""

import datetime

#: Longest time for the answer to arrive once the poll's wait has ended. It
#: takes some milliseconds, and 0.2 s where the store is fifty times slower.
ANSWER_TIMEOUT = datetime.timedelta(seconds=1)
#: Longest wait of a process that reads for its failure domain.
_MAX_WAIT = datetime.timedelta(seconds=4)
#: Wait as a fraction of the allowed lag. The store may fail to wake a poll
#: that arrived just before a change, so the next poll must still be in time.
_WAIT_FRACTION_OF_MAX_LAG = 0.5
#: Time reserved after a hung poll for the next one, and for peers to notice
#: that they are behind and to ask for what they miss.
_CATCH_UP_TIME = datetime.timedelta(seconds=0.5)
#: Wait of a process that does not read for its failure domain; the store
#: allows 30 s.
STANDBY_WAIT = datetime.timedelta(seconds=20)
#: Delay by which each further process takes over reading later than the one
#: before it, which has its answer by then.
_TAKEOVER_DELAY_STEP = datetime.timedelta(milliseconds=150)
#: Processes that take over one after the other; all others do so together
#: with the last of them.
_MAX_TAKEOVER_STEPS = 4
#: Live peers with which this process is sure to hear of each change.
_MIN_LIVE_PEERS = 2

#: Fraction of the allowed lag after which a process reads the store itself:
#: late enough for two peers to answer, early enough for a slow read.
_DIRECT_READ_FRACTION_OF_MAX_LAG = 0.3


def must_read_store(
    lag: datetime.timedelta, max_lag: datetime.timedelta
) -> bool:
    """Return whether this process must read the store instead of its peers.

    One process reads for its failure domain. While that process is dead,
    frozen or cut off, the others would otherwise wait for it, and then for
    its successor.

    :param lag: time since this process learned that there are new records.
    :param max_lag: time within which new records must be in force.
    """
    return lag > max_lag * _DIRECT_READ_FRACTION_OF_MAX_LAG


def wait_time(
    *,
    live_peers: int,
    max_lag: datetime.timedelta,
    store_recovery_time: datetime.timedelta,
    min_interval: datetime.timedelta,
) -> datetime.timedelta:
    """Return how long a poll may wait for new records.

    A poll on a connection that went silent fails only when its wait and the
    answer timeout have passed. The connections of all processes may go silent
    together, so there must be time left to catch up before the store counts
    as healthy again.

    :param live_peers: peers that pass on new records.
    :param max_lag: time within which new records must be in force.
    :param store_recovery_time: time without a failure after which the store
        counts as healthy again.
    :param min_interval: shortest time between two reads.
    """
    default_wait = max_lag * _WAIT_FRACTION_OF_MAX_LAG
    if live_peers < _MIN_LIVE_PEERS:
        return default_wait
    return min(
        _MAX_WAIT,
        max(
            default_wait,
            store_recovery_time
            - ANSWER_TIMEOUT
            - min_interval
            - _CATCH_UP_TIME,
        ),
    )


def is_overdue(
    newest_answer_age: datetime.timedelta | None,
    first_reader_wait: datetime.timedelta,
    reader_index: int,
) -> bool:
    """Return whether a waiting poll should be cancelled and sent again.

    It should be once the store has answered no process for longer than the
    first reader's poll takes: the fleet's connections to the store may have
    gone silent.

    :param newest_answer_age: time since the store last answered any process;
        None if that is not known.
    :param first_reader_wait: wait of the polls of the first reader.
    :param reader_index: number of processes that take over before this one.
    """
    if newest_answer_age is None:
        return False
    return (
        newest_answer_age
        > first_reader_wait
        + ANSWER_TIMEOUT
        + min(reader_index, _MAX_TAKEOVER_STEPS) * _TAKEOVER_DELAY_STEP
    )
