# SPDX-License-Identifier: Apache-2.0
"""Order in which backend servers are asked to run a keyed request."""

from lugcross import cfg
from lugcross import ids
from lugcross.routing import rendezvous_hashing


def backends_for_key(
    config: cfg.Config,
    workspace: ids.WorkspaceName,
    service: ids.ServiceName,
    key: ids.IdempotencyKey,
) -> list[ids.BackendName]:
    """Return the service's backend servers, the key's first one first.

    A repeat goes where the answer is likely kept. The order is only a
    preference: the claim in the log decides who may run it.
    """
    backends = config.by_service.get(service, ())
    return rendezvous_hashing.rendezvous_order(
        f"{workspace}\0{service}\0{key}",
        [ids.BackendName(backend.name) for backend in backends],
    )
