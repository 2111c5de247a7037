# SPDX-License-Identifier: Apache-2.0
"""A demo: a small fleet in one process, with sample traffic."""

from lugcross.demo.fleet import DemoGroup
from lugcross.demo.fleet import Fleet
from lugcross.demo.fleet import MODEL_SERVICE
from lugcross.demo.fleet import PLAIN_SERVICE
from lugcross.demo.request_sender import expected_completion
from lugcross.demo.request_sender import Result
from lugcross.demo.request_sender import Sender
from lugcross.demo.self_check import SelfCheck
from lugcross.demo.traffic import Traffic

__all__ = [
    "MODEL_SERVICE",
    "PLAIN_SERVICE",
    "DemoGroup",
    "Fleet",
    "Result",
    "SelfCheck",
    "Sender",
    "Traffic",
    "expected_completion",
]
