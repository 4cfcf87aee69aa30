"""Demo of the platform's interface, with a small site and two instances.

Sends a request to each route, then a stream whose first run is broken off after
its head, streams that their callers take up at the other instance once servers
of another software version have come, a stream whose server sends nothing for
a while and that no other server takes, a stream whose server is drained before
its end, and requests to an instance that is cut off from all servers. Prints
the results and one instance's log of the drained stream.
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
from standins.platformserver import Break, ServerFaults, versions_in
from standins.platformsite import (
    API_KEY,
    HOST,
    MODEL_BACKEND,
    PlatformSite,
    SiteOptions,
)
from standins.servernetwork import Cut

INSTANCES = 2
CUT_S = 1.5
CUT_REQUESTS = 8
WAIT_S = 30.0
POLL_S = 0.05
EVENTS = 150
BROKEN_EVENTS = 12
TAKEN_UP = 16
TAKEN_UP_EVENTS = 40
VERSIONS_KNOWN_S = 0.5
EVENTS_BEFORE = 8
SILENT_S = 1.6
"""Longer than the time after which another server is sought."""
_TAKEN_UP_FIELDS = {"Token-Usage": f"300,{TAKEN_UP_EVENTS}"}
SAMPLES = (
    ("confirm", "POST", "/confirm/slot", {}),
    ("lookup", "GET", "/lookup/slot", {}),
    ("chat", "POST", "/chat/1/stream", {"Token-Usage": "300,12"}),
    ("sheet", "POST", "/sheet/1/stream", {"Token-Usage": "6000,40"}),
)


async def main() -> int:
    """Runs the demo; returns the exit status."""
    # The stand-ins are cancelled while they wait; uvicorn would log a
    # traceback for each.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL + 1)
    with tempfile.TemporaryDirectory(prefix="jasminerelay-") as folder:
        options = SiteOptions(engines=3, routes={"chat": {"timeoutMs": 12_000}})
        site = PlatformSite(options, pathlib.Path(folder))
        async with site.running():
            paths = [site.settings(f"edge-{n + 1}") for n in range(INSTANCES)]
            instances = _start(paths)
            try:
                good = await _run_requests(site, paths)
            finally:
                good = await anyio.to_thread.run_sync(_stop, instances) and good
            _print_log(paths[0].with_suffix(".log"), "demo-leaving")
    return 0 if good else 1


async def _run_requests(site: PlatformSite, paths: list[pathlib.Path]) -> bool:
    listen = [tomllib.loads(p.read_text())["listenAddrs"] for p in paths]
    for item in listen:
        await _wait_until_ready(item["readiness"])
    print(f"{INSTANCES} instances are ready")
    entries = f"http://{listen[0]['registry']}/-/resolve?name={HOST}"
    async with httpcore.AsyncConnectionPool() as pool:
        count = await _wait_until_all_listed(pool, entries)
        print(f"the registry lists {count} addresses")
        good = True
        for name, method, path, fields in SAMPLES:
            reply = await _send_request(
                pool, listen[0]["front"], method, path, fields
            )
            size = reply.content.count(b"\n\n") or 1
            print(f"{name:8} {reply.status} {size} event(s)")
            good = good and reply.status == 200
        continued = await _count_broken_stream(site, pool, listen[0]["front"])
        print(
            "stream without length and chunks, broken off after its head:"
            f" {continued} of {BROKEN_EVENTS} events"
        )
        good = good and continued == BROKEN_EVENTS
        kept = await _count_silent_stream(site, pool, listen[0]["front"])
        print(
            f"stream whose server sent nothing for {SILENT_S} s, while no other"
            f" one took it: {kept} of {EVENTS} events"
        )
        good = good and kept == EVENTS
        whole = await _count_drained_stream(site, pool, listen[0]["front"])
        mixed, went_on = await _take_streams_up(
            site, pool, [item["front"] for item in listen]
        )
        print(
            f"streams taken up at the other instance: {went_on} of {TAKEN_UP}"
            f" went on, {mixed} with events of two software versions"
        )
        good = good and went_on == TAKEN_UP and not mixed
        served = await _count_served_by_cut_instance(
            paths[1], pool, listen[1]["front"]
        )
    print(f"stream whose server was drained: {whole} of {EVENTS} events")
    print(
        "at an instance cut off from all servers:"
        f" {served} of {CUT_REQUESTS} requests served"
    )
    return good and whole == EVENTS and served == CUT_REQUESTS


async def _wait_until_all_listed(pool, entries: str) -> int:
    with anyio.fail_after(WAIT_S):
        while True:
            found = json.loads((await pool.request("GET", entries)).content)
            if len(found["addresses"]) == INSTANCES:
                return INSTANCES
            await anyio.sleep(POLL_S)


async def _count_broken_stream(site, pool, front: str) -> int:
    usual = {name: server.faults for name, server in site.servers.items()}
    broken = ServerFaults(
        by_connection=True, breaks=1, break_as=Break.AFTER_HEAD
    )
    for server in site.servers.values():
        server.faults = broken
    fields = {"Token-Usage": f"300,{BROKEN_EVENTS}", "Attempt-Id": "demo-cut"}
    reply = await _send_request(pool, front, "POST", "/chat/2/stream", fields)
    for name, faults in usual.items():
        site.servers[name].faults = faults
    return reply.content.count(b"\n\n")


async def _count_silent_stream(site, pool, front: str) -> int:
    replies = []

    async def send_stream() -> None:
        fields = {
            "Token-Usage": f"300,{EVENTS}",
            "Length-Hint": str(EVENTS),
            "Attempt-Id": "demo-silent",
            "Deadline-Ms": "12000",
        }
        replies.append(
            await _send_request(pool, front, "POST", "/chat/3/stream", fields)
        )

    usual = {name: server.faults for name, server in site.servers.items()}
    async with anyio.create_task_group() as group:
        group.start_soon(send_stream)
        while not any(server.running for server in site.servers.values()):
            await anyio.sleep(POLL_S)
        for server in site.servers.values():
            silent = server.running > 0
            server.faults = ServerFaults(silent=silent, refuse=100)
        await anyio.sleep(SILENT_S)
        for name, faults in usual.items():
            site.servers[name].faults = faults
    return replies[0].content.count(b"\n\n")


async def _count_served_by_cut_instance(
    path: pathlib.Path, pool, front: str
) -> int:
    cut_file = path.with_suffix(".cut")
    cut_file.write_text(Cut.HANG.name)
    await anyio.sleep(CUT_S)
    served = 0
    for number in range(CUT_REQUESTS):
        fields = {"Attempt-Id": f"cut{number}", "Deadline-Ms": "3000"}
        reply = await _send_request(
            pool, front, "POST", "/confirm/slot", fields
        )
        served += reply.status == 200
    cut_file.unlink()
    return served


async def _take_streams_up(
    site: PlatformSite, pool, fronts: list[str]
) -> tuple[int, int]:
    """Lets callers of the first instance go on at the second.

    Returns:
        The streams with events of two versions, and those that went on.
    """
    parts = {}
    for number in range(TAKEN_UP):
        parts[number] = await _read_some_events(
            fronts[0],
            f"/chat/{number}/stream",
            {**_TAKEN_UP_FIELDS, "Attempt-Id": f"begun-{number}"},
        )
    for number in range(2):
        await site.add_server(f"another-{number}", MODEL_BACKEND, "v2")
    await anyio.sleep(VERSIONS_KNOWN_S)
    whole = dict(parts)

    async def take_up(number: int) -> None:
        fields = {
            **_TAKEN_UP_FIELDS,
            "Attempt-Id": f"taken-up-{number}",
            "Resumes": f"begun-{number}",
            "Last-Event-Id": str(parts[number].count(b"\n\n")),
        }
        reply = await _send_request(
            pool, fronts[1], "POST", f"/chat/{number}/stream", fields
        )
        whole[number] += reply.content

    async with anyio.create_task_group() as group:
        for number in parts:
            group.start_soon(take_up, number)
    mixed = sum(len(versions_in(body)) > 1 for body in whole.values())
    went_on = sum(
        body.count(b"\n\n") == TAKEN_UP_EVENTS for body in whole.values()
    )
    return mixed, went_on


async def _read_some_events(front: str, path: str, fields: dict) -> bytes:
    """Reads a few events of a stream, then closes the connection."""
    received = b""
    headers = {**_headers(path), **fields}
    async with (
        httpcore.AsyncConnectionPool() as pool,
        pool.stream(
            "POST", f"http://{front}{path}", headers=list(headers.items())
        ) as reply,
    ):
        async for part in reply.aiter_stream():
            received += part
            if received.count(b"\n\n") >= EVENTS_BEFORE:
                break
    return b"".join(received.rpartition(b"\n\n")[:2])


async def _count_drained_stream(site, pool, front: str) -> int:
    replies = []

    async def send_stream() -> None:
        fields = {
            "Token-Usage": f"6000,{EVENTS}",
            "Length-Hint": str(EVENTS),
            "Attempt-Id": "demo-leaving",
        }
        replies.append(
            await _send_request(pool, front, "POST", "/sheet/2/stream", fields)
        )

    async with anyio.create_task_group() as group:
        group.start_soon(send_stream)
        await anyio.sleep(0.3)
        for name, server in site.servers.items():
            if server.running:
                site.write_server_row(name, MODEL_BACKEND, "draining")
    return replies[0].content.count(b"\n\n")


async def _send_request(pool, front: str, method: str, path: str, fields: dict):
    headers = {**_headers(path), **fields}
    return await pool.request(
        method, f"http://{front}{path}", headers=list(headers.items())
    )


def _headers(path: str) -> dict[str, str]:
    return {
        "Host": HOST,
        "Attempt-Id": f"demo{path}",
        "Authorization": f"Bearer {API_KEY}",
        "Content-Length": "0",
    }


async def _wait_until_ready(address: str) -> None:
    url = f"http://{address}/-/readyz"
    with anyio.fail_after(WAIT_S):
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                with contextlib.suppress(httpcore.ConnectError):
                    if (await pool.request("GET", url)).status == 200:
                        return
                await anyio.sleep(POLL_S)


def _start(paths: list[pathlib.Path]) -> list[subprocess.Popen]:
    """Starts an instance per settings file, logging to a file beside it.

    The first one is started as deployed, the others behind a network that can
    be cut.
    """
    started = []
    for path in paths:
        program = ["-m", "standins.networkedinstance"]
        if not started:
            program = [str(ROOT / "deploy/instance.py")]
        environ = {**os.environ, "JASMINERELAY_BOOT": str(path)}
        with path.with_suffix(".log").open("wb") as out:
            started.append(
                subprocess.Popen(
                    [sys.executable, *program],
                    cwd=ROOT,
                    env=environ,
                    stdout=out,
                )
            )
    return started


def _stop(instances: list[subprocess.Popen]) -> bool:
    """Stops the instances; returns whether all exited with status 0."""
    for process in instances:
        process.terminate()
    return all(process.wait(WAIT_S) == 0 for process in instances)


def _print_log(path: pathlib.Path, request: str) -> None:
    events, _ = explain.read(path.read_text().splitlines())
    found = explain.explain(request, events)
    if found is None:
        return
    for event in found.request_events:
        print(event)


if __name__ == "__main__":
    sys.exit(anyio.run(main))
