"""Which servers of a service an instance may use, and which count as capacity.

Load handled: servers that fail, fall silent, have a rate limit, or have
requested a pause. When all are excluded, some rules fall back to all of them:
refusing everything would turn a short fault into an outage.
"""

import time
from collections.abc import Callable, Iterable

from jasminerelay.catalog import BackendServer, Call, Engine
from jasminerelay.registry import Registry
from jasminerelay.responsemonitor import ResponseMonitor
from jasminerelay.scheduling.servercapacity import PLAIN_REQUESTS_PER_SLOT
from jasminerelay.serverlimits import Allowance
from jasminerelay.serverpauses import ServerPauses
from jasminerelay.stragglers import Stragglers
from jasminerelay.workload import Workload


class UsableServers:
    """The servers that an instance may use.

    Attributes:
        out_of_reach: Returns whether only other instances reach a server.
    """

    def __init__(
        self,
        registry: Registry,
        workload: Workload,
        response_monitor: ResponseMonitor,
        allowance: Allowance,
        pauses: ServerPauses | None,
    ):
        """Creates the view without any failure records.

        Args:
            registry: Configuration and servers.
            workload: Load of the servers.
            response_monitor: Detector of unresponsive servers.
            allowance: Rate limits of servers.
            pauses: Pauses that servers request from this instance, if any
                count.
        """
        self._registry = registry
        self._workload = workload
        self._response_monitor = response_monitor
        self._allowance = allowance
        self._pauses = pauses
        self._health: dict[str, Stragglers] = {}
        self.out_of_reach: Callable[[str], bool] = lambda server: False

    def engine_of(self, service: str) -> Engine | None:
        """Returns a service's engine settings; None for a plain service."""
        catalog = self._registry.catalog
        held = catalog.services.get(service) if catalog else None
        return held.engine if held else None

    def slots_of(self, service: str, server: str) -> int:
        """Returns how many requests a server is given when it is full."""
        engine = self.engine_of(service)
        if engine is not None:
            return engine.slots
        held = self._registry.server(server)
        slots = held.slots if held is not None else 1
        return PLAIN_REQUESTS_PER_SLOT * slots

    def shuts_down(self, server: BackendServer) -> bool:
        """Returns whether a server has announced its shutdown."""
        return self._registry.shuts_down(server)

    def was_replaced(self, server: BackendServer) -> bool:
        """Returns whether a later start of a server is listed."""
        return any(
            item.name == server.name and item.id != server.id
            for item in self._registry.servers()
        )

    def servers_for(self, call: Call) -> list[BackendServer]:
        """Returns the servers at which a request may run, or go on."""
        servers = self._registry.servers_of(call.service)
        if call.software_version is None:
            return servers
        return [server for server in servers if call.may_run_at(server)]

    def health(self, service: str) -> Stragglers:
        """Returns the failure records of a service's servers."""
        return self._health.setdefault(service, Stragglers())

    def silent(self, server: str, now: float) -> bool:
        """Returns whether a server is unresponsive to this instance."""
        own = self._workload.own_running(server)
        return self._response_monitor.silent(server, own, now)

    def silent_servers(self, now: float) -> list[str]:
        """Returns the servers that are unresponsive to this instance."""
        used = dict.fromkeys(run.server for run in self._workload.runs.values())
        return [server for server in used if self.silent(server, now)]

    def reports_silent(self, server: str, now: float) -> bool:
        """Returns whether other instances may be told of a silent server.

        If most of the servers that this instance uses are silent, it has more
        likely lost its own links.
        """
        if not self.silent(server, now) or self.out_of_reach(server):
            return False
        used = {run.server for run in self._workload.runs.values()}
        return 2 * len(self.silent_servers(now)) <= len(used)

    def blocked(self, service: str, server: str, now: float) -> bool:
        """Returns whether a server is excluded after a failure."""
        health = self.health(service)
        if health.blocked(server, now):
            return True
        if self.silent(server, now):
            return True
        # After the back-off a server gets one request at a time.
        busy = self._workload.load(server).running > 0
        return busy and health.probing(server)

    def all_blocked(
        self, service: str, servers: list[BackendServer], now: float
    ) -> bool:
        """Returns whether all of some servers are excluded."""
        return all(self.blocked(service, item.id, now) for item in servers)

    def paused(self, servers: Iterable[str]) -> frozenset[str]:
        """Returns those of some servers that get no request of this instance.

        They have requested a pause, or have a trial request after one.
        """
        pauses = self._pauses
        if not pauses:
            return frozenset()
        now = time.monotonic()
        return frozenset(x for x in servers if not pauses.accepts(x, now))

    def pause_s(self, service: str) -> float:
        """Returns the time until a service's server accepts requests again.

        0 if there is a server that has requested no pause.
        """
        servers = [x.id for x in self._registry.servers_of(service)]
        if not self._pauses or not servers:
            return 0.0
        return self._pauses.remaining_s(servers, time.monotonic())

    def unlimited(self, servers: list[BackendServer]) -> list[BackendServer]:
        """Returns those of some servers that have no rate limit."""
        if not self._allowance.limits:
            return servers
        return [x for x in servers if not self._allowance.is_limited(x.id)]

    def without_recovering(
        self, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Returns the servers that count as capacity, of some; all if none.

        Those that have requested a pause do not count until they have accepted
        a request again.
        """
        if not self._pauses:
            return servers
        return [
            x for x in servers if not self._pauses.is_recovering(x.id)
        ] or servers

    def without_unavailable(
        self, service: str, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Returns the servers that count as capacity, of some; all if none.

        A kind whose few servers have all crashed would otherwise wait for them
        until their rows expire, while other kinds' servers have capacity.
        """
        health = self.health(service)
        return [x for x in servers if not health.unavailable(x.id)] or servers

    def forget(self, server: str) -> None:
        """Deletes the failure records of a server that has ended."""
        for health in self._health.values():
            health.forget(server)
        self._response_monitor.forget(server)
