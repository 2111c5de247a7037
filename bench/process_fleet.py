# SPDX-License-Identifier: Apache-2.0
"""Runs a fleet of real processes for benchmarks and tests."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import concurrent.futures
import contextlib
import functools
import hashlib
import json
import os
import pathlib
import queue
import signal
import subprocess
import sys
import threading
import time
from typing import Any
from typing import final

import msgspec
import urllib3
import yaml

import tcp_relay

from lugcross import cfg
from lugcross import demo
from lugcross import logservice
from lugcross import rpc
from lugcross import standin
from lugcross import wire

HOST = "127.0.0.1"
MODEL = "moe"
LEDGER = "ledger"
SECRET = "a secret of this bench only"
TOKEN = "operator-of-this-bench"
VIEWER_TOKEN = "viewer-of-this-bench"

#: Generous, as a start takes much longer on a loaded machine.
_START_TIMEOUT_S = 60.0
_POLL_S = 0.02
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@final
class Process:
    """A lugcross process whose log is collected.

    :ivar log: parsed log lines; other output is a line with ``text``.
    :ivar ports: ports that it listens on, by the name in its log.
    """

    def __init__(self, name: str, args: list[str]) -> None:
        self.name = name
        self.args = args
        self._popen: subprocess.Popen[str] | None = None
        self._lines: queue.SimpleQueue[dict[str, Any]] = queue.SimpleQueue()
        self.log: list[dict[str, Any]] = []
        self.ports: dict[str, int] = {}

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._popen is not None
        return self._popen.pid

    def start(self, *ports: str) -> "Process":
        """Start, and wait until it listens on each of the named ports."""
        self.ports = {}
        self._popen = subprocess.Popen(
            [sys.executable, "-m", "lugcross", *self.args],
            stderr=subprocess.PIPE,
            stdin=subprocess.DEVNULL,
            text=True,
        )
        threading.Thread(target=self._read, daemon=True).start()
        until = time.monotonic() + _START_TIMEOUT_S
        while not set(ports) <= set(self.ports):
            line = self.next_log_line(until - time.monotonic())
            if line["message"] == "listening":
                self.ports[line["what"]] = line["port"]
        return self

    def next_log_line(self, timeout: float) -> dict[str, Any]:
        """Return the next log line that was not returned before.

        :raises RuntimeError: with the last lines, when none comes in time.
        """
        try:
            return self._lines.get(timeout=max(0.0, timeout))
        except queue.Empty:
            raise RuntimeError(
                f"{self.name}: no log line in time; last: {self.log[-5:]}"
            ) from None

    def wait_for_log_line(
        self, message: str, timeout: float = 20.0
    ) -> dict[str, Any]:
        """Return the next log line with that message, and skip others."""
        until = time.monotonic() + timeout
        while True:
            line = self.next_log_line(until - time.monotonic())
            if line["message"] == message:
                return line

    def signal(self, num: signal.Signals) -> None:
        """Send a signal."""
        assert self._popen is not None
        self._popen.send_signal(num)

    def wait(self, timeout: float = 60.0) -> int:
        """Wait for its end and return its exit status."""
        assert self._popen is not None
        return self._popen.wait(timeout)

    def stop(self) -> int:
        """Stop it by SIGTERM and return its exit status."""
        if self._popen is None or self._popen.poll() is not None:
            return 0
        self.signal(signal.SIGTERM)
        try:
            return self.wait()
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def kill(self) -> None:
        """Kill it and wait for its end."""
        assert self._popen is not None
        self._popen.kill()
        self._popen.wait()

    def cpu_s(self) -> float:
        """Return its processor time, in seconds."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def threads_cpu_s(self) -> float:
        """Return the time of its current threads, finer than ``cpu_s``."""
        tasks = pathlib.Path(f"/proc/{self.pid}/task").iterdir()
        stats = [(task / "schedstat").read_text() for task in tasks]
        return sum(int(text.split()[0]) for text in stats) / 1e9

    def rss_bytes(self) -> int:
        """Return its resident memory."""
        statm = pathlib.Path(f"/proc/{self.pid}/statm").read_text()
        return int(statm.split()[1]) * _PAGE_BYTES

    def _read(self) -> None:
        assert self._popen is not None and self._popen.stderr is not None
        for text in self._popen.stderr:
            try:
                line = json.loads(text)
            except ValueError:
                line = {"message": "", "text": text.rstrip()}
            self.log.append(line)
            self._lines.put(line)


def wait_until(
    check: Callable[[], bool], *, timeout: float = 20.0, what: str
) -> None:
    """Poll until ``check`` returns true.

    :raises RuntimeError: with ``what``, after ``timeout`` seconds.
    """
    until = time.monotonic() + timeout
    while not check():
        if time.monotonic() > until:
            raise RuntimeError(f"timed out after {timeout} s: {what}")
        time.sleep(_POLL_S)


@final
class Fleet:
    """Platform stand-ins, engines, agents and entry hosts as processes.

    :param folder: where settings files are written.
    :param domains: number of failure domains.
    :param entries: entry hosts in each domain.
    :param engines: model engines, each with its agent, in each domain.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        domains: int = 1,
        entries: int = 1,
        engines: int = 1,
        step_s: float = 0.005,
        capacity: int = 16,
        notice_s: float = 0.3,
        traces: bool = False,
        threads: int = 64,
        relays: bool = False,
        grace_s: float = 20.0,
        resumable: bool = False,
    ) -> None:
        self._folder = folder
        self._domains = [f"d{num}" for num in range(domains)]
        self._entry_count = entries
        self._engines = engines
        self._step_s = step_s
        self._capacity = capacity
        self._notice_s = notice_s
        self._traces = traces
        self._threads = threads
        self._grace_s = grace_s
        self._resumable = resumable
        self._relay_loop = wire.LoopThread(name="relays") if relays else None
        if self._relay_loop:
            self._relay_loop.start()
        self.relays: dict[str, tcp_relay.Relay] = {}
        self.key = cfg.new_key()
        self.timeout_s = 60.0
        self.http = urllib3.PoolManager(retries=False, maxsize=128)
        # These calls are idempotent, so they are repeated when a kept
        # connection turns out to be closed.
        self.control_http = urllib3.PoolManager(
            retries=urllib3.Retry(5, allowed_methods=None), maxsize=64
        )
        self.standins: dict[str, Process] = {}
        self.agents: dict[str, Process] = {}
        self.entries: dict[str, Process] = {}
        self._backends: dict[str, cfg.BackendServer] = {}

    def start(self) -> "Fleet":
        """Start all processes and publish the configuration."""
        models = [(d, n) for d in self._domains for n in range(self._engines)]
        entries = [
            (d, n) for d in self._domains for n in range(self._entry_count)
        ]
        self._run_concurrently(
            lambda: self._start_standin("log", "log", "--rate", "1000"),
            lambda: self._start_standin("hosts", "hosts", "--lag", "1"),
            lambda: self._start_standin("ledger", "service"),
            *(functools.partial(self._start_engine, *one) for one in models),
        )
        self._run_concurrently(
            *(
                functools.partial(self._start_model_agent, *one)
                for one in models
            ),
            *(
                functools.partial(self._start_plain_agent, d)
                for d in self._domains
            ),
        )
        self._run_concurrently(
            *(
                functools.partial(self.add_entry, d, f"entry-{d}-{n}")
                for d, n in entries
            )
        )
        # Sorted, as they started in any order, and tests that take the
        # first one must get the same one in every run.
        self.standins = dict(sorted(self.standins.items()))
        self.agents = dict(sorted(self.agents.items()))
        self.entries = dict(sorted(self.entries.items()))
        self.publish(self.config_objects())
        self.wait_linked()
        return self

    def _run_concurrently(self, *starts: Callable[[], object]) -> None:
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            for fut in [pool.submit(start) for start in starts]:
                fut.result()

    def stop(self) -> None:
        """Stop all processes that still run."""
        every = [*self.entries.values(), *self.agents.values()]
        for process in [*every, *self.standins.values()]:
            with contextlib.suppress(ProcessLookupError):
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGTERM)
        for process in [*every, *self.standins.values()]:
            process.stop()

    def url(self, entry: str) -> str:
        """Return the base URL of an entry host."""
        return f"http://{HOST}:{self.entries[entry].ports['http']}"

    def urls(self) -> list[str]:
        """Return the base URLs of the entry hosts that have started."""
        return [
            f"http://{HOST}:{ports['http']}"
            for ports in [one.ports for one in self.entries.values()]
            if "http" in ports
        ]

    def standin_url(self, name: str) -> str:
        """Return the base URL of a stand-in."""
        return f"http://{HOST}:{self.standins[name].ports['http']}"

    @contextlib.contextmanager
    def operator(
        self, entry: str = "", *, token: str = TOKEN
    ) -> Iterator[rpc.OperatorClient]:
        """Open an operator client to an entry host, by default the first."""
        name = entry or next(iter(self.entries))
        target = f"{HOST}:{self.entries[name].ports['rpc']}"
        client = rpc.OperatorClient(target, token)
        try:
            yield client
        finally:
            client.close()

    def set_host_state(self, name: str, state: logservice.HostState) -> None:
        """Set the state of a host in the platform's list, which lags."""
        host = logservice.Host(name=name, domain="", state=state)
        self.control_http.request(
            "POST",
            f"{self.standin_url('hosts')}/hosts",
            body=msgspec.json.encode(host),
        )

    def set_faults(self, name: str, **switches: Any) -> None:
        """Set the faults of a stand-in, and clear all others."""
        body = msgspec.json.encode(standin.Faults(**switches))
        url = f"{self.standin_url(name)}{standin.FAULTS_PATH}"
        self.control_http.request("POST", url, body=body)

    def ledger_run_counts(self) -> dict[str, int]:
        """Return how often the plain service ran each request, by its key."""
        return self._run_counts("ledger")

    def model_run_counts(self) -> dict[str, int]:
        """Return how often the engines ran each request, by its id."""
        counts: collections.Counter[str] = collections.Counter()
        for name in self.standins:
            if name.startswith("engine"):
                counts.update(self._run_counts(name))
        return counts

    def engine_run_count(self, engine: str) -> int:
        """Return how many runs of requests one engine counted."""
        return sum(self._run_counts(engine).values())

    def _run_counts(self, name: str) -> dict[str, int]:
        url = f"{self.standin_url(name)}{standin.RUN_COUNTS_PATH}"
        counts: dict[str, int] = self.control_http.request("GET", url).json()
        return counts

    def publish(self, objects: list[cfg.Object]) -> None:
        """Publish objects that are not in the configuration yet."""
        with self.operator() as client:
            for obj in objects:
                client.put(obj, expect=0)

    def new_sender(self) -> demo.Sender:
        """Return a caller that uses the workspace key."""
        return demo.Sender(self.key, model_service=MODEL, plain_service=LEDGER)

    def config_objects(self) -> list[cfg.Object]:
        """Return the objects of this fleet's configuration."""
        return [
            cfg.WorkspaceGroup(name="g", share=1.0),
            cfg.Workspace(
                name="w", group="g", key_hashes=(cfg.hash_key(self.key),)
            ),
            cfg.Service(
                name=MODEL,
                type=cfg.ServiceType.MODEL,
                resumable=self._resumable,
                timeout_s=self.timeout_s,
            ),
            cfg.Service(
                name=LEDGER,
                type=cfg.ServiceType.PLAIN,
                repeatable=False,
                timeout_s=self.timeout_s,
            ),
            *self._backends.values(),
        ]

    def wait_linked(self) -> None:
        """Wait until every entry host has a link to every agent."""
        for name in self.entries:
            with self.operator(name) as client:
                wait_until(
                    lambda c=client: self._is_linked_to_all(c),
                    what=f"links of {name}",
                )

    def add_agent(
        self, domain: str, name: str, service: str, standin_name: str
    ) -> Process:
        """Start an agent that serves a stand-in."""
        settings = cfg.settings.Agent(
            **self._common_settings(domain, name),
            backend=name,
            link=cfg.settings.Address(host=HOST, port=0),
            services={service: self.standin_url(standin_name)},
        )
        process = self._new_daemon("agent", name, settings)
        self.agents[name] = process.start("links")
        self._backends[name] = cfg.BackendServer(
            name=name,
            domain=domain,
            host=HOST,
            port=self._published_port(name, process.ports["links"]),
            services=(service,),
            capacity=self._capacity,
        )
        # After a restart it must listen on the published port again.
        fixed = cfg.settings.Address(host=HOST, port=process.ports["links"])
        self._write_settings(
            name, msgspec.structs.replace(settings, link=fixed)
        )
        return process

    def _published_port(self, name: str, port: int) -> int:
        """Return the port by which entry hosts reach an agent."""
        if self._relay_loop is None:
            return port
        self.relays[name] = tcp_relay.Relay(self._relay_loop, HOST, port)
        return self.relays[name].port

    def add_entry(
        self, domain: str, name: str, *, isolated: bool = False
    ) -> Process:
        """Start an entry host.

        :param isolated: whether it can reach neither the log nor any agent.
        """
        operator = cfg.settings.Operator(
            name="bench",
            role=cfg.settings.Role.EDITOR,
            token_sha256=hashlib.sha256(TOKEN.encode()).hexdigest(),
        )
        viewer = cfg.settings.Operator(
            name="viewer",
            role=cfg.settings.Role.VIEWER,
            token_sha256=hashlib.sha256(VIEWER_TOKEN.encode()).hexdigest(),
        )
        settings = cfg.settings.Entry(
            **self._common_settings(domain, name),
            http=cfg.settings.Address(host=HOST, port=0),
            rpc=cfg.settings.Address(host=HOST, port=0),
            operators=(operator, viewer),
            notice_s=self._notice_s,
            threads=self._threads,
            seeds=tuple(
                cfg.settings.Address(host=HOST, port=link.port)
                for link in self._backends.values()
            ),
        )
        if isolated:
            nowhere = cfg.settings.Platform(log=f"http://{HOST}:9")
            settings = msgspec.structs.replace(
                settings, platform=nowhere, seeds=()
            )
        process = self._new_daemon("entry", name, settings)
        self.entries[name] = process.start("http", "rpc")
        return process

    def _is_linked_to_all(self, client: rpc.OperatorClient) -> bool:
        peers = client.status().peers
        return len(peers) == len(self.agents) and all(p.linked for p in peers)

    def _start_engine(self, domain: str, num: int) -> None:
        args = ["--step", str(self._step_s), "--batch", str(self._capacity)]
        traces = ["--traces"] if self._traces else []
        self._start_standin(f"engine-{domain}-{num}", "engine", *args, *traces)

    def _start_model_agent(self, domain: str, num: int) -> None:
        name = f"model-{domain}-{num}"
        self.add_agent(domain, name, MODEL, f"engine-{domain}-{num}")

    def _start_plain_agent(self, domain: str) -> None:
        self.add_agent(domain, f"plain-{domain}", LEDGER, "ledger")

    def _start_standin(self, name: str, kind: str, *args: str) -> None:
        process = Process(name, ["standin", "--name", name, kind, *args])
        self.standins[name] = process.start("http")

    def _new_daemon(
        self, program: str, name: str, settings: cfg.settings.Daemon
    ) -> Process:
        path = self._write_settings(name, settings)
        return Process(name, [program, str(path)])

    def _write_settings(
        self, name: str, settings: cfg.settings.Daemon
    ) -> pathlib.Path:
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(msgspec.to_builtins(settings)))
        return path

    def _common_settings(self, domain: str, name: str) -> dict[str, Any]:
        exporter = (
            cfg.settings.Exporter.LOG
            if self._traces
            else cfg.settings.Exporter.NONE
        )
        return {
            "node": cfg.settings.Node(name=name, domain=domain),
            "fleet": cfg.settings.Fleet(secret=SECRET),
            "platform": cfg.settings.Platform(
                log=self.standin_url("log"),
                hosts=self.standin_url("hosts"),
                timeout_s=2.0,
            ),
            "observe": cfg.settings.Observe(
                traces=cfg.settings.Traces(exporter=exporter)
            ),
            "grace_s": self._grace_s,
        }
