"""Shows the platform's interface: a small site and two instances as processes.

Sends a request of each kind, then a stream whose server leaves in mid-way, and
prints what came back and what one instance logged of it.
"""

import contextlib
import json
import logging
import os
import pathlib
import subprocess
import sys
import tempfile
import tomllib

import anyio
import httpcore

from jasminerelay import explain
from standins.launcher import ROOT
from standins.platformsite import HOST, KEY, MODEL, PlatformSite, SiteOptions

INSTANCES = 2
WAIT_S = 30.0
POLL_S = 0.05
EVENTS = 150
SAMPLES = (
    ("confirm", "POST", "/confirm/slot", {}),
    ("lookup", "GET", "/lookup/slot", {}),
    ("chat", "POST", "/chat/1/stream", {"Token-Usage": "300,12"}),
    ("sheet", "POST", "/sheet/1/stream", {"Token-Usage": "6000,40"}),
)


async def main() -> int:
    """Runs the demo; returns the exit status."""
    # The stand-ins are ended in the middle of waits, which the server would
    # report at length.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL + 1)
    with tempfile.TemporaryDirectory(prefix="jasminerelay-") as folder:
        site = PlatformSite(SiteOptions(engines=3), pathlib.Path(folder))
        async with site.running():
            paths = [site.settings(f"edge-{n + 1}") for n in range(INSTANCES)]
            instances = _start(paths)
            try:
                good = await _show(site, paths)
            finally:
                good = await anyio.to_thread.run_sync(_stop, instances) and good
            _print_log(paths[0].with_suffix(".log"), "demo-leaving")
    return 0 if good else 1


async def _show(site: PlatformSite, paths: list[pathlib.Path]) -> bool:
    listen = [tomllib.loads(p.read_text())["listenAddrs"] for p in paths]
    for item in listen:
        await _until_ready(item["readiness"])
    print(f"{INSTANCES} instances are ready")
    entries = f"http://{listen[0]['registry']}/-/resolve?name={HOST}"
    async with httpcore.AsyncConnectionPool() as pool:
        count = await _until_all_listed(pool, entries)
        print(f"callers are told to use {count} addresses")
        good = True
        for name, method, path, fields in SAMPLES:
            reply = await _ask(pool, listen[0]["front"], method, path, fields)
            size = reply.content.count(b"\n\n") or 1
            print(f"{name:8} {reply.status} {size} event(s)")
            good = good and reply.status == 200
        whole = await _leave_midway(site, pool, listen[0]["front"])
    print(f"a stream whose server left: {whole} of {EVENTS} events")
    return good and whole == EVENTS


async def _until_all_listed(pool, entries: str) -> int:
    with anyio.fail_after(WAIT_S):
        while True:
            found = json.loads((await pool.request("GET", entries)).content)
            if len(found["addresses"]) == INSTANCES:
                return INSTANCES
            await anyio.sleep(POLL_S)


async def _leave_midway(site, pool, front: str) -> int:
    replies = []

    async def ask() -> None:
        fields = {
            "Token-Usage": f"6000,{EVENTS}",
            "Length-Hint": str(EVENTS),
            "Attempt-Id": "demo-leaving",
        }
        replies.append(
            await _ask(pool, front, "POST", "/sheet/2/stream", fields)
        )

    async with anyio.create_task_group() as group:
        group.start_soon(ask)
        await anyio.sleep(0.3)
        for name, server in site.servers.items():
            if server.running:
                site.register(name, MODEL, "draining")
    return replies[0].content.count(b"\n\n")


async def _ask(pool, front: str, method: str, path: str, fields: dict):
    headers = {
        "Host": HOST,
        "Attempt-Id": f"demo{path}",
        "Authorization": f"Bearer {KEY}",
        "Content-Length": "0",
        **fields,
    }
    return await pool.request(
        method, f"http://{front}{path}", headers=list(headers.items())
    )


async def _until_ready(address: str) -> None:
    url = f"http://{address}/-/readyz"
    with anyio.fail_after(WAIT_S):
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                with contextlib.suppress(httpcore.ConnectError):
                    if (await pool.request("GET", url)).status == 200:
                        return
                await anyio.sleep(POLL_S)


def _start(paths: list[pathlib.Path]) -> list[subprocess.Popen]:
    """Starts an instance for each settings file, with its log beside it."""
    started = []
    for path in paths:
        environ = {**os.environ, "JASMINERELAY_BOOT": str(path)}
        with path.with_suffix(".log").open("wb") as out:
            started.append(
                subprocess.Popen(
                    [sys.executable, str(ROOT / "deploy/instance.py")],
                    env=environ,
                    stdout=out,
                )
            )
    return started


def _stop(instances: list[subprocess.Popen]) -> bool:
    """Stops the instances; returns whether all ended in order."""
    for process in instances:
        process.terminate()
    return all(process.wait(WAIT_S) == 0 for process in instances)


def _print_log(path: pathlib.Path, request: str) -> None:
    events, _ = explain.read(path.read_text().splitlines())
    found = explain.explain(request, events)
    if found is None:
        return
    for event in found.own:
        print(event)


if __name__ == "__main__":
    sys.exit(anyio.run(main))
