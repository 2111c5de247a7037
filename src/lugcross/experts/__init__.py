# SPDX-License-Identifier: Apache-2.0
"""Expert maps of rank groups: measuring demand, planning, switching.

An expert map says which experts each rank of a group holds. Nothing in this
package does I/O.
"""

from lugcross.experts.demand import counts_by_set
from lugcross.experts.demand import ExpertCounts
from lugcross.experts.demand import uses_between
from lugcross.experts.election import Candidate
from lugcross.experts.election import elect_leader
from lugcross.experts.expert_map import Demand
from lugcross.experts.expert_map import ExpertLimits
from lugcross.experts.expert_map import ExpertMap
from lugcross.experts.expert_map import ExpertsBySet
from lugcross.experts.expert_map import load_skew
from lugcross.experts.expert_map import pass_time_saving
from lugcross.experts.expert_map import rank_loads
from lugcross.experts.expert_map import relative_pass_time
from lugcross.experts.expert_map import round_robin_map
from lugcross.experts.lease import Generation
from lugcross.experts.lease import Lease
from lugcross.experts.lease import LeaseAction
from lugcross.experts.lease import LeaseRecord
from lugcross.experts.orders import Arm
from lugcross.experts.orders import Disarm
from lugcross.experts.orders import Epoch
from lugcross.experts.orders import Hold
from lugcross.experts.orders import MapVersion
from lugcross.experts.orders import Order
from lugcross.experts.orders import OrderResult
from lugcross.experts.orders import PassNumber
from lugcross.experts.orders import Prepare
from lugcross.experts.orders import Rank
from lugcross.experts.orders import RankReport
from lugcross.experts.orders import Release
from lugcross.experts.orders import SwitchNumberAllocator
from lugcross.experts.planner import MapPlan
from lugcross.experts.planner import plan_in_steps
from lugcross.experts.planner import plan_map
from lugcross.experts.switch import SwitchOutcome
from lugcross.experts.switch import SwitchPhase
from lugcross.experts.switch import SwitchStateMachine
from lugcross.experts.switch_backoff import SwitchBackoff

__all__ = [
    "Arm",
    "Candidate",
    "Demand",
    "Disarm",
    "Epoch",
    "ExpertCounts",
    "ExpertLimits",
    "ExpertMap",
    "ExpertsBySet",
    "Generation",
    "Hold",
    "Lease",
    "LeaseAction",
    "LeaseRecord",
    "MapPlan",
    "MapVersion",
    "Order",
    "OrderResult",
    "PassNumber",
    "Prepare",
    "Rank",
    "RankReport",
    "Release",
    "SwitchBackoff",
    "SwitchNumberAllocator",
    "SwitchOutcome",
    "SwitchPhase",
    "SwitchStateMachine",
    "counts_by_set",
    "elect_leader",
    "load_skew",
    "pass_time_saving",
    "plan_in_steps",
    "plan_map",
    "rank_loads",
    "relative_pass_time",
    "round_robin_map",
    "uses_between",
]
