# SPDX-License-Identifier: Apache-2.0
"""Recent desired-state records, kept to send patches to peers."""

import collections
from typing import final

from lugcross.edge import patches

#: Number of records kept; a peer that is further behind gets a whole record.
_MAX_VERSIONS = 8
#: Total size of the records kept, without the newest: small on any host.
_MAX_OLD_BYTES = 4 * 1_048_576


@final
class DesiredHistory:
    """The newest desired-state records, and patches to the newest of them.

    :ivar newest: the record in force; empty while there is none.
    """

    def __init__(self) -> None:
        self._records: collections.OrderedDict[bytes, bytes] = (
            collections.OrderedDict()
        )
        self._patches: dict[bytes, patches.Patch] = {}
        self._compressed = b""
        self.newest = b""

    @property
    def digest(self) -> bytes:
        """Digest of the newest record; empty while there is none."""
        return next(reversed(self._records), b"")

    def add(self, record: bytes) -> None:
        """Add the record that is in force from now on."""
        self.newest = record
        self._records[patches.digest(record)] = record
        self._compressed = b""
        self._patches.clear()
        while len(self._records) > 1 and self._is_over_limit():
            self._records.popitem(last=False)

    def _is_over_limit(self) -> bool:
        size = sum(map(len, self._records.values())) - len(self.newest)
        return len(self._records) > _MAX_VERSIONS or size > _MAX_OLD_BYTES

    def compressed(self) -> bytes:
        """Return the newest record compressed; the result is cached."""
        if not self._compressed:
            self._compressed = patches.compress(self.newest)
        return self._compressed

    def patch(self, digest: bytes) -> patches.Patch | None:
        """Return the patch from a base to the newest record; cached.

        :param digest: digest of the base.
        :returns: none if the base is no longer kept.
        """
        base = self._records.get(digest)
        if base is None:
            return None
        found = self._patches.get(digest)
        if found is None:
            found = patches.make(base, self.newest)
            self._patches[digest] = found
        return found
