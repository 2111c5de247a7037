# SPDX-License-Identifier: Apache-2.0
"""Error responses that this process generates itself."""

import datetime
import http
import json
import random
from typing import final

from lugcross import errors
from lugcross import platform

#: Shortest ``Retry-After``: a few passes of an engine, in which slots become
#: free.
MIN_RETRY_AFTER = datetime.timedelta(milliseconds=700)
#: Fraction of the caller's remaining time over which the retries of refused
#: callers are spread.
_OVERLOADED_SPREAD_FRACTION = 0.2
#: Fraction of the caller's remaining time before its retry where all servers
#: refuse: it takes seconds until they recover, and the retry must still leave
#: time for an answer.
_UNAVAILABLE_WAIT_FRACTION = 0.3
#: The same range where no server can serve the request for now, so that the
#: callers do not all return in one moment. They wait as told for up to a third
#: of the time that they have left.
_MIN_CUT_OFF_WAIT_FRACTION = 0.2
_MAX_CUT_OFF_WAIT_FRACTION = 0.33


@final
class RequestError(errors.LugcrossError):
    """A request that ends with an error response of this process.

    :param status: 429 and 503 guarantee that the request has not run.
    :param retry_after: delay before the caller's retry, if one makes sense.
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
        """Return the headers of the response."""
        found = [(b"Content-Type", b"application/json")]
        if self.retry_after is not None:
            wait = f"{self.retry_after.total_seconds():.3f}".encode()
            found.append((platform.RETRY_AFTER, wait))
        return found

    def body(self) -> bytes:
        """Return the JSON body of the response."""
        error = {"what": self.what, "remedy": self.remedy}
        return json.dumps({"error": error}).encode()


def not_ready(what: str) -> RequestError:
    """Return the refusal of a process that is not ready to serve."""
    return _not_run(what, MIN_RETRY_AFTER)


def overloaded(
    what: str, time_left: datetime.timedelta, rng: random.Random
) -> RequestError:
    """Return the refusal of a request that no server has capacity for.

    :param time_left: time until the caller's deadline.
    """
    latest = max(MIN_RETRY_AFTER, time_left * _OVERLOADED_SPREAD_FRACTION)
    wait = MIN_RETRY_AFTER + (latest - MIN_RETRY_AFTER) * rng.random()
    return _not_run(what, wait)


def all_backing_off(
    backoff: datetime.timedelta, rng: random.Random
) -> RequestError:
    """Return the refusal while all servers are backing off or being probed.

    The retries of the callers are spread over a short time after the first
    backoff ends: that server gets a single probe request first.

    :param backoff: time until the first backoff ends; 0 if it has ended.
    """
    wait = max(MIN_RETRY_AFTER, backoff) + MIN_RETRY_AFTER * rng.random()
    return _not_run(
        "every backend server has asked this process to back off", wait
    )


def all_limited(wait: datetime.timedelta, rng: random.Random) -> RequestError:
    """Return the refusal while all servers have reached their limits.

    :param wait: time until the first of them takes a request again.
    """
    return _not_run(
        "every backend server limits its requests",
        max(MIN_RETRY_AFTER, wait) + MIN_RETRY_AFTER * rng.random(),
    )


def no_memory(rng: random.Random) -> RequestError:
    """Return the refusal of a request whose body this process cannot hold."""
    return _not_run(
        "this process has no memory for the request's body",
        MIN_RETRY_AFTER * (1 + rng.random()),
    )


def unavailable(what: str, time_left: datetime.timedelta) -> RequestError:
    """Return the refusal of a request that all servers refused.

    :param time_left: time until the caller's deadline.
    """
    return _not_run(
        what, max(MIN_RETRY_AFTER, time_left * _UNAVAILABLE_WAIT_FRACTION)
    )


def all_evacuated(time_left: datetime.timedelta) -> RequestError:
    """Return the refusal while all servers are in evacuated domains.

    Nobody knows when an operator withdraws an evacuation, so that the latest
    retry which leaves time for an answer has the best chance.

    :param time_left: time until the caller's deadline.
    """
    return unavailable(
        "every backend server is in an evacuated failure domain", time_left
    )


def cut_off(
    what: str, time_left: datetime.timedelta, rng: random.Random
) -> RequestError:
    """Return the refusal of a request that no known server can serve now.

    :param time_left: time until the caller's deadline.
    """
    earliest = max(MIN_RETRY_AFTER, time_left * _MIN_CUT_OFF_WAIT_FRACTION)
    spread = time_left * (
        _MAX_CUT_OFF_WAIT_FRACTION - _MIN_CUT_OFF_WAIT_FRACTION
    )
    return _not_run(what, earliest + spread * rng.random())


def crash_suspect(
    crash_count: int, retry_after: datetime.timedelta, *, part: str | None
) -> RequestError:
    """Return the refusal of a request that may crash backend servers.

    :param crash_count: servers that crashed while they ran it.
    :param retry_after: time until the suspicion expires.
    :param part: the part of its prompt that crashed them; None if only this
        request did.
    """
    if part is not None:
        return RequestError(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            f"{crash_count} backend servers have ended while they ran "
            f"requests with part {part!r} of this prompt",
            remedy="leave out that part, or ask the operator to clear it",
            retry_after=retry_after,
        )
    return RequestError(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        f"{crash_count} backend servers have ended while they ran this "
        "request",
        remedy="change the request, or ask the operator to clear it",
        retry_after=retry_after,
    )


def _not_run(what: str, wait: datetime.timedelta) -> RequestError:
    return RequestError(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        what,
        remedy="send the request again after the time in Retry-After",
        retry_after=wait,
    )


def no_route(host: str, path: str) -> RequestError:
    """Return the refusal of a request that matches no route."""
    return RequestError(
        http.HTTPStatus.NOT_FOUND,
        f"no route for {host[:80]}{path[:80]}",
        remedy="ask the operator which routes there are",
    )


def unknown_key() -> RequestError:
    """Return the refusal of an API key that belongs to no workspace."""
    return RequestError(
        http.HTTPStatus.UNAUTHORIZED,
        "the API key belongs to no workspace",
        remedy="ask the operator for a key",
    )


def outcome_unknown(what: str) -> RequestError:
    """Return the response to a request that may or may not have run."""
    return _may_have_run(http.HTTPStatus.BAD_GATEWAY, what)


def timed_out() -> RequestError:
    """Return the response to a request whose deadline has passed."""
    return _may_have_run(
        http.HTTPStatus.GATEWAY_TIMEOUT, "no answer before the deadline"
    )


def _may_have_run(status: http.HTTPStatus, what: str) -> RequestError:
    return RequestError(
        status,
        f"{what}; whether the request ran is not known",
        remedy="send the request again only if it is safe to run it twice",
    )


def response_interrupted(what: str) -> RequestError:
    """Return the error by which a partly written response is aborted.

    It is only logged: the head of the response has already been sent.
    """
    return RequestError(
        http.HTTPStatus.BAD_GATEWAY,
        what,
        remedy="send the request again, from the last event where the "
        "route allows it",
    )
