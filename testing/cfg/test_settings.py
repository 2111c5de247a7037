# SPDX-License-Identifier: Apache-2.0
"""Settings: every error names file, path and remedy."""

import pathlib

import pytest

from lugcross import cfg
from lugcross import errors
from lugcross import yamlfile

GOOD = pathlib.Path("examples/entry.yaml").read_text(encoding="utf-8")


@pytest.mark.parametrize("name", ["entry", "agent"])
def test_example_file_is_good(name: str) -> None:
    settings = cfg.settings.check(f"examples/{name}.yaml")
    assert type(settings).__name__.lower() == name


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ("notice_s: 5.0", "notice: 5.0", "unknown field `notice`"),
        ("port: 8080", "port: '8080'", "$.http.port"),
        ("port: 8080", "port: 80800", "$.http"),
        ("host: 127.0.0.1", "host: localhost", "$.http"),
        ("domain: a", "domain: 3", "$.node.domain"),
        ("role: editor", "role: king", "$.operators[0].role"),
        ("program: entry", "program: [", "not YAML"),
    ],
    ids=[
        "unknown-field",
        "text-port",
        "large-port",
        "host-name",
        "number-domain",
        "role",
        "yaml",
    ],
)
def test_bad_field_is_named(old: str, new: str, path: str) -> None:
    assert old in GOOD
    with pytest.raises(errors.SettingsError) as caught:
        yamlfile.parse(
            GOOD.replace(old, new, 1), cfg.settings.Entry, source="e.yaml"
        )
    assert "e.yaml" in str(caught.value)
    assert path in str(caught.value)
    assert caught.value.remedy


def test_file_that_is_not_there_is_named(tmp_path: pathlib.Path) -> None:
    path = str(tmp_path / "none.yaml")
    with pytest.raises(errors.SettingsError, match="none.yaml"):
        yamlfile.load(path, cfg.settings.Entry)
