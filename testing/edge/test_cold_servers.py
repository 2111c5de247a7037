# SPDX-License-Identifier: Apache-2.0
"""Cold servers in admission, in the choice of servers and in what it tells."""

import asyncio
import dataclasses
import datetime
import logging
import pathlib

import edge_rig
import pytest

from lugcross import clock as clock_lib
from lugcross import desired
from lugcross.edge import settings as settings_lib
from lugcross import errors
from lugcross import ids
from lugcross import platform

SECOND = datetime.timedelta(seconds=1)
SERVICE = ids.ServiceName("app")
COLD_LIMIT = desired.ColdLimit(duration=3 * SECOND, requests_per_s=2.0)


def _rig(
    clock: clock_lib.ManualClock,
    cold_limit: desired.ColdLimit | None = COLD_LIMIT,
) -> edge_rig.Rig:
    rig = edge_rig.Rig(clock)
    rig.adopt(edge_rig.SAFE_ROUTE)
    state = rig.edge_state.desired
    assert state is not None
    service = desired.Service(name=SERVICE, cold_limit=cold_limit)
    rig.edge_state.desired = dataclasses.replace(
        state, services={SERVICE: service}
    )
    return rig


def _write_entries(rig: edge_rig.Rig, offset: int, *cold_ms: int) -> None:
    """Write an entry for each time; the servers are not running."""
    records = tuple(
        platform.KeyedRecord(
            ids.Offset(offset + num),
            f"i-{num}",
            edge_rig.backend_entry(SERVICE, "127.0.0.1:1", cold_ms=one),
        )
        for num, one in enumerate(cold_ms)
    )
    end = ids.Offset(offset + len(records))
    rig.edge_state.backends.apply(
        platform.ReadResult(end=end, records=records), store_was_away=False
    )


def _metric(rig: edge_rig.Rig, name: str) -> str | None:
    """Return the value of a metric without labels, or with the service."""
    for line in rig.edge_state.metrics.text().decode().splitlines():
        if line.startswith((f"{name} ", f"{name}{{")):
            return line.split()[-1]
    return None


def test_cold_server_that_says_so_gets_no_more_than_its_rate():
    cold = edge_rig.answer(200, b"whole", b"Cold-Milliseconds: 3000")

    async def act(rig, clock):
        assert (await rig.ask()).status == 200
        refused = await rig.ask()
        assert refused.status == 503
        assert len(rig.backends[0].seen) == 1
        assert _metric(rig, "lugcross_edge_cold_refused_total") == "1.0"
        clock.advance(float(refused.headers[b"retry-after"]) * SECOND)
        assert (await rig.ask()).status == 200

    async def main():
        clock = clock_lib.ManualClock()
        rig = _rig(clock)
        await rig.start([cold] * 4)
        try:
            await act(rig, clock)
        finally:
            rig.close()

    asyncio.run(main())


def test_warm_servers_serve_beyond_the_rate_of_a_cold_one():
    cold = edge_rig.answer(200, b"whole", b"Cold-Milliseconds: 3000")

    async def main():
        rig = _rig(clock_lib.ManualClock())
        await rig.start([cold] * 9, [edge_rig.answer()] * 9)
        try:
            for _ in range(8):
                assert (await rig.ask()).status == 200
            return len(rig.backends[0].seen)
        finally:
            rig.close()

    assert asyncio.run(main()) == 1


def test_requests_at_the_same_time_do_not_choose_the_same_cold_server():
    # All but one would have to be sent elsewhere after their connections
    # were opened, and would be refused after some of these attempts.
    cold = edge_rig.answer(200, b"whole", b"Cold-Milliseconds: 3000")

    async def main():
        clock = clock_lib.ManualClock()
        rig = _rig(clock)
        await rig.start([cold] * 9, [edge_rig.answer()] * 9)
        try:
            await rig.ask()
            rig.edge_state.pool.close()
            clock.advance(1.2 * SECOND)
            # The other server looks busier than the cold one.
            for _ in range(30):
                rig.edge_state.loads.record_started(desired.BackendKey("i-1"))
            answers = await asyncio.gather(*(rig.ask() for _ in range(6)))
            assert {one.status for one in answers} == {200}
            text = rig.edge_state.metrics.text()
            return text.count(b'event="unreached"')
        finally:
            rig.close()

    assert asyncio.run(main()) == 0


@pytest.mark.parametrize(
    ("per_s", "servers"),
    [
        pytest.param(0.0, 3.0, id="no-limit"),
        pytest.param(1000.0, 3.0, id="more-than-its-slots"),
        pytest.param(15.0, 2.5, id="half-of-its-slots"),
        pytest.param(0.001, 2.0, id="nearly-none"),
    ],
)
def test_cold_server_counts_as_far_as_its_rate_allows(
    manual_clock, per_s, servers
):
    limit = dataclasses.replace(COLD_LIMIT, requests_per_s=per_s)
    rig = _rig(manual_clock, limit if per_s else None)
    _write_entries(rig, 0, 3000, 0, 0)
    snapshot = rig.edge_state.load_snapshot(SERVICE)
    assert snapshot.servers == pytest.approx(servers, abs=0.01)
    assert snapshot.slots == pytest.approx(6 * servers, abs=1.0)
    # What a cold server runs already counts too.
    key = desired.BackendKey("i-0")
    for _ in range(6):
        rig.edge_state.loads.record_started(key)
    manual_clock.advance(SECOND / 20)
    assert rig.edge_state.load_snapshot(SERVICE).servers == 3.0


def test_cold_state_is_logged_once_at_its_start_and_end(manual_clock, caplog):
    caplog.set_level(logging.INFO)
    rig = _rig(manual_clock)
    _write_entries(rig, 0, 3000)
    manual_clock.advance(1.2 * SECOND)
    _write_entries(rig, 9, 1800)
    for _ in range(5):
        manual_clock.advance(SECOND)
        rig.edge_state.drop_outdated()
    told = [one for one in caplog.records if "cold" in one.message]
    assert [one.message for one in told] == [
        "backend server is cold",
        "backend server is no longer cold",
    ]
    assert told[0].backend == "i-0"
    assert told[0].per_s == 2.0
    assert told[0].left_ms == 3000
    assert told[0].source == "entry"


def test_desired_state_that_is_read_after_the_entries_applies(manual_clock):
    rig = edge_rig.Rig(manual_clock)
    _write_entries(rig, 0, 3000)
    assert not rig.edge_state.limits.cold_servers()
    service = desired.Service(name=SERVICE, cold_limit=COLD_LIMIT)
    state = desired.DesiredState(
        version=1,
        routes={},
        services={SERVICE: service},
        limits=edge_rig.LIMITS,
        workspaces_by_key={},
        keys_required=False,
    )
    rig.edge_state.adopt(state, b"")
    assert rig.edge_state.limits.cold_servers() == {"i-0"}


_TEXT = """
node: n1
domain: d1
listen: {{callers: "h:1", ready: "h:1", state: "h:1", peers: "h:1"}}
store: {{address: "h:1", form: log}}
bounds:
  grace_s: 8
  drain_ms: 2000
  change_ms: 2000
  repeat_ratio: 0.2
  repeat_window_s: 10
  repeat_slack: 0
  contact_ms: 3000
{more}
"""


def _load(tmp_path: pathlib.Path, more: str) -> settings_lib.Bounds:
    path = tmp_path / "edge.yaml"
    path.write_text(_TEXT.format(more=more), encoding="utf-8")
    return settings_lib.load(str(path)).bounds


def test_settings_without_cold_servers_allow_the_rate_itself(tmp_path):
    bounds = _load(tmp_path, "")
    assert (bounds.cold_overshoot, bounds.cold_slack) == (1.0, 0.0)


def test_settings_say_what_a_cold_server_may_get(tmp_path):
    bounds = _load(tmp_path, "  cold_overshoot: 1.5\n  cold_slack: 5")
    assert (bounds.cold_overshoot, bounds.cold_slack) == (1.5, 5.0)


@pytest.mark.parametrize(
    "more",
    [
        "  cold_overshoot: 0",
        "  cold_overshoot: -1",
        "  cold_overshoot: .inf",
        "  cold_overshoot: .nan",
        "  cold_overshoot: much",
        "  cold_slack: -0.1",
        "  cold_slack: .inf",
        "  cold_slack: .nan",
    ],
)
def test_invalid_bounds_are_refused(tmp_path, more):
    with pytest.raises(errors.SettingsError):
        _load(tmp_path, more)
