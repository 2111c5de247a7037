# SPDX-License-Identifier: Apache-2.0
"""Request rates of backend servers that all processes share."""

from lugcross.rate_limits.cold_capacity import ClosedCapacity
from lugcross.rate_limits.cold_capacity import ColdCapacity
from lugcross.rate_limits.cold_recorder import ColdRecorder
from lugcross.rate_limits.cold_servers import ColdReport
from lugcross.rate_limits.cold_servers import ColdSource
from lugcross.rate_limits.limit_reports import apply_cold_messages
from lugcross.rate_limits.limit_reports import apply_limit_messages
from lugcross.rate_limits.limit_reports import ColdServerMessage
from lugcross.rate_limits.limit_reports import MAX_COLD_MESSAGES
from lugcross.rate_limits.limit_reports import own_cold_messages
from lugcross.rate_limits.limit_reports import own_limit_messages
from lugcross.rate_limits.limit_reports import ServerLimitMessage
from lugcross.rate_limits.server_limits import LimitReport
from lugcross.rate_limits.server_limits import ServerLimits

__all__ = [
    "MAX_COLD_MESSAGES",
    "ClosedCapacity",
    "ColdCapacity",
    "ColdRecorder",
    "ColdReport",
    "ColdServerMessage",
    "ColdSource",
    "LimitReport",
    "ServerLimitMessage",
    "ServerLimits",
    "apply_cold_messages",
    "apply_limit_messages",
    "own_cold_messages",
    "own_limit_messages",
]
