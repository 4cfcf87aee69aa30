"""Mutation check: removes each safeguard and expects its test to fail.

Usage: python -m tests.safeguards [NAME ...]

Each safeguard is removed in a copy of the tree of its own. Prints a line for
each; exits with 1 if a test passes without its safeguard.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from tests.safeguardlist import SAFEGUARDS, Safeguard

ROOT = pathlib.Path(__file__).parent.parent
COPIED_FOLDERS = ("src", "standins", "tests", "examples", "bench", "deploy")
TIMEOUT_S = 300.0


def main() -> int:
    """Checks the safeguards named as arguments, or all; returns the status."""
    names = sys.argv[1:]
    chosen = [item for item in SAFEGUARDS if not names or item.name in names]
    held = 0
    for item in chosen:
        failed = fails_without(item)
        held += failed
        outcome = "fails" if failed else "PASSES"
        print(f"{outcome} without: {item.name} ({item.proof})", flush=True)
    print(f"{held} of {len(chosen)} tests fail without their safeguard")
    return 0 if held == len(chosen) else 1


def fails_without(item: Safeguard) -> bool:
    """Returns whether the test fails, or times out, without the safeguard."""
    with tempfile.TemporaryDirectory(prefix="safeguard-") as folder:
        copy = pathlib.Path(folder)
        for part in COPIED_FOLDERS:
            shutil.copytree(
                ROOT / part,
                copy / part,
                ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"),
            )
        remove_safeguard(item, copy)
        environment = dict(os.environ, PYTHONPATH=str(copy / "src"))
        try:
            done = subprocess.run(
                [sys.executable, "-m", "tests.run", f"tests.{item.proof}"],
                cwd=copy,
                env=environment,
                capture_output=True,
                timeout=TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return True
        return done.returncode != 0


def remove_safeguard(item: Safeguard, root: pathlib.Path) -> None:
    """Removes a safeguard from a copy of the tree.

    Raises:
        ValueError: if its text doesn't occur exactly once.
    """
    path = root / "src" / "jasminerelay" / f"{item.module}.py"
    text = path.read_text()
    if text.count(item.old) != 1:
        raise ValueError(
            f"{item.name}: its text occurs {text.count(item.old)} times in"
            f" {item.module}.py instead of once; update safeguardlist.py"
        )
    path.write_text(text.replace(item.old, item.new))


if __name__ == "__main__":
    sys.exit(main())
