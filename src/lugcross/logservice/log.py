# SPDX-License-Identifier: Apache-2.0
"""Typed client of the platform's append-only log service.

The service speaks HTTP with JSON: ``POST /streams/NAME/records`` appends
one record and answers its offset; ``GET`` on the same path reads.
"""

import http
from typing import final
from typing import Protocol

import msgspec
import urllib3

from lugcross import errors
from lugcross import ids

#: Records asked for in one read.
MAX_RECORDS_PER_READ = 500

_MAX_CONNECTIONS = 4


@final
class Record(msgspec.Struct, frozen=True):
    """One record of a stream, its bytes in base64."""

    offset: ids.Offset
    data: bytes


@final
class ReadResult(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to one read.

    :param first: oldest offset that the stream still has.
    :param end: offset that the next record will get.
    """

    first: ids.Offset
    end: ids.Offset
    records: list[Record]


@final
class _AppendResult(msgspec.Struct, frozen=True):
    offset: ids.Offset


class Log(Protocol):
    """What the system needs of the platform's log."""

    def append(self, stream: str, data: bytes) -> ids.Offset:
        """Append one record and return its offset."""

    def read(
        self, stream: str, start: ids.Offset, *, wait_s: float = 0.0
    ) -> ReadResult:
        """Return records from ``start`` on, waiting for the first."""


@final
class HttpLogClient:
    """The log over HTTP.

    :param url: base URL, with an IP number.
    :param timeout_s: longest wait for an answer, in seconds.
    """

    def __init__(self, url: str, *, timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(
            retries=False, maxsize=_MAX_CONNECTIONS
        )

    def append(self, stream: str, data: bytes) -> ids.Offset:
        """Append one record and return its offset.

        :raises errors.LogThrottledError: nothing was appended.
        :raises errors.AppendUnknownError: it may have been.
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
                "the log cannot be reached; nothing was appended",
                remedy="repeat the change when the log is back",
            ) from exc
        except urllib3.exceptions.HTTPError as exc:
            raise _append_unknown(str(exc)) from exc
        if resp.status == http.HTTPStatus.TOO_MANY_REQUESTS:
            raise errors.LogThrottledError(
                "the log refused an append for its rate",
                remedy="repeat the change after a second",
            )
        if resp.status != http.HTTPStatus.OK:
            # A 5xx may come from a hop after the record was kept.
            raise _append_unknown(f"status {resp.status}")
        return msgspec.json.decode(resp.data, type=_AppendResult).offset

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
                remedy="start again from a snapshot",
            )
        if resp.status != http.HTTPStatus.OK:
            raise _unavailable(f"status {resp.status}")
        try:
            return msgspec.json.decode(resp.data, type=ReadResult)
        except msgspec.DecodeError as exc:
            raise _unavailable(f"bad answer: {exc}") from exc

    def close(self) -> None:
        """Close the connections."""
        self._pool.clear()

    def _path(self, stream: str) -> str:
        return f"{self._url}/streams/{stream}/records"


def _append_unknown(why: str) -> errors.AppendUnknownError:
    return errors.AppendUnknownError(
        f"the append got no clear answer ({why})",
        remedy="read on for its change id to learn the outcome",
    )


def _unavailable(why: str) -> errors.LogUnavailableError:
    return errors.LogUnavailableError(
        f"the log cannot be read ({why})",
        remedy="nothing to do: reading goes on when it is back",
    )
