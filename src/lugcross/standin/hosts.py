# SPDX-License-Identifier: Apache-2.0
"""Stand-in of the platform's list of hosts."""

import collections
from collections.abc import Iterable
import http
import time
from typing import final

import msgspec

from lugcross import logservice
from lugcross.standin import faults

_DEFAULT_LAG_S = 1.0


@final
class HostsStandin:
    """Host list that shows each change after a fixed lag.

    :param lag_s: time until a change becomes visible, in seconds.
    """

    def __init__(self, *, lag_s: float = _DEFAULT_LAG_S) -> None:
        self._lag_s = lag_s
        self._visible: dict[str, logservice.Host] = {}
        self._pending: collections.deque[tuple[float, logservice.Host]] = (
            collections.deque()
        )

    def __call__(
        self, environ: faults.Environ, start_response: faults.StartResponse
    ) -> Iterable[bytes]:
        """Return the list on ``GET``; set one host on ``POST``."""
        if environ["REQUEST_METHOD"] == "POST":
            body = faults.read_body(environ)
            self.set(msgspec.json.decode(body, type=logservice.Host))
            return faults.json_response(start_response, http.HTTPStatus.OK, {})
        return faults.json_response(
            start_response,
            http.HTTPStatus.OK,
            msgspec.to_builtins(self._visible_hosts()),
        )

    def set(self, host: logservice.Host) -> None:
        """Add or replace ``host``, visible after the lag."""
        self._pending.append((time.monotonic() + self._lag_s, host))

    def _visible_hosts(self) -> list[logservice.Host]:
        while self._pending and self._pending[0][0] <= time.monotonic():
            _, host = self._pending.popleft()
            self._visible[host.name] = host
        return list(self._visible.values())
