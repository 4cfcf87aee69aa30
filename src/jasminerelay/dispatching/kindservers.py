"""The servers of each kind of model request, assigned by demand.

Load handled: kinds that need more servers than they have, and prompts whose
prefill would delay the streams of other kinds.
"""

import time
from collections.abc import Callable, Mapping, Sequence

from jasminerelay.catalog import BackendServer, Call
from jasminerelay.dispatching.requestneeds import RequestNeeds
from jasminerelay.dispatching.usableservers import UsableServers
from jasminerelay.enginemodel import EngineModels
from jasminerelay.groups import DemandMeter, ServerSplit, TotalDemand
from jasminerelay.placing import LONGER_FACTOR
from jasminerelay.registry import Registry
from jasminerelay.scheduling.servercapacity import CapacityRecords
from jasminerelay.schema.messages import RouteDemand

PAUSE_SHARE = 0.5
"""Share of the longest allowed pause that may pass in the engine; the rest is
for the network."""

OnSplit = Callable[
    [str, Mapping[str, tuple[str, ...]], Sequence[RouteDemand]], None
]
"""Called with service, servers by kind and demand when a split changes."""

RecordSteps = Callable[[str, list[str], float], None]
"""Measures the step times of a service's servers at a monotonic time."""


class KindServers:
    """Assigns the servers of each service to kinds of requests.

    Attributes:
        demand_meter: Measures the demand of this instance's callers.
        demand: Demand at all instances.
    """

    def __init__(
        self,
        registry: Registry,
        usable: UsableServers,
        needs: RequestNeeds,
        engine_models: EngineModels,
        capacities: CapacityRecords,
        record_steps: RecordSteps,
        on_split_change: OnSplit,
    ):
        """Creates the assignment without any kind.

        Args:
            registry: Configuration and servers.
            usable: The servers that count as capacity.
            needs: What requests need.
            engine_models: Performance models of the engines.
            capacities: Speeds of the servers.
            record_steps: Called for each service before it is split.
            on_split_change: Called when a split changes.
        """
        self._registry = registry
        self._usable = usable
        self._needs = needs
        self._engine_models = engine_models
        self._capacities = capacities
        self._record_steps = record_steps
        self._on_split_change = on_split_change
        self.demand_meter = DemandMeter()
        self.demand = TotalDemand()
        self._splits: dict[str, ServerSplit] = {}
        self._kinds: dict[str, list[RouteDemand]] = {}

    def record_arrival(self, call: Call) -> None:
        """Records the arrival of a request."""
        if call.prompt is None:
            return
        engine = self._usable.engine_of(call.service)
        if engine is not None:
            model = self._engine_models.of(call.service)
            model.set_initial_estimate(engine, call.route, call.prompt.tokens)
        kind = call.route.name
        resources = self._needs.resource_need(call)
        self.demand_meter.record(call.service, kind, call.route.rank, resources)
        split = self._splits.get(call.service)
        if split is None or not split.group(kind):
            self.update(time.monotonic())

    def own_demand(self) -> list[RouteDemand]:
        """Returns the demand of this instance's callers, to be shared."""
        return self.demand_meter.demand(self._needs.need_time_s)

    def update(self, now: float) -> None:
        """Assigns the servers of all services again."""
        self.demand.update("", self.own_demand(), now)
        catalog = self._registry.catalog
        for name in catalog.services if catalog else ():
            there = self._registry.servers_of(name)
            # Servers with a rate limit get too little traffic to count as
            # capacity.
            unlimited = self._usable.unlimited(there) or there
            recovered = self._usable.without_recovering(unlimited)
            capacity = self._usable.without_unavailable(name, recovered)
            servers = [item.id for item in capacity]
            self._record_steps(name, servers, now)
            demand = self.demand.total(name, now)
            self._kinds[name] = demand
            split = self._splits.setdefault(name, ServerSplit())
            capacities = self._capacities.of(name)
            if split.update(servers, demand, capacities.uneven_speeds(now)):
                self._on_split_change(name, split.groups, demand)

    def group(
        self, service: str, kind: str, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Returns the servers of a kind, of some; all if none are."""
        split = self._splits.get(service)
        names = set(split.group(kind)) if split else ()
        health = self._usable.health(service)
        # An unavailable server belongs to no kind. After its back-off it is
        # probed by any, or it would stay out for good.
        group = [
            server
            for server in servers
            if server.id in names or health.unavailable(server.id)
        ]
        return group or servers

    def overflow_servers(self, call: Call) -> set[str]:
        """Returns other kinds' servers that a request may use at once.

        A cell has few servers, so a kind that needs one and a half gets one,
        with queueing, or two; and the split lags a burst by a second or two.
        A kind may therefore use the servers of kinds of lower priority, except
        those of the kind with the longest prompts, whose prefill would cause
        pauses that are too long.
        """
        split = self._splits.get(call.service)
        if split is None:
            return set()
        kinds = self._kinds.get(call.service, ())
        longest = max((item.size for item in kinds), default=0.0)
        own = {x.rank for x in kinds if x.kind == call.route.name}
        return {
            name
            for item in kinds
            if item.size < longest and item.rank > min(own, default=item.rank)
            for name in split.group(item.kind)
        }

    def yielding_servers(self, call: Call, now: float) -> set[str]:
        """Returns the servers of longer, less urgent kinds for a late request.

        There it does what each request of those kinds does, and less of it.
        """
        if now - call.arrived_at <= call.route.objective_s:
            return set()
        return self.servers_yielding_to(call.service, call.route.name)

    def servers_yielding_to(self, service: str, kind: str) -> set[str]:
        """Returns the servers of kinds that yield to a late request of a kind.

        They are less urgent, and their requests over twice as long.
        """
        kinds = self._kinds.get(service, ())
        own = next((x for x in kinds if x.kind == kind), None)
        split = self._splits.get(service)
        if own is None or split is None:
            return set()
        return {
            name
            for item in kinds
            if item.rank > own.rank and item.size > LONGER_FACTOR * own.size
            for name in split.group(item.kind)
        }

    def may_use_any_server(self, call: Call, now: float) -> bool:
        """Returns whether a request may use the servers of any kind.

        Only a request that is past its objective and has a short prompt may:
        longer pauses cost it little, and its prefill is too short to delay the
        streams of other kinds.
        """
        late = now - call.arrived_at > call.route.objective_s
        return late and call.prompt.tokens <= self.max_concurrent_prefill(
            call.service
        )

    def max_concurrent_prefill(self, service: str) -> float:
        """Returns how many prompt tokens may be prefilled beside any stream.

        Prefill delays the tokens of concurrent streams; the route with the
        shortest allowed pause sets the bound.
        """
        catalog = self._registry.catalog
        engine = self._usable.engine_of(service)
        pauses = [
            route.pause_s
            for route in (catalog.routes if catalog else ())
            if route.pause_s and route.serves(service)
        ]
        if not pauses or engine is None:
            return float("inf")
        speeds = self._needs.speeds(service)
        if not speeds.read_token_s:
            return 0.0
        event_s = engine.event_tokens * speeds.token_s(engine.slots / 2)
        left_s = max(0.0, min(pauses) * PAUSE_SHARE - event_s)
        return left_s / speeds.read_token_s
