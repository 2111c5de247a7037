# SPDX-License-Identifier: Apache-2.0
"""Decoders of the records that the operator and backend servers store.

The private structs mirror the platform's JSON; the public functions return
lugcross's own types.
"""

import datetime
import ipaddress
from typing import Annotated

import msgspec

from lugcross import address
from lugcross import desired
from lugcross import errors
from lugcross import evacuation
from lugcross import experts
from lugcross import ids
from lugcross.platform import store_answers

#: Topic to which the operator writes the desired state.
OPERATOR_TOPIC = "keyed.op"
#: Topic with the entry of each backend server.
BACKENDS_TOPIC = "keyed.servers"
#: Key of the desired state in the operator's topic.
DESIRED_STATE_KEY = "config"
#: Prefix of the keys of evacuations in the operator's topic; the name of the
#: failure domain follows.
_EVACUATION_KEY_PREFIX = "evacuate/"
#: Lugcross's own topic in which each process registers its address.
NODES_TOPIC = "keyed.lugcross.nodes"
#: Lugcross's own topic of leases.
LEASES_TOPIC = "keyed.lugcross.leases"
#: Lugcross's own topic of crash suspects: requests that are refused because
#: servers crashed while they ran them.
SUSPECTS_TOPIC = "keyed.lugcross.suspects"

_ROUTE_KINDS = {
    "safe": desired.RouteKind.SAFE,
    "unsafe": desired.RouteKind.UNSAFE,
    "streaming": desired.RouteKind.STREAM,
}
_BACKEND_STATES = {
    "ready": desired.BackendState.READY,
    "draining": desired.BackendState.LEAVING,
}
#: Latest start of a server that is accepted, in milliseconds since 1970. The
#: limit bounds the length of ids that contain the start.
_MAX_START_MS = 10**15
_MAX_PORT = 65_535
#: Raised for malformed records: invalid JSON or types, unknown enum names,
#: numbers too large for a time, or JSON nested too deeply.
_DECODE_ERRORS = (
    msgspec.DecodeError,
    KeyError,
    OverflowError,
    RecursionError,
    ValueError,
)
#: Longest time for which a server is taken for cold; a longer one is a
#: mistake, and must not make the whole record invalid.
_MAX_COLD_MS = 3_600_000.0
#: Converts expert sizes, in megabytes, to megabits, the unit of links.
_BITS_PER_BYTE = 8.0


class _WeightedService(msgspec.Struct):
    service: str
    weight: float = 0.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    latency_target_ms: float = 0.0
    service: str = ""
    split: list[_WeightedService] = []
    attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class _Engine(msgspec.Struct):
    """Engine of a service; :func:`_to_engine_spec` maps its fields."""

    slots: int = 1
    kv_cache_tokens: int = 0
    stride: int = 1
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 0.0
    report_lag_ms: float = 0.0
    link_mbps: float = 0.0
    sets: int = 0
    experts: int = 0
    places: int = 0
    spare: int = 0
    expert_mb: float = 0.0
    expert_share: float = 0.0


class _Service(msgspec.Struct):
    """Service.

    :param cold_s: how long its servers are cold, in seconds.
    :param cold_per_s: requests a second that a cold server can handle; 0 for
        no limit.
    """

    name: str
    health_path: str = "/health"
    connection_limit: int = 0
    engine: _Engine | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct):
    header_bytes: int
    body_bytes: int
    header_ms: float
    idle_ms: float


class _Workspace(msgspec.Struct):
    """Workspace with its API keys; the platform calls it a tenant."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _DesiredState(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Workspace] | None = None


_Count = Annotated[int, msgspec.Meta(ge=0)]
_Name = Annotated[str, msgspec.Meta(min_length=1)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class _Backend(msgspec.Struct):
    """Entry of a backend server; one that lacks a required field is invalid.

    :param version: version of the server's software.
    :param cold_ms: how much longer the server is cold, in milliseconds, as of
        the writing of the entry.
    :param sequence: number of heartbeats that the server has sent.
    :param born: start of the server, in milliseconds since 1970.
    """

    service: _Name
    address: str
    zone: _Name
    version: str
    slots: _Slots
    state: str
    cold_ms: Annotated[float, msgspec.Meta(ge=0)]
    sequence: _Count
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_START_MS)] | None = None


def decode_desired(data: bytes) -> desired.DesiredState:
    """Decode a desired state that the operator has stored.

    :raises errors.ChangeError: when it is invalid.
    """
    try:
        raw = msgspec.json.decode(data, type=_DesiredState)
        return _to_desired_state(raw)
    except _DECODE_ERRORS as exc:
        raise errors.ChangeError(
            f"desired state is invalid ({exc})",
            remedy="the current one stays in force; publish a valid one",
        ) from exc


def decode_backend(key: str, data: bytes) -> desired.Backend:
    """Decode the entry of a backend server.

    :param key: key of the record, which is the server's id.
    :param data: value of the record.
    :raises errors.ChangeError: when the id or the entry is invalid.
    """
    try:
        raw = msgspec.json.decode(data, type=_Backend)
        host, port = address.split_host_port(raw.address)
        _check_address(host, port)
        return desired.Backend(
            id=_to_backend_id(key),
            started_at_ms=raw.born,
            service=ids.ServiceName(raw.service),
            host=host,
            port=port,
            domain=ids.DomainName(raw.zone),
            slots=raw.slots,
            state=_BACKEND_STATES[raw.state],
            software_version=raw.version,
            cold_time=_milliseconds(min(raw.cold_ms, _MAX_COLD_MS)),
        )
    except _DECODE_ERRORS as exc:
        raise errors.ChangeError(
            f"entry of a backend server is invalid ({exc})",
            remedy="the server gets no requests until its entry is valid",
        ) from exc


def evacuation_domain(key: str) -> ids.DomainName | None:
    """Return the failure domain that a key of the operator's topic names.

    :returns: None if the key is not that of an evacuation.
    :raises errors.ChangeError: when the name is invalid.
    """
    if not key.startswith(_EVACUATION_KEY_PREFIX):
        return None
    name = key.removeprefix(_EVACUATION_KEY_PREFIX)
    if not 0 < len(name) <= evacuation.MAX_DOMAIN_CHARS or (
        not name.isprintable()
    ):
        raise errors.ChangeError(
            f"key of an evacuation is invalid ({key[:40]!r})",
            remedy="remove the record; name the failure domain after"
            f" {_EVACUATION_KEY_PREFIX!r}",
        )
    return ids.DomainName(name)


def decode_evacuation(
    record: store_answers.KeyedRecord,
) -> evacuation.Record | None:
    """Decode a record of the operator's topic.

    :returns: None if the key is not that of an evacuation.
    :raises errors.ChangeError: when the key or the value is invalid.
    """
    domain = evacuation_domain(record.key)
    if domain is None:
        return None
    if record.value:
        try:
            # A later version of the platform may add fields.
            msgspec.json.decode(record.value, type=dict[str, object])
        except _DECODE_ERRORS as exc:
            raise errors.ChangeError(
                f"evacuation of {domain!r} is invalid ({exc})",
                remedy="the state of the domain is kept; write {} to request"
                " its evacuation, or nothing to withdraw it",
            ) from exc
    return evacuation.Record(domain, record.position, bool(record.value))


def _to_backend_id(key: str) -> desired.BackendId:
    """Return the id in the key of an entry.

    :raises ValueError: when the key cannot be sent in a header.
    """
    if not key.isprintable() or not key.isascii() or " " in key or not key:
        raise ValueError(f"invalid id: {key[:40]!r}")
    return desired.BackendId(key)


def _check_address(host: str, port: int) -> None:
    """Raise ``ValueError`` unless these are an IP address and a TCP port."""
    ipaddress.ip_address(host)
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f"invalid port: {port}")


def _to_desired_state(raw: _DesiredState) -> desired.DesiredState:
    by_host: dict[str, list[desired.Route]] = {}
    for one in raw.routes:
        by_host.setdefault(one.host, []).append(_to_route(one))
    workspaces_by_key = {}
    for tenant in raw.tenants or ():
        workspace = desired.Workspace(
            name=ids.WorkspaceName(tenant.name), priority=tenant.priority
        )
        workspaces_by_key.update(dict.fromkeys(tenant.api_keys, workspace))
    return desired.DesiredState(
        version=raw.version,
        routes={
            host: tuple(sorted(routes, key=lambda r: -len(r.path_prefix)))
            for host, routes in by_host.items()
        },
        services={
            ids.ServiceName(one.name): _to_service(one) for one in raw.services
        },
        limits=desired.RequestLimits(
            max_head_bytes=raw.limits.header_bytes,
            max_body_bytes=raw.limits.body_bytes,
            head_timeout=_milliseconds(raw.limits.header_ms),
            idle_timeout=_milliseconds(raw.limits.idle_ms),
        ),
        workspaces_by_key=workspaces_by_key,
        keys_required=raw.tenants is not None,
    )


def _to_route(raw: _Route) -> desired.Route:
    shares = [
        desired.WeightedService(ids.ServiceName(one.service), one.weight)
        for one in raw.split
    ] or [desired.WeightedService(ids.ServiceName(raw.service), 1.0)]
    gap_ms = raw.gap_target_ms
    return desired.Route(
        name=raw.name,
        host=raw.host,
        path_prefix=raw.path_prefix,
        kind=_ROUTE_KINDS[raw.kind],
        weighted_services=tuple(shares),
        timeout=_milliseconds(raw.timeout_ms),
        latency_target=_milliseconds(raw.latency_target_ms),
        max_event_gap=_milliseconds(gap_ms) if gap_ms else None,
        max_attempts=max(1, raw.attempts),
        priority=raw.priority,
        public=raw.public,
        resumable=raw.resumable,
    )


def _to_service(raw: _Service) -> desired.Service:
    return desired.Service(
        name=ids.ServiceName(raw.name),
        health_path=raw.health_path,
        max_connections=raw.connection_limit,
        engine=_to_engine_spec(raw.engine) if raw.engine else None,
        cold_limit=_to_cold_limit(raw),
    )


def _to_cold_limit(raw: _Service) -> desired.ColdLimit | None:
    if raw.cold_s <= 0 or raw.cold_per_s <= 0:
        return None
    return desired.ColdLimit(
        duration=_milliseconds(min(raw.cold_s * 1000.0, _MAX_COLD_MS)),
        requests_per_s=raw.cold_per_s,
    )


def _to_engine_spec(raw: _Engine) -> desired.EngineSpec:
    return desired.EngineSpec(
        slots=raw.slots,
        kv_cache_tokens=raw.kv_cache_tokens,
        steps_per_pass=raw.stride,
        step_ms=raw.step_ms,
        ms_per_sequence=raw.per_seq_ms,
        ms_per_1k_context_tokens=raw.context_per_k,
        prefill_tokens_per_s=raw.read_per_s,
        report_lag=_milliseconds(raw.report_lag_ms),
        experts=_to_expert_limits(raw),
    )


def _to_expert_limits(raw: _Engine) -> experts.ExpertLimits | None:
    if not raw.sets or not raw.experts:
        return None
    megabits = raw.expert_mb * _BITS_PER_BYTE
    return experts.ExpertLimits(
        layer_set_count=raw.sets,
        expert_count=raw.experts,
        max_experts_per_rank=raw.places,
        max_new_experts_per_map=raw.spare,
        copy_s=megabits / raw.link_mbps if raw.link_mbps else 0.0,
        expert_time_ratio=raw.expert_share,
    )


def _milliseconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=value)
