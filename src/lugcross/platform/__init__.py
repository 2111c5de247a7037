# SPDX-License-Identifier: Apache-2.0
"""Adapter to the users' platform: headers, stored records, engines, store.

Only this package and the stand-ins know the platform's names and formats. It
converts between them and lugcross's own types, and takes no decisions.
"""

from lugcross.platform.backend_headers import BackendResponseHead
from lugcross.platform.backend_headers import headers_to_backend
from lugcross.platform.backend_headers import headers_to_caller
from lugcross.platform.backend_headers import NOT_EXECUTED_STATUSES
from lugcross.platform.backend_headers import parse_backend_response_head
from lugcross.platform.backend_headers import RateLimit
from lugcross.platform.backend_headers import ServerLoad
from lugcross.platform.caller_headers import CallerRequestHead
from lugcross.platform.caller_headers import parse_caller_request_head
from lugcross.platform.engine_client import EngineClient
from lugcross.platform.engine_client import EngineQueryError
from lugcross.platform.header_names import ATTEMPT_ID
from lugcross.platform.header_names import RETRY_AFTER
from lugcross.platform.store_answers import KeyedRecord
from lugcross.platform.store_answers import ReadResult
from lugcross.platform.store_client import StoreClient
from lugcross.platform.store_records import BACKENDS_TOPIC
from lugcross.platform.store_records import decode_backend
from lugcross.platform.store_records import decode_desired
from lugcross.platform.store_records import decode_evacuation
from lugcross.platform.store_records import DESIRED_STATE_KEY
from lugcross.platform.store_records import evacuation_domain
from lugcross.platform.store_records import LEASES_TOPIC
from lugcross.platform.store_records import NODES_TOPIC
from lugcross.platform.store_records import OPERATOR_TOPIC
from lugcross.platform.store_records import SUSPECTS_TOPIC

__all__ = [
    "ATTEMPT_ID",
    "BACKENDS_TOPIC",
    "DESIRED_STATE_KEY",
    "LEASES_TOPIC",
    "NODES_TOPIC",
    "NOT_EXECUTED_STATUSES",
    "OPERATOR_TOPIC",
    "RETRY_AFTER",
    "SUSPECTS_TOPIC",
    "BackendResponseHead",
    "CallerRequestHead",
    "EngineClient",
    "EngineQueryError",
    "KeyedRecord",
    "RateLimit",
    "ReadResult",
    "ServerLoad",
    "StoreClient",
    "decode_backend",
    "decode_desired",
    "decode_evacuation",
    "evacuation_domain",
    "headers_to_backend",
    "headers_to_caller",
    "parse_backend_response_head",
    "parse_caller_request_head",
]
