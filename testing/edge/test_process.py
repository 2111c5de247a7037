# SPDX-License-Identifier: Apache-2.0
"""Tests of the program as a separate process: start, stop, bad settings."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

import edge_rig as rig

from lugcross.http1 import caller_request
from lugcross.standin import store as standin

SETTINGS = """
node: n1
domain: d1
listen:
  callers: "127.0.0.1:{callers}"
  ready: "127.0.0.1:{ready}"
  state: "127.0.0.1:{state}"
  peers: "127.0.0.1:{state}"
  metrics: "127.0.0.1:{metrics}"
store: {{address: "{store}", form: log}}
bounds:
  grace_s: 8
  drain_ms: 2000
  change_ms: 2000
  repeat_ratio: 0.2
  repeat_window_s: 10
  repeat_slack: 0
  contact_ms: 3000
memory_mb: 152
"""
DESIRED = (
    b'{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/r/",'
    b'"kind":"streaming","timeout_ms":60000,"service":"app"}],'
    b'"services":[{"name":"app"}],"limits":{"header_bytes":4096,'
    b'"body_bytes":4096,"header_ms":60000,"idle_ms":60000}}'
)


async def _start(path: pathlib.Path, text: str) -> asyncio.subprocess.Process:
    path.write_text(text, encoding="utf-8")
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lugcross",
        "edge",
        env={**os.environ, "LUGCROSS_CONFIG": str(path)},
        stdout=asyncio.subprocess.PIPE,
    )


async def _get(port: int, path: bytes) -> rig.CallerAnswer:
    try:
        reader, writer = await asyncio.open_connection(rig.HOST, port)
    except OSError:
        return rig.CallerAnswer(0, {}, b"", False)
    writer.write(
        b"GET " + path + b" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    )
    got = await reader.read()
    writer.close()
    return rig.parse_answer(got)


def _header_fields(req: bytes) -> list[tuple[bytes, bytes]]:
    """Return the names and values of a request's header fields."""
    head, _, _ = req.partition(b"\r\n\r\n")
    fields = [line.partition(b": ") for line in head.split(b"\r\n")[1:]]
    return [(name, value) for name, _, value in fields]


async def _until_status(port: int, status: int) -> None:
    while (await _get(port, b"/readiness")).status != status:
        await asyncio.sleep(0.01)


def test_stop_signal_lets_an_open_stream_finish(tmp_path):
    async def main():
        may_finish = asyncio.Event()

        async def slow(seen, writer):
            await rig.events(b"id: 1\ndata: a\n\n", end=False)(
                seen, _WriterThatStaysOpen(writer)
            )
            await may_finish.wait()
            part = b"id: 2\ndata: b\n\n"
            writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(part), part))

        backend = rig.FakeBackend([slow])
        await backend.start()
        store = standin.StoreStandin()
        address = await store.start(rig.HOST)
        store.append("keyed.op", "config", DESIRED)
        backend_address = f"{rig.HOST}:{backend.port}"
        entry = rig.backend_entry("app", backend_address, "d1", slots=2)
        store.append("keyed.servers", "i-1", entry)
        ports = {
            name: rig.reserve_port()
            for name in ("callers", "ready", "state", "metrics")
        }
        text = SETTINGS.format(store=address, **ports)
        proc = await _start(tmp_path / "edge.yaml", text)
        await _until_status(ports["ready"], 200)

        reader, writer = await asyncio.open_connection(
            rig.HOST, ports["callers"]
        )
        writer.write(rig.request())
        first = await reader.readuntil(b"data: a\n\n")
        figures = (await _get(ports["metrics"], b"/metrics")).body
        # The head of the request in progress, and nothing else.
        held = caller_request.head_bytes(_header_fields(rig.request()))
        assert b"lugcross_edge_held_bytes %.1f" % held in figures
        assert b"lugcross_edge_held_bytes_limit 4.4e+07" in figures
        proc.send_signal(signal.SIGTERM)
        await _until_status(ports["ready"], 503)
        may_finish.set()
        got = rig.parse_answer(first + await reader.read())
        logs, _ = await proc.communicate()
        backend.close()
        store.close()
        return got, proc.returncode, logs.decode()

    got, code, logs = asyncio.run(main())
    assert got.complete
    assert got.body.endswith(b"data: b\n\n")
    assert code == 0
    for message in ("started", "desired state", "stop requested", "drained"):
        assert f'"message": "{message}"' in logs


class _WriterThatStaysOpen:
    """A writer whose ``close`` does nothing, so that more can be written."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.write = writer.write
        self.drain = writer.drain

    def close(self) -> None:
        """Leave the connection open."""


def _desired_version(metrics: bytes) -> int:
    """Return the version of the desired state in force, from the metrics."""
    name = b"lugcross_desired_version "
    values = [
        line.removeprefix(name)
        for line in metrics.splitlines()
        if line.startswith(name)
    ]
    return int(float(values[0]))


def test_desired_state_beyond_a_cut_answer_is_in_force(tmp_path):
    # Symptom: the newest desired state was never in force. Sequence: more
    # than one answer of the store holds was written during an outage. Cause:
    # the next read started at the end of the topic, not of the answer.
    async def main():
        store = standin.StoreStandin()
        address = await store.start(rig.HOST)
        store.append("keyed.op", "config", DESIRED)
        entry = rig.backend_entry("app", f"{rig.HOST}:1", "d1", slots=2)
        store.append("keyed.servers", "i-1", entry)
        names = ("callers", "ready", "state", "metrics")
        ports = {name: rig.reserve_port() for name in names}
        proc = await _start(
            tmp_path / "edge.yaml", SETTINGS.format(store=address, **ports)
        )
        await _until_status(ports["ready"], 200)
        store.unavailable = True
        padding = b" " * (standin.MAX_READ_BYTES // 11)
        for version in range(2, 18):
            state = DESIRED.replace(b'"version":1', b'"version":%d' % version)
            store.append("keyed.op", "config", state + padding)
        await asyncio.sleep(1.0)
        store.unavailable = False
        found = 0
        async with asyncio.timeout(30):
            while found != version:
                figures = await _get(ports["metrics"], b"/metrics")
                found = _desired_version(figures.body)
                await asyncio.sleep(0.05)
        proc.send_signal(signal.SIGTERM)
        logs, _ = await proc.communicate()
        store.close()
        return figures.body, logs.decode()

    figures, logs = asyncio.run(main())
    assert (
        b'lugcross_edge_topic_records_behind{topic="keyed.op"} 0.0' in figures
    )
    cut = next(line for line in logs.splitlines() if "incomplete" in line)
    assert '"from": 1, "records": 10, "end": 17' in cut


def test_bad_settings_name_file_field_and_remedy(tmp_path):
    path = tmp_path / "edge.yaml"
    good = SETTINGS.format(
        store="127.0.0.1:1", callers=1, ready=2, state=3, metrics=4
    )
    for old, new, named in (
        ("form: log", "form: table", "form"),
        ("grace_s: 8", "grace_s: soon", "grace_s"),
        ("node: n1", "node: n1\nsurplus: 1", "surplus"),
    ):
        path.write_text(good.replace(old, new), encoding="utf-8")
        done = subprocess.run(
            [sys.executable, "-m", "lugcross", "edge", str(path)],
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 1
        assert str(path) in done.stderr
        assert named in done.stderr
