# SPDX-License-Identifier: Apache-2.0
"""Detection of requests that crash the backend servers that run them."""

from lugcross.crash_suspects.answer_progress import AnswerProgress
from lugcross.crash_suspects.assessment import Assessment
from lugcross.crash_suspects.assessment import CRASHES_TO_REFUSE
from lugcross.crash_suspects.assessment import NOT_SUSPECT
from lugcross.crash_suspects.assessment import SuspectStatus
from lugcross.crash_suspects.assignment import assign_server
from lugcross.crash_suspects.containment import GroupContainment
from lugcross.crash_suspects.evidence import MAX_CRASHES_KEPT
from lugcross.crash_suspects.evidence import MAX_SOUND_RUNS_KEPT
from lugcross.crash_suspects.evidence import ServerCrash
from lugcross.crash_suspects.evidence import SoundRun
from lugcross.crash_suspects.evidence import SuspectRecord
from lugcross.crash_suspects.evidence import SUSPICION_TTL
from lugcross.crash_suspects.fingerprint import Fingerprint
from lugcross.crash_suspects.fingerprint import FINGERPRINT_BYTES
from lugcross.crash_suspects.fingerprint import part_fingerprint
from lugcross.crash_suspects.fingerprint import RequestIdentity
from lugcross.crash_suspects.registry import CRASHES_TO_LEAVE_TO_CALLER
from lugcross.crash_suspects.registry import SuspectRegistry

__all__ = [
    "CRASHES_TO_LEAVE_TO_CALLER",
    "CRASHES_TO_REFUSE",
    "FINGERPRINT_BYTES",
    "MAX_CRASHES_KEPT",
    "MAX_SOUND_RUNS_KEPT",
    "NOT_SUSPECT",
    "SUSPICION_TTL",
    "AnswerProgress",
    "Assessment",
    "Fingerprint",
    "GroupContainment",
    "RequestIdentity",
    "ServerCrash",
    "SoundRun",
    "SuspectRecord",
    "SuspectRegistry",
    "SuspectStatus",
    "assign_server",
    "part_fingerprint",
]
