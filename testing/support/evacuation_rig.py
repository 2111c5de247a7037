# SPDX-License-Identifier: Apache-2.0
"""Evacuations of a failure domain in a fleet under load, in virtual time."""

import asyncio
import dataclasses
import random

import crash_rig

from lugcross import platform

#: Half of them are in the failure domain ``d0``, the others in ``d1``.
SERVERS = 12
#: Requests a second; one domain's servers have room for them.
LOAD_PER_S = 24.0
#: Time until all processes know each other, the servers and the desired state.
SETTLED_S = 4.0
_WATCH_INTERVAL_S = 0.005


@dataclasses.dataclass(frozen=True)
class Received:
    """A request that was sent to a server, whether the server ran it or not.

    :param at: virtual time, in seconds.
    :param domain: failure domain of the server.
    """

    at: float
    domain: str
    body: bytes


class Fleet(crash_rig.Fleet):
    """A fleet whose operator evacuates failure domains of the servers.

    :ivar received: requests sent to servers, in order.
    :ivar lost_ratio: fraction of the datagrams between processes that is lost.
    :ivar connect_s: time that a new connection to a server takes.
    :ivar known_since: times since which processes know of an evacuation, by
        process and domain; see :meth:`watch`.
    """

    def __init__(self, monkeypatch, *domains: int, seed: int) -> None:
        super().__init__(monkeypatch, *domains, servers=SERVERS, seed=seed)
        self.seed = seed
        self.received: list[Received] = []
        self.lost_ratio = 0.0
        self.connect_s = 0.0
        self.known_since: dict[tuple[str, str], float] = {}
        self._loss_rng = random.Random(seed)
        for node in self.nodes.values():
            self._make_lossy(node)

    def _make_lossy(self, node) -> None:
        send = node.sendto

        def send_or_lose(data: bytes, to: tuple[str, int]) -> None:
            if self._loss_rng.random() >= self.lost_ratio:
                send(data, to)

        node.sendto = send_or_lose

    async def restart(self, name: str) -> None:
        """Restart an edge process whose settings name all peers as seeds."""
        await super().restart(name)
        self._make_lossy(self.nodes[name])
        for peer in self.nodes:
            if peer != name:
                self.nodes[name].state_sync.peers.add(f"{peer}:9")

    def write(self, domain: str, value: bytes = b"{}") -> float:
        """Write a record as the operator does; return the time.

        :param value: empty to withdraw the evacuation.
        """
        self.store.standin.append(
            platform.OPERATOR_TOPIC, f"evacuate/{domain}", value
        )
        return self.now()

    def withdraw(self, domain: str) -> float:
        """Withdraw an evacuation as the operator does; return the time."""
        return self.write(domain, b"")

    def now(self) -> float:
        """Return the virtual time, in seconds."""
        return asyncio.get_running_loop().time()

    async def _connect(self, host: str, port: int, *, timeout_s: float):
        conn = await super()._connect(host, port, timeout_s=timeout_s)
        server = self._by_host.get(host)
        if server is None:
            return conn
        await asyncio.sleep(self.connect_s)
        send = conn.send

        def record_and_send(method, target, headers, body):
            domain = f"d{server.index % 2}"
            self.received.append(Received(self.now(), domain, body))
            send(method, target, headers, body)

        conn.send = record_and_send
        return conn

    async def watch(self, domain: str) -> None:
        """Record when processes learn of an evacuation, until cancelled."""
        while True:
            for name, node in self.nodes.items():
                if domain in node.edge_state.evacuations.domains():
                    self.known_since.setdefault((name, domain), self.now())
            await asyncio.sleep(_WATCH_INTERVAL_S)

    def sent_to(
        self, domain: str, since: float, until: float = float("inf")
    ) -> list[float]:
        """Return the times of requests to servers of a domain."""
        return [
            one.at
            for one in self.received
            if since < one.at <= until and one.domain == domain
        ]

    def last_send(self, domain: str, since: float) -> float:
        """Return the seconds from ``since`` to the last send to a domain."""
        return max(self.sent_to(domain, since), default=since) - since

    def slowest_to_know(self, domain: str, since: float) -> float:
        """Return the seconds until all processes knew of an evacuation."""
        return max(
            self.known_since.get((name, domain), float("inf")) - since
            for name in self.nodes
        )
