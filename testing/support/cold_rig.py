# SPDX-License-Identifier: Apache-2.0
"""Simulated fleet whose servers are cold after a start, in virtual time."""

import asyncio
import bisect
import collections
import dataclasses

import crash_rig
import edge_rig
import msgspec

#: How long a server is cold, and the requests a second that it takes then.
COLD_S = 3.0
COLD_PER_S = 23.0
OVERSHOOT = 1.5
SLACK = 5.0
#: Time between two entries that a server writes.
_ENTRY_INTERVAL_S = 1.2
#: Run time of a request: six slots run 100 requests a second.
_REQUEST_S = 0.06
#: Length of the intervals in which requests to a cold server are counted.
_WINDOW_S = 1.0


def allowed_requests(per_s: float = COLD_PER_S) -> float:
    """Return the requests that a cold server may get in any second."""
    return per_s * OVERSHOOT + SLACK


@dataclasses.dataclass(frozen=True)
class ColdRequest:
    """A request that reached a cold server.

    :param at: virtual time, in seconds.
    :param node: edge process that sent it.
    :param server: id of the server's life.
    """

    at: float
    node: str
    server: str


def most_in_window(requests: list[ColdRequest]) -> int:
    """Return the most requests that one server got in any second."""
    by_server: dict[str, list[float]] = collections.defaultdict(list)
    for one in requests:
        by_server[one.server].append(one.at)
    most = 0
    for times in by_server.values():
        times.sort()
        for index, at in enumerate(times):
            end = bisect.bisect_left(times, at + _WINDOW_S)
            most = max(most, end - index)
    return most


class Fleet(crash_rig.Fleet):
    """Edge processes in three failure domains, and servers in the same ones.

    :param servers: number of servers; the first of them are in ``d0``.
    :param per_s: requests a second that a cold server takes; 0 for no limit.
    :ivar cold: requests that reached cold servers.
    :ivar tells_entries: whether entries say that a server is cold.
    :ivar tells_answers: whether answers say so.
    """

    bounds = msgspec.structs.replace(
        edge_rig.BOUNDS, cold_overshoot=OVERSHOOT, cold_slack=SLACK
    )

    def __init__(
        self,
        monkeypatch,
        *domains: int,
        servers: int,
        seed: int = 1,
        per_s: float = COLD_PER_S,
    ) -> None:
        self._domain_count = len(domains)
        self._server_count = servers
        self._cold_until: dict[int, float] = {}
        self.cold: list[ColdRequest] = []
        self.tells_entries = True
        self.tells_answers = True
        super().__init__(
            monkeypatch,
            *domains,
            servers=servers,
            seed=seed,
            service={"cold_s": COLD_S, "cold_per_s": per_s},
        )

    def run_s(self, body: bytes) -> float:
        del body
        return _REQUEST_S

    def domain_of(self, server: crash_rig.Server) -> str:
        return f"d{server.index * self._domain_count // self._server_count}"

    def in_domain(self, domain: str) -> list[crash_rig.Server]:
        """Return the servers of a failure domain."""
        return [one for one in self.servers if self.domain_of(one) == domain]

    def cold_left_s(self, server: crash_rig.Server) -> float:
        """Return how much longer a server is cold; 0 if it is not."""
        until = self._cold_until.get(server.index, 0.0)
        return max(0.0, until - _now())

    def entry_fields(self, server: crash_rig.Server) -> dict[str, object]:
        left_s = self.cold_left_s(server) if self.tells_entries else 0.0
        return {"cold_ms": left_s * 1000.0}

    def extra_headers(
        self, server: crash_rig.Server
    ) -> list[tuple[bytes, bytes]]:
        left_ms = round(self.cold_left_s(server) * 1000.0)
        if not self.tells_answers:
            return []
        return [(b"cold-milliseconds", b"%d" % left_ms)]

    def record_received(self, body: bytes, server: crash_rig.Server) -> None:
        del body
        if self.cold_left_s(server):
            node = crash_rig.current_node.get()
            self.cold.append(ColdRequest(_now(), node, server.name))

    def _start_server(self, server: crash_rig.Server) -> None:
        """Start a server; it is cold if the fleet is running already."""
        if not _now():
            super()._start_server(server)
            return
        self._cold_until[server.index] = _now() + COLD_S
        super()._start_server(server)
        asyncio.get_running_loop().call_later(
            _ENTRY_INTERVAL_S, self._write_entries, server, server.name
        )

    def chill(self, server: crash_rig.Server) -> None:
        """Make a running server cold, and let it write its entries."""
        self._cold_until[server.index] = _now() + COLD_S
        self._write_entries(server, server.name)

    def _write_entries(self, server: crash_rig.Server, name: str) -> None:
        if server.name != name or not server.up:
            return
        self.write_entry(server)
        if self.cold_left_s(server):
            asyncio.get_running_loop().call_later(
                _ENTRY_INTERVAL_S, self._write_entries, server, name
            )


def _now() -> float:
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return 0.0
