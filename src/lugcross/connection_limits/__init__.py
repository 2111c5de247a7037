# SPDX-License-Identifier: Apache-2.0
"""Limits on the new connections that a process takes from callers."""

from lugcross.connection_limits.closed_connections import ClosedConnections
from lugcross.connection_limits.gate import ConnectionGate
from lugcross.connection_limits.gate import default_max_connections
from lugcross.connection_limits.gate import default_max_own_connections
from lugcross.connection_limits.gate import Refusal
from lugcross.connection_limits.loop_lag import LoopLag
from lugcross.connection_limits.open_connections import ConnState
from lugcross.connection_limits.open_connections import OpenConnections

__all__ = [
    "ClosedConnections",
    "ConnState",
    "ConnectionGate",
    "LoopLag",
    "OpenConnections",
    "Refusal",
    "default_max_connections",
    "default_max_own_connections",
]
