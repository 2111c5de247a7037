# SPDX-License-Identifier: Apache-2.0
"""Client of the platform's log, over HTTP, for asyncio.

A topic has partitions of records. In a topic with keys the newest record
of each key is kept for good; a record without a value removes its key.
"""

import asyncio
import base64
from collections.abc import Callable
import dataclasses
import datetime
import http
import struct
from typing import final
import urllib.parse

from absl import logging
import msgspec

from lugcross import address as address_lib
from lugcross import errors
from lugcross import http1
from lugcross import ids
from lugcross.platform import header_names
from lugcross import positions

_RECORD_LENGTH = struct.Struct(">I")
_READ_BOUNDS = struct.Struct(">QQ")
#: Digits of the largest era, and a few more that a log line shows.
_MAX_ERA_DIGITS = 12
#: Stands for a value that cannot be read; none would remove its key.
_UNREADABLE_VALUE = b"\xff"


@final
@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """One record of a topic with keys; no value removes the key."""

    position: positions.Position
    key: str
    value: bytes


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadResult:
    """Answer to one read of a topic.

    :param end: position that the next record will get.
    """

    end: positions.Position
    records: tuple[KeyedRecord, ...]


class _NewestItem(msgspec.Struct, frozen=True):
    private_key: str
    value: str
    offset: int


class _AppendAnswer(msgspec.Struct, frozen=True):
    end: int


class _NewestPage(msgspec.Struct, frozen=True):
    items: list[_NewestItem]
    has_more: bool
    end: int


@final
class StoreClient:
    """Reads and writes the platform's log, one call at a time each.

    :param address: as ``HOST:PORT``.
    :param timeout: longest wait for an answer, past what a read asked
        the store to wait.
    """

    def __init__(self, address: str, *, timeout: datetime.timedelta) -> None:
        self._host, self._port = address_lib.split_host_port(address)
        self._timeout = timeout
        self._idle: list[http1.ClientConn] = []
        #: The newest era that the store has told.
        self.era = positions.Era(0)
        self._has_answered = False
        #: Called with a new era, and the one before it.
        self.on_new_era: Callable[[positions.Era, positions.Era], None] = (
            lambda era, before: None
        )

    async def read_newest(self, topic: str) -> ReadResult:
        """Return the newest record of each key of ``topic``.

        The end is that of the first page: the pages are no snapshot, so
        that reading must go on from before the others were made.

        :raises errors.LogUnavailableError: when they cannot be read.
        """
        records: list[KeyedRecord] = []
        end: positions.Position | None = None
        after = ""
        while True:
            query = {"topic": topic, "part": "0"}
            if after:
                query["after_revision"] = after
            status, body = await self._request("GET", "/log-newest", query)
            if status != http.HTTPStatus.OK:
                raise _log_unavailable_error(f"status {status}")
            page = _decode_newest_page(body)
            era = self.era
            if end is not None and positions.era(end) != era:
                raise _log_unavailable_error(
                    "its era has changed between two pages"
                )
            records.extend(
                _decode_newest_item(item, era) for item in page.items
            )
            end = _make_position(era, page.end) if end is None else end
            if not page.has_more or not page.items:
                return ReadResult(end=end, records=tuple(records))
            after = page.items[-1].private_key

    async def read_from(
        self,
        topic: str,
        start: positions.Position,
        *,
        wait: datetime.timedelta,
        answer_timeout: datetime.timedelta | None = None,
    ) -> ReadResult:
        """Return the records from ``start`` on, waiting for the first.

        :param wait: how long the store may wait for the first.
        :param answer_timeout: longest wait for the response, added to
            ``wait``; the client's ``timeout`` if none.
        :raises errors.OffsetExpiredError: when ``start`` is too old, or of
            an earlier era.
        :raises errors.LogUnavailableError: when they cannot be read.
        """
        era = positions.era(start)
        if era < self.era:
            raise _offset_expired_error(topic, start)
        from_ = str(positions.offset(start))
        query = {"topic": topic, "part": "0", "from": from_}
        if wait:
            wait_ms = wait / datetime.timedelta(milliseconds=1)
            query["wait_ms"] = str(int(wait_ms))
        status, body = await self._request(
            "GET", "/log-read", query, wait=wait, answer_timeout=answer_timeout
        )
        if status == http.HTTPStatus.GONE or era < self.era:
            raise _offset_expired_error(topic, start)
        if status != http.HTTPStatus.OK:
            raise _log_unavailable_error(f"status {status}")
        return _decode_records(body, start)

    def _update_era(self, answer: http1.ResponseHead) -> None:
        """Take over the era that an answer tells.

        :raises errors.LogUnavailableError: when it is an earlier one.
        """
        first, self._has_answered = not self._has_answered, True
        era = _parse_era(answer)
        if era is None or era == self.era:
            return
        if era < self.era:
            raise _log_unavailable_error(
                f"an answer of era {era} after {self.era}"
            )
        before, self.era = self.era, era
        if not first:
            self.on_new_era(era, before)

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append one record to a topic with keys.

        :raises errors.AppendUnknownError: it may have been kept.
        """
        await self._append(topic, key, value, {})

    async def append_if_end(
        self, topic: str, key: str, value: bytes, end: positions.Position
    ) -> positions.Position:
        """Append one record if the topic ends at ``end``.

        :returns: where the topic ends now.
        :raises errors.AppendConflictError: when it ends elsewhere, or an
            era has begun in which the same end stands for another place.
        :raises errors.AppendUnknownError: it may have been kept, or may
            be yet.
        """
        era = positions.era(end)
        if era < self.era:
            raise _append_conflict_error(topic)
        condition = {"current_rev": str(positions.offset(end))}
        body = await self._append(topic, key, value, condition)
        if era < self.era:
            raise _append_conflict_error(topic)
        try:
            appended = msgspec.json.decode(body, type=_AppendAnswer)
            return positions.position_of(era, ids.Offset(appended.end))
        except ValueError as exc:
            raise _append_unknown_error(f"bad answer: {exc}") from exc

    async def _append(
        self, topic: str, key: str, value: bytes, condition: dict[str, str]
    ) -> bytes:
        name = key.encode()
        rest = bytes((len(name),)) + name + value
        record = _RECORD_LENGTH.pack(len(rest)) + rest
        query = {"topic": topic, "part": "0", **condition}
        try:
            status, body = await self._request(
                "POST", "/log-append", query, body=record
            )
        except errors.LogUnavailableError as exc:
            raise _append_unknown_error(str(exc)) from exc
        if status == http.HTTPStatus.PRECONDITION_FAILED:
            raise _append_conflict_error(topic)
        if status != http.HTTPStatus.OK:
            raise _append_unknown_error(f"status {status}")
        return body

    def close(self) -> None:
        """Close the connections that no call uses."""
        while self._idle:
            self._idle.pop().close()

    async def _request(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        *,
        body: bytes = b"",
        wait: datetime.timedelta = datetime.timedelta(),
        answer_timeout: datetime.timedelta | None = None,
    ) -> tuple[int, bytes]:
        limit = (wait + (answer_timeout or self._timeout)).total_seconds()
        conn = await self._acquire_connection()
        kept = bool(conn.request_count)
        try:
            async with asyncio.timeout(limit):
                target = f"{path}?{urllib.parse.urlencode(query)}"
                headers = [(b"Host", f"{self._host}:{self._port}".encode())]
                if method == "POST":
                    length = str(len(body)).encode()
                    headers.append((b"Content-Length", length))
                conn.send(method.encode(), target.encode(), headers, body)
                head = await conn.read_head()
                answered = await conn.read_body()
        except (http1.ConnectionBrokenError, TimeoutError) as exc:
            conn.close()
            if isinstance(exc, TimeoutError):
                # Silence mostly strikes all connections of one path: the
                # next call on another kept one would hang as long.
                self.close()
            why = str(exc) or f"no answer within {limit:g} s"
            way = "kept" if kept else "new"
            raise _log_unavailable_error(
                f"{why}, on a {way} connection"
            ) from exc
        except BaseException:
            conn.close()
            raise
        if conn.reusable:
            self._idle.append(conn)
        else:
            conn.close()
        self._update_era(head)
        return head.status, answered

    async def _acquire_connection(self) -> http1.ClientConn:
        while self._idle:
            conn = self._idle.pop()
            if not conn.closing and not conn.has_unread_data:
                return conn
            conn.close()
        try:
            return await http1.connect(
                self._host,
                self._port,
                timeout_s=self._timeout.total_seconds(),
            )
        except http1.NoConnectionError as exc:
            raise _log_unavailable_error(str(exc)) from exc


def _parse_era(answer: http1.ResponseHead) -> positions.Era | None:
    """Return the era that an answer tells; none if it tells none."""
    found = dict(answer.headers)
    text = header_names.header_text(found, header_names.STORE_ERA)
    if not text:
        return None
    digits = text.isascii() and text.isdigit()
    if (
        digits
        and len(text) <= _MAX_ERA_DIGITS
        and int(text) <= positions.MAX_ERA
    ):
        return positions.Era(int(text))
    logging.warning("era not read", extra={"why": text[:_MAX_ERA_DIGITS]})
    return None


def _make_position(era: positions.Era, offset: int) -> positions.Position:
    try:
        return positions.position_of(era, ids.Offset(offset))
    except ValueError as exc:
        raise _log_unavailable_error(f"bad answer: {exc}") from exc


def _decode_newest_item(item: _NewestItem, era: positions.Era) -> KeyedRecord:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        value = _UNREADABLE_VALUE
    return KeyedRecord(
        _make_position(era, item.offset), item.private_key, value
    )


def _decode_newest_page(body: bytes) -> _NewestPage:
    try:
        return msgspec.json.decode(body, type=_NewestPage)
    except msgspec.DecodeError as exc:
        raise _log_unavailable_error(f"bad answer: {exc}") from exc


def _decode_records(body: bytes, start: positions.Position) -> ReadResult:
    """Decode the end, the first offset kept and the records.

    Each record is its length, the length of its key, key and value.
    """
    try:
        era = positions.era(start)
        end, first = _READ_BOUNDS.unpack_from(body)
        records = []
        at = _READ_BOUNDS.size
        offset = max(positions.offset(start), first)
        while at < len(body):
            (size,) = _RECORD_LENGTH.unpack_from(body, at)
            at += _RECORD_LENGTH.size
            record = body[at : at + size]
            at += size
            records.append(_decode_record(_make_position(era, offset), record))
            offset += 1
    except struct.error as exc:
        raise _log_unavailable_error(f"bad records: {exc}") from exc
    return ReadResult(end=_make_position(era, end), records=tuple(records))


def _decode_record(offset: positions.Position, record: bytes) -> KeyedRecord:
    """Return one record; one that cannot be read must not hide the others.

    Its key is of no server then, or its value none that a server writes.
    """
    key_end = 1 + record[0] if record else 1
    if key_end > len(record):
        return KeyedRecord(offset, "", _UNREADABLE_VALUE)
    key = record[1:key_end].decode("utf-8", "replace")
    return KeyedRecord(offset, key, record[key_end:])


def _offset_expired_error(
    topic: str, start: positions.Position
) -> errors.LugcrossError:
    return errors.OffsetExpiredError(
        f"topic {topic} no longer has offset {positions.offset(start)} of era"
        f" {positions.era(start)}",
        remedy="start again from the newest record of each key",
    )


def _append_conflict_error(topic: str) -> errors.LugcrossError:
    return errors.AppendConflictError(
        f"topic {topic} does not end where it was read",
        remedy="read it again",
    )


def _log_unavailable_error(why: str) -> errors.LogUnavailableError:
    return errors.LogUnavailableError(
        f"the platform's log cannot be used ({why})",
        remedy="nothing to do: it is asked again, and so are peers",
    )


def _append_unknown_error(why: str) -> errors.AppendUnknownError:
    return errors.AppendUnknownError(
        f"the append got no clear answer ({why})",
        remedy="append it again: the newest record of a key counts",
    )


__all__ = ["KeyedRecord", "ReadResult", "StoreClient"]
