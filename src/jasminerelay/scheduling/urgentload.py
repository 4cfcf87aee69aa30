"""Shares servers between kinds of different rank under overload.

Load handled: requests of a low rank with long prompts and short ones of a high
rank both come at several times their usual rate, while some servers are down.
Whole servers for each kind, in proportion to its work, then leave the high rank
with too few although longer and less urgent requests go on beginning elsewhere.

Pure. A kind whose servers cannot do its work borrows servers of less urgent
kinds. At a borrowed server less urgent requests begin only in what it leaves:
while no prefill is pending there and slots for its next requests are free.
"""

import dataclasses
import math
from collections.abc import Iterable, Iterator, Mapping, Sequence

import xxhash

from jasminerelay.groups import TARGET_UTILISATION, URGENT_ROUND_UP
from jasminerelay.scheduling.demandforecast import DemandForecast
from jasminerelay.scheduling.fairshare import REPORT_INTERVAL_S
from jasminerelay.schema.messages import RouteDemand

FLOOR_SHARE = 0.05
"""Share of a kind's requests that may use its servers as before, however much
more urgent kinds need. Without it a kind could get nothing for as long as a
burst of more urgent ones lasts."""

PREFILL_OBJECTIVE_SHARE = 0.75
"""Share of the urgent kind's objective that the prefill of one less urgent
request may take at a borrowed server. The rest is for its own prefill and the
age of the load reports."""

UNREPORTED_SHARE = 0.125
"""Share of the slots that a borrowing kind leaves free where several instances
place its requests. In a burst at all instances at once each takes the slot that
the last reports showed as free; engines that are nearly full slow down, and
those that are full reject."""

WAITING_WORK = 0.5
"""Servers that a kind borrows at least while its requests wait. The demand says
nothing of the requests that have come before and still wait."""

LONG_WAIT_S = 0.2
"""Time after which a waiting request counts as one that the servers lack room
for. Shorter waits come from reports that are a moment old."""

IDLE_PREFILL_S = 0.01
"""Pending prefill up to which a server counts as free of urgent requests."""


@dataclasses.dataclass(frozen=True)
class BorrowedServer:
    """A server of one kind that a more urgent kind needs.

    Attributes:
        rank: Rank of that kind; requests of lower rank (a higher number) leave
            it room.
        objective_s: Its target time to a first event.
        spare: Share of the server that it does not need.
        slots: Slots that less urgent requests leave free.
    """

    rank: int
    objective_s: float
    spare: float
    slots: int

    def admits(
        self,
        running: int,
        pending_s: float,
        own_s: float,
        spread: float,
        *,
        waiting: bool = False,
    ) -> bool:
        """Returns whether a less urgent request may begin there now.

        Args:
            running: Concurrent requests at the server.
            pending_s: Time of the prefill pending there.
            own_s: Time of the request's own prefill.
            spread: Number from 0 to 1 that differs between requests.
            waiting: Whether a more urgent request waits at some instance.
        """
        if spread < FLOOR_SHARE:
            return True
        if waiting:
            return False
        if not running:
            return True
        if pending_s > IDLE_PREFILL_S:
            return False
        fits = own_s <= self.objective_s * PREFILL_OBJECTIVE_SHARE
        return fits or spread < self.spare


@dataclasses.dataclass(frozen=True)
class BorrowedServers:
    """The borrowed servers of one service.

    Attributes:
        servers: By server.
        by_kind: Servers of other kinds that each kind may use.
        urgent: Kinds that compete with less urgent ones under overload.
        waiting_rank: Highest rank (lowest number) of which requests wait for a
            server at some instance.
        ranks: Rank of each kind.
    """

    servers: Mapping[str, BorrowedServer]
    by_kind: Mapping[str, frozenset[str]]
    urgent: frozenset[str] = frozenset()
    waiting_rank: float = math.inf
    ranks: Mapping[str, int] = dataclasses.field(default_factory=dict)

    def share_left(self, kind: str, servers: Sequence[str]) -> float:
        """Returns the share of some servers that more urgent kinds leave."""
        rank = self.ranks.get(kind)
        if rank is None or not servers:
            return 1.0
        left = 0.0
        for name in servers:
            held = self.servers.get(name)
            taken = held is not None and held.rank < rank
            left += max(FLOOR_SHARE, held.spare) if taken else 1.0
        return left / len(servers)


NONE_BORROWED = BorrowedServers({}, {})


@dataclasses.dataclass(frozen=True)
class UrgentKind:
    """What a kind needs besides servers.

    Attributes:
        objective_s: Target time to a first event.
        slots: Slots at a server that its requests take in the time in which
            one becomes free.
    """

    objective_s: float
    slots: int


def borrow(
    forecast: DemandForecast,
    groups: Mapping[str, Sequence[str]],
    speeds: Mapping[str, float],
    kinds: Mapping[str, UrgentKind],
) -> BorrowedServers:
    """Returns the servers that kinds need beyond their own.

    Kinds are served by rank. The least urgent kind lends first, and of its
    servers those nearest to the borrower's in the order of the split.

    Args:
        forecast: Expected demand.
        groups: Servers of each kind.
        speeds: Speeds of servers that differ from the usual 1.0.
        kinds: Needs of each kind besides servers.
    """
    if not forecast.overloaded:
        return NONE_BORROWED
    by_rank = sorted(forecast.demand, key=lambda item: (item.rank, item.kind))
    servers: dict[str, BorrowedServer] = {}
    by_kind: dict[str, frozenset[str]] = {}
    for item in by_rank:
        need = kinds.get(item.kind)
        if need is None:
            continue
        less_urgent = [x for x in by_rank if x.rank > item.rank]
        if not less_urgent:
            break
        missing_work = item.work / TARGET_UTILISATION
        for name in groups.get(item.kind, ()):
            if name in servers:
                continue
            speed = speeds.get(name, 1.0)
            servers[name] = _borrowed(item.rank, need, missing_work / speed)
            missing_work -= speed
        if item.waiting:
            missing_work = max(missing_work, WAITING_WORK)
        if missing_work <= URGENT_ROUND_UP:
            continue
        taken = set()
        lenders = sorted(
            less_urgent,
            key=lambda x: (-x.rank, -x.size, x.kind),
        )
        for name in _servers_of(lenders, groups):
            if missing_work <= 0:
                break
            if name in servers or name in taken:
                continue
            speed = speeds.get(name, 1.0)
            servers[name] = _borrowed(item.rank, need, missing_work / speed)
            missing_work -= speed
            taken.add(name)
        if taken:
            by_kind[item.kind] = frozenset(taken)
    last = max(item.rank for item in by_rank)
    urgent = frozenset(item.kind for item in by_rank if item.rank < last)
    waiting = [item.rank for item in by_rank if item.waiting]
    return BorrowedServers(
        servers,
        by_kind,
        urgent,
        min(waiting, default=math.inf),
        {item.kind: item.rank for item in by_rank},
    )


def _servers_of(
    kinds: Iterable[RouteDemand], groups: Mapping[str, Sequence[str]]
) -> Iterator[str]:
    """Yields the servers of kinds, the last in the order of the split first."""
    for item in kinds:
        yield from reversed(groups.get(item.kind, ()))


def _borrowed(rank: int, need: UrgentKind, used: float) -> BorrowedServer:
    spare = min(1.0, max(0.0, 1.0 - used))
    return BorrowedServer(rank, need.objective_s, spare, need.slots)


def log_fields(
    borrowed: BorrowedServers, forecast: DemandForecast
) -> dict[str, object]:
    """Returns the figures behind a decision to borrow, for a log line."""
    return {
        "borrowed": {x: sorted(held) for x, held in borrowed.by_kind.items()},
        "spare": {x: round(y.spare, 2) for x, y in borrowed.servers.items()},
        "work": {x.kind: round(x.work, 2) for x in forecast.demand},
        "recent": {x.kind: round(x.recent, 2) for x in forecast.demand},
        "waiting": {x.kind: x.waiting for x in forecast.demand if x.waiting},
    }


@dataclasses.dataclass
class _Interval:
    """Placements at one server in one report interval.

    Attributes:
        number: Number of the interval.
        rounding: Number from 0 to 1 that rounds the instance's part.
        count: Placements.
        before: Placements in the interval before, of which the other instances'
            are not yet known either: reports arrive at any time of an interval.
    """

    number: int
    rounding: float
    count: int = 0
    before: int = 0


class PlacementPace:
    """Placements of one instance at each server in a report interval.

    In an interval an instance does not know what the others have placed. If
    each filled what the last reports showed as free, a server would get several
    times that.
    """

    def __init__(self) -> None:
        self._intervals: dict[str, _Interval] = {}

    def record(self, server: str, name: str, now: float) -> None:
        """Records the placement of a request."""
        self._interval(server, name, now).count += 1

    def allows(
        self, server: str, name: str, free: int, instances: int, now: float
    ) -> bool:
        """Returns whether one more is within the instance's part.

        Args:
            server: The server.
            name: Id of the request.
            free: Free slots there.
            instances: Number of instances that place requests there.
            now: Monotonic time.
        """
        if instances <= 1:
            return True
        held = self._interval(server, name, now)
        count = held.before + held.count
        part = (free + count) / instances
        return count + 1 <= math.floor(part + held.rounding)

    def has_turn(
        self, server: str, name: str, instances: int, now: float
    ) -> bool:
        """Returns whether a less urgent request may begin in this interval.

        Of several instances that see an idle server about one begins.

        Args:
            server: The server.
            name: Id of the request.
            instances: Number of instances that place requests there.
            now: Monotonic time.
        """
        if instances <= 1:
            return True
        held = self._interval(server, name, now)
        return not held.before + held.count and held.rounding * instances < 1

    def forget(self, server: str) -> None:
        """Deletes the count of a server that has ended."""
        self._intervals.pop(server, None)

    def _interval(self, server: str, name: str, now: float) -> _Interval:
        number = int(now / REPORT_INTERVAL_S)
        held = self._intervals.get(server)
        if held is None or held.number != number:
            # One number for all requests of the interval: of many that wait
            # one would nearly always round the part up. Instances have
            # different requests, so they differ.
            rounding = spread(f"{name}/{server}/{number}")
            before = 0
            if held is not None and held.number == number - 1:
                before = held.count
            held = _Interval(number, rounding, before=before)
            self._intervals[server] = held
        return held


def spread(name: str) -> float:
    """Returns a number from 0 to 1 that all instances derive from a name."""
    return xxhash.xxh32_intdigest(name.encode()) / 2**32


def unreported_slots(slots: int, instances: int) -> int:
    """Returns the slots left free for placements that are not yet reported.

    Args:
        slots: Slots of a server.
        instances: Number of instances that place requests there.
    """
    if instances <= 1:
        return 0
    return math.ceil(UNREPORTED_SHARE * slots)


def slots_needed(
    requests_per_s: float, servers: int, request_s: float, slots: int
) -> int:
    """Returns how many slots requests take until one becomes free.

    Args:
        requests_per_s: Rate of the requests.
        servers: Servers among which they are divided.
        request_s: Time from placement to the end of one.
        slots: Slots of a server.
    """
    freed_s = request_s / max(1, slots)
    return min(
        slots // 2, math.ceil(requests_per_s / max(1, servers) * freed_s)
    )
