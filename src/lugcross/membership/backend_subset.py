# SPDX-License-Identifier: Apache-2.0
"""Which backend servers an entry host keeps links to."""

from collections.abc import Iterable

from lugcross import cfg
from lugcross import ids
from lugcross import routing

#: Part of the links that goes to the own failure domain, if it can.
SAME_DOMAIN_RATIO = 2 / 3


def choose_backend_subset(
    node: ids.NodeName,
    domain: ids.DomainName,
    backends: Iterable[cfg.BackendServer],
    *,
    max_links: int,
) -> list[cfg.BackendServer]:
    """Return at most ``max_links`` backend servers of one service.

    Each entry host gets another part, by rendezvous hash, so that all
    are covered and few links move when a backend server comes or goes.
    """
    by_name = {backend.name: backend for backend in backends}
    order = [by_name[name] for name in routing.rendezvous_order(node, by_name)]
    near = [backend for backend in order if backend.domain == domain]
    far = [backend for backend in order if backend.domain != domain]
    near_links = max(
        round(max_links * SAME_DOMAIN_RATIO), max_links - len(far)
    )
    chosen = near[:near_links]
    return chosen + far[: max_links - len(chosen)]
