"""Stops that come while a program is still starting."""

import itertools
import os
import subprocess
import sys
import unittest

import anyio

from standins.launcher import ROOT
from standins.platformsite import SiteOptions
from tests.platformcase import PlatformCase

STOPPED = """
import os, runpy, signal, sys
from importlib.metadata import entry_points

program = sys.argv[1]
points = [point.split(":") for point in sys.argv[2:]]
sys.argv = [program]

def strike(frame, event, argument):
    here = [frame.f_globals.get("__name__"), frame.f_code.co_qualname]
    if event == "call" and here == points[0][1:]:
        number = signal.Signals[points.pop(0)[0]]
        if not points:
            sys.setprofile(None)
        os.kill(os.getpid(), number)

sys.setprofile(strike)
if program.endswith(".py"):
    runpy.run_path(program, run_name="__main__")
else:
    (entry,) = entry_points(group="console_scripts", name=program)
    sys.exit(entry.load()())
"""
"""Runs a program that gets signals as it enters functions or modules."""

END_S = 60.0
AT_ONCE = 2

LOADING = "<module>"


class StartingTest(PlatformCase):
    """SIGTERM at many points of the start, from the first import on."""

    options = SiteOptions(grace_s=1.0)

    def setUp(self) -> None:
        super().setUp()
        self.running_site = None
        self.numbers = itertools.count(2)
        self.limiter = anyio.CapacityLimiter(AT_ONCE)

    def environment(self) -> dict[str, str]:
        """Returns a program's variables, with addresses of its own."""
        if self.running_site is None:
            return dict(os.environ)
        path = self.running_site.settings(f"edge-{next(self.numbers)}")
        return {**os.environ, "JASMINERELAY_BOOT": str(path)}

    async def stopped(self, program: str, *points: str) -> None:
        """Asserts that a program ends in order.

        Args:
            program: The program.
            *points: Signal, module and function at which it comes, in order.
        """
        async with self.limiter:
            with anyio.fail_after(END_S):
                done = await anyio.run_process(
                    [sys.executable, "-c", STOPPED, program, *points],
                    cwd=ROOT,
                    env=self.environment(),
                    check=False,
                    stderr=subprocess.STDOUT,
                )
        where = f"{program} {points}: {done.stdout.decode()}"
        self.assertEqual(done.returncode, 0, where)
        self.assertIn('"event":"stop"', done.stdout.decode(), where)

    async def stopped_at_each(self, program: str, points) -> None:
        """Stops a program at each of several points."""
        async with anyio.create_task_group() as group:
            for point in points:
                stop = f"SIGTERM:{':'.join(point)}"
                group.start_soon(self.stopped, program, stop)

    async def test_instance_on_the_platform(self) -> None:
        # An operator restarts instances in turn and is told of a failed unit.
        # One was told to stop right after it had been started, before the
        # program listened to signals, and ended by the signal's default
        # action, though it had accepted nothing. The store is silent, so that
        # the later points lie in the first read of it.
        async with self.site() as (site, _):
            self.running_site = site
            site.store.faults.hang = True
            root = "jasminerelay.platform.root"
            await self.stopped_at_each(
                "deploy/instance.py",
                (
                    ("anyio", LOADING),
                    ("uvicorn", LOADING),
                    (root, LOADING),
                    (root, "main"),
                    (root, "Instance.__init__"),
                    (root, "Instance.run"),
                    (root, "Instance._join"),
                    ("jasminerelay.platform.storeclient", "Store.read"),
                    ("jasminerelay.freshness", "Freshness.tick"),
                ),
            )

    async def test_changed_settings(self) -> None:
        # The settings file changes while an instance starts, and the platform
        # says so by a signal whose default action ends the process.
        async with self.site() as (site, _):
            self.running_site = site
            root = "jasminerelay.platform.root"
            for point in ("anyio:<module>", f"{root}:main"):
                await self.stopped(
                    "deploy/instance.py",
                    f"SIGHUP:{point}",
                    f"SIGTERM:{root}:Instance._tick",
                )

    async def test_daemon(self) -> None:
        # The same with the daemon of the own interface.
        daemon = "jasminerelay.daemon"
        await self.stopped_at_each(
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
