"""How long a queued request waits for a server."""

import dataclasses
import math
import time
from collections.abc import Callable

from jasminerelay.admission import WaitEstimate
from jasminerelay.catalog import BackendServer, Call
from jasminerelay.dispatching.kindservers import KindServers
from jasminerelay.dispatching.requestneeds import RequestNeeds
from jasminerelay.dispatching.usableservers import UsableServers
from jasminerelay.registry import Registry
from jasminerelay.scheduling.servercapacity import (
    CapacityRecords,
    ServerCapacities,
)
from jasminerelay.serverlimits import Allowance
from jasminerelay.tokentimes import TokenTimes
from jasminerelay.workload import Workload

MIN_RATE = 0.01
"""Lower bound on the requests per second that rate-limited servers are assumed
to accept, in wait estimates."""

WAIT_ESTIMATE_MAX_AGE_S = 0.02
"""How long one wait estimate is used for all queued requests of a kind. Under a
burst dozens of requests are queued and examined thirty times a second;
computing it for each would take most of the processor."""


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


class WaitEstimates:
    """Estimates the waits of requests from the load of their kind's servers."""

    def __init__(
        self,
        registry: Registry,
        usable: UsableServers,
        needs: RequestNeeds,
        kinds: KindServers,
        workload: Workload,
        token_times: TokenTimes,
        capacities: CapacityRecords,
        allowance: Allowance,
        instances: Callable[[], int],
    ):
        """Creates the estimates.

        Args:
            registry: Configuration and servers.
            usable: The servers that count as capacity.
            needs: What requests need.
            kinds: The servers of each kind.
            workload: Load of the servers.
            token_times: Times per token at the servers.
            capacities: Speeds of the servers.
            allowance: Rate limits of servers.
            instances: Returns the number of instances that share the load.
        """
        self._registry = registry
        self._usable = usable
        self._needs = needs
        self._kinds = kinds
        self._workload = workload
        self._token_times = token_times
        self._capacities = capacities
        self._allowance = allowance
        self._instances = instances
        self._kind_queues: dict[tuple[str, str, str | None], _KindQueue] = {}

    def expect(self, call: Call, ahead_s: float) -> WaitEstimate:
        """Returns a wait estimate for a queued request."""
        now = time.monotonic()
        left_s = call.answer_deadline - now
        servers = self._usable.servers_for(call)
        if not servers:
            # The next update of the registry may bring servers; a short wait
            # costs the caller less than a retry.
            return WaitEstimate(
                now - call.arrived_at, 0.0, call.route.objective_s
            )
        servers = self._usable.unlimited(
            self._usable.without_recovering(servers)
        )
        if not servers:
            return self._expect_limited(call, ahead_s, left_s)
        if call.prompt is None:
            slots = _slots(servers, self._capacities.of(call.service), now)
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
        first_s = self._needs.speeds(call.service).first_s(
            call.prompt.own_tokens
        )
        output: float = self._needs.output_estimate(call).output
        if (
            call.events_done
            and self._usable.engine_of(call.service) is not None
        ):
            output = self._needs.remaining_tokens(call, call.events_done)
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
        servers = self._usable.servers_for(call)
        limits = self._allowance.limits
        rate = sum(limits.get(server.id, 0.0) for server in servers)
        busy_s = self._needs.busy_s(call)
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
        servers = self._usable.unlimited(self._registry.servers_of(service))
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
    ) -> _KindQueue:
        key = (service, kind, version)
        held = self._kind_queues.get(key)
        if held is not None and now - held.at < WAIT_ESTIMATE_MAX_AGE_S:
            return held
        working = self._usable.without_unavailable(service, servers)
        names = [item.id for item in self._kinds.group(service, kind, working)]
        # If streams can be moved, a long answer can continue at any server,
        # also one without prefill.
        engine = self._usable.engine_of(service)
        moves = engine is not None and engine.supports_moves
        decoding = [item.id for item in servers] if moves else names
        unread = sum(self._workload.load(name).unread for name in names)
        speeds = self._needs.speeds(service)
        capacities = self._capacities.of(service)
        speed_sum = capacities.speed_sum(names, now)
        yielding = self._kinds.servers_yielding_to(service, kind)
        wide = [
            item.id
            for item in working
            if item.id in names or item.id in yielding
        ]
        wide_unread = sum(self._workload.load(name).unread for name in wide)
        wide_speed_sum = capacities.speed_sum(wide, now)
        self._kind_queues[key] = _KindQueue(
            now,
            speeds.prefill_s(unread) / speed_sum,
            self._instances() / speed_sum,
            speeds.prefill_s(wide_unread) / wide_speed_sum,
            self._instances() / wide_speed_sum,
            min(
                self._token_times.token_s(name, now)
                or speeds.step_s * capacities.slowness(name, now)
                for name in decoding
            ),
        )
        return self._kind_queues[key]


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
