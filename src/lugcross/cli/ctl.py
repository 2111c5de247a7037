# SPDX-License-Identifier: Apache-2.0
"""``lugcross ctl``: operators' client, with one subcommand per RPC."""

from collections.abc import Callable
import json
import pathlib
import sys

import click
from google.protobuf import message

from lugcross import cfg
from lugcross.cli import render
from lugcross import ids
from lugcross import rpc
from lugcross.rpc import lugcross_pb2 as pb

_EXIT_REJECTED = 1
_EXIT_NOT_KNOWN = 3
_EXIT_STATUSES = {
    pb.STANDING_ACCEPTED: 0,
    pb.STANDING_REJECTED: _EXIT_REJECTED,
    pb.STANDING_NOT_KNOWN_YET: _EXIT_NOT_KNOWN,
    pb.STANDING_NOT_APPENDED: _EXIT_REJECTED,
}


class _Session:
    """Client and output format of one command line call."""

    def __init__(self, client: rpc.OperatorClient, as_json: bool) -> None:
        self.client = client
        self.as_json = as_json

    def show(
        self, msg: message.Message, print_text: Callable[[], None]
    ) -> None:
        """Print ``msg`` as JSON, or call ``print_text`` instead."""
        if self.as_json:
            click.echo(json.dumps(render.message_to_dict(msg)))
        else:
            print_text()

    def finish(self, reply: pb.ChangeReply) -> None:
        """Print the outcome of a change and exit with its status."""
        self.show(reply, lambda: click.echo(render.describe_change(reply)))
        sys.exit(_EXIT_STATUSES.get(reply.standing, _EXIT_REJECTED))

    def expected_revision(self, ref: cfg.Ref, expect: int | None) -> int:
        """Return ``expect``, or the current revision of ``ref`` if None."""
        if expect is not None:
            return expect
        return _current_objects(self.client).get(ref, (None, 0))[1]

    def put(self, obj: cfg.Object, expect: int | None, change_id: str) -> None:
        revision = self.expected_revision(obj.ref, expect)
        self.finish(self.client.put(obj, expect=revision, change_id=change_id))


def _change_options(func: Callable[..., None]) -> Callable[..., None]:
    func = click.option(
        "--expect",
        type=int,
        help="Revision that the change applies to; default: the current one.",
    )(func)
    return click.option(
        "--change-id",
        default="",
        help="Your id for the change; a repeated id takes effect once.",
    )(func)


@click.group()
@click.option(
    "--entry",
    envvar="LUGCROSS_ENTRY",
    required=True,
    help="IP address and port of an entry host's RPC. [LUGCROSS_ENTRY]",
)
@click.option(
    "--token",
    envvar="LUGCROSS_TOKEN",
    default="",
    help="Your operator token. [LUGCROSS_TOKEN]",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def ctl(ctx: click.Context, entry: str, token: str, as_json: bool) -> None:
    """Configure and inspect a fleet through any of its entry hosts."""
    client = rpc.OperatorClient(entry, token)
    ctx.call_on_close(client.close)
    ctx.obj = _Session(client, as_json)


@ctl.command("put-group")
@click.argument("name")
@click.option("--share", type=float, required=True)
@click.option("--priority", default=0)
@_change_options
@click.pass_obj
def put_group(
    session: _Session,
    name: str,
    share: float,
    priority: int,
    expect: int | None,
    change_id: str,
) -> None:
    """Create or replace a workspace group."""
    obj = cfg.WorkspaceGroup(name=name, share=share, priority=priority)
    session.put(obj, expect, change_id)


@ctl.command("put-workspace")
@click.argument("name")
@click.option("--group", required=True)
@click.option(
    "--key-hash", multiple=True, help="SHA-256 of an API key, in hex."
)
@click.option(
    "--new-key", is_flag=True, help="Generate an API key and print it."
)
@click.option("--max-inflight", default=0)
@_change_options
@click.pass_obj
def put_workspace(
    session: _Session,
    name: str,
    group: str,
    key_hash: tuple[str, ...],
    new_key: bool,
    max_inflight: int,
    expect: int | None,
    change_id: str,
) -> None:
    """Create or replace a workspace."""
    hashes = key_hash
    if new_key:
        key = cfg.new_key()
        hashes = (*key_hash, cfg.hash_key(key))
        click.echo(f"key, shown only now: {key}", err=True)
    obj = cfg.Workspace(
        name=name, group=group, key_hashes=hashes, max_inflight=max_inflight
    )
    session.put(obj, expect, change_id)


@ctl.command("put-service")
@click.argument("name")
@click.option(
    "--type",
    "type_",
    type=click.Choice([item.value for item in cfg.ServiceType]),
    required=True,
)
@click.option("--repeatable/--not-repeatable", default=True)
@click.option(
    "--timeout", default=60.0, help="Seconds for a complete response."
)
@click.option(
    "--max-body",
    default=1_048_576,
    help="Maximum size of a request body, in bytes.",
)
@click.option(
    "--max-queue", default=256, help="Queued requests per backend server."
)
@click.option(
    "--resumable/--not-resumable",
    default=False,
    help="Whether another backend server can continue a response.",
)
@click.option(
    "--once-log-away",
    type=click.Choice([item.value for item in cfg.OnceLogAway]),
    default=cfg.OnceLogAway.REFUSE.value,
    show_default=True,
)
@_change_options
@click.pass_obj
def put_service(
    session: _Session,
    name: str,
    type_: str,
    repeatable: bool,
    timeout: float,
    max_body: int,
    max_queue: int,
    resumable: bool,
    once_log_away: str,
    expect: int | None,
    change_id: str,
) -> None:
    """Create or replace a service."""
    obj = cfg.Service(
        name=name,
        type=cfg.ServiceType(type_),
        repeatable=repeatable,
        timeout_s=timeout,
        max_body=max_body,
        max_queue=max_queue,
        resumable=resumable,
        once_log_away=cfg.OnceLogAway(once_log_away),
    )
    session.put(obj, expect, change_id)


@ctl.command("put-backend")
@click.argument("name")
@click.option("--domain", required=True, help="Its failure domain.")
@click.option("--host", required=True, help="IP address of its agent.")
@click.option("--port", type=int, required=True)
@click.option("--service", multiple=True)
@click.option("--capacity", default=8)
@click.option("--checks-orders/--no-checks-orders", default=False)
@click.option("--leaving/--not-leaving", default=False)
@_change_options
@click.pass_obj
def put_backend(
    session: _Session,
    name: str,
    domain: str,
    host: str,
    port: int,
    service: tuple[str, ...],
    capacity: int,
    checks_orders: bool,
    leaving: bool,
    expect: int | None,
    change_id: str,
) -> None:
    """Create or replace a backend server."""
    obj = cfg.BackendServer(
        name=name,
        domain=domain,
        host=host,
        port=port,
        services=service,
        capacity=capacity,
        checks_orders=checks_orders,
        leaving=leaving,
    )
    session.put(obj, expect, change_id)


@ctl.command("put-model-group")
@click.argument("name")
@click.option("--service", required=True)
@click.option(
    "--rank", multiple=True, help="Backend server of a rank, in order."
)
@click.option("--experts", default=128)
@click.option("--layers", default=1)
@_change_options
@click.pass_obj
def put_model_group(
    session: _Session,
    name: str,
    service: str,
    rank: tuple[str, ...],
    experts: int,
    layers: int,
    expect: int | None,
    change_id: str,
) -> None:
    """Create or replace a model group and its ranks."""
    obj = cfg.ModelGroup(
        name=name,
        service=service,
        ranks=rank,
        experts=experts,
        layers=layers,
    )
    session.put(obj, expect, change_id)


@ctl.command("set-leaving")
@click.argument("backend")
@click.option("--off", is_flag=True, help="Accept new requests again.")
@_change_options
@click.pass_obj
def set_leaving(
    session: _Session,
    backend: str,
    off: bool,
    expect: int | None,
    change_id: str,
) -> None:
    """Send no new requests to a backend server."""
    revision = session.expected_revision(
        cfg.Ref(cfg.Kind.BACKEND, backend), expect
    )
    session.finish(
        session.client.set_leaving(
            backend, not off, expect=revision, change_id=change_id
        )
    )


@ctl.command()
@click.argument("kind", type=click.Choice([k.value for k in cfg.Kind]))
@click.argument("name")
@_change_options
@click.pass_obj
def remove(
    session: _Session,
    kind: str,
    name: str,
    expect: int | None,
    change_id: str,
) -> None:
    """Remove an object."""
    ref = cfg.Ref(cfg.Kind(kind), name)
    revision = session.expected_revision(ref, expect)
    session.finish(
        session.client.remove(ref, expect=revision, change_id=change_id)
    )


@ctl.command()
@click.argument("change_id")
@click.pass_obj
def change(session: _Session, change_id: str) -> None:
    """Show the outcome of a change."""
    session.finish(session.client.change(change_id))


@ctl.command()
@click.pass_obj
def config(session: _Session) -> None:
    """Show the current configuration."""
    reply = session.client.config()
    session.show(reply, lambda: render.print_config(reply))


@ctl.command()
@click.pass_obj
def status(session: _Session) -> None:
    """Show the state of the entry host and its peers."""
    reply = session.client.status()
    session.show(reply, lambda: render.print_status(reply))


@ctl.command()
@click.argument("subject")
@click.pass_obj
def explain(session: _Session, subject: str) -> None:
    """Show decisions about a request, server or change."""
    reply = session.client.explain(subject)
    session.show(reply, lambda: render.print_decisions(reply))


@ctl.command()
@click.option("-f", "--file", type=click.Path(), required=True)
@click.option(
    "--prune", is_flag=True, help="Remove objects that are not in FILE."
)
@click.option("--dry-run", is_flag=True, help="Only show the differences.")
@click.pass_obj
def apply(session: _Session, file: str, prune: bool, dry_run: bool) -> None:
    """Compare FILE with the current configuration and apply it."""
    text = pathlib.Path(file).read_text(encoding="utf-8")
    wanted = cfg.load_wanted(text, source=file)
    found = cfg.compare(
        _current_objects(session.client), wanted.objects(), prune=prune
    )
    for difference in found:
        click.echo(str(difference))
    if not found:
        click.echo("nothing to change")
    if dry_run:
        return
    for difference in found:
        reply = _apply_difference(session.client, difference)
        if reply.standing != pb.STANDING_ACCEPTED:
            session.finish(reply)
    click.echo(f"{len(found)} changes in force")


def _apply_difference(
    client: rpc.OperatorClient, difference: cfg.Difference
) -> pb.ChangeReply:
    op = difference.op
    if isinstance(op, cfg.Put):
        return client.put(op.obj, expect=difference.expect)
    return client.remove(op.ref, expect=difference.expect)


def _current_objects(
    client: rpc.OperatorClient,
) -> dict[cfg.Ref, tuple[cfg.Object, ids.Revision]]:
    found = {}
    for item in client.config().items:
        obj = rpc.object_of(item)
        found[obj.ref] = (obj, ids.Revision(item.revision))
    return found
