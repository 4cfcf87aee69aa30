"""Generates the data classes of jasminerelay.schema from JSON Schema."""

import json
import pathlib
import re
import subprocess
import sys
import tempfile

SCHEMA_DIR = pathlib.Path(__file__).parent.parent / "src/jasminerelay/schema"
SCHEMA_NAMES = ("settings", "manifest", "messages")
STRUCT_NAMES = ("messages",)
"""Schemas whose classes are structs of msgspec. An instance imports all of them
at its start, and creating a data class takes some twenty times as long."""


def generate(name: str) -> str:
    """Returns the source of the module generated from one schema."""
    with tempfile.TemporaryDirectory() as folder:
        output_path = pathlib.Path(folder) / f"{name}.py"
        subprocess.run(
            [
                sys.executable,
                "-m",
                "datamodel_code_generator",
                "--input",
                str(SCHEMA_DIR / f"{name}.json"),
                "--input-file-type",
                "jsonschema",
                "--output",
                str(output_path),
                "--output-model-type",
                "dataclasses.dataclass",
                "--frozen-dataclasses",
                "--target-python-version",
                "3.11",
                "--use-schema-description",
                "--use-title-as-name",
                "--use-standard-collections",
                "--use-union-operator",
                "--strict-nullable",
                "--enum-field-as-literal",
                "all",
                "--disable-timestamp",
                "--formatters",
                "builtin",
            ],
            check=True,
        )
        text = output_path.read_text()
        if name not in STRUCT_NAMES:
            return text
        return _with_bounds(_with_structs(text), name)


def _with_structs(text: str) -> str:
    """Returns the source with frozen structs in place of frozen data classes.

    The generator's own output of structs adds a union with UnsetType to every
    field that has a default.
    """
    text = text.replace(
        "from dataclasses import dataclass, field",
        "from msgspec import Struct, field",
    )
    return re.sub(
        r"@dataclass\(frozen=True\)\nclass (\w+):",
        r"class \1(Struct, frozen=True):",
        text,
    )


def _with_bounds(text: str, name: str) -> str:
    """Returns the source with the bounded types of `statednumbers`.

    The generator leaves the bounds out of data classes.
    """
    schema = json.loads((SCHEMA_DIR / f"{name}.json").read_text())
    fields_of = {
        item.get("title", key): item["properties"]
        for key, item in schema["$defs"].items()
    }
    fields = {}
    lines = []
    used = set()
    for line in text.splitlines(keepends=True):
        header = re.match(r"class (\w+)\(", line)
        if header:
            fields = fields_of.get(header[1], {})
        field = re.match(r"    (\w+): ", line)
        if field and field[1] in fields:
            bounded = _bounded_type(fields[field[1]])
            if bounded:
                used.add(bounded)
                line = re.sub(r"\b(int|float)\b", bounded, line, count=1)
        lines.append(line)
    names = ", ".join(sorted(used))
    return "".join(lines).replace(
        "from msgspec import Struct, field\n",
        "from msgspec import Struct, field\n\n"
        f"from jasminerelay.statednumbers import {names}\n",
    )


def _bounded_type(field: dict) -> str:
    """Returns the name of a number's type; "" for fields without a number."""
    item = field.get("items", field)
    is_count = item.get("minimum") == 0
    if item.get("hash"):
        return "Hash"
    if item.get("type") == "integer":
        return "Count" if is_count else "Whole"
    if item.get("type") == "number":
        return "Amount" if is_count else "Number"
    return ""


def main() -> int:
    """Writes the modules; with --check only reports those that are out of date.

    Returns:
        Exit status: 1 if --check found a module that is out of date.
    """
    check = "--check" in sys.argv[1:]
    stale = []
    for name in SCHEMA_NAMES:
        path = SCHEMA_DIR / f"{name}.py"
        text = generate(name)
        if check and path.read_text() != text:
            stale.append(path.name)
        elif not check:
            path.write_text(text)
    for name in stale:
        print(f'{name} is stale: run "make generate" and commit the result')
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
