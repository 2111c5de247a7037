# SPDX-License-Identifier: Apache-2.0
"""A small fleet that runs in one process."""

import dataclasses
import hashlib
import time
from typing import final

from lugcross import agent as agent_lib
from lugcross import app as app_lib
from lugcross import cfg
from lugcross import clock as clock_lib
from lugcross import entry as entry_lib
from lugcross import errors
from lugcross import rpc
from lugcross import standin

HOST = "127.0.0.1"
MODEL_SERVICE = "small-moe"
PLAIN_SERVICE = "ledger"
DOMAINS = ("a", "b", "c")

_ENTRIES_PER_DOMAIN = 2
_ENGINES_PER_DOMAIN = 2
_ENGINE_MAX_BATCH = 4
# Slow enough that the engines are the bottleneck, as in a real fleet, and
# not the one Python process that runs all of it.
_ENGINE_STEP_S = 0.03
_ENTRY_THREADS = 32
_HOST_LIST_POLL_S = 5.0
_READY_TIMEOUT_S = 15.0
_READY_POLL_S = 0.05
_ANY_PORT = cfg.settings.Address(host=HOST, port=0)


@final
@dataclasses.dataclass(frozen=True)
class DemoGroup:
    """A workspace group of the demo, with one workspace.

    :param share: share of the group, relative to the other groups.
    :param callers: number of concurrent requests of the group.
    :param key: API key of the workspace.
    """

    name: str
    share: float
    callers: int
    key: str

    @property
    def workspace(self) -> str:
        """Name of the group's workspace."""
        return f"{self.name}-desk"


def demo_groups() -> tuple[DemoGroup, ...]:
    """Return the three groups, with new API keys."""
    return (
        DemoGroup("north", 3.0, 40, cfg.new_key()),
        DemoGroup("south", 2.0, 32, cfg.new_key()),
        DemoGroup("greedy", 1.0, 48, cfg.new_key()),
    )


@final
class Fleet:
    """Platform services, engines, agents and entry hosts of three domains.

    :ivar token: an operator's token.
    """

    def __init__(self) -> None:
        self.token = cfg.new_key()
        self.groups = demo_groups()
        self._clock = clock_lib.SystemClock()
        self._settings = _SettingsFactory(self.token)
        self._standins: list[standin.StandinServer] = []
        self._engines: list[standin.EngineStandin] = []
        self._apps: list[app_lib.Application] = []
        self.service = standin.ServiceStandin()
        self.log = standin.LogStandin()
        self.agents: list[agent_lib.Agent] = []
        self.entries: list[entry_lib.Entry] = []

    def start(self) -> None:
        """Start all parts, publish the configuration and wait until ready.

        :raises errors.LugcrossError: if the fleet is not ready in time.
        """
        self._settings.log = self._serve(self.log).url
        self._settings.hosts = self._serve(standin.HostsStandin()).url
        ledger = self._serve(self.service).url
        for domain in DOMAINS:
            self._start_domain(domain, ledger)
        self._publish()
        self._wait_ready()

    def stop(self) -> None:
        """Stop all parts; in each domain, entry hosts before agents."""
        for app in reversed(self._apps):
            app.drain()
            app.stop()
        for engine in self._engines:
            engine.stop()
        for server in self._standins:
            server.stop()

    @property
    def urls(self) -> list[str]:
        """Base URL of each entry host."""
        return [f"http://{HOST}:{entry.http_port}" for entry in self.entries]

    @property
    def rpc_target(self) -> str:
        """Address of one entry host's RPC server, as ``host:port``."""
        return f"{HOST}:{self.entries[0].rpc.port}"

    def client(self) -> rpc.OperatorClient:
        """Return an operator's RPC client, which the caller must close."""
        return rpc.OperatorClient(self.rpc_target, self.token)

    def _serve(self, app: standin.faults.WsgiApp) -> standin.StandinServer:
        server = standin.StandinServer(app, host=HOST, port=0)
        server.start()
        self._standins.append(server)
        return server

    def _start_domain(self, domain: str, ledger: str) -> None:
        for num in range(_ENGINES_PER_DOMAIN):
            engine = standin.EngineStandin(
                speed=standin.EngineSpeed(step_s=_ENGINE_STEP_S),
                max_batch=_ENGINE_MAX_BATCH,
            )
            server = self._serve(engine)
            engine.fault_injector = server.fault_injector
            engine.start()
            self._engines.append(engine)
            self._start_agent(
                domain, f"model-{domain}{num}", MODEL_SERVICE, server.url
            )
        self._start_agent(domain, f"plain-{domain}", PLAIN_SERVICE, ledger)
        for num in range(_ENTRIES_PER_DOMAIN):
            self._start_entry(domain, f"entry-{domain}{num}")

    def _start_agent(
        self, domain: str, name: str, service: str, url: str
    ) -> None:
        settings = self._settings.agent(domain, name, service, url)
        agent = agent_lib.Agent(settings, clock=self._clock)
        self._start(agent.application())
        self.agents.append(agent)

    def _start_entry(self, domain: str, name: str) -> None:
        settings = self._settings.entry(domain, name)
        entry = entry_lib.Entry(settings, clock=self._clock)
        self._start(entry.application())
        self.entries.append(entry)

    def _start(self, app: app_lib.Application) -> None:
        app.start()
        self._apps.append(app)

    def _publish(self) -> None:
        client = self.client()
        for obj in self._config_objects():
            client.put(obj, expect=0)
        client.close()

    def _config_objects(self) -> list[cfg.Object]:
        objects: list[cfg.Object] = [
            cfg.Service(name=MODEL_SERVICE, type=cfg.ServiceType.MODEL),
            cfg.Service(
                name=PLAIN_SERVICE,
                type=cfg.ServiceType.PLAIN,
                repeatable=False,
            ),
        ]
        for group in self.groups:
            objects.append(
                cfg.WorkspaceGroup(name=group.name, share=group.share)
            )
            objects.append(
                cfg.Workspace(
                    name=group.workspace,
                    group=group.name,
                    key_hashes=(cfg.hash_key(group.key),),
                )
            )
        return objects + [
            agent.backend(_ENGINE_MAX_BATCH) for agent in self.agents
        ]

    def _wait_ready(self) -> None:
        deadline = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < deadline:
            unready = [entry.unready() for entry in self.entries]
            all_linked = all(
                peer.link
                for entry in self.entries
                for peer in entry.upstream.peers()
            )
            if not any(unready) and all_linked:
                return
            time.sleep(_READY_POLL_S)
        raise errors.LugcrossError(
            f"demo fleet was not ready within {_READY_TIMEOUT_S} s",
            remedy="check the log lines above",
        )


@final
class _SettingsFactory:
    """Creates the settings of the demo's agents and entry hosts.

    :ivar log: URL of the log service; set before any settings are created.
    :ivar hosts: URL of the host list; set before any settings are created.
    """

    def __init__(self, token: str) -> None:
        self.log = ""
        self.hosts = ""
        self._fleet = cfg.settings.Fleet(secret=cfg.new_key())
        self._operator = cfg.settings.Operator(
            name="demo",
            role=cfg.settings.Role.EDITOR,
            token_sha256=hashlib.sha256(token.encode()).hexdigest(),
        )

    def agent(
        self, domain: str, name: str, service: str, url: str
    ) -> cfg.settings.Agent:
        return cfg.settings.Agent(
            node=cfg.settings.Node(name=name, domain=domain),
            fleet=self._fleet,
            platform=self._platform(),
            backend=name,
            link=_ANY_PORT,
            services={service: url},
        )

    def entry(self, domain: str, name: str) -> cfg.settings.Entry:
        return cfg.settings.Entry(
            node=cfg.settings.Node(name=name, domain=domain),
            fleet=self._fleet,
            platform=self._platform(),
            http=_ANY_PORT,
            rpc=_ANY_PORT,
            operators=(self._operator,),
            threads=_ENTRY_THREADS,
            notice_s=0.1,
        )

    def _platform(self) -> cfg.settings.Platform:
        return cfg.settings.Platform(
            log=self.log, hosts=self.hosts, poll_s=_HOST_LIST_POLL_S
        )
