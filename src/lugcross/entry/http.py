# SPDX-License-Identifier: Apache-2.0
"""The callers' HTTP, as a WSGI application."""

from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import datetime
import http
import json
import math
from typing import Any
from typing import final

from absl import logging

from lugcross import cfg
from lugcross import clock as clock_lib
from lugcross.entry import admission
from lugcross.entry import caller as caller_lib
from lugcross.entry import openai
from lugcross import errors
from lugcross import ids
from lugcross import observe
from lugcross import routing
from lugcross import wire

#: Largest body of any request, so that its dispatch fits into a frame.
MAX_BODY = 3 * 1_048_576
#: Prefix of the paths of plain services.
SERVICES = "/services/"

#: Refused bodies up to this size are read to their end, so that the
#: caller sees the answer instead of a reset connection.
_DRAINED = 16 * 1_048_576
_PLAIN_COST = 16
_MODEL_PATHS = (openai.CHAT, openai.COMPLETIONS)
_EVENT_STREAM = "text/event-stream"
_JSON = "application/json"
_END_MARK = b"data: [DONE]\n\n"
#: Headers that end at this hop or that the next one must not see.
_KEPT_HERE = frozenset(
    (
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "te",
        "traceparent",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

Environ = dict[str, Any]
Headers = list[tuple[str, str]]
StartResponse = Callable[[str, Headers], object]


@final
@dataclasses.dataclass(frozen=True)
class Response:
    """What a caller gets."""

    status: int
    headers: Headers
    body: Iterable[bytes]


@final
class _Body:
    """Body of an answer that frees what it holds when it is closed."""

    def __init__(
        self, chunks: Generator[bytes], stack: contextlib.ExitStack
    ) -> None:
        self._chunks = chunks
        self._stack = stack

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Called by the server when the answer ended or was cut."""
        self._chunks.close()
        self._stack.close()


@final
class HttpApi:
    """Answers callers and the platform's balancer.

    :param unready: why the balancer should send nothing here; empty
        when it may.
    """

    def __init__(
        self,
        store: cfg.Store,
        caller: caller_lib.Caller,
        inflight: admission.Inflight,
        *,
        unready: Callable[[], str],
        clock: clock_lib.Clock,
        tracer: observe.Tracer,
        metrics: observe.Metrics,
    ) -> None:
        self._store = store
        self._caller = caller
        self._inflight = inflight
        self._unready = unready
        self._clock = clock
        self._tracer = tracer
        self._metrics = metrics

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request; the interface of WSGI."""
        req_id = _request_id(environ)
        try:
            resp = self._route(environ, req_id)
        except errors.RequestError as exc:
            self._metrics.incr(f"refused.{exc.kind.value}")
            resp = _error_response(exc, req_id)
        except Exception as exc:
            logging.exception("request failed", extra={"request": req_id})
            resp = _error_response(_internal(exc), req_id)
        headers = [("X-Request-Id", req_id), *resp.headers]
        # The balancer must not reuse a connection to a host that is on
        # its way out; and nobody waits for the rest of a huge body.
        if self._unready() or _length(environ) > _DRAINED:
            headers.append(("Connection", "close"))
        start_response(_status_line(resp.status), headers)
        return resp.body

    def _route(self, environ: Environ, req_id: ids.RequestId) -> Response:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        if method == "GET" and path == "/healthz":
            return _json_response(http.HTTPStatus.OK, {"alive": True})
        if method == "GET" and path == "/readyz":
            return self._readiness()
        who = admission.identify(
            self._store.config, environ.get("HTTP_AUTHORIZATION", "")
        )
        if method == "GET" and path == "/v1/models":
            return self._models()
        if method == "POST" and path in _MODEL_PATHS:
            return self._model(environ, req_id, who)
        if path.startswith(SERVICES):
            return self._plain(environ, req_id, who)
        raise errors.RequestError(
            f"there is no {method} {path}",
            remedy=f"use {openai.CHAT}, {openai.COMPLETIONS} or "
            f"{SERVICES}NAME/PATH",
            kind=errors.FailureKind.NO_SERVICE,
            outcome=errors.Outcome.NOT_RUN,
        )

    def _readiness(self) -> Response:
        why = self._unready()
        status = (
            http.HTTPStatus.SERVICE_UNAVAILABLE if why else http.HTTPStatus.OK
        )
        return _json_response(status, {"ready": not why, "why": why})

    def _models(self) -> Response:
        names = [
            {"id": service.name, "object": "model", "owned_by": "lugcross"}
            for service in self._store.config.services.values()
            if service.type is cfg.ServiceType.MODEL
        ]
        return _json_response(
            http.HTTPStatus.OK, {"object": "list", "data": names}
        )

    def _model(
        self,
        environ: Environ,
        req_id: ids.RequestId,
        who: admission.Principal,
    ) -> Response:
        body = _read_body(environ, MAX_BODY)
        parsed = openai.parse(body)
        service = admission.find_service(
            self._store.config, parsed.model, cfg.ServiceType.MODEL
        )
        if len(body) > service.max_body:
            raise admission.too_large(service.max_body)
        req = caller_lib.Request(
            body=parsed.body,
            cost=parsed.cost,
            model=True,
            method="POST",
            path=environ["PATH_INFO"],
            **self._common(environ, req_id, who, service),
        )
        give = self._give_stream if parsed.stream else self._give_whole
        return self._answer(req, who, give)

    def _plain(
        self,
        environ: Environ,
        req_id: ids.RequestId,
        who: admission.Principal,
    ) -> Response:
        name, _, rest = (
            environ["PATH_INFO"].removeprefix(SERVICES).partition("/")
        )
        service = admission.find_service(
            self._store.config, name, cfg.ServiceType.PLAIN
        )
        query = environ.get("QUERY_STRING", "")
        req = caller_lib.Request(
            body=_read_body(environ, min(service.max_body, MAX_BODY)),
            cost=_PLAIN_COST,
            model=False,
            method=environ["REQUEST_METHOD"],
            path=f"/{rest}?{query}" if query else f"/{rest}",
            **self._common(environ, req_id, who, service),
        )
        return self._answer(req, who, self._give_plain)

    def _common(
        self,
        environ: Environ,
        req_id: ids.RequestId,
        who: admission.Principal,
        service: cfg.Service,
    ) -> dict[str, Any]:
        timeout = datetime.timedelta(seconds=service.timeout_s)
        key = ids.IdempotencyKey(
            ""
            if service.repeatable
            else environ.get("HTTP_IDEMPOTENCY_KEY", "")
        )
        space = ids.WorkspaceName(who.workspace.name)
        name = ids.ServiceName(service.name)
        config = self._store.config
        homes = (
            routing.backends_for_key(config, space, name, key) if key else []
        )
        return {
            "id": req_id,
            "workspace": space,
            "group": ids.WorkspaceGroupName(who.group.name),
            "service": name,
            "headers": _headers(environ, req_id),
            "repeatable": service.repeatable,
            "deadline": self._clock.monotonic() + timeout,
            "once_key": key,
            "homes": tuple(homes),
            "resumable": service.resumable,
            "trace": environ.get("HTTP_TRACEPARENT", ""),
        }

    def _answer(
        self,
        req: caller_lib.Request,
        who: admission.Principal,
        give: Callable[[Iterator[caller_lib.Part], str], Response],
    ) -> Response:
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._inflight.one(who.workspace))
            trace = stack.enter_context(
                self._tracer.span("entry.request", req.trace, request=req.id)
            )
            began = self._clock.monotonic()
            parts = self._caller.run(dataclasses.replace(req, trace=trace))
            stack.callback(parts.close)
            resp = give(parts, req.path)
            self._metrics.timing("first_part", self._clock.monotonic() - began)
            body = _Body(_chunks(resp.body, req.id), stack.pop_all())
        return Response(resp.status, resp.headers, body)

    def _give_stream(
        self, parts: Iterator[caller_lib.Part], path: str
    ) -> Response:
        del path
        head = _head(parts)
        if head.status != http.HTTPStatus.OK:
            return _passed_on(head, parts)
        headers = [
            ("Content-Type", _EVENT_STREAM),
            ("Cache-Control", "no-store"),
        ]
        return Response(head.status, headers, _as_events(parts))

    def _give_whole(
        self, parts: Iterator[caller_lib.Part], path: str
    ) -> Response:
        head = _head(parts)
        if head.status != http.HTTPStatus.OK:
            return _passed_on(head, parts)
        body = openai.whole(path, _events(parts))
        headers = [("Content-Type", _JSON), ("Content-Length", str(len(body)))]
        return Response(head.status, headers, [body])

    def _give_plain(
        self, parts: Iterator[caller_lib.Part], path: str
    ) -> Response:
        del path
        return _passed_on(_head(parts), parts)


def _head(parts: Iterator[caller_lib.Part]) -> wire.ResponseHead:
    head = next(parts)
    assert isinstance(head, wire.ResponseHead)
    return head


def _events(parts: Iterator[caller_lib.Part]) -> Iterator[bytes]:
    for part in parts:
        if not isinstance(part, wire.ResponseHead):
            yield from part


def _passed_on(
    head: wire.ResponseHead, parts: Iterator[caller_lib.Part]
) -> Response:
    return Response(head.status, list(head.headers), _events(parts))


def _as_events(parts: Iterator[caller_lib.Part]) -> Iterator[bytes]:
    for part in parts:
        if not isinstance(part, wire.ResponseHead):
            # One write for all that came at once.
            yield b"".join(b"data: " + event + b"\n\n" for event in part)
    yield _END_MARK


def _chunks(body: Iterable[bytes], req_id: ids.RequestId) -> Generator[bytes]:
    """Yield the body; where it breaks, make that visible."""
    try:
        yield from body
    except errors.RequestError as exc:
        logging.warning(
            "answer broken", extra={"request": req_id, "why": str(exc)}
        )
        yield b"data: " + _error_body(exc, req_id) + b"\n\n"
        # Raised on: the server then closes the connection without the
        # mark of a whole answer.
        raise


def _read_body(environ: Environ, limit: int) -> bytes:
    if _length(environ) > limit:
        raise admission.too_large(limit)
    body: bytes = environ["wsgi.input"].read(limit + 1)
    if len(body) > limit:
        raise admission.too_large(limit)
    return body


def _length(environ: Environ) -> int:
    length = environ.get("CONTENT_LENGTH") or "0"
    return int(length) if length.isdigit() else 0


def _request_id(environ: Environ) -> ids.RequestId:
    return ids.RequestId(environ.get("HTTP_X_REQUEST_ID") or ids.new_token())


def _headers(
    environ: Environ, req_id: ids.RequestId
) -> tuple[tuple[str, str], ...]:
    passed = [("x-request-id", req_id)]
    if environ.get("CONTENT_TYPE"):
        passed.append(("content-type", environ["CONTENT_TYPE"]))
    for name, value in environ.items():
        header = name.removeprefix("HTTP_").replace("_", "-").lower()
        known = header in _KEPT_HERE or header == "x-request-id"
        if name.startswith("HTTP_") and not known:
            passed.append((header, value))
    return tuple(passed)


def _error_body(exc: errors.RequestError, req_id: ids.RequestId) -> bytes:
    error = {
        "kind": exc.kind.value,
        "message": str(exc),
        "outcome": exc.outcome.value,
        "request_id": req_id,
    }
    return json.dumps({"error": error}).encode()


def _error_response(
    exc: errors.RequestError, req_id: ids.RequestId
) -> Response:
    body = _error_body(exc, req_id)
    headers = [
        ("Content-Type", _JSON),
        ("Content-Length", str(len(body))),
        ("Lugcross-Outcome", exc.outcome.value),
    ]
    if exc.retry_after is not None:
        wait_s = math.ceil(exc.retry_after.total_seconds())
        headers.append(("Retry-After", str(wait_s)))
    return Response(exc.status, headers, [body])


def _json_response(status: int, fields: dict[str, Any]) -> Response:
    body = json.dumps(fields).encode()
    headers = [("Content-Type", _JSON), ("Content-Length", str(len(body)))]
    return Response(status, headers, [body])


def _internal(exc: Exception) -> errors.RequestError:
    return errors.RequestError(
        f"the entry host failed ({type(exc).__name__})",
        remedy="report it with the request id",
        kind=errors.FailureKind.BACKEND_FAILED,
        outcome=errors.Outcome.UNKNOWN,
    )


def _status_line(status: int) -> str:
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
