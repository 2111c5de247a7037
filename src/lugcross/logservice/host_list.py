# SPDX-License-Identifier: Apache-2.0
"""Client of the platform's list of live and leaving hosts.

The list may be out of date. Its users combine it with other evidence,
such as open links, and do not rely on it alone.
"""

import enum
import http
from typing import final

import msgspec
import urllib3

from lugcross import errors


class HostState(enum.Enum):
    """State of a host as last recorded by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@final
class Host(msgspec.Struct, frozen=True, kw_only=True):
    """One host of the list.

    :param name: name of the host's node.
    :param domain: its failure domain.
    """

    name: str
    domain: str
    state: HostState


@final
class HostListClient:
    """Reads the host list over HTTP by ``GET /hosts``.

    :param url: base URL of the platform, with an IP address as its host.
    :param timeout_s: timeout of a request, in seconds.
    """

    def __init__(self, url: str, *, timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(retries=False)

    def read(self) -> tuple[Host, ...]:
        """Return all hosts of the list.

        :raises errors.PlatformError: if the list cannot be read.
        """
        try:
            resp = self._pool.request(
                "GET", f"{self._url}/hosts", timeout=self._timeout_s
            )
            if resp.status != http.HTTPStatus.OK:
                raise _unavailable(f"status {resp.status}")
            return msgspec.json.decode(resp.data, type=tuple[Host, ...])
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as exc:
            raise _unavailable(str(exc)) from exc


def _unavailable(why: str) -> errors.PlatformError:
    return errors.PlatformError(
        f"cannot read the host list ({why})",
        remedy="none needed: links and refusals still show which hosts are up",
    )
