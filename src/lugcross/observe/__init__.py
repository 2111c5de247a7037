# SPDX-License-Identifier: Apache-2.0
"""Logs, metrics, traces and the journal of decisions."""

from lugcross.logs import JsonFormatter
from lugcross.logs import set_up
from lugcross.observe.journal import Decision
from lugcross.observe.journal import Input
from lugcross.observe.journal import Journal
from lugcross.observe.journal import KEPT
from lugcross.observe.journal import Topic
from lugcross.observe.metrics import Metrics
from lugcross.observe.metrics import NullMetrics
from lugcross.observe.metrics import open_metrics
from lugcross.observe.metrics import StatsdMetrics
from lugcross.observe.spans import HEADER
from lugcross.observe.spans import Tracer

__all__ = [
    "HEADER",
    "KEPT",
    "Decision",
    "Input",
    "Journal",
    "JsonFormatter",
    "Metrics",
    "NullMetrics",
    "StatsdMetrics",
    "Topic",
    "Tracer",
    "open_metrics",
    "set_up",
]
