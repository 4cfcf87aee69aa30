"""Checks the deploy file, from which the platform builds and runs instances."""

import pathlib
import re

import msgspec
from result import Err, Ok, Result

from jasminerelay import foreignbytes, validation
from jasminerelay.errors import ConfigProblem, ForeignDataError

CALLERS_SERVICE = "edge"
ENTRIES_SERVICE = "registry"
_METRICS = re.compile(r"[0-9]{1,5}/[^\s]*")
_VARIABLE = re.compile(r"[A-Z][A-Z0-9_]*")
_RESERVED = ("LD_", "JAVA", "NODE_", "PYTHON")
"""Prefixes of variables that the platform or a language runtime interprets."""


class _Role(msgspec.Struct):
    run: str
    # Machine class.
    on: str
    serves: list[str] = msgspec.field(default_factory=list)
    share: float | None = None
    count: int | None = None
    metrics: str | None = None
    template: str | None = None
    env: dict[str, str] = msgspec.field(default_factory=dict)


class _DeployFile(msgspec.Struct):
    build: str
    roles: dict[str, _Role]


def load(path: pathlib.Path) -> Result[list[str], list[ConfigProblem]]:
    """Reads and checks a deploy file; returns the names of its roles.

    Paths of programs and templates are resolved against the parent of the
    file's folder, since the platform runs programs at the repository's root.
    """
    source = str(path)
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        return Err([_problem(source, "(file)", str(exc), "a TOML file")])
    parsed = validation.parse_toml(text, source)
    if isinstance(parsed, Err):
        return parsed
    try:
        raw = foreignbytes.convert(parsed.ok_value, _DeployFile)
    except ForeignDataError as exc:
        return Err([_problem(source, "(file)", exc.message, "build and roles")])
    problems = _check(raw, source, path.resolve().parent.parent)
    return Err(problems) if problems else Ok(sorted(raw.roles))


def _check(
    raw: _DeployFile, source: str, root: pathlib.Path
) -> list[ConfigProblem]:
    problems = []
    served = [service for role in raw.roles.values() for service in role.serves]
    for service in (CALLERS_SERVICE, ENTRIES_SERVICE):
        if service not in served:
            expected = f"a role whose serves field lists {service}"
            problems.append(_problem(source, "roles", "none", expected))
    for name, role in raw.roles.items():
        key = f"roles.{name}"
        problems += _check_amount(role, source, key)
        problems += _check_files(role, source, key, root)
        problems += _check_names(role, source, key)
    return problems


def _check_amount(role: _Role, source: str, key: str) -> list[ConfigProblem]:
    if (role.share is None) == (role.count is None):
        return [
            _problem(source, key, "both or neither", "either share or count")
        ]
    if role.share is not None and not 0 < role.share <= 1:
        expected = "more than 0, at most 1"
        return [_problem(source, f"{key}.share", str(role.share), expected)]
    if role.count is not None and role.count < 1:
        found = str(role.count)
        return [_problem(source, f"{key}.count", found, "1 or more")]
    return []


def _check_files(
    role: _Role, source: str, key: str, root: pathlib.Path
) -> list[ConfigProblem]:
    paths = [part for part in role.run.split() if part.endswith(".py")]
    if role.template is not None:
        paths.append(role.template)
    return [
        _problem(source, key, f"no file {path}", f"a file under {root}")
        for path in paths
        if not (root / path).is_file()
    ]


def _check_names(role: _Role, source: str, key: str) -> list[ConfigProblem]:
    problems = []
    if role.metrics is not None and not _METRICS.fullmatch(role.metrics):
        key = f"{key}.metrics"
        problems.append(_problem(source, key, role.metrics, "PORT/PATH"))
    for name in role.env:
        free = not name.startswith(_RESERVED) and name not in ("PATH", "HOME")
        if not free or not _VARIABLE.fullmatch(name):
            expected = "capitals, digits and underscores; not a reserved name"
            problems.append(_problem(source, f"{key}.env", name, expected))
    return problems


def _problem(source: str, key: str, found: str, expected: str) -> ConfigProblem:
    return ConfigProblem(
        source,
        key,
        found,
        expected,
        "correct the deploy file and check it again",
    )
