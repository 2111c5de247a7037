# SPDX-License-Identifier: Apache-2.0
"""Ejection of a failing backend server, and its careful return."""

import datetime
from typing import final

from lugcross import clock as clock_lib

#: Faults in a row after which a backend server is ejected.
FAULTS_TO_EJECT = 3
#: Time of a first ejection; each further one takes twice as long.
FIRST_EJECTION = datetime.timedelta(seconds=1)
#: Longest ejection.
MAX_EJECTION = datetime.timedelta(seconds=30)
#: Time for which a server is left alone once it has turned a request away;
#: each time in a row takes twice as long. A full one soon has a place again.
FIRST_REFUSAL_PAUSE = datetime.timedelta(milliseconds=100)
#: Longest such time: it may take requests again unnoticed for as long.
MAX_REFUSAL_PAUSE = datetime.timedelta(milliseconds=800)


@final
class BackendHealth:
    """What one entry host has seen of one backend server.

    After an ejection one request is let through; its end decides
    whether the backend server is back.
    """

    def __init__(self) -> None:
        self._consecutive_faults = 0
        self._next_ejection = FIRST_EJECTION
        self._avoided_until: clock_lib.Instant | None = None
        self._probing = False
        self._backed_off = False
        self._next_refusal_pause = FIRST_REFUSAL_PAUSE

    def is_ejected(self, now: clock_lib.Instant) -> bool:
        """Tell whether requests should go elsewhere."""
        if self._avoided_until is None:
            return False
        return now < self._avoided_until or self._probing

    @property
    def on_probation(self) -> bool:
        """Whether it was left alone and has answered nothing since."""
        return self._avoided_until is not None

    def record_backoff(self, until: clock_lib.Instant) -> None:
        """Note that it wants no requests for a while.

        That is no fault, but it is tried as carefully afterwards: what a
        server turns away at once would otherwise draw requests again, since
        it looks idle.
        """
        self._avoided_until = (
            until
            if self._avoided_until is None
            else max(until, self._avoided_until)
        )
        self._probing = False
        self._backed_off = True

    def record_refusal(self, now: clock_lib.Instant) -> None:
        """Note that it has turned a request away without running it.

        That is no fault, but what refuses within milliseconds looks idle: of
        16 servers six that turned everything away got 384 of 600 attempts.
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
        """Tell whether one request is finding out whether it has rested.

        Until then it gets no other, also where there is no other server: all
        that waited for its rest to end would reach it at once.
        """
        return self._backed_off and self._probing

    def record_sent(self, now: clock_lib.Instant) -> None:
        """Note that a request was sent."""
        if self._avoided_until is not None and now >= self._avoided_until:
            self._probing = True

    def record_answer_started(self) -> None:
        """Note that it has begun to answer: it takes requests again.

        A stream goes on for seconds, in which a server that has rested would
        get no other request. Whether it fails shows at the end only.
        """
        if self._consecutive_faults < FAULTS_TO_EJECT:
            self._avoided_until = None
            self._probing = False
            self._backed_off = False
            self._next_refusal_pause = FIRST_REFUSAL_PAUSE

    def record_success(self) -> None:
        """Note that a request got its answer."""
        self._consecutive_faults = 0
        self._next_ejection = FIRST_EJECTION
        self._avoided_until = None
        self._probing = False
        self._backed_off = False
        self._next_refusal_pause = FIRST_REFUSAL_PAUSE

    def record_no_result(self) -> None:
        """Note that a request ended without telling anything."""
        self._probing = False

    def record_failure(self, now: clock_lib.Instant) -> bool:
        """Note a fault; tell whether it leads to an ejection."""
        self._backed_off = False
        self._consecutive_faults += 1
        if self._consecutive_faults < FAULTS_TO_EJECT and not self._probing:
            return False
        if self._avoided_until is not None and now < self._avoided_until:
            # Faults of requests that were under way already: one
            # outage must not count as many.
            return False
        self._avoided_until = now + self._next_ejection
        self._next_ejection = min(self._next_ejection * 2, MAX_EJECTION)
        self._probing = False
        return True
