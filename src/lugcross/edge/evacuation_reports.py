# SPDX-License-Identifier: Apache-2.0
"""Evacuations in reads of the store, in heartbeats and for operators."""

import json

from absl import logging

from lugcross.edge import backends as backends_lib
from lugcross.edge import messages
from lugcross import errors
from lugcross import evacuation
from lugcross import ids
from lugcross import platform
from lugcross import positions


def apply_read(
    evacuations: evacuation.Evacuations,
    result: platform.ReadResult,
    *,
    is_snapshot: bool,
) -> bool:
    """Apply a read of the operator's topic.

    Malformed records are logged and change nothing.

    :param is_snapshot: whether ``result`` is a full listing.
    :returns: whether the evacuated domains have changed.
    """
    records = []
    unreadable = set()
    for record in result.records:
        try:
            decoded = platform.decode_evacuation(record)
        except errors.ChangeError as exc:
            logging.error(
                "invalid evacuation ignored",
                extra={"key": record.key[:200], "why": str(exc)},
            )
            unreadable |= _domain_of(record.key)
            continue
        if decoded is not None:
            records.append(decoded)
    if is_snapshot:
        return evacuations.apply_listing(
            records, result.end, unreadable=unreadable
        )
    changes = [evacuations.apply(one) for one in records]
    return any(changes)


def _domain_of(key: str) -> set[ids.DomainName]:
    """Return the domain that a key names; empty if it is malformed."""
    try:
        domain = platform.evacuation_domain(key)
    except errors.ChangeError:
        return set()
    return {domain} if domain is not None else set()


def own_messages(
    evacuations: evacuation.Evacuations,
) -> list[messages.Evacuation]:
    """Return the evacuations for the next heartbeat."""
    return [
        messages.Evacuation(str(one.domain), int(one.position), one.requested)
        for one in evacuations.records_to_send()
    ]


def merge(
    evacuations: evacuation.Evacuations, heartbeat: messages.Heartbeat
) -> bool:
    """Merge a peer's evacuations; return whether domains have changed."""
    if not heartbeat.evacuations:
        return False
    return evacuations.merge(
        evacuation.Record(
            ids.DomainName(one.domain),
            positions.Position(one.position),
            one.requested,
        )
        for one in heartbeat.evacuations
    )


def log_change(
    backends: backends_lib.Backends, record: evacuation.Record
) -> None:
    """Log a record that changes whether its domain is evacuated."""
    logging.info(
        "evacuation requested" if record.requested else "evacuation withdrawn",
        extra=_fields(backends, record),
    )


def to_json(
    evacuations: evacuation.Evacuations, backends: backends_lib.Backends
) -> bytes:
    """Return the known domains, evacuated or not, for operators."""
    listed = [
        {**_fields(backends, one), "evacuated": one.requested}
        for one in evacuations.records()
    ]
    return json.dumps({"evacuations": listed}).encode()


def _fields(
    backends: backends_lib.Backends, record: evacuation.Record
) -> dict[str, object]:
    """Return a record, and how many known servers its domain has."""
    servers = [one for one in backends.all() if one.domain == record.domain]
    return {
        "domain": record.domain,
        "offset": positions.offset(record.position),
        "era": positions.era(record.position),
        "servers": len(servers),
    }
