# SPDX-License-Identifier: Apache-2.0
"""Requests as they are received, and the errors of those that are invalid."""

import dataclasses
import http
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross import errors

#: Memory of one header field beside its text: some objects and references.
_FIELD_BYTES = 256
#: Memory of a head above which it needs the same room as a body: far more than
#: that of usual heads.
LARGE_HEAD_BYTES = 32_768


class CallerDisconnectedError(errors.LugcrossError):
    """The caller closed its connection."""


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A complete request of a caller.

    :param headers: headers with names in lower case.
    :param raw_headers: headers with names spelled as received.
    :param body: None if the request had neither Content-Length nor
        Transfer-Encoding.
    :param received_at: when the head was complete.
    :param refused: whether there is no memory for the request. Its body was
        not read in whole, and it must be refused.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    raw_headers: list[tuple[bytes, bytes]]
    body: bytes | None
    received_at: clock_lib.Instant
    refused: bool = False


class BadRequestError(errors.LugcrossError):
    """A request that this process answers with an error response."""

    def __init__(self, status: http.HTTPStatus, what: str) -> None:
        super().__init__(what, remedy="fix the request")
        self.status = status


def is_framed(headers: list[tuple[bytes, bytes]]) -> bool:
    """Return whether a request states the end of its body, if any."""
    return any(
        name in (b"content-length", b"transfer-encoding")
        for name, _ in headers
    )


def head_bytes(headers: list[tuple[bytes, bytes]]) -> int:
    """Return how much memory the header fields of a request take."""
    # Name and value are held as received and in lower case.
    text = sum(2 * len(name) + len(value) for name, value in headers)
    return text + _FIELD_BYTES * len(headers)


def body_length(headers: list[tuple[bytes, bytes]]) -> int | None:
    """Return the length of a body that a request states, if it does."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None


def has_body(headers: list[tuple[bytes, bytes]]) -> bool:
    """Return whether a request has a body that is not empty."""
    return is_framed(headers) and (b"content-length", b"0") not in headers


def check_framing(
    headers: list[tuple[bytes, bytes]], limits: desired.RequestLimits
) -> None:
    """Raise an error if the end of the body is not clear, or too far."""
    found = {name: value for name, value in headers}
    length = found.get(b"content-length")
    if length is not None and b"transfer-encoding" in found:
        # Request smuggling: a proxy or server that obeys the other header
        # would see a different request boundary.
        raise BadRequestError(
            http.HTTPStatus.BAD_REQUEST,
            "the request has both Content-Length and Transfer-Encoding",
        )
    if length is not None and int(length) > limits.max_body_bytes:
        raise too_large_error(limits)


def too_large_error(limits: desired.RequestLimits) -> BadRequestError:
    """Return the error for a body that is too large."""
    return BadRequestError(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        f"the request body exceeds {limits.max_body_bytes} bytes",
    )


def reason_phrase(status: int) -> bytes:
    """Return the reason phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"


def disconnected_error(why: str) -> CallerDisconnectedError:
    """Return the error for a caller that has closed its connection."""
    return CallerDisconnectedError(
        f"the caller disconnected: {why}", remedy="nothing to do"
    )
