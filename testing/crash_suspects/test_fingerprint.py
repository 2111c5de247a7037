# SPDX-License-Identifier: Apache-2.0
"""Fingerprints: which requests count as retries of the same request."""

import dataclasses

import pytest

from lugcross import crash_suspects

REQUEST = crash_suspects.RequestIdentity(
    service="s",
    workspace="w",
    host="h",
    method=b"POST",
    target=b"/r/x?q=1",
    body=b"body",
)


def test_same_request_has_one_fingerprint():
    again = dataclasses.replace(REQUEST)
    assert again.fingerprint() == REQUEST.fingerprint()


@pytest.mark.parametrize(
    "change",
    [
        {"service": "s2"},
        {"workspace": "w2"},
        {"host": "h2"},
        {"method": b"PUT"},
        {"target": b"/r/x"},
        {"body": b"other"},
    ],
    ids=lambda change: next(iter(change)),
)
def test_any_changed_field_changes_the_fingerprint(change):
    other = dataclasses.replace(REQUEST, **change)
    assert other.fingerprint() != REQUEST.fingerprint()


def test_bytes_moved_between_fields_change_the_fingerprint():
    one = dataclasses.replace(REQUEST, target=b"/ab", body=b"c")
    two = dataclasses.replace(REQUEST, target=b"/a", body=b"bc")
    assert one.fingerprint() != two.fingerprint()
