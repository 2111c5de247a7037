# SPDX-License-Identifier: Apache-2.0
"""Objects of the configuration, as operators publish them."""

import enum
import hashlib
from typing import ClassVar
from typing import final
from typing import NamedTuple

import msgspec

from lugcross import ids


class Kind(enum.Enum):
    """Kind of an object in the configuration."""

    GROUP = "group"
    WORKSPACE = "workspace"
    SERVICE = "service"
    BACKEND = "backend"
    MODEL_GROUP = "model-group"


class Ref(NamedTuple):
    """Name of one object in the configuration."""

    kind: Kind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.name}"


class ServiceType(enum.Enum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class OnceLogAway(enum.Enum):
    """What happens to keyed requests while the log is away.

    ``MEMORY`` serves them from the memory of the key's first backend
    server alone: one that is lost during the outage may let a repeat
    run twice.
    """

    REFUSE = "refuse"
    MEMORY = "memory"


class _Object(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind"):
    name: str

    KIND: ClassVar[Kind]

    @property
    def ref(self) -> Ref:
        """Reference under which the configuration keeps this object."""
        return Ref(self.KIND, self.name)


@final
class WorkspaceGroup(_Object, frozen=True, kw_only=True, tag="group"):
    """Rival organisation that is guaranteed a share of the fleet.

    :param share: weight against the other groups; above 0.
    :param priority: 0 to 9; orders work inside the share only.
    """

    KIND = Kind.GROUP
    share: float
    priority: int = 0


@final
class Workspace(_Object, frozen=True, kw_only=True, tag="workspace"):
    """One customer's space, reached by its keys.

    :param key_hashes: hex SHA-256 of each key; keys are never kept.
    :param max_inflight: requests in progress at one entry host;
        0 sets no limit.
    """

    KIND = Kind.WORKSPACE
    group: str
    key_hashes: tuple[str, ...] = ()
    max_inflight: int = 0


@final
class Service(_Object, frozen=True, kw_only=True, tag="service"):
    """Something callers can ask for: a model or a plain service.

    :param repeatable: whether running a request twice does no harm.
    :param timeout_s: longest time for a whole answer, in seconds.
    :param max_body: largest request body, in bytes.
    :param max_queue: requests that may wait at one backend server.
    :param resumable: whether another replica can go on with an answer
        in the middle.
    :param once_log_away: for keyed requests while the log is away.
    """

    KIND = Kind.SERVICE
    type: ServiceType
    repeatable: bool = True
    timeout_s: float = 60.0
    max_body: int = 1_048_576
    max_queue: int = 256
    resumable: bool = False
    once_log_away: OnceLogAway = OnceLogAway.REFUSE


@final
class BackendServer(_Object, frozen=True, kw_only=True, tag="backend"):
    """Host that serves requests, reached through its agent.

    :param host: IP number of its agent.
    :param port: TCP port of its agent.
    :param capacity: requests that it runs side by side.
    :param checks_orders: whether its engine checks the fence of orders.
    :param leaving: set by an operator; no new work is sent to it.
    """

    KIND = Kind.BACKEND
    domain: str
    host: str
    port: int
    services: tuple[str, ...] = ()
    capacity: int = 8
    checks_orders: bool = False
    leaving: bool = False


@final
class ModelGroup(_Object, frozen=True, kw_only=True, tag="model-group"):
    """Ranks that advance in lock-step on one expert map.

    :param ranks: backend server of each rank, in rank order.
    """

    KIND = Kind.MODEL_GROUP
    service: str
    ranks: tuple[str, ...] = ()
    experts: int = 128
    layers: int = 1


#: Any object of the configuration.
Object = WorkspaceGroup | Workspace | Service | BackendServer | ModelGroup


def hash_key(key: str) -> str:
    """Return what the configuration keeps of a workspace's key.

    A plain digest suffices because keys are random, never chosen.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def new_key() -> str:
    """Return a fresh workspace key."""
    return f"lc-{ids.new_token()}"


def with_leaving(backend: BackendServer, leaving: bool) -> BackendServer:
    """Return ``backend`` as leaving, or as back at work."""
    return msgspec.structs.replace(backend, leaving=leaving)
