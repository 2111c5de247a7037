# SPDX-License-Identifier: Apache-2.0
"""Sends requests as callers of the demo do, and checks the answers."""

import dataclasses
import http
import json
import time
from typing import Any
from typing import final

import urllib3

from lugcross.demo import fleet as fleet_lib
from lugcross import standin

_TIMEOUT_S = 30.0
_OUTCOME = "Lugcross-Outcome"
_DATA = b"data: "
_END = b"[DONE]"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """What came of one request.

    :param tokens: tokens of the answer.
    :param whole: whether the answer is whole and its own.
    :param first_s: time to the first part, in seconds.
    :param retry_after_s: when the system asks to come back, in seconds.
    """

    status: int
    outcome: str = ""
    kind: str = ""
    tokens: int = 0
    whole: bool = False
    first_s: float = 0.0
    took_s: float = 0.0
    retry_after_s: float = 0.0
    body: bytes = b""


@final
class Sender:
    """Sends requests to entry hosts with one workspace's key.

    :param model: model service to ask.
    :param ledger: plain service to call.
    """

    def __init__(
        self,
        key: str,
        *,
        model: str = fleet_lib.MODEL,
        ledger: str = fleet_lib.LEDGER,
    ) -> None:
        self._key = key
        self._model = model
        self._ledger = ledger
        self._pool = urllib3.PoolManager(retries=False, maxsize=64)

    def complete(
        self, url: str, prompt: str, *, tokens: int, stream: bool
    ) -> Result:
        """Ask the model and check that the answer is whole."""
        fields = {
            "model": self._model,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": stream,
        }
        began = time.monotonic()
        resp = self._send(
            "POST", f"{url}/v1/completions", json.dumps(fields).encode(), {}
        )
        if resp.status != http.HTTPStatus.OK:
            return self._refused(resp, began)
        data = b""
        first_s = 0.0
        try:
            for piece in resp.stream():
                first_s = first_s or time.monotonic() - began
                data += piece
        except urllib3.exceptions.HTTPError:
            return Result(status=resp.status, kind="cut", body=data)
        text = stream_text(data) if stream else _whole_text(data)
        want = expected(prompt, tokens)
        return Result(
            status=resp.status,
            tokens=len((text or "").split()),
            whole=text == want,
            first_s=first_s,
            took_s=time.monotonic() - began,
            body=data,
        )

    def charge(self, url: str, body: bytes, *, key: str) -> Result:
        """Call the plain service, under an idempotency key."""
        began = time.monotonic()
        resp = self._send(
            "POST",
            f"{url}/services/{self._ledger}/charges",
            body,
            {"Idempotency-Key": key},
        )
        if resp.status != http.HTTPStatus.OK:
            return self._refused(resp, began)
        return Result(
            status=resp.status,
            whole=True,
            took_s=time.monotonic() - began,
            body=resp.read(),
        )

    def _send(
        self, method: str, url: str, body: bytes, headers: dict[str, str]
    ) -> urllib3.BaseHTTPResponse:
        return self._pool.request(
            method,
            url,
            body=body,
            headers={
                "Authorization": f"Bearer {self._key}",
                "Content-Type": "application/json",
                **headers,
            },
            preload_content=False,
            timeout=_TIMEOUT_S,
        )

    def _refused(self, resp: urllib3.BaseHTTPResponse, began: float) -> Result:
        body = resp.read()
        error: dict[str, Any] = json.loads(body).get("error", {})
        return Result(
            status=resp.status,
            outcome=resp.headers.get(_OUTCOME, ""),
            kind=error.get("kind", ""),
            took_s=time.monotonic() - began,
            retry_after_s=float(resp.headers.get("Retry-After", "0")),
            body=body,
        )


def expected(prompt: str, tokens: int) -> str:
    """Return the whole answer that a stand-in engine gives."""
    mark = standin.answer_prefix(json.dumps(prompt))
    return "".join(standin.answer_token(mark, num) for num in range(tokens))


def stream_text(data: bytes) -> str | None:
    """Return the text of a stream; none if it is not whole."""
    events = [part.removeprefix(_DATA) for part in data.split(b"\n\n") if part]
    if not events or events[-1] != _END:
        return None
    texts = [json.loads(event)["choices"][0]["text"] for event in events[:-1]]
    return "".join(texts)


def _whole_text(data: bytes) -> str:
    text: str = json.loads(data)["choices"][0]["text"]
    return text
