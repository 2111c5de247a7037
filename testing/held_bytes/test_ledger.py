# SPDX-License-Identifier: Apache-2.0
"""Who gives way at the bound of held bytes, without sockets.

Nothing bounded what a process holds for callers that read slowly: a burst of
large bodies and responses exceeded the memory of a small host.
"""

import dataclasses
import logging
import random

import pytest

from lugcross import held_bytes
from lugcross.held_bytes import Kind
from lugcross.held_bytes import Measure

LIMIT = 1000
MB = 1_000_000


@pytest.fixture
def held() -> held_bytes.HeldBytes:
    """Held bytes with a small limit."""
    return held_bytes.HeldBytes(LIMIT)


def _fill(held: held_bytes.HeldBytes, size: int) -> held_bytes.Holding:
    holding = held.open()
    holding.set(Kind.UNSENT, size)
    return holding


@pytest.mark.parametrize(
    ("memory_mb", "limit"),
    [(None, None), (152, 44 * MB), (552, 244 * MB), (40, 5 * MB)],
)
def test_the_limit_is_a_part_of_the_hosts_memory(memory_mb, limit):
    """Guards against a bound that leaves the process itself no memory."""
    assert held_bytes.limit_bytes(memory_mb) == limit


def test_bytes_are_counted_by_connection_and_in_sum(held):
    """Guards against a sum that differs from what connections hold."""
    first, second = held.open(), held.open()
    first.set(Kind.REQUEST, 30)
    first.set(Kind.UNSENT, 20)
    second.set(Kind.RESPONSE, 5)
    first.set(Kind.REQUEST, 10)
    assert (first.total, second.total, held.total) == (30, 5, 35)
    assert held.largest() == 30
    first.close()
    first.set(Kind.UNSENT, 20)
    assert (held.total, held.largest()) == (5, 5)


def test_measures_are_taken_and_ended_in_order(held):
    """Guards against responses that are slowed while bodies are still read."""
    holding = _fill(held, 0)
    found = []
    for size in [*range(0, 1101, 50), *range(1100, -1, -50)]:
        holding.set(Kind.UNSENT, size)
        found.append((size, held.measure))
    changes = [
        (size, measure)
        for (_, before), (size, measure) in zip(found, found[1:], strict=False)
        if measure is not before
    ]
    assert changes == [
        (800, Measure.STOP_BODIES),
        (900, Measure.REFUSE_BODIES),
        (1000, Measure.SLOW_RESPONSES),
        (850, Measure.REFUSE_BODIES),
        (750, Measure.STOP_BODIES),
        (650, Measure.NONE),
    ]


def test_one_connection_has_the_turn_until_its_request_ends(held):
    """Guards against half-read bodies that wait for each other for ever."""
    _fill(held, 850)
    first, second = held.open(), held.open()
    assert first.may_read_body()
    assert not second.may_read_body()
    assert first.may_read_body()
    notified = []
    second.call_on_change(lambda: notified.append(1))
    # Its body is read, but not yet freed.
    first.set(Kind.REQUEST, 10)
    assert not second.may_read_body()
    first.end_request()
    assert notified == [1]
    assert second.may_read_body()
    assert not first.may_read_body()


def test_a_connection_that_closes_gives_up_its_turn(held):
    """Guards against a turn that a caller takes with it."""
    _fill(held, 850)
    first, second = held.open(), held.open()
    assert first.may_read_body()
    first.close()
    assert second.may_read_body()


def test_new_bodies_are_refused_only_after_bodies_are_stopped(held):
    """Guards against refusals while waiting would do."""
    holding = _fill(held, 850)
    assert held.admits_body()
    holding.set(Kind.UNSENT, 900)
    assert not held.admits_body()
    holding.set(Kind.UNSENT, 0)
    assert held.admits_body()


def test_at_the_bound_only_callers_that_have_taken_all_are_read_for(held):
    """Guards against slow callers that stop the responses of all others."""
    slow = _fill(held, 990)
    assert slow.may_read_response()
    quick = held.open()
    quick.set(Kind.RESPONSE, 10)
    assert not slow.may_read_response()
    assert quick.may_read_response()
    assert not quick.may_hold_response()
    notified = []
    slow.call_on_change(lambda: notified.append(1))
    quick.set(Kind.RESPONSE, 0)
    slow.set(Kind.UNSENT, 890)
    assert notified == [1]
    assert slow.may_read_response()
    assert quick.may_hold_response()


def test_a_connection_that_no_longer_waits_is_forgotten(held):
    """Guards against callbacks that pile up at the bound."""
    first = _fill(held, 1000)
    notified = []

    def notify() -> None:
        notified.append(1)

    first.call_on_change(notify)
    first.forget(notify)
    first.forget(notify)
    first.set(Kind.UNSENT, 0)
    assert not notified


def test_without_a_limit_nothing_is_refused_and_the_sum_is_counted():
    """Guards against a bound where none is set."""
    held = held_bytes.HeldBytes(None)
    holding = _fill(held, 10**12)
    assert held.total == 10**12
    assert held.measure is Measure.NONE
    assert held.admits_body()
    assert holding.may_read_body()
    assert holding.may_read_response()
    assert holding.may_hold_response()


def test_the_bound_is_logged_once_when_it_is_reached_and_left(held, caplog):
    """Guards against a line for each read at the bound."""
    caplog.set_level(logging.INFO)
    holding = _fill(held, 0)
    for size in (799, 800, 950, 1010, 940, 1010, 780, 720, 699, 750):
        holding.set(Kind.UNSENT, size)
    lines = [one.getMessage() for one in caplog.records]
    assert lines == [
        "held bytes reached their bound",
        "held bytes left their bound",
    ]
    reached = caplog.records[0]
    assert (reached.held_bytes, reached.limit_bytes) == (800, LIMIT)
    assert (reached.connections, reached.largest_bytes) == (1, 800)


@dataclasses.dataclass
class _Request:
    """A request with a body and a response, in a replay in steps of 10 ms.

    :param take: bytes that its caller takes in a step.
    :param serve_steps: steps until its server begins to answer.
    """

    holding: held_bytes.Holding
    body: int
    response: int
    take: int
    serve_steps: int
    read: int = 0
    unsent: int = 0
    begun: bool = False
    served: bool = False

    def step(self, limited: bool) -> None:
        chunk = 65_536
        if self.served:
            return
        if self.read < self.body:
            if self.holding.may_read_body() or not limited:
                self.begun = True
                self.read = min(self.read + chunk, self.body)
                self.holding.set(Kind.REQUEST, self.read)
            return
        self.begun = True
        if self.serve_steps:
            self.serve_steps -= 1
            return
        self.unsent -= min(self.unsent, self.take)
        self.holding.set(Kind.UNSENT, self.unsent)
        if self.response and (self.holding.may_read_response() or not limited):
            size = min(chunk, self.response)
            self.response -= size
            self.unsent += size
            self.holding.set(Kind.UNSENT, self.unsent)
        if not self.response and not self.unsent:
            self.served = True
            self.holding.set(Kind.REQUEST, 0)
            self.holding.end_request()


def _replay(limit: int | None) -> tuple[int, list[_Request], int]:
    """Replay a burst; return the highest sum, the requests and refusals.

    200 callers come within two seconds, half of them with a body of 1 MB and
    half with a response of 3 MB; every fifth caller takes 200 KB a second.
    """
    held = held_bytes.HeldBytes(limit)
    rng = random.Random(1)
    requests: list[_Request] = []
    highest = refused = 0
    for step in range(20_000):
        if step < 200:
            has_body = step % 2 == 0
            if has_body and not held.admits_body():
                refused += 1
            else:
                requests.append(
                    _Request(
                        held.open(),
                        body=MB if has_body else 0,
                        response=1000 if has_body else 3 * MB,
                        take=2000 if step % 5 == 0 else MB,
                        serve_steps=rng.randrange(100, 400),
                    )
                )
        for one in requests:
            one.step(limit is not None)
            highest = max(highest, held.total)
        if step > 200 and all(one.served for one in requests):
            break
    assert held.total == 0
    return highest, requests, refused


def test_a_burst_stays_within_the_bound_and_all_that_was_begun_is_served():
    """Guards against a host that runs out of memory, and against stalls."""
    limit = 20 * MB
    highest, requests, refused = _replay(limit)
    # A read of each of the requests that go on at the bound, and one body.
    assert limit * 0.8 < highest < limit + 4 * MB
    assert all(one.served for one in requests if one.begun)
    assert len(requests) + refused == 200
    assert 0 < refused < 100


def test_without_the_module_the_burst_exceeds_the_bound():
    """Guards against a replay that would pass in any case."""
    highest, requests, refused = _replay(None)
    assert highest > 60 * MB
    assert all(one.served for one in requests)
    assert refused == 0
