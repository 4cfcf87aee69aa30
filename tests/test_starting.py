"""Tests stop signals that arrive while a program is still starting."""

import contextlib
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tomllib
import unittest

import anyio
import httpcore

from jasminerelay.platform import earlyports
from jasminerelay.platform.earlyrequests import MAX_REQUESTS
from standins.launcher import ROOT
from standins.platformsite import API_KEY, HOST, SiteOptions
from tests.platformcase import Answer, PlatformCase, fetch

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

HALTED_PROGRAM = """
import runpy, sys

program, module = sys.argv[1:]
sys.argv = [program]

def halt(frame, event, argument):
    here = frame.f_globals.get("__name__"), frame.f_code.co_qualname
    if event == "call" and here == (module, "<module>"):
        sys.setprofile(None)
        print("halted", flush=True)
        sys.stdin.readline()

sys.setprofile(halt)
runpy.run_path(program, run_name="__main__")
"""
"""Runs a program that halts at the import of a module until it reads a line."""

STOP_TIMEOUT_S = 60.0
MAX_PROGRAMS = 2

LOADING = "<module>"

KEY = {"Authorization": f"Bearer {API_KEY}"}
FEW_CALLERS = 8
BURST_CALLERS = earlyports.BACKLOG + 100
CONNECT_S = 0.3
STARTUP_FAILURE = 3
"""Exit status of an instance that cannot listen on an address."""


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
                    ("uvicorn.server", LOADING),
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


class CallersDuringStartTest(PlatformCase):
    """Callers that hold an instance's addresses while it starts."""

    options = SiteOptions(grace_s=1.0)

    @contextlib.asynccontextmanager
    async def halted(self, path: pathlib.Path, module: str = "anyio"):
        """Runs an instance that halts during its imports; yields its process.

        Args:
            path: Its settings file.
            module: The module whose import does not proceed.
        """
        with anyio.fail_after(STOP_TIMEOUT_S):
            async with await anyio.open_process(
                [
                    *(sys.executable, "-c", HALTED_PROGRAM),
                    *("deploy/instance.py", module),
                ],
                cwd=ROOT,
                env={**os.environ, "JASMINERELAY_BOOT": str(path)},
            ) as process:
                try:
                    await process.stdout.receive()
                    yield process
                finally:
                    with contextlib.suppress(ProcessLookupError):
                        process.kill()

    async def ask_all(
        self, settings: pathlib.Path, count: int, group, path="/x", **fields
    ) -> list:
        """Starts requests to the instance; returns the list of their results.

        A result is an answer or an error of the connection.
        """
        address = addresses_in(settings)[0]
        results: list[Answer | Exception] = []

        async def ask(number: int) -> None:
            sent = {"Host": "h", "Attempt-Id": f"a{number}", **fields}
            url = f"http://{address}{path}"
            try:
                results.append(await fetch(url, "POST", sent))
            except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
                results.append(exc)

        for number in range(count):
            group.start_soon(ask, number)
        await anyio.sleep(CONNECT_S)
        return results

    def assert_refused(self, results: list, count: int) -> None:
        """Asserts that each request got a response that it has not run."""
        self.assertEqual(len(results), count)
        for result in results:
            self.assertIsInstance(result, Answer)
            self.assertEqual((result.status, result.whole), (503, True))
            self.assertIn("retry-after", result.headers)
        attempts = {result.headers["attempt-id"] for result in results}
        self.assertEqual(len(attempts), count)

    async def test_stop_during_the_import_with_callers_waiting(self) -> None:
        # Guards against callers that are cut off without a response by a stop
        # during the start, although their requests have not run.
        async with self.site() as (site, _):
            path = site.settings("edge-2")
            async with (
                self.halted(path) as process,
                anyio.create_task_group() as group,
            ):
                results = await self.ask_all(path, FEW_CALLERS, group)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(await process.wait(), 0)
            self.assert_refused(results, FEW_CALLERS)

    async def test_settings_unreadable(self) -> None:
        # Guards against callers that are cut off without a response at a start
        # that ends because of faulty settings, and against a fault that is no
        # longer reported.
        async with self.site() as (site, _):
            path = site.settings("edge-2")
            text = path.read_text()
            path.write_text(text.replace("nodeName", "otherName"))
            async with (
                self.halted(path) as process,
                anyio.create_task_group() as group,
            ):
                results = await self.ask_all(path, FEW_CALLERS, group)
                await process.stdin.send(b"\n")
                self.assertEqual(await process.wait(), 2)
                fault = await process.stderr.receive()
                self.assertIn(b"JASMINERELAY_BOOT", fault)
            self.assert_refused(results, FEW_CALLERS)

    async def test_address_taken(self) -> None:
        # Guards against a start that no longer reports an address that another
        # program uses, or that continues without it.
        async with self.site() as (site, _):
            path = site.settings("edge-2")
            host, _, port = addresses_in(path)[1].rpartition(":")
            with socket.create_server((host, int(port))):
                async with self.halted(path) as process:
                    await process.stdin.send(b"\n")
                    self.assertEqual(await process.wait(), STARTUP_FAILURE)

    async def test_burst_during_a_restart(self) -> None:
        # Guards against callers that connect during a restart and get no
        # response, with more of them than the backlog holds.
        async with self.site() as (site, _):
            path = site.settings("edge-2")
            async with (
                self.halted(path) as process,
                anyio.create_task_group() as group,
            ):
                results = await self.ask_all(path, BURST_CALLERS, group)
                self.assertEqual(results, [])
                await process.stdin.send(b"\n")
                await self.until(lambda: len(results) == BURST_CALLERS)
                process.terminate()
                self.assertEqual(await process.wait(), 0)
            for result in results:
                self.assertIsInstance(result, Answer)
                self.assertIn(result.status, (404, 503))
            self.assertGreater(len(results), earlyports.BACKLOG)

    async def test_callers_that_left_during_the_start(self) -> None:
        # Guards against a refused caller because requests whose callers have
        # left take the places of those that wait for the configuration, and
        # against such requests being run.
        async with self.site() as (site, _):
            path = site.settings("edge-2")
            host, _, port = addresses_in(path)[0].rpartition(":")
            async with (
                self.halted(path) as process,
                anyio.create_task_group() as group,
            ):
                for number in range(MAX_REQUESTS + 10):
                    with socket.create_connection((host, int(port))) as conn:
                        conn.sendall(request_bytes(f"left{number}"))
                results = await self.ask_all(
                    path, 1, group, path="/confirm/x", Host=HOST, **KEY
                )
                await process.stdin.send(b"\n")
                await self.until(lambda: len(results) == 1)
                process.terminate()
                self.assertEqual(await process.wait(), 0)
            self.assertEqual(results[0].status, 200)
            journals = [server.journal for server in site.servers.values()]
            self.assertEqual([len(item) for item in journals if item], [1])

    async def test_time_in_the_backlog_counts(self) -> None:
        # Guards against requests that a server is given more time for than
        # their callers wait.
        async with self.site() as (site, _):
            path = site.settings("edge-2")
            async with (
                self.halted(path) as process,
                anyio.create_task_group() as group,
            ):
                fields = {"Host": HOST, "Deadline-Ms": "2500", **KEY}
                results = await self.ask_all(
                    path, 1, group, path="/confirm/x", **fields
                )
                await process.stdin.send(b"\n")
                await self.until(lambda: len(results) == 1)
                process.terminate()
                self.assertEqual(await process.wait(), 0)
            self.assertEqual(results[0].status, 200)
            (ran,) = itertools.chain.from_iterable(
                server.journal for server in site.servers.values()
            )
            left_ms = int(ran.headers["deadline-ms"])
            self.assertLessEqual(left_ms, 2500 - CONNECT_S * 1e3)


def request_bytes(attempt: str) -> bytes:
    """Returns a request that may run once, as a caller writes it."""
    return (
        f"POST /confirm/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
        f"Authorization: {KEY['Authorization']}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def addresses_in(path: pathlib.Path) -> list[str]:
    """Returns the addresses for callers, readiness and address resolution."""
    listen = tomllib.loads(path.read_text())["listenAddrs"]
    return [listen[name] for name in ("front", "readiness", "registry")]


if __name__ == "__main__":
    unittest.main()
