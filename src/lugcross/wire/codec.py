# SPDX-License-Identifier: Apache-2.0
"""Encodes messages into frames and decodes and type-checks frames.

A frame is the CBOR encoding of an array of messages.
"""

from collections.abc import Sequence

import cbor2
import msgspec

from lugcross import errors
from lugcross.wire import messages

#: Largest frame that a link accepts.
MAX_FRAME_BYTES = 4 * 1_048_576
#: Most messages in one frame; bounds the time to process it.
MAX_MESSAGES_PER_FRAME = 1024

_NATIVE_TYPES = (bytes,)


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    """Wraps the list of messages in a struct.

    msgspec analyzes the type of a struct once, not with each conversion.
    """

    batch: list[messages.Message]


def encode(batch: Sequence[messages.Message]) -> bytes:
    """Return a frame with the messages of ``batch`` in order."""
    return cbor2.dumps(msgspec.to_builtins(batch, builtin_types=_NATIVE_TYPES))


def decode(frame: bytes) -> list[messages.Message]:
    """Return the messages of a frame in order.

    :raises errors.FrameError: if the frame is not an array of messages,
        or has too many.
    """
    try:
        batch = msgspec.convert(
            [cbor2.loads(frame)], _Frame, builtin_types=_NATIVE_TYPES
        ).batch
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as exc:
        raise errors.FrameError(
            f"malformed frame ({exc})",
            remedy="check that both processes run compatible versions",
        ) from exc
    if len(batch) > MAX_MESSAGES_PER_FRAME:
        raise errors.FrameError(
            f"frame has {len(batch)} messages, limit {MAX_MESSAGES_PER_FRAME}",
            remedy="check that both processes run compatible versions",
        )
    return batch
