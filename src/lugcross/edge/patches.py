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
_END = b"}"
#: Bytes of a digest: two records of a few thousand never have the same.
_DIGEST_BYTES = 8
#: Of zlib: the fastest; the others save a tenth more for thrice the time.
_LEVEL = 1
#: Largest record that is taken from a peer, in bytes.
MAX_RECORD = 16 * 1_048_576


@final
class Run(msgspec.Struct, frozen=True, array_like=True):
    """Parts of the base that follow each other, then parts of their own.

    :param start: first part of the base.
    :param count: how many of them.
    :param own: bytes that follow them.
    """

    start: int
    count: int
    own: bytes = b""


@final
class Patch(msgspec.Struct, frozen=True, array_like=True):
    """How a record follows from one that the receiver has.

    :param digest: of the record that comes out.
    """

    digest: bytes
    runs: list[Run]


class PatchError(errors.LugcrossError):
    """What a peer sent does not lead to a whole record."""


def digest(record: bytes) -> bytes:
    """Return what tells one record from another."""
    return hashlib.blake2b(record, digest_size=_DIGEST_BYTES).digest()


def between(base: bytes, record: bytes) -> Patch:
    """Return the patch that makes ``record`` of ``base``."""
    old, new = _parts(base), _parts(record)
    places: dict[bytes, int] = {}
    for num, part in enumerate(old):
        places.setdefault(part, num)
    runs: list[Run] = []
    start = count = 0
    own: list[bytes] = []
    for part in new:
        follows = start + count
        if not own and follows < len(old) and old[follows] == part:
            count += 1
            continue
        found = places.get(part)
        if found is None:
            own.append(part)
            continue
        runs.append(Run(start, count, b"".join(own)))
        start, count, own = found, 1, []
    runs.append(Run(start, count, b"".join(own)))
    return Patch(digest(record), runs)


def apply(base: bytes, patch: Patch) -> bytes:
    """Return the record that follows from ``base``.

    :raises PatchError: when that is not what the patch was made for.
    """
    old = _parts(base)
    found: list[bytes] = []
    for run in patch.runs:
        if run.start < 0 or run.count < 0:
            raise _bad("a part before the first")
        found.extend(old[run.start : run.start + run.count])
        found.append(run.own)
    record = b"".join(found)
    if digest(record) != patch.digest:
        raise _bad("another record comes out")
    return record


def pack(record: bytes) -> bytes:
    """Return a record in fewer bytes; nothing stays nothing."""
    return zlib.compress(record, _LEVEL) if record else b""


def unpack(data: bytes) -> bytes:
    """Return a record that was packed.

    :raises PatchError: when it is none, or larger than any may be.
    """
    if not data:
        return b""
    unpacker = zlib.decompressobj()
    try:
        record = unpacker.decompress(data, MAX_RECORD)
    except zlib.error as exc:
        raise _bad(str(exc)) from exc
    if not unpacker.eof:
        raise _bad("cut short, or too large")
    return record


def _parts(record: bytes) -> Sequence[bytes]:
    """Cut a record after each object."""
    *whole, rest = record.split(_END)
    return [*(part + _END for part in whole), rest]


def _bad(why: str) -> PatchError:
    return PatchError(
        f"a peer's record cannot be put together ({why})",
        remedy="nothing to do: the next question asks for the whole",
    )
