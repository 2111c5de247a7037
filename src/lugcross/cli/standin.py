# SPDX-License-Identifier: Apache-2.0
"""``lugcross standin``: run a stand-in server as a separate process."""

import click

from lugcross import app as app_lib
from lugcross import cfg
from lugcross import observe
from lugcross import standin as standin_lib
from lugcross.standin import faults


@click.group()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, help="0 chooses a free port.")
@click.option("--name", default="standin", help="Name in logs and spans.")
@click.pass_context
def standin(ctx: click.Context, host: str, port: int, name: str) -> None:
    """Run a stand-in of the platform or of a backend server."""
    observe.set_up_logging(name, "info")
    ctx.obj = _StandinProcess(host, port, name)


class _StandinProcess:
    """Address and name of the stand-in that this process runs."""

    def __init__(self, host: str, port: int, name: str) -> None:
        self.host = host
        self.port = port
        self.name = name

    def run(
        self, app: faults.WsgiApp, *hooks: app_lib.Hook
    ) -> standin_lib.StandinServer:
        """Serve ``app`` until a stop is requested.

        :param hooks: further parts, started before the HTTP server.
        """
        server = standin_lib.StandinServer(app, host=self.host, port=self.port)
        if isinstance(app, standin_lib.EngineStandin):
            app.fault_injector = server.fault_injector
        owner = app_lib.Application(name=self.name)
        for hook in hooks:
            owner.add(hook)
        owner.add(
            app_lib.Hook(name="http", start=server.start, stop=server.stop)
        )
        owner.run()
        return server


@standin.command()
@click.option("--rate", default=100.0, help="Appends per second.")
@click.option("--retention", default=86_400.0, help="Seconds.")
@click.pass_obj
def log(process: _StandinProcess, rate: float, retention: float) -> None:
    """Run the platform's append-only log."""
    process.run(
        standin_lib.LogStandin(appends_per_s=rate, retention_s=retention)
    )


@standin.command()
@click.option("--lag", default=1.0, help="Seconds.")
@click.pass_obj
def hosts(process: _StandinProcess, lag: float) -> None:
    """Run the platform's lagging host list."""
    process.run(standin_lib.HostsStandin(lag_s=lag))


@standin.command()
@click.option("--rate", default=100.0, help="MiB per second.")
@click.pass_obj
def weights(process: _StandinProcess, rate: float) -> None:
    """Run the platform's rate-limited weight store."""
    process.run(standin_lib.WeightsStandin(bytes_per_s=rate * 1_048_576))


@standin.command()
@click.option("--step", default=0.005, help="Seconds per step.")
@click.option("--batch", default=16, help="Sequences per step.")
@click.option("--checks-orders/--no-checks-orders", default=True)
@click.option("--traces/--no-traces", default=False)
@click.pass_obj
def engine(
    process: _StandinProcess,
    step: float,
    batch: int,
    checks_orders: bool,
    traces: bool,
) -> None:
    """Run a model engine."""
    exporter = (
        cfg.settings.Exporter.LOG if traces else cfg.settings.Exporter.NONE
    )
    tracer = observe.Tracer(
        cfg.settings.Traces(exporter=exporter), process.name
    )
    app = standin_lib.EngineStandin(
        speed=standin_lib.EngineSpeed(step_s=step),
        max_batch=batch,
        checks_orders=checks_orders,
        tracer=tracer,
    )
    process.run(
        app, app_lib.Hook(name="steps", start=app.start, stop=app.stop)
    )


@standin.command()
@click.option("--work", default=0.002, help="Seconds per request.")
@click.pass_obj
def service(process: _StandinProcess, work: float) -> None:
    """Run a plain service that records the requests it ran."""
    process.run(standin_lib.ServiceStandin(work_s=work))
