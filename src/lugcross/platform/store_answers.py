# SPDX-License-Identifier: Apache-2.0
"""Answers of the platform's store: records, their decoding, and errors."""

import base64
import dataclasses
import datetime
import struct
from typing import final

import msgspec

from lugcross import errors
from lugcross import ids
from lugcross import positions

#: Length of a record, before it.
RECORD_LENGTH = struct.Struct(">I")
_READ_BOUNDS = struct.Struct(">QQ")
#: Replaces a value that cannot be decoded; an empty one would remove its key.
_UNREADABLE_VALUE = b"\xff"


@final
@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """One record of a keyed topic; an empty value removes the key."""

    position: positions.Position
    key: str
    value: bytes


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadResult:
    """Records of one read of a topic.

    :param end: position up to which the read returned all that was asked for;
        the next read starts there.
    :param records_left: number of records from ``end`` on that the topic had
        but the answer left out, as the store limits its size.
    :param max_age: greatest time since the store took the records, as far as
        the reader can tell.
    """

    end: positions.Position
    records: tuple[KeyedRecord, ...]
    records_left: int = 0
    max_age: datetime.timedelta = datetime.timedelta()


class _NewestItem(msgspec.Struct, frozen=True):
    private_key: str
    value: str
    offset: int


class _NewestPage(msgspec.Struct, frozen=True):
    items: list[_NewestItem]
    has_more: bool
    end: int


def make_position(era: positions.Era, offset: int) -> positions.Position:
    try:
        return positions.position_of(era, ids.Offset(offset))
    except ValueError as exc:
        raise log_unavailable_error(f"malformed response: {exc}") from exc


def decode_newest_item(item: _NewestItem, era: positions.Era) -> KeyedRecord:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        value = _UNREADABLE_VALUE
    return KeyedRecord(
        make_position(era, item.offset), item.private_key, value
    )


def decode_newest_page(body: bytes) -> _NewestPage:
    try:
        return msgspec.json.decode(body, type=_NewestPage)
    except msgspec.DecodeError as exc:
        raise log_unavailable_error(f"malformed response: {exc}") from exc


def decode_records(
    topic: str, body: bytes, start: positions.Position
) -> ReadResult:
    """Decode the response to a read from ``start``.

    The response is the end of the topic and its oldest offset (8 bytes each),
    then the records, each after its length (4 bytes). Integers are big-endian.
    The end is that of the topic, also where the records end before it.

    :raises errors.LogUnavailableError: when it is malformed.
    :raises errors.OffsetExpiredError: when it begins after ``start``.
    :raises errors.RecordsWithheldError: when it has no record although the
        topic has some.
    """
    try:
        era = positions.era(start)
        topic_end, first = _READ_BOUNDS.unpack_from(body)
        records = []
        pos = _READ_BOUNDS.size
        offset = int(positions.offset(start))
        if first > offset:
            raise offset_expired_error(topic, start)
        while pos < len(body):
            (size,) = RECORD_LENGTH.unpack_from(body, pos)
            pos += RECORD_LENGTH.size
            record = body[pos : pos + size]
            if len(record) < size:
                raise log_unavailable_error(
                    f"malformed records: {len(record)} of {size} bytes"
                )
            pos += size
            records.append(_decode_record(make_position(era, offset), record))
            offset += 1
    except struct.error as exc:
        raise log_unavailable_error(f"malformed records: {exc}") from exc
    if not records and topic_end > offset:
        raise _records_withheld_error(topic, offset, topic_end)
    return ReadResult(
        end=make_position(era, offset),
        records=tuple(records),
        records_left=max(0, topic_end - offset),
    )


def _decode_record(offset: positions.Position, record: bytes) -> KeyedRecord:
    """Decode a record: length of its key (1 byte), key, value.

    A malformed record must not keep the others from being read: it gets a
    key or a value that no reader accepts.
    """
    key_end = 1 + record[0] if record else 1
    if key_end > len(record):
        return KeyedRecord(offset, "", _UNREADABLE_VALUE)
    key = record[1:key_end].decode("utf-8", "replace")
    return KeyedRecord(offset, key, record[key_end:])


def offset_expired_error(
    topic: str, start: positions.Position
) -> errors.LugcrossError:
    return errors.OffsetExpiredError(
        f"topic {topic} no longer has offset {positions.offset(start)} of era"
        f" {positions.era(start)}",
        remedy="read the newest record of each key instead",
    )


def _records_withheld_error(
    topic: str, offset: int, topic_end: int
) -> errors.LugcrossError:
    return errors.RecordsWithheldError(
        f"the store returned no record of topic {topic} from offset {offset}"
        f" on, although it ends at {topic_end}",
        remedy="read the newest record of each key instead, and check the"
        " size of the topic's records",
    )


def log_unavailable_error(why: str) -> errors.LogUnavailableError:
    return errors.LogUnavailableError(
        f"the store is unavailable ({why})",
        remedy="nothing to do: the call is repeated, and peers are asked",
    )
