# SPDX-License-Identifier: Apache-2.0
"""Settings files: YAML, checked by type, errors with a path."""

import pathlib
from typing import Any
from typing import TypeVar

import msgspec
import yaml

from lugcross import errors

_S = TypeVar("_S", bound=msgspec.Struct)


def parse(text: str, cls: type[_S], *, source: str) -> _S:
    """Return checked settings.

    :param text: YAML.
    :param source: file to name in errors.
    :raises errors.SettingsError: naming file, path and remedy.
    """
    raw = parse_untyped(text, source)
    try:
        return msgspec.convert(raw, cls, strict=True)
    except msgspec.ValidationError as exc:
        raise errors.SettingsError(
            f"{source}: {exc}", remedy=f"fields are: {_field_names(cls)}"
        ) from exc


def load(path: str, cls: type[_S]) -> _S:
    """Return the checked settings in the file at ``path``.

    :raises errors.SettingsError: naming file, path and remedy.
    """
    return parse(read_text(path), cls, source=path)


def read_text(path: str) -> str:
    """Return the text of a settings file.

    :raises errors.SettingsError: when it cannot be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(
            f"{path}: cannot be read ({exc})",
            remedy="give the path of a readable settings file",
        ) from exc


def parse_untyped(text: str, source: str) -> Any:
    """Return what the YAML in ``text`` holds.

    :raises errors.SettingsError: when it is not YAML.
    """
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as exc:
        raise errors.SettingsError(
            f"{source}: not YAML ({exc})", remedy="mend the line it names"
        ) from exc


def _field_names(cls: type[msgspec.Struct], prefix: str = "") -> str:
    names = []
    for field in msgspec.structs.fields(cls):
        inner = field.type
        if isinstance(inner, type) and issubclass(inner, msgspec.Struct):
            names.append(_field_names(inner, f"{prefix}{field.name}."))
        else:
            names.append(prefix + field.name)
    return ", ".join(names)


__all__ = ["load", "parse", "parse_untyped", "read_text"]
