# SPDX-License-Identifier: Apache-2.0
"""What decides is named, explained, and of no one deployment."""

import ast
import pathlib
import re

import pytest

import lugcross

ROOT = pathlib.Path(lugcross.__file__).parent
#: Packages whose constants decide where users run.
PACKAGES = ("edge", "experts")
MODULES = sorted(
    path for name in PACKAGES for path in (ROOT / name).glob("*.py")
)
EVERYTHING = sorted(ROOT.rglob("*.py"))
#: Names of deployments, of their services and of their kinds of requests.
NAMES = re.compile(
    r"kstp|peticiona|obrador|bsas|capataz|planilla|modelo|registro"
    r"|repair-reply|lease-digest|resumen|clasifica|fichada|consulta"
    r"|nota-extras|horas-disputa|vake|saburtalo|didube|cba-|ros-a",
    re.IGNORECASE,
)


def _constants(path: pathlib.Path) -> list[tuple[str, int]]:
    """Return each constant with a value of its own, and its line."""
    found = []
    for node in ast.parse(path.read_text()).body:
        if not isinstance(node, ast.Assign):
            continue
        name = node.targets[0]
        decides = isinstance(node.value, ast.Constant | ast.Call)
        if isinstance(name, ast.Name) and name.id.isupper() and decides:
            found.append((name.id, node.lineno))
    return found


def _is_explained(lines: list[str], number: int) -> bool:
    return lines[number - 2].startswith("#")


#: Units, which explain themselves.
UNITS = {"_MS"}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_every_constant_says_where_it_comes_from(path: pathlib.Path) -> None:
    lines = path.read_text().splitlines()
    bare = [
        name
        for name, number in _constants(path)
        if name not in UNITS and not _is_explained(lines, number)
    ]
    assert not bare


@pytest.mark.parametrize("path", EVERYTHING, ids=lambda path: path.stem)
def test_code_names_no_deployment(path: pathlib.Path) -> None:
    assert not NAMES.findall(path.read_text())
