# SPDX-License-Identifier: Apache-2.0
"""The agent: one on each backend server's host."""

from lugcross.agent.app import Agent
from lugcross.agent.dispatcher import Dispatcher
from lugcross.agent.exchange import Failure
from lugcross.agent.exchange import LinkId
from lugcross.agent import failures
from lugcross.agent.once import OnceRecord

__all__ = [
    "Agent",
    "Dispatcher",
    "Failure",
    "LinkId",
    "OnceRecord",
    "failures",
]
