# SPDX-License-Identifier: Apache-2.0
"""Backend servers that new requests of a service may be sent to."""

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import random
from typing import final

from lugcross import desired
from lugcross import ids
from lugcross import reachability as reachability_lib

#: Largest fraction of a service's servers that is excluded as slow. If more
#: are slow, excluding them overloads the others more than it saves.
_MAX_SLOW_RATIO = 0.2
#: How many servers of the own failure domain, and of all others, are compared
#: for one request. If one in eight servers is idle, 88 % of the samples have
#: an idle one. Since samples are random, processes whose load data is old
#: don't all choose the same server.
_SAMPLE_COUNT = 16


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class EligibleServers:
    """The backend servers of a service that may get new requests.

    :param same_domain: servers in this process's failure domain.
    :param other_domains: all other servers.
    :param all: all servers, those of the own failure domain first.
    :param keys: keys of all servers.
    :param slots: total slots of all servers.
    """

    same_domain: tuple[desired.Backend, ...]
    other_domains: tuple[desired.Backend, ...]
    all: tuple[desired.Backend, ...]
    keys: frozenset[desired.BackendKey]
    slots: int

    def __len__(self) -> int:
        return len(self.keys)

    def sample(self, rng: random.Random) -> list[desired.Backend]:
        """Return random servers from which to choose for one request."""
        return [
            *_random_slice(self.same_domain, rng),
            *_random_slice(self.other_domains, rng),
        ]


def split_by_domain(
    servers: Sequence[desired.Backend], *, own_domain: ids.DomainName
) -> EligibleServers:
    """Split servers by whether they are in ``own_domain``."""
    same_domain = tuple(
        server for server in servers if server.domain == own_domain
    )
    other_domains = tuple(
        server for server in servers if server.domain != own_domain
    )
    return EligibleServers(
        same_domain=same_domain,
        other_domains=other_domains,
        all=same_domain + other_domains,
        keys=frozenset(server.key for server in servers),
        slots=sum(server.slots for server in servers),
    )


def without_slow(
    servers: Sequence[desired.Backend],
    slow: Collection[desired.BackendKey],
) -> list[desired.Backend]:
    """Return the servers without slow ones, or all if too many are slow.

    A rank's part of a pass grows with the tokens of its own requests, and the
    whole group waits for the slowest rank.

    :param slow: keys of the slow servers.
    """
    others = [server for server in servers if server.key not in slow]
    if len(servers) - len(others) > len(servers) * _MAX_SLOW_RATIO:
        return list(servers)
    return others


def without_unused(
    servers: list[desired.Backend],
    reachability: reachability_lib.DomainReachability,
    cold: Collection[desired.BackendKey],
) -> list[desired.Backend]:
    """Return the servers without those that are not used again yet.

    Returns all if there are no others.

    :param cold: servers that are used, since their rate is limited anyway.
    """
    used = [
        one
        for one in servers
        if one.key in cold or reachability.may_use(one.domain, one.address)
    ]
    return used or servers


def without_returning(
    servers: list[desired.Backend],
    reachability: reachability_lib.DomainReachability,
    rng: random.Random,
    cold: Collection[desired.BackendKey],
) -> list[desired.Backend]:
    """Return the servers for one request, without some returning domains.

    Idle servers would get all requests of all processes at first. A growing
    part of the requests may go to them, and all if there are no others.

    :param cold: servers that are left in, since their rate is limited anyway.
    """
    skipped = {
        domain
        for domain, fraction in reachability.returning_fractions()
        if rng.random() >= fraction
    }
    if not skipped:
        return servers
    return [
        one for one in servers if one.domain not in skipped or one.key in cold
    ] or servers


def _random_slice(
    servers: tuple[desired.Backend, ...], rng: random.Random
) -> Sequence[desired.Backend]:
    """Return up to ``_SAMPLE_COUNT`` adjacent servers from a random start."""
    if len(servers) <= _SAMPLE_COUNT:
        return servers
    start = rng.randrange(len(servers))
    return (servers + servers)[start : start + _SAMPLE_COUNT]
