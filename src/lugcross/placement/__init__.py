# SPDX-License-Identifier: Apache-2.0
"""Expert placement: when to move which experts between ranks."""

from lugcross.placement.forecast import Forecaster
from lugcross.placement.model import first_map
from lugcross.placement.model import Loads
from lugcross.placement.model import Move
from lugcross.placement.model import PlannerCfg
from lugcross.placement.model import rank_loads
from lugcross.placement.model import skew
from lugcross.placement.model import Slots
from lugcross.placement.planner import Choice
from lugcross.placement.planner import moves_between
from lugcross.placement.planner import Plan
from lugcross.placement.planner import plan

__all__ = [
    "Choice",
    "Forecaster",
    "Loads",
    "Move",
    "Plan",
    "PlannerCfg",
    "Slots",
    "first_map",
    "moves_between",
    "plan",
    "rank_loads",
    "skew",
]
