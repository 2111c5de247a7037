# SPDX-License-Identifier: Apache-2.0
"""What the processes of a fleet know, in virtual time and without sockets.

Each process is its :class:`~lugcross.edge.knowledge.Knowledge` with the
followers of the store; datagrams and questions go straight to the peer.
"""

import asyncio
import json
import random

import edge_rig
import silent_store
import virtual_time

from lugcross.edge import app
from lugcross.edge import knowledge as knowledge_lib
from lugcross.edge import messages
from lugcross.edge import questions
from lugcross.edge import settings as settings_lib
from lugcross.edge import sources
from lugcross.edge import world as world_lib
from lugcross import http1
from lugcross import ids
from lugcross import platform

#: Processes of each failure domain of a small fleet.
DOMAINS = (3, 2, 2)
#: Time after which the store counts as sound again, in seconds.
CONTACT_S = edge_rig.BOUNDS.contact.total_seconds()
#: One way between two processes, in seconds.
_WAY_S = 0.001
#: Bytes that a process's link carries each second: 20 Mbit/s.
_LINK_BYTES = 2.5e6
_PEERS_PORT = 9
_STATE_PORT = 8


def _token() -> str:
    """Return a token drawn from the generator that a test has seeded."""
    return f"{random.getrandbits(64):016x}"


def state(version: int, *, routes: int = 0) -> bytes:
    """Return the record of a desired state.

    :param routes: how many it has; a tenth of them have names that only this
        version knows.
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
    """Return a route as the operator writes it; every tenth is new."""
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
        #: Name by which this process calls the store.
        self.way = f"store-of-{name}"
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
            store=settings_lib.Store(address=f"{self.way}:1", form="log"),
            bounds=edge_rig.BOUNDS,
        )
        clock = virtual_time.LoopClock()
        rng = random.Random(name)
        self.world = world_lib.World(settings, clock=clock, rng=rng)
        self.store = platform.StoreClient(
            f"{self.way}:1", timeout=app.STORE_TIMEOUT
        )
        self.knowledge = knowledge_lib.Knowledge(
            settings, self.world, self.store, clock=clock, rng=rng
        )
        self.knowledge.peers.connection_made(self)

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        """Take the place of the socket for datagrams."""
        peer = self.fleet.nodes.get(to[0])
        if peer is not None and not {self.name, to[0]} & self.fleet.cut:
            origin = (self.name, _PEERS_PORT)
            asyncio.get_running_loop().call_later(
                _WAY_S, peer.knowledge.peers.datagram_received, data, origin
            )

    async def run(self) -> None:
        """Follow the store and the peers until cancelled."""
        followers = sources.followers(self.store, self.world, self.knowledge)
        await asyncio.gather(
            self.knowledge.run(), *(one.run() for one in followers)
        )

    def start(self) -> None:
        """Run until stopped."""
        self._task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """End at once, as if killed."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    @property
    def version(self) -> int:
        """Version of the desired state that is in force here."""
        return self.world.desired.version if self.world.desired else 0


class Fleet:
    """Processes in failure domains, before a store that may be silent.

    :param domains: how many processes each failure domain has.
    """

    def __init__(self, monkeypatch, *domains: int) -> None:
        # Tokens decide who reads the store: the same ones on every run.
        monkeypatch.setattr(ids, "new_token", _token)
        self.store = silent_store.SilentStore()
        self.nodes = {
            f"n{domain}-{number}": Node(
                self, f"n{domain}-{number}", f"d{domain}"
            )
            for domain, count in enumerate(domains)
            for number in range(count)
        }
        #: Processes that are cut off from peers and store.
        self.cut: set[str] = set()
        #: Until when the link of a process is taken, in seconds.
        self._link_until: dict[str, float] = {}
        monkeypatch.setattr(http1, "connect", self.store.connect)
        monkeypatch.setattr(questions, "ask", self._ask)

    def change(self, version: int, *, routes: int = 0) -> None:
        """Let the store accept a desired state."""
        self.store.standin.append(
            platform.OPERATOR_TOPIC,
            platform.DESIRED_STATE_KEY,
            state(version, routes=routes),
        )

    def start(self) -> None:
        """Start all processes."""
        for node in self.nodes.values():
            node.start()

    async def stop(self) -> None:
        """End all processes."""
        for node in self.nodes.values():
            await node.stop()

    async def restart(self, name: str) -> None:
        """Kill a process and start it again, knowing nothing."""
        old = self.nodes[name]
        await old.stop()
        self.nodes[name] = Node(self, name, old.domain)
        self.nodes[name].start()

    def cut_off(self, name: str) -> None:
        """Cut a process off; what it has open stays silent for good."""
        self.cut.add(name)
        self.store.unreachable.add(self.nodes[name].way)
        self.store.silence_connections(self.nodes[name].way)

    def reach_again(self, name: str) -> None:
        """End a cut."""
        self.cut.discard(name)
        self.store.unreachable.discard(self.nodes[name].way)

    def choke(self, name: str, seconds: float) -> None:
        """Let others have all of a process's link for some time."""
        now = asyncio.get_running_loop().time()
        self._link_until[name] = now + seconds

    def turn_away(self, name: str) -> None:
        """Keep the store from a process that reaches all others."""
        self.store.unreachable.add(self.nodes[name].way)
        self.store.silence_connections(self.nodes[name].way)

    def behind(self, version: int) -> list[str]:
        """Return the processes where ``version`` is not in force."""
        return [
            node.name for node in self.nodes.values() if node.version < version
        ]

    async def _ask(
        self, host: str, port: int, question: messages.Ask
    ) -> messages.State | None:
        """Take the place of the question over a WebSocket."""
        assert port == _STATE_PORT
        try:
            async with asyncio.timeout(questions.ASK_S):
                await asyncio.sleep(2 * _WAY_S)
                if host in self.cut:
                    await asyncio.Event().wait()
                data = messages.encode(
                    self.nodes[host].knowledge.news.answer(question)
                )
                await self._sent(host, len(data))
                return messages.decode_state(data)
        except TimeoutError:
            return None

    async def _sent(self, host: str, size: int) -> None:
        """Return once the link of a process has carried some bytes."""
        now = asyncio.get_running_loop().time()
        begun = max(now, self._link_until.get(host, 0.0))
        self._link_until[host] = end = begun + size / _LINK_BYTES
        await asyncio.sleep(end - now)
