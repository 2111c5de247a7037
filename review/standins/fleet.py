# SPDX-License-Identifier: Apache-2.0
"""The edge processes of a small deployment, and what a case writes down."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import time

ZONES = ("zone-a", "zone-b", "zone-c")
#: Bounds as on the sheet of the site obrador-comun.
BOUNDS = {
    "grace_s": 8,
    "drain_ms": 2000,
    "change_ms": 2000,
    "repeat_ratio": 0.2,
    "repeat_window_s": 10,
    "repeat_slack": 88,
    "contact_ms": 3000,
    "fenced": True,
}
_MEMORY_MB = 300


class Record:
    """The lines of record.txt, each with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._begun = time.monotonic()

    def __call__(self, line: str) -> None:
        at = time.monotonic() - self._begun
        self._file.write(f"{at:8.3f} {line}\n")
        self._file.flush()


class Fleet:
    """Edge processes, started as deploy/system.toml says.

    Each has a loopback address of its own, and all have the same ports.

    :param folder: temporary folder for settings and logs.
    :param store: address of the store.
    """

    def __init__(
        self, folder: pathlib.Path, store: str, *, processes: int
    ) -> None:
        self._folder = folder
        self._store = store
        self._procs: list[asyncio.subprocess.Process] = []
        self.addresses = [f"127.0.1.{num + 1}" for num in range(processes)]
        self._ports = _free_ports(self.addresses, 5)

    @property
    def callers_port(self) -> int:
        """The port for clients, at all addresses."""
        return self._ports[0]

    async def start(self) -> None:
        """Start all processes."""
        for num in range(len(self.addresses)):
            path = self._folder / f"front-{num}.yaml"
            path.write_text(json.dumps(self._settings(num)), encoding="utf-8")
            with (self._folder / f"front-{num}.log").open("wb") as log:
                proc = await asyncio.create_subprocess_exec(
                    "python3",
                    "-m",
                    "lugcross",
                    "edge",
                    env={**os.environ, "LUGCROSS_CONFIG": str(path)},
                    stdout=log,
                    stderr=log,
                )
            self._procs.append(proc)

    def _settings(self, num: int) -> dict:
        """Return settings as deploy/edge.yaml gives them."""
        callers, ready, state, peers, metrics = self._ports
        host = self.addresses[num]
        return {
            "node": f"front-{num}",
            "domain": ZONES[num % len(ZONES)],
            "listen": {
                "callers": f"{host}:{callers}",
                "ready": f"{host}:{ready}",
                "state": f"{host}:{state}",
                "peers": f"{host}:{peers}",
                "metrics": f"{host}:{metrics}",
            },
            "seeds": [f"{one}:{state}" for one in self.addresses[:3]],
            "store": {"address": self._store, "form": "log"},
            "bounds": BOUNDS,
            "memory_mb": _MEMORY_MB,
        }

    def check_running(self) -> None:
        """Raise an error if a process has ended."""
        if any(proc.returncode is not None for proc in self._procs):
            raise RuntimeError("an edge process has ended")

    async def stop(self) -> None:
        """End all processes; keep their logs if KEEP_LOGS names a folder."""
        for proc in self._procs:
            if proc.returncode is None:
                proc.send_signal(signal.SIGKILL)
        for proc in self._procs:
            await proc.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for path in self._folder.glob("*.log"):
                (pathlib.Path(kept) / path.name).write_bytes(path.read_bytes())


def _free_ports(addresses: list[str], count: int) -> list[int]:
    """Return ports that are free at all addresses."""
    found: list[int] = []
    while len(found) < count:
        socks = []
        try:
            port = 0
            for host in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    socks.append(sock)
                    sock.bind((host, port))
                    port = port or sock.getsockname()[1]
            if port not in found:
                found.append(port)
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
    return found
