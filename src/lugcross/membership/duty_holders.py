# SPDX-License-Identifier: Apache-2.0
"""Leader election per duty, by claims in the log that are not renewed.

A duty is a task that exactly one node should perform. The latest valid claim
in the log determines its holder, and the offset of that claim is the fencing
token. A holder that resumes after a pause still uses its old token, which the
receivers of its orders reject. A claim is appended only when a holder is
lost, whereas leases would need an append per duty every few seconds.
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

#: Name of the log stream of claims.
CLAIM_STREAM = "duties"

#: Name of a duty, such as the placement of one model group.
DutyName = NewType("DutyName", str)
#: Offset of the claim that made a node the holder; increases with each holder.
FencingToken = NewType("FencingToken", int)


@final
class DutyClaim(msgspec.Struct, frozen=True, array_like=True):
    """Claim of a duty by a node.

    :param previous_token: token of the holder that the node saw, 0 if there
        was none. The claim is void if the holder has changed since, so the
        first of two concurrent claims wins.
    """

    duty: DutyName
    node: ids.NodeName
    incarnation: ids.Incarnation
    previous_token: FencingToken


@final
@dataclasses.dataclass(frozen=True)
class DutyHolder:
    """The node that holds a duty, with its fencing token."""

    node: ids.NodeName
    incarnation: ids.Incarnation
    token: FencingToken


def encode_duty_claim(claim: DutyClaim) -> bytes:
    """Return the log record of ``claim``."""
    return record_codec.encode(claim)


def decode_duty_claim(data: bytes) -> DutyClaim:
    """Return the claim in a log record.

    :raises errors.ChangeError: if the record is malformed.
    """
    return record_codec.decode(data, DutyClaim)


@final
class DutyHolders:
    """Holders of all duties, built by replaying the stream of claims.

    :ivar offset: offset of the last record applied.
    """

    def __init__(self) -> None:
        self._held: dict[DutyName, DutyHolder] = {}
        self.offset = ids.Offset(0)

    def apply(self, offset: ids.Offset, data: bytes) -> None:
        """Apply one record; records already applied are ignored.

        :raises errors.ReplayGapError: if records before it are missing.
        """
        if offset <= self.offset:
            return
        if offset != self.offset + 1:
            raise errors.ReplayGapError(
                f"duty claims missing between offsets {self.offset} and"
                f" {offset}",
                remedy="replay from the oldest record kept",
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
        """Return the holder of a duty, or None."""
        return self._held.get(duty)

    def next_claim(
        self,
        duty: DutyName,
        node: ids.NodeName,
        incarnation: ids.Incarnation,
        live: Collection[ids.NodeName],
    ) -> DutyClaim | None:
        """Return the claim that ``node`` should append now, if any.

        A duty stays with its holder while that is alive. Otherwise the live
        node that comes first by rendezvous hash claims it, so that two nodes
        rarely append claims at the same time.

        :param live: nodes seen alive, including ``node``.
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
            # After a restart the node no longer knows that it was the holder.
            return held.incarnation == incarnation
        return held.node in live


@final
class FencingTokenGuard:
    """Rejects orders from holders that have been superseded.

    An agent uses one for an engine that does not check tokens itself.

    :param minimum: lowest token to accept. An agent that was restarted takes
        it from the log.
    """

    def __init__(self, minimum: FencingToken = FencingToken(0)) -> None:
        self._highest = minimum

    def admit(self, token: FencingToken) -> bool:
        """Return whether to execute an order with ``token``."""
        if token < self._highest:
            return False
        self._highest = token
        return True
