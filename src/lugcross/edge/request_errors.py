# SPDX-License-Identifier: Apache-2.0
"""Answers of the system's own, where no backend server's can be given."""

import datetime
import http
import json
import random
from typing import final

from lugcross import errors
from lugcross import platform

#: When a caller should come back at the earliest: time for a few passes of
#: an engine, in which places come free.
MIN_RETRY_AFTER = datetime.timedelta(milliseconds=700)
#: Parts of the time left within which callers of a full service are told
#: to come back, spread so that they do not all come at once.
_OVERLOADED_SPREAD_FRACTION = 0.2
#: Part of the time left after which callers of a service whose servers
#: all refuse should come back: as late as leaves time for an answer, since
#: what broke them takes seconds to mend.
_UNAVAILABLE_WAIT_FRACTION = 0.3


@final
class RequestError(errors.LugcrossError):
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


def not_ready(what: str) -> RequestError:
    """Return a refusal of a process that cannot serve now."""
    return _not_run(what, MIN_RETRY_AFTER)


def overloaded(
    what: str, time_left: datetime.timedelta, rng: random.Random
) -> RequestError:
    """Return a refusal of a request that no server has a place for.

    :param left: time that its caller will still wait.
    """
    most = max(MIN_RETRY_AFTER, time_left * _OVERLOADED_SPREAD_FRACTION)
    wait = MIN_RETRY_AFTER + (most - MIN_RETRY_AFTER) * rng.random()
    return _not_run(what, wait)


def all_backing_off(
    backoff: datetime.timedelta, rng: random.Random
) -> RequestError:
    """Return a refusal while all servers rest, or have rested just now.

    Callers come back once the first of them has rested, spread over a moment:
    at once they would find only that one, which takes one request at first.

    :param rest: time until then; 0 if it has.
    """
    wait = max(MIN_RETRY_AFTER, backoff) + MIN_RETRY_AFTER * rng.random()
    return _not_run("every backend server has asked for rest", wait)


def unavailable(what: str, time_left: datetime.timedelta) -> RequestError:
    """Return a refusal of a request that the servers refused themselves.

    :param left: time that its caller will still wait.
    """
    return _not_run(
        what, max(MIN_RETRY_AFTER, time_left * _UNAVAILABLE_WAIT_FRACTION)
    )


def crash_suspect(
    crash_count: int, retry_after: datetime.timedelta
) -> RequestError:
    """Return a refusal of a request under which servers have ended.

    :param ended: how many.
    :param retry_after: time after which it may be tried anew.
    """
    return RequestError(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        f"{crash_count} backend servers have ended while they ran this request",
        remedy="change the request, or have the operator clear it",
        retry_after=retry_after,
    )


def _not_run(what: str, wait: datetime.timedelta) -> RequestError:
    return RequestError(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        what,
        remedy="come back after the time in Retry-After",
        retry_after=wait,
    )


def no_route(host: str, path: str) -> RequestError:
    """Return a refusal of a path that leads nowhere."""
    return RequestError(
        http.HTTPStatus.NOT_FOUND,
        f"no route for {host[:80]}{path[:80]}",
        remedy="ask the operator which routes there are",
    )


def unknown_key() -> RequestError:
    """Return a refusal of a key that no workspace has."""
    return RequestError(
        http.HTTPStatus.UNAUTHORIZED,
        "the key belongs to no workspace",
        remedy="ask the operator for a key",
    )


def outcome_unknown(what: str) -> RequestError:
    """Return an answer that promises nothing."""
    return RequestError(
        http.HTTPStatus.BAD_GATEWAY,
        f"{what}; whether the request ran is not known",
        remedy="ask again only if running it twice does no harm",
    )


def timed_out() -> RequestError:
    """Return an answer to a request whose time is over."""
    return RequestError(
        http.HTTPStatus.GATEWAY_TIMEOUT,
        "there was no answer in time; whether the request ran is not known",
        remedy="ask again only if running it twice does no harm",
    )


def answer_interrupted(what: str) -> RequestError:
    """Return why an answer that had begun is cut off."""
    return RequestError(
        http.HTTPStatus.BAD_GATEWAY,
        what,
        remedy="ask again, from the last event where that is allowed",
    )
