# SPDX-License-Identifier: Apache-2.0
"""Stand-in of the platform's store, after its published protocol.

It has keyed topics only, and supports reads from an offset, reads of the
newest record of each key, and appends. Tests set faults on the object while
it runs.
"""

import asyncio
import base64
import datetime
import http
import itertools
import json
import struct
from typing import final
from typing import NoReturn
import urllib.parse

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import http1

_RECORD_LENGTH = struct.Struct(">I")
_READ_BOUNDS = struct.Struct(">QQ")
#: Records in one answer to a read, in bytes, unless the read wants fewer.
MAX_READ_BYTES = 1_024 * 1_024
#: Keys in one page of newest records.
MAX_PAGE_KEYS = 500
#: Records in one page of newest records, in bytes of base64.
MAX_PAGE_BYTES = 1_000_000
#: Longest wait of a read for new records.
MAX_WAIT_S = 30.0
_LIMITS = desired.RequestLimits(
    max_head_bytes=16_384,
    max_body_bytes=4_194_304,
    head_timeout=datetime.timedelta(seconds=10),
    idle_timeout=datetime.timedelta(seconds=60),
)


@final
class _Topic:
    def __init__(self) -> None:
        self.first_offset = 0
        self.records: list[tuple[str, bytes]] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return len(self.records)

    def append(self, key: str, value: bytes) -> int:
        self.records.append((key, value))
        if value:
            self.newest[key] = (self.end - 1, value)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.end - 1


@final
class StoreStandin:
    """In-memory store.

    :ivar unavailable: whether all calls get 503.
    :ivar overloaded: whether all calls get 429.
    :ivar answer_delay_s: time until a call is executed and answered.
    :ivar wakes_reads: whether a new record ends the wait of reads that came
        before it.
    :ivar lost_appends: number of next appends that are done but get no
        answer.
    :ivar late_append_s: time after which an append without an answer is done,
        if its condition still holds; 0 for at once.
    :ivar page_size: keys per page of newest records.
    :ivar page_bytes: records per page of newest records, in bytes of base64.
    :ivar max_read_bytes: records in one answer to a read, in bytes. An answer
        has at least one record, if there is one.
    :ivar withholds_large_records: whether an answer has no record at all where
        the first is larger than the limit.
    :ivar era: value of the era header in all responses; none to send no era.
    :ivar called_paths: path of each call.
    """

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self._server: asyncio.Server | None = None
        self._clock = clock_lib.SystemClock()
        self.unavailable = False
        self.overloaded = False
        self.answer_delay_s = 0.0
        self.wakes_reads = True
        self.lost_appends = 0
        self.late_append_s = 0.0
        self._late_appends: set[asyncio.Task[None]] = set()
        self.era: str | None = None
        self.page_size = MAX_PAGE_KEYS
        self.page_bytes = MAX_PAGE_BYTES
        self.max_read_bytes = MAX_READ_BYTES
        self.withholds_large_records = False
        self.called_paths: list[str] = []

    async def start(self, host: str) -> str:
        """Listen on a free port; return the address as ``HOST:PORT``."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def append(self, topic: str, key: str, value: bytes) -> int:
        """Append one record; return its offset."""
        return self._topic(topic).append(key, value)

    def compact(self, topic: str) -> None:
        """Drop all records but the newest of each key."""
        self._topic(topic).first_offset = self._topic(topic).end

    def copy(self) -> "StoreStandin":
        """Return a new store with copies of the topics, but no era."""
        copy = StoreStandin()
        for name, topic in self._topics.items():
            copied = copy._topic(name)
            copied.first_offset = topic.first_offset
            copied.records = list(topic.records)
            copied.newest = dict(topic.newest)
        return copy

    def restore_from(self, older: "StoreStandin") -> None:
        """Replace the topics with those of an older copy; begin a new era.

        Reads that wait for records aren't woken, although the ends of their
        topics may have changed.
        """
        self._topics = older.copy()._topics
        self.era = str(int(self.era or 0) + 1)

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that all responses have."""
        return [] if self.era is None else [(b"Store-Era", self.era.encode())]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = http1.ServerConn(
            reader,
            writer,
            self._answer,
            limits=lambda: _LIMITS,
            draining=lambda: False,
            clock=self._clock,
        )
        await conn.run()

    async def _answer(
        self, response: http1.ResponseWriter, req: http1.Request
    ) -> None:
        status, body = await self.handle_request(
            req.target.decode(), req.body or b""
        )
        await response.write_head(status, self.headers(), body, complete=True)

    async def handle_request(
        self, target: str, body: bytes
    ) -> tuple[http.HTTPStatus, bytes]:
        """Execute one call; return the status and body of its response.

        :param target: path and query.
        :param body: body of the request.
        """
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        self.called_paths.append(parts.path)
        if self.answer_delay_s:
            await asyncio.sleep(self.answer_delay_s)
        if self.unavailable:
            return http.HTTPStatus.SERVICE_UNAVAILABLE, b""
        if self.overloaded:
            return http.HTTPStatus.TOO_MANY_REQUESTS, b""
        if parts.path == "/log-newest":
            return self._newest(query)
        if parts.path == "/log-read":
            return await self._read(query)
        if parts.path == "/log-append":
            if self.lost_appends:
                await self._append_without_answer(query, body)
            return self._append(query, body)
        return http.HTTPStatus.NOT_FOUND, b""

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _newest(self, query: dict[str, str]) -> tuple[http.HTTPStatus, bytes]:
        topic = self._topic(query["topic"])
        after = query.get("after_revision", "")
        keys = sorted(key for key in topic.newest if key > after)
        items: list[dict[str, object]] = []
        size = 0
        for key in keys[: self.page_size]:
            offset, value = topic.newest[key]
            text = base64.b64encode(value).decode()
            size += len(text)
            if items and size > self.page_bytes:
                break
            items.append({"private_key": key, "value": text, "offset": offset})
        more = len(keys) > len(items)
        page = {"items": items, "has_more": more, "end": topic.end}
        return http.HTTPStatus.OK, json.dumps(page).encode()

    async def _read(
        self, query: dict[str, str]
    ) -> tuple[http.HTTPStatus, bytes]:
        topic = self._topic(query["topic"])
        start = int(query["from"])
        if not topic.first_offset <= start <= topic.end:
            gone = json.dumps({"first": topic.first_offset}).encode()
            return http.HTTPStatus.GONE, gone
        wait_s = min(int(query.get("wait_ms", "0")) / 1000, MAX_WAIT_S)
        if start >= topic.end and wait_s:
            changed = topic.changed if self.wakes_reads else asyncio.Event()
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                # The response has no records.
                pass
            query = {**query, "wait_ms": "0"}
            return await self._read(query)
        body = _READ_BOUNDS.pack(topic.end, topic.first_offset)
        limit = min(
            self.max_read_bytes,
            int(query.get("maximum_kilobytes", "1024")) * 1_024,
        )
        return http.HTTPStatus.OK, body + self._records(topic, start, limit)

    def _records(self, topic: _Topic, start: int, limit: int) -> bytes:
        """Return the encoded records from ``start`` on that fit in a limit."""
        found: list[bytes] = []
        size = 0
        for key, value in itertools.islice(topic.records, start, None):
            name = key.encode()
            record = bytes((len(name),)) + name + value
            encoded = _RECORD_LENGTH.pack(len(record)) + record
            size += len(encoded)
            is_first = not found and not self.withholds_large_records
            if size > limit and not is_first:
                break
            found.append(encoded)
        return b"".join(found)

    async def _append_without_answer(
        self, query: dict[str, str], body: bytes
    ) -> NoReturn:
        """Append at once or late; the connection says nothing further."""
        self.lost_appends -= 1
        if self.late_append_s:
            task = asyncio.create_task(self._append_late(query, body))
            self._late_appends.add(task)
            task.add_done_callback(self._late_appends.discard)
        else:
            self._append(query, body)
        await asyncio.Event().wait()
        raise AssertionError("an event that nobody sets was set")

    async def _append_late(self, query: dict[str, str], body: bytes) -> None:
        await asyncio.sleep(self.late_append_s)
        self._append(query, body)

    def _append(
        self, query: dict[str, str], body: bytes
    ) -> tuple[http.HTTPStatus, bytes]:
        topic = self._topic(query["topic"])
        first = topic.end
        if int(query.get("current_rev", first)) != first:
            body = json.dumps({"end": first}).encode()
            return http.HTTPStatus.PRECONDITION_FAILED, body
        pos = 0
        while pos < len(body):
            (size,) = _RECORD_LENGTH.unpack_from(body, pos)
            record = body[
                pos + _RECORD_LENGTH.size : pos + _RECORD_LENGTH.size + size
            ]
            pos += _RECORD_LENGTH.size + size
            key_end = 1 + record[0]
            topic.append(record[1:key_end].decode(), record[key_end:])
        result = {"offset": first, "end": topic.end}
        return http.HTTPStatus.OK, json.dumps(result).encode()
