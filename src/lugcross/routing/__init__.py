# SPDX-License-Identifier: Apache-2.0
"""Backend server selection, health tracking and retry budgets."""

from lugcross.routing.backend_choice import BackendChoice
from lugcross.routing.backend_choice import Candidate
from lugcross.routing.backend_choice import choose_backend
from lugcross.routing.health import BackendHealth
from lugcross.routing.key_affinity import backends_for_key
from lugcross.routing.rendezvous_hashing import rendezvous_first
from lugcross.routing.rendezvous_hashing import rendezvous_fraction
from lugcross.routing.rendezvous_hashing import rendezvous_order
from lugcross.routing.rendezvous_hashing import rendezvous_rank
from lugcross.routing.retry_budget import RetryBudget
from lugcross.routing.windowed_retry_budget import WindowedRetryBudget

__all__ = [
    "Candidate",
    "BackendChoice",
    "BackendHealth",
    "WindowedRetryBudget",
    "RetryBudget",
    "choose_backend",
    "rendezvous_first",
    "rendezvous_fraction",
    "backends_for_key",
    "rendezvous_order",
    "rendezvous_rank",
]
