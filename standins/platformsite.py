"""A small site of the users' platform: store, servers, configuration.

All of it runs in the caller's event loop, on ports that the kernel allocates,
so that a test or a demo needs no processes other than the router's instances.
"""

import contextlib
import dataclasses
import json
import pathlib
import time
from collections.abc import AsyncIterator, Mapping, Sequence

import anyio

from jasminerelay import ports
from standins import connectionanswers
from standins.launcher import free_address
from standins.link import Link
from standins.platformduties import PlatformDuties
from standins.platformserver import FIRST_VERSION, PlatformServer
from standins.platformstore import PlatformStore
from standins.rawrequests import RecordingProtocol
from standins.serverprocess import ServerProcess

API_KEY = "key-of-elm"
HOST = "relay.example"
MODEL_BACKEND = "engines"
PLAIN_BACKEND = "bookings"
MS_PER_S = 1e3
RESTART_S = 0.3
BASE_IP_OCTET = 10
"""Last octet of the loopback address before that of the first instance."""


@dataclasses.dataclass(frozen=True)
class SiteOptions:
    """Composition of a site.

    Attributes:
        engines: Number of model servers.
        plain: Number of servers of the plain service.
        grace_s: Maximum time from SIGTERM to the end of an instance.
        routes: Fields to replace in routes, by route name.
        links: Whether instances reach the store and the servers through
            links with fault injection.
        fatal: Body of the requests that crash a server that runs them; empty
            for none.
        fatal_part: Part of a prompt that crashes model servers; "" for none.
        fatal_after: Number of events that are sent before such a crash.
        restart_s: Time after which a crashed server restarts.
        duties: Whether instances perform duties, with calls to the platform.
        window_s: Length of a usage window.
        usage_late_s: Time from the end of a window to its report.
        scaling: Autoscaling configuration of the model servers; empty for none.
        memory_mb: Memory limit of the instances in MB; 0 for none.
        max_descriptors: Descriptors of the instances; 0 for no statement.
        body_bytes: Largest body of a request.
        slots: Slots of each server.
        retry_ratio: Retries allowed per request, over all instances.
        retry_allowance: Retries allowed besides, in a window.
        retry_window_s: Length of that window.
        starts: Whether the servers' rows state when the servers started.
    """

    engines: int = 2
    plain: int = 2
    grace_s: float = 4.0
    routes: dict[str, dict] = dataclasses.field(default_factory=dict)
    links: bool = False
    fatal: bytes = b""
    fatal_part: str = ""
    fatal_after: int = 0
    restart_s: float = 0.5
    duties: bool = False
    window_s: float = 2.0
    usage_late_s: float = 6.0
    scaling: dict = dataclasses.field(default_factory=dict)
    memory_mb: float = 0
    max_descriptors: int = 0
    body_bytes: int = 1 << 20
    slots: int = 8
    retry_ratio: float = 0.2
    retry_allowance: float = 10.0
    retry_window_s: float = 10.0
    starts: bool = False


class PlatformSite:
    """A running site.

    Attributes:
        options: Composition of the site.
        store: Stand-in of the store.
        duties: Stand-in of the calls that the duties make.
        duties_address: IP:port of `duties`.
        servers: Backend servers by name, including those that ended.
        addresses: IP:port at which instances reach each server, by name.
        links: Links by the name of their server or instance.
        version: Version of the configuration.
        store_address: IP:port of the store.
        ended: Names of the servers that crashed, in order.
    """

    def __init__(self, options: SiteOptions, folder: pathlib.Path):
        self.options = options
        self.store = PlatformStore()
        self.duties = PlatformDuties()
        self.duties_address = free_address()
        self.servers: dict[str, PlatformServer] = {}
        self.addresses: dict[str, str] = {}
        self.links: dict[str, Link] = {}
        self.version = 0
        self._folder = folder
        self.store_address = free_address()
        self._group: anyio.abc.TaskGroup | None = None
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._seeds: list[str] = []
        self._instances = 0
        self._leaving: set[str] = set()
        self._started_ms: dict[str, int] = {}
        self._ends_in_order: set[str] = set()
        self.ended: list[str] = []
        self._first_start = True

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["PlatformSite"]:
        """Runs the store and the servers while the context is open."""
        async with anyio.create_task_group() as group:
            self._group = group
            await self._listen("store", self.store.app(), self.store_address)
            if self.options.duties:
                await self._listen(
                    "duties", self.duties.app(), self.duties_address
                )
            for index in range(self.options.engines):
                await self.add_server(f"engine-{index + 1}", MODEL_BACKEND)
            for index in range(self.options.plain):
                await self.add_server(f"plain-{index + 1}", PLAIN_BACKEND)
            self.write_configuration()
            yield self
            group.cancel_scope.cancel()

    async def add_server(
        self, name: str, service: str, version: str = FIRST_VERSION
    ) -> PlatformServer:
        """Starts a server and writes its row to the store."""
        server = PlatformServer(name, version)
        server.faults.fatal = self.options.fatal
        server.faults.fatal_part = self.options.fatal_part
        server.faults.fatal_after = self.options.fatal_after
        server.on_crash = lambda: self._crash_server(name, service)
        address = free_address()
        self.servers[name] = server
        await self._listen(name, server, address)
        self.addresses[name] = self._through_link(name, address)
        self._started_ms[name] = round(time.time() * MS_PER_S)
        self.write_server_row(name, service)
        return server

    async def add_process(
        self, server: ServerProcess, service: str, *, row: bool = True
    ) -> None:
        """Starts a server that is a process, without a link before it.

        Args:
            server: The server.
            service: Its service.
            row: Whether its row is written at once.
        """
        name = server.name
        await server.start()
        self.servers[name] = server
        self.addresses[name] = server.address
        self._started_ms[name] = round(time.time() * MS_PER_S)
        self._leaving.discard(name)
        scope = self._scopes[name] = anyio.CancelScope()

        async def end() -> None:
            with scope:
                try:
                    await anyio.sleep_forever()
                finally:
                    server.kill()

        self._group.start_soon(end)
        if row:
            self.write_server_row(name, service)

    async def restart_server(
        self, name: str, service: str, version: str
    ) -> None:
        """Starts a server again under its id and address, as another version.

        Args:
            name: The server, which is reached through a link.
            service: Its service.
            version: Version of its software from now on.
        """
        self.kill_server(name)
        await anyio.sleep(RESTART_S)
        server = self.servers[name] = PlatformServer(name, version)
        await self._listen(name, server, self.links[name].target)
        self._started_ms[name] = round(time.time() * MS_PER_S)
        self.write_server_row(name, service)

    def leaving(self, name: str) -> bool:
        """Returns whether a server has ended or is draining."""
        return name not in self._scopes or name in self._leaving

    def mark_leaving(self, name: str) -> None:
        """Records that a server is draining, though its row does not say so."""
        self._leaving.add(name)

    def write_server_row(
        self, name: str, service: str, phase: str = "ready"
    ) -> None:
        """Writes a server's row, with its phase, to the store."""
        if phase != "ready":
            self._leaving.add(name)
        self.store.put("servers", name, self.server_row(name, service, phase))

    def write_wrong_row(
        self, name: str, service: str, changes: Mapping[str, object]
    ) -> None:
        """Writes a server's row as another program may write it.

        Args:
            name: The server.
            service: Its service.
            changes: Fields that differ from the server's own row; None to leave
                one out.
        """
        row = {**self.server_row(name, service, "ready"), **changes}
        kept = {key: value for key, value in row.items() if value is not None}
        self.store.put("servers", name, kept)

    def server_row(self, name: str, service: str, phase: str) -> dict:
        """Returns the row that a server writes of itself."""
        # A test may listen at the address itself.
        server = self.servers.get(name)
        row = {
            "backend": service,
            "address": self.addresses[name],
            "zone": "north",
            "version": server.version if server else FIRST_VERSION,
            "slotCount": self.options.slots,
            "phase": phase,
            "coldRemainingMs": 0,
            "callSeq": 0,
        }
        if self.options.starts:
            row["born"] = self._started_ms[name]
        return row

    def kill_server(self, name: str, *, in_order: bool = False) -> None:
        """Ends a server, or the store, at once; a row stays in the store.

        Args:
            name: Its name.
            in_order: Whether its connections end in order and are not reset.
        """
        if in_order:
            self._ends_in_order.add(name)
        if name in self.servers:
            self.servers[name].killed_at = time.monotonic()
        self._scopes.pop(name).cancel()

    def _crash_server(self, name: str, service: str) -> None:
        """Ends a server that a request crashed; restarts it after a delay."""
        if name not in self._scopes:
            return
        self.ended.append(name)
        self.kill_server(name)
        if name in self.links:
            self.links.pop(name).close()
        self._group.start_soon(self._restart_server, name, service)

    async def _restart_server(self, name: str, service: str) -> None:
        await anyio.sleep(self.options.restart_s)
        self.store.delete("servers", name)
        before = self.servers[name].faults
        version = self.servers[name].version
        after = await self.add_server(f"{name}+", service, version)
        after.faults.slowdown = before.slowdown
        after.faults.capacity = before.capacity
        after.faults.brittle = before.brittle

    def write_configuration(
        self, added: Sequence[dict] = (), **changes
    ) -> None:
        """Writes a new version of the configuration.

        Args:
            added: Additional routes.
            **changes: Configuration fields to replace.
        """
        self.version += 3
        value = {**self.configuration(added), **changes}
        self.store.put("op", "config", value)

    def configuration(self, added: Sequence[dict] = ()) -> dict:
        """Returns the configuration without changes, in its latest version."""
        routes = [
            _route("chat", "/chat/", MODEL_BACKEND, routeType="streaming",
                   streamResume=True, maxAttempts=2, priorityClass=0,
                   sessionAffinity=True, gapTargetMs=250),
            _route("sheet", "/sheet/", MODEL_BACKEND, routeType="streaming",
                   priorityClass=2, sessionAffinity=True, gapTargetMs=1000,
                   timeoutMs=8000, targetLatencyMs=2000),
            _route("lookup", "/lookup/", PLAIN_BACKEND, routeType="idempotent",
                   maxAttempts=2),
            _route("confirm", "/confirm/", PLAIN_BACKEND,
                   routeType="non_idempotent", maxAttempts=2),
        ]  # fmt: skip
        routes += [_route(**route) for route in added]
        for route in routes:
            route.update(self.options.routes.get(route["name"], {}))
        return {
            "version": self.version,
            "routes": routes,
            "backends": [
                {
                    "name": MODEL_BACKEND,
                    "healthPath": "/healthz",
                    "maxConnections": 64,
                    **self._autoscale_fields(),
                    "runtime": {
                        "slotCount": 8,
                        "kvCapacity": 100_000,
                        "kvTokenBytes": 1000,
                        "bandwidthMbps": 10_000,
                        "migrations": True,
                        "stride": 1,
                    },
                },
                {
                    "name": PLAIN_BACKEND,
                    "healthPath": "/healthz",
                    "maxConnections": 64,
                },
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": self.options.body_bytes,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "elm", "apiKeys": [API_KEY]}],
        }

    def _autoscale_fields(self) -> dict:
        scaling = self.options.scaling
        return {"autoscale": scaling} if scaling else {}

    def _duty_settings(self, name: str) -> list[str]:
        """Returns the lines of an instance's settings that concern duties."""
        if not self.options.duties:
            return []
        address = self._through_link(f"{name}-duties", self.duties_address)
        return [
            "[cloudApi]",
            f'address = "{address}"',
            'duties = ["usage_report", "autoscaler"]',
            "dutyPerS = 50.0",
        ]

    def _retry_settings(self) -> list[str]:
        """Returns the lines of the retry budget, if it is not the usual one."""
        found = (
            self.options.retry_ratio,
            self.options.retry_allowance,
            self.options.retry_window_s,
        )
        usual = SiteOptions()
        if found == (
            usual.retry_ratio,
            usual.retry_allowance,
            usual.retry_window_s,
        ):
            return []
        ratio, allowance, window_s = found
        return [
            f"retryBudgetRatio = {ratio}",
            f"retryAllowance = {allowance}",
            f"budgetWindowS = {window_s}",
        ]

    def _machine_settings(self) -> list[str]:
        """Returns the lines of an instance's settings with its limits."""
        limits = {
            "memoryMb": self.options.memory_mb,
            "maxFds": self.options.max_descriptors,
        }
        lines = [f"{name} = {value}" for name, value in limits.items() if value]
        return ["[limits]", *lines] if lines else []

    def settings(self, name: str, zone: str = "north") -> pathlib.Path:
        """Writes an instance's settings file; returns its path."""
        listen = {
            key: free_address() for key in ("front", "readiness", "registry")
        }
        peers = free_address()
        port = int(peers.rpartition(":")[2])
        lines = [
            f'nodeName = "{name}"',
            f'ip = "{self._new_ip()}"',
            f'zone = "{zone}"',
            'region = "r"',
            f"internalPortRange = [{port}, {port}]",
            f"bootstrap = {str(self._first_start).lower()}",
            f"seedNodes = {json.dumps(self._seeds)}",
            "[listenAddrs]",
            *(f'{key} = "{value}"' for key, value in listen.items()),
            "[bounds]",
            f"graceS = {self.options.grace_s}",
            f"windowS = {self.options.window_s}",
            f"usageLateS = {self.options.usage_late_s}",
            *self._retry_settings(),
            "[platform]",
            f'address = "{self._through_link(name, self.store_address)}"',
            *self._duty_settings(name),
            *self._machine_settings(),
        ]
        path = self._folder / f"{name}.toml"
        if self.options.links:
            self._seeds.append(
                f"127.0.0.{BASE_IP_OCTET + self._instances}:{port}"
            )
        path.write_text("\n".join(lines) + "\n")
        return path

    def _new_ip(self) -> str:
        """Returns a loopback address that no other instance has.

        Instances write a row under their address. With a shared address they
        overwrite each other's rows, and two instances never find each other if
        the second starts after the first has read the rows.
        """
        self._instances += 1
        return f"127.0.0.{BASE_IP_OCTET + self._instances}"

    def _through_link(self, name: str, address: str) -> str:
        """Returns the address of a new link to `address`, if links are on."""
        if not self.options.links:
            return address
        link_address = free_address()
        self.links[name] = Link(link_address, address)
        self._group.start_soon(self.links[name].serve)
        return link_address

    async def _listen(self, name: str, app, address: str) -> None:
        port = ports.port(
            app, address, date_header=False, http=RecordingProtocol
        )
        scope = anyio.CancelScope()
        self._scopes[name] = scope

        async def serve() -> None:
            with scope:
                try:
                    await port.serve()
                finally:
                    in_order = name in self._ends_in_order
                    connectionanswers.end_port(port, in_order=in_order)

        self._group.start_soon(serve)
        while not port.started:
            await anyio.sleep(0.005)


def _route(name: str, prefix: str, service: str, **fields) -> dict:
    return {
        "name": name,
        "hostname": HOST,
        "prefix": prefix,
        "backend": service,
        "timeoutMs": 3000,
        "targetLatencyMs": 300,
        "priorityClass": 1,
        "maxAttempts": 1,
        "anonymous": False,
        **fields,
    }
