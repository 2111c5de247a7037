# SPDX-License-Identifier: Apache-2.0
"""The entry host: callers' requests in, answers out."""

from lugcross.entry.app import Entry
from lugcross.entry.caller import Caller
from lugcross.entry.caller import Request
from lugcross.entry.upstream import Upstream

__all__ = ["Caller", "Entry", "Request", "Upstream"]
