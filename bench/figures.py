"""Command-line option and output formats common to all benchmarks."""

import argparse
import json
import pathlib
from collections.abc import Sequence
from typing import Any

import tabulate


def argument_parser(doc: str | None) -> argparse.ArgumentParser:
    """Returns a parser with the option --out.

    Args:
        doc: Description of the benchmark.
    """
    parser = argparse.ArgumentParser(description=doc)
    parser.add_argument(
        "--out", type=pathlib.Path, help="file to write the figures to, as JSON"
    )
    return parser


def show(rows: Sequence[dict[str, Any]]) -> None:
    """Prints rows as a table."""
    print(tabulate.tabulate(rows, headers="keys"), flush=True)


def write_json(figures: Any, out: pathlib.Path | None) -> None:
    """Writes figures as JSON to the file `out`, if it is given."""
    if out:
        out.write_text(json.dumps(figures, indent=1) + "\n")
