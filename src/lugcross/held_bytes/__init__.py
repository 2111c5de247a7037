# SPDX-License-Identifier: Apache-2.0
"""Bytes that a process holds for callers and servers that read slowly."""

from lugcross.held_bytes.ledger import HeldBytes
from lugcross.held_bytes.ledger import Holding
from lugcross.held_bytes.ledger import Kind
from lugcross.held_bytes.ledger import limit_bytes
from lugcross.held_bytes.ledger import Measure

__all__ = ["HeldBytes", "Holding", "Kind", "Measure", "limit_bytes"]
