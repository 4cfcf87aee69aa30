"""A platform that boots and takes away the servers that a planner orders."""

import dataclasses

from jasminerelay.catalog import BackendServer, Scaling
from jasminerelay.scaling import Order, ServerPlanner

SERVICE = "engines"
ZONES = {"a": 1.0, "b": 0.8, "c": 1.25}
BOOT_S = 4.0
NOTICE_S = 2.5
STEP_S = 0.5


def scaling(**changes: object) -> Scaling:
    """Returns what may be ordered, with some changes."""
    usual = Scaling(1, 8, BOOT_S, 0.22, ZONES)
    return dataclasses.replace(usual, **changes)


@dataclasses.dataclass(eq=False)
class _Server:
    zone: str
    preemptible: bool
    ready_at: float
    leaving: bool = False


class ScalingWorld:
    """Servers, and the planner that orders them, in steps of half a second.

    Attributes:
        now: Seconds since the start.
        orders: All orders, with their times.
        paid: Price of all servers' seconds so far.
        least_there: Fewest servers that took requests since it was reset.
    """

    def __init__(self, present: int, allowed: Scaling):
        """Makes a platform with usual servers.

        Args:
            present: How many there are in each zone.
            allowed: What may be ordered.
        """
        self.now = 0.0
        self.allowed = allowed
        self.planner = ServerPlanner(SERVICE)
        self.orders: list[tuple[float, Order]] = []
        self.paid = 0.0
        self.least_there = 10**6
        self._dry_until: dict[str, float] = {}
        self._servers = [
            _Server(zone, False, 0.0)
            for zone in allowed.zone_prices
            for _ in range(present)
        ]

    def there(self, zone: str = "", preemptible: bool | None = None) -> int:
        """Returns how many servers take requests."""
        return sum(
            server.zone == (zone or server.zone)
            and preemptible in (None, server.preemptible)
            for server in self._there()
        )

    def play(self, seconds: float, work: float) -> None:
        """Goes on for some time with some work."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            self._pay()
            rows = [
                BackendServer(
                    f"s{number}", SERVICE, "", x.zone, 16, False, 0,
                    x.preemptible,
                )
                for number, x in enumerate(self._there())
            ]  # fmt: skip
            self.least_there = min(self.least_there, len(rows))
            for order in self.planner.plan(self.allowed, rows, work, self.now):
                self.orders.append((self.now, order))
                self._obey(order)

    def hold_back(self, count: int) -> list["_Server"]:
        """Hides some servers' rows; returns the servers."""
        late = self._servers[:count]
        for server in late:
            server.ready_at = float("inf")
        return late

    def show(self, servers: list["_Server"]) -> None:
        """Shows servers' rows."""
        for server in servers:
            server.ready_at = self.now

    def take_away(self, zone: str, for_s: float) -> None:
        """Takes all preemptible servers of a zone away, and gives none."""
        for server in self._servers:
            if server.zone == zone and server.preemptible:
                server.leaving = True
        for name in self.allowed.zone_prices:
            self._dry_until[name] = self.now + for_s

    def _there(self) -> list[_Server]:
        return [
            x for x in self._servers if not x.leaving and x.ready_at <= self.now
        ]

    def _pay(self) -> None:
        self._servers = [x for x in self._servers if not x.leaving]
        for server in self._servers:
            price = self.allowed.zone_prices[server.zone]
            if server.preemptible:
                price *= self.allowed.preemptible_price
            self.paid += price * STEP_S

    def _obey(self, order: Order) -> None:
        of_kind = [
            x
            for x in self._servers
            if x.zone == order.zone and x.preemptible == order.preemptible
        ]
        living = [x for x in of_kind if not x.leaving]
        missing = order.count - len(living)
        dry = self._dry_until.get(order.zone, 0.0) > self.now
        if order.preemptible and missing > 0 and dry:
            self.planner.refused(order, self.now)
            return
        for _ in range(missing):
            ready_at = self.now + BOOT_S
            self._servers.append(
                _Server(order.zone, order.preemptible, ready_at)
            )
        for server in living[order.count :]:
            self._servers.remove(server)
        self.planner.accepted(order, self.now)
