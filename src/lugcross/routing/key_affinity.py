# SPDX-License-Identifier: Apache-2.0
"""Order in which backend servers are tried for an idempotency key."""

from lugcross import cfg
from lugcross import ids
from lugcross.routing import rendezvous_hashing


def backends_for_key(
    config: cfg.Config,
    workspace: ids.WorkspaceName,
    service: ids.ServiceName,
    key: ids.IdempotencyKey,
) -> list[ids.BackendName]:
    """Return the service's backend servers in order of preference.

    A retry with the same key thus reaches the server that probably still has
    the answer. The order is only a preference: the claim in the log decides
    which server may run the request.
    """
    backends = config.by_service.get(service, ())
    return rendezvous_hashing.rendezvous_order(
        f"{workspace}\0{service}\0{key}",
        [ids.BackendName(backend.name) for backend in backends],
    )
