"""Several instances and servers that name limits, without sockets."""

import dataclasses
import random

import anyio

from jasminerelay.crashes import NEVER
from jasminerelay.exchange import Head
from jasminerelay.limitwatch import LimitWatch
from jasminerelay.schema.messages import LimitWord, Member
from tests.crashworld import Quiet

IN_TOUCH_S = 3.0
"""Time in which instances that others can reach must know a limit."""

NAMED_AT_S = 2.0
AFTER_S = 10.0
"""Time after the limits' end in which all instances must know of it."""

LOOK_S = 0.03
SEE_S = 0.25
ANSWER_S = 0.05
SPAN_S = 4.0
MOST_SHARE = 1.5
MOST_BESIDE = 5
SEES_DEATH_S = 1.5


@dataclasses.dataclass(eq=False)
class Node:
    """One instance.

    Attributes:
        name: Its name.
        watch: What the program has.
        since: Time since which others can reach it.
        alive: Whether it runs.
        cut: Side of a cut.
    """

    name: str
    watch: LimitWatch
    since: float
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    alive: bool = True
    cut: int = 0


class World:
    """Plays one seed: more requests than the servers take, all the time.

    Attributes:
        arrivals: Times at which requests of instances in touch reached each
            server.
        rates: What each server names.
    """

    def __init__(
        self,
        seed: int,
        instances: int,
        rates: tuple[float, ...],
        *,
        faults: bool = True,
        ended_at: float = 22.0,
    ):
        self._ended_at = ended_at
        self._rng = random.Random(seed)
        self._count = instances
        self._faults = faults
        self._loss = self._rng.choice((0.0, 0.05, 0.2)) if faults else 0.0
        self._nodes: list[Node] = []
        self._gone: dict[str, float] = {}
        self._number = 0
        self._views: dict[tuple, list[Member]] = {}
        self.rates = {f"s{n}": rate for n, rate in enumerate(rates)}
        self.arrivals: dict[str, list[float]] = {x: [] for x in self.rates}
        self.limited_at_end = 0

    async def run(self) -> None:
        """Plays the day."""
        async with anyio.create_task_group() as group:
            self._group = group
            for _ in range(self._count):
                self._start_node()
            group.start_soon(self._see)
            group.start_soon(self._send_all)
            if self._faults:
                group.start_soon(self._disturb)
            await anyio.sleep(self._ended_at + AFTER_S)
            self.limited_at_end = sum(
                bool(node.watch.allowance.limits) for node in self.alive
            )
            group.cancel_scope.cancel()

    @property
    def alive(self) -> list[Node]:
        """Instances that run."""
        return [node for node in self._nodes if node.alive]

    def most(self, server: str) -> int:
        """Returns the most requests that a server got in any span."""
        times = self.arrivals[server]
        return max(
            (sum(at <= x < at + SPAN_S for x in times) for at in times),
            default=0,
        )

    def allowed(self, server: str) -> float:
        """Returns how many it may get."""
        return MOST_SHARE * SPAN_S * self.rates[server] + MOST_BESIDE

    def named(self) -> bool:
        """Returns whether the servers name their limits now."""
        return NAMED_AT_S <= anyio.current_time() < self._ended_at

    def _start_node(self) -> None:
        self._number += 1
        name = f"n{self._number:03d}"
        watch = LimitWatch(
            name, self.rates.__contains__, Quiet(), Quiet(), self._rng
        )
        node = Node(name, watch, anyio.current_time())
        watch.send = lambda to, word: self._send(node, to, word)
        self._nodes.append(node)

        async def live() -> None:
            with node.scope:
                await watch.run()

        self._group.start_soon(live)

    def _members(self, node: Node) -> list[Member]:
        now = anyio.current_time()
        seen = (round(now / 0.1), node.cut, len(self._nodes))
        if seen not in self._views:
            self._views = {
                seen: [
                    Member(x.name, "", "", "", "", x.name, "alive", 0)
                    for x in self._nodes
                    if (x.alive and x.cut == node.cut)
                    or now - self._gone.get(x.name, NEVER) < SEES_DEATH_S
                ]
            }
        return self._views[seen]

    def _send(self, node: Node, to: Member, word: LimitWord) -> None:
        if self._rng.random() >= self._loss:
            self._group.start_soon(self._deliver, node, to.instance, word)

    async def _deliver(self, node: Node, name: str, word: LimitWord) -> None:
        await anyio.sleep(self._rng.uniform(0.001, 0.03))
        target = next((x for x in self._nodes if x.name == name), None)
        if target is not None and target.alive and target.cut == node.cut:
            target.watch.hear(word)

    async def _send_all(self) -> None:
        """Has requests at a few instances at any time, with all servers."""
        while True:
            await anyio.sleep(LOOK_S)
            now = anyio.current_time()
            busy = self._rng.sample(self.alive, min(8, len(self.alive)))
            for node in busy:
                for server in self.rates:
                    self._try(node, server, now)

    async def _see(self) -> None:
        """Shows each instance the others."""
        while True:
            now = anyio.current_time()
            for node in self.alive:
                known = self._known(node)
                node.watch.saw_instances(self._members(node), known, now)
            await anyio.sleep(SEE_S)

    def _known(self, node: Node) -> int:
        return sum(
            x.alive or anyio.current_time() - self._gone[x.name] < 10.0
            for x in self._nodes
        )

    def _try(self, node: Node, server: str, now: float) -> None:
        allowance = node.watch.allowance
        if not allowance.may_send(server, now):
            allowance.want(server, self._rng.randrange(3), now)
            return
        if not self.named() and self._rng.random() > 0.2:
            return
        allowance.spend(server, now)
        in_touch = node.cut == 0 and now - node.since > IN_TOUCH_S
        if NAMED_AT_S + IN_TOUCH_S <= now < self._ended_at and in_touch:
            self.arrivals[server].append(now)
        limit = self.rates[server] if self.named() else None
        self._group.start_soon(self._answer, node, server, limit)

    async def _answer(self, node: Node, server: str, limit) -> None:
        await anyio.sleep(ANSWER_S)
        head = Head(200, (), False, "", False, None, False, limit)
        if node.alive:
            node.watch.heard(server, head)

    async def _disturb(self) -> None:
        while anyio.current_time() < self._ended_at:
            await anyio.sleep(self._rng.uniform(0.5, 3.0))
            await self._rng.choice((self._kill, self._kill_some, self._part))()

    async def _kill(self) -> None:
        node = self._rng.choice(self.alive)
        self._end(node)
        await anyio.sleep(self._rng.uniform(0.0, 1.0))
        self._start_node()

    async def _kill_some(self) -> None:
        for _ in range(max(1, len(self.alive) // 3)):
            self._end(self._rng.choice(self.alive))
            self._start_node()

    async def _part(self) -> None:
        parted = [x for x in self.alive if self._rng.random() < 0.4]
        for node in parted:
            node.cut = 1
        await anyio.sleep(self._rng.uniform(0.5, 3.0))
        for node in parted:
            node.cut = 0
            node.since = anyio.current_time()

    def _end(self, node: Node) -> None:
        node.alive = False
        self._gone[node.name] = anyio.current_time()
        node.scope.cancel()
