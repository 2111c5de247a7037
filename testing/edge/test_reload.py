# SPDX-License-Identifier: Apache-2.0
"""Tests of settings that are reloaded while the process runs."""

import os
import pathlib

import edge_rig
import pytest

from lugcross import clock as clock_lib
from lugcross.edge import app as app_lib
from lugcross.edge import settings as settings_lib

TEXT = """
node: n1
domain: d1
listen:
  callers: "127.0.0.1:1"
  ready: "127.0.0.1:1"
  state: "127.0.0.1:1"
  peers: "127.0.0.1:1"
store: {{address: "127.0.0.1:1", form: log}}
maps: {{least_saving: {saving}}}
bounds:
  grace_s: 8
  drain_ms: {drain_ms}
  change_ms: 2000
  repeat_ratio: 0.2
  repeat_window_s: 10
  repeat_slack: 0
  contact_ms: 3000
"""


class SettingsFile:
    """A settings file whose modification time moves with each write."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self._mtime_ns = 0

    def write(self, text: str) -> None:
        self.path.write_text(text, encoding="utf-8")
        self._mtime_ns += 1
        os.utime(self.path, ns=(self._mtime_ns, self._mtime_ns))


@pytest.fixture
def file(tmp_path: pathlib.Path) -> SettingsFile:
    settings_file = SettingsFile(tmp_path / "edge.yaml")
    settings_file.write(TEXT.format(drain_ms=2000, saving=0.25))
    return settings_file


@pytest.fixture
def edge(
    file: SettingsFile, manual_clock: clock_lib.ManualClock
) -> app_lib.Edge:
    path = str(file.path)
    settings = settings_lib.load(path)
    return app_lib.Edge(settings, clock=manual_clock, settings_path=path)


def test_changed_file_is_reloaded_without_a_signal(edge, file):
    file.write(TEXT.format(drain_ms=500, saving=0.5))
    edge.reload_if_changed()
    assert edge.edge_state.bounds.drain_ms == 500


def test_invalid_file_leaves_settings_as_they_are(edge, file):
    file.write("node: [")
    edge.reload_if_changed()
    assert edge.edge_state.bounds.drain_ms == 2000
    file.write(TEXT.format(drain_ms=700, saving=0.25))
    edge.reload_if_changed()
    assert edge.edge_state.bounds.drain_ms == 700


def test_missing_file_leaves_settings_as_they_are(edge, file):
    file.path.unlink()
    edge.reload_if_changed()
    assert edge.edge_state.bounds.drain_ms == 2000


def test_spent_retry_budget_stays_spent_after_a_reload():
    rig = edge_rig.Rig()
    service = edge_rig.SAFE_ROUTE.weighted_services[0].service
    budget = rig.edge_state.retry_budget(service)
    now = rig.clock.monotonic()
    while budget.try_spend(now):
        pass
    rig.edge_state.apply_settings(edge_rig.settings())
    assert not rig.edge_state.retry_budget(service).try_spend(now)
