"""Tests of modules whose code is executed at the first use."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

from standins.launcher import ROOT

PROGRAM = """
import sys
sys.path[:0] = sys.argv[1:]
from jasminerelay import lazymodules

lazymodules.defer("deferred")
lazymodules.defer("deferred.part")
import deferred
import deferred.part
import deferred.other
print("imported")
print(deferred.part.NAME)
print(deferred.NAME)
try:
    deferred.nothing
except AttributeError as exc:
    print(exc)
try:
    lazymodules.defer("missing")
except ModuleNotFoundError as exc:
    print(exc)
"""


class LazyModulesTest(unittest.TestCase):
    """Modules that libraries import for features that are not used."""

    def test_code_is_executed_at_the_first_use(self) -> None:
        # Guards against a deferred module that is executed by an import, or
        # that lacks its names when it is used.
        with tempfile.TemporaryDirectory(prefix="jasminerelay-") as folder:
            package = pathlib.Path(folder) / "deferred"
            package.mkdir()
            for name in ("__init__", "part", "other"):
                (package / f"{name}.py").write_text(
                    f"print('executed {name}')\nNAME = 'name of {name}'\n"
                )
            done = subprocess.run(
                [sys.executable, "-c", PROGRAM, str(ROOT / "src"), folder],
                capture_output=True,
                text=True,
                check=True,
            )
        self.assertEqual(
            done.stdout.splitlines(),
            [
                "executed other",
                "imported",
                "executed part",
                "name of part",
                "executed __init__",
                "name of __init__",
                "module 'deferred' has no attribute 'nothing'",
                "No module named 'missing'",
            ],
        )


if __name__ == "__main__":
    unittest.main()
