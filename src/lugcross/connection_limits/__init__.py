# SPDX-License-Identifier: Apache-2.0
"""Limits on the new connections that a process takes from callers."""

from lugcross.connection_limits.gate import ConnectionGate
from lugcross.connection_limits.gate import default_max_connections
from lugcross.connection_limits.gate import Refusal
from lugcross.connection_limits.loop_lag import LoopLag

__all__ = [
    "ConnectionGate",
    "LoopLag",
    "Refusal",
    "default_max_connections",
]
