# SPDX-License-Identifier: Apache-2.0
"""Where a request goes, and whether it may go again."""

from lugcross.routing.backend_choice import Candidate
from lugcross.routing.backend_choice import Choice
from lugcross.routing.backend_choice import choose
from lugcross.routing.health import Health
from lugcross.routing.key_affinity import homes
from lugcross.routing.rendezvous_hashing import first
from lugcross.routing.rendezvous_hashing import rank
from lugcross.routing.retry_budget import RetryBudget
from lugcross.routing.windowed_retry_budget import RepeatBudget

__all__ = [
    "Candidate",
    "Choice",
    "Health",
    "RepeatBudget",
    "RetryBudget",
    "choose",
    "first",
    "homes",
    "rank",
]
