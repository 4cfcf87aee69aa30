"""Tests stop signals that arrive while a program is still starting."""

import itertools
import os
import subprocess
import sys
import unittest

import anyio

from standins.launcher import ROOT
from standins.platformsite import SiteOptions
from tests.platformcase import PlatformCase

SIGNALLED_PROGRAM = """
import os, runpy, signal, sys
from importlib.metadata import entry_points

program = sys.argv[1]
points = [point.split(":") for point in sys.argv[2:]]
sys.argv = [program]

def send_signals(frame, event, argument):
    here = [frame.f_globals.get("__name__"), frame.f_code.co_qualname]
    if event == "call" and here == points[0][1:]:
        number = signal.Signals[points.pop(0)[0]]
        if not points:
            sys.setprofile(None)
        os.kill(os.getpid(), number)

sys.setprofile(send_signals)
if program.endswith(".py"):
    runpy.run_path(program, run_name="__main__")
else:
    (entry,) = entry_points(group="console_scripts", name=program)
    sys.exit(entry.load()())
"""
"""Runs a program and sends the process signals as the program enters given
modules or functions."""

STOP_TIMEOUT_S = 60.0
MAX_PROGRAMS = 2

LOADING = "<module>"


class StartingTest(PlatformCase):
    """SIGTERM at many points of the start, beginning at the first import."""

    options = SiteOptions(grace_s=1.0)

    def setUp(self) -> None:
        super().setUp()
        self.running_site = None
        self.numbers = itertools.count(2)
        self.limiter = anyio.CapacityLimiter(MAX_PROGRAMS)

    def environment(self) -> dict[str, str]:
        """Returns environment variables with unused addresses for a program."""
        if self.running_site is None:
            return dict(os.environ)
        path = self.running_site.settings(f"edge-{next(self.numbers)}")
        return {**os.environ, "JASMINERELAY_BOOT": str(path)}

    async def assert_stops(self, program: str, *points: str) -> None:
        """Asserts that a program that gets signals stops with status 0.

        Args:
            program: The program.
            *points: Signals in their order, each with the module and function
                at whose entry it is sent.
        """
        async with self.limiter:
            with anyio.fail_after(STOP_TIMEOUT_S):
                done = await anyio.run_process(
                    [sys.executable, "-c", SIGNALLED_PROGRAM, program, *points],
                    cwd=ROOT,
                    env=self.environment(),
                    check=False,
                    stderr=subprocess.STDOUT,
                )
        where = f"{program} {points}: {done.stdout.decode()}"
        self.assertEqual(done.returncode, 0, where)
        self.assertIn('"event":"stop"', done.stdout.decode(), where)

    async def assert_stops_at_each(self, program: str, points) -> None:
        """Asserts that a program stops properly at each of several points."""
        async with anyio.create_task_group() as group:
            for point in points:
                stop = f"SIGTERM:{':'.join(point)}"
                group.start_soon(self.assert_stops, program, stop)

    async def test_instance_on_the_platform(self) -> None:
        # Guards against a rolling restart that reports a failed unit: an
        # instance got SIGTERM right after its start, before the program had
        # installed signal handlers, and was ended by the signal's default
        # action although it had accepted no request. The store does not
        # respond, so the later points lie within the first read from it.
        async with self.site() as (site, _):
            self.running_site = site
            site.store.faults.hang = True
            root = "jasminerelay.platform.root"
            await self.assert_stops_at_each(
                "deploy/instance.py",
                (
                    ("anyio", LOADING),
                    ("uvicorn", LOADING),
                    (root, LOADING),
                    (root, "main"),
                    (root, "Instance.__init__"),
                    (root, "Instance.run"),
                    (root, "Instance._discover_peers"),
                    ("jasminerelay.platform.storeclient", "Store.read"),
                    ("jasminerelay.freshness", "Freshness.tick"),
                ),
            )

    async def test_changed_settings(self) -> None:
        # The settings file changes while an instance starts, and the platform
        # sends SIGHUP, whose default action ends the process.
        async with self.site() as (site, _):
            self.running_site = site
            root = "jasminerelay.platform.root"
            for point in ("anyio:<module>", f"{root}:main"):
                await self.assert_stops(
                    "deploy/instance.py",
                    f"SIGHUP:{point}",
                    f"SIGTERM:{root}:Instance._tick",
                )

    async def test_daemon(self) -> None:
        # The daemon of the native interface gets SIGTERM during its start.
        daemon = "jasminerelay.daemon"
        await self.assert_stops_at_each(
            "jasminerelayd",
            (
                ("anyio", LOADING),
                ("grpc", LOADING),
                (daemon, LOADING),
                (daemon, "main"),
            ),
        )


if __name__ == "__main__":
    unittest.main()
