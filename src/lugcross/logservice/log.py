# SPDX-License-Identifier: Apache-2.0
"""Client of the platform's append-only log service.

The service uses HTTP and JSON: ``POST /streams/NAME/records`` appends
one record and returns its offset; ``GET`` on the same path reads records.
"""

import http
from typing import final
from typing import Protocol

import msgspec
import urllib3

from lugcross import errors
from lugcross import ids

#: Largest number of records that one read returns.
MAX_RECORDS_PER_READ = 500

_MAX_CONNECTIONS = 4


@final
class Record(msgspec.Struct, frozen=True):
    """One record of a stream; in JSON its data is base64."""

    offset: ids.Offset
    data: bytes


@final
class ReadResult(msgspec.Struct, frozen=True, kw_only=True):
    """Records returned by one read, with the offsets of the stream.

    :param first: oldest offset that the stream still has.
    :param end: offset that the next appended record will get.
    """

    first: ids.Offset
    end: ids.Offset
    records: list[Record]


@final
class _AppendResult(msgspec.Struct, frozen=True):
    offset: ids.Offset


class Log(Protocol):
    """Interface of the platform's log.

    Implemented by :class:`HttpLogClient`, and in memory for tests.
    """

    def append(self, stream: str, data: bytes) -> ids.Offset:
        """Append one record and return its offset."""

    def read(
        self, stream: str, start: ids.Offset, *, wait_s: float = 0.0
    ) -> ReadResult:
        """Return records from ``start`` on.

        If there are none, wait up to ``wait_s`` for the first.
        """


@final
class HttpLogClient:
    """Implements :class:`Log` over HTTP.

    :param url: base URL of the service, with an IP address as its host.
    :param timeout_s: timeout of a request, in seconds; a read adds its
        ``wait_s``.
    """

    def __init__(self, url: str, *, timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(
            retries=False, maxsize=_MAX_CONNECTIONS
        )

    def append(self, stream: str, data: bytes) -> ids.Offset:
        """Append one record and return its offset.

        :raises errors.LogThrottledError: if nothing was appended.
        :raises errors.AppendUnknownError: if the record may have been
            appended.
        """
        try:
            resp = self._pool.request(
                "POST",
                self._path(stream),
                body=data,
                timeout=self._timeout_s,
            )
        except urllib3.exceptions.NewConnectionError as exc:
            raise errors.LogThrottledError(
                "cannot connect to the log service; nothing was appended",
                remedy="repeat the change once the log service is reachable",
            ) from exc
        except urllib3.exceptions.HTTPError as exc:
            raise _append_unknown(str(exc)) from exc
        if resp.status == http.HTTPStatus.TOO_MANY_REQUESTS:
            raise errors.LogThrottledError(
                "the log service rejected an append: rate limit exceeded",
                remedy="repeat the change after a second",
            )
        if resp.status != http.HTTPStatus.OK:
            # A proxy may answer 5xx after the service stored the record.
            raise _append_unknown(f"status {resp.status}")
        try:
            return msgspec.json.decode(resp.data, type=_AppendResult).offset
        except msgspec.DecodeError as exc:
            raise _append_unknown(f"invalid response: {exc}") from exc

    def read(
        self, stream: str, start: ids.Offset, *, wait_s: float = 0.0
    ) -> ReadResult:
        """Return records from ``start`` on.

        At most :data:`MAX_RECORDS_PER_READ` records are returned.

        :param wait_s: longest wait of the service for a first record.
        :raises errors.LogUnavailableError: if the log cannot be read.
        :raises errors.OffsetExpiredError: if the stream no longer has
            ``start``.
        """
        fields = {
            "from": str(start),
            "max": str(MAX_RECORDS_PER_READ),
            "wait": f"{wait_s:.3f}",
        }
        try:
            resp = self._pool.request(
                "GET",
                self._path(stream),
                fields=fields,
                timeout=self._timeout_s + wait_s,
            )
        except urllib3.exceptions.HTTPError as exc:
            raise _unavailable(str(exc)) from exc
        if resp.status == http.HTTPStatus.GONE:
            raise errors.OffsetExpiredError(
                f"stream {stream} no longer has offset {start}",
                remedy="restart from a snapshot",
            )
        if resp.status != http.HTTPStatus.OK:
            raise _unavailable(f"status {resp.status}")
        try:
            return msgspec.json.decode(resp.data, type=ReadResult)
        except msgspec.DecodeError as exc:
            raise _unavailable(f"invalid response: {exc}") from exc

    def close(self) -> None:
        """Close all connections to the service."""
        self._pool.clear()

    def _path(self, stream: str) -> str:
        return f"{self._url}/streams/{stream}/records"


def _append_unknown(why: str) -> errors.AppendUnknownError:
    return errors.AppendUnknownError(
        f"outcome of the append is unknown ({why})",
        remedy="read the stream for the change id to learn the outcome",
    )


def _unavailable(why: str) -> errors.LogUnavailableError:
    return errors.LogUnavailableError(
        f"cannot read the log ({why})",
        remedy="none needed: reading resumes once the service is reachable",
    )
