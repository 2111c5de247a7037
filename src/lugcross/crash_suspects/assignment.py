# SPDX-License-Identifier: Apache-2.0
"""Deterministic assignment of crash suspects to servers.

Requests suspected of the same crashes are each tried again on a server of
their own, so that the next crash identifies the one to blame. All processes
compute the same assignment: copies of one suspect that arrive at several
processes at once run on the same server and crash only that one.
"""

from collections.abc import Collection
from collections.abc import Sequence

from lugcross.crash_suspects import fingerprint
from lugcross import routing


def assign_server(
    request: fingerprint.Fingerprint,
    other_suspects: Collection[fingerprint.Fingerprint],
    servers: Sequence[str],
    *,
    stronger_suspects: Sequence[fingerprint.Fingerprint] = (),
) -> str | None:
    """Return the server to run a suspect on, or None if there is none.

    :param other_suspects: suspects of the same crashes, each of which gets a
        different server as long as there are enough.
    :param stronger_suspects: those against which more speaks, in order. They
        choose first, so that the server of a strong suspect does not change
        with each report of a weaker one.
    """
    free = list(servers)
    for suspect in (
        *stronger_suspects,
        *sorted({*other_suspects, request}),
    ):
        server = routing.rendezvous_first(suspect.hex(), free or servers)
        if suspect == request:
            return server
        if server in free:
            free.remove(server)
    return None
