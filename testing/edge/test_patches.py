# SPDX-License-Identifier: Apache-2.0
"""Patches turn one record into another, or are rejected."""

import fleet_rig
from hypothesis import given
from hypothesis import strategies
import pytest

from lugcross.edge import messages
from lugcross.edge import patches

PART = strategies.sampled_from([b"a", b"b}", b"cc}", b"}", b"{d}", b""])
RECORD = strategies.lists(PART, max_size=20).map(b"".join)


@given(base=RECORD, record=RECORD)
def test_patch_makes_the_record_from_any_base(base: bytes, record: bytes):
    patch = patches.make(base, record)
    assert patches.apply(base, patch) == record


@given(base=RECORD, record=RECORD, other=RECORD)
def test_patch_applied_to_another_base_never_makes_a_wrong_record(
    base: bytes, record: bytes, other: bytes
):
    patch = patches.make(base, record)
    try:
        made = patches.apply(other, patch)
    except patches.PatchError:
        return
    assert made == record


def test_patch_of_a_tenth_of_a_large_record_takes_under_an_eighth():
    base, record = (
        fleet_rig.desired_record(num, routes=1640) for num in (1, 2)
    )
    data = messages.encode(patches.make(base, record))
    assert len(data) < len(record) / 8


@pytest.mark.parametrize(
    "splices",
    [
        [patches.Splice(-1, 1)],
        [patches.Splice(0, -1)],
        [patches.Splice(7, 1)],
        [],
    ],
    ids=["start", "count", "beyond", "nothing"],
)
def test_patch_out_of_range_is_rejected(splices: list[patches.Splice]):
    patch = patches.Patch(patches.digest(b"{1}{2}"), splices)
    with pytest.raises(patches.PatchError):
        patches.apply(b"{1}", patch)


@given(record=RECORD)
def test_compressed_record_is_decompressed(record: bytes):
    assert patches.decompress(patches.compress(record)) == record


@pytest.mark.parametrize(
    "data",
    [b"x", patches.compress(b"{1}")[:-1], patches.compress(bytes(2**24 + 1))],
    ids=["not-compressed", "truncated", "too-large"],
)
def test_invalid_compressed_data_is_rejected(data: bytes):
    with pytest.raises(patches.PatchError):
        patches.decompress(data)
