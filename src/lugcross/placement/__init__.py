# SPDX-License-Identifier: Apache-2.0
"""Plans which expert replicas the ranks of a model group hold."""

from lugcross.placement.expert_map import ExpertLoads
from lugcross.placement.expert_map import initial_map
from lugcross.placement.expert_map import Move
from lugcross.placement.expert_map import PlannerCfg
from lugcross.placement.expert_map import rank_loads
from lugcross.placement.expert_map import skew
from lugcross.placement.expert_map import Slots
from lugcross.placement.forecast import Forecaster
from lugcross.placement.planner import Decision
from lugcross.placement.planner import moves_between
from lugcross.placement.planner import Plan
from lugcross.placement.planner import plan

__all__ = [
    "Decision",
    "ExpertLoads",
    "Forecaster",
    "Move",
    "Plan",
    "PlannerCfg",
    "Slots",
    "initial_map",
    "moves_between",
    "plan",
    "rank_loads",
    "skew",
]
