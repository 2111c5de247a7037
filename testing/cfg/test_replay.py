# SPDX-License-Identifier: Apache-2.0
"""Replay: racing operators, repeats, and records that are kept out."""

import cbor2
import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from lugcross import cfg
from lugcross import errors
from lugcross import ids

GROUP = cfg.WorkspaceGroup(name="g", share=1.0)


def change(
    obj: cfg.Object, *, expect: int = 0, id: str = "c1", author: str = "ann"
) -> cfg.Change:
    return cfg.Change(
        id=ids.ChangeId(id),
        author=author,
        at=0.0,
        expect=ids.Revision(expect),
        op=cfg.Put(obj),
    )


def replay(*changes: cfg.Change) -> tuple[cfg.Config, list[cfg.Applied]]:
    config = cfg.Config()
    results = []
    for offset, one in enumerate(changes, start=1):
        config, applied = cfg.step(config, ids.Offset(offset), cfg.encode(one))
        results.append(applied)
    return config, results


def test_first_of_two_racing_changes_wins_and_the_other_hears_who_won() -> (
    None
):
    _, results = replay(
        change(GROUP, id="a", author="ann"),
        change(GROUP, id="b", author="bob"),
    )
    assert results[0].verdict is cfg.Verdict.ACCEPTED
    assert results[1].verdict is cfg.Verdict.STALE
    assert (results[1].current, results[1].holder) == (1, "ann")


def test_change_appended_twice_counts_once_and_stays_accepted() -> None:
    one = change(GROUP, id="a")
    config, results = replay(one, one)
    assert results[1].verdict is cfg.Verdict.REPEATED
    assert config.settled[one.id].verdict is cfg.Verdict.ACCEPTED


def test_gap_is_detected() -> None:
    with pytest.raises(errors.ReplayGapError):
        cfg.step(cfg.Config(), ids.Offset(2), cfg.encode(change(GROUP)))


def test_record_at_or_before_the_state_changes_nothing() -> None:
    config, _ = replay(change(GROUP))
    again, applied = cfg.step(config, ids.Offset(1), b"whatever")
    assert again is config
    assert applied.verdict is cfg.Verdict.REPEATED


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        cbor2.dumps([1, 2]),
        cbor2.dumps({**msgspec.to_builtins(change(GROUP)), "schema": 99}),
    ],
    ids=["empty", "not-cbor", "not-a-change", "newer-schema"],
)
def test_bad_record_is_kept_out_and_the_rest_goes_on(data: bytes) -> None:
    config, applied = cfg.step(cfg.Config(), ids.Offset(1), data)
    assert applied.verdict is cfg.Verdict.KEPT_OUT
    config, applied = cfg.step(
        config, ids.Offset(2), cfg.encode(change(GROUP))
    )
    assert applied.verdict is cfg.Verdict.ACCEPTED


@pytest.mark.parametrize(
    ("obj", "word"),
    [
        (cfg.WorkspaceGroup(name="g", share=0.0), "share"),
        (cfg.WorkspaceGroup(name="g", share=float("nan")), "share"),
        (cfg.WorkspaceGroup(name="a/b", share=1.0), "slash"),
        (cfg.Workspace(name="w", group="none"), "does not exist"),
        (
            cfg.BackendServer(name="b", domain="d", host="h.local", port=1),
            "IP number",
        ),
    ],
    ids=["no-share", "nan-share", "slash", "no-group", "host-name"],
)
def test_invalid_object_is_refused_with_the_field_to_mend(
    obj: cfg.Object, word: str
) -> None:
    _, results = replay(change(obj))
    assert results[0].verdict is cfg.Verdict.INVALID
    assert word in results[0].reason


def test_key_of_another_workspace_is_refused() -> None:
    spaces = [
        cfg.Workspace(name=name, group="g", key_hashes=("k",))
        for name in ("w1", "w2")
    ]
    _, results = replay(
        change(GROUP, id="a"),
        change(spaces[0], id="b"),
        change(spaces[1], id="c"),
    )
    assert results[2].verdict is cfg.Verdict.INVALID


def test_group_in_use_cannot_be_removed() -> None:
    config, _ = replay(
        change(GROUP, id="a"),
        change(cfg.Workspace(name="w", group="g"), id="b"),
    )
    removal = cfg.Change(
        id=ids.ChangeId("c"),
        author="ann",
        at=0.0,
        expect=ids.Revision(1),
        op=cfg.Remove(cfg.Kind.GROUP, "g"),
    )
    verdict, reason = cfg.judge(config, removal)
    assert verdict is cfg.Verdict.INVALID
    assert "workspace/w" in reason


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(["g1", "g2"]),
            st.integers(0, 8),
            st.sampled_from(["c1", "c2", "c3", "c4", "c5"]),
            st.sampled_from([1.0, 2.0]),
        ),
        max_size=12,
    )
)
def test_replay_agrees_with_a_naive_compare_and_set(
    ops: list[tuple[str, int, str, float]],
) -> None:
    config = cfg.Config()
    naive: dict[str, tuple[float, int]] = {}
    seen: set[str] = set()
    for offset, (name, expect, id, share) in enumerate(ops, start=1):
        obj = cfg.WorkspaceGroup(name=name, share=share)
        one = change(obj, expect=expect, id=id)
        config, _ = cfg.step(config, ids.Offset(offset), cfg.encode(one))
        if id not in seen and naive.get(name, (0.0, 0))[1] == expect:
            naive[name] = (share, offset)
        seen.add(id)
    assert naive == {
        ref.name: (item.obj.share, item.revision)
        for ref, item in config.items.items()
        if isinstance(item.obj, cfg.WorkspaceGroup)
    }
