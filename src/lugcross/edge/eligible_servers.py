# SPDX-License-Identifier: Apache-2.0
"""The backend servers that new requests of a service may go to."""

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import random
from typing import final

from lugcross import desired
from lugcross import ids

#: Part of a service's servers that may be left alone because they are slow:
#: past it the others would be fuller by more than the slow ones cost.
_MAX_SLOW_RATIO = 0.2
#: Servers of this failure domain, and of all others, that one choice looks
#: at. The least busy of sixteen is idle or nearly so wherever one in eight
#: is (for 88 in 100 choices), and processes whose news of each other are
#: old do not all take the same one.
_SAMPLE_COUNT = 16


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class EligibleServers:
    """Servers that may be used now.

    :param same_domain: those of this process's failure domain.
    :param other_domains: all others.
    :param slots: slots of all of them.
    """

    same_domain: tuple[desired.Backend, ...]
    other_domains: tuple[desired.Backend, ...]
    keys: frozenset[desired.BackendKey]
    slots: int

    def __len__(self) -> int:
        return len(self.keys)

    @property
    def all(self) -> tuple[desired.Backend, ...]:
        """All of them."""
        return self.same_domain + self.other_domains

    def sample(self, rng: random.Random) -> list[desired.Backend]:
        """Return the servers that one choice looks at."""
        return [
            *_random_slice(self.same_domain, rng),
            *_random_slice(self.other_domains, rng),
        ]


def split_by_domain(
    servers: Sequence[desired.Backend], *, own_domain: ids.DomainName
) -> EligibleServers:
    """Return servers split by whether they are in ``own_domain``."""
    return EligibleServers(
        same_domain=tuple(one for one in servers if one.domain == own_domain),
        other_domains=tuple(
            one for one in servers if one.domain != own_domain
        ),
        keys=frozenset(one.key for one in servers),
        slots=sum(one.slots for one in servers),
    )


def without_slow(
    servers: Sequence[desired.Backend],
    slow: Collection[desired.BackendKey],
) -> list[desired.Backend]:
    """Return the servers that new requests go to while some are slow.

    A rank's own part of a pass grows with what it is given to read and write,
    and the whole group waits for it. Where many are slow, or all that are
    left, they are needed all the same.
    """
    others = [one for one in servers if one.key not in slow]
    if len(servers) - len(others) > len(servers) * _MAX_SLOW_RATIO:
        return list(servers)
    return others


def _random_slice(
    servers: tuple[desired.Backend, ...], rng: random.Random
) -> Sequence[desired.Backend]:
    """Return a run of servers from a place drawn at random."""
    if len(servers) <= _SAMPLE_COUNT:
        return servers
    start = rng.randrange(len(servers))
    return (servers + servers)[start : start + _SAMPLE_COUNT]
