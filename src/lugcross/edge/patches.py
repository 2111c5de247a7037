# SPDX-License-Identifier: Apache-2.0
"""Patches between two versions of the desired-state record.

A record holds all routes, up to some hundred kilobytes, while a change affects
only a few. A peer that has an earlier version needs only the changed parts.

Records are split after each JSON object; a patch copies ranges of these parts
from the earlier record (the base) and inserts new bytes between them.
"""

from collections.abc import Sequence
import hashlib
from typing import final
import zlib

import msgspec

from lugcross import errors

#: Records are split into parts after each of these bytes.
_PART_END = b"}"
#: Size of a digest; a collision among a few thousand records is negligible.
_DIGEST_BYTES = 8
#: zlib's fastest level; higher ones save little and take much longer.
_COMPRESSION_LEVEL = 1
#: Largest decompressed record that is accepted from a peer.
MAX_RECORD_BYTES = 16 * 1_048_576


@final
class Splice(msgspec.Struct, frozen=True, array_like=True):
    """A range of parts of the base, followed by inserted bytes.

    :param start: index of the first part.
    :param count: number of parts.
    :param inserted: bytes to insert after them.
    """

    start: int
    count: int
    inserted: bytes = b""


@final
class Patch(msgspec.Struct, frozen=True, array_like=True):
    """Instructions to construct a record from a base.

    :param digest: digest of the constructed record.
    :param splices: its content, in order.
    """

    digest: bytes
    splices: list[Splice]


class PatchError(errors.LugcrossError):
    """A record that a peer sent is corrupt, or a patch does not fit."""


def digest(record: bytes) -> bytes:
    """Return the digest by which a record is identified."""
    return hashlib.blake2b(record, digest_size=_DIGEST_BYTES).digest()


def make(base: bytes, record: bytes) -> Patch:
    """Return the patch that turns ``base`` into ``record``."""
    old, new = _parts(base), _parts(record)
    part_indexes: dict[bytes, int] = {}
    for num, part in enumerate(old):
        part_indexes.setdefault(part, num)
    splices: list[Splice] = []
    start = count = 0
    inserted: list[bytes] = []
    for part in new:
        next_index = start + count
        if not inserted and next_index < len(old) and old[next_index] == part:
            count += 1
            continue
        found = part_indexes.get(part)
        if found is None:
            inserted.append(part)
            continue
        splices.append(Splice(start, count, b"".join(inserted)))
        start, count, inserted = found, 1, []
    splices.append(Splice(start, count, b"".join(inserted)))
    return Patch(digest(record), splices)


def apply(base: bytes, patch: Patch) -> bytes:
    """Return the record that a patch makes from ``base``.

    :raises PatchError: if the patch was made for another base or is corrupt.
    """
    old = _parts(base)
    found: list[bytes] = []
    for splice in patch.splices:
        if splice.start < 0 or splice.count < 0:
            raise _patch_error("negative start or count")
        found.extend(old[splice.start : splice.start + splice.count])
        found.append(splice.inserted)
    record = b"".join(found)
    if digest(record) != patch.digest:
        raise _patch_error("digest mismatch")
    return record


def compress(record: bytes) -> bytes:
    """Return a record compressed; empty if it is empty."""
    return zlib.compress(record, _COMPRESSION_LEVEL) if record else b""


def decompress(data: bytes) -> bytes:
    """Return the record that :func:`compress` made ``data`` from.

    :raises PatchError: if the data is corrupt, truncated, or the record larger
        than :data:`MAX_RECORD_BYTES`.
    """
    if not data:
        return b""
    decompressor = zlib.decompressobj()
    try:
        record = decompressor.decompress(data, MAX_RECORD_BYTES)
    except zlib.error as exc:
        raise _patch_error(str(exc)) from exc
    if not decompressor.eof:
        raise _patch_error(f"truncated, or over {MAX_RECORD_BYTES} bytes")
    return record


def _parts(record: bytes) -> Sequence[bytes]:
    """Return the parts of a record, each up to the end of a JSON object."""
    *whole, rest = record.split(_PART_END)
    return [*(part + _PART_END for part in whole), rest]


def _patch_error(why: str) -> PatchError:
    return PatchError(
        f"cannot reconstruct the record that a peer sent ({why})",
        remedy="nothing to do: state will be requested again",
    )
