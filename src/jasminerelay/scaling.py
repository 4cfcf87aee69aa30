"""Plans how many servers of a service to order, of which kind and where.

Without I/O. Load comes in bursts: long prompts may arrive at three times their
rate for some seconds, and booting a server takes nearly half as long as a burst
lasts. Servers ordered only when they are missing would boot too late, so spare
servers are kept running, the more of them the cheaper they are.

Preemptible servers cost a fifth, but all of those in an availability zone may
be withdrawn at a few seconds' notice and stay unavailable for a while. They
serve the load, spread evenly over the zones. On-demand servers only cover what
the present load lacks, until preemptible ones have booted and while some are
withdrawn.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping, Sequence

from jasminerelay.catalog import BackendServer, Scaling

MAX_UTILISATION = 0.7
"""Fraction of on-demand servers that the load may occupy; above it, waiting
times grow faster than the load."""

SPARE_BUDGET = 0.3
"""Spare servers at the on-demand price, as a fraction of those occupied by
the load. At a fifth of the price, five times as many are kept."""

MAX_SPARE_SHARE = 2.0
"""Upper bound of spare servers, as a fraction of those occupied by the load."""

SHRINK_DELAY_S = 20.0
"""How long fewer servers must suffice before any are removed. Each removal
loses a KV cache, which a periodic load would have to fill again."""

MIN_SHRINK_SHARE = 0.15
"""Fraction of servers that must be dispensable; fewer are not worth a cold
cache."""

DISCOVERY_S = 2.0
"""Time without a newly registered server after which orders may begin."""

BOOT_SLACK_S = 2.0
"""Time beyond its boot within which an ordered server must appear."""

PREEMPTIBLE_RETRY_S = 3.0
"""Pause before preemptible servers are ordered again after a refusal."""

TOLERATED_SHORTFALL_SHARE = 0.1
"""Fraction of the needed servers whose absence is tolerated: a crashed server
is back before a new one has booted."""

SURPLUS_DELAY_S = 2.0
"""How long on-demand servers must exceed the need before they are removed."""

REFUSAL_TTL_S = 2 * PREEMPTIBLE_RETRY_S
"""How long preemptible servers count as unavailable after a refusal."""


@dataclasses.dataclass(frozen=True)
class ServerOrder:
    """The desired number of servers of one kind in one zone.

    Attributes:
        service: Name of the service.
        zone: Availability zone.
        preemptible: Whether the servers are preemptible.
        count: Number of servers, including those that run already.
    """

    service: str
    zone: str
    preemptible: bool
    count: int


@dataclasses.dataclass
class _Pool:
    """Servers of one kind in one zone.

    Attributes:
        ordered: Number last ordered; None before the first order.
        scaled_up_at: Monotonic time of the last order of additional servers.
        refused_at: Monotonic time of the last refusal.
        there: Number of servers that accept requests.
    """

    ordered: int | None = None
    scaled_up_at: float = -math.inf
    refused_at: float = -math.inf
    there: int = 0

    @property
    def desired(self) -> int:
        """Number of servers according to the last order."""
        return self.there if self.ordered is None else self.ordered


class ServerPlanner:
    """Plans the servers of one service from its load.

    Example:
        >>> planner = ServerPlanner("chat")
        >>> scaling = Scaling(1, 9, 4.0, 0.2, {"a": 1.0})
        >>> orders = planner.plan(scaling, [], 2.0, now=0.0)
        >>> [(x.service, x.zone, x.preemptible, x.count) for x in orders]
        [('chat', 'a', False, 3), ('chat', 'a', True, 6)]
    """

    def __init__(self, service: str):
        """Creates a planner for an instance that has just taken the lease.

        Args:
            service: Name of the service.
        """
        self._service = service
        self._pools: dict[tuple[str, bool], _Pool] = {}
        self._started_at: float | None = None
        self._initial_count = 0
        self._initial_changed_at = -math.inf
        self._has_ordered = False
        self._had_work = False
        self._target = 0
        self._shrinkable_since: float | None = None
        self._peak_needed = 0
        self._surplus_since: float | None = None
        self._last_exchange_at = -math.inf

    @property
    def target(self) -> int:
        """Desired number of servers in all zones together."""
        return self._target

    def plan(
        self,
        scaling: Scaling,
        servers: Iterable[BackendServer],
        work: float,
        now: float,
    ) -> list[ServerOrder]:
        """Returns the orders to be given now.

        Args:
            scaling: Bounds and prices of the service's servers.
            servers: The service's servers that accept requests.
            work: Number of servers that the present requests would occupy.
            now: Monotonic time.
        """
        if self._started_at is None:
            self._started_at = now
        self._count_servers(scaling, servers)
        if not self._is_discovery_done(work, now):
            return []
        self._update_target(scaling, work, now)
        # Cheaper zones get the remainder of an uneven division.
        prices = scaling.zone_prices
        zones = sorted(prices, key=lambda zone: (prices[zone], zone))
        parts = _spread_evenly(
            self._target, zones, scaling.min_servers, scaling.max_servers
        )
        if scaling.preemptible_price is None:
            return self._due_orders(False, parts, scaling, now)
        gone = {
            zone for zone in zones if self._is_unavailable(zone, scaling, now)
        }
        on_demand = self._on_demand_counts(scaling, work, zones, gone, now)
        preemptible_counts = {
            # An unavailable zone keeps one on order to show when it is back.
            zone: min(
                1 if zone in gone else parts[zone],
                max(0, scaling.max_servers - on_demand[zone]),
            )
            for zone in zones
        }
        orders = [
            *self._due_orders(False, on_demand, scaling, now),
            *self._due_orders(True, preemptible_counts, scaling, now),
        ]
        # Decreases first, since both kinds together are bounded.
        return sorted(orders, key=self._is_increase)

    def _is_increase(self, order: ServerOrder) -> bool:
        kind = self._pool(order.zone, order.preemptible)
        return order.count > kind.desired

    def _is_unavailable(self, zone: str, scaling: Scaling, now: float) -> bool:
        """Returns whether preemptible servers were refused or withdrawn."""
        pool = self._pool(zone, True)
        if now - pool.refused_at < REFUSAL_TTL_S:
            return True
        booting = self._booting(pool, scaling, now)
        return pool.desired > 0 and not pool.there and not booting

    def _on_demand_counts(
        self,
        scaling: Scaling,
        work: float,
        zones: list[str],
        gone: set[str],
        now: float,
    ) -> dict[str, int]:
        """Returns the desired on-demand servers by zone."""
        preemptible_pools = [self._pool(zone, True) for zone in zones]
        booting = sum(
            self._booting(kind, scaling, now) for kind in preemptible_pools
        )
        desired = {zone: self._pool(zone, False).desired for zone in zones}
        present = sum(kind.there for kind in self._pools.values())
        needed = (
            min(self._target, math.ceil(work / MAX_UTILISATION))
            or self._initial_count
        )
        shortfall = (
            needed - booting - sum(kind.there for kind in preemptible_pools)
        )
        shortfall -= sum(desired.values())
        if shortfall > max(1, needed * TOLERATED_SHORTFALL_SHARE):
            self._surplus_since = None
            zones_by_need = sorted(zones, key=lambda zone: zone not in gone)
            capacity = {
                zone: scaling.max_servers
                - (1 if zone in gone else preemptible_pools[i].desired)
                for i, zone in enumerate(zones)
            }
            return _add_servers(
                shortfall,
                desired,
                {zone: capacity[zone] for zone in zones_by_need},
            )
        surplus = min(present - needed, sum(desired.values()))
        if surplus <= 0:
            self._surplus_since = None
            if not self._is_takeover_settled(scaling, now):
                return desired
            return self._exchange(scaling, work, desired, gone, present, now)
        if self._surplus_since is None:
            self._surplus_since = now
        settled = self._is_takeover_settled(scaling, now)
        if now - self._surplus_since < SURPLUS_DELAY_S or not settled:
            return desired
        self._surplus_since = None
        return _remove_servers(surplus, desired)

    def _exchange(
        self,
        scaling: Scaling,
        work: float,
        desired: dict[str, int],
        gone: set[str],
        present: int,
        now: float,
    ) -> dict[str, int]:
        """Removes on-demand servers where preemptible ones are available again.

        As both kinds together are bounded, preemptible servers can only be
        ordered after on-demand ones are removed. As many stay as the load
        occupies.
        """
        freeable = {
            zone: math.ceil(count / 2)
            for zone, count in desired.items()
            if zone not in gone and self._pool(zone, True).desired
        }
        free = present - (
            math.ceil(work) if self._had_work else self._initial_count
        )
        if not any(freeable.values()) or free <= 0:
            return desired
        if now - self._last_exchange_at < scaling.boot_s + BOOT_SLACK_S:
            return desired
        self._last_exchange_at = now
        remaining = dict(desired)
        for zone, count in freeable.items():
            fewer = min(count, free)
            remaining[zone] -= fewer
            free -= fewer
        return remaining

    def accepted(self, order: ServerOrder, now: float) -> None:
        """Records an order that was executed, or may have been."""
        kind = self._pool(order.zone, order.preemptible)
        self._has_ordered = True
        if order.count > kind.there:
            kind.scaled_up_at = now
            kind.refused_at = -math.inf
        kind.ordered = order.count

    def refused(self, order: ServerOrder, now: float) -> None:
        """Records that servers of this kind are unavailable for now."""
        self._pool(order.zone, order.preemptible).refused_at = now

    def _pool(self, zone: str, preemptible: bool) -> _Pool:
        return self._pools.setdefault((zone, preemptible), _Pool())

    def _count_servers(
        self, scaling: Scaling, servers: Iterable[BackendServer]
    ) -> None:
        for kind in self._pools.values():
            kind.there = 0
        for server in servers:
            self._pool(server.zone, server.preemptible).there += 1

    def _is_discovery_done(self, work: float, now: float) -> bool:
        """Returns whether the servers that ran initially are known.

        When servers or the whole platform start, their rows appear one by one.
        Orders based on the first few rows would remove all other servers.
        """
        if self._initial_count and (work or self._has_ordered):
            return True
        present = sum(kind.there for kind in self._pools.values())
        if present > self._initial_count:
            self._initial_count = present
            self._initial_changed_at = now
        return now - self._initial_changed_at >= DISCOVERY_S

    def _update_target(self, scaling: Scaling, work: float, now: float) -> None:
        price = scaling.preemptible_price or 1.0
        if not self._had_work:
            self._update_initial_target(scaling, price, work)
        self._had_work = self._had_work or work > 0
        needed = _servers_needed(price, work)
        zones = len(scaling.zone_prices)
        max_servers = scaling.max_servers * zones
        needed = min(max_servers, max(scaling.min_servers * zones, needed))
        self._target = min(max_servers, self._target)
        if not work or needed >= self._target * (1 - MIN_SHRINK_SHARE):
            self._target = max(self._target, needed)
            self._shrinkable_since = None
            return
        if self._shrinkable_since is None:
            self._shrinkable_since = now
            self._peak_needed = 0
        self._peak_needed = max(self._peak_needed, needed)
        if now - self._shrinkable_since >= SHRINK_DELAY_S:
            self._target = self._peak_needed
            self._shrinkable_since = None

    def _update_initial_target(
        self, scaling: Scaling, price: float, work: float
    ) -> None:
        """Derives the target from the running servers until there is load."""
        there = {False: 0, True: 0}
        for (_, preemptible), kind in self._pools.items():
            there[preemptible] += kind.there
        # Servers that registered late ran initially, too.
        self._initial_count = max(self._initial_count, there[False])
        taken_over = work or (there[True] and not self._has_ordered)
        if taken_over or scaling.preemptible_price is None:
            # The orders of a previous holder already include spare servers.
            self._target = max(self._target, self._initial_count)
        else:
            self._target = math.ceil(
                self._initial_count * (1 + _spare_share(price))
            )

    def _booting(self, kind: _Pool, scaling: Scaling, now: float) -> int:
        if now - kind.scaled_up_at > scaling.boot_s + BOOT_SLACK_S:
            return 0
        return max(0, kind.desired - kind.there)

    def _due_orders(
        self,
        preemptible: bool,
        counts: Mapping[str, int],
        scaling: Scaling,
        now: float,
    ) -> list[ServerOrder]:
        return [
            ServerOrder(self._service, zone, preemptible, count)
            for zone, count in counts.items()
            if self._is_due(self._pool(zone, preemptible), count, scaling, now)
        ]

    def _is_due(
        self, kind: _Pool, count: int, scaling: Scaling, now: float
    ) -> bool:
        if now - kind.refused_at < PREEMPTIBLE_RETRY_S:
            return False
        if count < kind.desired:
            return self._is_takeover_settled(scaling, now)
        missing = count > kind.there and not self._booting(kind, scaling, now)
        return count > kind.desired or missing

    def _is_takeover_settled(self, scaling: Scaling, now: float) -> bool:
        """Whether servers ordered by the previous holder had time to boot."""
        return now - self._started_at >= scaling.boot_s + BOOT_SLACK_S


def _servers_needed(price: float, work: float) -> int:
    """Returns the servers that a load needs, including spare ones."""
    return math.ceil(work / MAX_UTILISATION * (1 + _spare_share(price)))


def _spare_share(price: float) -> float:
    """Returns the spare servers at a price, per server occupied by the load."""
    return min(MAX_SPARE_SHARE, SPARE_BUDGET / price)


def _add_servers(
    count: int, present: Mapping[str, int], capacity: Mapping[str, int]
) -> dict[str, int]:
    """Adds servers up to the capacity of each zone, in the order given."""
    parts = dict(present)
    for zone, most in capacity.items():
        more = max(0, min(count, most - parts[zone]))
        parts[zone] += more
        count -= more
    return parts


def _remove_servers(count: int, present: Mapping[str, int]) -> dict[str, int]:
    """Removes servers from the last zones first."""
    parts = dict(present)
    for zone in reversed(parts):
        fewer = min(count, parts[zone])
        parts[zone] -= fewer
        count -= fewer
    return parts


def _spread_evenly(
    total: int, zones: Sequence[str], least: int, most: int
) -> dict[str, int]:
    """Divides servers evenly; earlier zones get the remainder."""
    parts = {}
    for index, zone in enumerate(zones):
        part = math.ceil(total / (len(zones) - index))
        parts[zone] = min(most, max(least, part))
        total -= parts[zone]
    return parts
