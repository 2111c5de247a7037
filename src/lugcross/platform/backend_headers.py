# SPDX-License-Identifier: Apache-2.0
"""Headers of requests to backend servers and of their responses."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import datetime
import http
import math
from typing import final

from lugcross import desired
from lugcross import ids
from lugcross.platform import header_names

_RawHeaders = Iterable[tuple[bytes, bytes]]

#: Headers that apply to one connection and are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
#: Headers of a caller that are not forwarded: its API key, and what only
#: lugcross may set.
_RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        header_names.API_KEY,
        header_names.WORKSPACE,
        header_names.EXPECTED_INSTANCE,
        header_names.EXPECTED_VERSION,
        header_names.PRIORITY,
        header_names.TIME_LEFT,
    )
)
#: Statuses that tell a caller that its request was not executed.
NOT_EXECUTED_STATUSES = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )
)

#: Value of ``Server-Leaving`` if the server is leaving.
_HEADER_TRUE = "1"
#: Upper limit of a ``Retry-After`` value, in seconds: a server that sends a
#: larger one by mistake is still tried once an hour.
_MAX_RETRY_AFTER_S = 3_600.0
#: Longest time for which a server is taken for cold.
_MAX_COLD_MS = 3_600_000.0


@final
@dataclasses.dataclass(frozen=True)
class ServerLoad:
    """Load of a backend server at the time of a response.

    :param running: number of running requests.
    :param waiting: number of requests that wait at the server.
    :param slots: number of requests that the server runs at once.
    """

    running: int
    waiting: int
    slots: int


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class RateLimit:
    """What a response says of the requests that its server takes.

    :param stated: whether the header is set, even if it is invalid.
    :param per_s: requests a second from all processes together; None if the
        header is not set or invalid.
    """

    stated: bool
    per_s: float | None


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendResponseHead:
    """Decoded status and headers of a backend server's response.

    :param attempt_id: attempt that the response belongs to; empty if the
        response names none.
    :param signed: whether the response carries a signature.
    :param not_executed: whether the server states that it did not run the
        request.
    :param wrong_instance: whether the address belongs to another server, or
        to another life of the expected one.
    :param content_encoded: whether the body has a content encoding, which
        backend servers don't apply.
    :param load: the server's load; none if not sent.
    :param keep_alive: how long the server keeps an idle connection open;
        none if not sent.
    :param retry_after: how long this process must send the server nothing;
        none unless the status is 429 or 5xx and the header is set.
    :param rate_limit: limit on the requests of all processes, if any.
    :param leaving: whether the server announces that it is leaving.
    :param cold_time: how much longer the server is cold; None if the header
        is not set or invalid.
    """

    status: int
    attempt_id: str
    signed: bool
    not_executed: bool
    wrong_instance: bool
    content_encoded: bool
    load: ServerLoad | None
    keep_alive: datetime.timedelta | None
    retry_after: datetime.timedelta | None
    rate_limit: RateLimit
    leaving: bool
    cold_time: datetime.timedelta | None = None

    @property
    def success(self) -> bool:
        """Whether the status is a 2xx."""
        return 200 <= self.status < 300


def headers_to_backend(
    headers: Sequence[tuple[bytes, bytes]],
    *,
    backend: desired.BackendId,
    workspace: ids.WorkspaceName | None,
    time_left: datetime.timedelta,
    body_bytes: int | None,
    priority: int | None = None,
    resume_after: str = "",
) -> list[tuple[bytes, bytes]]:
    """Return the headers with which a request is forwarded to ``backend``.

    :param headers: as the caller sent them, in its spelling.
    :param workspace: workspace of the caller; none where the route needs no
        API key.
    :param time_left: how long this process will wait for the response.
    :param body_bytes: length of the body; none for a request without one.
    :param priority: 0 for the most urgent, at most 9; none for a server that
        does not order requests.
    :param resume_after: id of the event after which a broken stream resumes;
        empty to keep the caller's own, if any.
    """
    drop = (
        _HOP_BY_HOP_HEADERS
        | _RESERVED_HEADERS
        | _connection_options(headers)
        | {b"content-length"}
    )
    if resume_after:
        drop = drop | {header_names.LAST_EVENT_ID.lower()}
    sent = [(n, v) for n, v in headers if n.lower() not in drop]
    left_ms = max(1, int(time_left / datetime.timedelta(milliseconds=1)))
    sent.append((header_names.TIME_LEFT, str(left_ms).encode()))
    sent.append((header_names.EXPECTED_INSTANCE, backend.encode()))
    if workspace is not None:
        sent.append((header_names.WORKSPACE, workspace.encode()))
    if priority is not None:
        sent.append((header_names.PRIORITY, str(priority).encode()))
    if resume_after:
        sent.append((header_names.LAST_EVENT_ID, resume_after.encode()))
    if body_bytes is not None:
        sent.append((b"Content-Length", str(body_bytes).encode()))
    return sent


def headers_to_caller(
    headers: Sequence[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return a backend server's headers without the hop-by-hop ones."""
    drop = (
        _HOP_BY_HOP_HEADERS
        | _connection_options(headers)
        | {b"content-length"}
    )
    return [(n, v) for n, v in headers if n.lower() not in drop]


def parse_backend_response_head(
    status: int, headers: _RawHeaders
) -> BackendResponseHead:
    """Decode the status and headers of a backend server's response.

    :param headers: names in lower case.
    """
    headers = list(headers)
    values = {name: value for name, value in headers}
    wrong_instance = status == http.HTTPStatus.MISDIRECTED_REQUEST
    return BackendResponseHead(
        status=status,
        attempt_id=header_names.header_text(values, header_names.ATTEMPT_ID),
        signed=bool(header_names.header_text(values, header_names.SIGNATURE)),
        not_executed=wrong_instance
        or bool(header_names.header_text(values, header_names.NOT_EXECUTED)),
        wrong_instance=wrong_instance,
        content_encoded=b"content-encoding" in values,
        load=_parse_load(
            header_names.header_text(values, header_names.SERVER_LOAD)
        ),
        keep_alive=_parse_keep_alive(
            header_names.header_text(values, b"Keep-Alive")
        ),
        retry_after=_parse_retry_after(headers)
        if _is_overload_or_server_error(status)
        else None,
        rate_limit=_parse_rate_limit(headers),
        leaving=header_names.header_text(values, header_names.SERVER_LEAVING)
        == _HEADER_TRUE,
        cold_time=_parse_cold_time(headers),
    )


def _connection_options(headers: _RawHeaders) -> frozenset[bytes]:
    """Return the headers that ``Connection`` declares as hop-by-hop."""
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(one.strip().lower() for one in value.split(b","))
    return frozenset(named)


def _parse_load(text: str) -> ServerLoad | None:
    parts = text.split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return ServerLoad(*(int(part) for part in parts))


def _parse_keep_alive(text: str) -> datetime.timedelta | None:
    for part in text.split(","):
        name, _, value = part.partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdigit():
            return datetime.timedelta(seconds=int(value))
    return None


def _is_overload_or_server_error(status: int) -> bool:
    """Tell whether the status is 429 or 5xx.

    With any other status ``Retry-After`` is meant for the caller, not for
    this process.
    """
    return status == http.HTTPStatus.TOO_MANY_REQUESTS or status >= 500


def _parse_retry_after(headers: _RawHeaders) -> datetime.timedelta | None:
    """Return the longest time of all ``Retry-After`` fields, if any."""
    retry_after = header_names.RETRY_AFTER.lower()
    seconds = [
        _parse_seconds(value) for name, value in headers if name == retry_after
    ]
    longest = max(seconds, default=0.0)
    return datetime.timedelta(seconds=longest) if longest else None


def _parse_rate_limit(headers: _RawHeaders) -> RateLimit:
    """Return the lowest limit of all ``Server-Limit`` fields."""
    server_limit = header_names.SERVER_LIMIT.lower()
    values = [value for name, value in headers if name == server_limit]
    rates = [one for one in map(_parse_number, values) if one is not None]
    return RateLimit(stated=bool(values), per_s=min(rates, default=None))


def _parse_cold_time(headers: _RawHeaders) -> datetime.timedelta | None:
    """Return the longest time of all ``Cold-Milliseconds`` fields, if any."""
    cold_time = header_names.COLD_TIME.lower()
    times = [
        time_ms
        for name, value in headers
        if name == cold_time and (time_ms := _parse_number(value)) is not None
    ]
    if not times:
        return None
    return datetime.timedelta(milliseconds=min(max(times), _MAX_COLD_MS))


def _parse_number(value: bytes) -> float | None:
    """Return a finite number that is not negative, or None."""
    if b"_" in value:
        # float() takes underscores between digits.
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _parse_seconds(value: bytes) -> float:
    """Return a number of seconds, at most an hour; 0 if it is invalid.

    HTTP dates are ignored: the clocks of two hosts may differ by seconds,
    which is as long as a usual backoff.
    """
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    if not math.isfinite(seconds) or seconds <= 0:
        return 0.0
    return min(seconds, _MAX_RETRY_AFTER_S)
