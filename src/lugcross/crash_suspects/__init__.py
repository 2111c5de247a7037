# SPDX-License-Identifier: Apache-2.0
"""Requests that end the backend servers that run them."""

from lugcross.crash_suspects.assignment import place
from lugcross.crash_suspects.fingerprint import Fingerprint
from lugcross.crash_suspects.fingerprint import Identity
from lugcross.crash_suspects.fingerprint import SIZE
from lugcross.crash_suspects.registry import Case
from lugcross.crash_suspects.registry import End
from lugcross.crash_suspects.registry import ENDS_MOST
from lugcross.crash_suspects.registry import LAPSE
from lugcross.crash_suspects.registry import Ledger
from lugcross.crash_suspects.registry import Standing
from lugcross.crash_suspects.registry import SURE

__all__ = [
    "ENDS_MOST",
    "LAPSE",
    "SIZE",
    "SURE",
    "Case",
    "End",
    "Fingerprint",
    "Identity",
    "Ledger",
    "Standing",
    "place",
]
