# SPDX-License-Identifier: Apache-2.0
"""Records of the configuration stream and their encoding."""

from typing import final

import msgspec

from lugcross.cfg import model
from lugcross import errors
from lugcross import ids
from lugcross import record_codec

#: Name of the stream that carries the configuration.
STREAM = "config"
#: Newest record layout that this version understands.
SCHEMA = 1

_MAX_RECORD = 65_536


@final
class Put(msgspec.Struct, frozen=True, tag_field="op", tag="put"):
    """Create an object or replace it whole."""

    obj: model.Object

    @property
    def ref(self) -> model.Ref:
        """Object that this operation sets."""
        return self.obj.ref


@final
class Remove(msgspec.Struct, frozen=True, tag_field="op", tag="remove"):
    """Remove an object."""

    kind: model.Kind
    name: str

    @property
    def ref(self) -> model.Ref:
        """Object that this operation removes."""
        return model.Ref(self.kind, self.name)


@final
class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One operator's change to one object.

    :param id: chosen by the operator; the same id counts once.
    :param author: who asked for it.
    :param at: time of day when it was asked for, seconds since 1970.
    :param expect: revision of the object that the author saw; 0 for
        an object that must not exist yet.
    """

    id: ids.ChangeId
    author: str
    at: float
    expect: ids.Revision
    op: Put | Remove
    schema: int = SCHEMA


def encode(change: Change) -> bytes:
    """Return the record that carries ``change``.

    :raises errors.ChangeError: when it would not fit into a record.
    """
    data = record_codec.encode(change)
    if len(data) > _MAX_RECORD:
        raise errors.ChangeError(
            f"change {change.id} takes {len(data)} bytes, over the "
            f"{_MAX_RECORD} of a record",
            remedy="split the object into smaller ones",
        )
    return data


def decode(data: bytes) -> Change:
    """Return the change that a record carries.

    :raises errors.ChangeError: when it is malformed or newer than
        :data:`SCHEMA`.
    """
    # Looked at alone first: a newer record may differ in all the rest.
    schema = record_codec.decode(data, _Versioned).schema
    if schema > SCHEMA:
        raise errors.ChangeError(
            f"record has schema {schema}, newer than {SCHEMA}",
            remedy="update this process; it keeps the record out",
        )
    return record_codec.decode(data, Change)


class _Versioned(msgspec.Struct, frozen=True):
    schema: int = SCHEMA
