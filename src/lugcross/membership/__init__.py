# SPDX-License-Identifier: Apache-2.0
"""Live hosts, links between hosts, and tasks held by a single host."""

from lugcross.membership.backend_subset import choose_backend_subset
from lugcross.membership.duty_holders import decode_duty_claim
from lugcross.membership.duty_holders import DutyClaim
from lugcross.membership.duty_holders import DutyHolder
from lugcross.membership.duty_holders import DutyHolders
from lugcross.membership.duty_holders import DutyName
from lugcross.membership.duty_holders import encode_duty_claim
from lugcross.membership.duty_holders import FencingToken
from lugcross.membership.duty_holders import FencingTokenGuard
from lugcross.membership.host_list_watcher import HostListWatcher
from lugcross.membership.host_list_watcher import leaving_node_names
from lugcross.membership.log_relays import LiveEntryHosts
from lugcross.membership.log_relays import RELAYS_PER_DOMAIN

__all__ = [
    "RELAYS_PER_DOMAIN",
    "HostListWatcher",
    "LiveEntryHosts",
    "leaving_node_names",
    "choose_backend_subset",
    "DutyHolders",
    "DutyClaim",
    "DutyName",
    "FencingToken",
    "FencingTokenGuard",
    "DutyHolder",
    "decode_duty_claim",
    "encode_duty_claim",
]
