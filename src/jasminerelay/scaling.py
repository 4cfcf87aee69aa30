"""How many servers of a service to order, of which kind and where.

Pure. Pattern: a kind of long prompts comes at three times its rate for some
seconds, and a server boots for nearly as long as half of that. Whoever orders
only what is missing now has it when the burst is over; so servers stand ready
beyond the present work, the more of them the less they cost. Preemptible ones
cost a fifth, and a whole availability zone of them may go at a few seconds'
notice and not come back for a while. They do the work, spread evenly over the
zones. Usual servers fill only what the present work lacks: until the others
have booted, and while some are taken away.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping, Sequence

from jasminerelay.catalog import BackendServer, Scaling

USE = 0.7
"""Part of the servers that the present work may fill, where they cost the full
price: above it waits grow faster than the work."""

SPARE_BUDGET = 0.3
"""Servers beyond the present work, at the full price and as a part of it, that
may stand ready. Where they cost a fifth, five times as many stand for it."""

MOST_SPARE = 2.0
"""Bound on what stands ready, as a part of the present work."""

HOLD_S = 20.0
"""How long fewer servers must do before any are sent away: a wave of the work
takes a server's cache with it, and those that come back read it all again."""

SHRINK_SHARE = 0.15
"""Part by which fewer must do; less is not worth a cold cache."""

STEADY_S = 2.0
"""How long no further server must show before the first order."""

BOOT_SLACK_S = 2.0
"""Time beyond its boot in which an ordered server may show."""

RETRY_S = 3.0
"""Pause before preemptible servers are ordered again where none were had."""

LACK_SHARE = 0.1
"""Part of the servers that the present work needs whose lack is let be: one
that has crashed is back before another one has booted."""

SPARE_FOR_S = 2.0
"""How long usual servers must be more than needed before they go."""

REFUSED_LIFE_S = 2 * RETRY_S
"""How long after that there are taken to be none."""


@dataclasses.dataclass(frozen=True)
class Order:
    """A number of servers that is wanted.

    Attributes:
        service: The service.
        zone: The availability zone.
        preemptible: The kind of servers.
        count: How many of that kind there are to be.
    """

    service: str
    zone: str
    preemptible: bool
    count: int


@dataclasses.dataclass
class _Kind:
    """Servers of one kind in one zone.

    Attributes:
        ordered: How many were ordered; None before the first order.
        raised_at: When more were last ordered.
        refused_at: When there were none to be had.
        there: How many take requests.
    """

    ordered: int | None = None
    raised_at: float = -math.inf
    refused_at: float = -math.inf
    there: int = 0

    @property
    def wanted(self) -> int:
        """How many there are to be by the last order."""
        return self.there if self.ordered is None else self.ordered


class ServerPlanner:
    """Plans one service's servers from what is known of its work.

    Example:
        >>> planner = ServerPlanner("chat")
        >>> scaling = Scaling(1, 9, 4.0, 0.2, {"a": 1.0})
        >>> planner.plan(scaling, [], 2.0, now=0.0)
        [Order(service='chat', zone='a', preemptible=False, count=3), \
Order(service='chat', zone='a', preemptible=True, count=6)]
    """

    def __init__(self, service: str):
        """Makes the planner of one that has just taken the duty.

        Args:
            service: The service.
        """
        self._service = service
        self._kinds: dict[tuple[str, bool], _Kind] = {}
        self._began: float | None = None
        self._first = 0
        self._first_at = -math.inf
        self._ordered = False
        self._worked = False
        self._target = 0
        self._enough_since: float | None = None
        self._most_needed = 0
        self._spare_since: float | None = None
        self._exchanged_at = -math.inf

    @property
    def target(self) -> int:
        """Servers that there are to be in all zones together."""
        return self._target

    def plan(
        self,
        scaling: Scaling,
        servers: Iterable[BackendServer],
        work: float,
        now: float,
    ) -> list[Order]:
        """Returns what is to be ordered now.

        Args:
            scaling: What may be ordered.
            servers: The service's servers that take requests.
            work: Servers that the present requests would fill.
            now: Steady time.
        """
        if self._began is None:
            self._began = now
        self._count(scaling, servers)
        if not self._is_steady(work, now):
            return []
        self._aim(scaling, work, now)
        # Cheaper zones come first where a number cannot be shared evenly.
        prices = scaling.zone_prices
        zones = sorted(prices, key=lambda zone: (prices[zone], zone))
        parts = _even(self._target, zones, scaling.least, scaling.most)
        if scaling.preemptible_price is None:
            return self._changes(False, parts, scaling, now)
        gone = {zone for zone in zones if self._is_gone(zone, scaling, now)}
        usual = self._usual(scaling, work, zones, gone, now)
        cheap = {
            # One order goes on to find out when there are some again.
            zone: min(
                1 if zone in gone else parts[zone],
                max(0, scaling.most - usual[zone]),
            )
            for zone in zones
        }
        orders = [
            *self._changes(False, usual, scaling, now),
            *self._changes(True, cheap, scaling, now),
        ]
        # Fewer first: both kinds together are bounded.
        return sorted(orders, key=self._adds)

    def _adds(self, order: Order) -> bool:
        kind = self._kind(order.zone, order.preemptible)
        return order.count > kind.wanted

    def _is_gone(self, zone: str, scaling: Scaling, now: float) -> bool:
        """Returns whether a zone's preemptible servers were taken away."""
        cheap = self._kind(zone, True)
        if now - cheap.refused_at < REFUSED_LIFE_S:
            return True
        booting = self._booting(cheap, scaling, now)
        return cheap.wanted > 0 and not cheap.there and not booting

    def _usual(
        self,
        scaling: Scaling,
        work: float,
        zones: list[str],
        gone: set[str],
        now: float,
    ) -> dict[str, int]:
        """Returns the usual servers that there are to be, by zone."""
        cheap = [self._kind(zone, True) for zone in zones]
        booting = sum(self._booting(kind, scaling, now) for kind in cheap)
        wanted = {zone: self._kind(zone, False).wanted for zone in zones}
        present = sum(kind.there for kind in self._kinds.values())
        needed = min(self._target, math.ceil(work / USE)) or self._first
        lacked = needed - booting - sum(kind.there for kind in cheap)
        lacked -= sum(wanted.values())
        if lacked > max(1, needed * LACK_SHARE):
            self._spare_since = None
            places = sorted(zones, key=lambda zone: zone not in gone)
            room = {
                zone: scaling.most - (1 if zone in gone else cheap[i].wanted)
                for i, zone in enumerate(zones)
            }
            return _added(lacked, wanted, {zone: room[zone] for zone in places})
        spare = min(present - needed, sum(wanted.values()))
        if spare <= 0:
            self._spare_since = None
            if not self._settled(scaling, now):
                return wanted
            return self._exchanged(scaling, work, wanted, gone, present, now)
        if self._spare_since is None:
            self._spare_since = now
        settled = self._settled(scaling, now)
        if now - self._spare_since < SPARE_FOR_S or not settled:
            return wanted
        self._spare_since = None
        return _removed(spare, wanted)

    def _exchanged(
        self,
        scaling: Scaling,
        work: float,
        wanted: dict[str, int],
        gone: set[str],
        present: int,
        now: float,
    ) -> dict[str, int]:
        """Makes room for preemptible servers where there are some again.

        Both kinds together are bounded, so some of the usual ones have to go
        first; as many stay as the work fills.
        """
        back = {
            zone: math.ceil(count / 2)
            for zone, count in wanted.items()
            if zone not in gone and self._kind(zone, True).wanted
        }
        free = present - (math.ceil(work) if self._worked else self._first)
        if not any(back.values()) or free <= 0:
            return wanted
        if now - self._exchanged_at < scaling.boot_s + BOOT_SLACK_S:
            return wanted
        self._exchanged_at = now
        left = dict(wanted)
        for zone, count in back.items():
            fewer = min(count, free)
            left[zone] -= fewer
            free -= fewer
        return left

    def accepted(self, order: Order, now: float) -> None:
        """Notes that an order was taken, or may have been."""
        kind = self._kind(order.zone, order.preemptible)
        self._ordered = True
        if order.count > kind.there:
            kind.raised_at = now
            kind.refused_at = -math.inf
        kind.ordered = order.count

    def refused(self, order: Order, now: float) -> None:
        """Notes that there are none of these servers for now."""
        self._kind(order.zone, order.preemptible).refused_at = now

    def _kind(self, zone: str, preemptible: bool) -> _Kind:
        return self._kinds.setdefault((zone, preemptible), _Kind())

    def _count(
        self, scaling: Scaling, servers: Iterable[BackendServer]
    ) -> None:
        for kind in self._kinds.values():
            kind.there = 0
        for server in servers:
            self._kind(server.zone, server.preemptible).there += 1

    def _is_steady(self, work: float, now: float) -> bool:
        """Returns whether the servers that were there at first are known.

        Rows come one after another as servers, or all of the platform, start.
        Who orders by the first few sends the others away.
        """
        if self._first and (work or self._ordered):
            return True
        present = sum(kind.there for kind in self._kinds.values())
        if present > self._first:
            self._first = present
            self._first_at = now
        return now - self._first_at >= STEADY_S

    def _aim(self, scaling: Scaling, work: float, now: float) -> None:
        price = scaling.preemptible_price or 1.0
        if not self._worked:
            self._aim_at_first(scaling, price, work)
        self._worked = self._worked or work > 0
        needed = _needed(price, work)
        zones = len(scaling.zone_prices)
        most = scaling.most * zones
        needed = min(most, max(scaling.least * zones, needed))
        self._target = min(most, self._target)
        if not work or needed >= self._target * (1 - SHRINK_SHARE):
            self._target = max(self._target, needed)
            self._enough_since = None
            return
        if self._enough_since is None:
            self._enough_since = now
            self._most_needed = 0
        self._most_needed = max(self._most_needed, needed)
        if now - self._enough_since >= HOLD_S:
            self._target = self._most_needed
            self._enough_since = None

    def _aim_at_first(
        self, scaling: Scaling, price: float, work: float
    ) -> None:
        """Aims by the servers that are there, until there is work to go by."""
        there = {False: 0, True: 0}
        for (_, preemptible), kind in self._kinds.items():
            there[preemptible] += kind.there
        # One more that shows late was there at first, too.
        self._first = max(self._first, there[False])
        took_over = work or (there[True] and not self._ordered)
        if took_over or scaling.preemptible_price is None:
            # What another holder has ordered stands ready already.
            self._target = max(self._target, self._first)
        else:
            self._target = math.ceil(self._first * (1 + _spare(price)))

    def _booting(self, kind: _Kind, scaling: Scaling, now: float) -> int:
        if now - kind.raised_at > scaling.boot_s + BOOT_SLACK_S:
            return 0
        return max(0, kind.wanted - kind.there)

    def _changes(
        self,
        preemptible: bool,
        counts: Mapping[str, int],
        scaling: Scaling,
        now: float,
    ) -> list[Order]:
        return [
            Order(self._service, zone, preemptible, count)
            for zone, count in counts.items()
            if self._is_due(self._kind(zone, preemptible), count, scaling, now)
        ]

    def _is_due(
        self, kind: _Kind, count: int, scaling: Scaling, now: float
    ) -> bool:
        if now - kind.refused_at < RETRY_S:
            return False
        if count < kind.wanted:
            return self._settled(scaling, now)
        missing = count > kind.there and not self._booting(kind, scaling, now)
        return count > kind.wanted or missing

    def _settled(self, scaling: Scaling, now: float) -> bool:
        """Whether all that was ordered by who had the duty before shows."""
        return now - self._began >= scaling.boot_s + BOOT_SLACK_S


def _needed(price: float, work: float) -> int:
    """Returns the servers that some work needs, with what stands ready."""
    return math.ceil(work / USE * (1 + _spare(price)))


def _spare(price: float) -> float:
    """Returns what stands ready, as a part of the work, at a price."""
    return min(MOST_SPARE, SPARE_BUDGET / price)


def _added(
    count: int, present: Mapping[str, int], room: Mapping[str, int]
) -> dict[str, int]:
    """Returns the zones' servers with some more, in the order of the room."""
    parts = dict(present)
    for zone, most in room.items():
        more = max(0, min(count, most - parts[zone]))
        parts[zone] += more
        count -= more
    return parts


def _removed(count: int, present: Mapping[str, int]) -> dict[str, int]:
    """Returns the zones' servers with some fewer, the last zones' first."""
    parts = dict(present)
    for zone in reversed(parts):
        fewer = min(count, parts[zone])
        parts[zone] -= fewer
        count -= fewer
    return parts


def _even(
    total: int, zones: Sequence[str], least: int, most: int
) -> dict[str, int]:
    """Returns the zones' parts of some servers; earlier ones get the odd."""
    parts = {}
    for index, zone in enumerate(zones):
        part = math.ceil(total / (len(zones) - index))
        parts[zone] = min(most, max(least, part))
        total -= parts[zone]
    return parts
