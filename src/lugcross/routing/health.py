# SPDX-License-Identifier: Apache-2.0
"""Passive health checks: ejection of backend servers and recovery probes."""

import datetime
from typing import final

from lugcross import clock as clock_lib

#: Consecutive failures after which a backend server is ejected.
FAILURES_TO_EJECT = 3
#: Duration of the first ejection; doubled for each further one.
FIRST_EJECTION = datetime.timedelta(seconds=1)
MAX_EJECTION = datetime.timedelta(seconds=30)
#: Time for which a server gets no requests after it refused one; doubled for
#: each consecutive refusal. Short, since a full server soon has a free slot.
FIRST_REFUSAL_PAUSE = datetime.timedelta(milliseconds=100)
#: A server that accepts requests again may stay unused for this long.
MAX_REFUSAL_PAUSE = datetime.timedelta(milliseconds=800)


@final
class BackendHealth:
    """Health of one backend server as observed by this process.

    A server is avoided for one of three reasons: it was ejected after
    consecutive failures, it asked for a backoff, or it refused a request and
    is given a short pause. Once that time is over, one request is sent as a
    probe. Its outcome decides whether the server is used again.
    """

    def __init__(self) -> None:
        self._consecutive_failures = 0
        self._next_ejection = FIRST_EJECTION
        self._avoided_until: clock_lib.Instant | None = None
        self._probing = False
        self._backed_off = False
        self._next_refusal_pause = FIRST_REFUSAL_PAUSE

    def is_avoided(self, now: clock_lib.Instant) -> bool:
        """Return whether requests should go to other servers.

        This is so during an ejection, a backoff or a refusal pause, and
        while the probe that follows is in progress.
        """
        if self._avoided_until is None:
            return False
        return now < self._avoided_until or self._probing

    @property
    def on_probation(self) -> bool:
        """Whether it is avoided, or was and has not answered since."""
        return self._avoided_until is not None

    def record_backoff(self, until: clock_lib.Instant) -> None:
        """Record that the server asked for no requests until ``until``.

        This is not a failure, but the server is probed afterwards all the
        same: a server that refuses at once looks idle and would otherwise
        attract requests again.
        """
        self._avoided_until = (
            until
            if self._avoided_until is None
            else max(until, self._avoided_until)
        )
        self._probing = False
        self._backed_off = True

    def record_refusal(self, now: clock_lib.Instant) -> None:
        """Record that the server refused a request without running it.

        This is not a failure, but a server that refuses within milliseconds
        looks idle and would attract most of the load.
        """
        self._probing = False
        until = now + self._next_refusal_pause
        self._avoided_until = (
            until
            if self._avoided_until is None
            else max(until, self._avoided_until)
        )
        self._next_refusal_pause = min(
            self._next_refusal_pause * 2, MAX_REFUSAL_PAUSE
        )

    def is_probing_after_backoff(self) -> bool:
        """Return whether the probe after a backoff is still in progress.

        Until it ends the server gets no other request, even if there is no
        other server: all requests that waited for the end of the backoff
        would reach it at once.
        """
        return self._backed_off and self._probing

    def record_sent(self, now: clock_lib.Instant) -> None:
        """Record that a request was sent; it may become the probe."""
        if self._avoided_until is not None and now >= self._avoided_until:
            self._probing = True

    def record_response_started(self) -> None:
        """Record that a response has started; it ends a backoff or pause.

        A stream may take seconds; waiting for its end would keep a server
        that accepts requests again unused. An ejection for failures ends
        only with a complete response.
        """
        if self._consecutive_failures < FAILURES_TO_EJECT:
            self._avoided_until = None
            self._probing = False
            self._backed_off = False
            self._next_refusal_pause = FIRST_REFUSAL_PAUSE

    def record_success(self) -> None:
        """Record that a request was answered completely."""
        self._consecutive_failures = 0
        self._next_ejection = FIRST_EJECTION
        self._avoided_until = None
        self._probing = False
        self._backed_off = False
        self._next_refusal_pause = FIRST_REFUSAL_PAUSE

    def record_no_result(self) -> None:
        """Record that a request ended without showing success or failure.

        If it was the probe, the next request becomes one.
        """
        self._probing = False

    def record_failure(self, now: clock_lib.Instant) -> bool:
        """Record a failure; return whether it ejects the server."""
        self._backed_off = False
        self._consecutive_failures += 1
        if (
            self._consecutive_failures < FAILURES_TO_EJECT
            and not self._probing
        ):
            return False
        if self._avoided_until is not None and now < self._avoided_until:
            # The request was already in progress when the server was
            # ejected: one outage must not count several times.
            return False
        self._avoided_until = now + self._next_ejection
        self._next_ejection = min(self._next_ejection * 2, MAX_EJECTION)
        self._probing = False
        return True
