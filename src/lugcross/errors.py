# SPDX-License-Identifier: Apache-2.0
"""The tree of errors; every message says what the reader can do."""

import datetime
import enum
import http


class LugcrossError(Exception):
    """Root of all errors that lugcross raises.

    :param what: what went wrong, with the values that matter.
    :param remedy: what the reader can do about it.
    """

    def __init__(self, what: str, *, remedy: str) -> None:
        super().__init__(f"{what}; {remedy}")
        self.what = what
        self.remedy = remedy


class SettingsError(LugcrossError):
    """A settings file that cannot be used."""


class ChangeError(LugcrossError):
    """A change of configuration that was not accepted."""


class WireError(LugcrossError):
    """A fault on a link between two processes of the system."""


class FrameError(WireError):
    """A frame that is too large or not a known message."""


class HandshakeError(WireError):
    """A peer that could not show that it holds the fleet's secret."""


class LinkDownError(WireError):
    """A link that is not there, so that nothing was sent."""


class PlatformError(LugcrossError):
    """A service of the platform that did not do what was asked."""


class LogUnavailableError(PlatformError):
    """The log could not be read."""


class LogThrottledError(PlatformError):
    """The log refused an append because of its rate; nothing was kept."""


class AppendConflictError(PlatformError):
    """An append whose condition does not hold: another one came first."""


class AppendUnknownError(PlatformError):
    """An append without a clear answer: it may have taken effect."""


class OffsetExpiredError(PlatformError):
    """Records that were asked for are past the log's retention."""


class ReplayGapError(LugcrossError):
    """Records are missing between the state and the next record."""


class Outcome(enum.Enum):
    """What is known of a request that did not get its whole answer."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class FailureKind(enum.Enum):
    """Why a request did not get its whole answer."""

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
    """A request that did not get its whole answer.

    :param kind: why.
    :param outcome: what is known of its effect.
    :param retry_after: when asking again makes sense, if it does.
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
        """HTTP status that tells a caller the same."""
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
