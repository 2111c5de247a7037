# SPDX-License-Identifier: Apache-2.0
"""Crash suspects that must not take down one rank group after the other.

A request crashed a server of one rank group, was sent to a server of the other
one and crashed that too; then no group was open for some seconds.
"""

import pytest

from lugcross import crash_suspects

GROUP_A = frozenset({"a1", "a2", "a3"})
GROUP_B = frozenset({"b1", "b2", "b3"})


@pytest.fixture
def containment() -> crash_suspects.GroupContainment:
    return crash_suspects.GroupContainment()


def test_suspect_stays_in_the_group_that_it_may_have_broken(containment):
    containment.note_broken(GROUP_A, frozenset({"a1"}))
    assert containment.servers_for(["a1"]) == GROUP_A


def test_suspect_of_an_unknown_group_may_go_anywhere(containment):
    containment.note_broken(GROUP_B, frozenset({"a1"}))
    assert containment.servers_for(["a1"]) is None


def test_suspect_of_two_groups_stays_in_these(containment):
    containment.note_broken(GROUP_A, frozenset({"a1", "b1"}))
    containment.note_broken(GROUP_B, frozenset({"a1", "b1"}))
    assert containment.servers_for(["a1", "b1"]) == GROUP_A | GROUP_B


@pytest.mark.parametrize("reverse", [False, True])
def test_report_of_both_groups_does_not_widen_that_of_one(
    containment, reverse
):
    reports = [GROUP_A, GROUP_A | GROUP_B]
    for broken in reversed(reports) if reverse else reports:
        containment.note_broken(broken, frozenset({"a1"}))
    assert containment.servers_for(["a1"]) == GROUP_A


def test_groups_are_dropped_with_their_crashes(containment):
    containment.note_broken(GROUP_A, frozenset({"a1"}))
    containment.retain_only(frozenset({"b1"}))
    assert containment.servers_for(["a1"]) is None
