# SPDX-License-Identifier: Apache-2.0
"""Which requests go first when there isn't room for all."""

from lugcross.urgency.ordering import count_more_urgent
from lugcross.urgency.ordering import request_priority
from lugcross.urgency.ordering import Urgency
from lugcross.urgency.overload_shares import OverloadShares

__all__ = [
    "OverloadShares",
    "Urgency",
    "count_more_urgent",
    "request_priority",
]
