# SPDX-License-Identifier: Apache-2.0
"""Reading of settings files: YAML, validated against typed structs."""

import pathlib
from typing import Any
from typing import TypeVar

import msgspec
import yaml

from lugcross import errors

_S = TypeVar("_S", bound=msgspec.Struct)


def parse(text: str, cls: type[_S], *, source: str) -> _S:
    """Return the settings in a YAML text as a ``cls``.

    :param source: file name for error messages.
    :raises errors.SettingsError: if they are invalid; names file, path of the
        field and remedy.
    """
    raw = parse_untyped(text, source)
    try:
        return msgspec.convert(raw, cls, strict=True)
    except msgspec.ValidationError as exc:
        raise errors.SettingsError(
            f"{source}: {exc}", remedy=f"fields are: {_field_names(cls)}"
        ) from exc


def load(path: str, cls: type[_S]) -> _S:
    """Return the settings in the file at ``path`` as a ``cls``.

    :raises errors.SettingsError: if the file is unreadable or invalid.
    """
    return parse(read_text(path), cls, source=path)


def read_text(path: str) -> str:
    """Return the text of a settings file.

    :raises errors.SettingsError: if it cannot be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(
            f"{path}: cannot be read ({exc})",
            remedy="give the path of a readable settings file",
        ) from exc


def parse_untyped(text: str, source: str) -> Any:
    """Return the value of a YAML text, without validation.

    :param source: file name for error messages.
    :raises errors.SettingsError: if ``text`` is not valid YAML.
    """
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as exc:
        raise errors.SettingsError(
            f"{source}: not YAML ({exc})", remedy="fix the line named above"
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
