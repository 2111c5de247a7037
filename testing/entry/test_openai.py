# SPDX-License-Identifier: Apache-2.0
"""Shapes of model requests."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from lugcross.entry import openai
from lugcross import errors


@pytest.mark.parametrize(
    ("body", "word"),
    [
        (b"{", "JSON"),
        (b"[]", "object"),
        (b"{}", "model"),
        (b'{"model": 3}', "model"),
        (b'{"model": "m", "prompt": "p", "stream": 1}', "stream"),
        (b'{"model": "m", "prompt": "p", "max_tokens": "9"}', "max_tokens"),
        (b'{"model": "m"}', "prompt"),
        (b"[" * 100_000, "JSON"),
    ],
    ids=[
        "broken",
        "list",
        "empty",
        "number",
        "stream",
        "tokens",
        "no-prompt",
        "deep",
    ],
)
def test_bad_body_is_refused_as_not_run_with_the_field(
    body: bytes, word: str
) -> None:
    with pytest.raises(errors.RequestError, match=word) as caught:
        openai.parse(body)
    assert caught.value.outcome is errors.Outcome.NOT_RUN


@hypothesis.given(st.binary(max_size=60))
def test_any_body_is_parsed_or_refused(body: bytes) -> None:
    try:
        openai.parse(body)
    except errors.RequestError as exc:
        assert exc.kind is errors.FailureKind.BAD_REQUEST


def test_engine_always_streams_and_gets_all_other_fields() -> None:
    body = b'{"model": "m", "prompt": "p", "temperature": 0.5}'
    fields = json.loads(openai.parse(body).body)
    assert fields["stream"] is True
    assert fields["temperature"] == 0.5


def test_whole_chat_answer_is_the_sum_of_its_stream() -> None:
    events = [
        json.dumps(
            {
                "id": "x",
                "model": "m",
                "choices": [
                    {"index": num, "delta": {"content": f"{num}{word}"}}
                    for num in (1, 0)
                ],
            }
        ).encode()
        for word in ("a", "b")
    ]
    answer = json.loads(openai.whole(openai.CHAT, events))
    texts = [c["message"]["content"] for c in answer["choices"]]
    assert texts == ["0a0b", "1a1b"]
