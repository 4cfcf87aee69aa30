"""Splits the backend servers of a model service into groups by request kind.

An engine processes a long prompt in chunks between the decode steps of the
concurrent requests, so one long prompt lengthens the pauses of every stream on
its server. If a kind with long prompts and one with short allowed pauses share
a server, the latter misses its objective although no server is full. Load
counts do not show this; separate servers for each kind prevent it.

Every instance computes the same split from the same demand reports: kinds in
order of prompt size, servers in order of id, each kind a contiguous range of
servers proportional to its share of the work. When a boundary moves by one,
only one server changes its group, so the others keep their caches. Servers of
different speed count by speed: a boundary lies where the capacity before it is
nearest to that of the kinds before it.
"""

import dataclasses
import itertools
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

from jasminerelay.schema.messages import RouteDemand

FLOOR_SHARE = 0.7
"""Share of its proportional part that each kind gets before the remaining
servers are assigned by rank. Without it a burst of the highest rank would leave
the lowest almost none."""

HYSTERESIS = 0.2
"""Hysteresis, in servers beyond one half, by which a kind's target must differ
from its present count before a boundary moves; with less, groups flap with
every small fluctuation."""

URGENT_ROUND_UP = 0.2
"""Fraction of a server that the first rank must lack, under overload, to get
that server whole. Rounded down, its few servers are the only ones that are
overloaded for the most urgent requests."""

SPEED_HYSTERESIS = 0.15
"""Change of a server's speed by which it must differ from the one that the
split is made with; estimates vary by some percent all the time."""

RISE_TIME_CONSTANT_S = 1.0
FALL_TIME_CONSTANT_S = 6.0
"""Time constants of the average when the measured rate rises or falls. A burst
must be followed while it lasts; a lull of a few seconds is not worth cold
caches."""

INITIAL_RATE = 2.0
"""Requests per second assumed for a kind until its rate is measured: without an
assumption the requests of the first seconds would share all servers."""

NEED_WEIGHT = 0.1
"""Weight of one request in the moving average of its kind's resource needs."""

PEER_DEMAND_MAX_AGE_S = 3.0
"""Age up to which another instance's demand report is used."""

TARGET_UTILISATION = 0.85
"""Target utilisation of a server by its kind; above it, queueing delays grow
faster than the load."""

MIN_WORK = 0.01
"""Work, in servers, below which a kind needs no server of its own."""


@dataclasses.dataclass(frozen=True)
class ResourceNeed:
    """Resources that a request needs, independent of the engine's speed.

    Attributes:
        unread: Prompt tokens to prefill, without cached parts.
        output: Output tokens.
        memory: Tokens of KV cache that it occupies.
    """

    unread: float
    output: float
    memory: float

    def blended_with(
        self, other: "ResourceNeed", weight: float
    ) -> "ResourceNeed":
        """Returns the weighted mean with another one, of weight 0 to 1."""
        return ResourceNeed(
            self.unread + weight * (other.unread - self.unread),
            self.output + weight * (other.output - self.output),
            self.memory + weight * (other.memory - self.memory),
        )


@dataclasses.dataclass
class _KindMeter:
    rank: int
    rate: float
    need: ResourceNeed
    count: int = 0


class DemandMeter:
    """Measures the demand at one instance by service and kind.

    It averages resource needs and not engine times: engine speeds are learned
    within seconds, and an average of times would keep the first estimates for
    long.
    """

    def __init__(self) -> None:
        self._meters: dict[tuple[str, str], _KindMeter] = {}
        self._last_tick: float | None = None

    def record(
        self, service: str, kind: str, rank: int, need: ResourceNeed
    ) -> None:
        """Records a request."""
        key = (service, kind)
        if key not in self._meters:
            self._meters[key] = _KindMeter(rank, INITIAL_RATE, need)
        meter = self._meters[key]
        meter.count += 1
        meter.need = meter.need.blended_with(need, NEED_WEIGHT)

    def tick(self, now: float) -> None:
        """Updates the averages with the requests since the last tick."""
        if self._last_tick is None:
            self._last_tick = now
            return
        span = now - self._last_tick
        if span <= 0:
            return
        self._last_tick = now
        for meter in self._meters.values():
            rate = meter.count / span
            meter.count = 0
            constant = (
                RISE_TIME_CONSTANT_S
                if rate > meter.rate
                else FALL_TIME_CONSTANT_S
            )
            meter.rate += (rate - meter.rate) * (1 - math.exp(-span / constant))

    def demand(
        self, busy_s: Callable[[str, ResourceNeed], float]
    ) -> list[RouteDemand]:
        """Returns the measured demand by kind, to be reported.

        The name of a kind includes its service, which keeps the message flat.

        Args:
            busy_s: Returns how long a request occupies an engine of a service.
        """
        found = [
            RouteDemand(
                f"{service}/{kind}",
                round(meter.rate * busy_s(service, meter.need), 4),
                round(meter.need.unread),
                meter.rank,
            )
            for (service, kind), meter in self._meters.items()
        ]
        return [item for item in found if item.work > MIN_WORK / 10]


class TotalDemand:
    """Total demand over all instances."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, list[RouteDemand]]] = {}

    def update(
        self, instance: str, demand: Iterable[RouteDemand], now: float
    ) -> None:
        """Replaces the demand report of one instance."""
        self._reports[instance] = (now, list(demand))

    def total(self, service: str, now: float) -> list[RouteDemand]:
        """Returns the total demand on a service by kind."""
        work: dict[str, float] = {}
        weighted_size: dict[str, float] = {}
        rank: dict[str, int] = {}
        prefix = f"{service}/"
        for name, (received_at, demand) in list(self._reports.items()):
            if now - received_at > PEER_DEMAND_MAX_AGE_S:
                del self._reports[name]
                continue
            for item in demand:
                if item.kind.startswith(prefix):
                    kind = item.kind.removeprefix(prefix)
                    work[kind] = work.get(kind, 0.0) + item.work
                    weighted_size[kind] = (
                        weighted_size.get(kind, 0.0) + item.work * item.size
                    )
                    rank[kind] = item.rank
        return [
            RouteDemand(kind, total, weighted_size[kind] / total, rank[kind])
            for kind, total in sorted(work.items())
            if total > MIN_WORK
        ]


class ServerSplit:
    """The present split of one service's servers; changes slowly."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._groups: dict[str, tuple[str, ...]] = {}
        self._speeds: dict[str, float] = {}

    @property
    def groups(self) -> Mapping[str, tuple[str, ...]]:
        """Server ids of each kind."""
        return self._groups

    def update(
        self,
        servers: Sequence[str],
        demand: Sequence[RouteDemand],
        speeds: Mapping[str, float] | None = None,
    ) -> bool:
        """Recomputes the split; returns whether it has changed.

        Args:
            servers: Ids of the servers in use.
            demand: Demand by kind.
            speeds: Speeds of servers that differ from the usual 1.0.
        """
        self._hold_speeds(speeds or {})
        kinds = sorted(demand, key=lambda item: (-item.size, item.kind))
        targets = _target_counts(len(servers), kinds)
        present = self._counts
        valid = set(present) == set(targets) and sum(present.values()) == len(
            servers
        )
        urgent = _overloaded_first_rank(len(servers), kinds)
        if not valid or _exceeds_hysteresis(present, targets, urgent):
            self._counts = _rounded_counts(targets, len(servers), urgent)
        before = self._groups
        self._groups = _contiguous_groups(
            sorted(servers),
            [item.kind for item in kinds],
            self._counts,
            self._speeds,
        )
        return self._groups != before

    def _hold_speeds(self, speeds: Mapping[str, float]) -> None:
        """Takes over new speeds if one has changed notably."""
        names = self._speeds.keys() | speeds.keys()
        if any(
            abs(speeds.get(name, 1.0) - self._speeds.get(name, 1.0))
            > SPEED_HYSTERESIS
            for name in names
        ):
            self._speeds = dict(speeds)

    def group(self, kind: str) -> tuple[str, ...]:
        """Returns the servers of a kind; empty if it has had no demand."""
        return self._groups.get(kind, ())


def _target_counts(
    count: int, kinds: Sequence[RouteDemand]
) -> dict[str, float]:
    """Returns each kind's target number of servers, as a fraction.

    If there are enough servers for all kinds, spare servers are shared in
    proportion to the work. If not, kinds of higher rank get what they need
    first, but every kind keeps its minimum.
    """
    if not kinds or not count:
        return {}
    total = sum(item.work for item in kinds)
    minimum = min(1.0, count / len(kinds))
    targets = {
        item.kind: max(minimum, FLOOR_SHARE * count * item.work / total)
        for item in kinds
    }
    overcommitment = sum(targets.values()) / count
    if overcommitment > 1:
        targets = {
            kind: share / overcommitment for kind, share in targets.items()
        }
    rest = count - sum(targets.values())
    for item in sorted(kinds, key=lambda item: item.rank):
        needed = max(0.0, item.work / TARGET_UTILISATION - targets[item.kind])
        granted = min(needed, rest)
        targets[item.kind] += granted
        rest -= granted
    for item in kinds:
        targets[item.kind] += rest * item.work / total
    return targets


def _overloaded_first_rank(
    count: int, kinds: Sequence[RouteDemand]
) -> frozenset[str]:
    """Returns the kinds of the first rank if all kinds need more servers."""
    needed = sum(item.work for item in kinds) / TARGET_UTILISATION
    if not count or needed <= count:
        return frozenset()
    first = min(item.rank for item in kinds)
    return frozenset(item.kind for item in kinds if item.rank == first)


def _exceeds_hysteresis(
    present: Mapping[str, int],
    targets: Mapping[str, float],
    urgent: frozenset[str],
) -> bool:
    return any(
        abs(targets[kind] - present[kind]) > 0.5 + HYSTERESIS
        for kind in targets
    ) or any(targets[kind] - present[kind] > URGENT_ROUND_UP for kind in urgent)


def _rounded_counts(
    targets: Mapping[str, float], count: int, urgent: frozenset[str]
) -> dict[str, int]:
    """Returns whole numbers of servers, the nearest ones that add up.

    Kinds in `urgent` are rounded up first.
    """
    counts = {kind: int(share + 1e-9) for kind, share in targets.items()}
    spare = count - sum(counts.values())

    def order_key(kind: str) -> tuple[bool, float, str]:
        missing = targets[kind] - counts[kind]
        rounds_up = kind in urgent and missing > URGENT_ROUND_UP
        return (not rounds_up, -missing, kind)

    order = sorted(targets, key=order_key)
    for kind in order[:spare]:
        counts[kind] += 1
    return counts


def _counts_by_speed(
    servers: Sequence[str],
    kinds: Sequence[str],
    counts: Mapping[str, int],
    speeds: Mapping[str, float],
) -> dict[str, int]:
    """Returns the counts with boundaries at the same share of the capacity.

    Each kind that has a server keeps at least one.
    """
    capacity = [speeds.get(name, 1.0) for name in servers]
    mean = sum(capacity) / len(capacity)
    before = list(itertools.accumulate(capacity, initial=0.0))
    found = {}
    start = wanted = 0
    later = sum(1 for kind in kinds if counts.get(kind, 0))
    for kind in kinds:
        count = counts.get(kind, 0)
        if not count:
            found[kind] = 0
            continue
        wanted += count
        later -= 1
        last = len(servers) - later
        ends = range(start + 1, last + 1) if later else (last,)
        end = min(ends, key=lambda end: abs(before[end] - wanted * mean))
        found[kind] = end - start
        start = end
    return found


def _contiguous_groups(
    servers: Sequence[str],
    kinds: Sequence[str],
    counts: Mapping[str, int],
    speeds: Mapping[str, float],
) -> dict[str, tuple[str, ...]]:
    if any(speeds.get(name, 1.0) != 1.0 for name in servers):
        counts = _counts_by_speed(servers, kinds, counts, speeds)
    groups: dict[str, tuple[str, ...]] = {}
    start = 0
    for kind in kinds:
        end = start + counts.get(kind, 0)
        groups[kind] = tuple(servers[start:end])
        start = end
    # With fewer servers than kinds some kinds get none; they share the group of
    # the next kind with shorter prompts, or else the last group.
    fallback: tuple[str, ...] = tuple(servers[-1:])
    for kind in reversed(kinds):
        fallback = groups[kind] or fallback
        groups[kind] = fallback
    return groups
