# SPDX-License-Identifier: Apache-2.0
"""Frames: CBOR arrays of messages, checked by type when they arrive."""

from collections.abc import Sequence

import cbor2
import msgspec

from lugcross import errors
from lugcross.wire import messages

#: Largest frame that a link takes, in bytes.
MAX_FRAME_BYTES = 4 * 1_048_576
#: Most messages in one frame; bounds what one frame can cost.
MAX_MESSAGES_PER_FRAME = 1024

_NATIVE_TYPES = (bytes,)


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    """Holds the type of a frame: msgspec then prepares it only once."""

    batch: list[messages.Message]


def encode(batch: Sequence[messages.Message]) -> bytes:
    """Return one frame that carries ``batch`` in order."""
    return cbor2.dumps(msgspec.to_builtins(batch, builtin_types=_NATIVE_TYPES))


def decode(frame: bytes) -> list[messages.Message]:
    """Return the messages of a frame.

    :raises errors.FrameError: when it is not an array of messages.
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
            f"frame of {len(batch)} messages, over {MAX_MESSAGES_PER_FRAME}",
            remedy="check that both processes run compatible versions",
        )
    return batch
