"""Instances that fail, start and are partitioned, with lossy messages.

No sockets are used: the real tasks run in virtual time.
"""

import abc
import dataclasses
import random
from typing import Any

import anyio

from jasminerelay.schema.messages import Member

FAILURE_DETECTION_S = 1.5
"""Time until the others detect that an instance has failed."""

VIEW_INTERVAL_S = 0.1
PARTITION_SHARE = 0.4


@dataclasses.dataclass(eq=False)
class Node:
    """One instance.

    Attributes:
        name: Its name.
        watch: The component under test.
        since: Time since which others can reach it.
        alive: Whether it runs.
        cut: Side of a partition; 0 where there is none.
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
        """Returns whether others could reach it for a given time."""
        return self.cut == 0 and now - self.since > in_touch_s


class Quiet:
    """Accepts events and counts, and discards them."""

    def info(self, event: str, **fields: object) -> None:
        """Accepts an event."""

    warn = info

    def incr(self, name: str) -> None:
        """Counts an event."""


class InstanceWorld(abc.ABC):
    """Base class of simulations of one seed."""

    most_delay_s = 0.05
    fault_pauses_s = (0.3, 2.0)

    def __init__(self, seed: int, count: int, *, faults: bool):
        """Creates a simulation without instances.

        Args:
            seed: Seed of times and faults.
            count: Number of instances.
            faults: Whether messages are lost, and instances fail and are
                partitioned.
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
        """Creates the component under test of a new instance."""

    @abc.abstractmethod
    async def live(self, node: Node) -> None:
        """Runs an instance until it is cancelled."""

    @property
    def alive(self) -> list[Node]:
        """Instances that are running."""
        return [node for node in self.nodes if node.alive]

    def number(self) -> int:
        """Returns a unique number."""
        self._numbers += 1
        return self._numbers

    def start_node(self) -> None:
        """Starts an instance."""
        name = f"n{self.number():03d}"
        node = Node(name, self.make(name), anyio.current_time())
        node.watch.send = lambda to, message: self._send(node, to, message)
        self.nodes.append(node)

        async def live() -> None:
            with node.scope:
                await self.live(node)

        self.group.start_soon(live)

    def end_node(self, node: Node) -> None:
        """Stops an instance as if it had crashed."""
        node.alive = False
        self._died[node.name] = anyio.current_time()
        node.scope.cancel()

    def members(self, node: Node) -> list[Member]:
        """Returns the instances that a node considers live.

        Failed instances are included until their failure is detected.
        """
        now = anyio.current_time()
        view_key = (round(now / VIEW_INTERVAL_S), node.cut, len(self.nodes))
        if view_key not in self._views:
            self._views = {
                view_key: [
                    Member(x.name, "", "", "", "", x.name, "alive", 0)
                    for x in self.nodes
                    if (x.alive and x.cut == node.cut)
                    or self.dead_s(x) < FAILURE_DETECTION_S
                ]
            }
        return self._views[view_key]

    def dead_s(self, node: Node) -> float:
        """Returns the time since an instance failed; infinity if alive."""
        died = self._died.get(node.name)
        return float("inf") if died is None else anyio.current_time() - died

    async def disturb(self, until: float) -> None:
        """Stops and partitions instances at random until a time."""
        while anyio.current_time() < until:
            await anyio.sleep(self.rng.uniform(*self.fault_pauses_s))
            await self.rng.choice((self._kill_some, self._kill, self._cut))()

    def kill_all(self) -> None:
        """Stops all instances, and starts as many."""
        for node in self.alive:
            self.end_node(node)
        for _ in range(self.count):
            self.start_node()

    def victims(self) -> list[Node]:
        """Returns the instances from which one to stop is chosen."""
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
        partitioned = [
            x for x in self.alive if self.rng.random() < PARTITION_SHARE
        ]
        for node in partitioned:
            node.cut = 1
        await anyio.sleep(self.rng.uniform(0.5, 3.0))
        for node in partitioned:
            node.cut = 0
            node.since = anyio.current_time()

    def _send(self, node: Node, to: Member, message: object) -> None:
        if self.rng.random() >= self.loss:
            self.group.start_soon(self._deliver, node, to.instance, message)

    async def _deliver(self, node: Node, name: str, message: object) -> None:
        await anyio.sleep(self.rng.uniform(0.001, self.most_delay_s))
        target = next((x for x in self.nodes if x.name == name), None)
        if target is not None and target.alive and target.cut == node.cut:
            target.watch.handle_message(message)
