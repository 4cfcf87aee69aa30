"""Which backend servers of a model service serve which kind of work.

Pattern: an engine reads a long prompt in pieces between the tokens of all
requests that run beside it, so one long prompt stretches the pauses of every
stream on its server. A kind with long prompts and one with short pauses that
share a server make the second one late though no server is full. Load counts
do not show it; keeping the kinds on servers of their own does.

Every instance computes the same split from the same words: kinds in order of
their prompts' size, servers in order of their ids, each kind a run of servers
as long as its share of the work. A boundary that moves by one changes the
group of one server, so the others keep their caches.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

from jasminerelay.schema.messages import KindDemand

FLOOR = 0.7
"""Part of its share by work that each kind has before the ranks are served in
order. Without it a burst of the highest rank leaves the lowest one next to
nothing."""

SETTLE = 0.2
"""Part of a server beyond one half by which a kind's due share must leave its
present count before a boundary moves; less makes groups flap with each small
wave."""

RISE_S = 1.0
FALL_S = 6.0
"""Time constants with which measured work rises and falls. A burst must be
followed while it lasts; a lull of a few seconds is not worth cold caches."""

FIRST_RATE = 2.0
"""Requests a second that a kind is taken to bring until its rate is measured:
without a guess the first seconds' requests share all servers."""

SIZE_WEIGHT = 0.1
"""Weight of one request in the running mean of what its kind needs."""

PEER_DEMAND_LIFE_S = 3.0
"""How long another instance's word on its demand counts."""

USE = 0.85
"""Part of a server that its kind's work may take before it needs another;
above it waits grow faster than the work."""

IDLE_WORK = 0.01
"""Work, in servers, under which a kind needs no server of its own."""


@dataclasses.dataclass(frozen=True)
class Need:
    """What a request needs of an engine, whatever the engine's speed.

    Attributes:
        unread: Prompt tokens to read, cached parts left out.
        output: Tokens out.
        memory: Tokens of memory that it holds.
    """

    unread: float
    output: float
    memory: float

    def toward(self, other: "Need", weight: float) -> "Need":
        """Returns this one moved toward another by a weight from 0 to 1."""
        return Need(
            self.unread + weight * (other.unread - self.unread),
            self.output + weight * (other.output - self.output),
            self.memory + weight * (other.memory - self.memory),
        )


@dataclasses.dataclass
class _Meter:
    rank: int
    rate: float
    need: Need
    count: int = 0


class DemandMeter:
    """Requests that callers bring to one instance, by service and kind.

    They are counted by what they need and not by the time that it takes: what
    engines do in a given time is learned within seconds, and a sum of times
    would keep the first guesses for long.
    """

    def __init__(self) -> None:
        self._meters: dict[tuple[str, str], _Meter] = {}
        self._since: float | None = None

    def arrived(self, service: str, kind: str, rank: int, need: Need) -> None:
        """Notes a request."""
        key = (service, kind)
        if key not in self._meters:
            self._meters[key] = _Meter(rank, FIRST_RATE, need)
        meter = self._meters[key]
        meter.count += 1
        meter.need = meter.need.toward(need, SIZE_WEIGHT)

    def tick(self, now: float) -> None:
        """Folds what has come since the last tick into the running means."""
        if self._since is None:
            self._since = now
            return
        span = now - self._since
        if span <= 0:
            return
        self._since = now
        for meter in self._meters.values():
            rate = meter.count / span
            meter.count = 0
            constant = RISE_S if rate > meter.rate else FALL_S
            meter.rate += (rate - meter.rate) * (1 - math.exp(-span / constant))

    def demand(self, busy_s: Callable[[str, Need], float]) -> list[KindDemand]:
        """Returns the demand, for this instance and the others.

        A kind's name carries its service, which keeps the message flat.

        Args:
            busy_s: Says how long a service's engine is busy with a request.
        """
        found = [
            KindDemand(
                f"{service}/{kind}",
                round(meter.rate * busy_s(service, meter.need), 4),
                round(meter.need.unread),
                meter.rank,
            )
            for (service, kind), meter in self._meters.items()
        ]
        return [item for item in found if item.work > IDLE_WORK / 10]


class DemandView:
    """Demand at all instances, summed."""

    def __init__(self) -> None:
        self._words: dict[str, tuple[float, list[KindDemand]]] = {}

    def hear(
        self, instance: str, demand: Iterable[KindDemand], now: float
    ) -> None:
        """Takes one instance's word."""
        self._words[instance] = (now, list(demand))

    def total(self, service: str, now: float) -> list[KindDemand]:
        """Returns the demand on a service by kind."""
        work: dict[str, float] = {}
        sized: dict[str, float] = {}
        rank: dict[str, int] = {}
        prefix = f"{service}/"
        for name, (heard, demand) in list(self._words.items()):
            if now - heard > PEER_DEMAND_LIFE_S:
                del self._words[name]
                continue
            for item in demand:
                if item.kind.startswith(prefix):
                    kind = item.kind.removeprefix(prefix)
                    work[kind] = work.get(kind, 0.0) + item.work
                    sized[kind] = sized.get(kind, 0.0) + item.work * item.size
                    rank[kind] = item.rank
        return [
            KindDemand(kind, total, sized[kind] / total, rank[kind])
            for kind, total in sorted(work.items())
            if total > IDLE_WORK
        ]


class Split:
    """The present split of one service's servers; moves slowly."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._groups: dict[str, tuple[str, ...]] = {}

    @property
    def groups(self) -> Mapping[str, tuple[str, ...]]:
        """Servers of each kind."""
        return self._groups

    def update(
        self, servers: Sequence[str], demand: Sequence[KindDemand]
    ) -> bool:
        """Looks at the split; returns whether it has changed.

        Args:
            servers: Ids of the servers in use.
            demand: Demand by kind.
        """
        kinds = sorted(demand, key=lambda item: (-item.size, item.kind))
        due = _due(len(servers), kinds)
        kept = self._counts
        valid = set(kept) == set(due) and sum(kept.values()) == len(servers)
        if not valid or _moved(kept, due):
            self._counts = _rounded(due, len(servers))
        before = self._groups
        self._groups = _laid_out(
            sorted(servers), [item.kind for item in kinds], self._counts
        )
        return self._groups != before

    def group(self, kind: str) -> tuple[str, ...]:
        """Returns the servers of a kind; none for one not seen yet."""
        return self._groups.get(kind, ())


def _due(count: int, kinds: Sequence[KindDemand]) -> dict[str, float]:
    """Returns each kind's due part of the servers.

    While there is enough for all, spare servers are shared by work. When
    there is not, the higher ranks get what they need first, but never so
    much that a kind is left with less than its least part.
    """
    if not kinds or not count:
        return {}
    total = sum(item.work for item in kinds)
    least = min(1.0, count / len(kinds))
    due = {
        item.kind: max(least, FLOOR * count * item.work / total)
        for item in kinds
    }
    over = sum(due.values()) / count
    if over > 1:
        due = {kind: share / over for kind, share in due.items()}
    rest = count - sum(due.values())
    for item in sorted(kinds, key=lambda item: item.rank):
        wanted = max(0.0, item.work / USE - due[item.kind])
        given = min(wanted, rest)
        due[item.kind] += given
        rest -= given
    for item in kinds:
        due[item.kind] += rest * item.work / total
    return due


def _moved(kept: Mapping[str, int], due: Mapping[str, float]) -> bool:
    return any(abs(due[kind] - kept[kind]) > 0.5 + SETTLE for kind in due)


def _rounded(due: Mapping[str, float], count: int) -> dict[str, int]:
    counts = {kind: int(share + 1e-9) for kind, share in due.items()}
    spare = count - sum(counts.values())
    order = sorted(due, key=lambda kind: (counts[kind] - due[kind], kind))
    for kind in order[:spare]:
        counts[kind] += 1
    return counts


def _laid_out(
    servers: Sequence[str], kinds: Sequence[str], counts: Mapping[str, int]
) -> dict[str, tuple[str, ...]]:
    groups: dict[str, tuple[str, ...]] = {}
    start = 0
    for kind in kinds:
        end = start + counts.get(kind, 0)
        groups[kind] = tuple(servers[start:end])
        start = end
    # With fewer servers than kinds some kinds get none; they join the next
    # one with shorter prompts, or else the last group there is.
    following: tuple[str, ...] = tuple(servers[-1:])
    for kind in reversed(kinds):
        following = groups[kind] or following
        groups[kind] = following
    return groups
