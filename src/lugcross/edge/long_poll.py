# SPDX-License-Identifier: Apache-2.0
"""How long a read waits at the store for news."""

import datetime

#: Longest wait for the answer to a read past its wait for news: it is ready
#: then and takes some milliseconds, 0.2 s where the store is fifty times
#: slower.
ANSWER_TIMEOUT = datetime.timedelta(seconds=1)
#: Longest wait; each read is priced, and one that ends is made anew.
_MAX_WAIT = datetime.timedelta(seconds=4)
#: Part of a bound on news that a read may wait: at times the store does
#: not wake a read that came just before the change.
_WAIT_FRACTION_OF_BOUND = 0.5
#: Kept clear for what follows a read that hung: the next one, and half a
#: second in which peers see that they are behind and ask.
_CATCH_UP_TIME = datetime.timedelta(seconds=0.5)
#: Longest wait of a read of which others are sure to hear: the store allows
#: 30 s, and a read is answered at once when there is news.
STANDBY_WAIT = datetime.timedelta(seconds=20)
#: Time by which each further process waits longer before it takes over: the
#: first to do so has its answer then.
_TAKEOVER_STEP = datetime.timedelta(milliseconds=150)
#: Most processes that take over one after the other; the rest with the last.
_MAX_TAKEOVER_STEPS = 4
#: Live peers that are enough to hear of each change.
_MIN_LIVE_PEERS = 2

#: Part of a bound on news after which a process that knows of news and has
#: not got them from peers reads them itself: late enough for two of them to
#: answer, and early enough for a call that is slow.
_LATE_FRACTION_OF_BOUND = 0.3


def must_read_store(
    lag: datetime.timedelta, bound: datetime.timedelta
) -> bool:
    """Tell whether news must come from the store, whatever peers do.

    One process in a failure domain reads for all. Where it is dead, frozen,
    cut off or its link is full, each of the others would wait for it, and for
    the next one that it takes for the best: up to 3.4 s instead of 0.4 s.

    :param lag: how long the news are known to be there.
    :param bound: time within which the news must be acted on.
    """
    return lag > bound * _LATE_FRACTION_OF_BOUND


def wait_time(
    *,
    peers: int,
    bound: datetime.timedelta,
    contact: datetime.timedelta,
    gap: datetime.timedelta,
) -> datetime.timedelta:
    """Return how long a read may wait for news.

    A read whose connection went silent, maybe just before it was sent,
    shows it only when its wait and the time for an answer are over. That
    must leave time to catch up before the store counts as sound again, since
    all processes' connections may go silent together: with waits of 4 s the
    last of seven processes then had a change after up to 9.8 s, where the
    store counts as sound after 3 s (192 plays in virtual time).

    :param peers: live processes, who tell what is new.
    :param bound: time within which the news must be acted on.
    :param contact: time after which the store counts as sound again.
    :param gap: rest between two reads.
    """
    short_wait = bound * _WAIT_FRACTION_OF_BOUND
    if peers < _MIN_LIVE_PEERS:
        return short_wait
    return min(
        _MAX_WAIT,
        max(short_wait, contact - ANSWER_TIMEOUT - gap - _CATCH_UP_TIME),
    )


def is_overdue(
    age: datetime.timedelta | None, base_wait: datetime.timedelta, rank: int
) -> bool:
    """Tell whether a read that still waits should be made anew at once.

    All of the fleet's connections to the store may have gone silent. As long
    as anyone is answered in time nobody needs to find out.

    :param age: how long ago the store last answered anyone.
    :param base_wait: how long the reads of the first process wait.
    :param rank: how many processes ask before this one.
    """
    if age is None:
        return False
    return (
        age
        > base_wait
        + ANSWER_TIMEOUT
        + min(rank, _MAX_TAKEOVER_STEPS) * _TAKEOVER_STEP
    )
