# SPDX-License-Identifier: Apache-2.0
"""Whether a request is worth sending now, judged before any work."""

from lugcross import desired
from lugcross.edge import choice
from lugcross import platform

#: Requests per slot past which a server of no known engine is full; its
#: work is short, so that a short queue is served in time.
_PLAIN_FULL = 3.0
#: Requests per slot past which a model engine is full.
_ENGINE_FULL = 0.67


def admit(
    found: choice.Candidate,
    head: platform.CallerHead,
    route: desired.Route,
    engine: desired.Engine | None,
) -> str | None:
    """Return why the request should come back later, or none."""
    del head, route
    full = _PLAIN_FULL if engine is None else _ENGINE_FULL
    if found.load >= full:
        return "every backend server is full"
    return None
