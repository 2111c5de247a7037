# SPDX-License-Identifier: Apache-2.0
"""Subsetting: the backend servers that an entry host keeps links to."""

from collections.abc import Iterable

from lugcross import cfg
from lugcross import ids
from lugcross import routing

#: Fraction of links to servers in the entry host's own failure domain, if
#: both sides have enough servers.
SAME_DOMAIN_RATIO = 2 / 3


def choose_backend_subset(
    node: ids.NodeName,
    domain: ids.DomainName,
    backends: Iterable[cfg.BackendServer],
    *,
    max_links: int,
) -> list[cfg.BackendServer]:
    """Return at most ``max_links`` of a service's backend servers.

    Each entry host gets a different subset, by rendezvous hashing, so that
    every server is covered and few links move when a server is added or
    removed.

    :param node: the entry host.
    :param domain: its failure domain.
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
