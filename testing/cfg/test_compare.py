# SPDX-License-Identifier: Apache-2.0
"""Differences between a wanted configuration and the one in force."""

import pathlib

import pytest

from lugcross import cfg
from lugcross import errors
from lugcross import ids


def test_example_file_applies_in_the_order_of_its_references() -> None:
    text = pathlib.Path("examples/fleet.yaml").read_text(encoding="utf-8")
    wanted = cfg.load_wanted(text, source="fleet.yaml").objects()
    config = cfg.Config()
    for num, one in enumerate(cfg.compare({}, wanted), start=1):
        change = cfg.Change(
            id=ids.ChangeId(str(num)),
            author="ann",
            at=0.0,
            expect=one.expect,
            op=one.op,
        )
        config, applied = cfg.step(config, ids.Offset(num), cfg.encode(change))
        assert applied.verdict is cfg.Verdict.ACCEPTED, applied.reason
    current = {
        ref: (item.obj, item.revision) for ref, item in config.items.items()
    }
    assert cfg.compare(current, wanted, prune=True) == []


def test_changed_field_is_shown_with_both_values() -> None:
    before = cfg.WorkspaceGroup(name="g", share=1.0)
    after = cfg.WorkspaceGroup(name="g", share=2.0)
    current = {before.ref: (before, ids.Revision(7))}
    (one,) = cfg.compare(current, [after])
    assert one.expect == 7
    assert str(one) == "~ group/g (share: 1.0 -> 2.0)"


def test_prune_removes_users_before_what_they_use() -> None:
    group = cfg.WorkspaceGroup(name="g", share=1.0)
    space = cfg.Workspace(name="w", group="g")
    current = {obj.ref: (obj, ids.Revision(1)) for obj in (group, space)}
    found = cfg.compare(current, [], prune=True)
    assert [str(one) for one in found] == ["- workspace/w", "- group/g"]


def test_unknown_field_is_named() -> None:
    with pytest.raises(errors.SettingsError, match="shares"):
        cfg.load_wanted(
            "groups: [{name: g, share: 1.0, shares: 2}]", source="fleet.yaml"
        )
