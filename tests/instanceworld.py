"""Instances that die, start and are cut off, with words that get lost.

No sockets: tasks of the programs run in virtual time.
"""

import abc
import dataclasses
import random
from typing import Any

import anyio

from jasminerelay.schema.messages import Member

SEES_DEATH_S = 1.5
"""Time after which the others see that an instance has died."""

VIEW_S = 0.1
CUT_SHARE = 0.4


@dataclasses.dataclass(eq=False)
class Node:
    """One instance.

    Attributes:
        name: Its name.
        watch: What the program has.
        since: Time since which others can reach it.
        alive: Whether it runs.
        cut: Side of a cut; 0 where there is none.
    """

    name: str
    watch: Any
    since: float
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    alive: bool = True
    cut: int = 0

    def in_touch(self, now: float, in_touch_s: float) -> bool:
        """Returns whether others have been able to reach it for so long."""
        return self.cut == 0 and now - self.since > in_touch_s


class Quiet:
    """Takes events and counts, and forgets them."""

    def info(self, event: str, **fields: object) -> None:
        """Takes an event."""

    trouble = info

    def incr(self, name: str) -> None:
        """Counts an event."""


class InstanceWorld(abc.ABC):
    """Base of worlds that play one seed."""

    most_delay_s = 0.05
    fault_pauses_s = (0.3, 2.0)

    def __init__(self, seed: int, count: int, *, faults: bool):
        """Makes a world without instances.

        Args:
            seed: Seed of times and faults.
            count: How many instances there are.
            faults: Whether words get lost, and instances die and are cut off.
        """
        self.rng = random.Random(seed)
        self.count = count
        self.faults = faults
        self.loss = self.rng.choice((0.0, 0.05, 0.2)) if faults else 0.0
        self.nodes: list[Node] = []
        self.group: anyio.abc.TaskGroup | None = None
        self._died: dict[str, float] = {}
        self._views: dict[tuple, list[Member]] = {}
        self._numbers = 0

    @abc.abstractmethod
    def make(self, name: str) -> Any:
        """Makes the program's part of a new instance."""

    @abc.abstractmethod
    async def live(self, node: Node) -> None:
        """Runs an instance until it is cancelled."""

    @property
    def alive(self) -> list[Node]:
        """Instances that run."""
        return [node for node in self.nodes if node.alive]

    def number(self) -> int:
        """Returns a number that nothing else has."""
        self._numbers += 1
        return self._numbers

    def start_node(self) -> None:
        """Starts an instance."""
        name = f"n{self.number():03d}"
        node = Node(name, self.make(name), anyio.current_time())
        node.watch.send = lambda to, word: self._send(node, to, word)
        self.nodes.append(node)

        async def live() -> None:
            with node.scope:
                await self.live(node)

        self.group.start_soon(live)

    def end_node(self, node: Node) -> None:
        """Kills an instance."""
        node.alive = False
        self._died[node.name] = anyio.current_time()
        node.scope.cancel()

    def members(self, node: Node) -> list[Member]:
        """Returns the instances that one takes for live: deaths show late."""
        now = anyio.current_time()
        seen = (round(now / VIEW_S), node.cut, len(self.nodes))
        if seen not in self._views:
            self._views = {
                seen: [
                    Member(x.name, "", "", "", "", x.name, "alive", 0)
                    for x in self.nodes
                    if (x.alive and x.cut == node.cut)
                    or self.dead_s(x) < SEES_DEATH_S
                ]
            }
        return self._views[seen]

    def dead_s(self, node: Node) -> float:
        """Returns how long an instance has been dead; infinity if it is not."""
        died = self._died.get(node.name)
        return float("inf") if died is None else anyio.current_time() - died

    async def disturb(self, until: float) -> None:
        """Kills and cuts instances in series until a time."""
        while anyio.current_time() < until:
            await anyio.sleep(self.rng.uniform(*self.fault_pauses_s))
            await self.rng.choice((self._kill_some, self._kill, self._cut))()

    def kill_all(self) -> None:
        """Kills all instances, and starts as many."""
        for node in self.alive:
            self.end_node(node)
        for _ in range(self.count):
            self.start_node()

    def victims(self) -> list[Node]:
        """Returns the instances of which one is to be killed."""
        return self.alive

    async def _kill(self) -> None:
        self.end_node(self.rng.choice(self.victims()))
        await anyio.sleep(self.rng.uniform(0.0, 1.0))
        self.start_node()

    async def _kill_some(self) -> None:
        for _ in range(max(1, len(self.alive) // 3)):
            self.end_node(self.rng.choice(self.alive))
            self.start_node()

    async def _cut(self) -> None:
        parted = [x for x in self.alive if self.rng.random() < CUT_SHARE]
        for node in parted:
            node.cut = 1
        await anyio.sleep(self.rng.uniform(0.5, 3.0))
        for node in parted:
            node.cut = 0
            node.since = anyio.current_time()

    def _send(self, node: Node, to: Member, word: object) -> None:
        if self.rng.random() >= self.loss:
            self.group.start_soon(self._deliver, node, to.instance, word)

    async def _deliver(self, node: Node, name: str, word: object) -> None:
        await anyio.sleep(self.rng.uniform(0.001, self.most_delay_s))
        target = next((x for x in self.nodes if x.name == name), None)
        if target is not None and target.alive and target.cut == node.cut:
            target.watch.hear(word)
