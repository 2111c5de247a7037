# SPDX-License-Identifier: Apache-2.0
"""Places in the platform's store, which may come back from an older copy.

Each time it does, a new era begins: what was written since the copy is gone,
and its offsets are given out again. A position is an offset with its era, so
that two compare as what they stand for: any place of a later era is past all
places of the eras before it, whatever their offsets.
"""

from typing import NewType

from lugcross import ids

#: Number of an era of the store; 0 where the store does not tell it.
Era = NewType("Era", int)
#: Era and offset as one number, which is what processes tell each other.
Position = NewType("Position", int)

#: Bits of an offset: at the store's full rate of 1,200 records a second they
#: last for 29 years.
_OFFSET_BITS = 40
_OFFSET_MASK = (1 << _OFFSET_BITS) - 1
#: Most eras that are told apart; one a minute for two years.
MAX_ERA = (1 << 20) - 1
#: The first place of all.
START = Position(0)


def position_of(era: Era, offset: ids.Offset) -> Position:
    """Return the position of an offset.

    :raises ValueError: when one of them is out of range.
    """
    if not (0 <= era <= MAX_ERA and 0 <= offset <= _OFFSET_MASK):
        raise ValueError(f"no place in the store: era {era}, offset {offset}")
    return Position(era << _OFFSET_BITS | offset)


def position_before(end: Position) -> Position:
    """Return the last place before an end, or the end where it is the first.

    A place of an earlier era would not tell of this one.
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
    "START",
    "Era",
    "Position",
    "era",
    "offset",
    "position_before",
    "position_of",
]
