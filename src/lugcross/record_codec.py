# SPDX-License-Identifier: Apache-2.0
"""Encoding of log records: typed structs as CBOR."""

from typing import TypeVar

import cbor2
import msgspec

from lugcross import errors

_T = TypeVar("_T")
_NATIVE_TYPES = (bytes,)


def encode(struct: msgspec.Struct) -> bytes:
    """Return a struct as CBOR; equal structs give equal bytes."""
    return cbor2.dumps(
        msgspec.to_builtins(struct, builtin_types=_NATIVE_TYPES)
    )


def decode(data: bytes, cls: type[_T]) -> _T:
    """Return the struct of type ``cls`` that ``data`` encodes.

    :raises errors.ChangeError: if ``data`` is not a valid ``cls``.
    """
    try:
        return msgspec.convert(
            cbor2.loads(data), cls, builtin_types=_NATIVE_TYPES
        )
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as exc:
        raise errors.ChangeError(
            f"log record is not a valid {cls.__name__} ({exc})",
            remedy="the record is ignored; find out which process wrote it",
        ) from exc
