# SPDX-License-Identifier: Apache-2.0
"""Backend servers as listed by the platform."""

import dataclasses
import datetime
import enum
import functools
from typing import final
from typing import NewType

from lugcross import ids

#: Name of a backend server; may stay the same across restarts.
BackendId = NewType("BackendId", str)
#: Identifies one life of a backend server: its id and start. Everything
#: recorded about a server (connections, requests in progress, failures, ranks)
#: is stored under this key and dropped when the life ends.
BackendKey = NewType("BackendKey", str)


class BackendState(enum.Enum):
    """Whether a backend server takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Backend:
    """One life of a backend server.

    :param started_at_ms: start of this life, Unix time in milliseconds; None
        if the platform never reuses its id.
    :param host: IP address.
    :param domain: failure domain.
    :param slots: requests that it processes concurrently.
    :param software_version: version of the service that it runs.
    :param cold_time: how much longer it was cold when it wrote its entry.
    """

    id: BackendId
    started_at_ms: int | None = None
    service: ids.ServiceName
    host: str
    port: int
    domain: ids.DomainName
    slots: int
    state: BackendState
    software_version: str = ""
    cold_time: datetime.timedelta = datetime.timedelta()

    @functools.cached_property
    def key(self) -> BackendKey:
        """Key of this life; unambiguous because ids contain no spaces."""
        if self.started_at_ms is None:
            return BackendKey(self.id)
        return BackendKey(f"{self.id} {self.started_at_ms}")

    @property
    def address(self) -> str:
        """Address as ``HOST:PORT``."""
        return f"{self.host}:{self.port}"
