# SPDX-License-Identifier: Apache-2.0
"""Which hosts are there, and which to keep links to."""

from lugcross.membership.backend_subset import subset
from lugcross.membership.duty_holders import decode as decode_duty
from lugcross.membership.duty_holders import Duties
from lugcross.membership.duty_holders import DutyClaim
from lugcross.membership.duty_holders import DutyName
from lugcross.membership.duty_holders import encode as encode_duty
from lugcross.membership.duty_holders import Fence
from lugcross.membership.duty_holders import FenceGuard
from lugcross.membership.duty_holders import Holding
from lugcross.membership.host_list_watcher import HostWatch
from lugcross.membership.host_list_watcher import leaving_names
from lugcross.membership.log_relays import Neighbours
from lugcross.membership.log_relays import RELAYS

__all__ = [
    "RELAYS",
    "HostWatch",
    "Neighbours",
    "leaving_names",
    "subset",
    "Duties",
    "DutyClaim",
    "DutyName",
    "Fence",
    "FenceGuard",
    "Holding",
    "decode_duty",
    "encode_duty",
]
