# SPDX-License-Identifier: Apache-2.0
"""Which crash suspects go with a heartbeat."""

import pytest

from lugcross import clock as clock_lib
from lugcross import crash_suspects
from lugcross.edge import suspect_gossip

#: Requests and parts that one crash made suspects.
SUSPECTS = 100


@pytest.fixture
def registry() -> crash_suspects.SuspectRegistry:
    return crash_suspects.SuspectRegistry()


@pytest.fixture
def gossip(registry, manual_clock) -> suspect_gossip.SuspectGossip:
    return suspect_gossip.SuspectGossip(registry, manual_clock)


def _suspect(name: str) -> crash_suspects.Fingerprint:
    return crash_suspects.part_fingerprint("app", name)


def _crash(registry, clock, server, *names) -> None:
    now = clock.monotonic()
    crash = crash_suspects.ServerCrash(
        server, "v1", now, clock_lib.seconds(0.1)
    )
    for name in names:
        registry.record_crash(_suspect(name), crash, now)


def test_part_with_two_crashes_precedes_those_of_one(
    registry, gossip, manual_clock
):
    """A crash makes a suspect of all that ran on the server."""
    manual_clock.advance(clock_lib.seconds(1))
    _crash(registry, manual_clock, "s0", "bad")
    _crash(registry, manual_clock, "s1", "bad")
    _crash(
        registry, manual_clock, "s1", *(f"x{num}" for num in range(SUSPECTS))
    )
    for _ in range(5):
        assert gossip.next_suspects()[0].suspect == _suspect("bad")


def test_all_suspects_of_a_crash_are_sent_in_turn(
    registry, gossip, manual_clock
):
    manual_clock.advance(clock_lib.seconds(1))
    names = [f"x{num}" for num in range(40)]
    _crash(registry, manual_clock, "s1", *names)
    sent = {one.suspect for _ in range(6) for one in gossip.next_suspects()}
    assert sent == {_suspect(name) for name in names}


def test_a_heartbeat_has_room_for_a_few(registry, gossip, manual_clock):
    manual_clock.advance(clock_lib.seconds(1))
    for server in ("s0", "s1"):
        _crash(
            registry,
            manual_clock,
            server,
            *(f"x{num}" for num in range(SUSPECTS)),
        )
    sent = gossip.next_suspects()
    assert len(sent) == len({one.suspect for one in sent}) == 16
    manual_clock.advance(clock_lib.seconds(5))
    assert len(gossip.next_suspects()) == 2


def test_sound_runs_survive_the_way_to_a_peer(manual_clock):
    manual_clock.advance(clock_lib.seconds(60))
    run = crash_suspects.SoundRun(7, "v1", clock_lib.seconds(50))
    record = crash_suspects.SuspectRecord(_suspect("a"), sound_runs=(run,))
    now = manual_clock.monotonic()
    message = suspect_gossip.to_message(record, now)
    assert suspect_gossip.from_message(message, now) == record
