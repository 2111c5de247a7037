# SPDX-License-Identifier: Apache-2.0
"""Heads on the way to a backend server, and what its answers say."""

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

#: Headers that concern one connection only.
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
#: Headers that only the system may set, whatever a caller sends.
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
#: Statuses by which a caller takes it that its request has not run.
NOT_EXECUTED_STATUSES = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )
)

#: Value of a header that only says yes.
_HEADER_TRUE = "1"
#: Longest rest that is believed, in seconds: a server that asked for more by
#: mistake is tried again by one request an hour.
_MAX_RETRY_AFTER_S = 3_600.0


@final
@dataclasses.dataclass(frozen=True)
class ServerLoad:
    """Requests at a backend server when it sent an answer."""

    running: int
    waiting: int
    slots: int


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendResponseHead:
    """What the head of a backend server's answer says.

    :param attempt_id: request that it answers.
    :param signed: whether it is signed.
    :param not_executed: whether it proves that the request has not run.
    :param wrong_instance: whether another life has the address.
    :param content_encoded: whether the body is not the backend server's own.
    :param load: its load, if it tells it.
    :param keep_alive: how long it keeps an idle connection, if it says so.
    :param retry_after: for how long it wants nothing from this process, if it
        could not serve the request and says so.
    :param leaving: whether it says that it is leaving.
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
    leaving: bool

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
    resume_after: str = "",
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request on its way to ``backend``.

    :param headers: as the caller sent them, names as spelled there.
    :param body_bytes: none for a request without a body.
    :param resume_after: event after which a broken stream goes on.
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
    if resume_after:
        sent.append((header_names.LAST_EVENT_ID, resume_after.encode()))
    if body_bytes is not None:
        sent.append((b"Content-Length", str(body_bytes).encode()))
    return sent


def headers_to_caller(
    headers: Sequence[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return a backend server's headers without those of its hop."""
    drop = (
        _HOP_BY_HOP_HEADERS
        | _connection_options(headers)
        | {b"content-length"}
    )
    return [(n, v) for n, v in headers if n.lower() not in drop]


def parse_backend_response_head(
    status: int, headers: _RawHeaders
) -> BackendResponseHead:
    """Return what the head of a backend server's answer says.

    :param headers: names in lower case.
    """
    headers = list(headers)
    found = {name: value for name, value in headers}
    wrong_instance = status == http.HTTPStatus.MISDIRECTED_REQUEST
    return BackendResponseHead(
        status=status,
        attempt_id=header_names.header_text(found, header_names.ATTEMPT_ID),
        signed=bool(header_names.header_text(found, header_names.SIGNATURE)),
        not_executed=wrong_instance
        or bool(header_names.header_text(found, header_names.NOT_EXECUTED)),
        wrong_instance=wrong_instance,
        content_encoded=b"content-encoding" in found,
        load=_parse_load(
            header_names.header_text(found, header_names.SERVER_LOAD)
        ),
        keep_alive=_parse_keep_alive(
            header_names.header_text(found, b"Keep-Alive")
        ),
        retry_after=_parse_retry_after(headers)
        if _is_overload_or_server_error(status)
        else None,
        leaving=header_names.header_text(found, header_names.SERVER_LEAVING)
        == _HEADER_TRUE,
    )


def _connection_options(headers: _RawHeaders) -> frozenset[bytes]:
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
    """Tell whether a status says that the server could not serve.

    With others the header is meant for whoever asked the service.
    """
    return status == http.HTTPStatus.TOO_MANY_REQUESTS or status >= 500


def _parse_retry_after(headers: _RawHeaders) -> datetime.timedelta | None:
    """Return the longest rest that any field asks for, if one does."""
    name = header_names.RETRY_AFTER.lower()
    told = [_parse_seconds(value) for found, value in headers if found == name]
    longest = max(told, default=0.0)
    return datetime.timedelta(seconds=longest) if longest else None


def _parse_seconds(value: bytes) -> float:
    """Return a number of seconds; 0 where it is no time to wait.

    Dates count as none: clocks of two hosts may be seconds apart, which is as
    long as rests are.
    """
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    if not math.isfinite(seconds) or seconds <= 0:
        return 0.0
    return min(seconds, _MAX_RETRY_AFTER_S)
