# SPDX-License-Identifier: Apache-2.0
"""Simulated fleet whose failure domains can be cut from each other.

Processes, backend servers and heartbeats are those of :mod:`crash_rig`, in
virtual time. Connections across a cut are refused or time out, and heartbeats
and state requests across it are lost.
"""

import asyncio
import contextlib
import dataclasses
import itertools

import crash_rig
import fleet_rig

from lugcross import http1

DOMAINS = ("d0", "d1", "d2")
#: Time after which a lost packet of an established connection breaks it.
_BROKEN_AFTER_S = 0.3
#: Shares of the domains' processes in the load: uneven, so that those of the
#: first two send many requests to other domains.
_LOAD_SHARES = (0.6, 0.3, 0.1)


@dataclasses.dataclass(frozen=True)
class Connect:
    """An attempt to connect to a backend server.

    :param at: virtual time, in seconds.
    :param for_request: whether it was made for a caller's request.
    """

    at: float
    node: str
    node_domain: str
    server_domain: str
    for_request: bool
    made: bool


class _Conn(crash_rig.FakeConn):
    """A connection that breaks when its path is cut."""

    def __init__(self, fleet: "Fleet", server, path: frozenset[str]) -> None:
        super().__init__(fleet, server)
        self._cuts = fleet.cuts
        self._path = path

    def nothing_acknowledged(self) -> bool:
        return self._path in self._cuts

    async def read_head(self) -> http1.ResponseHead:
        head = asyncio.create_task(super().read_head())
        while not head.done():
            await asyncio.wait([head], timeout=_BROKEN_AFTER_S)
            if self._path in self._cuts:
                head.cancel()
                raise self._broken()
        return head.result()


class Fleet(crash_rig.Fleet):
    """Edge processes and servers in three domains.

    :ivar cuts: pairs of domains between which nothing gets through.
    :ivar timing_out: whether connections across a cut time out; they are
        refused otherwise.
    :ivar connects: all attempts to connect to servers.
    """

    def __init__(self, monkeypatch, *domains: int, **options) -> None:
        self.cuts: set[frozenset[str]] = set()
        self.timing_out = False
        self.connects: list[Connect] = []
        super().__init__(
            monkeypatch, *domains, server_domains=len(DOMAINS), **options
        )

    def start(self) -> None:
        for name, node in self.nodes.items():
            crash_rig.current_node.set(f"probe {name}")
            node.start()
        for node in self.nodes.values():
            node.sendto = self._cut_sendto(node, node.sendto)

    def _cut_sendto(self, node: fleet_rig.Node, sendto):
        def send(data: bytes, to: tuple[str, int]) -> None:
            peer = self.nodes.get(to[0])
            path = frozenset((node.domain, peer.domain if peer else ""))
            if path not in self.cuts:
                sendto(data, to)

        return send

    @contextlib.contextmanager
    def cut(self, *pairs: tuple[str, str], timing_out: bool = False):
        """Cut pairs of domains from each other while the context lasts."""
        self.timing_out = timing_out
        self.cuts.update(map(frozenset, pairs))
        try:
            yield
        finally:
            self.cuts.clear()

    async def ordinary_load(self, per_s: float) -> None:
        """Send requests to random processes, most to those of one domain."""
        for num in itertools.count():
            await asyncio.sleep(self.rng.expovariate(per_s))
            domain = self.rng.choices(DOMAINS, _LOAD_SHARES)[0]
            names = [
                name
                for name, node in self.nodes.items()
                if node.domain == domain
            ]
            self.ask(self.rng.choice(names), b"ordinary %d" % num)

    async def _connect(self, host: str, port: int, *, timeout_s: float):
        server = self._by_host.get(host)
        if server is None:
            return await self.store.connect(host, port, timeout_s=timeout_s)
        probe, _, name = crash_rig.current_node.get().rpartition(" ")
        node_domain = self.nodes[name].domain
        server_domain = DOMAINS[server.index % len(DOMAINS)]
        path = frozenset((node_domain, server_domain))
        at = asyncio.get_running_loop().time()
        is_cut = path in self.cuts
        made = server.up and not is_cut
        self.connects.append(
            Connect(at, name, node_domain, server_domain, not probe, made)
        )
        await asyncio.sleep(crash_rig.LATENCY_S)
        if made:
            return _Conn(self, server, path)
        if is_cut and self.timing_out:
            await asyncio.sleep(timeout_s)
            raise http1.NoConnectionError("timed out", remedy="-")
        refused = ConnectionRefusedError("refused")
        raise http1.NoConnectionError("refused", remedy="-") from refused

    def lost_connects(self, since: float, until: float) -> list[Connect]:
        """Return the callers' attempts that failed to connect in a time."""
        return [
            one
            for one in self.connects
            if one.for_request and not one.made and since <= one.at < until
        ]

    def sends_to(
        self, domain: str, since: float, until: float
    ) -> list[crash_rig.Send]:
        """Return the requests that the servers of a domain got in a time."""
        names = {
            one.name
            for one in self.servers
            if DOMAINS[one.index % len(DOMAINS)] == domain
        }
        return [
            one
            for one in self.sends
            if since <= one.at < until and one.server in names
        ]


def all_pairs(domain: str) -> list[tuple[str, str]]:
    """Return the pairs of a domain with each other one."""
    return [(domain, one) for one in DOMAINS if one != domain]


def every_pair() -> list[tuple[str, str]]:
    """Return all pairs, each domain with itself included."""
    return list(itertools.combinations_with_replacement(DOMAINS, 2))
