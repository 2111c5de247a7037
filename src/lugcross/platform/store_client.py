# SPDX-License-Identifier: Apache-2.0
"""Asynchronous HTTP client of the platform's store.

The store keeps topics, each with partitions of records; this client uses
partition 0 of keyed topics. The store keeps the newest record of each key for
good, and a record with an empty value removes its key.
"""

import asyncio
from collections.abc import Callable
import datetime
import http
from typing import final
import urllib.parse

from absl import logging
import msgspec

from lugcross import address as address_lib
from lugcross import errors
from lugcross import http1
from lugcross import ids
from lugcross.platform import header_names
from lugcross.platform import store_answers
from lugcross import positions

#: Longest era that is parsed, in digits; longer texts are cut in log lines.
_MAX_ERA_DIGITS = 12


class _AppendAnswer(msgspec.Struct, frozen=True):
    end: int


@final
class StoreClient:
    """Client of the store; each call in progress has a connection of its own.

    :param address: address of the store as ``HOST:PORT``.
    :param timeout: longest time to wait for a connection, and for a response
        beyond the time that a read lets the store wait.
    """

    def __init__(self, address: str, *, timeout: datetime.timedelta) -> None:
        self._host, self._port = address_lib.split_host_port(address)
        self._timeout = timeout
        self._idle: list[http1.ClientConn] = []
        #: Latest era in any response of the store.
        self.era = positions.Era(0)
        self._has_answered = False
        #: Called with the new era and the one before it; not called for the
        #: first response.
        self.on_new_era: Callable[[positions.Era, positions.Era], None] = (
            lambda era, before: None
        )

    async def read_newest(self, topic: str) -> store_answers.ReadResult:
        """Return the newest record of each key of ``topic``.

        The end is that of the first page. Records may be appended between
        two pages, so that a reader must go on from there to miss none.

        :raises errors.LogUnavailableError: when the call fails, or the era
            changes between two pages.
        """
        records: list[store_answers.KeyedRecord] = []
        end: positions.Position | None = None
        after = ""
        while True:
            query = {"topic": topic, "part": "0"}
            if after:
                query["after_revision"] = after
            status, body = await self._request("GET", "/log-newest", query)
            if status != http.HTTPStatus.OK:
                raise store_answers.log_unavailable_error(f"status {status}")
            page = store_answers.decode_newest_page(body)
            era = self.era
            if end is not None and positions.era(end) != era:
                raise store_answers.log_unavailable_error(
                    "its era changed between two pages"
                )
            records.extend(
                store_answers.decode_newest_item(item, era)
                for item in page.items
            )
            end = (
                store_answers.make_position(era, page.end)
                if end is None
                else end
            )
            if not page.has_more:
                return store_answers.ReadResult(
                    end=end, records=tuple(records)
                )
            if not page.items:
                raise store_answers.log_unavailable_error(
                    "empty page of a longer listing"
                )
            after = page.items[-1].private_key

    async def read_from(
        self,
        topic: str,
        start: positions.Position,
        *,
        wait: datetime.timedelta,
        answer_timeout: datetime.timedelta | None = None,
    ) -> store_answers.ReadResult:
        """Return records from ``start`` on, as many as fit in one answer.

        :param wait: how long the store waits for a record if there is none.
        :param answer_timeout: longest wait for the response, added to
            ``wait``; the client's ``timeout`` if none.
        :raises errors.OffsetExpiredError: when the store no longer has
            ``start``, or ``start`` is of an earlier era.
        :raises errors.RecordsWithheldError: when the answer has no record
            although the topic has some.
        :raises errors.LogUnavailableError: when the call fails.
        """
        era = positions.era(start)
        if era < self.era:
            raise store_answers.offset_expired_error(topic, start)
        from_ = str(positions.offset(start))
        query = {"topic": topic, "part": "0", "from": from_}
        if wait:
            wait_ms = wait / datetime.timedelta(milliseconds=1)
            query["wait_ms"] = str(int(wait_ms))
        status, body = await self._request(
            "GET", "/log-read", query, wait=wait, answer_timeout=answer_timeout
        )
        if status == http.HTTPStatus.GONE or era < self.era:
            raise store_answers.offset_expired_error(topic, start)
        if status != http.HTTPStatus.OK:
            raise store_answers.log_unavailable_error(f"status {status}")
        result = store_answers.decode_records(topic, body, start)
        if result.records_left:
            logging.info(
                "store read incomplete",
                extra={
                    "topic": topic,
                    "from": positions.offset(start),
                    "records": len(result.records),
                    "end": positions.offset(result.end) + result.records_left,
                    "bytes": len(body),
                },
            )
        return result

    def _update_era(self, answer: http1.ResponseHead) -> None:
        """Take over a later era from a response; call ``on_new_era``.

        :raises errors.LogUnavailableError: when the response is of an earlier
            era.
        """
        is_first, self._has_answered = not self._has_answered, True
        era = _parse_era(answer)
        if era is None or era == self.era:
            return
        if era < self.era:
            raise store_answers.log_unavailable_error(
                f"response of era {era} after {self.era}"
            )
        before, self.era = self.era, era
        if not is_first:
            self.on_new_era(era, before)

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append one record to a keyed topic.

        :raises errors.AppendUnknownError: when the record may or may not have
            been appended.
        """
        await self._append(topic, key, value, {})

    async def append_if_end(
        self, topic: str, key: str, value: bytes, end: positions.Position
    ) -> positions.Position:
        """Append one record on the condition that the topic ends at ``end``.

        :returns: the new end of the topic.
        :raises errors.AppendConflictError: when the topic ends elsewhere, or
            a new era has begun, in which its offsets are given out again.
        :raises errors.AppendUnknownError: when the record may or may not have
            been appended, or may still be.
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
            raise _append_unknown_error(f"malformed response: {exc}") from exc

    async def _append(
        self, topic: str, key: str, value: bytes, condition: dict[str, str]
    ) -> bytes:
        name = key.encode()
        content = bytes((len(name),)) + name + value
        record = store_answers.RECORD_LENGTH.pack(len(content)) + content
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
        """Close the idle connections; calls in progress go on."""
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
        reused = bool(conn.request_count)
        try:
            async with asyncio.timeout(limit):
                target = f"{path}?{urllib.parse.urlencode(query)}"
                headers = [(b"Host", f"{self._host}:{self._port}".encode())]
                if method == "POST":
                    length = str(len(body)).encode()
                    headers.append((b"Content-Length", length))
                conn.send(method.encode(), target.encode(), headers, body)
                head = await conn.read_head()
                answer = await conn.read_body()
        except (http1.ConnectionBrokenError, TimeoutError) as exc:
            conn.close()
            if isinstance(exc, TimeoutError):
                # All connections that share a network path tend to go silent
                # together: the next call on an idle one would time out, too.
                self.close()
            why = str(exc) or f"no answer within {limit:g} s"
            which = "reused" if reused else "new"
            raise store_answers.log_unavailable_error(
                f"{why}, on a {which} connection"
            ) from exc
        except BaseException:
            conn.close()
            raise
        if conn.reusable:
            self._idle.append(conn)
        else:
            conn.close()
        self._update_era(head)
        return head.status, answer

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
            raise store_answers.log_unavailable_error(str(exc)) from exc


def _parse_era(answer: http1.ResponseHead) -> positions.Era | None:
    """Return the era of a response; none if it has no valid one."""
    headers = dict(answer.headers)
    text = header_names.header_text(headers, header_names.STORE_ERA)
    if not text:
        return None
    digits = text.isascii() and text.isdigit()
    if (
        digits
        and len(text) <= _MAX_ERA_DIGITS
        and int(text) <= positions.MAX_ERA
    ):
        return positions.Era(int(text))
    logging.warning(
        "store era is invalid", extra={"why": text[:_MAX_ERA_DIGITS]}
    )
    return None


def _append_conflict_error(topic: str) -> errors.LugcrossError:
    return errors.AppendConflictError(
        f"the end of topic {topic} has changed since it was read",
        remedy="read the topic again",
    )


def _append_unknown_error(why: str) -> errors.AppendUnknownError:
    return errors.AppendUnknownError(
        f"the outcome of the append is unknown ({why})",
        remedy="append the record again: only the newest of a key counts",
    )


__all__ = ["StoreClient"]
