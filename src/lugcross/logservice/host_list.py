# SPDX-License-Identifier: Apache-2.0
"""Typed client of the platform's list of live and leaving hosts.

The list lags behind reality, so it is one piece of evidence among
others and never the only one.
"""

import enum
import http
from typing import final

import msgspec
import urllib3

from lugcross import errors


class HostState(enum.Enum):
    """State of a host as the platform last saw it."""

    LIVE = "live"
    LEAVING = "leaving"


@final
class Host(msgspec.Struct, frozen=True, kw_only=True):
    """One host of the list, by the name of its node."""

    name: str
    domain: str
    state: HostState


@final
class HostListClient:
    """The list over HTTP: ``GET /hosts`` answers all hosts.

    :param url: base URL, with an IP number.
    :param timeout_s: longest wait for an answer, in seconds.
    """

    def __init__(self, url: str, *, timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(retries=False)

    def read(self) -> tuple[Host, ...]:
        """Return the list.

        :raises errors.PlatformError: when it cannot be had.
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
        f"the host list cannot be read ({why})",
        remedy="nothing to do: links and refusals still tell who is there",
    )
