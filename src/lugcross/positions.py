# SPDX-License-Identifier: Apache-2.0
"""Positions in the platform's store, ordered across its recoveries.

When the store comes back from an older copy, a new era begins: records written
after the copy are lost and their offsets are assigned again. A position
combines an era with an offset, so that positions of a later era are always
greater than those of earlier eras.
"""

from typing import NewType

from lugcross import ids

#: Number of an era of the store; 0 if the store does not report eras.
Era = NewType("Era", int)
#: Era and offset packed into one integer, as processes exchange it.
Position = NewType("Position", int)

#: Bits of an offset: enough for 29 years at the store's maximum rate of 1,200
#: records per second.
_OFFSET_BITS = 40
_OFFSET_MASK = (1 << _OFFSET_BITS) - 1
#: Highest era: enough for a new era per minute for two years.
MAX_ERA = (1 << 20) - 1
#: The lowest position: era 0, offset 0.
START = Position(0)
#: The highest position.
MAX_POSITION = Position(MAX_ERA << _OFFSET_BITS | _OFFSET_MASK)


def position_of(era: Era, offset: ids.Offset) -> Position:
    """Return the position of an offset.

    :raises ValueError: if either is out of range.
    """
    if not (0 <= era <= MAX_ERA and 0 <= offset <= _OFFSET_MASK):
        raise ValueError(
            f"store position out of range: era {era}, offset {offset}"
        )
    return Position(era << _OFFSET_BITS | offset)


def position_before(end: Position) -> Position:
    """Return the position before ``end``, within the same era.

    :returns: ``end`` itself if its offset is 0.
    """
    return Position(end - 1) if end & _OFFSET_MASK else end


def era(position: Position) -> Era:
    """Return the era of a position."""
    return Era(position >> _OFFSET_BITS)


def offset(position: Position) -> ids.Offset:
    """Return the offset of a position within its era."""
    return ids.Offset(position & _OFFSET_MASK)


__all__ = [
    "MAX_ERA",
    "MAX_POSITION",
    "START",
    "Era",
    "Position",
    "era",
    "offset",
    "position_before",
    "position_of",
]
