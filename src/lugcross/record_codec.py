# SPDX-License-Identifier: Apache-2.0
"""Records of the log's streams: typed structs in CBOR."""

from typing import TypeVar

import cbor2
import msgspec

from lugcross import errors

_T = TypeVar("_T")
_NATIVE_TYPES = (bytes,)


def encode(struct: msgspec.Struct) -> bytes:
    """Return the bytes of a record; the same for equal structs."""
    return cbor2.dumps(
        msgspec.to_builtins(struct, builtin_types=_NATIVE_TYPES)
    )


def decode(data: bytes, cls: type[_T]) -> _T:
    """Return what a record holds.

    :raises errors.ChangeError: when it is not a ``cls``.
    """
    try:
        return msgspec.convert(
            cbor2.loads(data), cls, builtin_types=_NATIVE_TYPES
        )
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as exc:
        raise errors.ChangeError(
            f"record is no {cls.__name__} ({exc})",
            remedy="find its writer in the log; the record has no effect",
        ) from exc
