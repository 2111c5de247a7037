# SPDX-License-Identifier: Apache-2.0
"""Stand-in of a model engine with continuous batching.

Each generated token is a function of the prompt and of its position, so that
tests can check that a response belongs to its request, and a stream can be
resumed at any position.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import hashlib
import http
import json
import queue
import threading
import time
from typing import Any
from typing import final

from lugcross import observe
from lugcross.standin import faults
from lugcross.standin import service

_CACHE_BLOCK_CHARS = 64
_MAX_CACHED_BLOCKS = 4096
_MAX_CACHE_EVENTS = 1000
_DROPPED_EVENT_INTERVAL = 17
_DEFAULT_MAX_TOKENS = 16
_DONE_EVENT = b"data: [DONE]\n\n"
_IDLE_WAIT_S = 0.05


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineSpeed:
    """Durations that make up one step of an engine, in seconds.

    :param step_s: fixed part.
    :param per_sequence_s: added for each sequence in the batch.
    :param per_prefill_byte_s: added for each prompt byte that isn't cached.
    """

    step_s: float = 0.005
    per_sequence_s: float = 0.0001
    per_prefill_byte_s: float = 0.000_001


@final
class _Sequence:
    """One request in the engine.

    :param fields: JSON fields of the request.
    :param start: position of the first token to generate.
    :ivar output: positions of generated tokens; none marks the end.
    """

    def __init__(self, fields: dict[str, Any], start: int) -> None:
        prompt = fields.get("messages") or fields.get("prompt")
        self.prompt = json.dumps(prompt)
        self.chat = "messages" in fields
        self.model = fields.get("model", "")
        self.priority = int(fields.get("priority", 0))
        self.max_tokens = int(fields.get("max_tokens") or _DEFAULT_MAX_TOKENS)
        self.next_position = start
        self.output: queue.SimpleQueue[int | None] = queue.SimpleQueue()
        self.cancelled = False
        self.prefilled = False

    @property
    def answer_prefix(self) -> str:
        return answer_prefix(self.prompt)


def answer_prefix(prompt: str) -> str:
    """Return the prefix of all tokens generated for ``prompt``.

    :param prompt: the JSON text of the prompt or the messages.
    """
    return hashlib.sha256(prompt.encode()).hexdigest()[:8]


def answer_token(prefix: str, position: int) -> str:
    """Return the generated token at a position."""
    return f"{prefix}-{position} "


@final
class EngineStandin:
    """Engine that generates one token for each sequence of a batch per step.

    :param max_batch: limit of sequences in the batch.
    :param max_waiting: limit of waiting sequences; further requests get 429.
    :param checks_orders: whether orders with an outdated fence are refused.
    :param cache_event_lag_s: delay of cache events, in seconds.
    :param load_report_lag_s: delay of load reports, in seconds.
    :param tracer: traces completions; none for no traces.
    :ivar fault_injector: provides the fault ``close_early``; none if the
        engine runs without a server.
    """

    def __init__(
        self,
        *,
        speed: EngineSpeed = EngineSpeed(),
        max_batch: int = 16,
        max_waiting: int = 256,
        checks_orders: bool = True,
        cache_event_lag_s: float = 0.5,
        load_report_lag_s: float = 0.5,
        tracer: observe.Tracer | None = None,
    ) -> None:
        self._speed = speed
        self._max_batch = max_batch
        self._max_waiting = max_waiting
        self._checks_orders = checks_orders
        self._cache_event_lag_s = cache_event_lag_s
        self._load_report_lag_s = load_report_lag_s
        self._tracer = tracer
        self._changed = threading.Condition()
        self._waiting: list[_Sequence] = []
        self._batch: list[_Sequence] = []
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._cache_events: collections.deque[dict[str, Any]] = (
            collections.deque(maxlen=_MAX_CACHE_EVENTS)
        )
        self._cache_event_count = 0
        self._pending_loads: collections.deque[
            tuple[float, dict[str, Any]]
        ] = collections.deque()
        self._visible_load: dict[str, Any] = {
            "running": 0,
            "waiting": 0,
            "step": 0,
        }
        self._highest_fence = 0
        self._orders: list[dict[str, Any]] = []
        self._step_count = 0
        self._run_counts: collections.Counter[str] = collections.Counter()
        self._stopping = False
        self.fault_injector: faults.FaultInjector | None = None
        self._thread = threading.Thread(target=self._run_steps, daemon=True)

    def start(self) -> None:
        """Start the thread that runs the steps."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread that runs the steps."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    @property
    def sequence_count(self) -> int:
        """Number of sequences in the batch and waiting.

        Cancelled ones count until the next step begins.
        """
        return len(self._batch) + len(self._waiting)

    def __call__(
        self, environ: faults.Environ, start_response: faults.StartResponse
    ) -> Iterable[bytes]:
        """Handle one request."""
        path = environ["PATH_INFO"]
        if path == "/load":
            return faults.json_response(
                start_response,
                http.HTTPStatus.OK,
                self._delayed_load(),
            )
        if path == service.RUN_COUNTS_PATH:
            return faults.json_response(
                start_response, http.HTTPStatus.OK, dict(self._run_counts)
            )
        if path == "/events":
            return faults.json_response(
                start_response,
                http.HTTPStatus.OK,
                self._delayed_cache_events(),
            )
        if path == "/orders":
            return self._accept_order(environ, start_response)
        return self._complete(environ, start_response)

    # Completions.

    def _complete(
        self, environ: faults.Environ, start_response: faults.StartResponse
    ) -> Iterable[bytes]:
        fields = json.loads(faults.read_body(environ))
        seq = _Sequence(fields, int(fields.get("resume_from", 0)))
        with self._changed:
            if len(self._waiting) >= self._max_waiting:
                return faults.json_response(
                    start_response, http.HTTPStatus.TOO_MANY_REQUESTS
                )
            self._run_counts[environ.get("HTTP_X_REQUEST_ID", "")] += 1
            self._waiting.append(seq)
            self._waiting.sort(key=lambda s: -s.priority)
            self._changed.notify_all()
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return self._stream(seq, environ)

    def _stream(
        self, seq: _Sequence, environ: faults.Environ
    ) -> Iterator[bytes]:
        tracer = self._tracer
        parent = environ.get("HTTP_TRACEPARENT", "")
        name = environ.get("HTTP_X_REQUEST_ID", "")
        try:
            if tracer is None:
                yield from self._stream_tokens(seq)
                return
            with tracer.span("engine.complete", parent, request=name):
                yield from self._stream_tokens(seq)
        finally:
            # Also runs when the client disconnects, to free the sequence's
            # place in the batch.
            seq.cancelled = True

    def _stream_tokens(self, seq: _Sequence) -> Iterator[bytes]:
        closes_early = (
            self.fault_injector is not None
            and self.fault_injector.consume("close_early")
        )
        while True:
            position = seq.output.get()
            if position is None:
                yield _DONE_EVENT
                return
            last = position + 1 >= seq.max_tokens
            yield b"data: " + _encode_chunk(seq, position, last=last) + b"\n\n"
            if closes_early and position >= seq.max_tokens // 2:
                # The HTTP response ends properly, but the stream lacks its
                # end event.
                return

    def _run_steps(self) -> None:
        while not self._stopping:
            with self._changed:
                if not self._batch and not self._waiting:
                    self._changed.wait(_IDLE_WAIT_S)
                    continue
                self._admit()
                batch = list(self._batch)
            time.sleep(self._step_time(batch))
            for seq in batch:
                self._emit_token(seq)
            with self._changed:
                self._batch = [
                    s for s in self._batch if s.next_position < s.max_tokens
                ]
                self._step_count += 1
                self._record_load()

    def _admit(self) -> None:
        self._batch = [s for s in self._batch if not s.cancelled]
        self._waiting = [s for s in self._waiting if not s.cancelled]
        free_count = self._max_batch - len(self._batch)
        self._batch += self._waiting[:free_count]
        del self._waiting[:free_count]

    def _step_time(self, batch: list[_Sequence]) -> float:
        speed = self._speed
        to_prefill = [seq for seq in batch if not seq.prefilled]
        prefill_bytes = sum(self._fill_cache(seq) for seq in to_prefill)
        return (
            speed.step_s
            + speed.per_sequence_s * len(batch)
            + speed.per_prefill_byte_s * prefill_bytes
        )

    def _fill_cache(self, seq: _Sequence) -> int:
        """Add a prompt to the prefix cache; return its uncached length."""
        seq.prefilled = True
        missing = len(seq.prompt)
        for end in range(
            _CACHE_BLOCK_CHARS, len(seq.prompt) + 1, _CACHE_BLOCK_CHARS
        ):
            block = hashlib.sha256(seq.prompt[:end].encode()).hexdigest()
            if block in self._cache:
                self._cache.move_to_end(block)
                missing = len(seq.prompt) - end
                continue
            self._cache[block] = None
            self._publish_cache_event("stored", block)
            if len(self._cache) > _MAX_CACHED_BLOCKS:
                old, _ = self._cache.popitem(last=False)
                self._publish_cache_event("removed", old)
        return missing

    def _emit_token(self, seq: _Sequence) -> None:
        if seq.cancelled:
            return
        if seq.next_position < seq.max_tokens:
            seq.output.put(seq.next_position)
            seq.next_position += 1
        if seq.next_position >= seq.max_tokens:
            seq.output.put(None)

    # Cache events and load reports; both become visible after a lag.

    def _publish_cache_event(self, kind: str, block: str) -> None:
        self._cache_event_count += 1
        if self._cache_event_count % _DROPPED_EVENT_INTERVAL == 0:
            # Like the events of real engines, these have gaps.
            return
        self._cache_events.append(
            {
                "seq": self._cache_event_count,
                "at": time.monotonic(),
                "what": kind,
                "block": block[:16],
            }
        )

    def _delayed_cache_events(self) -> list[dict[str, Any]]:
        until = time.monotonic() - self._cache_event_lag_s
        return [event for event in self._cache_events if event["at"] <= until]

    def _record_load(self) -> None:
        report = {
            "running": len(self._batch),
            "waiting": len(self._waiting),
            "step": self._step_count,
        }
        self._pending_loads.append(
            (time.monotonic() + self._load_report_lag_s, report)
        )

    def _delayed_load(self) -> dict[str, Any]:
        while (
            self._pending_loads
            and self._pending_loads[0][0] <= time.monotonic()
        ):
            _, self._visible_load = self._pending_loads.popleft()
        return self._visible_load

    # Orders.

    def _accept_order(
        self, environ: faults.Environ, start_response: faults.StartResponse
    ) -> Iterable[bytes]:
        order = json.loads(faults.read_body(environ))
        if self._checks_orders and order["fence"] < self._highest_fence:
            return faults.json_response(
                start_response,
                http.HTTPStatus.CONFLICT,
                {"fence": self._highest_fence},
            )
        self._highest_fence = max(self._highest_fence, order["fence"])
        self._orders.append(order)
        return faults.json_response(
            start_response, http.HTTPStatus.OK, {"orders": len(self._orders)}
        )


def _encode_chunk(seq: _Sequence, position: int, *, last: bool) -> bytes:
    text = answer_token(seq.answer_prefix, position)
    part: dict[str, Any] = {
        "index": 0,
        "finish_reason": "length" if last else None,
    }
    if seq.chat:
        part["delta"] = {"content": text}
    else:
        part["text"] = text
    chunk: dict[str, Any] = {
        "id": f"cmpl-{seq.answer_prefix}",
        "object": "chat.completion.chunk" if seq.chat else "text_completion",
        "created": 0,
        "model": seq.model,
        "choices": [part],
    }
    if last:
        chunk["usage"] = {
            "prompt_tokens": len(seq.prompt) // 4,
            "completion_tokens": seq.max_tokens,
            "total_tokens": len(seq.prompt) // 4 + seq.max_tokens,
        }
    return json.dumps(chunk).encode()
