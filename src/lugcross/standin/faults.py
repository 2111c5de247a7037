# SPDX-License-Identifier: Apache-2.0
"""Fault injection for stand-ins, and the HTTP server that they run in."""

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
#: Path at which every stand-in accepts a JSON-encoded :class:`Faults`.
FAULTS_PATH = "/faults"

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
WsgiApp = Callable[[Environ, StartResponse], Iterable[bytes]]


@final
class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults that a stand-in injects.

    :param down: respond with 503 without executing the request.
    :param cut: close the connection without executing the request.
    :param frozen: accept requests, but execute them only once this is unset.
    :param delay_s: delay before executing each request, in seconds.
    :param lose_answers: number of next requests that are executed, but whose
        connection is closed without a response.
    :param close_early: number of next streams that end without their end
        event.
    """

    down: bool = False
    cut: bool = False
    frozen: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    close_early: int = 0


class DroppedConnectionError(Exception):
    """Makes the server close a connection without a response."""


_FROZEN_POLL_S = 0.01


@final
class FaultInjector:
    """WSGI middleware that injects faults before a stand-in's application.

    :ivar faults: faults that are injected now.
    """

    def __init__(self, app: WsgiApp) -> None:
        self._app = app
        self._lock = threading.Lock()
        self.faults = Faults()

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request, with the faults that are set."""
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
        """Decrement a counted fault unless it is 0; tell whether it was not 0.

        :param name: field of :class:`Faults`.
        """
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
    """HTTP server of one stand-in.

    :param app: the stand-in.
    :param port: port to listen on; 0 for any free port.
    :ivar fault_injector: injects faults before ``app``.
    """

    def __init__(self, app: WsgiApp, *, host: str, port: int) -> None:
        self.fault_injector = FaultInjector(app)
        self._server = wsgi.Server(
            (host, port),
            self.fault_injector,
            numthreads=_SERVER_THREADS,
            max=_SERVER_THREADS,
            request_queue_size=_MAX_PENDING_CONNECTIONS,
        )
        self._server.shutdown_timeout = 1
        self._server.error_log = _log_at_debug  # type: ignore[method-assign]
        self._thread = threading.Thread(
            target=self._server.serve, name="standin", daemon=True
        )

    @property
    def url(self) -> str:
        """Base URL; known once the server has started."""
        host, port = self._server.bind_addr
        return f"http://{host}:{port}"

    def start(self) -> None:
        """Listen, and serve in a thread."""
        self._server.prepare()
        self._thread.start()
        port = self._server.bind_addr[1]
        logging.info("listening", extra={"what": "http", "port": port})

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()


def _log_at_debug(
    msg: str = "", level: int = 20, traceback: bool = False
) -> None:
    # Stand-ins drop connections on purpose; that is no error to report.
    del level, traceback
    logging.debug("stand-in server: %s", msg)


def read_body(environ: Environ) -> bytes:
    """Read the body of a request."""
    body: bytes = environ["wsgi.input"].read()
    return body


def json_response(
    start_response: StartResponse,
    status: http.HTTPStatus,
    fields: object = None,
    *,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Start a JSON response, and return its body.

    :param fields: value to encode.
    :param headers: further headers of the response.
    """
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
