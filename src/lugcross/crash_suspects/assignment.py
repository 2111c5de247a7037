# SPDX-License-Identifier: Apache-2.0
"""Which server tries a suspect, alike at every process.

Suspects of the same two ends are tried once more, each at a server of its
own: whichever of those ends, tells the one request to blame. Copies of one
suspect that come to several processes at once meet at one server, so that they
end one and not several.
"""

from collections.abc import Collection
from collections.abc import Sequence

from lugcross.crash_suspects import fingerprint
from lugcross import routing


def assign_server(
    request: fingerprint.Fingerprint,
    other_suspects: Collection[fingerprint.Fingerprint],
    servers: Sequence[str],
) -> str | None:
    """Return the server of ``servers`` that a suspect should go to.

    :param other_suspects: other suspects with as much against them, which
        get a server of their own as long as there are any.
    """
    free = list(servers)
    for one in sorted({*other_suspects, request}):
        found = routing.rendezvous_first(one.hex(), free or servers)
        if one == request:
            return found
        if found in free:
            free.remove(found)
    return None
