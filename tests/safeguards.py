"""Takes each safeguard out in a copy and shows that its proof then fails.

Usage: python -m tests.safeguards [NAME ...]

Prints a line for each safeguard; exits with 1 if a proof passes without it.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from tests.safeguardlist import SAFEGUARDS, Safeguard

ROOT = pathlib.Path(__file__).parent.parent
PARTS = ("src", "standins", "tests", "examples", "bench", "deploy")
TIMEOUT_S = 300.0


def main() -> int:
    """Checks the named safeguards, or all; returns the exit status."""
    names = sys.argv[1:]
    chosen = [item for item in SAFEGUARDS if not names or item.name in names]
    held = 0
    for item in chosen:
        failed = fails_without(item)
        held += failed
        word = "fails" if failed else "PASSES"
        print(f"{word} without: {item.name} ({item.proof})", flush=True)
    print(f"{held} of {len(chosen)} proofs fail without their safeguard")
    return 0 if held == len(chosen) else 1


def fails_without(item: Safeguard) -> bool:
    """Returns whether the proof fails once the safeguard is out."""
    with tempfile.TemporaryDirectory(prefix="safeguard-") as folder:
        copy = pathlib.Path(folder)
        for part in PARTS:
            shutil.copytree(
                ROOT / part,
                copy / part,
                ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"),
            )
        take_out(item, copy)
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


def take_out(item: Safeguard, root: pathlib.Path) -> None:
    """Replaces a safeguard's text in a copy of the tree."""
    path = root / "src" / "jasminerelay" / f"{item.module}.py"
    text = path.read_text()
    if text.count(item.old) != 1:
        raise ValueError(
            f"{item.name}: its text stands {text.count(item.old)} times in"
            f" {item.module}.py; update it"
        )
    path.write_text(text.replace(item.old, item.new))


if __name__ == "__main__":
    sys.exit(main())
