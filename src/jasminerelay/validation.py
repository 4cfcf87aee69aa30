"""Validates settings files and manifests against their JSON Schemas."""

import json
import pathlib
import tomllib
from typing import TYPE_CHECKING, Any, TypeVar

from result import Err, Ok, Result

from jasminerelay import foreignbytes
from jasminerelay.errors import ConfigProblem, ForeignDataError

if TYPE_CHECKING:
    import jsonschema

_SCHEMA_DIR = pathlib.Path(__file__).parent / "schema"
_MAX_VALUE_CHARS = 60

T = TypeVar("T")


def load_schema(name: str) -> dict[str, Any]:
    """Returns the JSON Schema with the given name."""
    return json.loads((_SCHEMA_DIR / f"{name}.json").read_text())


def parse_toml(
    text: str, source: str
) -> Result[dict[str, Any], list[ConfigProblem]]:
    """Parses TOML; a syntax error becomes a problem with its line number."""
    try:
        parsed = tomllib.loads(text)
        foreignbytes.check_value(parsed)
        return Ok(parsed)
    except (ValueError, RecursionError) as exc:
        problem = ConfigProblem(
            source,
            "(file)",
            foreignbytes.shown(exc),
            "TOML",
            "correct the syntax there",
        )
        return Err([problem])


def check(raw: Any, schema_name: str, source: str) -> list[ConfigProblem]:
    """Returns all schema violations of a parsed file, sorted by key."""
    # Imported lazily: the import takes a third of a daemon's start time, and
    # the platform's settings are validated without jsonschema.
    import jsonschema

    validator = jsonschema.Draft202012Validator(load_schema(schema_name))
    faults = sorted(
        validator.iter_errors(raw), key=lambda fault: str(fault.json_path)
    )
    return [_problem(fault, source) for fault in faults]


def convert(raw: Any, kind: type[T]) -> T | None:
    """Converts a parsed file to data classes; None if a type is wrong.

    Values out of range are accepted, so that references can be checked in the
    same run and all errors are reported together.
    """
    try:
        return foreignbytes.convert(raw, kind)
    except ForeignDataError:
        return None


def _problem(fault: "jsonschema.ValidationError", source: str) -> ConfigProblem:
    key = fault.json_path.removeprefix("$").lstrip(".") or "(file)"
    found = json.dumps(fault.instance, default=str)
    if _is_secret(key):
        found = "a secret (not shown)"
    if len(found) > _MAX_VALUE_CHARS:
        found = found[:_MAX_VALUE_CHARS] + "..."
    match fault.validator:
        case "required":
            missing = [
                name
                for name in fault.validator_value
                if name not in fault.instance
            ]
            return ConfigProblem(
                source,
                key,
                "no " + ", ".join(missing),
                "all of " + ", ".join(fault.validator_value),
                "add the missing keys",
            )
        case "additionalProperties":
            known = fault.schema.get("properties", {})
            unknown = [name for name in fault.instance if name not in known]
            return ConfigProblem(
                source,
                key,
                "unknown key " + ", ".join(unknown),
                "only " + ", ".join(known),
                "remove it or correct its spelling",
            )
        case _:
            expected = f"{fault.validator} {json.dumps(fault.validator_value)}"
            described = fault.schema.get("description", "change the value")
            return ConfigProblem(source, key, found, expected, described)


def _is_secret(key: str) -> bool:
    return key.startswith("keys")
