# SPDX-License-Identifier: Apache-2.0
"""Stand-in of the platform's append-only log service."""

import base64
import collections
from collections.abc import Iterable
import http
import threading
import time
from typing import final
from typing import NamedTuple
import urllib.parse

from lugcross import logservice
from lugcross.standin import faults

#: Path at which the stand-in returns its numbers of appends and reads.
CALL_COUNTS_PATH = "/counts"

_DEFAULT_APPENDS_PER_S = 100.0
_DEFAULT_RETENTION_S = 24 * 3600.0


class _StoredRecord(NamedTuple):
    appended_at: float
    data: bytes


@final
class _Stream:
    def __init__(self) -> None:
        self.first_offset = 1
        self.records: collections.deque[_StoredRecord] = collections.deque()

    @property
    def end(self) -> int:
        return self.first_offset + len(self.records)

    def expire(self, before: float) -> None:
        while self.records and self.records[0].appended_at < before:
            self.records.popleft()
            self.first_offset += 1


@final
class LogStandin:
    """In-memory log with a rate limit and a retention period.

    :param appends_per_s: limit of appends a second over all streams; a burst
        of one second's worth is allowed.
    :param retention_s: retention period of a record, in seconds.
    :ivar append_count: number of appended records.
    :ivar read_count: number of reads.
    """

    def __init__(
        self,
        *,
        appends_per_s: float = _DEFAULT_APPENDS_PER_S,
        retention_s: float = _DEFAULT_RETENTION_S,
    ) -> None:
        self._appends_per_s = appends_per_s
        self._retention_s = retention_s
        self._tokens = appends_per_s
        self._refilled_at = time.monotonic()
        self._streams: dict[str, _Stream] = {}
        self._changed = threading.Condition()
        self.append_count = 0
        self.read_count = 0

    def __call__(
        self, environ: faults.Environ, start_response: faults.StartResponse
    ) -> Iterable[bytes]:
        """Handle one request."""
        if environ["PATH_INFO"] == CALL_COUNTS_PATH:
            counts = {"appends": self.append_count, "reads": self.read_count}
            return faults.json_response(
                start_response, http.HTTPStatus.OK, counts
            )
        name = environ["PATH_INFO"].split("/")[2]
        if environ["REQUEST_METHOD"] == "POST":
            return self._append(name, environ, start_response)
        return self._read(name, environ, start_response)

    def append(self, name: str, data: bytes) -> int:
        """Append one record without the rate limit; return its offset."""
        with self._changed:
            stream = self._streams.setdefault(name, _Stream())
            stream.records.append(_StoredRecord(time.monotonic(), data))
            self.append_count += 1
            self._changed.notify_all()
            return stream.end - 1

    def expire(self, name: str, *, before: int) -> None:
        """Drop a stream's records before an offset, as if they had expired."""
        with self._changed:
            stream = self._streams[name]
            while stream.first_offset < before and stream.records:
                stream.records.popleft()
                stream.first_offset += 1

    def _append(
        self,
        name: str,
        environ: faults.Environ,
        start_response: faults.StartResponse,
    ) -> Iterable[bytes]:
        data = faults.read_body(environ)
        if not self._take_token():
            return faults.json_response(
                start_response,
                http.HTTPStatus.TOO_MANY_REQUESTS,
                headers=[("Retry-After", "1")],
            )
        offset = self.append(name, data)
        return faults.json_response(
            start_response, http.HTTPStatus.OK, {"offset": offset}
        )

    def _read(
        self,
        name: str,
        environ: faults.Environ,
        start_response: faults.StartResponse,
    ) -> Iterable[bytes]:
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        start = int(query["from"])
        max_records = int(query.get("max", logservice.MAX_RECORDS_PER_READ))
        with self._changed:
            self.read_count += 1
            stream = self._streams.setdefault(name, _Stream())
            self._changed.wait_for(
                lambda: stream.end > start, float(query.get("wait", "0"))
            )
            stream.expire(time.monotonic() - self._retention_s)
            if start < stream.first_offset:
                return faults.json_response(
                    start_response,
                    http.HTTPStatus.GONE,
                    {"first": stream.first_offset},
                )
            batch = _encode_batch(stream, start, max_records)
        return faults.json_response(start_response, http.HTTPStatus.OK, batch)

    def _take_token(self) -> bool:
        with self._changed:
            now = time.monotonic()
            earned = (now - self._refilled_at) * self._appends_per_s
            self._tokens = min(self._appends_per_s, self._tokens + earned)
            self._refilled_at = now
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


def _encode_batch(
    stream: _Stream, start: int, max_records: int
) -> dict[str, object]:
    last = min(stream.end, start + max_records)
    return {
        "first": stream.first_offset,
        "end": stream.end,
        "records": [
            {
                "offset": offset,
                "data": base64.b64encode(
                    stream.records[offset - stream.first_offset].data
                ).decode(),
            }
            for offset in range(start, last)
        ],
    }
