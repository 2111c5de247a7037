# SPDX-License-Identifier: Apache-2.0
"""What a caller's request head says, decoded once."""

from collections.abc import Iterable
import dataclasses
import datetime
from typing import final

from absl import logging

from lugcross.platform import header_names

_RawHeaders = Iterable[tuple[bytes, bytes]]


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequestHead:
    """What the headers of a request ask for.

    :param attempt_id: empty if the caller sent none.
    :param time_left: how long the caller will wait, if it said so.
    :param api_key: key of its workspace; empty if there is none.
    :param prompt_tokens: tokens of the prompt; 0 if not told.
    :param max_tokens: the most tokens to write; 0 if not told.
    :param expected_tokens: estimate of the tokens written; 0 if none.
    """

    attempt_id: str = ""
    time_left: datetime.timedelta | None = None
    api_key: str = ""
    last_event_id: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0


def parse_caller_request_head(headers: _RawHeaders) -> CallerRequestHead:
    """Return what the request's headers say.

    A number that is none is left out with a log line: the request is
    served as if its caller had not sent it.
    """
    found = {name: value for name, value in headers}
    tokens = header_names.header_text(
        found, header_names.TOKEN_COUNTS
    ).partition(",")
    left_ms = _parse_header_int(found, header_names.TIME_LEFT)
    return CallerRequestHead(
        attempt_id=header_names.header_text(found, header_names.ATTEMPT_ID),
        time_left=(
            None
            if left_ms is None
            else datetime.timedelta(milliseconds=left_ms)
        ),
        api_key=header_names.header_text(found, header_names.API_KEY),
        last_event_id=header_names.header_text(
            found, header_names.LAST_EVENT_ID
        ),
        prompt_tokens=_parse_int(tokens[0], header_names.TOKEN_COUNTS) or 0,
        max_tokens=_parse_int(tokens[2], header_names.TOKEN_COUNTS) or 0,
        expected_tokens=_parse_header_int(found, header_names.LENGTH_HINT)
        or 0,
    )


def _parse_header_int(found: dict[bytes, bytes], name: bytes) -> int | None:
    return _parse_int(header_names.header_text(found, name), name)


def _parse_int(text: str, name: bytes) -> int | None:
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
