# SPDX-License-Identifier: Apache-2.0
"""Where a request goes, and whether it may go again."""

from lugcross.routing.budget import RetryBudget
from lugcross.routing.choice import Candidate
from lugcross.routing.choice import Choice
from lugcross.routing.choice import choose
from lugcross.routing.hashing import first
from lugcross.routing.hashing import rank
from lugcross.routing.health import Health
from lugcross.routing.homes import homes
from lugcross.routing.window import RepeatBudget

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
