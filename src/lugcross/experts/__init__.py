# SPDX-License-Identifier: Apache-2.0
"""Expert maps of running groups: see demand, plan, switch all ranks."""

from lugcross.experts.demand import between
from lugcross.experts.demand import Counts
from lugcross.experts.demand import shaped
from lugcross.experts.election import Claim
from lugcross.experts.election import holder
from lugcross.experts.lease import Generation
from lugcross.experts.lease import Lease
from lugcross.experts.lease import Move
from lugcross.experts.lease import Record
from lugcross.experts.model import dealt_out
from lugcross.experts.model import Demand
from lugcross.experts.model import ExpertMap
from lugcross.experts.model import Limits
from lugcross.experts.model import pass_time
from lugcross.experts.model import rank_loads
from lugcross.experts.model import RankExperts
from lugcross.experts.model import saving
from lugcross.experts.model import skew
from lugcross.experts.orders import Arm
from lugcross.experts.orders import Disarm
from lugcross.experts.orders import Epoch
from lugcross.experts.orders import Hold
from lugcross.experts.orders import MapVersion
from lugcross.experts.orders import Order
from lugcross.experts.orders import Owner
from lugcross.experts.orders import Prepare
from lugcross.experts.orders import Rank
from lugcross.experts.orders import Release
from lugcross.experts.orders import Report
from lugcross.experts.orders import Step
from lugcross.experts.orders import Verdict
from lugcross.experts.planner import plan
from lugcross.experts.planner import Plan
from lugcross.experts.planner import steps
from lugcross.experts.switch import Outcome
from lugcross.experts.switch import Phase
from lugcross.experts.switch import Switch
from lugcross.experts.switch_backoff import Restraint

__all__ = [
    "Arm",
    "Claim",
    "Counts",
    "Demand",
    "Disarm",
    "Epoch",
    "ExpertMap",
    "Generation",
    "Hold",
    "Lease",
    "Limits",
    "MapVersion",
    "Move",
    "Order",
    "Outcome",
    "Owner",
    "Phase",
    "Plan",
    "Prepare",
    "Rank",
    "RankExperts",
    "Record",
    "Release",
    "Report",
    "Restraint",
    "Step",
    "Switch",
    "Verdict",
    "between",
    "dealt_out",
    "holder",
    "pass_time",
    "plan",
    "rank_loads",
    "saving",
    "shaped",
    "skew",
    "steps",
]
