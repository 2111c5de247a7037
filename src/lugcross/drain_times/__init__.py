# SPDX-License-Identifier: Apache-2.0
"""When the store confirmed that a backend server leaves; no I/O."""

from lugcross.drain_times.confirmation import Confirmation
from lugcross.drain_times.confirmation import max_record_age
from lugcross.drain_times.confirmation import relayed_confirmation
from lugcross.drain_times.confirmation import UNKNOWN_AGE

__all__ = [
    "UNKNOWN_AGE",
    "Confirmation",
    "max_record_age",
    "relayed_confirmation",
]
