# SPDX-License-Identifier: Apache-2.0
"""Whatever bytes come from peers, they are a message or a known error."""

from collections.abc import Callable

import cbor2
from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest

from lugcross import clock as clock_lib
from lugcross import crash_suspects
from lugcross.edge import messages
from lugcross.edge import suspect_gossip

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5)
    | strategies.binary(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=3), inner, max_size=3
        )
    ),
    max_leaves=20,
)
DECODERS = [
    messages.decode_datagram,
    messages.decode_state_request,
    messages.decode_state_response,
]
HEARTBEAT = messages.Heartbeat(
    "n", "i", "d", 1, False, 1, 1, {"a": 1}, ["h:1"]
)
#: Nested deeper than any decoder goes, and lengths that no bytes follow.
EXTREMES = [
    b"",
    b"\x81" * 100_000,
    b"\xa1\x61a" * 50_000,
    b"\x9b" + b"\xff" * 8,
    b"\x5b" + b"\xff" * 8,
    b"\xd9\x01\x00" * 1000,
    b"\xc2\x58\xff",
    b"\xa1\x80\x01",
    b"\x7f\x61a",
    b"\xd8\x1c\xd8\x1d\x00",
    b"\xc1\xfb\x7f\xef" + b"\xff" * 6,
    b"\xc0\x61a",
]


def _read(decode: Callable[[bytes], object], data: bytes) -> None:
    try:
        decode(data)
    except (cbor2.CBORDecodeError, msgspec.ValidationError):
        pass


@pytest.mark.parametrize("decode", DECODERS)
@pytest.mark.parametrize("data", EXTREMES)
def test_extreme_bytes_are_refused(
    decode: Callable[[bytes], object], data: bytes
):
    _read(decode, data)


@pytest.mark.parametrize("decode", DECODERS)
@given(data=strategies.binary(max_size=80))
def test_any_bytes_are_a_message_or_refused(
    decode: Callable[[bytes], object], data: bytes
):
    _read(decode, data)


@pytest.mark.parametrize("decode", DECODERS)
@given(value=VALUES)
def test_any_value_is_a_message_or_refused(
    decode: Callable[[bytes], object], value: object
):
    _read(decode, cbor2.dumps(value))


@given(value=VALUES, end=VALUES, field=strategies.integers(0, 2))
def test_bad_suspects_are_refused_and_change_nothing(value, end, field):
    suspect = [b"x" * 16, [["i-1", "v1", 5, 5]], -1]
    suspect[field] = end if field == 1 else value
    fields = cbor2.loads(messages.encode(HEARTBEAT))
    fields[-1] = [suspect]
    try:
        heartbeat = messages.decode_datagram(cbor2.dumps(fields))
    except msgspec.ValidationError:
        return
    registry = crash_suspects.SuspectRegistry()
    clock = clock_lib.ManualClock()
    suspect_gossip.SuspectGossip(registry, clock).merge(heartbeat.suspects)
    sound = crash_suspects.Fingerprint(b"y" * crash_suspects.FINGERPRINT_BYTES)
    now = clock.monotonic()
    status = registry.status(sound, frozenset(["v1"]), now)
    assert status is crash_suspects.SuspectStatus.NOT_SUSPECT


def test_false_news_of_ends_end_with_the_next_answer():
    """A peer tells that servers ended which answer: nobody is refused."""
    clock = clock_lib.ManualClock()
    registry = crash_suspects.SuspectRegistry()
    gossip = suspect_gossip.SuspectGossip(registry, clock)
    request = crash_suspects.Fingerprint(
        b"y" * crash_suspects.FINGERPRINT_BYTES
    )
    crashes = [
        messages.ServerCrash(f"i-{num}", "v1", 0, 5) for num in range(4)
    ]
    told = messages.Suspect(request, crashes)
    gossip.merge([told])
    clock.advance(clock_lib.seconds(1))
    for num in range(4):
        registry.record_answer(f"i-{num}", clock.monotonic())
    clock.advance(clock_lib.seconds(1))
    gossip.merge(
        [
            messages.Suspect(
                request,
                [
                    messages.ServerCrash(one.server, "v1", 2000, 5)
                    for one in crashes
                ],
            )
        ]
    )
    status = registry.status(request, frozenset(["v1"]), clock.monotonic())
    assert status is crash_suspects.SuspectStatus.NOT_SUSPECT


@given(
    place=strategies.integers(
        min_value=0, max_value=len(HEARTBEAT.__struct_fields__) - 1
    ),
    value=VALUES,
)
def test_heartbeat_with_any_field_replaced_is_a_message_or_refused(
    place: int, value: object
):
    fields = cbor2.loads(messages.encode(HEARTBEAT))
    fields[place] = value
    _read(messages.decode_datagram, cbor2.dumps(fields))
