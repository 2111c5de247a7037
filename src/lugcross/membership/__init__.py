# SPDX-License-Identifier: Apache-2.0
"""Which hosts are there, and which to keep links to."""

from lugcross.membership.duties import decode as decode_duty
from lugcross.membership.duties import Duties
from lugcross.membership.duties import DutyClaim
from lugcross.membership.duties import DutyName
from lugcross.membership.duties import encode as encode_duty
from lugcross.membership.duties import Fence
from lugcross.membership.duties import FenceGuard
from lugcross.membership.duties import Holding
from lugcross.membership.hosts import HostWatch
from lugcross.membership.hosts import leaving_names
from lugcross.membership.relays import Neighbours
from lugcross.membership.relays import RELAYS
from lugcross.membership.subset import subset

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
