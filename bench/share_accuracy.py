# SPDX-License-Identifier: Apache-2.0
"""Fairness of workspace shares under a surge, by delay between processes.

    python bench/share_accuracy.py [--seeds 3] [--large]

Simulates a surge of one of ten workspaces to 7.5 times its rate for 8 s. Each
row is a fleet: the fraction of requests served of the other workspaces and of
the surging one, both with their ratio to a single process that receives all
requests, and the peak of requests in progress.
"""

import statistics

import click

import share_simulator

#: Requests a second: one of ten workspaces sends a third of the load, and all
#: together take about two thirds of the capacity.
RATES = {"w0": 8.0} | {f"w{num}": 1.9 for num in range(1, 10)}
SURGE = share_simulator.LoadProfile(
    rates=RATES,
    surging="w0",
    surge_factor=7.5,
    surge_start_s=4.0,
    surge_end_s=12.0,
)
OTHERS = set(RATES) - {"w0"}
SERVERS = 16
SECONDS = 12.0
_FAST = share_simulator.GossipTiming()
_SLOW = share_simulator.GossipTiming(interval_s=0.5, delay_s=0.1)
_OFF = share_simulator.GossipTiming(interval_s=0.0)
#: Number of processes, timing of their updates, and whether admission
#: considers workspaces.
FLEETS = {
    "knows everything": (1, _OFF, True),
    "7, every 50 ms": (7, _FAST, True),
    "30, every 50 ms": (30, _FAST, True),
    "7, every 500 ms": (7, _SLOW, True),
    "30, every 500 ms": (30, _SLOW, True),
    "7, never": (7, _OFF, True),
    "7, no look at workspaces": (7, _FAST, False),
}
#: Optional, as it takes minutes.
LARGE = {"98, every 50 ms": (98, _FAST, True)}


def _row(
    processes: int,
    gossip: share_simulator.GossipTiming,
    by_workspace: bool,
    seeds: int,
) -> tuple[float, float, float]:
    fleets = [
        share_simulator.Fleet(
            SURGE,
            processes=processes,
            servers=SERVERS,
            gossip=gossip,
            seed=seed,
            by_workspace=by_workspace,
        ).run(SECONDS)
        for seed in range(seeds)
    ]
    return (
        statistics.mean(one.served_ratio(OTHERS, 4, 12) for one in fleets),
        statistics.mean(one.served_ratio({"w0"}, 4, 12) for one in fleets),
        statistics.mean(one.max_running for one in fleets),
    )


@click.command()
@click.option("--seeds", default=3, help="Runs of each fleet.")
@click.option("--large", is_flag=True, help="Simulate 98 processes, too.")
def main(seeds: int, large: bool) -> None:
    """Print a line for each fleet."""
    fleets = FLEETS | (LARGE if large else {})
    first: tuple[float, float, float] | None = None
    click.echo(f"{'fleet':26} others  ratio  surging  ratio  most")
    for name, (processes, gossip, by_workspace) in fleets.items():
        row = _row(processes, gossip, by_workspace, seeds)
        first = first or row
        others, surging, peak = row
        click.echo(
            f"{name:26}  {others:5.3f}  {others / first[0]:5.2f}"
            f"    {surging:5.3f}  {surging / first[1]:5.2f}  {peak:4.0f}"
        )


if __name__ == "__main__":
    main()
