# SPDX-License-Identifier: Apache-2.0
"""Fair shares between rival workspaces and their groups."""

from lugcross.shares.limit import Claim
from lugcross.shares.queue import FairQueue
from lugcross.shares.queue import Ticket

__all__ = ["Claim", "FairQueue", "Ticket"]
