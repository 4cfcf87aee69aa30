"""Orders servers for the services that may have more or fewer of them."""

from collections.abc import Callable

from jasminerelay.catalog import Service
from jasminerelay.dutycalls import Said
from jasminerelay.dutydesk import DutyDesk
from jasminerelay.eventlog import EventLog
from jasminerelay.metrics import Counters
from jasminerelay.registry import Registry
from jasminerelay.scaling import Order, ServerPlanner

PLAN_EVERY_S = 0.5
"""How often it is looked whether other servers are wanted."""


class ServerOrders:
    """The holder's part in the orders."""

    def __init__(
        self,
        desk: DutyDesk,
        registry: Registry,
        work: Callable[[str], float | None],
        clock: Callable[[], float],
        counters: Counters,
        log: EventLog,
    ):
        """Makes the part of an instance that holds nothing yet.

        Args:
            desk: Calls the platform under the lease.
            registry: Configuration and servers.
            work: Returns how many servers a service's requests fill; None if
                too little is known of it.
            clock: Returns the time that the lease goes by.
            counters: Counts events.
            log: Takes events.
        """
        self._desk = desk
        self._registry = registry
        self._work = work
        self._clock = clock
        self._counters = counters
        self._log = log
        self._planners: dict[str, ServerPlanner] = {}
        self._planned_at = float("-inf")

    def taken(self) -> None:
        """Notes that this instance has just taken the duty."""
        self._planners.clear()

    async def serve(self) -> None:
        """Orders what is wanted; raises StoreError unanswered."""
        now = self._clock()
        if now - self._planned_at < PLAN_EVERY_S:
            return
        self._planned_at = now
        catalog = self._registry.catalog
        for service in catalog.services.values() if catalog else ():
            if service.scaling is not None and service.engine is not None:
                await self._serve(service)

    async def _serve(self, service: Service) -> None:
        work = self._work(service.name)
        if work is None:
            self._counters.incr("servers.blind")
            return
        planner = self._planners.setdefault(
            service.name, ServerPlanner(service.name)
        )
        servers = self._registry.servers_of(service.name)
        wanted = planner.plan(service.scaling, servers, work, self._clock())
        for order in wanted:
            said = await self._desk.order(order)
            self._note(planner, order, said, work, len(servers))
            if said in (Said.BUSY, Said.NOTHING):
                return

    def _note(
        self,
        planner: ServerPlanner,
        order: Order,
        said: Said,
        work: float,
        there: int,
    ) -> None:
        now = self._clock()
        if said is Said.DONE:
            planner.accepted(order, now)
        elif said is Said.CONFLICT:
            planner.refused(order, now)
        self._counters.incr("servers.ordered")
        self._log.trouble(
            "servers_ordered",
            service=order.service,
            zone=order.zone,
            preemptible=order.preemptible,
            count=order.count,
            said=said.value,
            work=round(work, 2),
            target=planner.target,
            there=there,
            fence=self._desk.fence,
        )
