# SPDX-License-Identifier: Apache-2.0
"""The users' platform: names, formats and calls, decoded into our types.

The only package that knows how that platform speaks; it decides nothing.
"""

from lugcross.platform.answers import answer_headers
from lugcross.platform.answers import AnswerHead
from lugcross.platform.answers import Load
from lugcross.platform.answers import PROMISES
from lugcross.platform.answers import read_answer_head
from lugcross.platform.answers import request_headers
from lugcross.platform.callers import CallerHead
from lugcross.platform.callers import read_caller_head
from lugcross.platform.engines import EngineError
from lugcross.platform.engines import Engines
from lugcross.platform.names import ATTEMPT_ID
from lugcross.platform.names import RETRY_AFTER
from lugcross.platform.state import BACKENDS_TOPIC
from lugcross.platform.state import DESIRED_KEY
from lugcross.platform.state import LEASES_TOPIC
from lugcross.platform.state import NODES_TOPIC
from lugcross.platform.state import OPERATOR_TOPIC
from lugcross.platform.state import read_backend
from lugcross.platform.state import read_desired
from lugcross.platform.state import SUSPECTS_TOPIC
from lugcross.platform.store import KeyedRecord
from lugcross.platform.store import StoreClient
from lugcross.platform.store import Tail

__all__ = [
    "ATTEMPT_ID",
    "BACKENDS_TOPIC",
    "DESIRED_KEY",
    "LEASES_TOPIC",
    "NODES_TOPIC",
    "OPERATOR_TOPIC",
    "PROMISES",
    "RETRY_AFTER",
    "SUSPECTS_TOPIC",
    "AnswerHead",
    "CallerHead",
    "EngineError",
    "Engines",
    "KeyedRecord",
    "Load",
    "StoreClient",
    "Tail",
    "answer_headers",
    "read_answer_head",
    "read_backend",
    "read_caller_head",
    "read_desired",
    "request_headers",
]
