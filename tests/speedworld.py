"""Servers of uneven speed under load, in virtual time and without a network.

Each server prefills its prompts in order, then decodes all its streams at once;
its speed may change from step to step. The dispatchers and their queues are the
real ones.
"""

import collections
import dataclasses
import heapq
import random
import statistics
import time
import unittest.mock
from collections.abc import Callable

from jasminerelay.catalog import Call, Prompt, PromptPart
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.placementqueue import PlacementQueue, QueueEntry
from jasminerelay.placing import Wait
from jasminerelay.prefix import CacheView
from jasminerelay.scheduling.servercapacity import StatedLoad
from tests import test_cells
from tests.test_cells import SERVICE, SLOTS, registry
from tests.test_placing import call, route

STEP_S = 0.01
REPORT_INTERVAL_S = 0.1
READ_TOKEN_S = 1 / 20_000
TOKEN_S = 0.005
TOKEN_RUN_S = 0.0001
NEARLY_FULL = 0.85
DECODE_SHARE = 0.2
"""Speed of decoding during prefill, relative to that without."""

PLAIN_SLOTS = 6
SLOWED_S = 0.6
SLOWED_FACTOR = 2.5

UNEVEN = (0.7, 0.7, 1.7, 1.0, 1.0, 1.0, 1.0, 1.0)
EVEN = (sum(UNEVEN) / len(UNEVEN),) * len(UNEVEN)


@dataclasses.dataclass(eq=False)
class Sent:
    """A request at a server."""

    node: "Node"
    entry: QueueEntry
    sent_at: float
    unread: float
    tokens: float = 0.0
    first_at: float = 0.0


class Node:
    """An instance, or the owner of the servers' cell, with its queue."""

    def __init__(self, servers: int, instances: int):
        caches = CacheView() if instances == 1 else None
        self.dispatcher = Dispatcher(
            registry(servers), "z", lambda: instances, caches=caches
        )
        self.queue = PlacementQueue(
            self.dispatcher.place,
            self.dispatcher.expect,
            self.dispatcher.busy_s,
            self.dispatcher.reserve,
            self.dispatcher.first_s,
            frequent_passes=True,
        )


class SpeedWorld:
    """Runs a load and keeps what became of it.

    Attributes:
        placements: Number of the server of each request, in order.
        sent_counts: Number of requests that each server got.
        first_s: Times from arrival to the first event, after the warm-up.
        rejected: Requests that were rejected by a server.
        refused: Requests that were refused by the dispatchers.
    """

    def __init__(
        self,
        speeds: tuple[float, ...],
        instances: int = 1,
        *,
        slowed: bool = False,
        rate: float = 45.0,
        states: Callable[[int, float], float] | None = None,
        seed: int = 1,
    ):
        self.speeds = speeds
        self.slowed = slowed
        self.rate = rate
        self.states = states or (lambda server, slowdown: slowdown)
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.nodes = [Node(len(speeds), instances) for _ in range(instances)]
        self.sent: list[list[Sent]] = [[] for _ in speeds]
        self.placements: list[str] = []
        self.sent_counts: collections.Counter[str] = collections.Counter()
        self.first_s: list[float] = []
        self.rejected = self.refused = self._reports = 0

    def run(self, seconds: float, warm_up_s: float = 0.0) -> "SpeedWorld":
        """Runs the load for a time and measures it after the warm-up."""
        started = self.now
        reported_at = next_at = self.now
        with unittest.mock.patch.object(time, "monotonic", lambda: self.now):
            while self.now < started + seconds:
                while next_at <= self.now:
                    self._arrive()
                    next_at += self.rng.expovariate(self.rate)
                if self.now - reported_at >= REPORT_INTERVAL_S:
                    reported_at = self.now
                    self._report()
                for number in range(len(self.speeds)):
                    self._advance(number)
                for node in self.nodes:
                    node.queue.place_all()
                self.now += STEP_S
                if self.now - STEP_S < started + warm_up_s <= self.now:
                    self.first_s.clear()
                    self.sent_counts.clear()
                    self.rejected = self.refused = 0
        return self

    def slowdown(self, number: int) -> float:
        """Returns the momentary slowdown of a server."""
        turn = int(self.now / SLOWED_S) % len(self.speeds)
        return SLOWED_FACTOR if self.slowed and turn == number else 1.0

    def p95_s(self) -> float:
        """Returns the 95th percentile of the time to the first event."""
        return statistics.quantiles(self.first_s, n=20)[-1]

    def imbalance(self) -> float:
        """Returns the load by speed of the busiest server against the mean."""
        by_speed = [
            self.sent_counts[f"i-{n:03}"] / speed
            for n, speed in enumerate(self.speeds)
        ]
        mean = sum(self.sent_counts.values()) / sum(self.speeds)
        return max(by_speed) / mean

    def _call(self) -> Call:
        name = f"c{len(self.placements)}-{self.rng.random()}"
        own = self.rng.randint(500, 3500)
        parts = (PromptPart(f"p{self.rng.randrange(40)}", 200),)
        parts += (PromptPart(name, own),)
        return call(
            name,
            arrived_at=self.now,
            answer_deadline=self.now + 15.0,
            route=route(services=route().services),
            prompt=Prompt(parts, own + 200, 400, 200),
        )

    def _arrive(self) -> None:
        node = self.rng.choice(self.nodes)
        request = self._call()
        node.dispatcher.record_arrival(request)
        node.queue.enqueue(
            request, frozenset(), lambda entry: self._settled(node, entry)
        )

    def _settled(self, node: Node, entry: QueueEntry) -> None:
        if entry.reservation is None:
            self.refused += 1
            return
        server = entry.reservation.placed.server.id
        self.placements.append(server)
        self.sent_counts[server] += 1
        held = self.sent[int(server[2:])]
        if len(held) >= SLOTS:
            self.rejected += 1
            entry.reservation.run.end()
            node.dispatcher.record_rejection(SERVICE, server, self.now)
            return
        unread = entry.reservation.placed.unread
        held.append(Sent(node, entry, self.now, unread))

    def _advance(self, number: int) -> None:
        held = self.sent[number]
        if not held:
            return
        full = SLOWED_FACTOR if len(held) > NEARLY_FULL * SLOTS else 1.0
        factor = self.slowdown(number) / self.speeds[number] * full
        left_s = STEP_S / factor
        decode_s = left_s
        for sent in held:
            if sent.unread > 0 and left_s > 0:
                read = min(sent.unread, left_s / READ_TOKEN_S)
                sent.unread -= read
                left_s -= read * READ_TOKEN_S
                if sent.unread <= 0:
                    first_at = self.now + STEP_S - left_s * factor
                    self._first_event(number, sent, first_at)
        decode_s = left_s + DECODE_SHARE * (decode_s - left_s)
        token_s = TOKEN_S + TOKEN_RUN_S * len(held)
        for sent in [item for item in held if item.first_at]:
            before = int(sent.tokens / 5)
            sent.tokens += decode_s / token_s
            new = int(sent.tokens / 5) - before
            if new:
                sent.node.dispatcher.record_response(f"i-{number:03}", self.now)
                # Events that come together count as one gap.
                sent.node.dispatcher.token_times.observe(
                    f"i-{number:03}",
                    5 * new,
                    self.now + STEP_S - sent.sent_at,
                    self.now,
                )
                sent.sent_at = self.now + STEP_S
            if sent.tokens >= 200:
                held.remove(sent)
                sent.entry.reservation.run.end()

    def _first_event(self, number: int, sent: Sent, now: float) -> None:
        server = f"i-{number:03}"
        seconds = now - sent.sent_at
        reservation = sent.entry.reservation
        sent.first_at = sent.sent_at = now
        self.first_s.append(sent.first_at - sent.entry.call.arrived_at)
        dispatcher = sent.node.dispatcher
        dispatcher.record_response(server, self.now)
        dispatcher.record_first_event(
            sent.entry.call,
            reservation.placed,
            reservation.run.prefill_ahead,
            seconds,
        )
        reservation.run.read(seconds)
        stated = StatedLoad(
            self.now, self.states(number, self.slowdown(number)), 0
        )
        dispatcher.record_statement(SERVICE, server, stated, self.now)
        sent.node.queue.capacity_freed(SERVICE)

    def _report(self) -> None:
        self._reports += 1
        for node in self.nodes:
            node.dispatcher.tick(self.now)
            loads = node.dispatcher.own_loads(self.now)
            samples = node.dispatcher.engine_models.take_unsent_samples()
            demand = node.dispatcher.own_demand()
            for other in self.nodes:
                if other is node:
                    continue
                target = other.dispatcher
                name = str(self.nodes.index(node))
                target.apply_load_report(name, self._reports, loads, self.now)
                target.engine_models.add_peer_samples(samples, self.now)
                target.demand.update(name, demand, self.now)


class PlainWorld:
    """Servers of a plain service, some of which work slower or faster.

    Attributes:
        counts: Number of requests that each server got.
        total_s: Times from arrival to the answer, after the warm-up.
        rejected: Requests that came to a server with a full queue.
    """

    def __init__(self, speeds: tuple[float, ...], instances: int, rate: float):
        self.speeds = speeds
        self.rate = rate
        self.rng = random.Random(1)
        self.now = 1000.0
        with unittest.mock.patch.object(test_cells, "SLOTS", PLAIN_SLOTS):
            self.nodes = [
                Node(len(speeds), instances).dispatcher
                for _ in range(instances)
            ]
        for node in self.nodes:
            node._usable.engine_of = lambda service: None
        self.running = [0] * len(speeds)
        self.waiting: list[collections.deque] = [
            collections.deque() for _ in speeds
        ]
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.counts: collections.Counter[int] = collections.Counter()
        self.total_s: list[float] = []
        self.rejected = self._reports = self._events = self._requests = 0

    def run(self, seconds: float, warm_up_s: float) -> "PlainWorld":
        """Runs the load for a time and measures it after the warm-up."""
        measured_at = self.now + warm_up_s
        end = self.now + seconds
        self._at(0.0, self._arrive)
        self._at(0.0, self._report)
        with unittest.mock.patch.object(time, "monotonic", lambda: self.now):
            while self.now < end:
                before, (self.now, _, event) = (
                    self.now,
                    heapq.heappop(self.events),
                )
                if before < measured_at <= self.now:
                    self.counts.clear()
                    self.total_s.clear()
                    self.rejected = 0
                event()
        return self

    def imbalance(self) -> float:
        """Returns the load by speed of the busiest server against the mean."""
        mean = sum(self.counts.values()) / sum(self.speeds)
        return max(self.counts[n] / s for n, s in enumerate(self.speeds)) / mean

    def slowdown(self, number: int) -> float:
        """Returns how long work takes at a server at this moment."""
        uneven = len(set(self.speeds)) > 1
        turn = int(self.now / SLOWED_S) % len(self.speeds)
        return SLOWED_FACTOR if uneven and turn == number else 1.0

    def _at(self, after_s: float, event: Callable[[], None]) -> None:
        self._events += 1
        heapq.heappush(self.events, (self.now + after_s, self._events, event))

    def _arrive(self) -> None:
        self._at(self.rng.expovariate(self.rate), self._arrive)
        self._requests += 1
        request = call(f"c{self._requests}", self.now, prompt=None)
        self._place(self.rng.choice(self.nodes), request)

    def _place(self, node: Dispatcher, request: Call) -> None:
        placed = node.place(request, frozenset())
        if isinstance(placed, Wait):
            self._at(STEP_S, lambda: self._place(node, request))
            return
        number = int(placed.server.id[2:])
        run = node.reserve(request, placed)
        known = node.workload.load(placed.server.id).running
        sent_at = self.now
        self.counts[number] += 1
        if len(self.waiting[number]) >= PLAIN_SLOTS:
            self.rejected += 1
            run.end()
            node.record_rejection(SERVICE, placed.server.id, self.now)
            return

        def end() -> None:
            self.running[number] -= 1
            if self.waiting[number]:
                self.waiting[number].popleft()()
            run.end()
            self.total_s.append(self.now - request.arrived_at)
            node.record_answer(
                request, placed.server, known, self.now - sent_at
            )
            queue = len(self.waiting[number])
            there = self.running[number] + queue
            held = node.workload.load(placed.server.id).running
            unknown = max(0, there - held) if queue else 0
            stated = StatedLoad(self.now, self.slowdown(number), queue, unknown)
            node.record_statement(SERVICE, placed.server.id, stated, self.now)

        def start() -> None:
            self.running[number] += 1
            factor = self.slowdown(number) / self.speeds[number]
            self._at(self.rng.uniform(0.02, 0.045) * factor, end)

        if self.running[number] < PLAIN_SLOTS:
            start()
        else:
            self.waiting[number].append(start)

    def _report(self) -> None:
        self._at(REPORT_INTERVAL_S, self._report)
        self._reports += 1
        for index, node in enumerate(self.nodes):
            node.tick(self.now)
            loads = node.own_loads(self.now)
            for other in self.nodes:
                if other is not node:
                    other.apply_load_report(
                        str(index), self._reports, loads, self.now
                    )
