"""Tests of modules whose code is executed at the first use."""

import importlib
import pathlib
import subprocess
import sys
import tempfile
import types
import unittest

from jasminerelay.platform import start
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

KNOWN_NAMES_PROGRAM = """
import sys
sys.path[:0] = sys.argv[1:]
from jasminerelay import lazymodules

lazymodules.defer("deferred.part", KNOWN="known")
lazymodules.defer("single", NAME="replaced later")
from single import NAME
import deferred.other
from deferred import part
print(part.KNOWN, NAME)
print(part.NAME)
import single
print(single.NAME)
print(single.OTHER, single.NAME)
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

    def test_names_known_before_the_code_is_executed(self) -> None:
        # Guards against a module that is executed for a name that was given,
        # by "from module import name", or by the import of its package, and
        # against given names that hide the module's own.
        with tempfile.TemporaryDirectory(prefix="jasminerelay-") as folder:
            package = pathlib.Path(folder) / "deferred"
            package.mkdir()
            for name in ("__init__", "part", "other"):
                (package / f"{name}.py").write_text(
                    f"print('executed {name}')\nNAME = 'name of {name}'\n"
                )
            (pathlib.Path(folder) / "single.py").write_text(
                "print('executed single')\nNAME = 'own'\nOTHER = 'other'\n"
            )
            done = subprocess.run(
                [
                    *(sys.executable, "-c", KNOWN_NAMES_PROGRAM),
                    *(str(ROOT / "src"), folder),
                ],
                capture_output=True,
                text=True,
                check=True,
            )
        self.assertEqual(
            done.stdout.splitlines(),
            [
                "executed __init__",
                "executed other",
                "known replaced later",
                "executed part",
                "name of part",
                "replaced later",
                "executed single",
                "other own",
            ],
        )

    def test_names_given_for_an_instance(self) -> None:
        # Guards against constants that differ from those of the modules, or
        # that these no longer have.
        for name, names in start.DEFERRED_MODULES.items():
            for known, value in names.items():
                own = getattr(importlib.import_module(name), known)
                if isinstance(value, types.FunctionType):
                    self.assertEqual(value(), own())
                elif isinstance(own, type) and own is not value:
                    # Stands for a class without objects.
                    self.assertEqual(value, start.NotLoaded)
                else:
                    self.assertEqual(value, own)


if __name__ == "__main__":
    unittest.main()
