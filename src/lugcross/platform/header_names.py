# SPDX-License-Identifier: Apache-2.0
"""Names of the platform's headers, as they stand on the wire.

h11 compares header names in lower case; what is sent goes out as it is
spelled here.
"""

from collections.abc import Mapping

#: Chosen by the caller for each of its attempts; comes back in answers.
ATTEMPT_ID = b"Attempt-Identifier"
#: Milliseconds that the caller, or the sender, will still wait.
TIME_LEFT = b"Time-Remaining"
#: Key of a workspace; never shown to a backend server.
API_KEY = b"X-Api-Key"
#: Name of the workspace whose key was shown; set by the system only.
WORKSPACE = b"Tenant"
#: The one life of a backend server that may run the request.
EXPECTED_INSTANCE = b"Expected-Instance"
#: Weight version that a replica must have; the system's to set.
EXPECTED_VERSION = b"Expected-Version"
#: 0 to 9, 0 first; the system's to set.
PRIORITY = b"Request-Priority"
#: Id of the last event that the caller has; the stream goes on after it.
LAST_EVENT_ID = b"Last-Event-Id"
#: Tokens of the prompt, and the most to write, with a comma between.
TOKEN_COUNTS = b"Token-Counts"
#: The caller's estimate of the tokens that will be written.
LENGTH_HINT = b"Length-Hint"
#: A backend server's signature over its answer.
SIGNATURE = b"Response-Seal"
#: In a backend server's refusal: the request has not run.
NOT_EXECUTED = b"Not-Executed"
#: Requests running, requests waiting and slots, with commas between.
SERVER_LOAD = b"Server-Load"
#: In a backend server's answer: it is leaving.
SERVER_LEAVING = b"Server-Leaving"
#: In all answers of the store: rises each time that it comes back from a copy.
STORE_ERA = b"Store-Era"
#: Seconds, fractions allowed, after which a caller may come back; from a
#: backend server, for which it wants nothing from the process that it tells.
RETRY_AFTER = b"Retry-After"


def header_text(found: Mapping[bytes, bytes], name: bytes) -> str:
    """Return a header's text; empty if it is missing.

    :param found: headers by their names in lower case.
    """
    return found.get(name.lower(), b"").decode("latin-1").strip()
