# SPDX-License-Identifier: Apache-2.0
"""A small fleet in one process, to see and to try by hand."""

from lugcross.demo.calls import expected
from lugcross.demo.calls import Result
from lugcross.demo.calls import Sender
from lugcross.demo.fleet import Fleet
from lugcross.demo.fleet import LEDGER
from lugcross.demo.fleet import MODEL
from lugcross.demo.fleet import Rival
from lugcross.demo.once import FixedRun
from lugcross.demo.traffic import Traffic

__all__ = [
    "LEDGER",
    "MODEL",
    "FixedRun",
    "Fleet",
    "Result",
    "Rival",
    "Sender",
    "Traffic",
    "expected",
]
