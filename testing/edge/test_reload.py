# SPDX-License-Identifier: Apache-2.0
"""Settings that change while the process runs."""

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


class Settings:
    """A settings file whose time of change moves with each text."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self._changes = 0

    def write(self, text: str) -> None:
        self.path.write_text(text, encoding="utf-8")
        self._changes += 1
        os.utime(self.path, ns=(self._changes, self._changes))


@pytest.fixture
def file(tmp_path: pathlib.Path) -> Settings:
    found = Settings(tmp_path / "edge.yaml")
    found.write(TEXT.format(drain_ms=2000, saving=0.25))
    return found


@pytest.fixture
def edge(file: Settings, manual_clock: clock_lib.ManualClock) -> app_lib.Edge:
    path = str(file.path)
    settings = settings_lib.load(path)
    return app_lib.Edge(settings, clock=manual_clock, settings_path=path)


def test_bounds_count_once_the_file_has_changed_without_a_signal(edge, file):
    file.write(TEXT.format(drain_ms=500, saving=0.5))
    edge.reload_if_changed()
    assert edge.edge_state.bounds.drain_ms == 500


def test_file_that_cannot_be_used_changes_nothing(edge, file):
    file.write("node: [")
    edge.reload_if_changed()
    assert edge.edge_state.bounds.drain_ms == 2000
    file.write(TEXT.format(drain_ms=700, saving=0.25))
    edge.reload_if_changed()
    assert edge.edge_state.bounds.drain_ms == 700


def test_file_that_is_gone_changes_nothing(edge, file):
    file.path.unlink()
    edge.reload_if_changed()
    assert edge.edge_state.bounds.drain_ms == 2000


def test_repeats_that_were_spent_stay_counted_under_other_bounds():
    rig = edge_rig.Rig()
    service = edge_rig.SAFE_ROUTE.weighted_services[0].service
    budget = rig.edge_state.retry_budget(service)
    now = rig.clock.monotonic()
    while budget.try_spend(now):
        pass
    rig.edge_state.apply_settings(edge_rig.settings())
    assert not rig.edge_state.retry_budget(service).try_spend(now)
