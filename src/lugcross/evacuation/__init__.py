# SPDX-License-Identifier: Apache-2.0
"""Failure domains whose backend servers get no requests; no I/O."""

from lugcross.evacuation.evacuations import Evacuations
from lugcross.evacuation.evacuations import MAX_RECORDS_TO_SEND
from lugcross.evacuation.record import MAX_DOMAIN_CHARS
from lugcross.evacuation.record import Record

__all__ = [
    "MAX_DOMAIN_CHARS",
    "MAX_RECORDS_TO_SEND",
    "Evacuations",
    "Record",
]
