"""Simulates a platform that executes orders and withdraws servers."""

import dataclasses

from jasminerelay.catalog import BackendServer, Scaling
from jasminerelay.scaling import ServerOrder, ServerPlanner

SERVICE = "engines"
ZONES = {"a": 1.0, "b": 0.8, "c": 1.25}
BOOT_S = 4.0
NOTICE_S = 2.5
STEP_S = 0.5


def scaling(**changes: object) -> Scaling:
    """Returns bounds and prices, with some changes."""
    default = Scaling(1, 8, BOOT_S, 0.22, ZONES)
    return dataclasses.replace(default, **changes)


@dataclasses.dataclass(eq=False)
class _Server:
    zone: str
    preemptible: bool
    ready_at: float
    leaving: bool = False


class ScalingSimulation:
    """Servers, and the planner that orders them, in steps of half a second.

    Attributes:
        now: Seconds since the start.
        orders: All orders, with their times.
        paid: Accumulated price of all servers.
        min_running: Fewest servers that accepted requests since the last reset.
    """

    def __init__(self, present: int, allowed: Scaling):
        """Creates a platform with on-demand servers.

        Args:
            present: Number of servers in each zone.
            allowed: Bounds and prices of the service's servers.
        """
        self.now = 0.0
        self.allowed = allowed
        self.planner = ServerPlanner(SERVICE)
        self.orders: list[tuple[float, ServerOrder]] = []
        self.paid = 0.0
        self.min_running = 10**6
        self._unavailable_until: dict[str, float] = {}
        self._servers = [
            _Server(zone, False, 0.0)
            for zone in allowed.zone_prices
            for _ in range(present)
        ]

    def there(self, zone: str = "", preemptible: bool | None = None) -> int:
        """Returns the number of servers that accept requests."""
        return sum(
            server.zone == (zone or server.zone)
            and preemptible in (None, server.preemptible)
            for server in self._running()
        )

    def run_for(self, seconds: float, work: float) -> None:
        """Advances the time under a constant load."""
        end_at = self.now + seconds
        while self.now < end_at:
            self.now += STEP_S
            self._charge()
            rows = [
                BackendServer(
                    f"s{number}", SERVICE, "", x.zone, 16, False, 0,
                    x.preemptible,
                )
                for number, x in enumerate(self._running())
            ]  # fmt: skip
            self.min_running = min(self.min_running, len(rows))
            for order in self.planner.plan(self.allowed, rows, work, self.now):
                self.orders.append((self.now, order))
                self._execute(order)

    def hide_rows(self, count: int) -> list["_Server"]:
        """Hides some servers' rows; returns the servers."""
        late = self._servers[:count]
        for server in late:
            server.ready_at = float("inf")
        return late

    def show(self, servers: list["_Server"]) -> None:
        """Makes the rows of hidden servers visible."""
        for server in servers:
            server.ready_at = self.now

    def withdraw_zone(self, zone: str, duration_s: float) -> None:
        """Withdraws a zone's preemptible servers; refuses new ones anywhere."""
        for server in self._servers:
            if server.zone == zone and server.preemptible:
                server.leaving = True
        for name in self.allowed.zone_prices:
            self._unavailable_until[name] = self.now + duration_s

    def _running(self) -> list[_Server]:
        return [
            x for x in self._servers if not x.leaving and x.ready_at <= self.now
        ]

    def _charge(self) -> None:
        self._servers = [x for x in self._servers if not x.leaving]
        for server in self._servers:
            price = self.allowed.zone_prices[server.zone]
            if server.preemptible:
                price *= self.allowed.preemptible_price
            self.paid += price * STEP_S

    def _execute(self, order: ServerOrder) -> None:
        pool = [
            x
            for x in self._servers
            if x.zone == order.zone and x.preemptible == order.preemptible
        ]
        running = [x for x in pool if not x.leaving]
        missing = order.count - len(running)
        unavailable = self._unavailable_until.get(order.zone, 0.0) > self.now
        if order.preemptible and missing > 0 and unavailable:
            self.planner.refused(order, self.now)
            return
        for _ in range(missing):
            ready_at = self.now + BOOT_S
            self._servers.append(
                _Server(order.zone, order.preemptible, ready_at)
            )
        for server in running[order.count :]:
            self._servers.remove(server)
        self.planner.accepted(order, self.now)
