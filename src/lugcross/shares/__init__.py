# SPDX-License-Identifier: Apache-2.0
"""Fair sharing of backend servers between workspaces and their groups."""

from lugcross.shares.dynamic_limit import WorkspaceQuota
from lugcross.shares.fair_queue import FairQueue
from lugcross.shares.fair_queue import QueuedRequest

__all__ = ["WorkspaceQuota", "FairQueue", "QueuedRequest"]
