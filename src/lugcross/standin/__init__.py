# SPDX-License-Identifier: Apache-2.0
"""Stand-ins of the platform's services and of backend servers."""

from lugcross.standin.engine import answer_prefix
from lugcross.standin.engine import answer_token
from lugcross.standin.engine import EngineSpeed
from lugcross.standin.engine import EngineStandin
from lugcross.standin.faults import FaultInjector
from lugcross.standin.faults import Faults
from lugcross.standin.faults import FAULTS_PATH
from lugcross.standin.faults import StandinServer
from lugcross.standin.hosts import HostsStandin
from lugcross.standin.log import LogStandin
from lugcross.standin.memory_log import InMemoryLog
from lugcross.standin.service import RUN_COUNTS_PATH
from lugcross.standin.service import ServiceStandin
from lugcross.standin.weights import WeightsStandin

__all__ = [
    "FAULTS_PATH",
    "RUN_COUNTS_PATH",
    "EngineSpeed",
    "EngineStandin",
    "FaultInjector",
    "Faults",
    "HostsStandin",
    "InMemoryLog",
    "LogStandin",
    "ServiceStandin",
    "StandinServer",
    "WeightsStandin",
    "answer_prefix",
    "answer_token",
]
