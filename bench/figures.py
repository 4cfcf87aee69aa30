"""What all measurements share: the file for their figures, and the table."""

import argparse
import json
import pathlib
from collections.abc import Sequence
from typing import Any

import tabulate


def parser(doc: str | None) -> argparse.ArgumentParser:
    """Returns a parser with the option for the file of figures."""
    args = argparse.ArgumentParser(description=doc)
    args.add_argument(
        "--out", type=pathlib.Path, help="file for the figures, as JSON"
    )
    return args


def show(rows: Sequence[dict[str, Any]]) -> None:
    """Prints rows as a table."""
    print(tabulate.tabulate(rows, headers="keys"), flush=True)


def keep(figures: Any, out: pathlib.Path | None) -> None:
    """Writes figures, if there is a file for them."""
    if out:
        out.write_text(json.dumps(figures, indent=1) + "\n")
