# SPDX-License-Identifier: Apache-2.0
"""Decodes the headers of a caller's request."""

from collections.abc import Iterable
import dataclasses
import datetime
from typing import final

from absl import logging

from lugcross.platform import header_names

_RawHeaders = Iterable[tuple[bytes, bytes]]

#: Shared parts of a prompt that are taken from a request; further ones are
#: ignored.
MAX_SHARED_PARTS = 64
#: Longest id of a part in characters; longer ones are ignored.
_MAX_PART_ID_CHARS = 64


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequestHead:
    """Decoded headers of a caller's request.

    :param attempt_id: the caller's id of this attempt; empty if not sent.
    :param time_left: how long the caller will still wait; none if not sent.
    :param api_key: API key of the caller's workspace; empty if not sent.
    :param last_event_id: last event of a stream that the caller has
        received; empty if not sent.
    :param prompt_tokens: number of prompt tokens; 0 if not sent.
    :param max_tokens: limit of generated tokens; 0 if not sent.
    :param expected_tokens: the caller's estimate of the number of generated
        tokens; 0 if not sent.
    :param shared_parts: ids of the parts of the prompt that other requests
        may share, in order and each once, :data:`MAX_SHARED_PARTS` at most.
        The last part of a prompt is never one of them.
    """

    attempt_id: str = ""
    time_left: datetime.timedelta | None = None
    api_key: str = ""
    last_event_id: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0
    shared_parts: tuple[str, ...] = ()


def parse_caller_request_head(headers: _RawHeaders) -> CallerRequestHead:
    """Decode the headers of a request.

    A value that is not a valid number is logged and treated as not sent.

    :param headers: names in lower case.
    """
    values = {name: value for name, value in headers}
    tokens = header_names.header_text(
        values, header_names.TOKEN_COUNTS
    ).partition(",")
    left_ms = _parse_header_int(values, header_names.TIME_LEFT)
    return CallerRequestHead(
        attempt_id=header_names.header_text(values, header_names.ATTEMPT_ID),
        time_left=(
            None
            if left_ms is None
            else datetime.timedelta(milliseconds=left_ms)
        ),
        api_key=header_names.header_text(values, header_names.API_KEY),
        last_event_id=header_names.header_text(
            values, header_names.LAST_EVENT_ID
        ),
        prompt_tokens=_parse_int(tokens[0], header_names.TOKEN_COUNTS) or 0,
        max_tokens=_parse_int(tokens[2], header_names.TOKEN_COUNTS) or 0,
        expected_tokens=_parse_header_int(values, header_names.LENGTH_HINT)
        or 0,
        shared_parts=_parse_shared_parts(
            header_names.header_text(values, header_names.PROMPT_PREFIX)
        ),
    )


def _parse_shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but the last.

    Parts without an id or with a very long one are left out.
    """
    parts = text.split(",", MAX_SHARED_PARTS)
    names = (one.partition(":")[0].strip().lower() for one in parts[:-1])
    return tuple(
        dict.fromkeys(
            name for name in names if 0 < len(name) <= _MAX_PART_ID_CHARS
        )
    )


def _parse_header_int(values: dict[bytes, bytes], name: bytes) -> int | None:
    return _parse_int(header_names.header_text(values, name), name)


def _parse_int(text: str, name: bytes) -> int | None:
    if not text:
        return None
    # The limit on digits rejects absurd values and bounds the conversion.
    if text.isascii() and text.isdigit() and len(text) < 12:
        return int(text)
    logging.warning(
        "header value is not a whole number",
        extra={"header": name.decode(), "value": text[:40]},
    )
    return None
