# SPDX-License-Identifier: Apache-2.0
"""Names of the platform's HTTP headers, spelled as they are sent.

Received header names are in lower case.
"""

from collections.abc import Mapping

#: Id that the caller chooses for each of its attempts; responses repeat it.
ATTEMPT_ID = b"Attempt-Identifier"
#: Milliseconds that the sender of a request will still wait for its response.
TIME_LEFT = b"Time-Remaining"
#: API key of a workspace; never forwarded to a backend server.
API_KEY = b"X-Api-Key"
#: Name of the workspace that the API key belongs to; set by lugcross only.
WORKSPACE = b"Tenant"
#: Id of the only backend server that may run the request.
EXPECTED_INSTANCE = b"Expected-Instance"
#: Version of the weights that the server must have; set by lugcross only.
EXPECTED_VERSION = b"Expected-Version"
#: Priority from 0, the highest, to 9; set by lugcross only.
PRIORITY = b"Request-Priority"
#: Id of the last event received; the stream resumes with the one after it.
LAST_EVENT_ID = b"Last-Event-Id"
#: Prompt tokens and the limit of generated tokens, separated by a comma.
TOKEN_COUNTS = b"Token-Counts"
#: Parts of the prompt in order, as ID:TOKENS separated by commas. The last one
#: belongs to the request or its session; others may be in many requests.
PROMPT_PREFIX = b"Prompt-Prefix"
#: The caller's estimate of the number of generated tokens.
LENGTH_HINT = b"Length-Hint"
#: A backend server's signature of its response.
SIGNATURE = b"Response-Seal"
#: Set by a backend server that refuses a request without running it.
NOT_EXECUTED = b"Not-Executed"
#: Running requests, waiting requests and slots, separated by commas.
SERVER_LOAD = b"Server-Load"
#: Requests a second, as a decimal number, that the backend server takes from
#: all processes together for as long as it says so.
SERVER_LIMIT = b"Server-Limit"
#: Milliseconds for which the backend server is still cold; 0 if it is not.
COLD_TIME = b"Cold-Milliseconds"
#: "1" if the backend server is leaving.
SERVER_LEAVING = b"Server-Leaving"
#: Era of the store, in all its responses: rises each time that the store comes
#: back from an older copy.
STORE_ERA = b"Store-Era"
#: Seconds, fractions allowed. To a caller: wait before its next try. From a
#: backend server: how long this process must send it nothing.
RETRY_AFTER = b"Retry-After"


def header_text(values: Mapping[bytes, bytes], name: bytes) -> str:
    """Return a header's value, stripped; empty if the header is missing.

    :param values: header values by lower-case name.
    """
    return values.get(name.lower(), b"").decode("latin-1").strip()
