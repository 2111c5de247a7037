# SPDX-License-Identifier: Apache-2.0
"""Logging, metrics, tracing and the decision journal."""

from lugcross.logs import JsonFormatter
from lugcross.logs import set_up_logging
from lugcross.observe.decision_journal import Decision
from lugcross.observe.decision_journal import DecisionInput
from lugcross.observe.decision_journal import DecisionJournal
from lugcross.observe.decision_journal import DecisionTopic
from lugcross.observe.decision_journal import JOURNAL_CAPACITY
from lugcross.observe.metrics import Metrics
from lugcross.observe.metrics import NullMetrics
from lugcross.observe.metrics import open_metrics
from lugcross.observe.metrics import StatsdMetrics
from lugcross.observe.tracing import TRACEPARENT_HEADER
from lugcross.observe.tracing import Tracer

__all__ = [
    "JOURNAL_CAPACITY",
    "TRACEPARENT_HEADER",
    "Decision",
    "DecisionInput",
    "DecisionJournal",
    "DecisionTopic",
    "JsonFormatter",
    "Metrics",
    "NullMetrics",
    "StatsdMetrics",
    "Tracer",
    "open_metrics",
    "set_up_logging",
]
