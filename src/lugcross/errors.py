# SPDX-License-Identifier: Apache-2.0
"""Exception hierarchy; every message names a remedy."""

import datetime
import enum
import http


class LugcrossError(Exception):
    """Base class of all lugcross errors.

    :param what: what went wrong, with the relevant values.
    :param remedy: what the reader can do about it.
    """

    def __init__(self, what: str, *, remedy: str) -> None:
        super().__init__(f"{what}; {remedy}")
        self.what = what
        self.remedy = remedy


class SettingsError(LugcrossError):
    """A settings file is unreadable or invalid."""


class ChangeError(LugcrossError):
    """A configuration change was not accepted, or a record is invalid."""


class WireError(LugcrossError):
    """Error on a link between two lugcross processes."""


class FrameError(WireError):
    """A frame is too large or contains an unknown message."""


class HandshakeError(WireError):
    """The peer did not prove that it knows the fleet's secret."""


class LinkDownError(WireError):
    """The link is not connected, so nothing was sent."""


class PlatformError(LugcrossError):
    """A platform service failed to perform an operation."""


class LogUnavailableError(PlatformError):
    """The log could not be read."""


class LogThrottledError(PlatformError):
    """The log rejected an append due to its rate limit; nothing was stored."""


class AppendConflictError(PlatformError):
    """A conditional append failed: another append came first."""


class AppendUnknownError(PlatformError):
    """The outcome of an append is unknown: it may have taken effect."""


class OffsetExpiredError(PlatformError):
    """The requested records are older than the log's retention period."""


class RecordsWithheldError(PlatformError):
    """A read returned no records although the topic has some."""


class ReplayGapError(LugcrossError):
    """Records are missing between the replayed state and the next record."""


class Outcome(enum.Enum):
    """Whether a request without a complete response has run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class FailureKind(enum.Enum):
    """Why a request did not get a complete response."""

    BAD_REQUEST = "bad-request"
    BAD_API_KEY = "bad-key"
    NO_SERVICE = "no-service"
    TOO_LARGE = "too-large"
    DRAINING = "draining"
    OVERLOADED = "overloaded"
    NO_BACKEND = "no-backend"
    DEADLINE_EXCEEDED = "deadline"
    CANCELLED = "cancelled"
    IDEMPOTENCY_KEY_REUSED = "key-reused"
    IDEMPOTENCY_KEY_LOST = "key-lost"
    IDEMPOTENCY_KEY_ELSEWHERE = "key-elsewhere"
    IDEMPOTENCY_UNAVAILABLE = "once-unavailable"
    WRONG_INCARNATION = "wrong-incarnation"
    BACKEND_FAILED = "backend-failed"
    LINK_LOST = "link-lost"
    STREAM_BROKEN = "stream-broken"


_HTTP_STATUSES = {
    FailureKind.BAD_REQUEST: http.HTTPStatus.BAD_REQUEST,
    FailureKind.BAD_API_KEY: http.HTTPStatus.UNAUTHORIZED,
    FailureKind.NO_SERVICE: http.HTTPStatus.NOT_FOUND,
    FailureKind.TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    FailureKind.DRAINING: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureKind.OVERLOADED: http.HTTPStatus.TOO_MANY_REQUESTS,
    FailureKind.NO_BACKEND: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureKind.DEADLINE_EXCEEDED: http.HTTPStatus.GATEWAY_TIMEOUT,
    FailureKind.CANCELLED: http.HTTPStatus.BAD_GATEWAY,
    FailureKind.IDEMPOTENCY_KEY_REUSED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    FailureKind.IDEMPOTENCY_KEY_LOST: http.HTTPStatus.CONFLICT,
    FailureKind.IDEMPOTENCY_KEY_ELSEWHERE: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureKind.IDEMPOTENCY_UNAVAILABLE: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureKind.WRONG_INCARNATION: http.HTTPStatus.SERVICE_UNAVAILABLE,
    FailureKind.BACKEND_FAILED: http.HTTPStatus.BAD_GATEWAY,
    FailureKind.LINK_LOST: http.HTTPStatus.BAD_GATEWAY,
    FailureKind.STREAM_BROKEN: http.HTTPStatus.BAD_GATEWAY,
}


class RequestError(LugcrossError):
    """A request did not get a complete response.

    :param kind: reason.
    :param outcome: whether the request has run.
    :param retry_after: earliest useful retry by the caller, from now; None
        if a retry makes no sense or the time is unknown.
    """

    def __init__(
        self,
        what: str,
        *,
        remedy: str,
        kind: FailureKind,
        outcome: Outcome,
        retry_after: datetime.timedelta | None = None,
    ) -> None:
        super().__init__(what, remedy=remedy)
        self.kind = kind
        self.outcome = outcome
        self.retry_after = retry_after

    @property
    def status(self) -> http.HTTPStatus:
        """HTTP status of the response to the caller."""
        return _HTTP_STATUSES[self.kind]


__all__ = [
    "AppendConflictError",
    "AppendUnknownError",
    "ChangeError",
    "FailureKind",
    "FrameError",
    "HandshakeError",
    "LinkDownError",
    "LogThrottledError",
    "LogUnavailableError",
    "LugcrossError",
    "OffsetExpiredError",
    "Outcome",
    "PlatformError",
    "ReplayGapError",
    "RequestError",
    "SettingsError",
    "WireError",
]
