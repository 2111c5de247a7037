# SPDX-License-Identifier: Apache-2.0
"""Signals that arrive while an edge process starts or ends.

Symptom: a process that was told to reload its settings within 0.3 s of its
start ended by that signal. Cause: the handler was installed once the event
loop ran, after all imports.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time

import edge_rig
import pytest

from lugcross import process_signals

SETTINGS = """
node: n1
domain: d1
listen:
  callers: "127.0.0.1:{ports[0]}"
  ready: "127.0.0.1:{ports[1]}"
  state: "127.0.0.1:{ports[2]}"
  peers: "127.0.0.1:{ports[3]}"
store: {{address: "127.0.0.1:{ports[4]}", form: log}}
bounds:
  grace_s: 8
  drain_ms: 2000
  change_ms: 2000
  repeat_ratio: 0.2
  repeat_window_s: 10
  repeat_slack: 0
  contact_ms: 3000
"""
#: Times after the first handler was installed; the program's modules take
#: some tenths of a second to import.
DELAYS_S = (0.0, 0.02, 0.05, 0.1, 0.2, 0.3)


@contextlib.contextmanager
def _running(path: pathlib.Path) -> Iterator[subprocess.Popen[bytes]]:
    """Run an edge process with the settings at a path."""
    proc = subprocess.Popen(
        [sys.executable, "-m", "lugcross", "edge"],
        env={**os.environ, "LUGCROSS_CONFIG": str(path)},
        stdout=subprocess.PIPE,
    )
    try:
        yield proc
    finally:
        proc.kill()
        proc.wait()
        proc.stdout.close()


@pytest.fixture
def process(tmp_path):
    """Start an edge process; yield it once it handles signals."""
    path = tmp_path / "edge.yaml"
    ports = [edge_rig.reserve_port() for _ in range(5)]
    path.write_text(SETTINGS.format(ports=ports), encoding="utf-8")
    with _running(path) as proc:
        _wait_until_caught(proc.pid)
        yield proc


def _wait_until_caught(pid: int) -> None:
    """Wait until a process has a handler for SIGHUP."""
    mask = 1 << (signal.SIGHUP - 1)
    status = pathlib.Path(f"/proc/{pid}/status")
    while True:
        lines = status.read_text(encoding="utf-8").splitlines()
        fields = dict(line.split(":", 1) for line in lines)
        if int(fields["SigCgt"], 16) & mask:
            return
        time.sleep(0.001)


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_reload_signal_at_the_start_is_kept(process, delay_s):
    time.sleep(delay_s)
    process.send_signal(signal.SIGHUP)
    for line in process.stdout:
        if b'"settings reloaded"' in line:
            break
    process.send_signal(signal.SIGTERM)
    process.wait()
    assert process.returncode == 0


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_stop_signal_at_the_start_ends_the_process_cleanly(process, delay_s):
    time.sleep(delay_s)
    process.send_signal(signal.SIGTERM)
    process.wait()
    assert process.returncode == 0


def test_signals_at_the_end_do_not_change_the_exit_status(process):
    for line in process.stdout:
        if b'"started"' in line:
            break
    process.send_signal(signal.SIGTERM)
    while process.poll() is None:
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        time.sleep(0.001)
    assert process.returncode == 0


@pytest.fixture
def starting_process(tmp_path):
    """Start an edge process that waits for its settings; yield both."""
    path = tmp_path / "edge.yaml"
    os.mkfifo(path)
    with _running(path) as proc:
        yield proc, path


def test_reload_signal_before_the_settings_are_read(starting_process):
    process, path = starting_process
    ports = [edge_rig.reserve_port() for _ in range(5)]
    text = SETTINGS.format(ports=ports).encode()
    # Opening it returns once the process reads it.
    with path.open("wb") as file:
        process.send_signal(signal.SIGHUP)
        file.write(text)
    path.unlink()
    path.write_bytes(text)
    for line in process.stdout:
        if b'"settings reloaded"' in line:
            break
    process.send_signal(signal.SIGTERM)
    process.wait()
    assert process.returncode == 0


def test_stop_signal_before_the_settings_are_read(starting_process):
    process, path = starting_process
    with path.open("wb"):
        process.send_signal(signal.SIGTERM)
        process.wait()
    assert process.returncode == 0


@pytest.fixture
def signals():
    """Return handlers that are installed until the test ends."""
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    before = {num: signal.getsignal(num) for num in numbers}
    found = process_signals.ProcessSignals()
    found.install()
    yield found
    for num, handler in before.items():
        signal.signal(num, handler)


def test_reload_before_the_loop_is_done_once(signals):
    async def main() -> list[str]:
        calls = []
        signals.attach(
            asyncio.get_running_loop(),
            on_stop=lambda: calls.append("stop"),
            on_reload=lambda: calls.append("reload"),
        )
        await asyncio.sleep(0)
        signal.raise_signal(signal.SIGTERM)
        await asyncio.sleep(0.01)
        signals.detach()
        signal.raise_signal(signal.SIGTERM)
        signal.raise_signal(signal.SIGHUP)
        await asyncio.sleep(0.01)
        return calls

    signal.raise_signal(signal.SIGHUP)
    signal.raise_signal(signal.SIGHUP)
    assert asyncio.run(main()) == ["reload", "stop"]


@pytest.mark.parametrize("num", [signal.SIGTERM, signal.SIGINT])
def test_stop_before_the_loop_exits(signals, num):
    with pytest.raises(SystemExit) as raised:
        signal.raise_signal(num)
    assert raised.value.code == 0
