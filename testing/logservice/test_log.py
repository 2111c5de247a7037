# SPDX-License-Identifier: Apache-2.0
"""Outcome of an append whose response is lost or garbled."""

import types

import pytest
import urllib3

from lugcross import errors
from lugcross import logservice


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"{}", b'{"offset": "x"}', b"\xff", b"[1]"],
    ids=["empty", "cut", "no-offset", "no-number", "not-utf8", "list"],
)
def test_append_with_a_garbled_response_may_have_been_stored(
    monkeypatch, body
):
    """The service answers an append with 200 and a body that is none.

    Symptom: the caller got an error that it does not handle and did not look
    whether its change was stored. Cause: the error of the decoder was passed
    on as it was.
    """

    def respond(*args, **kwargs):
        del args, kwargs
        return types.SimpleNamespace(status=200, data=body)

    monkeypatch.setattr(urllib3.PoolManager, "request", respond)
    client = logservice.HttpLogClient("http://127.0.0.1:1", timeout_s=1.0)
    with pytest.raises(errors.AppendUnknownError, match="invalid response"):
        client.append("config", b"x")
