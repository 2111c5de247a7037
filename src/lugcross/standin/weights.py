# SPDX-License-Identifier: Apache-2.0
"""Stand-in of the platform's rate-limited weight store."""

from collections.abc import Iterable
from collections.abc import Iterator
import http
import threading
import time
from typing import final
import urllib.parse

from lugcross.standin import faults

_DEFAULT_BYTES_PER_S = 100 * 1_048_576.0
_CHUNK_BYTES = 65_536


@final
class WeightsStandin:
    """Store with a rate limit that all its readers share.

    ``GET /weights/NAME?bytes=N`` returns N zero bytes.

    :param bytes_per_s: rate limit, in bytes a second.
    :ivar served_bytes: number of bytes sent or about to be sent.
    """

    def __init__(self, *, bytes_per_s: float = _DEFAULT_BYTES_PER_S) -> None:
        self._bytes_per_s = bytes_per_s
        self._busy_until = time.monotonic()
        self._lock = threading.Lock()
        self.served_bytes = 0

    def __call__(
        self, environ: faults.Environ, start_response: faults.StartResponse
    ) -> Iterable[bytes]:
        """Handle one request."""
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        size = int(query["bytes"])
        status = http.HTTPStatus.OK
        start_response(
            f"{status.value} {status.phrase}", [("Content-Length", str(size))]
        )
        return self._chunks(size)

    def _chunks(self, size: int) -> Iterator[bytes]:
        for start in range(0, size, _CHUNK_BYTES):
            chunk = min(_CHUNK_BYTES, size - start)
            time.sleep(self._reserve(chunk))
            yield bytes(chunk)

    def _reserve(self, size: int) -> float:
        """Reserve transfer time for some bytes.

        :returns: time until they may be sent, in seconds.
        """
        with self._lock:
            now = time.monotonic()
            self._busy_until = (
                max(self._busy_until, now) + size / self._bytes_per_s
            )
            self.served_bytes += size
            return self._busy_until - now
