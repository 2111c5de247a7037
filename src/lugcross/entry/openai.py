# SPDX-License-Identifier: Apache-2.0
"""The shapes of model requests that callers already send."""

from collections.abc import Iterable
import dataclasses
import json
from typing import Any
from typing import final

from lugcross import errors

CHAT = "/v1/chat/completions"
COMPLETIONS = "/v1/completions"

#: Tokens that are expected where the caller sets no limit.
DEFAULT_TOKENS = 256

_BYTES_PER_TOKEN = 4
#: Reading a token of the prompt costs less than making a new one.
_PREFILL_PART = 0.25


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelRequest:
    """A model request as far as the system must understand it.

    :param body: what the engine gets; it always streams.
    :param stream: whether the caller wants a stream.
    :param cost: estimated work, in tokens.
    """

    model: str
    body: bytes
    stream: bool
    cost: int


def parse(body: bytes) -> ModelRequest:
    """Return the checked request in ``body``.

    :raises errors.RequestError: naming the field to mend.
    """
    try:
        fields: Any = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise _bad(f"the body is not JSON ({exc})") from exc
    if not isinstance(fields, dict):
        raise _bad("the body is not a JSON object")
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        raise _bad("field 'model' is not a name")
    if not isinstance(fields.get("stream", False), bool):
        raise _bad("field 'stream' is not true or false")
    tokens = fields.get("max_tokens") or DEFAULT_TOKENS
    if not isinstance(tokens, int) or tokens < 1:
        raise _bad("field 'max_tokens' is not a number above 0")
    if "messages" not in fields and "prompt" not in fields:
        raise _bad("there is neither 'messages' nor 'prompt'")
    prefill = len(body) / _BYTES_PER_TOKEN * _PREFILL_PART
    return ModelRequest(
        model=model,
        body=json.dumps({**fields, "stream": True}).encode(),
        stream=fields.get("stream", False),
        cost=int(prefill) + tokens,
    )


def whole(path: str, events: Iterable[bytes]) -> bytes:
    """Return the one answer that the events of a stream add up to."""
    choices: dict[int, _Choice] = {}
    first: dict[str, Any] = {}
    usage: Any = None
    for event in events:
        chunk = json.loads(event)
        first = first or chunk
        usage = chunk.get("usage") or usage
        for part in chunk.get("choices", ()):
            index = part.get("index", 0)
            choices.setdefault(index, _Choice()).add(part)
    chat = path == CHAT
    answer = {
        "id": first.get("id", ""),
        "object": "chat.completion" if chat else "text_completion",
        "created": first.get("created", 0),
        "model": first.get("model", ""),
        "choices": [
            choice.as_json(index, chat=chat)
            for index, choice in sorted(choices.items())
        ],
    }
    if usage:
        answer["usage"] = usage
    return json.dumps(answer).encode()


@final
class _Choice:
    def __init__(self) -> None:
        self._texts: list[str] = []
        self._finish: str | None = None

    def add(self, part: dict[str, Any]) -> None:
        delta = part.get("delta") or {}
        self._texts.append(delta.get("content") or part.get("text") or "")
        self._finish = part.get("finish_reason") or self._finish

    def as_json(self, index: int, *, chat: bool) -> dict[str, Any]:
        text = "".join(self._texts)
        body: dict[str, Any] = (
            {"message": {"role": "assistant", "content": text}}
            if chat
            else {"text": text}
        )
        return {"index": index, **body, "finish_reason": self._finish}


def _bad(what: str) -> errors.RequestError:
    return errors.RequestError(
        what,
        remedy="mend the request; it did not run",
        kind=errors.FailureKind.BAD_REQUEST,
        outcome=errors.Outcome.NOT_RUN,
    )
