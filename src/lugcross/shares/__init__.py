# SPDX-License-Identifier: Apache-2.0
"""Fair shares between rival workspace groups."""

from lugcross.shares.queue import FairQueue
from lugcross.shares.queue import Ticket

__all__ = ["FairQueue", "Ticket"]
