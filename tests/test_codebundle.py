"""Tests of the bundle of compiled code that an instance imports from."""

import contextlib
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import sysconfig
import tempfile
import unittest

import anyio
import anyio.abc
import httpcore

from jasminerelay.platform import bootfile
from standins.launcher import ROOT, free_address
from standins.platformsite import API_KEY, HOST, SiteOptions
from tests.platformcase import POLL_S, Answer, PlatformCase, fetch

IMPORT_PROGRAM = """
import json, os, sys

root, program, found = sys.argv[1], sys.argv[2], {}
sys.path.insert(0, f"{root}/deploy")
import codebundle

before = {*sys.modules}
sys.path[:0] = [f"{root}/src", f"{root}/target/deps"]
bundle = codebundle.Bundle(root, f"{root}/{codebundle.PATH}")
bundle.install()
exec(program)
print(json.dumps({**bundle.close(), **found}))
"""
"""Runs a program with the bundle of a checkout; prints how far it was used and
what the program has found."""

IMPORT_ALL = """
from jasminerelay.platform import start

start.defer_modules()
import jasminerelay.platform.root
"""

DESCRIBE = """
from jasminerelay.platform import root
import dataclasses, inspect, re

classes, patterns, tuples = {}, {}, {}
for module_name, module in sorted(sys.modules.items()):
    for name, value in sorted(vars(module).items()):
        if not isinstance(value, type) or not issubclass(value, tuple):
            continue
        if hasattr(value, "_fields"):
            tuples[f"{module_name}.{name}"] = str(inspect.signature(value))
    if module_name.partition(".")[0] not in ("jasminerelay", "h11", "tomllib"):
        continue
    for name, value in sorted(vars(module).items()):
        if dataclasses.is_dataclass(value) and isinstance(value, type):
            classes[f"{module_name}.{name}"] = [
                re.sub(" at 0x[0-9a-f]+", "", str(inspect.signature(value))),
                value.__doc__,
                value.__init__.__code__.co_code.hex(),
                repr(value.__init__.__code__.co_consts),
            ]
        if isinstance(value, re.Pattern):
            patterns[f"{module_name}.{name}"] = [
                str(value.pattern), value.flags, value.groups,
                dict(value.groupindex),
            ]
found = {"classes": classes, "patterns": patterns, "tuples": tuples}
"""
"""Describes what the modules compile when they are imported."""

ADDED_MODULE = '''"""A module with what the bundle must preserve."""

import dataclasses
import re


@dataclasses.dataclass(frozen=True)
class Added:
    """A point.

    Attributes:
        x: A value.
    """

    x: int


WORD = re.compile("(?P<name>[a-z]+)")


def fail():
    """Fails."""
    raise ValueError(Added(1))
'''

FAIL = """
import traceback
from jasminerelay import stopping

try:
    stopping.fail()
except ValueError:
    found = {"text": traceback.format_exc()}
"""

READ_SCHEMA = """
import importlib.resources
import jasminerelay.schema

folder = importlib.resources.files("jasminerelay.schema")
text = (folder / "settings.json").read_text()
found = {"schema": text, "loaded": "jasminerelay.schema" in bundle._modules}
"""

TIMEOUT_S = 30.0
CHANGED_S = 1_000.0
"""Seconds by which a changed source is newer."""


class CodeBundleTest(unittest.TestCase):
    """Imports from a bundle in a checkout without packages of its own."""

    @classmethod
    def setUpClass(cls) -> None:
        folder = tempfile.TemporaryDirectory(prefix="jasminerelay-")
        cls.addClassCleanup(folder.cleanup)
        cls.built = pathlib.Path(folder.name) / "built"
        for name in ("src", "deploy"):
            shutil.copytree(ROOT / name, cls.built / name)
        stopping = cls.built / "src/jasminerelay/stopping.py"
        stopping.write_text(stopping.read_text() + ADDED_MODULE)
        run("-S", str(cls.built / "deploy/bundle.py"))
        cls.count = 0

    def setUp(self) -> None:
        type(self).count += 1
        self.root = self.built.parent / f"checkout{self.count}"
        # Copies with the times of the files.
        shutil.copytree(self.built, self.root)
        self.bundle = self.root / "target/code.bundle"

    def use(self, program: str = IMPORT_ALL) -> dict:
        """Returns how far the bundle was used, and what a program found."""
        lines = run("-S", "-c", IMPORT_PROGRAM, str(self.root), program)
        return json.loads(lines.splitlines()[-1])

    def change(self, name: str, old: str, new: str) -> pathlib.Path:
        """Changes a source of the package; returns it."""
        path = self.root / "src/jasminerelay" / name
        text = path.read_text()
        self.assertIn(old, text)
        path.write_text(text.replace(old, new, 1))
        os.utime(path, times=(path.stat().st_mtime + CHANGED_S,) * 2)
        return path

    def test_all_modules_are_loaded_from_it(self) -> None:
        # Guards against a start that searches for its modules in spite of the
        # bundle. The copy has other paths than the checkout that was built.
        found = self.use(
            IMPORT_ALL
            + "found = {'usual': [name for name, module in sys.modules.items()"
            " if getattr(getattr(module, '__spec__', None), 'has_location', 0)"
            " and name not in {*before, *bundle._modules}]}"
        )
        self.assertEqual(
            (found["state"], found["changed"], found["usual"]),
            ("used", [], []),
        )
        self.assertGreater(found["modules"], 300)

    def test_absent(self) -> None:
        self.bundle.unlink()
        found = self.use()
        self.assertEqual((found["state"], found["modules"]), ("absent", 0))

    def test_truncated(self) -> None:
        # Guards against a start that fails, or a crash of the interpreter, by
        # a bundle that was written in part.
        data = self.bundle.read_bytes()
        for size in (0, 7, 20, 3_000, len(data) // 2, len(data) - 1):
            with self.subTest(size=size):
                self.bundle.write_bytes(data[:size])
                found = self.use("from jasminerelay import stopping")
                self.assertEqual(found["state"], "invalid")
                self.assertEqual(found["modules"], 0)

    def test_damaged(self) -> None:
        data = bytearray(self.bundle.read_bytes())
        data[len(data) // 3] ^= 1
        self.bundle.write_bytes(data)
        found = self.use()
        self.assertEqual((found["state"], found["modules"]), ("invalid", 0))

    def test_other_interpreter(self) -> None:
        # Guards against code of another version of Python.
        path = self.root / "deploy/codebundle.py"
        text = path.read_text()
        path.write_text(text.replace("(sys.version,", '("3.11.0",'))
        found = self.use()
        self.assertEqual((found["state"], found["modules"]), ("invalid", 0))

    def test_changed_source(self) -> None:
        # Guards against code that is older than its source, also where the
        # size of the source is the same.
        for old, new in (
            ("raise ValueError(Added(1))", "raise ValueError(Added(2))"),
            ("raise ValueError(Added(2))", "raise ValueError(Added(1), 34)"),
        ):
            with self.subTest(new=new):
                self.change("stopping.py", old, new)
                found = self.use(FAIL)
                self.assertEqual(found["changed"], ["jasminerelay.stopping"])
                self.assertIn(new, found["text"])
                self.assertGreater(found["modules"], 20)

    def test_changed_data_class(self) -> None:
        # Guards against methods of a data class that has changed.
        self.change("stopping.py", "    x: int", "    x: int = 5")
        found = self.use(
            "from jasminerelay import stopping\n"
            "found = {'value': stopping.Added().x}"
        )
        self.assertEqual(found["value"], 5)

    def test_same_source_with_another_time(self) -> None:
        # Guards against a slow start after the checkout was copied without
        # the times of its files.
        for path in self.root.rglob("src/**/*.py"):
            os.utime(path, (1e9, 1e9))
        found = self.use()
        self.assertEqual((found["state"], found["changed"]), ("used", []))
        self.assertGreater(found["modules"], 300)

    def test_missing_module(self) -> None:
        # Guards against an import that fails because the bundle lacks the
        # module.
        added = self.root / "src/jasminerelay/added.py"
        added.write_text(ADDED_MODULE)
        found = self.use(
            "from jasminerelay import added\n"
            "found = {'word': added.WORD.match('ab1')['name'],"
            " 'x': added.Added(3).x}"
        )
        self.assertEqual((found["word"], found["x"]), ("ab", 3))

    def test_removed_source(self) -> None:
        # Guards against a module that exists in the bundle alone.
        (self.root / "src/jasminerelay/stopping.py").unlink()
        found = self.use(
            "try:\n    import jasminerelay.stopping\n"
            "except ModuleNotFoundError as exc:\n    found = {'name': exc.name}"
        )
        self.assertEqual(found["name"], "jasminerelay.stopping")

    def test_deferred_modules_after_its_end(self) -> None:
        # Guards against a deferred module that cannot be loaded once the
        # bundle is closed, or that keeps the names given in its place.
        found = self.use(
            IMPORT_ALL
            + "bundle.close()\n"
            + "import hashlib, ssl, subprocess\nfrom asyncio import sslproto\n"
            + "found = {'values': [subprocess.list2cmdline(['a b']),"
            " hashlib.sha256(b'').hexdigest()[:4], ssl.SSLError.__name__,"
            " issubclass(ssl.SSLSocket, start.NotLoaded),"
            " sslproto.SSLAgainErrors[0].__name__]}"
        )
        self.assertEqual(
            found["values"],
            ['"a b"', "e3b0", "SSLError", False, "SSLWantReadError"],
        )

    def test_traceback(self) -> None:
        # Guards against tracebacks without the files, lines and sources, also
        # where the checkout was moved after the build.
        path = self.root / "src/jasminerelay/stopping.py"
        lines = path.read_text().splitlines()
        number = lines.index("    raise ValueError(Added(1))") + 1
        text = self.use(FAIL)["text"]
        self.assertIn(f'File "{path}", line {number}, in fail', text)
        self.assertIn("    raise ValueError(Added(1))\n", text)
        self.assertIn("ValueError: Added(x=1)", text)

    def test_files_of_the_package(self) -> None:
        # Guards against data files that cannot be read from a package that is
        # loaded from the bundle.
        found = self.use(READ_SCHEMA)
        path = self.root / "src/jasminerelay/schema/settings.json"
        self.assertEqual(found["schema"], path.read_text())
        self.assertTrue(found["loaded"])

    def test_same_as_usual_imports(self) -> None:
        # Guards against data classes or regular expressions that differ from
        # those that usual imports create.
        found = self.use(DESCRIBE)
        self.bundle.unlink()
        usual = self.use(DESCRIBE)
        self.assertGreater(len(found["classes"]), 80)
        self.assertGreater(len(found["patterns"]), 10)
        self.assertGreater(len(found["tuples"]), 20)
        for name in ("classes", "patterns", "tuples"):
            self.assertEqual(found[name], usual[name])


class InstanceFromBundleTest(PlatformCase):
    """An instance that is started from a checkout that was built."""

    options = SiteOptions(grace_s=1.0)

    async def test_start_with_a_metrics_request(self) -> None:
        # Guards against an instance that the bundle's end leaves without the
        # modules that are imported later, such as those of the first request
        # for metrics, here during the start.
        port = free_address().rpartition(":")[2]
        with tempfile.TemporaryDirectory(prefix="jasminerelay-") as folder:
            root = pathlib.Path(folder)
            for name in ("src", "deploy"):
                shutil.copytree(ROOT / name, root / name)
            run("-S", str(root / "deploy/bundle.py"))
            async with self.site() as (site, _):
                path = site.settings("edge-2")
                variables = {
                    **environment(),
                    "JASMINERELAY_BOOT": str(path),
                    "JASMINERELAY_METRICS_PORT": port,
                }
                async with await anyio.open_process(
                    [sys.executable, "-S", str(root / "deploy/instance.py")],
                    env=variables,
                    stderr=None,
                ) as process:
                    try:
                        output = await self.use(process, path, port)
                    finally:
                        with contextlib.suppress(ProcessLookupError):
                            process.kill()
        (use,) = (
            json.loads(line)
            for line in output.splitlines()
            if b'"code_bundle"' in line
        )
        self.assertEqual((use["state"], use["changed"]), ("used", []))
        self.assertGreater(use["modules"], 300)

    async def use(
        self, process: anyio.abc.Process, path: pathlib.Path, port: str
    ) -> bytes:
        """Requests metrics, then a response; stops the instance.

        Args:
            process: The instance, while it starts.
            path: Its settings file.
            port: Its port for metrics.

        Returns:
            What it wrote.
        """
        boot = bootfile.load(path).unwrap()
        with anyio.fail_after(TIMEOUT_S):
            answer = await first_answer(f"http://{boot.ip}:{port}/metrics")
            self.assertIn(b"jasminerelay_", answer.body)
            answer = await fetch(
                f"http://{boot.callers}/lookup/x",
                fields={"Host": HOST, "Authorization": f"Bearer {API_KEY}"},
            )
            self.assertEqual(answer.status, 200)
            # Guards against 6 MB for libraries that an instance does not use.
            libraries = pathlib.Path(f"/proc/{process.pid}/maps").read_text()
            loaded = [
                name
                for name in ("_asyncio", "libcrypto", "libssl")
                if name in libraries
            ]
            self.assertEqual(loaded, ["_asyncio"])
            process.send_signal(signal.SIGTERM)
            output = b"".join([data async for data in process.stdout])
            self.assertEqual(await process.wait(), 0)
        return output


async def first_answer(url: str) -> Answer:
    """Returns the answer to a request, repeated until the port is open."""
    while True:
        try:
            return await fetch(url)
        except httpcore.ConnectError:
            await anyio.sleep(POLL_S)


def environment() -> dict[str, str]:
    """Returns variables by which the packages of the tests are found."""
    packages = sysconfig.get_paths()["purelib"]
    return {**os.environ, "PYTHONPATH": packages}


def run(*arguments: str) -> str:
    """Runs Python; returns its output."""
    done = subprocess.run(
        [sys.executable, *arguments],
        env=environment(),
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode:
        raise AssertionError(done.stderr)
    return done.stdout


if __name__ == "__main__":
    unittest.main()
