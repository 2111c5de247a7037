# SPDX-License-Identifier: Apache-2.0
"""Expert maps of a model group, and the rank loads that they cause."""

import dataclasses
from typing import final

import msgspec
import numpy as np
import numpy.typing as npt

#: Load of each expert in each layer, in tokens; shape (layers, experts).
ExpertLoads = npt.NDArray[np.float64]
#: An expert map: the expert in each slot of each layer. The shape is
#: (layers, ranks * slots); slots of one rank are adjacent.
Slots = npt.NDArray[np.int32]


@final
class PlannerCfg(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Size and limits of a model group, and its planning preferences.

    :param ranks_a_host: ranks on each host.
    :param slots: expert replicas that a rank holds in each layer.
    :param expert_bytes: size of the weights of one expert in one layer.
    :param transfer_bytes_s: limit for the weights that all ranks
        together may load, in bytes per second.
    :param skew_weight: from 0, which never moves experts, to 1, which
        reduces skew regardless of the transfer cost.
    :param window_s: time between two plans, in seconds.
    :param surge: set by the operator during a surge of load; no experts
        are moved while it is set.
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
            raise ValueError(
                "ranks, ranks_a_host and slots must be at least 1"
            )
        if self.expert_bytes < 1 or self.transfer_bytes_s <= 0:
            raise ValueError(
                "expert_bytes and transfer_bytes_s must be greater than 0"
            )
        if not 0 <= self.skew_weight <= 1:
            raise ValueError("skew_weight must be between 0 and 1")

    @property
    def max_moves_per_window(self) -> int:
        """Number of expert replicas that can be loaded in one window."""
        window_bytes = self.transfer_bytes_s * self.window_s
        return int(window_bytes // self.expert_bytes)


@final
@dataclasses.dataclass(frozen=True)
class Move:
    """A load of one expert replica into a slot of a layer.

    :param slot: index in the layer's row of the expert map.
    """

    layer: int
    slot: int
    expert: int


def initial_map(layers: int, experts: int, cfg: PlannerCfg) -> Slots:
    """Return a map with equally many replicas of each expert, plus or minus 1.

    It does not depend on the load of the experts.

    :raises ValueError: if there are fewer slots than experts.
    """
    slot_count = cfg.ranks * cfg.slots
    if slot_count < experts:
        raise ValueError(
            f"{experts} experts do not fit into {slot_count} slots; add ranks "
            "or slots"
        )
    # Experts are assigned round-robin over the ranks, so that replicas of
    # one expert are on different ranks where possible.
    order = np.arange(slot_count).reshape(cfg.slots, cfg.ranks).T.reshape(-1)
    row = (order % experts).astype(np.int32)
    return np.tile(row, (layers, 1))


def rank_loads(
    loads: ExpertLoads, slots: Slots, cfg: PlannerCfg
) -> ExpertLoads:
    """Return the load of each rank in each layer; (layers, ranks).

    The load of an expert is split evenly over its replicas.
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
    """Return maximum over mean rank load, averaged over loaded layers.

    In each layer an engine step waits for the most loaded rank. The
    result is 1 if the load is even, or if there is none.
    """
    loads_of_ranks = rank_loads(loads, slots, cfg)
    mean = loads_of_ranks.mean(axis=1)
    has_load = mean > 0
    if not has_load.any():
        return 1.0
    return float(
        (loads_of_ranks.max(axis=1)[has_load] / mean[has_load]).mean()
    )
