# SPDX-License-Identifier: Apache-2.0
"""Limit on the requests that probe refusing backend servers; no I/O."""

from typing import final

#: Failed probes that each request of the service earns.
_PROBES_PER_REQUEST = 0.05
#: Failed probes that can be saved up.
_MAX_SAVED_PROBES = 1.0


@final
class ProbeAllowance:
    """How many requests of one service may probe refusing servers.

    Only failed probes count: once a server accepts requests again, the others
    are probed at once, since servers often recover together.
    """

    def __init__(self) -> None:
        self._saved = _MAX_SAVED_PROBES

    def record_request(self) -> None:
        """Record one request from a caller."""
        self._saved = min(_MAX_SAVED_PROBES, self._saved + _PROBES_PER_REQUEST)

    def record_failed_probe(self) -> None:
        """Record that a refusing server has refused a probe."""
        self._saved = max(0.0, self._saved - 1.0)

    def may_probe(self) -> bool:
        """Return whether the next request may probe a refusing server."""
        return self._saved >= 1.0
