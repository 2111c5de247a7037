# SPDX-License-Identifier: Apache-2.0
"""Sends requests to entry hosts and checks the responses."""

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
_OUTCOME_HEADER = "Lugcross-Outcome"
_EVENT_PREFIX = b"data: "
_STREAM_END = b"[DONE]"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Result of one request.

    :param status: HTTP status.
    :param outcome: for an error, whether the request ran; empty if the
        response does not say.
    :param kind: for an error, its kind.
    :param tokens: number of tokens in the response.
    :param correct: whether the response is complete and, for a model, has
        the expected text.
    :param first_part_s: time to the first part of the body.
    :param duration_s: time to the end of the response.
    :param retry_after_s: time after which the caller may retry, from the
        Retry-After header; 0 if absent.
    """

    status: int
    outcome: str = ""
    kind: str = ""
    tokens: int = 0
    correct: bool = False
    first_part_s: float = 0.0
    duration_s: float = 0.0
    retry_after_s: float = 0.0
    body: bytes = b""


@final
class Sender:
    """Sends requests to entry hosts with the API key of a workspace.

    :param key: the API key.
    :param model_service: name of the service for :meth:`complete`.
    :param plain_service: name of the service for :meth:`charge`.
    """

    def __init__(
        self,
        key: str,
        *,
        model_service: str = fleet_lib.MODEL_SERVICE,
        plain_service: str = fleet_lib.PLAIN_SERVICE,
    ) -> None:
        self._key = key
        self._model_service = model_service
        self._plain_service = plain_service
        self._pool = urllib3.PoolManager(retries=False, maxsize=64)

    def complete(
        self, url: str, prompt: str, *, tokens: int, stream: bool
    ) -> Result:
        """Request a completion and check that its text is as expected.

        :param url: base URL of an entry host.
        :param tokens: number of tokens to request.
        """
        fields = {
            "model": self._model_service,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": stream,
        }
        started_at = time.monotonic()
        resp = self._send(
            "POST", f"{url}/v1/completions", json.dumps(fields).encode(), {}
        )
        if resp.status != http.HTTPStatus.OK:
            return self._error_result(resp, started_at)
        data = b""
        first_part_s = 0.0
        try:
            for part in resp.stream():
                first_part_s = first_part_s or time.monotonic() - started_at
                data += part
        except urllib3.exceptions.HTTPError:
            return Result(status=resp.status, kind="cut", body=data)
        text = parse_stream(data) if stream else _parse_completion(data)
        return Result(
            status=resp.status,
            tokens=len((text or "").split()),
            correct=text == expected_completion(prompt, tokens),
            first_part_s=first_part_s,
            duration_s=time.monotonic() - started_at,
            body=data,
        )

    def charge(self, url: str, body: bytes, *, key: str) -> Result:
        """Call the plain service with an idempotency key.

        :param url: base URL of an entry host.
        """
        started_at = time.monotonic()
        resp = self._send(
            "POST",
            f"{url}/services/{self._plain_service}/charges",
            body,
            {"Idempotency-Key": key},
        )
        if resp.status != http.HTTPStatus.OK:
            return self._error_result(resp, started_at)
        return Result(
            status=resp.status,
            correct=True,
            duration_s=time.monotonic() - started_at,
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

    def _error_result(
        self, resp: urllib3.BaseHTTPResponse, started_at: float
    ) -> Result:
        body = resp.read()
        error: dict[str, Any] = json.loads(body).get("error", {})
        return Result(
            status=resp.status,
            outcome=resp.headers.get(_OUTCOME_HEADER, ""),
            kind=error.get("kind", ""),
            duration_s=time.monotonic() - started_at,
            retry_after_s=float(resp.headers.get("Retry-After", "0")),
            body=body,
        )


def expected_completion(prompt: str, tokens: int) -> str:
    """Return the text that a stand-in engine generates for ``prompt``."""
    prefix = standin.answer_prefix(json.dumps(prompt))
    return "".join(standin.answer_token(prefix, num) for num in range(tokens))


def parse_stream(data: bytes) -> str | None:
    """Return the text of an event stream; none if it is incomplete."""
    events = [
        part.removeprefix(_EVENT_PREFIX)
        for part in data.split(b"\n\n")
        if part
    ]
    if not events or events[-1] != _STREAM_END:
        return None
    texts = [json.loads(event)["choices"][0]["text"] for event in events[:-1]]
    return "".join(texts)


def _parse_completion(data: bytes) -> str:
    text: str = json.loads(data)["choices"][0]["text"]
    return text
