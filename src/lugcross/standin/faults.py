# SPDX-License-Identifier: Apache-2.0
"""Switches that make a stand-in misbehave, and its HTTP server."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import http
import json
import threading
import time
from typing import Any
from typing import final

from absl import logging
from cheroot import wsgi
import msgspec

_SERVER_THREADS = 128
_MAX_PENDING_CONNECTIONS = 256
#: Path on which every stand-in takes its switches.
FAULTS_PATH = "/faults"

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
WsgiApp = Callable[[Environ, StartResponse], Iterable[bytes]]


@final
class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """How a stand-in misbehaves.

    :param down: answers 503 without doing anything (an outage).
    :param cut: drops each connection without doing anything.
    :param frozen: takes requests and does nothing until unset.
    :param delay_s: waits before doing anything (slow, late).
    :param lose_answers: next requests that take effect and are then
        dropped without an answer.
    :param close_early: next streams that end without their end mark.
    """

    down: bool = False
    cut: bool = False
    frozen: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    close_early: int = 0


class DroppedConnectionError(Exception):
    """Makes the server close a connection without an answer."""


_FROZEN_POLL_S = 0.01


@final
class FaultInjector:
    """Puts switches before a stand-in's own application."""

    def __init__(self, app: WsgiApp) -> None:
        self._app = app
        self._lock = threading.Lock()
        self.faults = Faults()

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request, or misbehave."""
        if environ["PATH_INFO"] == FAULTS_PATH:
            return self._set_faults(environ, start_response)
        self._apply_faults()
        if self.faults.down:
            return json_response(
                start_response, http.HTTPStatus.SERVICE_UNAVAILABLE
            )
        lost = self.consume("lose_answers")
        body = self._app(environ, start_response)
        if lost:
            _drain(body)
            raise DroppedConnectionError
        return body

    def consume(self, name: str) -> bool:
        """Use up one of a counted fault; tell whether there was one."""
        with self._lock:
            left = getattr(self.faults, name)
            if left:
                setattr(self.faults, name, left - 1)
            return bool(left)

    def _apply_faults(self) -> None:
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)
        while self.faults.frozen:
            time.sleep(_FROZEN_POLL_S)
        if self.faults.cut:
            raise DroppedConnectionError

    def _set_faults(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        self.faults = msgspec.json.decode(read_body(environ), type=Faults)
        return json_response(start_response, http.HTTPStatus.OK, {})


def _drain(body: Iterable[bytes]) -> None:
    iterator: Iterator[bytes] = iter(body)
    for _ in iterator:
        pass


@final
class StandinServer:
    """One stand-in on a port of its own.

    :param port: 0 lets the system choose.
    """

    def __init__(self, app: WsgiApp, *, host: str, port: int) -> None:
        self.app = FaultInjector(app)
        self._server = wsgi.Server(
            (host, port),
            self.app,
            numthreads=_SERVER_THREADS,
            max=_SERVER_THREADS,
            request_queue_size=_MAX_PENDING_CONNECTIONS,
        )
        self._server.shutdown_timeout = 1
        self._server.error_log = _no_log  # type: ignore[method-assign]
        self._thread = threading.Thread(
            target=self._server.serve, name="standin", daemon=True
        )

    @property
    def url(self) -> str:
        """Base URL, once started."""
        host, port = self._server.bind_addr
        return f"http://{host}:{port}"

    def start(self) -> None:
        """Listen and serve."""
        self._server.prepare()
        self._thread.start()
        port = self._server.bind_addr[1]
        logging.info("listening", extra={"what": "http", "port": port})

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()


def _no_log(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    # Dropped connections are what a stand-in is for.
    del level, traceback
    logging.debug("standin: %s", msg)


def read_body(environ: Environ) -> bytes:
    """Return the whole body of a request."""
    body: bytes = environ["wsgi.input"].read()
    return body


def json_response(
    start_response: StartResponse,
    status: http.HTTPStatus,
    fields: object = None,
    *,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Send a small JSON answer."""
    body = json.dumps(fields).encode()
    start_response(
        f"{status.value} {status.phrase}",
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]
