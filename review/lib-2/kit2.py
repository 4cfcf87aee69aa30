"""A small deployment for the review's scripts: store, servers, instances.

The instances are started with the command of the deploy file, from the root of
the repository after its build. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http1
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIB = pathlib.Path(__file__).resolve().parent
HOST = "relay.example"
KEY = "key-of-elm"
MODELS = "engines"
PLAIN = "bookings"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CANNOT_RUN = 2


def free_port(ip):
    """Returns a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class CannotRunError(Exception):
    """The case could not run."""


class ServerProcess:
    """A lifetime of a backend server."""

    def __init__(
        self, site, name, service, address, zone, slots, version, sock
    ):
        self.site = site
        self.version = version
        self.born = round(time.time() * 1000)
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        ms_per_1000, event_ms = site.speeds
        self.popen = subprocess.Popen(
            [
                sys.executable,
                str(LIB / "server.py"),
                name,
                address,
                str(site.journal),
                str(slots),
                str(ms_per_1000),
                str(event_ms),
                version,
                *site.server_options,
                *([f"fd={sock.fileno()}"] if sock is not None else []),
            ],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            pass_fds=() if sock is None else (sock.fileno(),),
        )
        site.processes.append(self.popen)

    def write_row(self, phase="ready"):
        """Writes the server's entry to the store."""
        row = {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slotCount": self.slots,
            "phase": phase,
            "coldRemainingMs": 0,
            "callSeq": 0,
        }
        if self.site.states_starts:
            row["born"] = self.born
        self.site.store.put("servers", self.name, row)

    def kill(self):
        """Kills the process."""
        self.popen.kill()
        self.popen.wait()


class Instance:
    """An instance, started with the deploy file's command."""

    def __init__(self, site, name, ip, zone, settings):
        self.site = site
        self.name = name
        self.ip = ip
        self.zone = zone
        self.path = site.folder / f"{name}.toml"
        self.log = site.folder / f"{name}.log"
        self.listen = {
            key: f"{ip}:{free_port(ip)}"
            for key in ("front", "readiness", "registry")
        }
        self.port = free_port(ip)
        self.settings = settings
        self.popen = None

    def write_settings(self, *, bootstrap):
        """Writes the settings file as DEPLOY.md shows it."""
        site = self.site
        lines = [
            f'nodeName = "{self.name}"',
            'nodeRole = "relay"',
            'machineClass = "edge"',
            'serves = ["edge","registry"]',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "r"',
            f"internalPortRange = [{self.port}, {self.port}]",
            "seedNodes = []",
            f"bootstrap = {str(bootstrap).lower()}",
            "[listenAddrs]",
            *(f'{key} = "{value}"' for key, value in self.listen.items()),
            "[limits]",
            "cpuFraction = 0.537",
            "cpuCores = 2",
            "memoryMb = 300",
            "maxFds = 4100",
            "[bounds]",
            *(f"{key} = {value}" for key, value in BOUNDS.items()),
            "[platform]",
            f'address = "{site.store_address}"',
            'form = "table"',
            "writesPerS = 400",
            "readsPerS = 2000",
        ]
        self.path.write_text("\n".join([*lines, *self.settings]) + "\n")

    def start(self, *, bootstrap=True):
        """Starts the process."""
        self.write_settings(bootstrap=bootstrap)
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = role["roles"]["relay"]
        kept = ("PATH", "HOME", "LANG")
        environ = {k: os.environ[k] for k in kept if k in os.environ}
        environ |= role.get("env", {})
        environ["JASMINERELAY_BOOT"] = str(self.path)
        environ["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log.open("ab") as out:
            self.popen = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environ,
                stdout=out,
                stderr=subprocess.STDOUT,
            )
        self.site.processes.append(self.popen)

    async def ready(self, timeout_s=20.0):
        """Waits until it says that it is ready."""
        ends = time.monotonic() + timeout_s
        while time.monotonic() < ends:
            answer = await http1.call(
                self.listen["readiness"],
                "GET",
                "/-/readyz",
                [("Host", "x")],
                timeout_s=1.0,
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready")


BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryAllowance": 52,
    "recoveryS": 12,
    "ttl_max_s": 5,
}


class Site:
    """A deployment that runs while its context is open.

    Attributes:
        speeds: Milliseconds to read 1,000 tokens of a prompt, and between two
            events.
        states_starts: Whether the servers' entries state their starts.
        server_options: Options of the servers.
    """

    def __init__(self, speeds=(80.0, 20.0)):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.journal = self.folder / "journal"
        self.speeds = speeds
        self.states_starts = False
        self.server_options = ()
        self.processes = []
        self.instances = []
        self.servers = {}
        self.store = Store()
        # An address that no other program on this machine is likely to use.
        self._net = f"127.{random.randint(20, 250)}.{random.randint(0, 250)}"
        self._hosts = 1
        self.store_address = ""
        self._lines = []
        self._began = time.monotonic()

    def new_ip(self):
        """Returns a loopback address of its own."""
        self._hosts += 1
        return f"{self._net}.{self._hosts}"

    def new_address(self):
        """Returns IP:port that is free."""
        ip = self.new_ip()
        return f"{ip}:{free_port(ip)}"

    def record(self, text):
        """Notes a line for record.txt."""
        self._lines.append(f"{time.monotonic() - self._began:8.3f} {text}")
        print(self._lines[-1], flush=True)

    def save_record(self, folder):
        """Writes record.txt."""
        path = pathlib.Path(folder) / "record.txt"
        path.write_text("\n".join(self._lines) + "\n")

    async def start_store(self):
        """Starts the store."""
        self.store_address = self.new_address()
        await self.store.start(self.store_address)

    def add_server(
        self,
        name,
        service,
        zone="north",
        slots=8,
        address=None,
        version="v1",
        sock=None,
    ):
        """Starts a server; its row is written by `write_row`."""
        address = address or self.new_address()
        server = ServerProcess(
            self, name, service, address, zone, slots, version, sock
        )
        self.servers[name] = server
        return server

    async def servers_listen(self):
        """Waits until all servers listen."""
        for server in self.servers.values():
            await listens(server.address)

    def add_instance(self, zone="north", settings=()):
        """Adds an instance that does not run yet."""
        name = f"edge-{zone}-{len(self.instances) + 1}"
        found = Instance(self, name, self.new_ip(), zone, settings)
        self.instances.append(found)
        return found

    def write_configuration(self, version, routes, slots=8):
        """Writes a version of the configuration."""
        runtime = {
            "slotCount": slots,
            "kvCapacity": 788639,
            "kvTokenBytes": 18432,
            "bandwidthMbps": 130000.0,
            "migrations": False,
            "backups": False,
            "stride": 1,
            "models": [{"name": "m"}],
        }
        services = [
            {"name": MODELS, "healthPath": "/healthz", "maxConnections": 360},
            {"name": PLAIN, "healthPath": "/healthz", "maxConnections": 96},
        ]
        services[0]["runtime"] = runtime
        value = {
            "version": version,
            "routes": routes,
            "backends": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "elm", "apiKeys": [KEY]}],
        }
        self.store.put("op", "config", value)

    def runs(self):
        """Returns what the servers wrote to their journal."""
        if not self.journal.exists():
            return []
        lines = self.journal.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def close(self):
        """Ends all processes that were started here."""
        for popen in self.processes:
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
        for popen in self.processes:
            popen.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def listens(address, timeout_s=15.0):
    """Waits until something listens at an address."""
    host, _, port = address.rpartition(":")
    ends = time.monotonic() + timeout_s
    while time.monotonic() < ends:
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.03)
            continue
        writer.transport.abort()
        return
    raise CannotRunError(f"nothing listens at {address}")


def route(name, prefix, service, kind, **fields):
    """Returns a route of the configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": prefix,
        "backend": service,
        "routeType": kind,
        "timeoutMs": 15000,
        "targetLatencyMs": 300,
        "priorityClass": 1,
        "maxAttempts": 1,
        "anonymous": False,
        "sessionAffinity": False,
        **fields,
    }


def request_fields(attempt, deadline_ms=15000, **fields):
    """Returns the header fields of a client's request."""
    found = [
        ("Host", HOST),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Bearer {KEY}"),
    ]
    return found + [(k.replace("_", "-"), v) for k, v in fields.items()]


def main(case, folder):
    """Runs a case; returns 1 if the rule was broken, 0 if not, 2 if unable."""

    async def run():
        site = Site()
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
        try:
            async with asyncio.timeout(110):
                broken = await case(site)
            site.record("BROKEN" if broken else "held")
            return int(broken)
        except (CannotRunError, TimeoutError, OSError) as exc:
            site.record(f"could not run: {exc!r}")
            return CANNOT_RUN
        finally:
            site.close()
            site.save_record(folder)

    return asyncio.run(run())
