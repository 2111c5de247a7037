# SPDX-License-Identifier: Apache-2.0
"""Client of model engines: rank reports, expert counts, map-switch orders."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import http
from typing import Annotated
from typing import Any
from typing import final
from typing import TypeVar

import msgspec

from lugcross import desired
from lugcross import errors
from lugcross import experts
from lugcross import http1

_REPORT_PATH = "/report"
#: Returns the expert counts; with ``lists`` in the query, the held experts.
_EXPERT_COUNTS_PATH = "/picked"
_HELD_MAP_PATH = "/picked?lists=1"
_ORDER_PATH = "/order"
_OPEN_GROUP_STATE = "open"
#: Upper limit of a rank's slowness; keeps what is computed from it finite. A
#: rank that is slower still gets no more work than it would at this limit.
_MAX_SLOWNESS_FACTOR = 100.0

#: Sends one request (method, target, body) to a backend server and returns the
#: status and body of the response. Raises ``http1.NoConnectionError`` or
#: ``http1.ConnectionBrokenError``.
SendRequest = Callable[
    [desired.Backend, str, str, bytes], Awaitable[tuple[int, bytes]]
]


class _GroupState(msgspec.Struct):
    """Group of a rank, and the rank's number in it.

    :param epoch: life of the group.
    """

    name: str
    epoch: int
    rank: int
    state: str = ""


class _ArmedMap(msgspec.Struct):
    version: int
    step: int


class _Report(msgspec.Struct):
    """Report of one rank, as engines send it.

    :param step: number of the pass that began last.
    :param map: version of the map in use.
    :param size: number of ranks in the group.
    :param running: number of running requests.
    :param waiting: number of waiting requests.
    :param prepared: version of the prepared map.
    :param armed: map that the rank will switch to, and at which pass.
    :param held: number of the pass that the rank holds.
    :param group: group of the rank; none if it belongs to no group.
    :param pace: how many times longer than usual a pass takes at the rank.
    :param born: start of the server, in milliseconds since 1970.
    """

    step: int = 0
    map: int = 0
    size: int = 0
    running: int = 0
    waiting: int = 0
    prepared: int | None = None
    armed: _ArmedMap | None = None
    held: int | None = None
    group: _GroupState | None = None
    pace: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    born: int | None = None


class _ExpertCounts(msgspec.Struct):
    """Uses of each expert at one rank, as engines send them.

    :param step: number of the pass that began last.
    :param epoch: life of the group.
    :param counts: one count per expert, layer set by layer set.
    :param born: start of the server, in milliseconds since 1970.
    """

    step: int
    epoch: int
    counts: list[int]
    born: int | None = None


class _HeldMap(msgspec.Struct):
    """Experts that one rank holds, by layer set."""

    version: int
    experts: list[list[int]]


class _HeldMapAnswer(msgspec.Struct):
    epoch: int
    map: _HeldMap
    born: int | None = None


_T = TypeVar("_T", _Report, _ExpertCounts, _HeldMapAnswer)


class EngineQueryError(errors.PlatformError):
    """A query that failed or got no valid response."""


@final
class EngineClient:
    """Client of the engines of all ranks.

    :param send_query: sends queries, with the timeout of queries.
    :param send_order: sends orders, with the timeout of orders.
    """

    def __init__(
        self, send_query: SendRequest, send_order: SendRequest
    ) -> None:
        self._send_query = send_query
        self._send_order = send_order

    async def report(
        self, backend: desired.Backend
    ) -> experts.RankReport | None:
        """Return the report of a rank; none if it belongs to no group.

        :raises EngineQueryError: when the query fails.
        """
        raw = await self._get(backend, _REPORT_PATH, _Report)
        if raw.group is None:
            return None
        armed = raw.armed
        return experts.RankReport(
            group=raw.group.name,
            rank_count=raw.size,
            rank=experts.Rank(raw.group.rank),
            epoch=experts.Epoch(raw.group.epoch),
            is_open=raw.group.state == _OPEN_GROUP_STATE,
            request_count=raw.running + raw.waiting,
            last_pass=experts.PassNumber(raw.step),
            version_in_use=experts.MapVersion(raw.map),
            prepared_version=(
                None
                if raw.prepared is None
                else experts.MapVersion(raw.prepared)
            ),
            armed_order=(
                None
                if armed is None
                else experts.Arm(
                    experts.MapVersion(armed.version),
                    experts.PassNumber(armed.step),
                )
            ),
            held_pass=None
            if raw.held is None
            else experts.PassNumber(raw.held),
            slowness=min(max(1.0, raw.pace), _MAX_SLOWNESS_FACTOR),
        )

    async def counts(
        self, backend: desired.Backend, limits: experts.ExpertLimits
    ) -> experts.ExpertCounts:
        """Return how often a rank has used each expert since its start.

        :param limits: number of layer sets and experts that the response
            must have.
        :raises EngineQueryError: when the query fails, or the response has
            another number of counts.
        """
        raw = await self._get(backend, _EXPERT_COUNTS_PATH, _ExpertCounts)
        try:
            sets = experts.counts_by_set(raw.counts, limits)
        except ValueError as exc:
            raise _query_error(backend, str(exc)) from exc
        return experts.ExpertCounts(
            epoch=experts.Epoch(raw.epoch),
            last_pass=experts.PassNumber(raw.step),
            uses_by_set=tuple(map(tuple, sets)),
        )

    async def held_experts(
        self, backend: desired.Backend
    ) -> experts.ExpertsBySet:
        """Return the experts that a rank holds, by layer set.

        :raises EngineQueryError: when the query fails.
        """
        raw = await self._get(backend, _HELD_MAP_PATH, _HeldMapAnswer)
        return tuple(map(tuple, raw.map.experts))

    async def order(
        self,
        backend: desired.Backend,
        order: experts.Order,
        epoch: experts.Epoch,
        generation: experts.Generation | None,
    ) -> experts.OrderResult:
        """Send an order to a rank, valid in ``epoch`` only.

        :param generation: generation of the leader's lease, sent as the
            fence; none to send the order without a fence.
        :returns: ``UNKNOWN`` if there is no response or its status says
            nothing of the order.
        """
        fields = {**_order_fields(order), "epoch": epoch}
        if generation is not None:
            fields["fence"] = generation
        body = msgspec.json.encode(fields)
        try:
            status, _ = await self._send_order(
                backend, "POST", _ORDER_PATH, body
            )
        except http1.ConnectionBrokenError:
            return experts.OrderResult.UNKNOWN
        except http1.NoConnectionError:
            # The order was not sent. Callers repeat it just as they repeat
            # one whose outcome is unknown.
            return experts.OrderResult.UNKNOWN
        if status in (http.HTTPStatus.OK, http.HTTPStatus.ACCEPTED):
            return experts.OrderResult.DONE
        if status == http.HTTPStatus.CONFLICT:
            return experts.OrderResult.REFUSED
        if status == http.HTTPStatus.PRECONDITION_FAILED:
            return experts.OrderResult.FENCED
        return experts.OrderResult.UNKNOWN

    async def _get(
        self, backend: desired.Backend, path: str, kind: type[_T]
    ) -> _T:
        try:
            status, body = await self._send_query(backend, "GET", path, b"")
        except (http1.ConnectionBrokenError, http1.NoConnectionError) as exc:
            raise _query_error(backend, str(exc)) from exc
        if status != http.HTTPStatus.OK:
            raise _query_error(backend, f"status {status}")
        try:
            answer = msgspec.json.decode(body, type=kind)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise _query_error(backend, str(exc)) from exc
        if None not in (answer.born, backend.started_at_ms) and (
            answer.born != backend.started_at_ms
        ):
            raise _query_error(
                backend, "another life of the server has answered"
            )
        return answer


@functools.singledispatch
def _order_fields(order: experts.Order) -> dict[str, Any]:
    """Return the JSON fields of an order, without epoch and fence."""
    raise TypeError(f"not an order: {order!r}")


@_order_fields.register
def _(order: experts.Prepare) -> dict[str, Any]:
    # Engines take a map by layer set, then by rank.
    return {
        "operation": "prepare",
        "version": order.version,
        "map": list(zip(*order.map.ranks, strict=True)),
    }


@_order_fields.register
def _(order: experts.Arm) -> dict[str, Any]:
    return {
        "operation": "arm",
        "version": order.version,
        "step": order.pass_number,
    }


@_order_fields.register
def _(order: experts.Disarm) -> dict[str, Any]:
    return {"operation": "disarm", "version": order.version}


@_order_fields.register
def _(order: experts.Hold) -> dict[str, Any]:
    return {"operation": "hold", "step": order.pass_number}


@_order_fields.register
def _(order: experts.Release) -> dict[str, Any]:
    return {"operation": "go", "step": order.pass_number}


def _query_error(backend: desired.Backend, why: str) -> EngineQueryError:
    return EngineQueryError(
        f"query to engine {backend.key} failed ({why})",
        remedy="nothing to do: the query is repeated",
    )
