"""Generates the reference pages of settings and manifest from JSON Schema."""

import json
import pathlib
import sys
from typing import Any

ROOT = pathlib.Path(__file__).parent.parent
SCHEMA_DIR = ROOT / "src/jasminerelay/schema"
PAGES = {"settings": "SETTINGS.md", "manifest": "MANIFEST.md"}


def page(name: str) -> str:
    """Returns the reference page of one schema as Markdown."""
    schema = json.loads((SCHEMA_DIR / f"{name}.json").read_text())
    lines = [
        f"# {schema['title']} reference",
        "",
        f"{schema['description']} Made from `src/jasminerelay/schema/"
        f"{name}.json` by `make generate`.",
        "",
    ]
    lines += _table("Top level", schema, schema)
    for title, part in schema["$defs"].items():
        lines += _table(title, part, schema)
    return "\n".join(lines).rstrip() + "\n"


def _table(
    title: str, part: dict[str, Any], schema: dict[str, Any]
) -> list[str]:
    required = set(part.get("required", ()))
    rows = [
        f"| `{key}` | {_type(spec)} | {_default(key, spec, required)} |"
        f" {_description(spec, schema)} |"
        for key, spec in part["properties"].items()
    ]
    header = ["| key | type | default | meaning |", "| --- | --- | --- | --- |"]
    description = [part["description"], ""] if title != "Top level" else []
    return [f"## {title}", "", *description, *header, *rows, ""]


def _type(spec: dict[str, Any]) -> str:
    if "$ref" in spec:
        return _link(spec["$ref"])
    if spec["type"] == "array":
        items = spec["items"]
        item_type = _link(items["$ref"]) if "$ref" in items else items["type"]
        return f"list of {item_type}"
    if "enum" in spec:
        return "one of " + ", ".join(f"`{item}`" for item in spec["enum"])
    return spec["type"] + _bounds(spec)


def _bounds(spec: dict[str, Any]) -> str:
    phrases = {
        "minimum": "at least",
        "maximum": "at most",
        "exclusiveMinimum": "above",
        "exclusiveMaximum": "below",
        "minLength": "length at least",
        "maxLength": "length at most",
    }
    found = [
        f"{phrase} {spec[key]}"
        for key, phrase in phrases.items()
        if key in spec
    ]
    return f" ({', '.join(found)})" if found else ""


def _default(key: str, spec: dict[str, Any], required: set[str]) -> str:
    if key in required:
        return "required"
    if spec.get("default") == {}:
        return "its own defaults"
    return f"`{json.dumps(spec.get('default'))}`"


def _description(spec: dict[str, Any], schema: dict[str, Any]) -> str:
    if "description" in spec:
        return spec["description"]
    ref = spec.get("$ref") or spec["items"]["$ref"]
    return schema["$defs"][ref.rpartition("/")[2]]["description"]


def _link(ref: str) -> str:
    name = ref.rpartition("/")[2]
    return f"[{name}](#{name.lower()})"


def main() -> int:
    """Writes the pages; with --check only reports those that are out of date.

    Returns:
        Exit status: 1 if --check found a page that is out of date.
    """
    check = "--check" in sys.argv[1:]
    stale = []
    for name, target in PAGES.items():
        path = ROOT / "docs" / target
        if not check:
            path.write_text(page(name))
        elif path.read_text() != page(name):
            stale.append(target)
    for target in stale:
        print(f"docs/{target} is stale: run 'make generate' and commit it")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
