# SPDX-License-Identifier: Apache-2.0
"""Formats RPC replies for ``lugcross ctl``."""

from typing import Any

import click
from google.protobuf import json_format
from google.protobuf import message
import rich.console
import rich.table

from lugcross import rpc
from lugcross.rpc import lugcross_pb2 as pb


def message_to_dict(msg: message.Message) -> dict[str, Any]:
    """Return a message as a dict for JSON, fields without values included."""
    found: dict[str, Any] = json_format.MessageToDict(
        msg,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    return found


def describe_change(reply: pb.ChangeReply) -> str:
    """Return a line that describes the outcome of a change."""
    name = pb.Standing.Name(reply.standing).removeprefix("STANDING_")
    parts = [f"change {reply.change_id}: {name.lower().replace('_', ' ')}"]
    if reply.offset:
        parts.append(f"at offset {reply.offset}")
    if reply.reason:
        parts.append(reply.reason)
    if reply.current_revision:
        parts.append(
            f"the object is at revision {reply.current_revision} "
            f"by {reply.current_author}"
        )
    return "; ".join(parts)


def print_config(reply: pb.Config) -> None:
    """Print the configuration as a table."""
    table = rich.table.Table(title=f"configuration at offset {reply.offset}")
    for name in ("object", "revision", "by", "fields"):
        table.add_column(name)
    for item in reply.items:
        obj = rpc.object_of(item)
        fields = " ".join(
            f"{name}={getattr(obj, name)}"
            for name in obj.__struct_fields__
            if name != "name"
        )
        table.add_row(str(obj.ref), str(item.revision), item.author, fields)
    rich.console.Console().print(table)


def print_status(reply: pb.NodeStatus) -> None:
    """Print the state of an entry host and what it knows of others."""
    state = reply.unready or "ready"
    click.echo(
        f"{reply.node} in {reply.domain}: {state}; configuration at offset "
        f"{reply.offset}, last confirmed {reply.knowledge_age_s:.1f} s ago; "
        f"{reply.inflight} requests in progress; "
        f"{'relay of the log' if reply.relay else 'no relay'}"
    )
    if reply.trouble:
        click.echo(f"trouble: {reply.trouble}")
    table = rich.table.Table(title="backend servers")
    for name in (
        "name",
        "domain",
        "state",
        "queue",
        "running",
        "offset",
        "last heard (s ago)",
    ):
        table.add_column(name)
    for peer in reply.peers:
        table.add_row(
            peer.backend,
            peer.domain,
            peer.why_down or peer.leaving or "linked",
            str(peer.queued),
            f"{peer.running}/{peer.capacity}",
            str(peer.offset),
            f"{peer.heard_s:.1f}",
        )
    rich.console.Console().print(table)
    table = rich.table.Table(title="entry hosts, as reported by agents")
    for name in ("name", "domain", "offset"):
        table.add_column(name)
    for entry in reply.entries:
        table.add_row(entry.node, entry.domain, str(entry.offset))
    rich.console.Console().print(table)


def print_decisions(reply: pb.ExplainReply) -> None:
    """Print decisions about a request or an object, the oldest first."""
    for item in reply.decisions:
        inputs = f" [{'; '.join(item.inputs)}]" if item.inputs else ""
        click.echo(
            f"{item.at:.3f} {item.node} {item.topic}: {item.result} "
            f"({item.rule}){inputs}"
        )
    if not reply.decisions:
        click.echo("this entry host has no decision about it in its journal")
    if reply.overwritten:
        click.echo(f"{reply.overwritten} older decisions were overwritten")
