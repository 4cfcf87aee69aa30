"""Kinds of different rank under bursts, in virtual time without a network.

Some servers crash for a while. A request that meets a crashed server is placed
again elsewhere, as are those that were running there. A refusal is final unless
callers come back.
"""

import collections
import dataclasses
from collections.abc import Sequence

from jasminerelay.catalog import Call, Prompt, PromptPart, Route
from jasminerelay.placementqueue import PlacementQueue, QueueEntry
from tests.speedworld import SLOTS, Node, Sent, SpeedWorld
from tests.test_cells import LONG_ROUTE, SERVICE, registry
from tests.test_placing import call

SHARED_TOKENS = 200
PREFIXES = 8
MAX_PLACEMENTS = 3
TIER_WINDOW_S = 5.0
LOST_SHARE = 1 / 12


@dataclasses.dataclass(frozen=True)
class Kind:
    """Requests of one route.

    Attributes:
        name: Name of the route.
        rank: Its priority.
        rate: Usual number of requests per second.
        tokens: Mean prompt length.
        output: Output tokens.
        objective_s: Target time to the first event.
        timeout_s: Maximum time to the end.
    """

    name: str
    rank: int
    rate: float
    tokens: int
    output: int
    objective_s: float
    timeout_s: float

    def route(self) -> dict[str, object]:
        """Returns its route as configured."""
        return LONG_ROUTE | {
            "name": self.name,
            "prefix": f"/{self.name}/",
            "timeoutMs": self.timeout_s * 1000,
            "targetLatencyMs": self.objective_s * 1000,
            "priorityClass": self.rank,
        }


@dataclasses.dataclass(frozen=True)
class Burst:
    """A kind's rate, multiplied for some time from the start of the load."""

    kind: str
    at_s: float
    for_s: float
    factor: float


@dataclasses.dataclass(frozen=True)
class Crash:
    """Servers that refuse connections for some time."""

    servers: Sequence[int]
    at_s: float
    for_s: float


@dataclasses.dataclass(eq=False)
class Outcome:
    """What became of one request; times are since the start of the load."""

    kind: Kind
    tokens: int
    sent_s: float
    first_s: float | None = None
    ended_s: float | None = None
    begun_s: float | None = None
    refused_s: float | None = None
    retry_s: float = 0.0
    why: str = ""
    placements: int = 0
    attempts: int = 0

    @property
    def served(self) -> bool:
        """Whether it ended before its deadline."""
        return (
            self.ended_s is not None
            and self.ended_s - self.sent_s <= self.kind.timeout_s
        )

    @property
    def in_time(self) -> bool:
        """Whether it was served and met its objective."""
        return self.served and (
            self.first_s - self.sent_s <= self.kind.objective_s
        )


class UrgentWorld(SpeedWorld):
    """Runs several kinds under bursts and crashes.

    Attributes:
        outcomes: The requests that came after the warm-up.
        placed: Id and server of each placement, in order.
    """

    def __init__(
        self,
        kinds: Sequence[Kind],
        speeds: tuple[float, ...],
        instances: int = 1,
        *,
        bursts: Sequence[Burst] = (),
        crashes: Sequence[Crash] = (),
        load_s: float,
        warm_up_s: float = 10.0,
        attempts: int = 1,
        seed: int = 1,
    ):
        super().__init__(speeds, instances, seed=seed)
        self.kinds = kinds
        self.bursts = bursts
        self.crashes = crashes
        self.load_s = load_s
        self.attempts = attempts
        self.started = self.now + warm_up_s
        self.rate = sum(kind.rate for kind in kinds) * max(
            [1.0, *(burst.factor for burst in bursts)]
        )
        held = registry(len(speeds), [kind.route() for kind in kinds])
        self.routes = {route.name: route for route in held.catalog.routes}
        self.nodes = [self._node(instances) for _ in range(instances)]
        self.outcomes: list[Outcome] = []
        self._by_call: dict[str, Outcome] = {}
        self.placed: list[tuple[str, str]] = []
        self._returning: list[tuple[float, Node, Call]] = []
        self._failed_calls: list[tuple[Node, Call, frozenset[str]]] = []

    def _node(self, instances: int) -> Node:
        routes = [kind.route() for kind in self.kinds]
        node = Node(
            len(self.speeds), instances, registry(len(self.speeds), routes)
        )
        dispatcher = node.dispatcher
        node.queue = PlacementQueue(
            dispatcher.place,
            dispatcher.expect,
            dispatcher.busy_s,
            dispatcher.reserve,
            dispatcher.first_s,
            frequent_passes=instances == 1,
            actual_busy=dispatcher.actual_busy_s,
            headroom=dispatcher.headroom if instances > 1 else None,
        )
        return node

    def play(self) -> "UrgentWorld":
        """Runs the load until its last request has ended."""
        last_s = max(kind.timeout_s for kind in self.kinds)
        self.run(self.started - self.now + self.load_s + last_s)
        return self

    def elapsed_s(self) -> float:
        """Returns the time since the start of the load."""
        return self.now - self.started

    def crashed(self, server: int) -> bool:
        """Returns whether a server refuses connections now."""
        return any(
            server in crash.servers
            and 0 <= self.elapsed_s() - crash.at_s < crash.for_s
            for crash in self.crashes
        )

    def _kind_rate(self, kind: Kind) -> float:
        rate = kind.rate
        for burst in self.bursts:
            if (
                burst.kind == kind.name
                and 0 <= self.elapsed_s() - burst.at_s < burst.for_s
            ):
                rate *= burst.factor
        return rate

    def _arrive(self) -> None:
        if self.elapsed_s() >= self.load_s:
            return
        # Arrivals at the highest rate are thinned to the present one.
        chosen = self.rng.random() * self.rate
        for kind in self.kinds:
            chosen -= self._kind_rate(kind)
            if chosen < 0:
                break
        else:
            return
        own = round(kind.tokens * self.rng.uniform(0.8, 1.2)) - SHARED_TOKENS
        name = f"c{len(self._by_call)}"
        prefix = f"{kind.name}-{self.rng.randrange(PREFIXES)}"
        parts = (PromptPart(prefix, SHARED_TOKENS), PromptPart(name, own))
        route: Route = self.routes[kind.name]
        tokens = own + SHARED_TOKENS
        request = call(
            name,
            arrived_at=self.now,
            answer_deadline=self.now + kind.timeout_s,
            route=route,
            rank=kind.rank,
            prompt=Prompt(parts, tokens, kind.output, SHARED_TOKENS),
        )
        outcome = Outcome(kind, tokens, self.elapsed_s())
        self._by_call[name] = outcome
        if outcome.sent_s >= 0:
            self.outcomes.append(outcome)
        node = self.rng.choice(self.nodes)
        node.dispatcher.record_arrival(request)
        self._enqueue(node, request, frozenset())

    def _enqueue(self, node: Node, item: Call, avoid: frozenset[str]) -> None:
        node.queue.enqueue(
            item, avoid, lambda entry: self._settled(node, entry)
        )

    def _settled(self, node: Node, entry: QueueEntry) -> None:
        outcome = self._by_call[entry.call.id]
        if entry.reservation is None:
            outcome.attempts += 1
            retry_s = entry.refused.retry_s or 0.0
            if outcome.attempts < self.attempts:
                self._returning.append((self.now + retry_s, node, entry.call))
                return
            outcome.refused_s = self.elapsed_s()
            outcome.retry_s = retry_s
            outcome.why = str(entry.refused)
            return
        number = int(entry.reservation.placed.server.id[2:])
        outcome.placements += 1
        self.placed.append((entry.call.id, entry.reservation.placed.server.id))
        if self.crashed(number) or len(self.sent[number]) >= SLOTS:
            self._failed(node, entry)
            return
        outcome.begun_s = self.elapsed_s()
        unread = entry.reservation.placed.unread
        held = Sent(node, entry, self.now, unread, outcome.kind.output)
        self.sent[number].append(held)

    def _failed(self, node: Node, entry: QueueEntry) -> None:
        server = entry.reservation.placed.server.id
        entry.reservation.run.end()
        if self.crashed(int(server[2:])):
            node.dispatcher.health(SERVICE).failed(server, self.now)
        else:
            self.rejected += 1
            node.dispatcher.record_rejection(SERVICE, server, self.now)
        outcome = self._by_call[entry.call.id]
        if outcome.placements < MAX_PLACEMENTS:
            self._failed_calls.append(
                (node, entry.call, entry.avoid | {server})
            )

    def _advance(self, number: int) -> None:
        if not number:
            failed, self._failed_calls = self._failed_calls, []
            for call_again in failed:
                self._enqueue(*call_again)
            self._return_callers()
        held = self.sent[number]
        if self.crashed(number):
            self.sent[number] = []
            for sent in held:
                self._failed(sent.node, sent.entry)
            return
        for sent in [x for x in held if self.now > self._deadline(x)]:
            held.remove(sent)
            sent.entry.reservation.run.end()
        super()._advance(number)

    def _return_callers(self) -> None:
        due = [x for x in self._returning if x[0] <= self.now]
        self._returning = [x for x in self._returning if x[0] > self.now]
        for _, node, item in due:
            attempt = dataclasses.replace(item, arrived_at=self.now)
            node.dispatcher.record_arrival(attempt)
            self._enqueue(node, attempt, frozenset())

    def _deadline(self, sent: Sent) -> float:
        return sent.entry.call.answer_deadline

    def _first_event(self, number: int, sent: Sent, now: float) -> None:
        super()._first_event(number, sent, now)
        outcome = self._by_call[sent.entry.call.id]
        outcome.first_s = now - self.started

    def _ended(self, sent: Sent) -> None:
        super()._ended(sent)
        self._by_call[sent.entry.call.id].ended_s = self.elapsed_s()
        server = sent.entry.reservation.placed.server.id
        sent.node.dispatcher.health(SERVICE).succeeded(server)
        sent.node.queue.capacity_freed(SERVICE)

    def of(self, kind: str) -> list[Outcome]:
        """Returns the outcomes of one kind."""
        return [x for x in self.outcomes if x.kind.name == kind]

    def summary(self) -> dict[str, collections.Counter[str]]:
        """Returns the number of requests by kind and outcome."""
        found: dict[str, collections.Counter[str]] = {}
        for x in self.outcomes:
            counts = found.setdefault(x.kind.name, collections.Counter())
            counts["sent"] += 1
            if x.served:
                counts["in time" if x.in_time else "late"] += 1
            else:
                counts["refused" if x.refused_s is not None else "failed"] += 1
        return found

    def served_share(self, kind: str | None = None) -> float:
        """Returns the served share of a kind's requests, or of all."""
        of = [x for x in self.outcomes if kind in (None, x.kind.name)]
        return sum(x.served for x in of) / len(of)

    def in_time_share(self, kind: str) -> float:
        """Returns the share of a kind's served requests that were in time."""
        served = [x for x in self.of(kind) if x.served]
        return sum(x.in_time for x in served) / len(served)

    def displaced(self, kind: str, since_s: float = 0.0) -> float:
        """Returns the largest share of a kind that was lost in a window.

        Only windows of five seconds count in which less urgent requests of
        over twice the size began.

        Args:
            kind: The kind.
            since_s: Time from which windows begin.
        """
        own = self.of(kind)
        begun = [
            (x.begun_s, x.tokens)
            for x in self.outcomes
            if x.begun_s is not None and x.kind.rank > own[0].kind.rank
        ]
        worst = 0.0
        end = max(x.sent_s for x in own)
        for step in range(int(2 * (end - TIER_WINDOW_S))):
            start = step / 2
            if start < since_s:
                continue
            window = (start, start + TIER_WINDOW_S)
            there = [x for x in own if window[0] <= x.sent_s < window[1]]
            size = max((x.tokens for x in there), default=0)
            if any(
                window[0] <= at < window[1] and tokens > 2 * size
                for at, tokens in begun
            ):
                lost = sum(not x.served for x in there) / len(there)
                worst = max(worst, lost)
        return worst
