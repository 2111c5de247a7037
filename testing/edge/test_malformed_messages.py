# SPDX-License-Identifier: Apache-2.0
"""Any bytes from a peer are decoded to a message or rejected with an error."""

from collections.abc import Callable

import cbor2
from hypothesis import example
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
SUSPECTS_INDEX = HEARTBEAT.__struct_fields__.index("suspects")
#: Nesting deeper than any decoder supports, and lengths beyond the data.
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


def _decode_or_reject(decode: Callable[[bytes], object], data: bytes) -> None:
    try:
        decode(data)
    except (cbor2.CBORDecodeError, msgspec.ValidationError):
        pass


@pytest.mark.parametrize("decode", DECODERS)
@pytest.mark.parametrize("data", EXTREMES)
def test_extreme_bytes_are_rejected(
    decode: Callable[[bytes], object], data: bytes
):
    _decode_or_reject(decode, data)


@pytest.mark.parametrize("decode", DECODERS)
@given(data=strategies.binary(max_size=80))
def test_random_bytes_are_decoded_or_rejected(
    decode: Callable[[bytes], object], data: bytes
):
    _decode_or_reject(decode, data)


@pytest.mark.parametrize("decode", DECODERS)
@given(value=VALUES)
def test_random_values_are_decoded_or_rejected(
    decode: Callable[[bytes], object], value: object
):
    _decode_or_reject(decode, cbor2.dumps(value))


@given(value=VALUES, crashes=VALUES, field=strategies.integers(0, 3))
@example(value=None, crashes=[["i-1", "v1", 5, 5]], field=1)
@example(value=None, crashes=[["i-1", "v1", 5, -1]], field=1)
@example(value=7, crashes=None, field=2)
@example(value=b"short", crashes=None, field=0)
@example(value=[[1, "v1", 5]] * 4, crashes=None, field=3)
@example(value=[[-1, "v1", 5]], crashes=None, field=3)
@example(value=[[1, "v1", 2**40]], crashes=None, field=3)
def test_malformed_suspects_are_rejected_and_change_nothing(
    value, crashes, field
):
    suspect = [b"x" * 16, [["i-1", "v1", 5, 5]], -1, []]
    suspect[field] = crashes if field == 1 else value
    fields = cbor2.loads(messages.encode(HEARTBEAT))
    fields[SUSPECTS_INDEX] = [suspect]
    try:
        heartbeat = messages.decode_datagram(cbor2.dumps(fields))
    except msgspec.ValidationError as exc:
        # Not for another field: the suspects would not have been read.
        assert f"`$[{SUSPECTS_INDEX}][0]" in str(exc)
        return
    assert len(heartbeat.suspects) == 1
    registry = crash_suspects.SuspectRegistry()
    clock = clock_lib.ManualClock()
    suspect_gossip.SuspectGossip(registry, clock).merge(heartbeat.suspects)
    other_request = crash_suspects.Fingerprint(
        b"y" * crash_suspects.FINGERPRINT_BYTES
    )
    now = clock.monotonic()
    status = registry.assess([other_request], frozenset(["v1"]), now).status
    assert status is crash_suspects.SuspectStatus.NOT_SUSPECT


def test_false_crash_reports_are_dropped_when_the_servers_answer():
    """A peer reports crashes of servers that answer: no request is refused."""
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
    status = registry.assess(
        [request], frozenset(["v1"]), clock.monotonic()
    ).status
    assert status is crash_suspects.SuspectStatus.NOT_SUSPECT


@given(
    index=strategies.integers(
        min_value=0, max_value=len(HEARTBEAT.__struct_fields__) - 1
    ),
    value=VALUES,
)
def test_heartbeat_with_any_field_replaced_is_decoded_or_rejected(
    index: int, value: object
):
    fields = cbor2.loads(messages.encode(HEARTBEAT))
    fields[index] = value
    _decode_or_reject(messages.decode_datagram, cbor2.dumps(fields))
