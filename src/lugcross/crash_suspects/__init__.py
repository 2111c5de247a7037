# SPDX-License-Identifier: Apache-2.0
"""Detection of requests that crash the backend servers that run them."""

from lugcross.crash_suspects.assignment import assign_server
from lugcross.crash_suspects.containment import GroupContainment
from lugcross.crash_suspects.fingerprint import Fingerprint
from lugcross.crash_suspects.fingerprint import FINGERPRINT_BYTES
from lugcross.crash_suspects.fingerprint import RequestIdentity
from lugcross.crash_suspects.registry import CRASHES_TO_LEAVE_TO_CALLER
from lugcross.crash_suspects.registry import CRASHES_TO_REFUSE
from lugcross.crash_suspects.registry import MAX_CRASHES_KEPT
from lugcross.crash_suspects.registry import ServerCrash
from lugcross.crash_suspects.registry import SuspectRecord
from lugcross.crash_suspects.registry import SuspectRegistry
from lugcross.crash_suspects.registry import SuspectStatus
from lugcross.crash_suspects.registry import SUSPICION_TTL

__all__ = [
    "CRASHES_TO_LEAVE_TO_CALLER",
    "CRASHES_TO_REFUSE",
    "MAX_CRASHES_KEPT",
    "SUSPICION_TTL",
    "FINGERPRINT_BYTES",
    "GroupContainment",
    "SuspectRecord",
    "ServerCrash",
    "Fingerprint",
    "RequestIdentity",
    "SuspectRegistry",
    "SuspectStatus",
    "assign_server",
]
