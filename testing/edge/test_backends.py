# SPDX-License-Identifier: Apache-2.0
"""Tests of the list of backend servers: late, missing and removed records."""

import datetime

import edge_rig
import pytest

from lugcross import clock as clock_lib
from lugcross.edge import backends as backends_lib
from lugcross import ids
from lugcross import platform

SERVICE = ids.ServiceName("s")
DRAIN = datetime.timedelta(seconds=2)


def _record(offset: int, key: str, state: str = "ready"):
    return _entry(offset, key, state=state)


def _entry(offset: int, key: str, **changes: object):
    value = edge_rig.backend_entry("s", "10.0.0.1:80", **changes)
    return platform.KeyedRecord(ids.Offset(offset), key, value)


def _removal(offset: int, key: str):
    return platform.KeyedRecord(ids.Offset(offset), key, b"")


class _Rig:
    def __init__(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.backends = backends_lib.Backends(
            self.clock, max_drain_time=lambda: DRAIN
        )

    def apply(self, *records, end=100, away=False, newest=False):
        tail = platform.ReadResult(end=ids.Offset(end), records=records)
        put = self.backends.replace if newest else self.backends.apply
        put(tail, store_was_away=away)

    def usable(self):
        return sorted(one.key for one in self.backends.usable(SERVICE))

    def advance(self, seconds):
        self.clock.advance(datetime.timedelta(seconds=seconds))


def test_older_record_is_ignored():
    rig = _Rig()
    rig.apply(_record(5, "a", "draining"), _record(6, "b"))
    rig.apply(_record(4, "a"))
    assert rig.usable() == ["b"]


def test_leaving_server_is_not_used_while_another_is_ready():
    rig = _Rig()
    rig.apply(_record(1, "a"), _record(2, "b"))
    rig.apply(_record(3, "a", "draining"))
    assert rig.usable() == ["b"]


def test_last_server_is_used_for_part_of_the_drain_bound_only():
    rig = _Rig()
    rig.apply(_record(1, "a"))
    rig.apply(_record(2, "a", "draining"))
    assert rig.usable() == ["a"]
    rig.advance(1.1)
    assert rig.usable() == []


def test_second_leaving_record_does_not_extend_the_use_of_a_server():
    rig = _Rig()
    rig.apply(_record(1, "a", "draining"))
    rig.advance(0.9)
    rig.apply(_record(2, "a", "draining"))
    rig.advance(0.2)
    assert rig.usable() == []


def test_server_is_not_used_after_its_entry_is_removed():
    rig = _Rig()
    rig.apply(_record(1, "a"), _record(2, "b"))
    rig.apply(_removal(3, "a"))
    assert rig.usable() == ["b"]


def test_servers_that_lapsed_together_are_used_until_one_writes_again():
    rig = _Rig()
    rig.apply(_record(1, "a"), _record(2, "b"))
    rig.apply(_removal(3, "a"), _removal(4, "b"), away=True)
    rig.advance(1.6)
    assert rig.usable() == ["a", "b"]
    rig.apply(_record(5, "a"))
    assert rig.usable() == ["a"]


def test_lapsed_servers_are_not_used_as_long_as_the_drain_bound():
    rig = _Rig()
    rig.apply(_record(1, "a"), _record(2, "b"))
    rig.apply(_removal(3, "a"), _removal(4, "b"), away=True)
    rig.advance(1.8)
    assert rig.usable() == []


def test_single_server_removed_after_a_store_outage_is_not_used():
    rig = _Rig()
    rig.apply(_record(1, "a"), _record(2, "b"), _record(3, "c"))
    rig.apply(_removal(4, "a"), away=True)
    assert rig.usable() == ["b", "c"]


def test_server_missing_from_a_full_listing_is_removed():
    rig = _Rig()
    rig.apply(_record(1, "a"), _record(2, "b"), end=3)
    rig.apply(_record(2, "b"), end=9, newest=True)
    assert rig.usable() == ["b"]


def test_full_listing_does_not_remove_a_server_with_a_newer_record():
    rig = _Rig()
    rig.apply(_record(7, "new"), end=8)
    rig.apply(_record(2, "b"), end=5, newest=True)
    assert rig.usable() == ["b", "new"]


def test_forgotten_server_does_not_return_by_an_old_record():
    rig = _Rig()
    rig.apply(_record(5, "a"))
    rig.backends.forget("a", "another life has its address")
    rig.apply(_record(5, "a"))
    assert rig.usable() == []


def test_invalid_entry_removes_its_server_and_no_other():
    """An invalid entry overwrites the server's own entry in the store.

    It is ignored, but the overwritten entry is not used any longer either,
    because nothing confirms that the server still exists. The next entry
    that the server writes brings it back.
    """
    rig = _Rig()
    rig.apply(_record(1, "a"), _record(2, "b"))
    rig.apply(platform.KeyedRecord(ids.Offset(3), "a", b"{"))
    assert rig.usable() == ["b"]
    rig.apply(_record(4, "a"))
    assert rig.usable() == ["a", "b"]


def test_restarted_server_is_a_new_life():
    rig = _Rig()
    rig.apply(_entry(1, "a", born=1000), _entry(2, "b", born=1000))
    rig.apply(_entry(3, "a", born=2000, sequence=1))
    assert rig.usable() == ["a 2000", "b 1000"]
    assert [one.id for one in rig.backends.all()] == ["b", "a"]


@pytest.mark.parametrize("removed", [False, True], ids=["known", "removed"])
def test_earlier_life_never_replaces_a_later_one(removed: bool):
    rig = _Rig()
    rig.apply(_entry(1, "a", born=2000), _entry(2, "b"))
    if removed:
        rig.apply(_removal(3, "a"))
    rig.apply(_entry(4, "a", born=1000))
    assert rig.usable() == (["b"] if removed else ["a 2000", "b"])


def test_leaving_life_does_not_make_the_next_life_leave():
    rig = _Rig()
    rig.apply(_entry(1, "a", born=1000), _entry(2, "b"))
    rig.apply(_entry(3, "a", born=1000, state="draining"))
    assert rig.usable() == ["b"]
    rig.apply(_entry(4, "a", born=2000))
    assert rig.usable() == ["a 2000", "b"]


def test_entry_without_a_start_time_belongs_to_the_known_life():
    rig = _Rig()
    rig.apply(_entry(1, "a", born=1000))
    rig.apply(_entry(2, "a", state="draining"), _record(3, "b"))
    assert rig.usable() == ["b"]
    rig.apply(_entry(4, "a"))
    assert rig.usable() == ["a 1000", "b"]
