"""Chooses the server for a request, or decides that it must wait."""

import time
from collections.abc import Callable

from jasminerelay import placing
from jasminerelay.catalog import BackendServer, Call, Engine
from jasminerelay.dispatching.candidates import (
    Candidates,
    unblock_if_all_blocked,
)
from jasminerelay.dispatching.kindservers import KindServers
from jasminerelay.dispatching.requestneeds import RequestNeeds
from jasminerelay.dispatching.usableservers import UsableServers
from jasminerelay.placing import PlacementCandidate, PlacementDecision, Wait
from jasminerelay.scheduling.fairshare import Headroom
from jasminerelay.scheduling.streamorigins import VERSION_GONE
from jasminerelay.serverlimits import Allowance
from jasminerelay.serverpauses import ServerPauses
from jasminerelay.workload import Workload

VERSION_RETRY_S = 1.0
"""Retry-After where a stream can go on nowhere; a server may come back."""

NO_ROOM = Wait("no capacity at the servers of its group", full=True)


class ServerChoice:
    """Chooses among the servers that a request may use, by turns.

    First come those that accept requests and have no rate limit; among them the
    servers of the request's kind, then those of other kinds.
    """

    def __init__(
        self,
        zone: str,
        usable: UsableServers,
        needs: RequestNeeds,
        kinds: KindServers,
        candidates: Candidates,
        workload: Workload,
        allowance: Allowance,
        pauses: ServerPauses | None,
        instances: Callable[[], int],
    ):
        """Creates the choice.

        Args:
            zone: Availability zone of this instance.
            usable: The servers that may be used.
            needs: What requests need.
            kinds: The servers of each kind.
            candidates: What is known of each server.
            workload: Load of the servers.
            allowance: Rate limits of servers.
            pauses: Pauses that servers request from this instance, if any
                count.
            instances: Returns the number of instances that share the load.
        """
        self._zone = zone
        self._usable = usable
        self._needs = needs
        self._kinds = kinds
        self._candidates = candidates
        self._workload = workload
        self._allowance = allowance
        self._pauses = pauses
        self._instances = instances

    def place(
        self, call: Call, avoid: frozenset[str]
    ) -> PlacementDecision | Wait:
        """Chooses a server for a request, or decides that it must wait."""
        allowed = self._usable.servers_for(call)
        servers = [server for server in allowed if server.id not in avoid]
        if call.software_version is not None:
            if not allowed:
                return Wait(VERSION_GONE, retry_s=VERSION_RETRY_S)
            # It can go on nowhere else; a lost connection does not mean that
            # its server has ended.
            servers = servers or allowed
        if not servers:
            return Wait(
                "service has no usable server",
                retry_s=self._usable.pause_s(call.service),
            )
        if self._pauses:
            return self._place_with_pauses(call, servers)
        return self._place_accepting(call, servers)

    def headroom(self, call: Call) -> Headroom:
        """Returns the capacity at the servers of a request's kind.

        Pending prefill is not counted: it is done within a second, while slots
        and cache are occupied for a whole answer.
        """
        servers = self._usable.servers_for(call)
        engine = self._usable.engine_of(call.service)
        if call.prompt is not None and engine is not None:
            servers = self._kinds.group(call.service, call.route.name, servers)
        free = 0.0
        running = own = 0
        for server in servers:
            load = self._workload.load(server.id)
            running += load.running
            own += self._workload.own_running(server.id)
            if call.prompt is None or engine is None:
                free += placing.free_plain(server, load)
            else:
                output = self._needs.output_estimate(call).output
                memory = call.prompt.tokens + output
                free += placing.free_requests(engine, load, memory)
        return Headroom(free, free + running, own, self._instances())

    def _place_with_pauses(
        self, call: Call, servers: list[BackendServer]
    ) -> PlacementDecision | Wait:
        """Places a request where servers have requested a pause.

        Once its pause is over a server gets one request as a trial. No other
        request need find it: the servers are assigned to kinds without it.
        """
        now = time.monotonic()
        trials = [x for x in servers if self._pauses.trial_due(x.id, now)]
        placed = self._place_accepting(call, trials) if trials else None
        if isinstance(placed, PlacementDecision):
            return placed
        accepting = [x for x in servers if self._pauses.accepts(x.id, now)]
        if not accepting:
            retry_s = self._pauses.remaining_s((x.id for x in servers), now)
            return Wait("all servers have requested a pause", retry_s=retry_s)
        return self._place_accepting(call, accepting)

    def _place_accepting(
        self, call: Call, servers: list[BackendServer]
    ) -> PlacementDecision | Wait:
        unlimited = self._usable.unlimited(servers)
        if len(unlimited) == len(servers):
            return self._place_among(call, servers)
        return self._place_with_limits(call, servers, unlimited)

    def _place_with_limits(
        self,
        call: Call,
        servers: list[BackendServer],
        unlimited: list[BackendServer],
    ) -> PlacementDecision | Wait:
        """Places a request where some servers have a rate limit.

        A limited server is overloaded, although it looks idle because it gets
        so little. Other servers are preferred to it, except for trial requests.
        """
        now = time.monotonic()
        limited = [item for item in servers if item not in unlimited]
        allowance = self._allowance
        probes = [x for x in limited if allowance.has_trial_grant(x.id, now)]
        held = [x for x in limited if allowance.may_send(x.id, now)]
        placed: PlacementDecision | Wait = Wait(
            "rate limits of the service's servers are used up"
        )
        for candidates in (probes, unlimited, held):
            if candidates:
                placed = self._place_among(call, candidates)
            if isinstance(placed, PlacementDecision):
                return placed
        for item in limited:
            allowance.record_demand(item.id, call.rank, now)
        return placed

    def _place_among(
        self, call: Call, servers: list[BackendServer]
    ) -> PlacementDecision | Wait:
        engine = self._usable.engine_of(call.service)
        if call.prompt is None or engine is None:
            options = self._candidates.find(call, servers)
            return placing.place_plain(
                call, unblock_if_all_blocked(options), self._zone
            )
        group = self._kinds.group(call.service, call.route.name, servers)
        now = time.monotonic()
        group_failed = self._usable.all_blocked(call.service, group, now)
        placed = NO_ROOM
        if group_failed or self._with_room(call, engine, group):
            options = self._candidates.find(call, group)
            if group_failed and self._usable.all_blocked(
                call.service, servers, now
            ):
                options = unblock_if_all_blocked(options)
                group_failed = False
            placed = self._place_model(call, engine, servers, options, now)
        if isinstance(placed, PlacementDecision):
            return placed
        yielding = self._kinds.yielding_servers(call, now)
        allowed_ids = self._kinds.overflow_servers(call) | yielding
        if group_failed or self._kinds.may_use_any_server(call, now):
            allowed_ids |= {server.id for server in servers}
        if call.software_version is not None:
            # Its version may have no other servers.
            allowed_ids |= {server.id for server in servers}
        allowed_ids.difference_update(server.id for server in group)
        others = [server for server in servers if server.id in allowed_ids]
        others = self._with_room(call, engine, others)
        if not others:
            return placed
        max_concurrent = self._kinds.max_concurrent_prefill(call.service)
        allowed = max_concurrent - call.prompt.tokens
        found = self._candidates.find(call, others)
        options = [item for item in found if item.server.id in yielding]
        options += placing.with_prefill_at_most(
            [item for item in found if item.server.id not in yielding], allowed
        )
        return self._place_model(call, engine, servers, options, now)

    def _with_room(
        self, call: Call, engine: Engine, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Returns the servers that may have capacity for a request."""
        speeds = self._needs.speeds(call.service)
        memory = call.prompt.tokens + self._needs.output_estimate(call).output
        return [
            server
            for server in servers
            if placing.may_have_room(
                engine, speeds, self._workload.load(server.id), memory
            )
        ]

    def _place_model(
        self,
        call: Call,
        engine: Engine,
        servers: list[BackendServer],
        options: list[PlacementCandidate],
        now: float,
    ) -> PlacementDecision | Wait:
        """Places a model request on one of some servers.

        Args:
            call: The request.
            engine: Capacity of the servers.
            servers: All servers, from any of which its prefix can be copied.
            options: Those that it can be placed on.
            now: Monotonic time.
        """
        if call.software_version is None:
            options = [
                self._candidates.with_own_places(x, engine) for x in options
            ]
        return placing.place_model(
            call,
            engine,
            self._needs.speeds(call.service),
            options,
            self._needs.output_estimate(call),
            now,
            self._candidates.other_prefix_holders(call, servers, options),
        )
