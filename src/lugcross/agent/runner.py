# SPDX-License-Identifier: Apache-2.0
"""Runs requests at what stands behind a service, one thread each."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import json
import threading
from typing import Any
from typing import final
import urllib.parse

from absl import logging
import urllib3

from lugcross.agent import events
from lugcross.agent import exchange as exchange_lib
from lugcross.agent import failures
from lugcross import errors
from lugcross import observe
from lugcross import wire

#: Takes what a running request tells, in the thread that runs it.
Emit = Callable[[str, events.RunnerEvent], None]

#: Events read from an engine and not yet taken by an entry host.
WINDOW = 64

_CONNECT_S = 2.0
#: The deadline is kept by the dispatcher; this only frees the thread.
_SLACK_S = 5.0
_READ_BYTES = 65_536
_MOST_THREADS = 512
_END_MARK = b"[DONE]"
_DATA = b"data:"
_EVENT_END = b"\n\n"
_OK = 200
_BUSY = frozenset((429, 503))
_DROPPED = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length")
)


@final
class _Call:
    """One running request, which another thread may stop."""

    def __init__(self, dispatch: wire.Dispatch) -> None:
        self.dispatch = dispatch
        self.stopped = False
        self.room = threading.Semaphore(WINDOW)
        self.conn: urllib3.connection.HTTPConnection | None = None

    def stop(self) -> None:
        self.stopped = True
        self.room.release(WINDOW)
        conn = self.conn
        sock = conn.sock if conn else None
        if sock is None:
            return
        try:
            # Wakes the thread that reads; close() alone would not.
            sock.shutdown(2)
        except OSError:
            logging.debug("connection was already closed")


@final
class Runner:
    """Calls engines and plain services with urllib3.

    :param urls: base URL of what stands behind each service.
    :param emit: told how each request goes on.
    """

    def __init__(
        self, urls: dict[str, str], emit: Emit, tracer: observe.Tracer
    ) -> None:
        self._urls = urls
        self._emit = emit
        self._tracer = tracer
        self._calls: dict[str, _Call] = {}
        self._pool = futures.ThreadPoolExecutor(
            max_workers=_MOST_THREADS, thread_name_prefix="runner"
        )

    def start(self, dispatch: wire.Dispatch) -> None:
        """Run ``dispatch`` in a thread."""
        call = _Call(dispatch)
        self._calls[dispatch.uid] = call
        self._pool.submit(self._run, call)

    def abort(self, uid: str) -> None:
        """Stop a running request; it ends with a failure."""
        call = self._calls.get(uid)
        if call is not None:
            call.stop()

    def resume(self, uid: str, count: int) -> None:
        """Let a running request read ``count`` more events."""
        call = self._calls.get(uid)
        if call is not None:
            call.room.release(count)

    def stop(self) -> None:
        """Stop all running requests."""
        for call in list(self._calls.values()):
            call.stop()
        self._pool.shutdown(wait=True)

    def _run(self, call: _Call) -> None:
        dispatch = call.dispatch
        with self._tracer.span(
            "agent.run", dispatch.trace, request=dispatch.req
        ) as trace:
            try:
                last = self._try(call, trace)
            except Exception as exc:  # A bug must not leak the slot.
                logging.exception("runner failed")
                last = _failed(errors.Outcome.UNKNOWN, repr(exc))
        del self._calls[dispatch.uid]
        self._emit(dispatch.uid, last)

    def _try(self, call: _Call, trace: str) -> events.RunnerEvent:
        url = self._urls.get(call.dispatch.service)
        if url is None:
            return _failed(
                errors.Outcome.NOT_RUN,
                f"settings name no URL for service {call.dispatch.service}",
            )
        conn = _connection(url)
        call.conn = conn
        try:
            conn.connect()
            conn.sock.settimeout(call.dispatch.timeout_ms / 1000 + _SLACK_S)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return _failed(errors.Outcome.NOT_RUN, f"cannot connect: {exc}")
        try:
            return self._exchange(call, conn, trace)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            if call.stopped:
                return events.GotFailure(failures.STOPPED)
            return _failed(errors.Outcome.UNKNOWN, f"connection lost: {exc}")
        finally:
            conn.close()

    def _exchange(
        self, call: _Call, conn: urllib3.connection.HTTPConnection, trace: str
    ) -> events.RunnerEvent:
        if call.stopped:
            return events.GotFailure(failures.CANCELLED)
        dispatch = call.dispatch
        headers = dict(dispatch.headers)
        if trace:
            headers[observe.TRACEPARENT_HEADER] = trace
        conn.request(
            dispatch.method,
            dispatch.path,
            body=dispatch.body,
            headers=headers,
            preload_content=False,
        )
        resp = conn.getresponse()
        if dispatch.model and resp.status in _BUSY:
            return events.GotFailure(failures.ENGINE_BUSY)
        self._emit(dispatch.uid, events.GotHead(resp.status, _headers(resp)))
        if dispatch.model and resp.status == _OK:
            return self._pass_events(call, resp)
        return self._pass_bytes(call, resp)

    def _pass_events(
        self, call: _Call, resp: urllib3.BaseHTTPResponse
    ) -> events.RunnerEvent:
        used = 0
        last = b""
        for batch in _events(resp):
            whole = batch[-1] == _END_MARK
            if whole:
                batch = batch[:-1]
            used += len(batch)
            last = batch[-1] if batch else last
            self._pass_on(call, tuple(batch))
            if whole:
                return events.GotEnd(_usage(last) or used)
        if call.stopped:
            return events.GotFailure(failures.STOPPED)
        return events.GotFailure(failures.ENGINE_CLOSED)

    def _pass_bytes(
        self, call: _Call, resp: urllib3.BaseHTTPResponse
    ) -> events.RunnerEvent:
        for data in resp.stream(_READ_BYTES, decode_content=False):
            self._pass_on(call, (data,))
        if call.stopped:
            return events.GotFailure(failures.STOPPED)
        return events.GotEnd()

    def _pass_on(self, call: _Call, batch: tuple[bytes, ...]) -> None:
        if not batch:
            return
        self._emit(call.dispatch.uid, events.GotEvents(batch))
        for _ in batch:
            call.room.acquire()


def _connection(url: str) -> urllib3.connection.HTTPConnection:
    parts = urllib.parse.urlsplit(url)
    assert parts.hostname is not None
    return urllib3.connection.HTTPConnection(
        parts.hostname, parts.port, timeout=_CONNECT_S
    )


def _events(resp: urllib3.BaseHTTPResponse) -> Iterator[list[bytes]]:
    """Yield the data of server-sent events, as many as came at once."""
    rest = b""
    for data in resp.stream(_READ_BYTES, decode_content=False):
        *parts, rest = (rest + data).split(_EVENT_END)
        batch = [
            part[len(_DATA) :].strip()
            for part in parts
            if part.startswith(_DATA)
        ]
        if batch:
            yield batch


def _usage(event: bytes) -> int:
    """Return the tokens that an engine's last event reports."""
    try:
        body: Any = json.loads(event)
    except ValueError:
        return 0
    usage = body.get("usage") if isinstance(body, dict) else None
    total = usage.get("total_tokens") if isinstance(usage, dict) else None
    return total if isinstance(total, int) else 0


def _headers(
    resp: urllib3.BaseHTTPResponse,
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in resp.headers.items()
        if name.lower() not in _DROPPED
    )


def _failed(outcome: errors.Outcome, what: str) -> events.GotFailure:
    return events.GotFailure(
        exchange_lib.Failure(
            kind=errors.FailureKind.BACKEND_FAILED,
            outcome=outcome,
            what=what,
            remedy="see the logs of the backend server",
        )
    )
