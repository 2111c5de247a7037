# SPDX-License-Identifier: Apache-2.0
"""Answers of the system's own, where no backend server's can be given."""

import datetime
import http
import json
from typing import final

from lugcross import errors
from lugcross import platform

#: When a caller whose request has not run should come back. Long enough
#: for a server's pass to end and a place to come free, short against the
#: time that callers wait.
RETRY_AFTER = datetime.timedelta(milliseconds=700)


@final
class RefusedError(errors.LugcrossError):
    """A request that gets an answer of our own.

    :param status: 429 and 503 promise that it has not run.
    :param retry_after: when to come back, if that makes sense.
    """

    def __init__(
        self,
        status: http.HTTPStatus,
        what: str,
        *,
        remedy: str,
        retry_after: datetime.timedelta | None = None,
    ) -> None:
        super().__init__(what, remedy=remedy)
        self.status = status
        self.retry_after = retry_after

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers of the answer."""
        found = [(b"Content-Type", b"application/json")]
        if self.retry_after is not None:
            wait = f"{self.retry_after.total_seconds():.3f}".encode()
            found.append((platform.RETRY_AFTER, wait))
        return found

    def body(self) -> bytes:
        """Return the body of the answer."""
        error = {"what": self.what, "remedy": self.remedy}
        return json.dumps({"error": error}).encode()


def not_ready(what: str) -> RefusedError:
    """Return a refusal of a process that cannot serve yet."""
    return RefusedError(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        what,
        remedy="come back after the time in Retry-After",
        retry_after=RETRY_AFTER,
    )


def overloaded(
    what: str, retry_after: datetime.timedelta = RETRY_AFTER
) -> RefusedError:
    """Return a refusal of a request that has not run."""
    return RefusedError(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        what,
        remedy="come back after the time in Retry-After",
        retry_after=retry_after,
    )


def no_route(host: str, path: str) -> RefusedError:
    """Return a refusal of a path that leads nowhere."""
    return RefusedError(
        http.HTTPStatus.NOT_FOUND,
        f"no route for {host[:80]}{path[:80]}",
        remedy="ask the operator which routes there are",
    )


def bad_key() -> RefusedError:
    """Return a refusal of a key that no workspace has."""
    return RefusedError(
        http.HTTPStatus.UNAUTHORIZED,
        "the key belongs to no workspace",
        remedy="ask the operator for a key",
    )


def unknown(what: str) -> RefusedError:
    """Return an answer that promises nothing."""
    return RefusedError(
        http.HTTPStatus.BAD_GATEWAY,
        f"{what}; whether the request ran is not known",
        remedy="ask again only if running it twice does no harm",
    )


def timed_out() -> RefusedError:
    """Return an answer to a request whose time is over."""
    return RefusedError(
        http.HTTPStatus.GATEWAY_TIMEOUT,
        "there was no answer in time; whether the request ran is not known",
        remedy="ask again only if running it twice does no harm",
    )


def broken(what: str) -> RefusedError:
    """Return why an answer that had begun is cut off."""
    return RefusedError(
        http.HTTPStatus.BAD_GATEWAY,
        what,
        remedy="ask again, from the last event where that is allowed",
    )
