# SPDX-License-Identifier: Apache-2.0
"""``lugcross shares``: running and refused requests by workspace."""

from collections.abc import Iterator
import http.server
import threading

from click import testing as click_testing
import pytest

from lugcross.cli import shares
from lugcross.edge import metrics
from lugcross import ids

HOST = "127.0.0.1"


def _metrics_page(refused: int) -> bytes:
    found = metrics.EdgeMetrics()
    counts = {ids.WorkspaceName("a"): 3, ids.WorkspaceName("b"): 40}
    found.set_workspace_running({ids.ServiceName("llm"): counts})
    for _ in range(refused):
        found.count_workspace_refused("llm", "b")
    return found.text()


@pytest.fixture
def address() -> Iterator[str]:
    """Serve a process's metrics; return their address."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            self.send_response(200)
            self.end_headers()
            self.wfile.write(_metrics_page(refused=7))

        def log_message(self, *args: object) -> None:
            del args

    server = http.server.HTTPServer((HOST, 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield f"{HOST}:{server.server_port}"
    server.shutdown()
    thread.join()
    server.server_close()


def test_busiest_workspace_comes_first_and_refusals_are_summed(address: str):
    runner = click_testing.CliRunner()
    found = runner.invoke(shares.shares, [address, address])
    assert found.exit_code == 0, found.output
    rows = [line.split() for line in found.output.splitlines()]
    assert rows == [
        ["service", "workspace", "running", "refused"],
        ["llm", "b", "40", "14"],
        ["llm", "a", "3", "0"],
    ]


def test_error_names_the_unreachable_process_and_a_remedy():
    found = click_testing.CliRunner().invoke(shares.shares, [f"{HOST}:1"])
    assert found.exit_code == 1
    assert "listen.metrics" in found.output
