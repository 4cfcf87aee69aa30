"""Stand-ins of the store, the servers and the platform, as the pages say.

Standard library only. Instances are started with the command of the deploy
file, as separate processes on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs

import http11

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
KEY = "key-of-elm"
HEARTBEAT_S = 1.2
DRAIN_S = 3.0
CONTACT_S = 4.0
"""Bounds `drainMs` and `contactMs` of the sites of `demands`; the other bounds
are those of these sites, too, with the retry allowance of a small site."""
RESTART_S = 1.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not run."""


class Record:
    """The record.txt of a case."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._began = time.monotonic()

    def __call__(self, what, **fields):
        """Writes a line."""
        at = time.monotonic() - self._began
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{at:9.3f} {what} {text}\n")
        self._file.flush()


class Store:
    """The platform's store: rows in tables, transactions and a feed."""

    def __init__(self, record):
        self._record = record
        self._rows = {}
        self._history = []
        self._version = 0
        self._changed = asyncio.Event()
        self._listener = http11.Listener(self._serve)
        self.calls = 0

    async def start(self, address):
        """Listens."""
        host, _, port = address.rpartition(":")
        await self._listener.start(host, int(port))

    def stop(self):
        """Ends it."""
        self._listener.stop()

    def put(self, table, key, data):
        """Writes a row, as the operator, a server or another writer does.

        Returns when the store acknowledged it.
        """
        self._version += 1
        self._set(table, "", key, data)
        return time.monotonic()

    def get(self, table, key):
        """Returns the data of a row; None if there is none."""
        row = self._rows.get((table, "", key))
        return base64.b64decode(row["data"]) if row else None

    def delete(self, table, key):
        """Removes a row."""
        if (table, "", key) in self._rows:
            self._version += 1
            self._drop(table, "", key)

    def _set(self, table, part, key, data):
        row = {
            "table": table,
            "part": part,
            "key": key,
            "data": base64.b64encode(data).decode(),
            "schemaVersion": self._version,
        }
        self._rows[(table, part, key)] = row
        self._note(row)

    def _drop(self, table, part, key):
        if self._rows.pop((table, part, key), None) is not None:
            self._note(
                {
                    "table": table,
                    "part": part,
                    "key": key,
                    "schemaVersion": self._version,
                    "deleted": True,
                }
            )

    def _note(self, row):
        self._history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        while True:
            request = await http11.read_request(reader)
            if request is None:
                return
            self.calls += 1
            query = {
                k: v[0]
                for k, v in parse_qs(request.target.partition("?")[2]).items()
            }
            status, value = await self._answer(request, query)
            value["schemaVersion"] = self._version
            value["nowMs"] = int(time.monotonic() * 1000)
            await asyncio.sleep(0.004)
            writer.write(
                http11.encode_answer(
                    status,
                    [("Content-Type", "application/json")],
                    json.dumps(value).encode(),
                )
            )
            await writer.drain()

    async def _answer(self, request, query):
        if request.path == "/-/rows-tx":
            return self._transact(json.loads(request.body))
        if request.path == "/-/rows-get":
            return 200, self._read(query)
        if request.path == "/-/rows-feed":
            return 200, await self._feed(query)
        return 404, {}

    def _transact(self, body):
        expect = body.get("expect", [])
        found = [self._rows.get(_row_id(item)) for item in expect]
        if any(
            (row["schemaVersion"] if row else 0) != item["schemaVersion"]
            for row, item in zip(found, expect, strict=True)
        ):
            return 412, {"rows": [row for row in found if row]}
        self._version += 1
        for item in body.get("write", []):
            data = base64.b64decode(item["data"])
            self._set(*_row_id(item), data)
        for item in body.get("remove", []):
            self._drop(*_row_id(item))
        return 200, {}

    def _read(self, query):
        rows = sorted(
            (
                row
                for (table, part, key), row in self._rows.items()
                if table == query["table"]
                and part == query.get("part", "")
                and key >= query.get("source", "")
                and ("to" not in query or key < query["to"])
            ),
            key=lambda row: row["key"].encode(),
        )
        limit = min(500, int(query.get("limit", 500)))
        return {"rows": rows[:limit], "hasMore": len(rows) > limit}

    async def _feed(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            newest = {}
            for row in self._history:
                if (
                    row["table"] == query["table"]
                    and row["schemaVersion"] > after
                ):
                    newest.pop(row["key"], None)
                    newest[row["key"]] = row
            left = deadline - time.monotonic()
            if newest or left <= 0:
                return {"rows": list(newest.values())}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


def _row_id(item):
    return item["table"], item.get("part", ""), item["key"]


class Server:
    """A server of a plain service, from its start to its end."""

    def __init__(self, store, record, name, service, address, **options):
        self.name = name
        self.service = service
        self.address = address
        self.born = int(time.time() * 1000)
        self.work_s = options.get("work_s", 0.09)
        self.slots = options.get("slots", 6)
        self.zone = options.get("zone", "north")
        self.phase = "ready"
        self.ended = False
        self.drain_acked_at = float("inf")
        self.arrivals = []
        self.runs = []
        self._store = store
        self._record = record
        self._running = 0
        self._listener = http11.Listener(self._serve)
        self._beat = None

    async def start(self):
        """Listens and registers itself."""
        host, _, port = self.address.rpartition(":")
        await self._listener.start(host, int(port))
        self._write_entry()
        self._beat = asyncio.ensure_future(self._heartbeats())

    def entry(self):
        """Returns its entry in the store."""
        return {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slotCount": self.slots,
            "phase": self.phase,
            "coldRemainingMs": 0,
            "callSeq": 0,
            "born": self.born,
        }

    def _write_entry(self):
        """Writes the entry if that changes it; returns when it was acked."""
        data = json.dumps(self.entry()).encode()
        if self._store.get("servers", self.name) != data:
            self._record("entry", server=self.name, data=data.decode())
            return self._store.put("servers", self.name, data)
        return time.monotonic()

    async def _heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._write_entry()

    async def drain(self, linger_s):
        """Announces the shutdown, goes on for a while, and ends."""
        self.phase = "draining"
        self.drain_acked_at = self._write_entry()
        self._record("drain_acked", server=self.name)
        await asyncio.sleep(DRAIN_S + linger_s)
        self.end()

    def end(self):
        """Ends it, and removes its entry."""
        self.ended = True
        self._record("server_ended", server=self.name, running=self._running)
        self._beat.cancel()
        self._listener.stop()
        self._store.delete("servers", self.name)

    async def _serve(self, reader, writer):
        while True:
            request = await http11.read_request(reader)
            if request is None:
                return
            attempt = request.headers.get("attempt-id", "")
            if request.path == "/healthz":
                status = 200 if self.phase == "ready" else 503
                writer.write(
                    http11.encode_answer(
                        status, [("Instance-Id", self.name)], b""
                    )
                )
                continue
            expected = request.headers.get("expect-instance", self.name)
            if expected != self.name:
                self._answer(writer, 421, attempt, [("Not-Executed", "1")])
                continue
            self.arrivals.append((time.monotonic(), attempt))
            self._record("arrived", server=self.name, attempt=attempt)
            if self._running >= 4 * self.slots:
                self._answer(writer, 503, attempt, [("Not-Executed", "1")])
                continue
            self._running += 1
            try:
                self.runs.append((attempt, request))
                await asyncio.sleep(self.work_s)
            finally:
                self._running -= 1
            if self.ended:
                return
            signature = ("Server-Signature", f"{self.name}.{attempt}")
            self._answer(
                writer, 200, attempt, [signature], f"done {attempt}".encode()
            )
            await writer.drain()
            if self.phase == "draining":
                return

    def _answer(self, writer, status, attempt, fields, body=b""):
        load = f"{self._running},0,{self.slots}"
        fields = [("Attempt-Id", attempt), ("Instance-Load", load), *fields]
        if self.phase == "draining":
            fields.append(("Connection", "close"))
        writer.write(http11.encode_answer(status, fields, body))


class ModelServer(Server):
    """A model server, as far as requests larger than its memory need it.

    It rejects such a request as if it were full, after the time that a new
    channel and the way there and back take.
    """

    memory_tokens = 600_000
    event_s = 0.02

    async def _serve(self, reader, writer):
        while True:
            request = await http11.read_request(reader)
            if request is None:
                return
            attempt = request.headers.get("attempt-id", "")
            if request.path.startswith("/-/"):
                writer.write(http11.encode_answer(404, [], b"{}"))
                continue
            expected = request.headers.get("expect-instance", self.name)
            if expected != self.name:
                self._answer(writer, 421, attempt, [("Not-Executed", "1")])
                continue
            usage = request.headers["token-usage"]
            tokens, output = (int(item) for item in usage.split(","))
            self._record(
                "arrived", server=self.name, attempt=attempt, usage=usage
            )
            if tokens + output > self.memory_tokens:
                await asyncio.sleep(0.004)
                self._answer(writer, 503, attempt, [("Not-Executed", "1")])
                continue
            self.runs.append((attempt, request))
            await self._stream(writer, attempt, output)

    async def _stream(self, writer, attempt, count):
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"Attempt-Id: {attempt}",
            f"Server-Signature: {self.name}.{attempt}",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(1, count + 1):
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Ports:
    """Hands out free loopback ports."""

    def __init__(self):
        self._taken = set()

    def free(self, host="127.0.0.1"):
        """Returns an address that nothing uses."""
        while True:
            with socket.socket() as sock:
                sock.bind((host, 0))
                port = sock.getsockname()[1]
            if port not in self._taken:
                self._taken.add(port)
                return f"{host}:{port}"


class Instance:
    """One instance, a process started as the deploy file says."""

    def __init__(self, site, index):
        self.index = index
        self.name = f"edge-north-{index}"
        self.ip = f"127.0.{site.subnet}.{10 + index}"
        self._site = site
        self.front = f"{self.ip}:{site.front_port}"
        self.readiness = f"{self.ip}:{site.ready_port}"
        self.registry = f"{self.ip}:{site.registry_port}"
        self.settings = site.folder / f"{self.name}.toml"
        self.process = None

    def write_settings(self, store_address, bootstrap=True):
        """Writes its settings file."""
        site = self._site
        seeds = json.dumps(
            [f"127.0.{site.subnet}.{11 + n}:{site.control_port}"
             for n in range(min(3, site.count))]
        )  # fmt: skip
        bounds = {
            "contactMs": 4000, "ackMs": 6000, "drainMs": 3000, "graceS": 8,
            "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250,
            "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryAllowance": 52,
            "fencingRequired": "true", "leaseMs": 3000, "thawMs": 300,
            "windowS": 5, "usageTolerance": 0.05, "usageLateS": 10,
            "recoveryS": 15, "ttl_max_s": 5, **site.bounds,
        }  # fmt: skip
        lines = [
            f'nodeName = "{self.name}"',
            'nodeRole = "relay"',
            'machineClass = "edge"',
            'serves = ["edge","registry"]',
            f'ip = "{self.ip}"',
            'zone = "north"',
            'region = "r"',
            f"internalPortRange = [{site.peer_port},{site.peer_port}]",
            f"seedNodes = {seeds}",
            f"bootstrap = {str(bootstrap).lower()}",
            f"heartbeatMs = {int(HEARTBEAT_S * 1000)}",
            "[zones]",
            'north = "r"',
            "[listenAddrs]",
            f'front = "{self.front}"',
            f'readiness = "{self.readiness}"',
            f'registry = "{self.registry}"',
            "[limits]",
            "memoryMb = 300",
            "maxFds = 4100",
            "[bounds]",
            *(f"{name} = {value}" for name, value in bounds.items()),
            "[platform]",
            f'address = "{store_address}"',
            'form = "table"',
            "writesPerS = 400",
            "readsPerS = 2000",
            *site.more_settings(self),
        ]
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self):
        """Starts the process."""
        role = _role()
        environ = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environ["JASMINERELAY_BOOT"] = str(self.settings)
        environ["JASMINERELAY_METRICS_PORT"] = str(self._site.metrics_port)
        with self.settings.with_suffix(".log").open("ab") as out:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environ,
                stdout=out,
                stderr=out,
            )

    async def keep_running(self, ended):
        """Starts the process again after a short delay whenever it ends.

        Args:
            ended: Gets the name of the instance and its status at each end.
        """
        while True:
            await asyncio.sleep(0.05)
            status = self.process.poll()
            if status is None:
                continue
            ended.append((self.name, status))
            self._site.record("process_ended", name=self.name, status=status)
            await asyncio.sleep(RESTART_S)
            self.write_settings(self._site.store_address, bootstrap=False)
            self.start()
            self._site.record("process_started", name=self.name)

    def stop(self):
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        """Returns whether its readiness check answers 200."""
        channel = http11.Channel(self.readiness)
        answer = await channel.request("GET", "/-/readyz", [], timeout_s=1.0)
        channel.close()
        return answer.status == 200


def _role():
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return deploy["roles"]["relay"]


class Site:
    """A small deployment in a temporary folder."""

    def __init__(self, record, count=2, **bounds):
        self.record = record
        self.count = count
        self.bounds = bounds
        self.ports = Ports()
        self.subnet = random.randint(1, 250)
        host = f"127.0.{self.subnet}.11"

        def port():
            return int(self.ports.free(host).rpartition(":")[2])

        self.front_port, self.ready_port, self.registry_port = (
            port(), port(), port()
        )  # fmt: skip
        self.peer_port, self.control_port, self.metrics_port = (
            port(), port(), port()
        )  # fmt: skip
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.store = Store(record)
        self.store_address = self.ports.free()
        self.servers = []
        self.instances = [Instance(self, n + 1) for n in range(count)]
        self.version = 0
        self.more_settings = lambda instance: []

    def put_configuration(self, routes, services, **changes):
        """Writes a configuration; returns when it was acked."""
        self.version += 3
        value = {
            "version": self.version,
            "routes": routes,
            "backends": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "elm", "apiKeys": [KEY], "priorityClass": 1}],
            **changes,
        }
        return self.store.put("op", "config", json.dumps(value).encode())

    async def start_store(self):
        """Starts the store."""
        await self.store.start(self.store_address)

    async def add_server(self, name, service, kind=Server, **options):
        """Starts a server."""
        server = kind(
            self.store, self.record, name, service, self.ports.free(), **options
        )
        self.servers.append(server)
        await server.start()
        return server

    async def start_instances(self, store_address=None):
        """Starts the instances and waits until they are ready."""
        for instance in self.instances:
            instance.write_settings(store_address or self.store_address)
            instance.start()
        limit = time.monotonic() + 20.0
        for instance in self.instances:
            while not await instance.is_ready():
                if time.monotonic() > limit:
                    raise CannotRunError(f"{instance.name} is not ready")
                await asyncio.sleep(0.05)
        self.record("ready", instances=self.count)

    async def resolve(self, instance):
        """Returns the front addresses that an instance's registry names."""
        channel = http11.Channel(instance.registry)
        answer = await channel.request(
            "GET", f"/-/resolve?name={HOST}&region=r&zone=north", []
        )
        channel.close()
        return json.loads(answer.body)["addresses"]

    def close(self):
        """Ends everything that was started."""
        for instance in self.instances:
            instance.stop()
        for server in self.servers:
            if not server.ended:
                server.end()
        self.store.stop()
        self._temporary.cleanup()


def plain_route(name, prefix, service, kind="non_idempotent", **fields):
    """Returns a route of a plain service."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": prefix,
        "routeType": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 400,
        "priorityClass": 1,
        "backend": service,
        "maxAttempts": 2,
        "anonymous": False,
        **fields,
    }


def model_route(name, prefix, service, **fields):
    """Returns a route of a model service whose streams may be resumed."""
    return plain_route(
        name,
        prefix,
        service,
        "streaming",
        **{
            "timeoutMs": 12000,
            "priorityClass": 0,
            "sessionAffinity": True,
            "streamResume": True,
            "gapTargetMs": 300,
            **fields,
        },
    )


def model_service(name):
    """Returns a model service."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 300,
        "runtime": {
            "slotCount": 32,
            "kvCapacity": ModelServer.memory_tokens,
            "kvTokenBytes": 163840,
            "bandwidthMbps": 1100000.0,
            "migrations": True,
            "backups": True,
            "stride": 1,
        },
    }


def plain_service(name):
    """Returns a plain service."""
    return {"name": name, "healthPath": "/healthz", "maxConnections": 96}


class Clients:
    """Clients that send requests one after another on kept channels."""

    def __init__(self, site, path, count, pause_s=0.1, more=None):
        """Creates the clients.

        Args:
            site: The deployment.
            path: Path up to the id of the attempt.
            count: Number of clients.
            pause_s: Pause of a client between two requests.
            more: Returns further header fields for an attempt; None for none.
        """
        self._more = more or (lambda attempt: [])
        self._site = site
        self._path = path
        self._count = count
        self._pause_s = pause_s
        self._tasks = []
        self.answers = {}
        self.sent = {}

    def start(self, addresses):
        """Starts to send."""
        for n in range(self._count):
            address = addresses[n % len(addresses)]
            self._tasks.append(asyncio.ensure_future(self._run(n, address)))

    async def stop(self):
        """Stops and waits for the answers that are due."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, client, address):
        channel = http11.Channel(address)
        number = 0
        while True:
            number += 1
            attempt = f"{self._path[1:3]}{client:02d}n{number:05d}"
            fields = [
                ("Host", HOST),
                ("Attempt-Id", attempt),
                ("Deadline-Ms", "4000"),
                ("Authorization", f"Bearer {KEY}"),
                *self._more(attempt),
            ]
            self.sent[attempt] = time.monotonic()
            self._site.record("sent", attempt=attempt, to=address)
            answer = await asyncio.shield(
                channel.request(
                    "POST", self._path + attempt, fields, b"{}", 4.5
                )
            )
            self.answers[attempt] = answer
            self._site.record(
                "answered",
                attempt=attempt,
                status=answer.status,
                whole=answer.whole,
                why=answer.why,
                text=answer.body[:80] if answer.status != 200 else "",
            )
            await asyncio.sleep(self._pause_s)


def main(case, folder):
    """Runs a case; exits with 0, 1 or 2."""
    record = Record(folder)
    record("case", trouble=TROUBLE)
    status = 2
    try:
        broken = asyncio.run(case(record))
        status = 1 if broken else 0
    except Exception as exc:  # noqa: BLE001
        record("cannot_run", why=repr(exc))
        print(f"the case could not run: {exc!r}", file=sys.stderr)
    record("result", exit=status)
    sys.exit(status)
