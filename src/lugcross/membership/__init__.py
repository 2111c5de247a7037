# SPDX-License-Identifier: Apache-2.0
"""Which hosts are there, and which to keep links to."""

from lugcross.membership.hosts import HostWatch
from lugcross.membership.hosts import leaving_names
from lugcross.membership.relays import Neighbours
from lugcross.membership.relays import RELAYS
from lugcross.membership.subset import subset

__all__ = ["RELAYS", "HostWatch", "Neighbours", "leaving_names", "subset"]
