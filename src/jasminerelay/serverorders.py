"""Orders servers for autoscaled services under the duties' lease."""

from collections.abc import Callable

from jasminerelay.catalog import Service
from jasminerelay.dutycalls import CallResult
from jasminerelay.eventlog import EventLog
from jasminerelay.fencedcalls import FencedCaller
from jasminerelay.metrics import Counters
from jasminerelay.registry import Registry
from jasminerelay.scaling import ServerOrder, ServerPlanner

PLAN_INTERVAL_S = 0.5
"""Interval at which the number of servers is planned."""


class Autoscaler:
    """Plans and orders servers while this instance holds the lease."""

    def __init__(
        self,
        caller: FencedCaller,
        registry: Registry,
        work: Callable[[str], float | None],
        clock: Callable[[], float],
        counters: Counters,
        log: EventLog,
    ):
        """Creates the orders of an instance without the lease.

        Args:
            caller: Calls the platform under the lease.
            registry: Configuration and servers.
            work: Returns how many servers a service's requests occupy; None if
                too few instances have reported.
            clock: Returns the time that the lease is measured by.
            counters: Receives counts of events.
            log: Receives events.
        """
        self._caller = caller
        self._registry = registry
        self._work = work
        self._clock = clock
        self._counters = counters
        self._log = log
        self._planners: dict[str, ServerPlanner] = {}
        self._last_plan_at = float("-inf")

    def on_lease_taken(self) -> None:
        """Resets the state after this instance has taken the lease."""
        self._planners.clear()

    async def serve(self) -> None:
        """Orders servers where needed; StoreError if unanswered."""
        now = self._clock()
        if now - self._last_plan_at < PLAN_INTERVAL_S:
            return
        self._last_plan_at = now
        catalog = self._registry.catalog
        for service in catalog.services.values() if catalog else ():
            if service.scaling is not None and service.engine is not None:
                await self._order_servers(service)

    async def _order_servers(self, service: Service) -> None:
        work = self._work(service.name)
        if work is None:
            self._counters.incr("servers.blind")
            return
        planner = self._planners.setdefault(
            service.name, ServerPlanner(service.name)
        )
        servers = self._registry.servers_of(service.name)
        orders = planner.plan(service.scaling, servers, work, self._clock())
        for order in orders:
            said = await self._caller.order(order)
            self._record_result(planner, order, said, work, len(servers))
            if said in (CallResult.UNAVAILABLE, CallResult.NO_ANSWER):
                return

    def _record_result(
        self,
        planner: ServerPlanner,
        order: ServerOrder,
        said: CallResult,
        work: float,
        there: int,
    ) -> None:
        now = self._clock()
        if said is CallResult.DONE:
            planner.accepted(order, now)
        elif said is CallResult.CONFLICT:
            planner.refused(order, now)
        self._counters.incr("servers.ordered")
        self._log.warn(
            "servers_ordered",
            service=order.service,
            zone=order.zone,
            preemptible=order.preemptible,
            count=order.count,
            said=said.value,
            work=round(work, 2),
            target=planner.target,
            there=there,
            fence=self._caller.fence,
        )
