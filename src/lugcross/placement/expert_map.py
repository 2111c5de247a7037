# SPDX-License-Identifier: Apache-2.0
"""Expert maps of a group of ranks, and how evenly they share load."""

import dataclasses
from typing import final

import msgspec
import numpy as np
import numpy.typing as npt

#: Load of each expert in each layer, in tokens; shape (layers, experts).
ExpertLoads = npt.NDArray[np.float64]
#: Expert in each slot of each layer; shape (layers, ranks * slots). The
#: slots of a rank lie side by side.
Slots = npt.NDArray[np.int32]


@final
class PlannerCfg(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits of one model group, and what its operator cares for.

    :param slots: expert replicas that a rank holds in each layer.
    :param expert_bytes: weights of one expert in one layer.
    :param transfer_bytes_s: what all ranks may load together.
    :param skew_weight: 0 for the fewest moves, 1 for the least skew.
    :param window_s: time between two plans, in seconds.
    :param surge: moves are held back while it is declared.
    """

    ranks: int
    ranks_a_host: int
    slots: int
    expert_bytes: int
    transfer_bytes_s: float
    skew_weight: float = 0.5
    window_s: float = 60.0
    surge: bool = False

    def __post_init__(self) -> None:
        counts = (self.ranks, self.ranks_a_host, self.slots)
        if min(counts) < 1:
            raise ValueError("ranks, ranks_a_host and slots must be over 0")
        if self.expert_bytes < 1 or self.transfer_bytes_s <= 0:
            raise ValueError(
                "expert_bytes and transfer_bytes_s must be over 0"
            )
        if not 0 <= self.skew_weight <= 1:
            raise ValueError("skew_weight must be 0 to 1")

    @property
    def max_moves_per_window(self) -> int:
        """Expert replicas that can be loaded within one window."""
        whole = self.transfer_bytes_s * self.window_s
        return int(whole // self.expert_bytes)


@final
@dataclasses.dataclass(frozen=True)
class Move:
    """One replica to load: into which slot of which layer."""

    layer: int
    slot: int
    expert: int


def initial_map(layers: int, experts: int, cfg: PlannerCfg) -> Slots:
    """Return a map that spreads experts evenly, blind to load.

    :raises ValueError: when not every expert finds a slot.
    """
    slot_count = cfg.ranks * cfg.slots
    if slot_count < experts:
        raise ValueError(
            f"{experts} experts do not fit into {slot_count} slots; add ranks "
            "or slots"
        )
    # Dealt out rank by rank, so that replicas lie on different ranks.
    order = np.arange(slot_count).reshape(cfg.slots, cfg.ranks).T.reshape(-1)
    row = (order % experts).astype(np.int32)
    return np.tile(row, (layers, 1))


def rank_loads(
    loads: ExpertLoads, slots: Slots, cfg: PlannerCfg
) -> ExpertLoads:
    """Return the load of each rank in each layer; (layers, ranks).

    An expert's load is split evenly over its replicas.
    """
    layers, experts = loads.shape
    base = np.arange(layers)[:, None] * experts
    counts = np.bincount((slots + base).ravel(), minlength=loads.size)
    share = loads / np.maximum(counts.reshape(loads.shape), 1)
    loads_of_slots = np.take_along_axis(share, slots.astype(np.int64), axis=1)
    rank_totals: ExpertLoads = loads_of_slots.reshape(
        layers, cfg.ranks, cfg.slots
    ).sum(axis=2)
    return rank_totals


def skew(loads: ExpertLoads, slots: Slots, cfg: PlannerCfg) -> float:
    """Return max over mean of rank load, averaged over the layers.

    A step waits in each layer for its slowest rank.
    """
    loads_of_ranks = rank_loads(loads, slots, cfg)
    mean = loads_of_ranks.mean(axis=1)
    has_load = mean > 0
    if not has_load.any():
        return 1.0
    return float(
        (loads_of_ranks.max(axis=1)[has_load] / mean[has_load]).mean()
    )
