"""Measures the start of an instance on the platform.

Usage: python -m bench.starting [--runs N] [--trees FOLDER ...]

Starts deploy/instance.py as the platform does, with compiled bytecode and a new
bundle of compiled code, against the stand-in site, and sends it a request as
soon as its port accepts connections. With several checkouts, their runs take
turns, so that they meet the same load of the machine. Prints the median and the
range over the runs of:

- the CPU time of the process from exec to its first response with status 200,
  and the time that has passed;
- the time until the callers' port accepts connections;
- the peak of its memory;
- the CPU time of an interpreter that only imports the program.
"""

import argparse
import contextlib
import logging
import os
import pathlib
import statistics
import subprocess
import sys
import sysconfig
import tempfile
import time
import tomllib

import anyio
import tabulate

from standins.launcher import ROOT
from standins.platformsite import API_KEY, HOST, PlatformSite, SiteOptions
from tests.platformcase import fetch

CONNECT_PAUSE_S = 0.002
RETRY_PAUSE_S = 0.02
TIMEOUT_S = 30.0
IMPORT_PROGRAM = """
import time
import jasminerelay.platform.root
print(time.process_time())
"""
FIELDS = {"Host": HOST, "Authorization": f"Bearer {API_KEY}"}


def environment(tree: pathlib.Path, folder: str) -> dict[str, str]:
    """Returns the variables of a process.

    Args:
        tree: The checkout whose packages it finds.
        folder: Where it keeps bytecode.
    """
    packages = sysconfig.get_paths()["purelib"]
    variables = {
        **os.environ,
        "PYTHONPATH": f"{tree / 'src'}:{packages}",
        "PYTHONPYCACHEPREFIX": folder,
    }
    variables.pop("PYTHONDONTWRITEBYTECODE", None)
    return variables


def build_bundle(tree: pathlib.Path, variables: dict[str, str]) -> None:
    """Writes a checkout's bundle of compiled code, if it has one."""
    program = tree / "deploy/bundle.py"
    if program.exists():
        subprocess.run(
            [sys.executable, "-S", str(program)], env=variables, check=True
        )


def cpu_s(pid: int) -> float:
    """Returns the CPU time that all threads of a process have used."""
    total_ns = 0
    for path in pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total_ns += int(path.read_text().split()[0])
    return total_ns / 1e9


def peak_mb(pid: int) -> float:
    """Returns the peak of a process's resident memory."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def connected(address: str) -> None:
    """Waits until a port accepts connections."""
    host, _, port = address.rpartition(":")
    while True:
        with contextlib.suppress(OSError):
            async with await anyio.connect_tcp(host, int(port)):
                return
        await anyio.sleep(CONNECT_PAUSE_S)


async def served(address: str) -> None:
    """Waits until a request gets a response with status 200."""
    while True:
        with contextlib.suppress(Exception):
            answer = await fetch(
                f"http://{address}/lookup/x", fields={**FIELDS}
            )
            if answer.status == 200:
                return
        await anyio.sleep(RETRY_PAUSE_S)


async def measure_start(
    tree: pathlib.Path, path: pathlib.Path, variables: dict[str, str]
) -> list[float]:
    """Starts one instance; returns its figures in the order of the table."""
    address = tomllib.loads(path.read_text())["listenAddrs"]["front"]
    started = time.monotonic()
    process = await anyio.open_process(
        [sys.executable, "-S", str(tree / "deploy/instance.py")],
        cwd=tree,
        env={**variables, "JASMINERELAY_BOOT": str(path)},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        with anyio.fail_after(TIMEOUT_S):
            await connected(address)
            open_s = time.monotonic() - started
            await served(address)
            served_s = time.monotonic() - started
            return [
                cpu_s(process.pid) * 1e3,
                served_s * 1e3,
                open_s * 1e3,
                peak_mb(process.pid),
            ]
    finally:
        process.kill()
        await process.wait()


def measure_import(variables: dict[str, str]) -> float:
    """Returns the milliseconds of CPU time of the imports."""
    done = subprocess.run(
        [sys.executable, "-S", "-c", IMPORT_PROGRAM],
        env=variables,
        capture_output=True,
        text=True,
        check=True,
    )
    return float(done.stdout) * 1e3


async def measure(trees: list[pathlib.Path], runs: int) -> list[list]:
    """Returns the figures of the runs of each checkout.

    A run of each before them, which writes the bytecode, is not counted.
    """
    rows: list[list] = [[] for _ in trees]
    with tempfile.TemporaryDirectory(prefix="jasminerelay-") as folder:
        for tree in trees:
            build_bundle(tree, environment(tree, f"{folder}/bytecode"))
        site = PlatformSite(SiteOptions(), pathlib.Path(folder))
        async with site.running():
            for number in range(runs + 1):
                for index, tree in enumerate(trees):
                    variables = environment(tree, f"{folder}/bytecode")
                    path = site.settings(f"edge-{number}-{index}")
                    figures = await measure_start(tree, path, variables)
                    rows[index].append([*figures, measure_import(variables)])
    return [item[1:] for item in rows]


def main() -> None:
    """Prints a table of figures for each checkout."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--trees", type=pathlib.Path, nargs="+", default=[ROOT])
    options = parser.parse_args()
    # Uvicorn logs the stand-ins' responses that end with an instance.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL + 1)
    trees = [tree.resolve() for tree in options.trees]
    names = (
        "CPU ms to the first response",
        "ms to the first response",
        "ms to the open port",
        "peak MB",
        "CPU ms of the imports",
    )
    for tree, rows in zip(
        trees, anyio.run(measure, trees, options.runs), strict=True
    ):
        table = [
            [name, statistics.median(column), min(column), max(column)]
            for name, column in zip(names, zip(*rows, strict=True), strict=True)
        ]
        headers = [str(tree), "median", "least", "most"]
        print(tabulate.tabulate(table, headers, "github", floatfmt=".1f"))


if __name__ == "__main__":
    main()
