# SPDX-License-Identifier: Apache-2.0
"""Fair shares between rival workspaces and their groups."""

from lugcross.shares.dynamic_limit import WorkspaceUse
from lugcross.shares.fair_queue import FairQueue
from lugcross.shares.fair_queue import Ticket

__all__ = ["WorkspaceUse", "FairQueue", "Ticket"]
