# SPDX-License-Identifier: Apache-2.0
"""Entry hosts, agents and platform stand-ins as real processes."""

from collections.abc import Iterator
import concurrent.futures
import json
import pathlib
import signal

import pytest

from lugcross import demo
import process_fleet


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[process_fleet.Fleet]:
    """A fleet with two failure domains and traces in its logs."""
    folder = tmp_path_factory.mktemp("fleet")
    running = process_fleet.Fleet(folder, domains=2, traces=True)
    try:
        yield running.start()
    finally:
        running.stop()


@pytest.fixture
def sender(fleet: process_fleet.Fleet) -> demo.Sender:
    """A caller that uses the workspace key of the fleet."""
    return fleet.new_sender()


@pytest.mark.parametrize("stream", [True, False], ids=["stream", "whole"])
def test_completion_is_complete_and_of_its_own_request(
    fleet: process_fleet.Fleet, sender: demo.Sender, stream: bool
) -> None:
    results = [
        sender.complete(url, f"prompt {url}", tokens=8, stream=stream)
        for url in fleet.urls()
    ]
    assert all(result.correct for result in results)


def test_many_streams_share_one_link_without_mixing(
    fleet: process_fleet.Fleet, sender: demo.Sender
) -> None:
    with concurrent.futures.ThreadPoolExecutor(24) as pool:
        results = pool.map(
            lambda num: sender.complete(
                fleet.urls()[0], f"caller {num}", tokens=10, stream=True
            ),
            range(48),
        )
    assert [result.correct for result in results] == [True] * 48


def test_same_key_at_another_entry_runs_once(
    fleet: process_fleet.Fleet, sender: demo.Sender
) -> None:
    results = [sender.charge(url, b"{}", key="twice") for url in fleet.urls()]
    assert results[0].body == results[1].body
    assert fleet.ledger_run_counts()["twice"] == 1


def test_spans_of_a_request_form_one_trace(
    fleet: process_fleet.Fleet, sender: demo.Sender
) -> None:
    sender.complete(fleet.urls()[0], "trace me", tokens=2, stream=True)
    hops = {"entry.request", "agent.run", "engine.complete"}
    process_fleet.wait_until(
        lambda: hops in _span_names_of_traces(fleet),
        what="a trace with all spans",
    )


def test_sigterm_to_an_entry_lets_its_stream_complete(
    fleet: process_fleet.Fleet, sender: demo.Sender
) -> None:
    name = next(iter(fleet.entries))
    entry = fleet.entries[name]
    url = fleet.url(name)
    # The stream takes longer than the HTTP server waits when it stops.
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        fut = pool.submit(
            sender.complete, url, "long", tokens=1500, stream=True
        )
        process_fleet.wait_until(
            lambda: _inflight(fleet, name) == 1, what="request in progress"
        )
        entry.signal(signal.SIGTERM)
        entry.wait_for_log_line("stopping")
        ready = fleet.http.request("GET", f"{url}/readyz")
        assert ready.status == 503
        assert fut.result().correct
    assert entry.wait() == 0
    fleet.entries[name] = entry.start("http", "rpc")
    fleet.wait_linked()


def test_sigterm_to_an_agent_lets_its_streams_complete(
    fleet: process_fleet.Fleet, sender: demo.Sender
) -> None:
    url = fleet.urls()[0]
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        futs = [
            pool.submit(
                sender.complete, url, f"long {num}", tokens=150, stream=True
            )
            for num in range(8)
        ]
        name = next(iter(fleet.entries))
        process_fleet.wait_until(
            lambda: _inflight(fleet, name) == 8, what="requests in progress"
        )
        agent = fleet.agents["model-d0-0"]
        agent.signal(signal.SIGTERM)
        after = sender.complete(url, "after", tokens=2, stream=False)
        assert all(fut.result().correct for fut in futs)
    assert after.correct
    assert agent.wait() == 0
    agent.start("links")
    fleet.wait_linked()


def test_log_lines_are_json_with_the_node_in_each(
    fleet: process_fleet.Fleet,
) -> None:
    for name, process in fleet.entries.items():
        assert process.log
        assert {line["node"] for line in process.log} == {name}
        assert json.dumps(process.log[0])


def test_error_of_invalid_settings_file_names_the_valid_fields(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "entry.yaml"
    path.write_text("program: entry\nnode: {name: e, domain: a, rack: 1}\n")
    process = process_fleet.Process("bad", ["check", str(path)])
    process.start()
    assert process.wait() == 1
    text = process.next_log_line(5)["text"]
    assert str(path) in text
    assert "$.node" in text and "rack" in text
    assert "fields are" in text


def _span_names_of_traces(fleet: process_fleet.Fleet) -> list[set[str]]:
    """Return the set of span names of each trace in the logs."""
    traces: dict[str, set[str]] = {}
    for process in (
        *fleet.entries.values(),
        *fleet.agents.values(),
        *fleet.standins.values(),
    ):
        for line in list(process.log):
            if line["message"] == "span":
                traces.setdefault(line["trace_id"], set()).add(line["span"])
    return list(traces.values())


def _inflight(fleet: process_fleet.Fleet, entry: str) -> int:
    with fleet.operator(entry) as client:
        return client.status().inflight
