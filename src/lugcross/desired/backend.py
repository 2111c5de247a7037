# SPDX-License-Identifier: Apache-2.0
"""Backend servers as the platform's list tells them."""

import dataclasses
import enum
import functools
from typing import final
from typing import NewType

from lugcross import ids

#: Name of a backend server; it may keep it when it starts again.
BackendId = NewType("BackendId", str)
#: One life of a backend server. Whatever is known of a life (connections,
#: requests in progress, failures, ranks) goes by this, and ends with it.
BackendKey = NewType("BackendKey", str)


class BackendState(enum.Enum):
    """Whether a backend server takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Backend:
    """One life of a backend server.

    :param started_at_ms: when this life began, in milliseconds since 1970;
        none where its id is never used again.
    :param host: IP number.
    :param slots: requests that it works on at once.
    :param software_version: version of the service that it runs.
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

    @functools.cached_property
    def key(self) -> BackendKey:
        """What tells this life from all others; ids hold no blanks."""
        if self.started_at_ms is None:
            return BackendKey(self.id)
        return BackendKey(f"{self.id} {self.started_at_ms}")

    @property
    def address(self) -> str:
        """Address as ``HOST:PORT``."""
        return f"{self.host}:{self.port}"
