# SPDX-License-Identifier: Apache-2.0
"""Reports of model engines, counts of their experts, and orders to them."""

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
#: With ``lists`` in the query it tells maps, without it counts.
_EXPERT_COUNTS_PATH = "/picked"
_HELD_MAP_PATH = "/picked?lists=1"
_ORDER_PATH = "/order"
_OPEN_GROUP_STATE = "open"
#: Most times slower than usual that a rank is taken for: what is slower still
#: gets no more work than it would at this, and figures stay finite.
_MAX_SLOWNESS_FACTOR = 100.0

#: Sends one request (method, target, body) to a backend server and returns
#: status and body; raises what :mod:`lugcross.http1` raises.
SendRequest = Callable[
    [desired.Backend, str, str, bytes], Awaitable[tuple[int, bytes]]
]


class _GroupState(msgspec.Struct):
    name: str
    epoch: int
    rank: int
    state: str = ""


class _ArmedMap(msgspec.Struct):
    version: int
    step: int


class _Report(msgspec.Struct):
    """``waiting`` and ``running`` are requests, ``step`` is a pass.

    ``pace`` says how many times longer than usual the rank takes.
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
    """``counts`` holds the experts of the first set, then of the next."""

    step: int
    epoch: int
    counts: list[int]
    born: int | None = None


class _HeldMap(msgspec.Struct):
    version: int
    experts: list[list[int]]


class _HeldMapAnswer(msgspec.Struct):
    epoch: int
    map: _HeldMap
    born: int | None = None


_T = TypeVar("_T", _Report, _ExpertCounts, _HeldMapAnswer)


class EngineQueryError(errors.PlatformError):
    """An engine that did not tell what it was asked."""


@final
class EngineClient:
    """Asks engines and gives them orders.

    :param send_query: sends a question to a backend server.
    :param send_order: sends an order, with the patience that orders get.
    """

    def __init__(
        self, send_query: SendRequest, send_order: SendRequest
    ) -> None:
        self._send_query = send_query
        self._send_order = send_order

    async def report(
        self, backend: desired.Backend
    ) -> experts.RankReport | None:
        """Return the state of a rank; none if it is in no group.

        :raises EngineQueryError: when it does not tell.
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
        """Return how often each expert was used at a rank.

        :raises EngineQueryError: when it does not tell.
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
        """Return the experts that a rank holds, by set.

        :raises EngineQueryError: when it does not tell.
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
        """Give an order that counts in ``epoch`` only.

        :param generation: number of the lease that it is given under;
            none where engines don't check it.
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
            # Not sent; asked again like one that may have been.
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
            told = msgspec.json.decode(body, type=kind)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise _query_error(backend, str(exc)) from exc
        if None not in (told.born, backend.started_at_ms) and (
            told.born != backend.started_at_ms
        ):
            raise _query_error(backend, "another life of it answers")
        return told


@functools.singledispatch
def _order_fields(order: experts.Order) -> dict[str, Any]:
    """Return an order's fields as engines spell them."""
    raise TypeError(f"no order: {order!r}")


@_order_fields.register
def _(order: experts.Prepare) -> dict[str, Any]:
    # On the wire a map is by set, then by rank.
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
        f"engine {backend.key} did not tell its state ({why})",
        remedy="nothing to do: it is asked again",
    )
