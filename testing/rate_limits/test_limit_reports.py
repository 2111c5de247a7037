# SPDX-License-Identifier: Apache-2.0
"""Reports of cold servers between processes.

A process that is not told of a server that has become cold during traffic
would send it its usual requests until the server's next entry.
"""

import datetime
import math

import cbor2
import msgspec
import pytest

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import messages
from lugcross import rate_limits

KEY = desired.BackendKey("i-0")
MS = datetime.timedelta(milliseconds=1)
COLD_TIME = 3000 * MS
ENTRY = rate_limits.ColdSource.ENTRY
RESPONSE = rate_limits.ColdSource.RESPONSE


def _pair(
    clock: clock_lib.ManualClock,
) -> tuple[rate_limits.ServerLimits, rate_limits.ServerLimits]:
    """Return the limits at two processes."""
    one, two = (rate_limits.ServerLimits(clock) for _ in range(2))
    for limits in (one, two):
        limits.cold.limit_of = lambda key: desired.ColdLimit(
            duration=COLD_TIME, requests_per_s=23.0
        )
    return one, two


def _heartbeat(**fields) -> messages.Heartbeat:
    return messages.Heartbeat("p", "i", "d", 1, False, 1, 1, {}, [], **fields)


def _tell(sender, receiver) -> int:
    """Pass on a heartbeat as its bytes; return how many servers it names."""
    heartbeat = _heartbeat(cold_servers=rate_limits.own_cold_messages(sender))
    received = messages.decode_datagram(messages.encode(heartbeat))
    assert isinstance(received, messages.Heartbeat)
    rate_limits.apply_cold_messages(receiver, received.cold_servers)
    return len(received.cold_servers)


def test_peers_hear_of_what_a_response_said_for_a_short_time(manual_clock):
    one, two = _pair(manual_clock)
    one.record_cold(KEY, COLD_TIME, RESPONSE)
    manual_clock.advance(200 * MS)
    assert _tell(one, two) == 1
    assert two.cold.left_ms(KEY) == 2800
    # A peer does not repeat it, and a response that says the same is no news.
    assert _tell(two, one) == 0
    manual_clock.advance(200 * MS)
    one.record_cold(KEY, COLD_TIME - 400 * MS, RESPONSE)
    assert _tell(one, two) == 0


def test_entries_are_not_repeated_to_peers(manual_clock):
    one, two = _pair(manual_clock)
    one.record_cold(KEY, COLD_TIME, ENTRY)
    one.record_cold(KEY, COLD_TIME, RESPONSE)
    assert _tell(one, two) == 0


def test_one_heartbeat_names_the_newest_eight(manual_clock):
    one, two = _pair(manual_clock)
    for num in range(20):
        manual_clock.advance(MS)
        one.record_cold(desired.BackendKey(f"i-{num}"), COLD_TIME, RESPONSE)
    assert _tell(one, two) == 8
    assert two.cold_servers() == {f"i-{num}" for num in range(12, 20)}


@pytest.mark.parametrize(
    "value",
    [
        [["i-0", -1]],
        [["i-0", 3_600_001]],
        [["i-0", 1.5]],
        [["i-0", math.nan]],
        [["i" * 201, 1]],
        [["i-0"]],
        [["i-0", 1]] * 9,
        {},
        None,
    ],
)
def test_invalid_report_of_a_peer_is_refused(value):
    raw = msgspec.to_builtins(_heartbeat())
    raw[_heartbeat().__struct_fields__.index("cold_servers")] = value
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert(raw, messages.Heartbeat)


def test_heartbeat_without_cold_servers_grows_by_one_byte():
    values = cbor2.loads(messages.encode(_heartbeat()))
    index = _heartbeat().__struct_fields__.index("cold_servers")
    assert values[index] == []
    assert cbor2.dumps(values[index]) == b"\x80"
    # All other fields take the same bytes with and without it.
    without = values[:index] + values[index + 1 :]
    assert len(cbor2.dumps(values)) == len(cbor2.dumps(without)) + 1
