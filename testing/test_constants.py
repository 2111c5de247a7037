# SPDX-License-Identifier: Apache-2.0
"""Checks of constants, comments and deployment names in the source."""

import ast
import io
import pathlib
import re
import tokenize

import pytest

import lugcross

ROOT = pathlib.Path(lugcross.__file__).parent
#: Packages whose constants must name a unit, or have a type that does.
UNIT_CHECKED_PACKAGES = (
    "edge",
    "experts",
    "routing",
    "shares",
    "crash_suspects",
    "membership",
    "urgency",
    "rate_limits",
    "reachability",
)
UNIT_CHECKED_MODULES = sorted(
    path
    for name in UNIT_CHECKED_PACKAGES
    for path in (ROOT / name).rglob("*.py")
)
ALL_MODULES = sorted(ROOT.rglob("*.py"))


def _module_id(path: pathlib.Path) -> str:
    return path.relative_to(ROOT).as_posix()


#: Names of users' deployments, their services and their kinds of requests.
DEPLOYMENT_NAMES = re.compile(
    r"kstp|peticiona|obrador|bsas|capataz|planilla|modelo|registro"
    r"|repair-reply|lease-digest|resumen|clasifica|fichada|consulta"
    r"|nota-extras|horas-disputa|vake|saburtalo|didube|cba-|ros-a",
    re.IGNORECASE,
)

#: Words that name a unit when they are part of a constant's name.
UNIT_WORDS = frozenset(
    """S MS BYTES BITS CHARS PER COUNT RATIO FRACTION FACTOR WEIGHT
    PERCENTILE LEVEL PORT""".split()
)
#: A plural: ``CRASHES``, but not ``STATUS``, ``AXIS`` or ``LESS``.
_PLURAL = r"[A-Z]{2,}(?<![SUI])S"
#: A count, named by what is counted: ``MAX_IDLE_CONNECTIONS``,
#: ``CRASHES_TO_REFUSE``.
COUNT_NAME = re.compile(
    rf"^_?(?:(?:MAX|MIN)_(?:[A-Z]+_)*{_PLURAL}(?:_[A-Z]+)*"
    rf"|{_PLURAL}_(?:TO|BEFORE)_[A-Z_]+)$"
)
#: Functions that return a number.
NUMBER_FUNCTIONS = frozenset({"int", "float", "round", "len", "min", "max"})
#: Constructors and factories in lower case; their result has its own type.
LOWER_CASE_CONSTRUCTORS = frozenset({"timedelta", "compile"})

#: Quantities that the code measures and peers that it chooses while it runs.
#: They say nothing of how a constant was found, so they are cut from a
#: sentence before ``TUNING`` is searched in the rest.
RUNTIME_PHRASES = re.compile(
    r"\bmeasured in (?:tokens|requests|bytes|seconds)(?=[.,;:)]|$)"
    r"|\bmeasured by the (?:pauses|lengths) of (?:its|their) streams\b"
    r"|\b(?:demand|load) measured while (?:ranks|servers) (?:copy|start)\b"
    r"|\bnot measured from (?:an old|the last) (?:reading|event|answer)\b"
    r"|\b(?:a|the) (?:peer|process|server) is not chosen as"
    r" (?:a relay|leader)\b",
    re.IGNORECASE,
)
#: Statements that a value was measured, tried, tuned or chosen.
TUNING = re.compile(
    r"(?<!\bis )(?<!\bare )(?<!\bbe )\bmeasured\b"
    r"|\b(?:by|from|after|see) (?:a |the )?measurements?\b"
    r"|\b(?:fine-|un|re)?tun(?:ed|ing)\b"
    r"|\b(?:values?|defaults?|figures?|numbers?|constants?|limits?|bounds?"
    r"|thresholds?|factors?|ratios?|fractions?|weights?|intervals?|timeouts?"
    r"|it|this|these|\d[\d.]*(?: ?[a-z]{1,2})?)"
    r" (?:was|were|has been|have been)"
    r" (?:\w+ly )?(?:chosen|tried|picked|selected|derived)\b"
    r"|\b(?:chosen|tried|picked|selected)"
    r" (?:on (?!the )|out\b|after\b|because\b|experimentally|by experiment)"
    r"|\btried (?:with|at) \d|\bchosen, not\b|\bnot (?:chosen|calculated)\b"
    r"|\bby trial\b|\btrial and error\b|\bempirical(?:ly)?\b"
    r"|\bexperiment(?:s|ed|ally)?\b|\bbenchmark(?:s|ed)?\b",
    re.IGNORECASE,
)
#: Words about a trial: its length, its results or its machine.
RUN_WORDS = re.compile(
    r"\bin virtual time\b|\bsimulat(?:ed|ions?)\b"
    r"|\b\w+ plays\b|\b\d+ (?:runs|seeds|soaks)\b"
    r"|\b(?:mean|median|average)s? of \w+ (?:seeds|runs)\b"
    r"|\([^()]*\b(?:logged|calculated|recorded)\b[^()]*\)"
    r"|\brecorded (?:counts|runs|traffic)\b"
    r"|\bC?Python \d|\b(?:one|\d+) cores?\b"
    r"|\b(?:instead of|rather than) \d[\d.]*(?: ?(?:s|ms|%))?\b",
    re.IGNORECASE,
)
#: A number with a decimal point or at least two digits. It is not the year
#: of the epoch and not part of a name, a path or a formula.
NUMBER_IN_TEXT = re.compile(
    r"(?<![\w.*=/-])(?!1970)(?:\d*\.\d+|\d{2,})(?![\w*])"
)
#: A sentence with this many numbers is taken for a table of results.
MIN_TABLE_NUMBERS = 4
#: Verbs in the past tense. The words excluded before them turn the same form
#: into a participle or begin a relative clause, as in ``is refused``.
PAST_TENSE = re.compile(
    r"(?<!\bhas )(?<!\bhave )(?<!\bis )(?<!\bare )(?<!\bbe )(?<!\bbeen )"
    r"(?<!\bjust )(?<!\balready )(?<!\bthat )(?<!\bwhich )"
    r"\b(?:was|were|had|got|took|gave|cost|fell|rose|grew|came|went|ran"
    r"|stood|kept|made|left|served|ended|refused|answered|dropped|failed"
    r"|arrived|reached|turned|increased|decreased|raised|lowered|deadlocked"
    r"|lost (?=\w+ \d|\d))\b",
    re.IGNORECASE,
)


def _describes_a_run(text: str) -> bool:
    """Tell whether a sentence reports the results of a trial.

    Words about a trial suffice, and so does a number with a verb in the past
    tense. In the present tense, a few numbers may be a reason.
    """
    numbers = len(NUMBER_IN_TEXT.findall(text))
    return bool(
        RUN_WORDS.search(text)
        or (numbers and PAST_TENSE.search(text))
        or numbers >= MIN_TABLE_NUMBERS
    )


def _constants(tree: ast.Module) -> list[tuple[str, ast.expr, int]]:
    """Return name, value and line of each constant of a module.

    Constants in the body of a class are included.
    """
    found = []
    bodies = [tree.body]
    bodies += [n.body for n in ast.walk(tree) if isinstance(n, ast.ClassDef)]
    for node in (node for body in bodies for node in body):
        if isinstance(node, ast.Assign):
            targets = node.targets
        elif isinstance(node, ast.AnnAssign) and node.value is not None:
            targets = [node.target]
        else:
            continue
        for target in targets:
            if isinstance(target, ast.Name) and target.id.isupper():
                assert node.value is not None
                found.append((target.id, node.value, node.lineno))
    return found


def _has_bare_number(value: ast.expr, known: dict[str, ast.expr]) -> bool:
    """Tell whether a value is or contains a number whose type has no unit.

    An expression of an unknown kind counts as such a number.

    :param known: the values of the module's constants, by name.
    """
    match value:
        case ast.Constant():
            return isinstance(value.value, int | float | complex) and (
                not isinstance(value.value, bool)
            )
        case ast.JoinedStr():
            return False
        case ast.UnaryOp():
            return _has_bare_number(value.operand, known)
        case ast.BinOp():
            return _has_bare_number(value.left, known) and _has_bare_number(
                value.right, known
            )
        case ast.Tuple() | ast.List() | ast.Set():
            return any(_has_bare_number(one, known) for one in value.elts)
        case ast.Dict():
            return any(_has_bare_number(one, known) for one in value.values)
        case ast.Name():
            return value.id not in known or _has_bare_number(
                known[value.id], known
            )
        case ast.Attribute():
            # A member of an enum, such as ``http.HTTPStatus.OK``.
            owner = ast.unparse(value.value).rpartition(".")[2]
            return not owner[:1].isupper() or owner.isupper()
        case ast.Call():
            # The result of a class, such as ``Rank(0)``, has its type.
            name = ast.unparse(value.func).rpartition(".")[2]
            if name in ("frozenset", "tuple", "set", "dict"):
                return any(_has_bare_number(one, known) for one in value.args)
            return name not in LOWER_CASE_CONSTRUCTORS and (
                name in NUMBER_FUNCTIONS or not name[:1].isupper()
            )
        case _:
            return True


def _names_a_unit(name: str) -> bool:
    return bool(
        UNIT_WORDS.intersection(name.split("_")) or COUNT_NAME.match(name)
    )


def _constants_without_unit(source: str) -> list[str]:
    """Return line and name of each constant of a module without a unit."""
    constants = _constants(ast.parse(source))
    known = {name: value for name, value, _ in constants}
    return [
        f"{line}: {name}"
        for name, value, line in constants
        if _has_bare_number(value, known) and not _names_a_unit(name)
    ]


def _comments(source: str) -> list[tuple[int, str]]:
    """Return first line and joined text of each block of comments."""
    found: list[tuple[int, str]] = []
    last = 0
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type != tokenize.COMMENT:
            continue
        line = token.start[0]
        text = token.string.lstrip("#: ")
        if found and line == last + 1:
            found[-1] = (found[-1][0], f"{found[-1][1]} {text}")
        else:
            found.append((line, text))
        last = line
    return found


def _docstrings(source: str) -> list[tuple[int, str]]:
    """Return line and text of each string that is a statement."""
    return [
        (node.lineno, " ".join(node.value.value.split()))
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.Expr)
        and isinstance(node.value, ast.Constant)
        and isinstance(node.value.value, str)
    ]


def _sentences_about_tuning(source: str) -> list[str]:
    """Return line and text of each sentence about tuning or a trial.

    Comments and docstrings are searched.
    """
    return [
        f"{line}: {sentence}"
        for line, text in _comments(source) + _docstrings(source)
        for sentence in re.split(r"(?<=[.])\s|\s:param ", text)
        if TUNING.search(RUNTIME_PHRASES.sub("", sentence))
        or _describes_a_run(sentence)
    ]


@pytest.mark.parametrize(
    "line",
    [
        "_TIMEOUT = 0.4",
        "_BURST: Final = 3",
        "_SIZE = 4 * 1024",
        "_BUCKETS = (0.1, 0.2)",
        "_LIMITS = {'head': 16}",
        "_WAIT = float('inf')",
        "_UNKNOWN = read_limit()",
        "_STATUS = -1",
        "class Limits:\n    DEPTH = 3",
    ],
)
def test_a_bare_number_without_unit_is_found(line: str) -> None:
    assert _constants_without_unit(line)


@pytest.mark.parametrize(
    "line",
    [
        "_TIMEOUT_S = 0.4",
        "_TIMEOUT = datetime.timedelta(seconds=0.4) * 2",
        "MAX_RECORD_BYTES = 16 * 1024",
        "_BUCKETS_S = (0.1, 0.2)",
        "_MAX_IDLE_CONNECTIONS = 6",
        "CRASHES_TO_REFUSE = 3",
        "KEY = b'maps'",
        "_NAME = re.compile('a')",
        "_STATUS = http.HTTPStatus.OK",
        "_FIRST = experts.Rank(0)",
    ],
)
def test_a_unit_or_a_type_is_enough(line: str) -> None:
    assert not _constants_without_unit(line)


@pytest.mark.parametrize(
    "text",
    [
        "Longest wait; measured, see the notes.",
        "Both defaults were chosen on a day's counts.",
        "Tuned for links of one region.",
        "0.3 was tried and is too short.",
        "With 8, five of 70 requests were refused.",
        "Half of them were late (seven processes in virtual time).",
        "Of 16 servers five got 269 of 375 attempts.",
        "A body of 2 MB takes 5 ms (CPython 3.11).",
        "It takes 3 s instead of 0.4 s.",
    ],
)
def test_a_story_of_tuning_is_found(text: str) -> None:
    assert _sentences_about_tuning(f"# {text}\n")
    assert _sentences_about_tuning(f'"""{text}"""\n')


@pytest.mark.parametrize(
    "text",
    [
        "Wait measured while ranks copy.",
        "Demand measured while ranks copied experts.",
        "Longest wait, measured in seconds over a day.",
        "Timeout measured by the pauses of a run.",
        "The limit is not measured from the last run.",
        "Shares measured in a soak.",
        "Pass times of a rank group, measured by a soak.",
        "The time to live is not measured.",
        "This bound is not chosen as a compromise.",
        "Tuned by the demand measured while ranks copy experts.",
        "A peer is not chosen as a relay; the limit was chosen by hand.",
    ],
)
def test_a_runtime_phrase_hides_no_story_of_tuning(text: str) -> None:
    assert _sentences_about_tuning(f"# {text}\n")
    assert _sentences_about_tuning(f'"""{text}"""\n')


@pytest.mark.parametrize(
    "text",
    [
        "Chosen by the caller.",
        "There is none if each server was tried.",
        "The gap is measured from the last event.",
        "When it started, in milliseconds since 1970.",
        "A lost packet is sent again after 0.2 s.",
        "Demand measured while ranks copy experts for the switch.",
        "Pass times of a rank group, measured by the pauses of its streams.",
        "Fair queue of one backend server, with shares measured in tokens.",
        "Silence after which a peer is not chosen as a relay.",
        "The time to live is not measured from an old reading.",
    ],
)
def test_a_plain_reason_is_no_story(text: str) -> None:
    assert not _sentences_about_tuning(f"# {text}\n")
    assert not _sentences_about_tuning(f'"""{text}"""\n')


@pytest.mark.parametrize("path", UNIT_CHECKED_MODULES, ids=_module_id)
def test_every_constant_has_a_unit(path: pathlib.Path) -> None:
    assert not _constants_without_unit(path.read_text())


@pytest.mark.parametrize("path", ALL_MODULES, ids=_module_id)
def test_no_comment_tells_of_tuning(path: pathlib.Path) -> None:
    assert not _sentences_about_tuning(path.read_text())


@pytest.mark.parametrize("path", ALL_MODULES, ids=_module_id)
def test_code_names_no_deployment(path: pathlib.Path) -> None:
    assert not DEPLOYMENT_NAMES.findall(path.read_text())
