# SPDX-License-Identifier: Apache-2.0
"""Claims of idempotency keys in the log: who may run a request.

The first claim of a key in the log's order is the one that counts, the
same for every reader. A claim holds whoever made it to one incarnation
of one agent; no other ever runs the request.
"""

from collections.abc import Sequence
import dataclasses
import datetime
import enum
import hashlib
from typing import final

import msgspec

from lugcross.agent import once
from lugcross import clock as clock_lib
from lugcross import errors
from lugcross import ids
from lugcross import record_codec

#: Name of the stream that carries claims.
STREAM = "once"
#: Claims in one record at most.
MAX_BATCH = 1000
#: How long a claim is remembered; the log must keep records longer.
KEPT = datetime.timedelta(hours=6)

_DIGEST_BYTES = 16
_PRINT_BYTES = 8


@final
class Claim(msgspec.Struct, frozen=True, array_like=True):
    """One key that an agent wants to run.

    :param key: digest of workspace, service and key.
    :param body: digest of the request, to tell a repeat from another.
    """

    key: bytes
    body: bytes


@final
class Batch(msgspec.Struct, frozen=True, array_like=True):
    """One record of the stream: claims that went together."""

    backend: ids.BackendName
    incarnation: ids.Incarnation
    claims: tuple[Claim, ...]


class Verdict(enum.Enum):
    """What the log says of a claim."""

    WON = "won"
    TAKEN = "taken"
    TAKEN_BEFORE_RESTART = "taken-before-restart"
    OTHER_BODY = "other-body"
    LOG_AWAY = "log-away"


@final
@dataclasses.dataclass(frozen=True)
class Ruling:
    """Verdict on a claim, and who holds the key if another does."""

    verdict: Verdict
    holder: ids.BackendName = ids.BackendName("")


@final
@dataclasses.dataclass(frozen=True)
class _Held:
    backend: ids.BackendName
    incarnation: ids.Incarnation
    body: bytes


def claim_of(scope: once.Scope, fingerprint: bytes) -> Claim:
    """Return the claim of one request."""
    text = "\0".join(scope).encode()
    return Claim(
        hashlib.sha256(text).digest()[:_DIGEST_BYTES],
        fingerprint[:_PRINT_BYTES],
    )


def encode(batch: Batch) -> bytes:
    """Return the record that carries ``batch``."""
    return record_codec.encode(batch)


def decode(data: bytes) -> Batch:
    """Return the batch that a record carries.

    :raises errors.ChangeError: when it is malformed.
    """
    return record_codec.decode(data, Batch)


@final
class ClaimIndex:
    """The claims in the log, as far as they were read.

    :param incarnation: of this agent; its own claims let it run.
    """

    def __init__(
        self, backend: ids.BackendName, incarnation: ids.Incarnation
    ) -> None:
        self._backend = backend
        self._incarnation = incarnation
        self._held: dict[bytes, _Held] = {}
        self._read: list[tuple[clock_lib.Instant, bytes]] = []
        self._expired = 0
        self.offset = ids.Offset(0)

    def __len__(self) -> int:
        return len(self._held)

    def apply(
        self, offset: ids.Offset, batch: Batch, now: clock_lib.Instant
    ) -> None:
        """Take one record; records already read change nothing.

        :raises errors.ReplayGapError: when records before are missing.
        """
        if offset <= self.offset:
            return
        if offset != self.offset + 1:
            raise errors.ReplayGapError(
                f"claims {offset} follow {self.offset}",
                remedy="start the agent again; it reads all that is kept",
            )
        self.offset = offset
        for claim in batch.claims:
            if claim.key in self._held:
                continue
            self._held[claim.key] = _Held(
                batch.backend, batch.incarnation, claim.body
            )
            self._read.append((now, claim.key))

    def start_at(self, first: ids.Offset) -> None:
        """Begin with the oldest record that the log still has."""
        self.offset = ids.Offset(first - 1)

    def rule(self, claim: Claim) -> Ruling | None:
        """Return the verdict on a claim; none while it is not read."""
        held = self._held.get(claim.key)
        if held is None:
            return None
        if held.body != claim.body:
            return Ruling(Verdict.OTHER_BODY, held.backend)
        if held.incarnation == self._incarnation:
            return Ruling(Verdict.WON)
        if held.backend == self._backend:
            return Ruling(Verdict.TAKEN_BEFORE_RESTART, held.backend)
        return Ruling(Verdict.TAKEN, held.backend)

    def expire(self, now: clock_lib.Instant) -> None:
        """Forget claims that are older than :data:`KEPT`."""
        while self._expired < len(self._read):
            at, key = self._read[self._expired]
            if now - at <= KEPT:
                break
            del self._held[key]
            self._expired += 1
        if self._expired * 2 > len(self._read):
            del self._read[: self._expired]
            self._expired = 0


def split(claims: Sequence[Claim]) -> list[tuple[Claim, ...]]:
    """Return ``claims`` in parts that fit into one record each."""
    return [
        tuple(claims[start : start + MAX_BATCH])
        for start in range(0, len(claims), MAX_BATCH)
    ]
