# SPDX-License-Identifier: Apache-2.0
"""Orders that ranks take about expert maps, and the reports that they give."""

import dataclasses
import enum
from typing import final
from typing import NewType

from lugcross.experts import expert_map
from lugcross.experts import lease

#: Number of a rank within its group, from 0.
Rank = NewType("Rank", int)
#: Number of a pass. All ranks of a group make each pass together.
PassNumber = NewType("PassNumber", int)
#: Version of an expert map. A rank starts with version 0, and its version only
#: rises within an epoch.
MapVersion = NewType("MapVersion", int)
#: Number that rises each time a group forms anew. The group begins each epoch
#: with the initial map.
Epoch = NewType("Epoch", int)


@final
@dataclasses.dataclass(frozen=True)
class Prepare:
    """Order to copy the experts that a map needs.

    The map replaces any that was prepared before.
    """

    version: MapVersion
    map: expert_map.ExpertMap


@final
@dataclasses.dataclass(frozen=True)
class Arm:
    """Order to start using the prepared map at the beginning of a pass."""

    version: MapVersion
    pass_number: PassNumber


@final
@dataclasses.dataclass(frozen=True)
class Disarm:
    """Order to cancel an :class:`Arm` order."""

    version: MapVersion


@final
@dataclasses.dataclass(frozen=True)
class Hold:
    """Order not to begin a pass until :class:`Release` is given.

    A hold has no timeout.
    """

    pass_number: PassNumber


@final
@dataclasses.dataclass(frozen=True)
class Release:
    """Order to let a held pass begin."""

    pass_number: PassNumber


Order = Prepare | Arm | Disarm | Hold | Release


class OrderResult(enum.Enum):
    """The result of an order, as far as its sender knows.

    ``UNKNOWN``: no answer came. The rank may have carried out the order, or
    may still do so seconds later. ``FENCED``: the rank refused the order
    because it has seen a higher lease generation.
    """

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    FENCED = "fenced"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class RankReport:
    """The state that a rank reports; it may be some hundred ms old.

    :param group: name of the group.
    :param rank_count: number of ranks in the group.
    :param is_open: whether the group takes requests.
    :param last_pass: the pass that began last.
    :param version_in_use: version of the map in use.
    :param prepared_version: version that is ready to be armed; None while the
        rank is still copying.
    :param armed_order: the order by which the rank is armed, if it is.
    :param held_pass: the pass that this rank holds, if any.
    :param slowness: factor by which the rank's part of a pass takes longer
        than usual.
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
        """Highest of the versions in use, prepared and armed."""
        armed = self.armed_order.version if self.armed_order else MapVersion(0)
        return max(
            self.version_in_use, self.prepared_version or MapVersion(0), armed
        )


#: Low bits of a version, which hold the number of the allocating process.
_PROCESS_NUMBER_BIT_COUNT = 16
#: Pass numbers are divided into this many residue classes. A process holds
#: only passes of one class, selected by its number, so that two processes
#: rarely hold, and therefore release, the same pass.
_RESIDUE_CLASS_COUNT = 4
#: The same where orders carry a lease generation, which then selects the
#: residue class. Two classes are enough: consecutive lease holders never hold
#: the same pass, and engines refuse orders of any earlier lease holder.
_RESIDUE_CLASS_COUNT_WITH_LEASE = 2


@final
class SwitchNumberAllocator:
    """Allocates the versions and the passes to hold for map switches.

    Processes with different numbers get different versions and, mostly,
    different passes.

    :param process_number: random number, drawn anew at each process start;
        only its low 16 bits are used.
    """

    def __init__(self, process_number: int) -> None:
        self._process_number = process_number & (
            (1 << _PROCESS_NUMBER_BIT_COUNT) - 1
        )
        self._last_version = MapVersion(0)
        self._residue_class_count = _RESIDUE_CLASS_COUNT
        self._residue_class = self._process_number

    def use_generation(self, generation: lease.Generation) -> None:
        """Choose passes by this lease generation from now on."""
        self._residue_class_count = _RESIDUE_CLASS_COUNT_WITH_LEASE
        self._residue_class = generation

    def next_version(self, highest_version: MapVersion) -> MapVersion:
        """Return a new version above ``highest_version``.

        A version must never stand for two maps. It is therefore also above
        all versions that this allocator has returned before, which
        ``highest_version`` may not include if it comes from an old report.
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
        """Return the first pass after ``last_pass`` in the residue class.

        A process may hold only passes of its residue class.
        """
        ahead = (
            self._residue_class - last_pass - 1
        ) % self._residue_class_count
        return PassNumber(last_pass + 1 + ahead)
