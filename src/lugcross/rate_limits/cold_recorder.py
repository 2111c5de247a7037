# SPDX-License-Identifier: Apache-2.0
"""Records and logs which servers are cold, given the services' limits."""

from collections.abc import Callable
from collections.abc import Mapping
import datetime
from typing import final

from absl import logging

from lugcross import desired
from lugcross import ids
from lugcross.rate_limits import cold_servers
from lugcross.rate_limits import server_limits


@final
class ColdRecorder:
    """Records reports of cold servers, and logs changes.

    :param service_of: returns the service of a backend server, or None if it
        is not known.
    :param services: returns the services of the desired state.
    """

    def __init__(
        self,
        limits: server_limits.ServerLimits,
        *,
        service_of: Callable[[desired.BackendKey], ids.ServiceName | None],
        services: Callable[[], Mapping[ids.ServiceName, desired.Service]],
    ) -> None:
        self._limits = limits
        self._service_of = service_of
        self._services = services
        self._logged: frozenset[desired.BackendKey] = frozenset()
        limits.cold.limit_of = self._limit_of

    def _limit_of(self, key: desired.BackendKey) -> desired.ColdLimit | None:
        name = self._service_of(key)
        service = None if name is None else self._services().get(name)
        return None if service is None else service.cold_limit

    def record_entry(self, backend: desired.Backend) -> None:
        """Record what a server's entry says."""
        self._limits.record_cold(
            backend.key, backend.cold_time, cold_servers.ColdSource.ENTRY
        )
        self.log_changes("entry")

    def record_response(
        self, key: desired.BackendKey, left: datetime.timedelta | None
    ) -> None:
        """Record what a server's response says; None if it says nothing."""
        if left is not None:
            self._limits.record_cold(
                key, left, cold_servers.ColdSource.RESPONSE
            )
            self.log_changes("response")

    def log_changes(self, source: str = "") -> None:
        """Log which servers have become cold, and which no longer are.

        :param source: where a report comes from that was just recorded.
        """
        cold = self._limits.cold_servers()
        before = self._logged
        if cold is before:
            return
        self._logged = cold
        for key in sorted(cold - before):
            limit = self._limit_of(key)
            logging.info(
                "backend server is cold",
                extra={
                    "backend": key,
                    "per_s": limit.requests_per_s if limit else None,
                    "left_ms": self._limits.cold.left_ms(key),
                    "source": source,
                },
            )
        for key in sorted(before - cold):
            logging.info(
                "backend server is no longer cold", extra={"backend": key}
            )
