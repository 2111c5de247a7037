# SPDX-License-Identifier: Apache-2.0
"""What has changed between two versions of the desired state's record.

A record holds all routes, some hundred kilobytes of them, and a change moves
a few. A peer that has one version needs only the parts that are new to it.
"""

from collections.abc import Sequence
import hashlib
from typing import final
import zlib

import msgspec

from lugcross import errors

#: Ends of the parts that a record is cut into: those of its objects.
_PART_END = b"}"
#: Bytes of a digest: two records of a few thousand never have the same.
_DIGEST_BYTES = 8
#: Of zlib: the fastest; the others save a tenth more for thrice the time.
_COMPRESSION_LEVEL = 1
#: Largest record that is taken from a peer, in bytes.
MAX_RECORD_BYTES = 16 * 1_048_576


@final
class Splice(msgspec.Struct, frozen=True, array_like=True):
    """Parts of the base that follow each other, then parts of their own.

    :param start: first part of the base.
    :param count: how many of them.
    :param inserted: bytes that follow them.
    """

    start: int
    count: int
    inserted: bytes = b""


@final
class Patch(msgspec.Struct, frozen=True, array_like=True):
    """How a record follows from one that the receiver has.

    :param digest: of the record that comes out.
    """

    digest: bytes
    splices: list[Splice]


class PatchError(errors.LugcrossError):
    """What a peer sent does not lead to a whole record."""


def digest(record: bytes) -> bytes:
    """Return what tells one record from another."""
    return hashlib.blake2b(record, digest_size=_DIGEST_BYTES).digest()


def make(base: bytes, record: bytes) -> Patch:
    """Return the patch that makes ``record`` of ``base``."""
    old, new = _parts(base), _parts(record)
    part_positions: dict[bytes, int] = {}
    for num, part in enumerate(old):
        part_positions.setdefault(part, num)
    splices: list[Splice] = []
    start = count = 0
    inserted: list[bytes] = []
    for part in new:
        follows = start + count
        if not inserted and follows < len(old) and old[follows] == part:
            count += 1
            continue
        found = part_positions.get(part)
        if found is None:
            inserted.append(part)
            continue
        splices.append(Splice(start, count, b"".join(inserted)))
        start, count, inserted = found, 1, []
    splices.append(Splice(start, count, b"".join(inserted)))
    return Patch(digest(record), splices)


def apply(base: bytes, patch: Patch) -> bytes:
    """Return the record that follows from ``base``.

    :raises PatchError: when that is not what the patch was made for.
    """
    old = _parts(base)
    found: list[bytes] = []
    for splice in patch.splices:
        if splice.start < 0 or splice.count < 0:
            raise _patch_error("a part before the first")
        found.extend(old[splice.start : splice.start + splice.count])
        found.append(splice.inserted)
    record = b"".join(found)
    if digest(record) != patch.digest:
        raise _patch_error("another record comes out")
    return record


def compress(record: bytes) -> bytes:
    """Return a record in fewer bytes; nothing stays nothing."""
    return zlib.compress(record, _COMPRESSION_LEVEL) if record else b""


def decompress(data: bytes) -> bytes:
    """Return a record that was packed.

    :raises PatchError: when it is none, or larger than any may be.
    """
    if not data:
        return b""
    decompressor = zlib.decompressobj()
    try:
        record = decompressor.decompress(data, MAX_RECORD_BYTES)
    except zlib.error as exc:
        raise _patch_error(str(exc)) from exc
    if not decompressor.eof:
        raise _patch_error("cut short, or too large")
    return record


def _parts(record: bytes) -> Sequence[bytes]:
    """Cut a record after each object."""
    *whole, rest = record.split(_PART_END)
    return [*(part + _PART_END for part in whole), rest]


def _patch_error(why: str) -> PatchError:
    return PatchError(
        f"a peer's record cannot be put together ({why})",
        remedy="nothing to do: the next question asks for the whole",
    )
