# SPDX-License-Identifier: Apache-2.0
"""Snapshots of the configuration, in parts that fit into log records.

A snapshot is named by the offset that it covers, and its bytes follow
from the configuration alone: two writers write the same, so neither does
harm. A writer that dies half way leaves parts that nobody uses.
"""

from collections.abc import Iterable
import hashlib
import types
from typing import final

import msgspec

from lugcross.cfg import model
from lugcross.cfg import replay
from lugcross import errors
from lugcross import ids
from lugcross import record_codec

#: Name of the stream that carries snapshots.
STREAM = "config-snapshots"
#: Largest part, in bytes.
PART_BYTES = 48_000


@final
class Part(msgspec.Struct, frozen=True, array_like=True):
    """One part of a snapshot.

    :param covers: offset of the configuration that it holds.
    :param digest: of the whole body, to keep parts of two apart.
    """

    covers: ids.Offset
    num: int
    count: int
    digest: bytes
    data: bytes


@final
class _Item(msgspec.Struct, frozen=True, array_like=True):
    obj: model.Object
    revision: ids.Revision
    author: str
    id: ids.ChangeId


@final
class _Settled(msgspec.Struct, frozen=True, array_like=True):
    offset: ids.Offset
    verdict: replay.Verdict
    reason: str
    id: ids.ChangeId
    kind: model.Kind
    name: str
    current: ids.Revision
    holder: str


@final
class _Body(msgspec.Struct, frozen=True, array_like=True):
    offset: ids.Offset
    chain: bytes
    items: tuple[_Item, ...]
    settled: tuple[_Settled, ...]


def split(config: replay.Config) -> list[Part]:
    """Return the parts of the snapshot of ``config``."""
    body = record_codec.encode(_body_of(config))
    digest = hashlib.sha256(body).digest()[:16]
    pieces = [
        body[start : start + PART_BYTES]
        for start in range(0, len(body), PART_BYTES)
    ]
    return [
        Part(config.offset, num, len(pieces), digest, piece)
        for num, piece in enumerate(pieces)
    ]


def encode(part: Part) -> bytes:
    """Return the record that carries ``part``."""
    return record_codec.encode(part)


def decode(data: bytes) -> Part:
    """Return the part that a record carries.

    :raises errors.ChangeError: when it is malformed.
    """
    return record_codec.decode(data, Part)


def join(parts: Iterable[Part]) -> replay.Config:
    """Return the configuration whose parts these are, in order.

    :raises errors.ChangeError: when they are not one whole snapshot.
    """
    ordered = list(parts)
    body = b"".join(part.data for part in ordered)
    digest = hashlib.sha256(body).digest()[:16]
    if not ordered or any(part.digest != digest for part in ordered):
        raise _malformed("parts are missing or of different snapshots")
    return _config_of(record_codec.decode(body, _Body))


@final
class Collector:
    """Finds the newest whole snapshot in a run of parts."""

    def __init__(self) -> None:
        self._parts: dict[tuple[ids.Offset, bytes], dict[int, Part]] = {}
        self.newest: list[Part] = []

    def add(self, part: Part) -> None:
        """Take one part, in any order, once or more often."""
        found = self._parts.setdefault((part.covers, part.digest), {})
        found[part.num] = part
        covers = self.newest[0].covers if self.newest else ids.Offset(0)
        if len(found) == part.count and part.covers >= covers:
            self.newest = [found[num] for num in sorted(found)]
            # Older ones are of no use to anybody any more.
            self._parts = {
                key: parts
                for key, parts in self._parts.items()
                if key[0] >= part.covers
            }


def _body_of(config: replay.Config) -> _Body:
    return _Body(
        config.offset,
        config.chain,
        tuple(
            _Item(item.obj, item.revision, item.author, item.id)
            for _, item in sorted(
                config.items.items(), key=lambda pair: str(pair[0])
            )
        ),
        tuple(_settled_of(applied) for applied in config.settled.values()),
    )


def _settled_of(applied: replay.Applied) -> _Settled:
    assert applied.ref is not None
    return _Settled(
        applied.offset,
        applied.verdict,
        applied.reason,
        applied.id,
        applied.ref.kind,
        applied.ref.name,
        applied.current,
        applied.holder,
    )


def _config_of(body: _Body) -> replay.Config:
    items = {
        item.obj.ref: replay.Item(
            obj=item.obj,
            revision=item.revision,
            author=item.author,
            id=item.id,
        )
        for item in body.items
    }
    settled = {
        one.id: replay.Applied(
            offset=one.offset,
            verdict=one.verdict,
            reason=one.reason,
            id=one.id,
            ref=model.Ref(one.kind, one.name),
            current=one.current,
            holder=one.holder,
        )
        for one in body.settled
    }
    return replay.Config(
        body.offset,
        types.MappingProxyType(items),
        types.MappingProxyType(settled),
        body.chain,
    )


def _malformed(why: str) -> errors.ChangeError:
    return errors.ChangeError(
        f"snapshot cannot be used ({why})",
        remedy="an older snapshot or the records themselves will do",
    )
