# SPDX-License-Identifier: Apache-2.0
"""Processes of commit 76ebb2a and of today run side by side.

Hosts are replaced one after the other. A message that the other build cannot
decode is dropped, so that both would know less of the fleet than either alone.
"""

from collections.abc import Callable
from collections.abc import Mapping
import pathlib
import types
from typing import Any

import cbor2
import frame_samples
import messages_76ebb2a as old
import msgspec
import pytest

from lugcross import crash_suspects
from lugcross.edge import messages
from lugcross.edge import patches
from lugcross.edge import peers
from lugcross.edge import suspect_store
from lugcross import experts
from lugcross import rate_limits
from lugcross.rate_limits import limit_reports
from lugcross import record_codec

ALL_FRAMES = pathlib.Path(__file__).parent / "frames"
FRAMES = ALL_FRAMES / "76ebb2a"
TODAY = types.SimpleNamespace(
    **{name: getattr(messages, name) for name in dir(messages)}
)
TODAY.Patch = patches.Patch
TODAY.Splice = patches.Splice
TODAY.ServerLimit = rate_limits.ServerLimitMessage
TODAY.MAX_LIMIT_AGE_MS = limit_reports._MAX_LIMIT_AGE_MS
TODAY.LeaseRecord = experts.LeaseRecord
TODAY.StoredSuspect = suspect_store._StoredSuspect


def _decode_suspect(data: bytes) -> Any:
    return msgspec.convert(
        cbor2.loads(data), TODAY.StoredSuspect, builtin_types=(bytes,)
    )


def _decode_lease(data: bytes) -> Any:
    return record_codec.decode(data, experts.LeaseRecord)


#: Samples, today's decoder of them, and the type that 76ebb2a decodes to.
KINDS: list[
    tuple[Callable[[Any], Mapping[str, Any]], Callable[[bytes], Any], Any]
] = [
    (frame_samples.datagrams, messages.decode_datagram, None),
    (
        frame_samples.state_requests,
        messages.decode_state_request,
        old.StateRequest,
    ),
    (
        frame_samples.state_responses,
        messages.decode_state_response,
        old.StateResponse,
    ),
    (frame_samples.suspect_records, _decode_suspect, old.StoredSuspect),
    (frame_samples.lease_records, _decode_lease, old.LeaseRecord),
]
CASES = [
    pytest.param(name, samples, decode, old_type, id=name)
    for samples, decode, old_type in KINDS
    for name in samples(old)
]
#: Fields of heartbeats that were appended after 76ebb2a.
APPENDED = messages.Heartbeat.__struct_fields__[
    len(old.Heartbeat.__struct_fields__) :
]


def _frame(name: str) -> bytes:
    return (FRAMES / name).read_bytes()


def _old_decode(data: bytes, old_type: Any) -> Any:
    if old_type is None:
        return old.decode_datagram(data)
    return old.decode(data, old_type)


def _value_of(kind: msgspec.inspect.Type) -> Any:
    """Return a value of a type that is not empty, as builtin types."""
    inspect = msgspec.inspect
    match kind:
        case inspect.UnionType():
            kinds = (one for one in kind.types if one != inspect.NoneType())
            return _value_of(next(kinds))
        case inspect.ListType() | inspect.VarTupleType():
            return [_value_of(kind.item_type)]
        case inspect.TupleType():
            return [_value_of(one) for one in kind.item_types]
        case inspect.DictType():
            return {_value_of(kind.key_type): _value_of(kind.value_type)}
        case inspect.StructType():
            return [_value_of(one.type) for one in kind.fields]
        case inspect.IntType():
            return max(kind.ge or 0, 1)
        case inspect.FloatType():
            return float(max(kind.ge or 0.0, 1.0))
        case inspect.StrType():
            return "x" * max(kind.min_length or 0, 1)
        case inspect.BytesType():
            return b"x" * max(kind.min_length or 0, 1)
        case inspect.BoolType():
            return True
    raise TypeError(f"add a value for {kind} here")


def _with_appended_fields() -> messages.Heartbeat:
    """Return a heartbeat of today in which each appended field has a value."""
    fields = msgspec.inspect.type_info(messages.Heartbeat).fields
    values = cbor2.loads(messages.encode(frame_samples.full_heartbeat(TODAY)))
    start = len(values) - len(APPENDED)
    values[start:] = [_value_of(one.type) for one in fields[start:]]
    return messages.decode_datagram(cbor2.dumps(values))


@pytest.mark.parametrize("build", ["76ebb2a", "d9d5186"])
@pytest.mark.parametrize(("name", "samples", "decode", "old_type"), CASES)
def test_recorded_frames_are_decoded_today(
    name, samples, decode, old_type, build
):
    """Guards against a field that is moved, removed or of another type."""
    data = (ALL_FRAMES / build / name).read_bytes()
    assert decode(data) == samples(TODAY)[name]


def test_sound_runs_of_suspects_do_not_disturb_76ebb2a():
    """Guards against reports of prompt parts that old processes drop."""
    heartbeat = frame_samples.full_heartbeat(TODAY)
    runs = [TODAY.SoundRun(num, "v1", 5) for num in range(3)]
    suspects = [
        msgspec.structs.replace(one, sound_runs=runs)
        for one in heartbeat.suspects
    ]
    sent = msgspec.structs.replace(heartbeat, suspects=suspects)
    data = messages.encode(sent)
    assert messages.decode_datagram(data) == sent
    assert old.decode_datagram(data) == frame_samples.full_heartbeat(old)


@pytest.mark.parametrize(("name", "samples", "decode", "old_type"), CASES)
def test_frames_of_today_are_decoded_by_76ebb2a(
    name, samples, decode, old_type
):
    """Guards against a message that an old process drops or misreads."""
    data = TODAY.encode(samples(TODAY)[name])
    assert _old_decode(data, old_type) == samples(old)[name]


@pytest.mark.parametrize(("name", "samples", "decode", "old_type"), CASES)
def test_the_kept_types_encode_as_76ebb2a_did(name, samples, decode, old_type):
    """Guards against a copy of the old types that differs from them."""
    assert old.encode(samples(old)[name]) == _frame(name)


def test_every_recorded_frame_is_checked():
    """Guards against samples that are renamed and no longer compared."""
    names = {one.id for one in CASES} | {frame_samples.NODE_RECORD}
    assert {one.name for one in FRAMES.iterdir()} == names


def test_registrations_are_read_by_both_builds():
    """Guards against a process that its peers of the other build miss."""
    address = frame_samples.NODE_ADDRESS
    recorded = _frame(frame_samples.NODE_RECORD)
    assert peers.node_addresses([recorded]) == [address]
    assert old.node_addresses([address.encode()]) == [address]


def test_fields_are_only_appended_to_heartbeats():
    """Guards against a field that takes the place of another one."""
    fields = old.Heartbeat.__struct_fields__
    assert messages.Heartbeat.__struct_fields__[: len(fields)] == fields


def test_appended_fields_cost_a_byte_each_while_empty():
    """Guards against heartbeats that grow for all, with nothing to report."""
    today = messages.encode(frame_samples.minimal_heartbeat(TODAY))
    recorded = _frame("heartbeat_minimal")
    # The count of fields takes a second byte from the 24th field on.
    count_bytes = 1 if APPENDED else 0
    assert len(today) == len(recorded) + len(APPENDED) + count_bytes


def test_appended_fields_with_values_do_not_disturb_76ebb2a():
    """Guards against new reports that make old processes drop heartbeats."""
    heartbeat = _with_appended_fields()
    for name in APPENDED:
        assert getattr(heartbeat, name), name
    expected = frame_samples.full_heartbeat(old)
    assert old.decode_datagram(messages.encode(heartbeat)) == expected
    relayed = messages.RelayedHeartbeat("10.0.0.3:9004", heartbeat)
    assert old.decode_datagram(messages.encode(relayed)) == (
        old.RelayedHeartbeat("10.0.0.3:9004", expected)
    )


@pytest.mark.parametrize("value", [[], {}, 7, b"x", [["a", [1, None]]]])
@pytest.mark.parametrize("count", [1, 3, 20])
def test_any_further_fields_are_ignored_by_both_builds(value, count):
    """Guards against decoders that reject the fields of a later build."""
    recorded = cbor2.loads(_frame("heartbeat_full"))
    expected = frame_samples.full_heartbeat(old)
    data = cbor2.dumps([*recorded, *[value] * count])
    assert old.decode_datagram(data) == expected
    today = cbor2.loads(messages.encode(frame_samples.full_heartbeat(TODAY)))
    later = cbor2.dumps([*today, *[value] * count])
    assert messages.decode_datagram(later) == (
        frame_samples.full_heartbeat(TODAY)
    )


def test_limits_of_messages_do_not_exceed_those_of_76ebb2a():
    """Guards against values that old processes reject as out of range."""
    assert crash_suspects.MAX_CRASHES_KEPT <= old._MAX_CRASHES_KEPT
    assert crash_suspects.FINGERPRINT_BYTES == old._FINGERPRINT_BYTES
    for name in (
        "MAX_STORE_ANSWER_AGE_MS",
        "MAX_CRASH_AGE_MS",
        "MAX_REFUSAL_AGE_MS",
        "MAX_LIMIT_AGE_MS",
    ):
        assert getattr(TODAY, name) <= getattr(old, name), name
