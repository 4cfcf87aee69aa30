"""Generates the data classes of jasminerelay.schema from JSON Schema."""

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
        return _with_structs(text) if name in STRUCT_NAMES else text


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
