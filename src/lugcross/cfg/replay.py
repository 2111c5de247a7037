# SPDX-License-Identifier: Apache-2.0
"""One deterministic function from log records to the configuration.

Every process applies it to the same records in the same order, so all
hold the same configuration at the same offset, with no coordinator.
"""

from collections.abc import Mapping
import dataclasses
import enum
import functools
import ipaddress
import types
from typing import final
from typing import TypeVar

import xxhash

from lugcross.cfg import change as change_lib
from lugcross.cfg import model
from lugcross import errors
from lugcross import ids

#: How many settled changes are remembered for those who ask later.
REMEMBERED_CHANGES = 4096

_MAX_PRIORITY = 9

_T = TypeVar("_T", bound=model.Object)


class Verdict(enum.Enum):
    """What became of a record."""

    ACCEPTED = "accepted"
    STALE = "stale"
    INVALID = "invalid"
    REPEATED = "repeated"
    KEPT_OUT = "kept-out"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Applied:
    """What became of one record, and why.

    :param current: revision of the object after the record.
    :param holder: author of that revision, if the object exists.
    """

    offset: ids.Offset
    verdict: Verdict
    reason: str = ""
    id: ids.ChangeId = ids.ChangeId("")
    ref: model.Ref | None = None
    current: ids.Revision = ids.Revision(0)
    holder: str = ""


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Item:
    """One object with the change that set it."""

    obj: model.Object
    revision: ids.Revision
    author: str
    id: ids.ChangeId


@final
@dataclasses.dataclass(frozen=True)
class Config:
    """The whole configuration at one offset; never changed in place.

    :param chain: digest of all records up to the offset; nodes at one
        offset that differ in it have not read the same records.
    """

    offset: ids.Offset = ids.Offset(0)
    items: Mapping[model.Ref, Item] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )
    settled: Mapping[ids.ChangeId, Applied] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )
    chain: bytes = b""

    def get(self, ref: model.Ref) -> model.Object | None:
        """Return the object at ``ref``, if there is one."""
        item = self.items.get(ref)
        return item.obj if item else None

    def revision(self, ref: model.Ref) -> ids.Revision:
        """Return the revision that a change to ``ref`` must expect."""
        item = self.items.get(ref)
        return item.revision if item else ids.Revision(0)

    @functools.cached_property
    def groups(self) -> Mapping[str, model.WorkspaceGroup]:
        """Workspace groups by name."""
        return self._of_type(model.WorkspaceGroup)

    @functools.cached_property
    def workspaces(self) -> Mapping[str, model.Workspace]:
        """Workspaces by name."""
        return self._of_type(model.Workspace)

    @functools.cached_property
    def services(self) -> Mapping[str, model.Service]:
        """Services by name."""
        return self._of_type(model.Service)

    @functools.cached_property
    def backends(self) -> Mapping[str, model.BackendServer]:
        """Backend servers by name."""
        return self._of_type(model.BackendServer)

    @functools.cached_property
    def by_key_hash(self) -> Mapping[str, model.Workspace]:
        """Workspaces by the hash of each of their keys."""
        return {
            key_hash: space
            for space in self.workspaces.values()
            for key_hash in space.key_hashes
        }

    @functools.cached_property
    def by_service(self) -> Mapping[str, tuple[model.BackendServer, ...]]:
        """Backend servers of each service, in order of their names."""
        return {
            name: tuple(
                backend
                for _, backend in sorted(self.backends.items())
                if name in backend.services
            )
            for name in self.services
        }

    def _of_type(self, cls: type[_T]) -> Mapping[str, _T]:
        return {
            ref.name: item.obj
            for ref, item in self.items.items()
            if isinstance(item.obj, cls)
        }


def step(
    config: Config, offset: ids.Offset, data: bytes
) -> tuple[Config, Applied]:
    """Apply one record of the stream.

    :param offset: position of the record; records at or before the
        configuration's own offset change nothing.
    :raises errors.ReplayGapError: when records before it are missing.
    """
    if offset <= config.offset:
        return config, Applied(
            offset=offset, verdict=Verdict.REPEATED, reason="already applied"
        )
    if offset != config.offset + 1:
        raise errors.ReplayGapError(
            f"record {offset} follows {config.offset}",
            remedy="start again from a snapshot",
        )
    try:
        change = change_lib.decode(data)
    except errors.ChangeError as exc:
        applied = Applied(
            offset=offset, verdict=Verdict.KEPT_OUT, reason=str(exc)
        )
        kept_out = dataclasses.replace(
            config, offset=offset, chain=_link(config.chain, data)
        )
        return kept_out, applied
    after, applied = _apply(config, offset, change)
    return dataclasses.replace(after, chain=_link(config.chain, data)), applied


def _link(chain: bytes, data: bytes) -> bytes:
    return xxhash.xxh3_128_digest(chain + data)


def judge(config: Config, change: change_lib.Change) -> tuple[Verdict, str]:
    """Tell what would become of ``change`` on top of ``config``."""
    if change.id in config.settled:
        return Verdict.REPEATED, "this change id was used before"
    ref = change.op.ref
    item = config.items.get(ref)
    current = item.revision if item else ids.Revision(0)
    if change.expect != current:
        by = f" set by {item.author}" if item else ""
        return Verdict.STALE, (
            f"{ref} is at revision {current}{by}, not {change.expect}; "
            "read it again and repeat the change on top"
        )
    fault = _fault(config, change.op)
    if fault:
        return Verdict.INVALID, fault
    return Verdict.ACCEPTED, ""


def _apply(
    config: Config, offset: ids.Offset, change: change_lib.Change
) -> tuple[Config, Applied]:
    verdict, reason = judge(config, change)
    items = dict(config.items)
    ref = change.op.ref
    if verdict is Verdict.ACCEPTED:
        _put_or_remove(items, offset, change)
    item = items.get(ref)
    applied = Applied(
        offset=offset,
        verdict=verdict,
        reason=reason,
        id=change.id,
        ref=ref,
        current=item.revision if item else ids.Revision(0),
        holder=item.author if item else "",
    )
    settled = dict(config.settled)
    # The first verdict of a change id stands: a second append of the
    # same change after a lost answer must not hide that it was accepted.
    settled.setdefault(change.id, applied)
    while len(settled) > REMEMBERED_CHANGES:
        settled.pop(next(iter(settled)))
    after = Config(
        offset, types.MappingProxyType(items), types.MappingProxyType(settled)
    )
    return after, applied


def _put_or_remove(
    items: dict[model.Ref, Item],
    offset: ids.Offset,
    change: change_lib.Change,
) -> None:
    if isinstance(change.op, change_lib.Remove):
        del items[change.op.ref]
        return
    items[change.op.ref] = Item(
        obj=change.op.obj,
        revision=ids.Revision(offset),
        author=change.author,
        id=change.id,
    )


def _fault(config: Config, op: change_lib.Put | change_lib.Remove) -> str:
    if isinstance(op, change_lib.Remove):
        return _removal_fault(config, op.ref)
    return _fault_of(op.obj, config)


def _removal_fault(config: Config, ref: model.Ref) -> str:
    if ref not in config.items:
        return f"{ref} does not exist; there is nothing to remove"
    users = [
        str(other)
        for other, item in config.items.items()
        if ref in _refs_of(item.obj)
    ]
    if users:
        return f"{ref} is used by {', '.join(users[:3])}; change those first"
    return ""


@functools.singledispatch
def _refs_of(obj: model.Object) -> tuple[model.Ref, ...]:
    """Return what ``obj`` refers to."""
    del obj
    return ()


@_refs_of.register
def _(obj: model.Workspace) -> tuple[model.Ref, ...]:
    return (model.Ref(model.Kind.GROUP, obj.group),)


@_refs_of.register
def _(obj: model.BackendServer) -> tuple[model.Ref, ...]:
    return tuple(model.Ref(model.Kind.SERVICE, name) for name in obj.services)


@_refs_of.register
def _(obj: model.ModelGroup) -> tuple[model.Ref, ...]:
    ranks = (model.Ref(model.Kind.BACKEND, name) for name in obj.ranks)
    return (model.Ref(model.Kind.SERVICE, obj.service), *ranks)


def _fault_of(obj: model.Object, config: Config) -> str:
    if not obj.name or "/" in obj.name:
        return f"name {obj.name!r} is empty or has a slash; choose another"
    for ref in _refs_of(obj):
        if ref not in config.items:
            return f"{ref} does not exist; create it first"
    return _own_fault(obj, config)


@functools.singledispatch
def _own_fault(obj: model.Object, config: Config) -> str:
    """Return what is wrong with the fields of ``obj``, or nothing."""
    del obj, config
    return ""


@_own_fault.register
def _(obj: model.WorkspaceGroup, config: Config) -> str:
    del config
    if not obj.share > 0:
        return f"share {obj.share} is not above 0; give a positive weight"
    if not 0 <= obj.priority <= _MAX_PRIORITY:
        return f"priority {obj.priority} is not 0 to {_MAX_PRIORITY}"
    return ""


@_own_fault.register
def _(obj: model.Workspace, config: Config) -> str:
    for key_hash in obj.key_hashes:
        owner = config.by_key_hash.get(key_hash)
        if owner and owner.name != obj.name:
            # Two owners of one key would hand answers to the wrong one.
            return f"a key is already that of {owner.name}; make a new key"
    return ""


@_own_fault.register
def _(obj: model.Service, config: Config) -> str:
    del config
    if not obj.timeout_s > 0:
        return f"timeout_s {obj.timeout_s} is not above 0; give seconds"
    if obj.max_body < 1 or obj.max_queue < 1:
        return "max_body and max_queue must be at least 1"
    return ""


@_own_fault.register
def _(obj: model.BackendServer, config: Config) -> str:
    del config
    try:
        ipaddress.ip_address(obj.host)
    except ValueError:
        return f"host {obj.host!r} is not an IP number; give one"
    if not 0 < obj.port < 65_536 or obj.capacity < 1:
        return "port must be 1 to 65535 and capacity at least 1"
    return ""
