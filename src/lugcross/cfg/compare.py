# SPDX-License-Identifier: Apache-2.0
"""What must change to get from one configuration to a wanted one."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Any
from typing import final

import msgspec
import yaml

from lugcross.cfg import change as change_lib
from lugcross.cfg import model
from lugcross import errors
from lugcross import ids

#: Order in which objects are created, so that references hold.
_ORDER = (
    model.Kind.GROUP,
    model.Kind.SERVICE,
    model.Kind.BACKEND,
    model.Kind.WORKSPACE,
    model.Kind.MODEL_GROUP,
)


_SECTIONS: dict[str, type[msgspec.Struct]] = {
    "groups": model.WorkspaceGroup,
    "workspaces": model.Workspace,
    "services": model.Service,
    "backends": model.BackendServer,
    "model_groups": model.ModelGroup,
}


@final
class WantedFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What ``lugcross ctl apply`` reads: objects by kind."""

    groups: tuple[model.WorkspaceGroup, ...] = ()
    workspaces: tuple[model.Workspace, ...] = ()
    services: tuple[model.Service, ...] = ()
    backends: tuple[model.BackendServer, ...] = ()
    model_groups: tuple[model.ModelGroup, ...] = ()

    def objects(self) -> list[model.Object]:
        """Return all objects of the file."""
        return [
            *self.groups,
            *self.workspaces,
            *self.services,
            *self.backends,
            *self.model_groups,
        ]


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Difference:
    """One change that is needed.

    :param fields: what differs, for the reader: name, before, after.
    """

    op: change_lib.Put | change_lib.Remove
    expect: ids.Revision
    fields: tuple[tuple[str, Any, Any], ...] = ()

    def __str__(self) -> str:
        ref = self.op.ref
        if isinstance(self.op, change_lib.Remove):
            return f"- {ref}"
        if not self.expect:
            return f"+ {ref}"
        changed = ", ".join(f"{n}: {a} -> {b}" for n, a, b in self.fields)
        return f"~ {ref} ({changed})"


def load_wanted(text: str, *, source: str) -> WantedFile:
    """Return the wanted objects in a YAML file.

    :raises errors.SettingsError: naming file, path and remedy.
    """
    try:
        raw = yaml.safe_load(text) or {}
        _check_known(raw)
        return msgspec.convert(raw, WantedFile)
    except (yaml.YAMLError, msgspec.ValidationError) as exc:
        raise errors.SettingsError(
            f"{source}: {exc}",
            remedy="mend the field; examples/fleet.yaml shows all of them",
        ) from exc


def compare(
    current: Mapping[model.Ref, tuple[model.Object, ids.Revision]],
    wanted: Iterable[model.Object],
    *,
    prune: bool = False,
) -> list[Difference]:
    """Return the changes from ``current`` to ``wanted``, in order.

    :param prune: also remove what is not wanted.
    """
    by_ref = {obj.ref: obj for obj in wanted}
    puts = [
        _put(obj, current.get(ref))
        for ref, obj in sorted(by_ref.items(), key=_place)
        if ref not in current or current[ref][0] != obj
    ]
    if not prune:
        return puts
    gone = [item for item in current.items() if item[0] not in by_ref]
    removals = [
        Difference(op=change_lib.Remove(ref.kind, ref.name), expect=revision)
        for ref, (_, revision) in sorted(gone, key=_place, reverse=True)
    ]
    return puts + removals


def _check_known(raw: dict[str, list[dict[str, Any]]]) -> None:
    """Refuse fields that no object has.

    Records of the log may carry fields of a newer version, so the
    objects themselves take unknown fields; a file written by hand with
    one is a mistake.
    """
    for key, cls in _SECTIONS.items():
        known = {field.name for field in msgspec.structs.fields(cls)}
        for num, fields in enumerate(raw.get(key) or ()):
            unknown = set(fields) - known
            if unknown:
                raise msgspec.ValidationError(
                    f"unknown field `{min(unknown)}` - at `$.{key}[{num}]`"
                )


def _place(item: tuple[model.Ref, object]) -> tuple[int, str]:
    ref = item[0]
    return _ORDER.index(ref.kind), ref.name


def _put(
    obj: model.Object, found: tuple[model.Object, ids.Revision] | None
) -> Difference:
    if found is None:
        return Difference(op=change_lib.Put(obj), expect=ids.Revision(0))
    before, revision = found
    fields = tuple(
        (name, getattr(before, name), getattr(obj, name))
        for name in obj.__struct_fields__
        if getattr(before, name, None) != getattr(obj, name)
    )
    return Difference(op=change_lib.Put(obj), expect=revision, fields=fields)
