# SPDX-License-Identifier: Apache-2.0
"""Stand-in of a plain service that counts the requests that it executes."""

import collections
from collections.abc import Iterable
import http
import threading
import time
from typing import final

from lugcross.standin import faults

#: Path at which a stand-in returns how often it has run each request, by
#: idempotency key or request id.
RUN_COUNTS_PATH = "/ran"


@final
class ServiceStandin:
    """Service that returns a numbered receipt for each request.

    Requests are counted by idempotency key, or request id without a key.

    :param work_s: how long one request takes, in seconds.
    :ivar run_counts: number of executions of each request.
    """

    def __init__(self, *, work_s: float = 0.002) -> None:
        self._work_s = work_s
        self._lock = threading.Lock()
        self.run_counts: collections.Counter[str] = collections.Counter()

    def __call__(
        self, environ: faults.Environ, start_response: faults.StartResponse
    ) -> Iterable[bytes]:
        """Execute one request, and respond with its receipt."""
        if environ["PATH_INFO"] == RUN_COUNTS_PATH:
            return faults.json_response(
                start_response, http.HTTPStatus.OK, dict(self.run_counts)
            )
        body = faults.read_body(environ)
        time.sleep(self._work_s)
        name = environ.get("HTTP_IDEMPOTENCY_KEY") or environ.get(
            "HTTP_X_REQUEST_ID", ""
        )
        with self._lock:
            self.run_counts[name] += 1
            receipt = self.run_counts.total()
        fields = {"receipt": receipt, "for": name, "bytes": len(body)}
        return faults.json_response(start_response, http.HTTPStatus.OK, fields)
