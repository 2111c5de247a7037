# SPDX-License-Identifier: Apache-2.0
"""Where a request goes, and whether it may go again."""

from lugcross.routing.backend_choice import BackendChoice
from lugcross.routing.backend_choice import Candidate
from lugcross.routing.backend_choice import choose_backend
from lugcross.routing.health import BackendHealth
from lugcross.routing.key_affinity import homes
from lugcross.routing.rendezvous_hashing import first
from lugcross.routing.rendezvous_hashing import rank
from lugcross.routing.retry_budget import RetryBudget
from lugcross.routing.windowed_retry_budget import RepeatBudget

__all__ = [
    "Candidate",
    "BackendChoice",
    "BackendHealth",
    "RepeatBudget",
    "RetryBudget",
    "choose_backend",
    "first",
    "homes",
    "rank",
]
