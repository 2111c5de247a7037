# SPDX-License-Identifier: Apache-2.0
"""State sync of a fleet of edge processes, in virtual time, without sockets.

Each process consists of its :class:`~lugcross.edge.state_sync.StateSync` and
its followers of the store. Heartbeats and state requests are passed to the
peer by function calls.
"""

import asyncio
import json
import random

import edge_rig
import silent_store
import virtual_time

from lugcross.edge import app
from lugcross.edge import domain_prober
from lugcross.edge import edge_state as edge_state_lib
from lugcross.edge import messages
from lugcross.edge import settings as settings_lib
from lugcross.edge import state_sync as state_sync_lib
from lugcross.edge import state_transfer
from lugcross.edge import store_followers
from lugcross import http1
from lugcross import ids
from lugcross import platform

#: Number of processes in each failure domain of a small fleet.
SMALL_FLEET = (3, 2, 2)
#: Time allowed to catch up once the store is reachable again.
STORE_RECOVERY_S = edge_rig.BOUNDS.store_recovery_time.total_seconds()
#: Latency from one process to another.
_ONE_WAY_DELAY_S = 0.001
#: Bandwidth of the link of a host: 20 Mbit/s.
_LINK_BYTES_PER_S = 2.5e6
_PEERS_PORT = 9
_STATE_PORT = 8


def _seeded_token() -> str:
    """Return a token from the random generator that the test has seeded."""
    return f"{random.getrandbits(64):016x}"


def desired_record(version: int, *, routes: int = 0) -> bytes:
    """Return a desired-state record.

    :param routes: number of its routes; a tenth of them differ from those of
        all other versions.
    """
    limits = dict.fromkeys(
        ("header_bytes", "body_bytes", "header_ms", "idle_ms"), 1
    )
    return json.dumps(
        {
            "version": version,
            "routes": [_route(num, version) for num in range(routes)],
            "services": [],
            "limits": limits,
        }
    ).encode()


def _route(num: int, version: int) -> dict[str, object]:
    """Return a route of a record; every tenth depends on the version."""
    rng = random.Random(num if num % 10 else num + version * 10_000)
    return {
        "name": f"{rng.getrandbits(48):012x}",
        "host": f"{rng.getrandbits(48):012x}.example",
        "path_prefix": f"/{rng.getrandbits(64):016x}/",
        "kind": "safe",
        "service": f"{rng.getrandbits(48):012x}",
        "timeout_ms": 8000,
        "latency_target_ms": 400,
        "attempts": 2,
        "priority": 1,
    }


class Node:
    """One process of the fleet."""

    def __init__(self, fleet: "Fleet", name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.fleet = fleet
        #: Host name by which this process connects to the store.
        self.store_host = f"store-of-{name}"
        listen = settings_lib.Listen(
            callers=f"{name}:0",
            ready=f"{name}:0",
            state=f"{name}:{_STATE_PORT}",
            peers=f"{name}:{_PEERS_PORT}",
        )
        settings = settings_lib.Settings(
            node=name,
            domain=domain,
            listen=listen,
            store=settings_lib.Store(
                address=f"{self.store_host}:1", form="log"
            ),
            bounds=fleet.bounds,
        )
        clock = virtual_time.LoopClock()
        rng = random.Random(name)
        self.edge_state = edge_state_lib.EdgeState(
            settings, clock=clock, rng=rng
        )
        self.store = platform.StoreClient(
            f"{self.store_host}:1", timeout=app.STORE_TIMEOUT
        )
        self.state_sync = state_sync_lib.StateSync(
            settings, self.edge_state, self.store, clock=clock, rng=rng
        )
        self.state_sync.peers.connection_made(self)

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        """Deliver a datagram; stands in for the UDP transport."""
        peer = self.fleet.nodes.get(to[0])
        if peer is not None and not {self.name, to[0]} & self.fleet.cut_nodes:
            origin = (self.name, _PEERS_PORT)
            asyncio.get_running_loop().call_later(
                _ONE_WAY_DELAY_S,
                peer.state_sync.peers.datagram_received,
                data,
                origin,
            )

    async def run(self) -> None:
        """Keep in sync with the store and the peers until cancelled."""
        followers = store_followers.make_followers(
            self.store,
            self.edge_state,
            self.state_sync,
            clock=virtual_time.LoopClock(),
        )
        prober = domain_prober.DomainProber(
            self.edge_state.reachability, virtual_time.LoopClock()
        )
        await asyncio.gather(
            self.state_sync.run(),
            prober.run(),
            *(one.run() for one in followers),
        )

    def start(self) -> None:
        """Start to run in the background."""
        self._task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop at once, as if killed."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    @property
    def version(self) -> int:
        """Version of the desired state in force; 0 while there is none."""
        return (
            self.edge_state.desired.version if self.edge_state.desired else 0
        )


class Fleet:
    """Edge processes in failure domains, with a store that can stop answering.

    :param domains: number of processes in each failure domain.
    :ivar bounds: limits in the settings of all processes.
    :ivar nodes: the processes by name, ``n<domain>-<number>``.
    """

    bounds = edge_rig.BOUNDS

    def __init__(self, monkeypatch, *domains: int) -> None:
        # Which processes read the store depends on the tokens, so make them
        # the same in every run.
        monkeypatch.setattr(ids, "new_token", _seeded_token)
        self.store = silent_store.SilentStore()
        self.nodes = {
            f"n{domain}-{number}": Node(
                self, f"n{domain}-{number}", f"d{domain}"
            )
            for domain, count in enumerate(domains)
            for number in range(count)
        }
        #: Names of processes that reach neither peers nor the store.
        self.cut_nodes: set[str] = set()
        #: Names of processes that run an old build.
        self.old_nodes: set[str] = set()
        #: Loop time until which the link of a process is in use.
        self._link_busy_until: dict[str, float] = {}
        monkeypatch.setattr(http1, "connect", self.store.connect)
        monkeypatch.setattr(
            state_transfer, "request_state", self._request_state
        )

    def put_desired(self, version: int, *, routes: int = 0) -> None:
        """Write a desired state to the store, as the operator does."""
        self.store.standin.append(
            platform.OPERATOR_TOPIC,
            platform.DESIRED_STATE_KEY,
            desired_record(version, routes=routes),
        )

    def start(self) -> None:
        """Start all processes."""
        for node in self.nodes.values():
            node.start()

    async def stop(self) -> None:
        """Stop all processes."""
        for node in self.nodes.values():
            await node.stop()

    async def restart(self, name: str) -> None:
        """Kill a process and start a new one of that name, without state."""
        old = self.nodes[name]
        await old.stop()
        self.nodes[name] = Node(self, name, old.domain)
        self.nodes[name].start()

    def cut_off(self, name: str) -> None:
        """Cut a process off from peers and the store.

        Its open connections to the store stay silent even after
        :meth:`reconnect`.
        """
        self.cut_nodes.add(name)
        self.store.unreachable_hosts.add(self.nodes[name].store_host)
        self.store.silence_connections(self.nodes[name].store_host)

    def reconnect(self, name: str) -> None:
        """End what :meth:`cut_off` began."""
        self.cut_nodes.discard(name)
        self.store.unreachable_hosts.discard(self.nodes[name].store_host)

    def saturate_link(self, name: str, seconds: float) -> None:
        """Use the whole bandwidth of a process's link for some time."""
        now = asyncio.get_running_loop().time()
        self._link_busy_until[name] = now + seconds

    def cut_off_from_store(self, name: str) -> None:
        """Cut a process off from the store, but not from its peers."""
        self.store.unreachable_hosts.add(self.nodes[name].store_host)
        self.store.silence_connections(self.nodes[name].store_host)

    def nodes_behind(self, version: int) -> list[str]:
        """Return the processes whose desired state is older than a version."""
        return [
            node.name for node in self.nodes.values() if node.version < version
        ]

    async def _request_state(
        self, host: str, port: int, req: messages.StateRequest
    ) -> messages.StateResponse | None:
        """Stand in for :func:`state_transfer.request_state`."""
        assert port == _STATE_PORT
        try:
            async with asyncio.timeout(state_transfer.REQUEST_TIMEOUT_S):
                await asyncio.sleep(2 * _ONE_WAY_DELAY_S)
                if host in self.cut_nodes:
                    await asyncio.Event().wait()
                data = messages.encode(
                    self.nodes[host].state_sync.peer_sync.respond(req)
                )
                await self._transmit(host, len(data))
                return messages.decode_state_response(data)
        except TimeoutError:
            return None

    async def _transmit(self, host: str, size: int) -> None:
        """Wait until the link of a process has carried ``size`` bytes."""
        now = asyncio.get_running_loop().time()
        begun = max(now, self._link_busy_until.get(host, 0.0))
        self._link_busy_until[host] = end = begun + size / _LINK_BYTES_PER_S
        await asyncio.sleep(end - now)
