# SPDX-License-Identifier: Apache-2.0
"""Backend servers as the platform's list tells them."""

import dataclasses
import enum
from typing import final
from typing import NewType

from lugcross import ids

#: Drawn anew at each start of a backend server, never used again.
BackendKey = NewType("BackendKey", str)


class BackendState(enum.Enum):
    """Whether a backend server takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Backend:
    """One life of a backend server.

    :param host: IP number.
    :param slots: requests that it works on at once.
    """

    key: BackendKey
    service: ids.ServiceName
    host: str
    port: int
    domain: ids.DomainName
    slots: int
    state: BackendState

    @property
    def address(self) -> str:
        """Address as ``HOST:PORT``."""
        return f"{self.host}:{self.port}"
