"""Chooses backend servers for requests from the state that an instance has."""

import dataclasses
import math
import time
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec
import xxhash

from jasminerelay import placing, rendezvous
from jasminerelay.admission import WaitEstimate
from jasminerelay.catalog import (
    BackendServer,
    Call,
    Engine,
    PromptPart,
)
from jasminerelay.enginemodel import EngineModels, EngineSpeeds
from jasminerelay.groups import (
    DemandMeter,
    ResourceNeed,
    ServerSplit,
    TotalDemand,
)
from jasminerelay.outputlengths import OutputLengths
from jasminerelay.placementqueue import LONGER_FACTOR, Reservation
from jasminerelay.placing import (
    OutputEstimate,
    PlacementCandidate,
    PlacementDecision,
    Wait,
)
from jasminerelay.prefix import CacheView, PrefixIndex, part_hash
from jasminerelay.registry import Registry
from jasminerelay.responsemonitor import ResponseMonitor
from jasminerelay.scheduling.brittleservers import InstanceUse
from jasminerelay.scheduling.fairshare import Headroom
from jasminerelay.scheduling.servercapacity import (
    FIRST_EVENT,
    PLAIN_REQUESTS_PER_SLOT,
    USUAL_SERVER,
    CapacityRecords,
    ServerCapacities,
    ServerView,
    StatedLoad,
)
from jasminerelay.scheduling.serverspeeds import SpeedEstimate
from jasminerelay.scheduling.sharedprefixes import (
    MIN_INSTANCES_TO_ANNOUNCE,
    PrefixAnnouncements,
)
from jasminerelay.scheduling.streamorigins import VERSION_GONE
from jasminerelay.schema.messages import (
    CachedParts,
    EngineSample,
    RouteDemand,
    ServerLoad,
)
from jasminerelay.serverlimits import Allowance
from jasminerelay.serverpauses import ServerPauses
from jasminerelay.stragglers import Stragglers
from jasminerelay.tokentimes import TokenTimes
from jasminerelay.workload import InFlightRequest, Workload

SPLIT_INTERVAL_S = 0.5
"""Interval at which the assignment of servers to kinds is computed again."""


US_PER_S = 1e6

TRIAL_INTERVAL = 32
TRIAL_SLOWNESS = 0.5
"""One of this many requests prefers servers that look slow and have not
responded of late, by that slowness. They are thus measured again also where the
others could serve all requests. A share of the requests does not grow with the
number of instances, as a fixed interval would."""

MIN_RATE = 0.01
"""Lower bound on the requests per second that rate-limited servers are assumed
to accept, in wait estimates."""

WAIT_ESTIMATE_MAX_AGE_S = 0.02
"""How long one wait estimate is used for all queued requests of a kind. Under a
burst dozens of requests are queued and examined thirty times a second;
computing it for each would take most of the processor."""

MAX_COPY_SOURCES = 4
"""Servers examined as the source of a prefix's copy. The latest ones are the
least likely to have evicted it."""

CURRENT_SERVER_SHARE = 0.85
"""Share of the time left that the rest of an answer may take at its present
engine before the stream is moved to a faster one."""

FAST_SERVER_SHARE = 0.4
"""Share of the time left that the rest of an answer may take at a fast engine
before the stream is moved there. Most streams that look too slow for a moment
finish where they are; moving each of them cost more than it saved."""

FASTER_TOKEN_SHARE = 0.6
"""Largest time per token of the target of a move, relative to that of the
present engine. A move costs a pause and the transfer of the KV cache."""

AHEAD_SHARE = 0.25
"""Largest number of tokens queued ahead, as a share of the request's own, at
which its time to first event is used to measure the engine. The number queued
ahead is known late and inexactly."""

UNDISTURBED_PREFILL_S = 0.1
"""Largest prefill backlog of an engine at which the time per token of its
streams is taken as its step time; between two short prompts more tokens are
undelayed than delayed."""

PAUSE_SHARE = 0.5
"""Share of the longest allowed pause that may pass in the engine; the rest is
for the network."""

VERSION_RETRY_S = 1.0
"""Retry-After where a stream can go on nowhere; a server may come back."""

OnSplit = Callable[
    [str, Mapping[str, tuple[str, ...]], Sequence[RouteDemand]], None
]

OnSpeedChange = Callable[[str, str, SpeedEstimate], None]
"""Called with service, server and estimate when a lasting factor changes."""


OwnPlaces = Callable[[str, Engine], int | None]
"""Returns how many requests this instance may place at a server alone; None if
no other instance places requests there."""


NO_ROOM = Wait("no capacity at the servers of its group", full=True)


@dataclasses.dataclass(frozen=True)
class _KindQueue:
    """Queueing state of the servers of one kind.

    Attributes:
        at: Monotonic time of the estimate.
        prefill_delay_s: Mean time of pending prefill at a server, by speed.
        share: Number of instances per server of usual speed.
        yielding_delay_s: Like `prefill_delay_s`, with the servers of kinds
            that yield to it.
        yielding_share: Like `share`, with those servers.
        token_s: Time per token in seconds at the fastest server where the
            stream may continue.
    """

    at: float
    prefill_delay_s: float
    share: float
    yielding_delay_s: float
    yielding_share: float
    token_s: float


class Dispatcher:
    """Chooses servers for requests; opens no connections.

    Attributes:
        announcements: Prompt parts to report to the other instances.
        measures_step_times: Whether step times are measured from the streams of
            this instance; otherwise cell owners receive them in reports.
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
        self._registry = registry
        self._zone = zone
        self._instances = instances
        self.workload = Workload()
        self.demand_meter = DemandMeter()
        self.demand = TotalDemand()
        self._splits: dict[str, ServerSplit] = {}
        self._kinds: dict[str, list[RouteDemand]] = {}
        self._splits_updated_at = float("-inf")
        self._health: dict[str, Stragglers] = {}
        self._prefixes = PrefixIndex()
        self.announcements = PrefixAnnouncements()
        self._caches = caches
        self._allowance = Allowance() if allowance is None else allowance
        self._pauses = pauses
        self.lengths = lengths or OutputLengths()
        self._response_monitor = response_monitor or ResponseMonitor()
        self.token_times = TokenTimes()
        self.engine_models = engines or EngineModels()
        self._kind_queues: dict[tuple[str, str, str | None], _KindQueue] = {}
        self.measures_step_times = True
        self.out_of_reach: Callable[[str], bool] = lambda server: False
        self.own_places: OwnPlaces = lambda server, engine: None
        self.on_split_change: OnSplit = lambda service, groups, demand: None
        self.capacities = CapacityRecords()
        self.on_speed_change: OnSpeedChange = lambda *found: None

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
        for item in cached:
            self._prefixes.add(item.server, tuple(item.parts))

    def record_response(self, server: str, now: float) -> None:
        """Records that a server sent some response, whatever it was."""
        self._response_monitor.record_response(server, now)

    def silent(self, server: str, now: float) -> bool:
        """Returns whether a server is unresponsive to this instance."""
        own = self.workload.own_running(server)
        return self._response_monitor.silent(server, own, now)

    def silent_servers(self, now: float) -> list[str]:
        """Returns the servers that are unresponsive to this instance."""
        used = dict.fromkeys(run.server for run in self.workload.runs.values())
        return [server for server in used if self.silent(server, now)]

    def reports_silent(self, server: str, now: float) -> bool:
        """Returns whether other instances may be told of a silent server.

        If most of the servers that this instance uses are silent, it has more
        likely lost its own links.
        """
        if not self.silent(server, now) or self.out_of_reach(server):
            return False
        used = {run.server for run in self.workload.runs.values()}
        return 2 * len(self.silent_servers(now)) <= len(used)

    def record_statement(
        self, service: str, server: str, stated: StatedLoad, now: float
    ) -> None:
        """Records what a server states about itself, here or to an instance."""
        running = self.workload.load(server).running
        capacities = self.capacities.of(service)
        capacities.record_statement(server, stated, now)
        # Plain servers are given requests to wait there.
        if self.engine_of(service) is not None:
            capacities.record_queue(server, running, stated.waiting, now)

    def record_rejection(
        self, service: str, server: str, now: float, count: int = 1
    ) -> None:
        """Records that a server rejected requests for lack of capacity."""
        capacities = self.capacities.of(service)
        running = self.workload.load(server).running
        running += math.ceil(capacities.unknown_requests(server, now))
        slots = self._slots_of(service, server)
        capacities.record_rejection(server, slots, running, now, count)
        capacities.brittle.record_rejection(server, self._instances(), now)

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
        if self.engine_of(call.service) is not None:
            return
        self.capacities.of(call.service).record_answer(
            server.id,
            call.route.name,
            server.slots,
            running,
            seconds,
            time.monotonic(),
        )

    def _slots_of(self, service: str, server: str) -> int:
        engine = self.engine_of(service)
        if engine is not None:
            return engine.slots
        held = self._registry.server(server)
        slots = held.slots if held is not None else 1
        return PLAIN_REQUESTS_PER_SLOT * slots

    def health(self, service: str) -> Stragglers:
        """Returns the failure records of a service's servers."""
        return self._health.setdefault(service, Stragglers())

    def engine_of(self, service: str) -> Engine | None:
        """Returns a service's engine settings; None for a plain service."""
        catalog = self._registry.catalog
        held = catalog.services.get(service) if catalog else None
        return held.engine if held else None

    def is_in_use(self, server: BackendServer) -> bool:
        """Returns whether a server is listed and does not shut down."""
        held = self._registry.server(server.id)
        return held is not None and not held.draining

    def exceeds_memory(self, call: Call) -> bool:
        """Returns whether a prompt is larger than the memory of any server."""
        engine = self.engine_of(call.service)
        if call.prompt is None or engine is None or not engine.cache_tokens:
            return False
        return call.prompt.tokens > engine.cache_tokens

    def record_arrival(self, call: Call) -> None:
        """Records the arrival of a request."""
        if call.prompt is None:
            return
        engine = self.engine_of(call.service)
        if engine is not None:
            model = self.engine_models.of(call.service)
            model.set_initial_estimate(engine, call.route, call.prompt.tokens)
        kind = call.route.name
        resources = self._resource_need(call)
        self.demand_meter.record(call.service, kind, call.route.rank, resources)
        split = self._splits.get(call.service)
        if split is None or not split.group(kind):
            self._update_splits(time.monotonic())

    def busy_s(self, call: Call) -> float:
        """Returns how long a request occupies a server."""
        if call.prompt is None:
            return call.route.objective_s / 4
        return self._need_time_s(call.service, self._resource_need(call))

    def actual_busy_s(self, call: Call, output: int) -> float:
        """Returns how long a request with some output occupied a server."""
        if call.prompt is None:
            return self.busy_s(call)
        prompt = call.prompt
        need = ResourceNeed(prompt.own_tokens, output, prompt.tokens + output)
        return self._need_time_s(call.service, need)

    def first_s(self, call: Call) -> float:
        """Returns the expected time from placement to the first event."""
        if call.prompt is None:
            return 0.0
        speeds = self._speeds(call.service)
        return placing.KNOWN_PREFILL_LIMIT_S + speeds.first_s(
            call.prompt.own_tokens
        )

    def headroom(self, call: Call) -> Headroom:
        """Returns the capacity at the servers of a request's kind.

        Pending prefill is not counted: it is done within a second, while slots
        and cache are occupied for a whole answer.
        """
        servers = self.servers_for(call)
        engine = self.engine_of(call.service)
        if call.prompt is not None and engine is not None:
            servers = self._group(call.service, call.route.name, servers)
        free = 0.0
        running = own = 0
        for server in servers:
            load = self.workload.load(server.id)
            running += load.running
            own += self.workload.own_running(server.id)
            if call.prompt is None or engine is None:
                free += placing.free_plain(server, load)
            else:
                output = self._output_estimate(call).output
                memory = call.prompt.tokens + output
                free += placing.free_requests(engine, load, memory)
        return Headroom(free, free + running, own, self._instances())

    def servers_for(self, call: Call) -> list[BackendServer]:
        """Returns the servers at which a request may run, or go on."""
        servers = self._registry.servers_of(call.service)
        if call.software_version is None:
            return servers
        return [server for server in servers if call.may_run_at(server)]

    def place(
        self, call: Call, avoid: frozenset[str]
    ) -> PlacementDecision | Wait:
        """Chooses a server for a request, or decides that it must wait."""
        allowed = self.servers_for(call)
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
                retry_s=self.pause_s(call.service),
            )
        if self._pauses:
            return self._place_with_pauses(call, servers)
        return self._place_accepting(call, servers)

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
        unlimited = self._unlimited(servers)
        if len(unlimited) == len(servers):
            return self._place_among(call, servers)
        return self._place_with_limits(call, servers, unlimited)

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
        engine = self.engine_of(call.service)
        if call.prompt is None or engine is None:
            options = self._options(call, servers)
            return placing.place_plain(
                call, _unblock_if_all_blocked(options), self._zone
            )
        group = self._group(call.service, call.route.name, servers)
        now = time.monotonic()
        group_failed = self._all_blocked(call.service, group, now)
        placed = NO_ROOM
        if group_failed or self._with_room(call, engine, group):
            options = self._options(call, group)
            if group_failed and self._all_blocked(call.service, servers, now):
                options = _unblock_if_all_blocked(options)
                group_failed = False
            placed = self._place_model(call, engine, servers, options, now)
        if isinstance(placed, PlacementDecision):
            return placed
        yielding = self._yielding_servers(call, now)
        allowed_ids = self._overflow_servers(call) | yielding
        if group_failed or self._may_use_any_server(call, now):
            allowed_ids |= {server.id for server in servers}
        if call.software_version is not None:
            # Its version may have no other servers.
            allowed_ids |= {server.id for server in servers}
        allowed_ids.difference_update(server.id for server in group)
        others = [server for server in servers if server.id in allowed_ids]
        others = self._with_room(call, engine, others)
        if not others:
            return placed
        max_concurrent = self._max_concurrent_prefill(call.service)
        allowed = max_concurrent - call.prompt.tokens
        found = self._options(call, others)
        options = [item for item in found if item.server.id in yielding]
        options += placing.with_prefill_at_most(
            [item for item in found if item.server.id not in yielding], allowed
        )
        return self._place_model(call, engine, servers, options, now)

    def _with_room(
        self, call: Call, engine: Engine, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Returns the servers that may have capacity for a request."""
        speeds = self._speeds(call.service)
        memory = call.prompt.tokens + self._output_estimate(call).output
        return [
            server
            for server in servers
            if placing.may_have_room(
                engine, speeds, self.workload.load(server.id), memory
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
            options = [self._with_own_places(x, engine) for x in options]
        return placing.place_model(
            call,
            engine,
            self._speeds(call.service),
            options,
            self._output_estimate(call),
            now,
            self._other_prefix_holders(call, servers, options),
        )

    def _with_own_places(
        self, item: PlacementCandidate, engine: Engine
    ) -> PlacementCandidate:
        """Returns a server with the places that are left to this instance."""
        places = self.own_places(item.server.id, engine)
        if places is None:
            return item
        left = places - self.workload.placed_alone(item.server.id)
        return dataclasses.replace(item, own_places=left)

    def _other_prefix_holders(
        self,
        call: Call,
        servers: list[BackendServer],
        candidates: list[PlacementCandidate],
    ) -> list[PlacementCandidate]:
        """Returns servers besides the candidates that have the prefix cached.

        They are no choice for the request, but its prefix can be copied from
        them. A kind with few servers finds its prefixes at those of other kinds
        after each change of the split.
        """
        shared = call.prompt.shared_parts
        if not shared:
            return []
        view = self._prefixes if self._caches is None else self._caches
        names = view.holders(part_hash(shared[-1].id))[:MAX_COPY_SOURCES]
        names = set(names) - {item.server.id for item in candidates}
        if not names:
            return []
        others = [server for server in servers if server.id in names]
        return [x for x in self._options(call, others) if not x.blocked]

    def _options(
        self, call: Call, servers: list[BackendServer]
    ) -> list[PlacementCandidate]:
        now = time.monotonic()
        comparison = self.token_times.compare(
            (item.id for item in servers), now
        )
        shared = call.prompt.shared_parts if call.prompt is not None else ()
        part_hashes = tuple(part_hash(part.id) for part in shared)
        engine = self.engine_of(call.service)
        capacities = self.capacities.of(call.service)
        views = [
            capacities.view(
                server.id,
                engine.slots
                if engine
                else PLAIN_REQUESTS_PER_SLOT * server.slots,
                now,
            )
            for server in servers
        ]
        if capacities.brittle:
            views = [
                _with_limit(
                    view,
                    capacities.brittle.instance_limit(
                        server.id,
                        engine.slots if engine else server.slots,
                        self._use_of(server.id),
                        now,
                    ),
                )
                for view, server in zip(views, servers, strict=True)
            ]
        if views.count(USUAL_SERVER) < len(views) and _is_trial(call):
            views = [
                dataclasses.replace(view, slowness=TRIAL_SLOWNESS)
                if view.slowness > 1.0 and capacities.trial_due(server.id, now)
                else view
                for view, server in zip(views, servers, strict=True)
            ]
        return [
            PlacementCandidate(
                server,
                self.workload.load(server.id),
                self._cached_tokens(server.id, shared, part_hashes),
                comparison.slowness(server.id),
                comparison.token_s[server.id],
                self._blocked(call.service, server.id, now),
                self._caches is not None,
                view.slowness,
                view.limit,
                view.unknown,
            )
            for server, view in zip(servers, views, strict=True)
        ]

    def _use_of(self, server: str) -> InstanceUse:
        return InstanceUse(
            self.workload.own_running(server),
            self.workload.load(server).running,
            self._instances(),
        )

    def _cached_tokens(
        self,
        server: str,
        shared: Sequence[PromptPart],
        part_hashes: tuple[int, ...],
    ) -> int:
        if not part_hashes:
            return 0
        view = self._prefixes if self._caches is None else self._caches
        count = view.matched(server, part_hashes)
        return sum(part.tokens for part in shared[:count])

    def _blocked(self, service: str, server: str, now: float) -> bool:
        health = self.health(service)
        if health.blocked(server, now):
            return True
        if self.silent(server, now):
            return True
        # After the back-off a server gets one request at a time.
        busy = self.workload.load(server).running > 0
        return busy and health.probing(server)

    def _all_blocked(
        self, service: str, servers: list[BackendServer], now: float
    ) -> bool:
        return all(self._blocked(service, item.id, now) for item in servers)

    def _overflow_servers(self, call: Call) -> set[str]:
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

    def _yielding_servers(self, call: Call, now: float) -> set[str]:
        """Returns the servers of longer, less urgent kinds for a late request.

        There it does what each request of those kinds does, and less of it.
        """
        if now - call.arrived_at <= call.route.objective_s:
            return set()
        return self._servers_yielding_to(call.service, call.route.name)

    def _may_use_any_server(self, call: Call, now: float) -> bool:
        """Returns whether a request may use the servers of any kind.

        Only a request that is past its objective and has a short prompt may:
        longer pauses cost it little, and its prefill is too short to delay the
        streams of other kinds.
        """
        late = now - call.arrived_at > call.route.objective_s
        return late and call.prompt.tokens <= self._max_concurrent_prefill(
            call.service
        )

    def _max_concurrent_prefill(self, service: str) -> float:
        """Returns how many prompt tokens may be prefilled beside any stream.

        Prefill delays the tokens of concurrent streams; the route with the
        shortest allowed pause sets the bound.
        """
        catalog = self._registry.catalog
        engine = self.engine_of(service)
        pauses = [
            route.pause_s
            for route in (catalog.routes if catalog else ())
            if route.pause_s and route.serves(service)
        ]
        if not pauses or engine is None:
            return float("inf")
        speeds = self._speeds(service)
        if not speeds.read_token_s:
            return 0.0
        event_s = engine.event_tokens * speeds.token_s(engine.slots / 2)
        left_s = max(0.0, min(pauses) * PAUSE_SHARE - event_s)
        return left_s / speeds.read_token_s

    def _speeds(self, service: str) -> EngineSpeeds:
        return self.engine_models.of(service).speeds()

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
        if not placed.prefill_known:
            return
        now = time.monotonic()
        tokens = ahead + placed.unread
        server = placed.server.id
        capacities = self.capacities.of(call.service)
        model = self.engine_models.of(call.service)
        capacities.record_work_time(
            server,
            FIRST_EVENT,
            self._slots_of(call.service, server),
            self.workload.load(server).running,
            seconds / max(1, tokens),
            now,
        )
        # Part of the tokens ahead is already prefilled, and the number comes
        # from other instances' reports, so they must not dominate the
        # measurement.
        if ahead > placed.unread * AHEAD_SHARE:
            return
        expected_s = model.speeds().first_s(tokens)
        if model.prefill_measured and expected_s > 0:
            capacities.record_first_event(server, seconds / expected_s, now)
        seconds /= capacities.speeds.lasting(server, now)
        sample = EngineSample(call.service, True, tokens, seconds)
        self.engine_models.add_local_sample(sample, now)

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
            self._record_cached_parts(call, name)
        return self.workload.start(name, placed.unread, placed.memory, number)

    def _record_cached_parts(self, call: Call, server: str) -> None:
        parts = call.prompt.parts
        part_hashes = [part_hash(part.id) for part in parts]
        engine = self.engine_of(call.service)
        if self._caches is None or engine is None:
            if self._instances() >= MIN_INSTANCES_TO_ANNOUNCE:
                shared = part_hashes[: len(call.prompt.shared_parts)]
                known = self._prefixes.matched(server, shared)
                self.announcements.record(server, shared[known:])
            self._prefixes.add(server, tuple(part_hashes))
            return
        tokens = [part.tokens for part in parts]
        tokens[-1] += self._output_estimate(call).output
        self._caches.add(
            server,
            list(zip(part_hashes, tokens, strict=True)),
            engine.cache_tokens,
        )

    def reserve_at(self, call: Call, server: BackendServer) -> Reservation:
        """Reserves capacity at a server that has the request's KV cache."""
        self._allowance.use_grant(server.id, time.monotonic())
        if self._pauses is not None:
            self._pauses.record_placement(server.id, time.monotonic())
        memory = call.prompt.tokens + self._output_estimate(call).output
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
        engine = self.engine_of(call.service)
        servers = self._migration_targets(call, avoid)
        if engine is None or not servers:
            return None
        memory = call.prompt.tokens + self._output_estimate(call).output
        group = self._group(call.service, call.route.name, servers)
        options = _unblock_if_all_blocked(self._options(call, group))
        available = [
            item.server
            for item in options
            if not item.blocked
            and placing.has_capacity(
                engine, self._speeds(call.service), item, memory
            )
        ]
        # A full server is better than none: without one the stream breaks off.
        by_id = {item.id: item for item in available or group}
        return self.reserve_at(call, by_id[rendezvous.owner(call.id, by_id)])

    def _migration_targets(
        self, call: Call, avoid: frozenset[str]
    ) -> list[BackendServer]:
        now = time.monotonic()
        servers = self.servers_for(call)
        avoid |= self.paused(server.id for server in servers)
        return [
            server
            for server in servers
            if server.id not in avoid
            and self._allowance.may_send(server.id, now)
        ]

    def _unlimited(self, servers: list[BackendServer]) -> list[BackendServer]:
        if not self._allowance.limits:
            return servers
        return [x for x in servers if not self._allowance.is_limited(x.id)]

    def _without_recovering(
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

    def _without_unavailable(
        self, service: str, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Returns the servers that count as capacity, of some; all if none.

        A kind whose few servers have all crashed would otherwise wait for them
        until their rows expire, while other kinds' servers have capacity.
        """
        health = self.health(service)
        return [x for x in servers if not health.unavailable(x.id)] or servers

    def needs_faster_server(
        self, call: Call, server: BackendServer, events: int
    ) -> bool:
        """Returns whether a stream must move to finish in time.

        An engine with continuous prefill makes one token per prompt chunk, five
        times slower than one that only decodes. The prefill may end soon, so a
        stream stays for as long as a faster engine could still finish it.
        """
        engine = self.engine_of(call.service)
        if engine is None or not engine.supports_moves:
            return False
        left_s = (
            call.answer_deadline - time.monotonic()
        ) * CURRENT_SERVER_SHARE
        if self.remaining_s(call, server, events) < left_s:
            return False
        speeds = self._speeds(call.service)
        token_s = speeds.token_s(engine.slots / 2)
        return (
            self._remaining_tokens(call, events) * token_s
            > left_s * FAST_SERVER_SHARE
        )

    def reserve_faster_server(
        self, call: Call, server: BackendServer, avoid: frozenset[str]
    ) -> Reservation | None:
        """Reserves a faster server for a stream that cannot finish where it is.

        Servers of all kinds qualify, because a stream whose prompt is prefilled
        does not lengthen the pauses of others. Request ids spread the streams
        over all faster servers.
        """
        engine = self.engine_of(call.service)
        now = time.monotonic()
        memory = call.prompt.tokens + self._output_estimate(call).output
        speeds = self._speeds(call.service)
        current_token_s = (
            self.token_times.token_s(server.id, now) or speeds.step_s
        )
        others = self._migration_targets(call, avoid)
        by_id = {
            item.server.id: item.server
            for item in self._options(call, others)
            if not item.blocked
            and placing.has_capacity(engine, speeds, item, memory)
            and (item.token_s or 0.0) < current_token_s * FASTER_TOKEN_SHARE
        }
        if not by_id:
            return None
        return self.reserve_at(call, by_id[rendezvous.owner(call.id, by_id)])

    def remaining_s(
        self, call: Call, server: BackendServer, events: int
    ) -> float:
        """Returns the expected remaining time of a stream at its server."""
        engine = self.engine_of(call.service)
        if engine is None:
            return 0.0
        seconds_per_token = self.token_times.token_s(
            server.id, time.monotonic()
        )
        seconds_per_token = (
            seconds_per_token or self._speeds(call.service).step_s
        )
        return self._remaining_tokens(call, events) * seconds_per_token

    def _remaining_tokens(self, call: Call, events: int) -> float:
        estimate = self._output_estimate(call)
        done = events * self.engine_of(call.service).event_tokens
        # A stream that exceeds its estimate probably goes on for long, the
        # longer the more it has produced.
        return max(estimate.output - done, estimate.typical / 2, done / 2)

    def expect(self, call: Call, ahead_s: float) -> WaitEstimate:
        """Returns a wait estimate for a queued request."""
        now = time.monotonic()
        left_s = call.answer_deadline - now
        servers = self.servers_for(call)
        if not servers:
            # The next update of the registry may bring servers; a short wait
            # costs the caller less than a retry.
            return WaitEstimate(
                now - call.arrived_at, 0.0, call.route.objective_s
            )
        servers = self._unlimited(self._without_recovering(servers))
        if not servers:
            return self._expect_limited(call, ahead_s, left_s)
        if call.prompt is None:
            slots = _slots(servers, self.capacities.of(call.service), now)
            queue_delay_s = ahead_s * self._instances() / slots
            return WaitEstimate(
                queue_delay_s, call.route.objective_s / 3, left_s
            )
        queue = self._kind_queue(
            call.service, call.route.name, call.software_version, servers, now
        )
        queue_delay_s = queue.prefill_delay_s + ahead_s * queue.share
        # Once it is late, longer requests of less urgent kinds yield.
        late_s = call.arrived_at + call.route.objective_s - now
        queue_delay_s = min(
            queue_delay_s,
            max(late_s, ahead_s * queue.yielding_share)
            + queue.yielding_delay_s,
        )
        first_s = self._speeds(call.service).first_s(call.prompt.own_tokens)
        output: float = self._output_estimate(call).output
        if call.events_done and self.engine_of(call.service) is not None:
            output = self._remaining_tokens(call, call.events_done)
        own_s = first_s + output * queue.token_s
        waits_since = call.waits_since or call.arrived_at
        idle_timeout_s = waits_since + call.route.caller_idle_timeout_s - now
        return WaitEstimate(
            queue_delay_s, own_s, left_s, first_s, idle_timeout_s
        )

    def _expect_limited(
        self, call: Call, ahead_s: float, left_s: float
    ) -> WaitEstimate:
        """Returns a wait estimate where every server has a rate limit."""
        servers = self.servers_for(call)
        limits = self._allowance.limits
        rate = sum(limits.get(server.id, 0.0) for server in servers)
        busy_s = self.busy_s(call)
        requests_ahead = ahead_s / busy_s if busy_s else 0.0
        delay_s = (1 + requests_ahead) * self._instances() / max(rate, MIN_RATE)
        return WaitEstimate(delay_s, busy_s, left_s)

    def queue_delay_s(self, service: str, kind: str, queued_s: float) -> float:
        """Returns the expected queueing delay of a new model request.

        Args:
            service: Its service.
            kind: Its kind.
            queued_s: Engine time of the queued requests of its kind.
        """
        servers = self._unlimited(self._registry.servers_of(service))
        if not servers:
            return math.inf
        queue = self._kind_queue(service, kind, None, servers, time.monotonic())
        return queue.prefill_delay_s + queued_s * queue.share

    def _kind_queue(
        self,
        service: str,
        kind: str,
        version: str | None,
        servers: list[BackendServer],
        now: float,
    ) -> "_KindQueue":
        key = (service, kind, version)
        held = self._kind_queues.get(key)
        if held is not None and now - held.at < WAIT_ESTIMATE_MAX_AGE_S:
            return held
        working = self._without_unavailable(service, servers)
        names = [item.id for item in self._group(service, kind, working)]
        # If streams can be moved, a long answer can continue at any server,
        # also one without prefill.
        engine = self.engine_of(service)
        moves = engine is not None and engine.supports_moves
        decoding = [item.id for item in servers] if moves else names
        unread = sum(self.workload.load(name).unread for name in names)
        speeds = self._speeds(service)
        capacities = self.capacities.of(service)
        speed_sum = capacities.speed_sum(names, now)
        yielding = self._servers_yielding_to(service, kind)
        wide = [
            item.id
            for item in working
            if item.id in names or item.id in yielding
        ]
        wide_unread = sum(self.workload.load(name).unread for name in wide)
        wide_speed_sum = capacities.speed_sum(wide, now)
        self._kind_queues[key] = _KindQueue(
            now,
            speeds.prefill_s(unread) / speed_sum,
            self._instances() / speed_sum,
            speeds.prefill_s(wide_unread) / wide_speed_sum,
            self._instances() / wide_speed_sum,
            min(
                self.token_times.token_s(name, now)
                or speeds.step_s * capacities.slowness(name, now)
                for name in decoding
            ),
        )
        return self._kind_queues[key]

    def _servers_yielding_to(self, service: str, kind: str) -> set[str]:
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

    def gone(self, server: str) -> None:
        """Deletes all state about a server that has ended."""
        for health in self._health.values():
            health.forget(server)
        self._prefixes.forget(server)
        if self._caches is not None:
            self._caches.forget(server)
        self.token_times.forget(server)
        self.capacities.forget(server)
        self._response_monitor.forget(server)

    def tick(self, now: float) -> None:
        """Updates moving averages and, at intervals, the server split."""
        self.workload.expire(now)
        if now - self._splits_updated_at < SPLIT_INTERVAL_S:
            return
        self._splits_updated_at = now
        self.demand_meter.tick(now)
        self._update_splits(now)
        for service, server, estimate in self.capacities.take_changes(now):
            self.on_speed_change(service, server, estimate)

    def own_demand(self) -> list[RouteDemand]:
        """Returns the demand of this instance's callers, to be shared."""
        return self.demand_meter.demand(self._need_time_s)

    def _resource_need(self, call: Call) -> ResourceNeed:
        output = self._output_estimate(call).output
        prompt = call.prompt
        return ResourceNeed(prompt.own_tokens, output, prompt.tokens + output)

    def _need_time_s(self, service: str, need: ResourceNeed) -> float:
        engine = self.engine_of(service)
        if engine is None:
            return 0.0
        return self._speeds(service).busy_s(
            engine, need.unread, need.output, need.memory
        )

    def _output_estimate(self, call: Call) -> OutputEstimate:
        kind = call.route.name
        prompt = call.prompt
        max_output = prompt.max_output
        engine = self.engine_of(call.service)
        if engine is not None and engine.cache_tokens:
            # A server ends an answer that no longer fits into its memory.
            room = engine.cache_tokens - prompt.tokens
            max_output = max(0, min(max_output, room))
        return OutputEstimate(
            self.lengths.expect(kind, prompt.expected_output, max_output),
            self.lengths.typical(kind, max_output),
        )

    def _update_splits(self, now: float) -> None:
        self.demand.update("", self.own_demand(), now)
        catalog = self._registry.catalog
        for name in catalog.services if catalog else ():
            there = self._registry.servers_of(name)
            # Servers with a rate limit get too little traffic to count as
            # capacity.
            unlimited = self._unlimited(there) or there
            recovered = self._without_recovering(unlimited)
            capacity = self._without_unavailable(name, recovered)
            servers = [item.id for item in capacity]
            if self.measures_step_times:
                self._record_steps(name, servers, now)
            demand = self.demand.total(name, now)
            self._kinds[name] = demand
            split = self._splits.setdefault(name, ServerSplit())
            capacities = self.capacities.of(name)
            if split.update(servers, demand, capacities.uneven_speeds(now)):
                self.on_split_change(name, split.groups, demand)

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
        load = self.workload.load(server)
        prefill_s = self._speeds(service).prefill_s(load.unread)
        if not load.running or prefill_s > UNDISTURBED_PREFILL_S:
            return
        capacities = self.capacities.of(service)
        model = self.engine_models.of(service)
        expected_s = model.speeds().token_s(load.running)
        if model.steps_measured and expected_s > 0:
            capacities.record_step(server, step_s / expected_s, now)
        step_s /= capacities.speeds.lasting(server, now)
        sample = EngineSample(service, False, load.running, step_s)
        self.engine_models.add_local_sample(sample, now)

    def _record_steps(
        self, service: str, servers: list[str], now: float
    ) -> None:
        for name in servers:
            step_s = self.token_times.step_time_s(name)
            if step_s is not None:
                self.record_step_time(service, name, step_s, now)

    def _group(
        self, service: str, kind: str, servers: list[BackendServer]
    ) -> list[BackendServer]:
        split = self._splits.get(service)
        names = set(split.group(kind)) if split else ()
        health = self.health(service)
        # An unavailable server belongs to no kind. After its back-off it is
        # probed by any, or it would stay out for good.
        group = [
            server
            for server in servers
            if server.id in names or health.unavailable(server.id)
        ]
        return group or servers


def _with_limit(view: ServerView, limit: int) -> ServerView:
    """Returns a view with one more limit; 0 for none."""
    if not limit or 0 < view.limit <= limit:
        return view
    return dataclasses.replace(view, limit=limit)


def _is_trial(call: Call) -> bool:
    """Returns whether a request may try a server that looks slow."""
    return xxhash.xxh32_intdigest(call.id.encode()) % TRIAL_INTERVAL == 0


def _unblock_if_all_blocked(
    options: list[PlacementCandidate],
) -> list[PlacementCandidate]:
    # When every server has failed recently, one that may fail again is better
    # than none: refusing everything would turn a short fault into an outage.
    if options and all(item.blocked for item in options):
        return [dataclasses.replace(item, blocked=False) for item in options]
    return options


def _slots(
    servers: list[BackendServer], capacities: ServerCapacities, now: float
) -> float:
    """Returns the slots of servers, counted by speed."""
    return max(
        1.0,
        sum(
            server.slots / capacities.slowness(server.id, now)
            for server in servers
        ),
    )
