# SPDX-License-Identifier: Apache-2.0
"""Duties with one holder, by claims in the log that are never renewed.

The newest claim of a duty in the log's order holds it, and its offset is
the fencing token. A holder that was paused and wakes up carries an old token,
which everything that it gives orders to refuses. Claims cost an append
only when a holder is lost, where a renewed lease would cost one for each
duty every few seconds.
"""

from collections.abc import Collection
import dataclasses
from typing import final
from typing import NewType

import msgspec

from lugcross import errors
from lugcross import ids
from lugcross import record_codec
from lugcross import routing

#: Name of the stream that carries claims of duties.
CLAIM_STREAM = "duties"

#: Name of a duty, such as the placement of one model group.
DutyName = NewType("DutyName", str)
#: Offset of the claim by which a duty is held; grows with each holder.
FencingToken = NewType("FencingToken", int)


@final
class DutyClaim(msgspec.Struct, frozen=True, array_like=True):
    """One node takes a duty.

    :param previous_token: fencing token that the node saw; a claim on top of a
        newer one has no effect, so that of two at once the first holds it.
    """

    duty: DutyName
    node: ids.NodeName
    incarnation: ids.Incarnation
    previous_token: FencingToken


@final
@dataclasses.dataclass(frozen=True)
class DutyHolder:
    """Who holds a duty, and since which offset."""

    node: ids.NodeName
    incarnation: ids.Incarnation
    token: FencingToken


def encode_duty_claim(claim: DutyClaim) -> bytes:
    """Return the record that carries ``claim``."""
    return record_codec.encode(claim)


def decode_duty_claim(data: bytes) -> DutyClaim:
    """Return the claim that a record carries.

    :raises errors.ChangeError: when it is malformed.
    """
    return record_codec.decode(data, DutyClaim)


@final
class DutyHolders:
    """Who holds which duty, from the records of the stream in order."""

    def __init__(self) -> None:
        self._held: dict[DutyName, DutyHolder] = {}
        self.offset = ids.Offset(0)

    def apply(self, offset: ids.Offset, data: bytes) -> None:
        """Take one record; those read before change nothing.

        :raises errors.ReplayGapError: when records before are missing.
        """
        if offset <= self.offset:
            return
        if offset != self.offset + 1:
            raise errors.ReplayGapError(
                f"claims of duties {offset} follow {self.offset}",
                remedy="begin at the oldest record that is kept",
            )
        self.offset = offset
        try:
            claim = decode_duty_claim(data)
        except errors.ChangeError:
            return
        held = self._held.get(claim.duty)
        if claim.previous_token != (held.token if held else 0):
            return
        self._held[claim.duty] = DutyHolder(
            claim.node, claim.incarnation, FencingToken(offset)
        )

    def holder(self, duty: DutyName) -> DutyHolder | None:
        """Return who holds a duty, if anybody does."""
        return self._held.get(duty)

    def next_claim(
        self,
        duty: DutyName,
        node: ids.NodeName,
        incarnation: ids.Incarnation,
        live: Collection[ids.NodeName],
    ) -> DutyClaim | None:
        """Return the claim that ``node`` should append now, if any.

        A duty whose holder is there stays where it is. One whose holder
        is gone is taken by the first of the live nodes by hash, so that
        seldom two append at once.

        :param live: nodes that are seen, ``node`` among them.
        """
        held = self._held.get(duty)
        if held is not None and self._still_holds(
            held, node, incarnation, live
        ):
            return None
        if routing.rendezvous_first(f"duty\0{duty}", live) != node:
            return None
        previous_token = held.token if held else FencingToken(0)
        return DutyClaim(duty, node, incarnation, previous_token)

    def _still_holds(
        self,
        held: DutyHolder,
        node: ids.NodeName,
        incarnation: ids.Incarnation,
        live: Collection[ids.NodeName],
    ) -> bool:
        if held.node == node:
            # An earlier life of this node held it, and forgot all.
            return held.incarnation == incarnation
        return held.node in live


@final
class FencingTokenGuard:
    """Refuses orders of holders that were superseded.

    An agent keeps one for an engine that does not check tokens itself.

    :param minimum: token below which nothing is taken. An agent that was
        restarted remembers none, and takes its minimum from the log.
    """

    def __init__(self, minimum: FencingToken = FencingToken(0)) -> None:
        self._highest = minimum

    def admit(self, token: FencingToken) -> bool:
        """Tell whether an order with ``token`` may be carried out."""
        if token < self._highest:
            return False
        self._highest = token
        return True
