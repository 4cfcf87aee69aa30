"""Chooses backend servers for requests from the state that an instance has.

Assembles the parts in `dispatching` and is their only way in.
"""

import time
from collections.abc import Callable, Iterable

import msgspec

from jasminerelay.admission import WaitEstimate
from jasminerelay.catalog import BackendServer, Call, Engine
from jasminerelay.dispatching.candidates import Candidates, OwnPlaces
from jasminerelay.dispatching.kindservers import KindServers, OnSplit
from jasminerelay.dispatching.movetargets import MoveTargets
from jasminerelay.dispatching.requestneeds import RequestNeeds
from jasminerelay.dispatching.serverchoice import ServerChoice
from jasminerelay.dispatching.servermeasurements import ServerMeasurements
from jasminerelay.dispatching.usableservers import UsableServers
from jasminerelay.dispatching.waitestimates import WaitEstimates
from jasminerelay.enginemodel import EngineModels
from jasminerelay.outputlengths import OutputLengths
from jasminerelay.placementqueue import Reservation
from jasminerelay.placing import PlacementDecision, Wait
from jasminerelay.prefix import CacheView
from jasminerelay.registry import Registry
from jasminerelay.responsemonitor import ResponseMonitor
from jasminerelay.scheduling.fairshare import Headroom
from jasminerelay.scheduling.servercapacity import CapacityRecords, StatedLoad
from jasminerelay.scheduling.serverspeeds import SpeedEstimate
from jasminerelay.schema.messages import CachedParts, RouteDemand, ServerLoad
from jasminerelay.serverlimits import Allowance
from jasminerelay.serverpauses import ServerPauses
from jasminerelay.stragglers import Stragglers
from jasminerelay.tokentimes import TokenTimes
from jasminerelay.workload import InFlightRequest, Workload

SPLIT_INTERVAL_S = 0.5
"""Interval at which the assignment of servers to kinds is computed again."""

US_PER_S = 1e6

OnSpeedChange = Callable[[str, str, SpeedEstimate], None]
"""Called with service, server and estimate when a lasting factor changes."""


class Dispatcher:
    """Chooses servers for requests; opens no connections.

    Attributes:
        workload: Load of the servers, of all instances.
        token_times: Times per token at the servers.
        capacities: Speeds and limits of the servers.
        engine_models: Performance models of the engines.
        lengths: Statistics of output lengths.
        demand_meter: Measures the demand of this instance's callers.
        demand: Demand at all instances.
        announcements: Prompt parts to report to the other instances.
        measures_step_times: Whether step times are measured from the streams of
            this instance; otherwise cell owners receive them in reports.
        on_split_change: Called when the servers are assigned anew to kinds.
        on_speed_change: Called when a server's lasting speed changes.
    """

    def __init__(
        self,
        registry: Registry,
        zone: str,
        instances: Callable[[], int],
        engines: EngineModels | None = None,
        lengths: OutputLengths | None = None,
        response_monitor: ResponseMonitor | None = None,
        caches: CacheView | None = None,
        allowance: Allowance | None = None,
        pauses: ServerPauses | None = None,
    ):
        """Creates a dispatcher.

        Args:
            registry: Configuration and servers.
            zone: Availability zone of this instance.
            instances: Returns the number of instances that share the load.
            engines: Performance models of the engines; new if None.
            lengths: Statistics of output lengths; new if None.
            response_monitor: Detector of unresponsive servers; new if None.
            caches: Contents of the servers' KV caches, for an instance that
                places all their requests; None if several instances place
                requests there.
            allowance: Rate limits of servers; None if no server has one.
            pauses: Pauses that servers request from this instance; None where
                the requests of other instances are placed, too.
        """
        self.workload = Workload()
        self.token_times = TokenTimes()
        self.capacities = CapacityRecords()
        self.engine_models = engines or EngineModels()
        self.lengths = lengths or OutputLengths()
        self.measures_step_times = True
        self.on_split_change: OnSplit = lambda service, groups, demand: None
        self.on_speed_change: OnSpeedChange = lambda *found: None
        self._allowance = Allowance() if allowance is None else allowance
        self._pauses = pauses
        self._response_monitor = response_monitor or ResponseMonitor()
        self._splits_updated_at = float("-inf")
        self._usable = UsableServers(
            registry,
            self.workload,
            self._response_monitor,
            self._allowance,
            pauses,
        )
        self._needs = RequestNeeds(
            self._usable, self.engine_models, self.lengths
        )
        self._measurements = ServerMeasurements(
            self._usable,
            self._needs,
            self.workload,
            self.token_times,
            self.engine_models,
            self.capacities,
            instances,
        )
        self._kinds = KindServers(
            registry,
            self._usable,
            self._needs,
            self.engine_models,
            self.capacities,
            self._record_steps,
            lambda *found: self.on_split_change(*found),
        )
        self.demand_meter = self._kinds.demand_meter
        self.demand = self._kinds.demand
        self._waits = WaitEstimates(
            registry,
            self._usable,
            self._needs,
            self._kinds,
            self.workload,
            self.token_times,
            self.capacities,
            self._allowance,
            instances,
        )
        self._candidates = Candidates(
            self._usable,
            self._needs,
            self.workload,
            self.token_times,
            self.capacities,
            caches,
            instances,
        )
        self.announcements = self._candidates.announcements
        self._choice = ServerChoice(
            zone,
            self._usable,
            self._needs,
            self._kinds,
            self._candidates,
            self.workload,
            self._allowance,
            pauses,
            instances,
        )
        self._targets = MoveTargets(
            self._usable,
            self._needs,
            self._kinds,
            self._candidates,
            self.token_times,
            self._allowance,
        )

    @property
    def own_places(self) -> OwnPlaces:
        """The places that this instance fills alone."""
        return self._candidates.own_places

    @own_places.setter
    def own_places(self, own_places: OwnPlaces) -> None:
        self._candidates.own_places = own_places

    @property
    def out_of_reach(self) -> Callable[[str], bool]:
        """Returns whether only other instances reach a server."""
        return self._usable.out_of_reach

    @out_of_reach.setter
    def out_of_reach(self, out_of_reach: Callable[[str], bool]) -> None:
        self._usable.out_of_reach = out_of_reach

    def own_loads(self, now: float) -> list[ServerLoad]:
        """Returns this instance's load and decode speed at each server."""
        return [
            msgspec.structs.replace(
                item,
                token_us=round(
                    US_PER_S
                    * (self.token_times.own_token_s(item.server, now) or 0)
                ),
            )
            for item in self.workload.own_loads()
        ]

    def apply_load_report(
        self,
        instance: str,
        number: int,
        loads: Iterable[ServerLoad],
        now: float,
    ) -> None:
        """Applies another instance's load report, unless it is out of date."""
        loads = list(loads)
        if not self.workload.apply_report(instance, number, loads, now):
            return
        for item in loads:
            if item.token_us:
                self.token_times.record_report(
                    item.server, item.token_us / US_PER_S, now
                )

    def apply_cached_parts(self, cached: Iterable[CachedParts]) -> None:
        """Records prompt parts that other instances have brought to servers."""
        self._candidates.apply_cached_parts(cached)

    def record_response(self, server: str, now: float) -> None:
        """Records that a server sent some response, whatever it was."""
        self._response_monitor.record_response(server, now)

    def silent(self, server: str, now: float) -> bool:
        """Returns whether a server is unresponsive to this instance."""
        return self._usable.silent(server, now)

    def silent_servers(self, now: float) -> list[str]:
        """Returns the servers that are unresponsive to this instance."""
        return self._usable.silent_servers(now)

    def reports_silent(self, server: str, now: float) -> bool:
        """Returns whether other instances may be told of a silent server.

        If most of the servers that this instance uses are silent, it has more
        likely lost its own links.
        """
        return self._usable.reports_silent(server, now)

    def record_statement(
        self, service: str, server: str, stated: StatedLoad, now: float
    ) -> None:
        """Records what a server states about itself, here or to an instance."""
        self._measurements.record_statement(service, server, stated, now)

    def record_rejection(
        self, service: str, server: str, now: float, count: int = 1
    ) -> None:
        """Records that a server rejected requests for lack of capacity."""
        self._measurements.record_rejection(service, server, now, count)

    def record_answer(
        self, call: Call, server: BackendServer, running: int, seconds: float
    ) -> None:
        """Records the response time of a plain server.

        Args:
            call: The request.
            server: The server.
            running: Concurrent requests there when it was sent, itself
                included.
            seconds: Time from sending to the complete answer.
        """
        self._measurements.record_answer(call, server, running, seconds)

    def record_step_time(
        self, service: str, server: str, step_s: float, now: float
    ) -> None:
        """Records an engine's step time if its prefill backlog is small.

        With a long prompt pending, the time per token includes prefill, which
        the model counts separately. At the start of a burst all engines
        prefill, and short requests would appear to need most of the servers.

        Args:
            service: The service.
            server: The engine.
            step_s: Time between two of its tokens.
            now: Monotonic time.
        """
        self._measurements.record_step_time(service, server, step_s, now)

    def record_first_event(
        self, call: Call, placed: PlacementDecision, ahead: int, seconds: float
    ) -> None:
        """Records the time to a request's first event.

        Args:
            call: The request.
            placed: Its placement.
            ahead: Tokens pending prefill at the server before its own.
            seconds: Time since it was sent.
        """
        self._measurements.record_first_event(call, placed, ahead, seconds)

    def health(self, service: str) -> Stragglers:
        """Returns the failure records of a service's servers."""
        return self._usable.health(service)

    def engine_of(self, service: str) -> Engine | None:
        """Returns a service's engine settings; None for a plain service."""
        return self._usable.engine_of(service)

    def shuts_down(self, server: BackendServer) -> bool:
        """Returns whether a server has announced its shutdown."""
        return self._usable.shuts_down(server)

    def was_replaced(self, server: BackendServer) -> bool:
        """Returns whether a later start of a server is listed."""
        return self._usable.was_replaced(server)

    def exceeds_memory(self, call: Call) -> bool:
        """Returns whether a prompt is larger than the memory of any server."""
        return self._needs.exceeds_memory(call)

    def record_arrival(self, call: Call) -> None:
        """Records the arrival of a request."""
        self._kinds.record_arrival(call)

    def busy_s(self, call: Call) -> float:
        """Returns how long a request occupies a server."""
        return self._needs.busy_s(call)

    def actual_busy_s(self, call: Call, output: int) -> float:
        """Returns how long a request with some output occupied a server."""
        return self._needs.actual_busy_s(call, output)

    def first_s(self, call: Call) -> float:
        """Returns the expected time from placement to the first event."""
        return self._needs.first_s(call)

    def headroom(self, call: Call) -> Headroom:
        """Returns the capacity at the servers of a request's kind.

        Pending prefill is not counted: it is done within a second, while slots
        and cache are occupied for a whole answer.
        """
        return self._choice.headroom(call)

    def servers_for(self, call: Call) -> list[BackendServer]:
        """Returns the servers at which a request may run, or go on."""
        return self._usable.servers_for(call)

    def place(
        self, call: Call, avoid: frozenset[str]
    ) -> PlacementDecision | Wait:
        """Chooses a server for a request, or decides that it must wait."""
        return self._choice.place(call, avoid)

    def paused(self, servers: Iterable[str]) -> frozenset[str]:
        """Returns those of some servers that get no request of this instance.

        They have requested a pause, or have a trial request after one.
        """
        return self._usable.paused(servers)

    def pause_s(self, service: str) -> float:
        """Returns the time until a service's server accepts requests again.

        0 if there is a server that has requested no pause.
        """
        return self._usable.pause_s(service)

    def expect(self, call: Call, ahead_s: float) -> WaitEstimate:
        """Returns a wait estimate for a queued request."""
        return self._waits.expect(call, ahead_s)

    def queue_delay_s(self, service: str, kind: str, queued_s: float) -> float:
        """Returns the expected queueing delay of a new model request.

        Args:
            service: Its service.
            kind: Its kind.
            queued_s: Engine time of the queued requests of its kind.
        """
        return self._waits.queue_delay_s(service, kind, queued_s)

    def reserve(
        self, call: Call, placed: PlacementDecision, number: int | None = None
    ) -> InFlightRequest:
        """Records that a request is sent to a server.

        Args:
            call: The request.
            placed: Its placement.
            number: Number of the in-flight request; None to assign a new one.
        """
        name = placed.server.id
        if number is None:
            # A request with a number was placed by a cell owner, whose own
            # allowance was charged.
            self._allowance.use_grant(name, time.monotonic())
        if self._pauses is not None:
            self._pauses.record_placement(name, time.monotonic())
        idle = not self.workload.own_running(name)
        self._response_monitor.record_request(name, idle, time.monotonic())
        if call.prompt is not None:
            self._candidates.record_cached_parts(call, name)
        return self.workload.start(name, placed.unread, placed.memory, number)

    def reserve_at(self, call: Call, server: BackendServer) -> Reservation:
        """Reserves capacity at a server that has the request's KV cache."""
        self._allowance.use_grant(server.id, time.monotonic())
        if self._pauses is not None:
            self._pauses.record_placement(server.id, time.monotonic())
        memory = call.prompt.tokens + self._needs.output_estimate(call).output
        run = self.workload.start(server.id, 0, memory)
        return Reservation(PlacementDecision(server, 0, memory), run)

    def reserve_migration_target(
        self, call: Call, avoid: frozenset[str]
    ) -> Reservation | None:
        """Reserves a server for a stream that must leave a draining server.

        All instances learn of a draining server at the same moment and see the
        same loads, so by load they would all choose the same server. The
        request's id chooses instead, among the servers of its kind: on servers
        of a more urgent kind it would preempt the requests there.
        """
        target = self._targets.migration_target(call, avoid)
        return None if target is None else self.reserve_at(call, target)

    def needs_faster_server(
        self, call: Call, server: BackendServer, events: int
    ) -> bool:
        """Returns whether a stream must move to finish in time.

        An engine with continuous prefill makes one token per prompt chunk, five
        times slower than one that only decodes. The prefill may end soon, so a
        stream stays for as long as a faster engine could still finish it.
        """
        return self._targets.needs_faster_server(call, server, events)

    def reserve_faster_server(
        self, call: Call, server: BackendServer, avoid: frozenset[str]
    ) -> Reservation | None:
        """Reserves a faster server for a stream that cannot finish where it is.

        Servers of all kinds qualify, because a stream whose prompt is prefilled
        does not lengthen the pauses of others. Request ids spread the streams
        over all faster servers.
        """
        target = self._targets.faster_server(call, server, avoid)
        return None if target is None else self.reserve_at(call, target)

    def remaining_s(
        self, call: Call, server: BackendServer, events: int
    ) -> float:
        """Returns the expected remaining time of a stream at its server."""
        return self._targets.remaining_s(call, server, events)

    def gone(self, server: str) -> None:
        """Deletes all state about a server that has ended."""
        self._usable.forget(server)
        self._candidates.forget(server)
        self.token_times.forget(server)
        self.capacities.forget(server)

    def tick(self, now: float) -> None:
        """Updates moving averages and, at intervals, the server split."""
        self.workload.expire(now)
        if now - self._splits_updated_at < SPLIT_INTERVAL_S:
            return
        self._splits_updated_at = now
        self.demand_meter.tick(now)
        self._kinds.update(now)
        for service, server, estimate in self.capacities.take_changes(now):
            self.on_speed_change(service, server, estimate)

    def own_demand(self) -> list[RouteDemand]:
        """Returns the demand of this instance's callers, to be shared."""
        return self._kinds.own_demand()

    def _record_steps(
        self, service: str, servers: list[str], now: float
    ) -> None:
        if self.measures_step_times:
            self._measurements.record_steps(service, servers, now)
