# SPDX-License-Identifier: Apache-2.0
"""Export of metrics and spans as configured, and the decision journal."""

from collections.abc import Iterable
import datetime
import http
import socket

from lugcross import cfg
from lugcross import clock
from lugcross import observe
from lugcross import standin
from lugcross.standin import faults


def test_counters_and_timers_go_to_statsd_under_the_node_name() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(10)
        address = cfg.settings.Address(
            host="127.0.0.1", port=sock.getsockname()[1]
        )
        metrics = observe.open_metrics(
            cfg.settings.Observe(statsd=address), "e1"
        )
        metrics.incr("refused")
        assert sock.recv(100) == b"lugcross.e1.refused:1|c"
        metrics.timing("first", datetime.timedelta(milliseconds=5))
        assert sock.recv(100).startswith(b"lugcross.e1.first:5.0")


def test_without_statsd_nothing_is_sent_and_nothing_fails() -> None:
    metrics = observe.open_metrics(cfg.settings.Observe(), "e1")
    metrics.incr("refused")
    assert isinstance(metrics, observe.NullMetrics)


def test_spans_go_to_the_otlp_endpoint_with_their_parent() -> None:
    bodies = []

    def collect(
        environ: faults.Environ, start_response: faults.StartResponse
    ) -> Iterable[bytes]:
        bodies.append(faults.read_body(environ))
        return faults.json_response(start_response, http.HTTPStatus.OK, {})

    server = standin.StandinServer(collect, host="127.0.0.1", port=0)
    server.start()
    traces = cfg.settings.Traces(
        exporter=cfg.settings.Exporter.OTLP,
        endpoint=f"{server.url}/v1/traces",
    )
    tracer = observe.Tracer(traces, "e1")
    parent = f"00-{'ab' * 16}-{'cd' * 8}-01"
    with tracer.span("entry.request", parent, request="r1") as child:
        assert child.split("-")[1] == "ab" * 16
        assert child != parent
    tracer.close()
    server.stop()
    (body,) = bodies
    assert b"entry.request" in body
    assert bytes.fromhex("ab" * 16) in body


def test_journal_keeps_the_newest_and_counts_what_it_overwrote() -> None:
    journal = observe.DecisionJournal(clock.ManualClock(), "e1", capacity=2)
    for num in range(3):
        journal.record(
            observe.DecisionTopic.CHOICE,
            "r1",
            rule="least load",
            result=f"b{num}",
        )
    assert [one.result for one in journal.decisions_about("r1")] == [
        "b1",
        "b2",
    ]
    assert journal.overwritten == 1
