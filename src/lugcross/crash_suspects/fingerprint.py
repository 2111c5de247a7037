# SPDX-License-Identifier: Apache-2.0
"""Fingerprints that identify a request, or a part of its prompt."""

import dataclasses
import hashlib
from typing import final
from typing import NewType

#: Identifies a request or a prompt part in logs, in messages between edge
#: processes and to operators.
Fingerprint = NewType("Fingerprint", bytes)

#: Finding a collision takes about 2**64 attempts, and only requests of the
#: same workspace can collide.
FINGERPRINT_BYTES = 16
_HASH_PERSONALIZATION = b"lugcross-request"
_PART_HASH_PERSONALIZATION = b"lugcross-part"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestIdentity:
    """The parts of a request that stay the same when its caller retries.

    Attempt ids, the remaining time and the event to resume a stream from
    differ between retries and are not included.

    :param workspace: workspace of the API key; empty without one.
    :param target: path and query.
    """

    service: str
    workspace: str
    host: str
    method: bytes
    target: bytes
    body: bytes

    def fingerprint(self) -> Fingerprint:
        """Return a keyed hash of all fields.

        The key is derived from the workspace, so no caller can construct a
        request with the fingerprint of another workspace's request. Hashing a
        large body takes milliseconds; call this only if the result is needed,
        and once per request.
        """
        key = hashlib.blake2b(self.workspace.encode()).digest()
        digest = hashlib.blake2b(
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
            # The length prefix keeps bytes from moving between fields.
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part)
        digest.update(self.body)
        return Fingerprint(digest.digest())


def part_fingerprint(service: str, part: str) -> Fingerprint:
    """Return the hash of a part of the prompts for a service.

    It does not depend on the workspace: a part that crashes servers does so
    whoever sends it. No workspace can get a part of others refused alone,
    since their sound runs count for the part.

    :param part: id of the part, as callers send it.
    """
    digest = hashlib.blake2b(
        digest_size=FINGERPRINT_BYTES, person=_PART_HASH_PERSONALIZATION
    )
    name = service.encode()
    digest.update(len(name).to_bytes(4, "big"))
    digest.update(name)
    digest.update(part.encode())
    return Fingerprint(digest.digest())
