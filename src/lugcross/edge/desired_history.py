# SPDX-License-Identifier: Apache-2.0
"""Records of the desired state that are kept to answer peers."""

import collections
from typing import final

from lugcross.edge import patches

#: Versions kept: a peer that is further behind gets the whole.
_MAX_VERSIONS = 8
#: Bytes of all that are kept, but for the newest: a small part of the
#: memory of a small host.
_MAX_OLD_BYTES = 4 * 1_048_576


@final
class DesiredHistory:
    """The newest records of the desired state, and what leads to the last."""

    def __init__(self) -> None:
        self._records: collections.OrderedDict[bytes, bytes] = (
            collections.OrderedDict()
        )
        self._patches: dict[bytes, patches.Patch] = {}
        self._compressed = b""
        self.newest = b""

    @property
    def digest(self) -> bytes:
        """Digest of the newest; empty while there is none."""
        return next(reversed(self._records), b"")

    def add(self, record: bytes) -> None:
        """Take over the record that is in force from now on."""
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
        """Return the newest record in fewer bytes; made once."""
        if not self._compressed:
            self._compressed = patches.compress(self.newest)
        return self._compressed

    def patch(self, digest: bytes) -> patches.Patch | None:
        """Return what leads to the newest record; made once for each base.

        :param digest: of the base.
        :returns: none if the base is not known.
        """
        base = self._records.get(digest)
        if base is None:
            return None
        found = self._patches.get(digest)
        if found is None:
            found = patches.make(base, self.newest)
            self._patches[digest] = found
        return found
