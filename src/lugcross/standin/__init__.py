# SPDX-License-Identifier: Apache-2.0
"""Small stand-ins of the platform and of what backend servers run."""

from lugcross.standin.engine import EngineStandin
from lugcross.standin.engine import mark_of
from lugcross.standin.engine import Speed
from lugcross.standin.engine import token
from lugcross.standin.faults import Faults
from lugcross.standin.faults import FAULTS_PATH
from lugcross.standin.faults import FaultyApp
from lugcross.standin.faults import StandinServer
from lugcross.standin.hosts import HostsStandin
from lugcross.standin.log import LogStandin
from lugcross.standin.memory import MemoryLog
from lugcross.standin.service import RAN_PATH
from lugcross.standin.service import ServiceStandin
from lugcross.standin.weights import WeightsStandin

__all__ = [
    "FAULTS_PATH",
    "RAN_PATH",
    "EngineStandin",
    "Faults",
    "FaultyApp",
    "HostsStandin",
    "LogStandin",
    "MemoryLog",
    "ServiceStandin",
    "Speed",
    "StandinServer",
    "WeightsStandin",
    "mark_of",
    "token",
]
