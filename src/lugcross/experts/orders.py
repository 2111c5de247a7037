# SPDX-License-Identifier: Apache-2.0
"""What a rank can be told about expert maps, and what it says to that."""

import dataclasses
import enum
from typing import final
from typing import NewType

from lugcross.experts import expert_map
from lugcross.experts import lease

#: Number of a rank within its group, from 0.
Rank = NewType("Rank", int)
#: Number of a pass; all ranks of a group make it together.
PassNumber = NewType("PassNumber", int)
#: Version of an expert map; rises at each rank, 0 is what it starts with.
MapVersion = NewType("MapVersion", int)
#: Life of a group; a new one starts from the first map.
Epoch = NewType("Epoch", int)


@final
@dataclasses.dataclass(frozen=True)
class Prepare:
    """Copy what a map needs; takes the place of any map prepared before."""

    version: MapVersion
    map: expert_map.ExpertMap


@final
@dataclasses.dataclass(frozen=True)
class Arm:
    """Take up the prepared map as one pass begins."""

    version: MapVersion
    pass_number: PassNumber


@final
@dataclasses.dataclass(frozen=True)
class Disarm:
    """Do not take up a map after all."""

    version: MapVersion


@final
@dataclasses.dataclass(frozen=True)
class Hold:
    """Do not begin a pass until it is released; stands until then."""

    pass_number: PassNumber


@final
@dataclasses.dataclass(frozen=True)
class Release:
    """Let a pass that is held begin."""

    pass_number: PassNumber


Order = Prepare | Arm | Disarm | Hold | Release


class OrderResult(enum.Enum):
    """What became of an order.

    An ``UNKNOWN`` one may have been carried out, or may be seconds later.
    One is ``FENCED`` where the rank has had orders of a later holder.
    """

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    FENCED = "fenced"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class RankReport:
    """State of one rank, some hundred milliseconds ago.

    :param last_pass: pass that began last.
    :param version_in_use: version of the map in use.
    :param prepared_version: version that could be armed; none while it is
        copied.
    :param armed_order: version and pass at which it will be taken up.
    :param held_pass: pass that this rank keeps from beginning.
    :param slowness: how many times longer than usual it takes.
    :param is_open: whether the group takes requests.
    """

    group: str
    rank_count: int
    rank: Rank
    epoch: Epoch
    is_open: bool
    request_count: int
    last_pass: PassNumber
    version_in_use: MapVersion
    prepared_version: MapVersion | None
    armed_order: Arm | None
    held_pass: PassNumber | None
    slowness: float = 1.0

    @property
    def highest_version(self) -> MapVersion:
        """Highest version that the rank tells of."""
        armed = self.armed_order.version if self.armed_order else MapVersion(0)
        return max(
            self.version_in_use, self.prepared_version or MapVersion(0), armed
        )


#: Low bits of a version, which tell whose it is.
_PROCESS_NUMBER_BIT_COUNT = 16
#: Processes hold passes of this many classes, by their number, so that one
#: rarely holds, and so never releases, the pass that another holds.
_PASS_CLASS_COUNT = 4
#: The same where leases are numbered: two holders in a row never hold the
#: same pass, and what the one before them sends is refused.
_PASS_CLASS_COUNT_WITH_LEASE = 2


@final
class SwitchNumberAllocator:
    """Chooses versions and passes so that no other process chooses them.

    :param process_number: drawn at random at each start of a process.
    """

    def __init__(self, process_number: int) -> None:
        self._process_number = process_number & (
            (1 << _PROCESS_NUMBER_BIT_COUNT) - 1
        )
        self._last_version = MapVersion(0)
        self._pass_class_count = _PASS_CLASS_COUNT
        self._pass_class = self._process_number

    def use_generation(self, generation: lease.Generation) -> None:
        """Choose passes by the number of a lease from now on."""
        self._pass_class_count = _PASS_CLASS_COUNT_WITH_LEASE
        self._pass_class = generation

    def next_version(self, highest_version: MapVersion) -> MapVersion:
        """Return a version above ``highest_version``, never chosen before.

        A version stands for one map: what a report tells may be older than
        what this process has chosen itself.
        """
        high = (
            max(highest_version, self._last_version)
            >> _PROCESS_NUMBER_BIT_COUNT
        ) + 1
        self._last_version = MapVersion(
            high << _PROCESS_NUMBER_BIT_COUNT | self._process_number
        )
        return self._last_version

    def next_pass_to_hold(self, last_pass: PassNumber) -> PassNumber:
        """Return the next pass past ``last_pass`` that this process holds."""
        ahead = (self._pass_class - last_pass - 1) % self._pass_class_count
        return PassNumber(last_pass + 1 + ahead)
