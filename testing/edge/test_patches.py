# SPDX-License-Identifier: Apache-2.0
"""Patches lead from one record to another, or are refused."""

import fleet_rig
from hypothesis import given
from hypothesis import strategies
import pytest

from lugcross.edge import messages
from lugcross.edge import patches

PART = strategies.sampled_from([b"a", b"b}", b"cc}", b"}", b"{d}", b""])
RECORD = strategies.lists(PART, max_size=20).map(b"".join)


@given(base=RECORD, record=RECORD)
def test_patch_makes_the_record_of_any_base(base: bytes, record: bytes):
    patch = patches.make(base, record)
    assert patches.apply(base, patch) == record


@given(base=RECORD, record=RECORD, other=RECORD)
def test_patch_for_another_base_is_never_believed(
    base: bytes, record: bytes, other: bytes
):
    patch = patches.make(base, record)
    try:
        made = patches.apply(other, patch)
    except patches.PatchError:
        return
    assert made == record


def test_change_of_a_tenth_of_a_large_state_takes_an_eighth_of_its_bytes():
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
def test_patch_out_of_range_is_refused(splices: list[patches.Splice]):
    patch = patches.Patch(patches.digest(b"{1}{2}"), splices)
    with pytest.raises(patches.PatchError):
        patches.apply(b"{1}", patch)


@given(record=RECORD)
def test_compressed_record_is_decompressed(record: bytes):
    assert patches.decompress(patches.compress(record)) == record


@pytest.mark.parametrize(
    "data",
    [b"x", patches.compress(b"{1}")[:-1], patches.compress(bytes(2**24 + 1))],
    ids=["no-record", "cut-short", "too-large"],
)
def test_what_was_not_compressed_is_refused(data: bytes):
    with pytest.raises(patches.PatchError):
        patches.decompress(data)
