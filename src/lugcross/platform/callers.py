# SPDX-License-Identifier: Apache-2.0
"""What a caller's request head says, decoded once."""

from collections.abc import Iterable
import dataclasses
import datetime
from typing import final

from absl import logging

from lugcross.platform import names

_Headers = Iterable[tuple[bytes, bytes]]


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerHead:
    """What the headers of a request ask for.

    :param attempt_id: empty if the caller sent none.
    :param time_left: how long the caller will wait, if it said so.
    :param key: key of its workspace; empty if there is none.
    :param prompt_tokens: tokens of the prompt; 0 if not told.
    :param max_tokens: the most tokens to write; 0 if not told.
    :param expected_tokens: estimate of the tokens written; 0 if none.
    """

    attempt_id: str = ""
    time_left: datetime.timedelta | None = None
    key: str = ""
    last_event_id: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0


def read_caller_head(headers: _Headers) -> CallerHead:
    """Return what the request's headers say.

    A number that is none is left out with a log line: the request is
    served as if its caller had not sent it.
    """
    found = {name: value for name, value in headers}
    tokens = names.text_of(found, names.TOKENS).partition(",")
    left_ms = _number(found, names.TIME_LEFT)
    return CallerHead(
        attempt_id=names.text_of(found, names.ATTEMPT_ID),
        time_left=(
            None
            if left_ms is None
            else datetime.timedelta(milliseconds=left_ms)
        ),
        key=names.text_of(found, names.KEY),
        last_event_id=names.text_of(found, names.LAST_EVENT_ID),
        prompt_tokens=_int(tokens[0], names.TOKENS) or 0,
        max_tokens=_int(tokens[2], names.TOKENS) or 0,
        expected_tokens=_number(found, names.LENGTH_HINT) or 0,
    )


def _number(found: dict[bytes, bytes], name: bytes) -> int | None:
    return _int(names.text_of(found, name), name)


def _int(text: str, name: bytes) -> int | None:
    if not text:
        return None
    # Longer numbers are no times or sizes of anything that is served.
    if text.isascii() and text.isdigit() and len(text) < 12:
        return int(text)
    logging.warning(
        "header is not a whole number",
        extra={"header": name.decode(), "value": text[:40]},
    )
    return None
