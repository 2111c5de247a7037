# SPDX-License-Identifier: Apache-2.0
"""``lugcross shares``: requests per workspace and service."""

import collections
from collections.abc import Iterable
import dataclasses
from typing import final

import click
from prometheus_client import parser
import urllib3

#: Timeout for reading a process's metrics, in seconds. They are served from
#: memory, so a longer wait would not help.
_METRICS_TIMEOUT_S = 5.0
_RUNNING_METRIC = "lugcross_workspace_running"
_REFUSED_METRIC = "lugcross_workspace_refused_total"


@final
@dataclasses.dataclass(frozen=True)
class _WorkspaceOfService:
    service: str
    workspace: str


@final
class _UsageTable:
    """Usage per service and workspace, from the metrics of processes.

    Each process reports the running requests of all processes, as far as its
    peers have told it, and the requests that it refused itself.
    """

    def __init__(self) -> None:
        self.running: dict[_WorkspaceOfService, int] = {}
        self.refused: collections.Counter[_WorkspaceOfService] = (
            collections.Counter()
        )

    def add_metrics(self, text: str) -> None:
        """Add the metrics of one process.

        :param text: metrics in the Prometheus text format.
        """
        for family in parser.text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name not in (_RUNNING_METRIC, _REFUSED_METRIC):
                    continue
                labels = sample.labels
                key = _WorkspaceOfService(
                    labels["service"], labels["workspace"]
                )
                count = int(sample.value)
                if sample.name == _RUNNING_METRIC:
                    most = max(count, self.running.get(key, 0))
                    self.running[key] = most
                else:
                    self.refused[key] += count

    def rows(self) -> Iterable[str]:
        """Return a line per workspace, by service and descending usage."""
        keys = sorted(
            self.running.keys() | self.refused.keys(),
            key=lambda one: (one.service, -self.running.get(one, 0)),
        )
        for one in keys:
            running = self.running.get(one, 0)
            refused = self.refused[one]
            names = f"{one.service:20} {one.workspace:20}"
            yield f"{names} {running:8} {refused:8}"


def _fetch_metrics(address: str) -> str:
    try:
        answer = urllib3.request(
            "GET",
            f"http://{address}/metrics",
            timeout=_METRICS_TIMEOUT_S,
            retries=False,
        )
    except urllib3.exceptions.HTTPError as exc:
        raise click.ClickException(
            f"{address} does not answer ({exc}); give the address in"
            " `listen.metrics` of its settings"
        ) from exc
    return str(answer.data.decode())


@click.command()
@click.argument("addresses", nargs=-1, required=True, metavar="HOST:PORT...")
def shares(addresses: tuple[str, ...]) -> None:
    """Show running and refused requests by service and workspace.

    HOST:PORT is the metrics address of an edge process. Each process knows the
    running requests of all processes; refused requests are the sum over the
    processes given.
    """
    table = _UsageTable()
    for address in addresses:
        table.add_metrics(_fetch_metrics(address))
    click.echo(
        f"{'service':20} {'workspace':20} {'running':>8} {'refused':>8}"
    )
    for row in table.rows():
        click.echo(row)
