"""Several instances and servers that end under one request, without sockets."""

import dataclasses
import random

import anyio

from jasminerelay import fingerprint
from jasminerelay.catalog import BackendServer, Call, Repeat, Route, Share
from jasminerelay.crashes import NEVER
from jasminerelay.crashwatch import TICK_S, CrashWatch
from jasminerelay.schema.messages import CrashWord, Member, ServerEnds

SERVICE = "engines"
IN_TOUCH_S = 3.0
"""Time from which on every instance that others can reach must know a thing."""

DAY_S = 24.0
FAULTS_S = 12.0
"""How long instances are killed, cut off and started anew."""

RESTART_S = 2.0
RUN_S = 1.0
SEES_DEATH_S = 1.5
BESIDE = 12
"""Innocent requests under way at each server."""

TRIES = 4


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
    watch: CrashWatch
    since: float
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    alive: bool = True
    cut: int = 0


class Quiet:
    """Takes events and counts, and forgets them."""

    def info(self, event: str, **fields: object) -> None:
        """Takes an event."""

    trouble = info

    def incr(self, name: str) -> None:
        """Counts an event."""


class World:
    """Plays one seed of one day.

    Attributes:
        ends: Times at which servers ended under the guilty request.
        late: Sends of it by instances in touch, later than `IN_TOUCH_S` after
            the third end.
        innocents: Fingerprints of all requests that only ran beside it.
    """

    def __init__(self, seed: int, instances: int, *, faults: bool = True):
        self._rng = random.Random(seed)
        self._count = instances
        self._faults = faults
        self._loss = self._rng.choice((0.0, 0.05, 0.2)) if faults else 0.0
        self._nodes: list[Node] = []
        self._gone: dict[str, float] = {}
        self._views: dict[tuple, list[Member]] = {}
        self._servers: dict[str, BackendServer] = {}
        self._running: dict[str, list[tuple[Node, Call, int]]] = {}
        self._rows: dict[str, ServerEnds] = {}
        self._number = 0
        self.ends: list[float] = []
        self.late: list[float] = []
        self.innocents: set[str] = set()
        self.refused = 0
        self._guilty = call(b"guilty")

    # What the programs see of the world.

    def server(self, name: str) -> BackendServer | None:
        """Returns a server by its row, which stays for a while."""
        return self._servers.get(name)

    async def refuses(self, address: str) -> bool:
        """Returns whether nothing listens at an address."""
        await anyio.sleep(0.001)
        return address not in self._running

    async def save(self, word: ServerEnds) -> None:
        """Keeps a row."""
        await anyio.sleep(0.005)
        self._rows[word.fingerprint] = word

    async def read(self) -> list[ServerEnds]:
        """Returns the rows."""
        await anyio.sleep(0.005)
        return list(self._rows.values())

    # The day.

    async def run(self) -> None:
        """Plays the day."""
        async with anyio.create_task_group() as group:
            self._group = group
            for _ in range(6):
                self._start_server()
            for _ in range(self._count):
                self._start_node()
            await anyio.sleep(0.5)
            group.start_soon(self._send_innocents)
            group.start_soon(self._send_guilty)
            if self._faults:
                group.start_soon(self._disturb)
            await anyio.sleep(DAY_S)
            group.cancel_scope.cancel()

    @property
    def alive(self) -> list[Node]:
        """Instances that run."""
        return [node for node in self._nodes if node.alive]

    @property
    def blocked_innocents(self) -> set[str]:
        """Innocent requests that some instance would still refuse."""
        return {
            name
            for node in self.alive
            for name in node.watch.ledger.all_blocked
            if name in self.innocents
        }

    def _start_node(self) -> None:
        self._number += 1
        name = f"n{self._number:03d}"
        watch = CrashWatch(
            name, self, Quiet(), Quiet(), self._rng, self.refuses
        )
        node = Node(name, watch, anyio.current_time())
        watch.members = lambda: self._members(node)
        watch.send = lambda to, word: self._send(node, to, word)
        self._nodes.append(node)

        async def live() -> None:
            with node.scope:
                await watch.run(self.save, self.read, lambda: False)

        self._group.start_soon(live)

    def _members(self, node: Node) -> list[Member]:
        """Returns the instances that one takes for live: deaths show late."""
        now = anyio.current_time()
        seen = (round(now / TICK_S), node.cut, len(self._nodes))
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

    def _send(self, node: Node, to: Member, word: CrashWord) -> None:
        if self._rng.random() >= self._loss:
            self._group.start_soon(self._deliver, node, to.instance, word)

    async def _deliver(self, node: Node, name: str, word: CrashWord) -> None:
        await anyio.sleep(self._rng.uniform(0.001, 0.05))
        target = next((x for x in self._nodes if x.name == name), None)
        if target is not None and target.alive and target.cut == node.cut:
            target.watch.hear(word)

    def _start_server(self) -> None:
        self._number += 1
        name = f"s{self._number}"
        self._servers[name] = BackendServer(
            name, SERVICE, name, "", 8, draining=False
        )
        self._running[name] = []

    async def _send_innocents(self) -> None:
        number = 0
        while True:
            number += 1
            request = call(b"innocent %d" % number)
            self.innocents.add(fingerprint.of(request))
            self._begin(request, 1)
            await anyio.sleep(RUN_S / BESIDE / 6)

    def _begin(self, request: Call, tries: int) -> None:
        node = self._rng.choice(self.alive)
        if node.watch.blocks(request) or not self._running:
            self.refused += 1
            return
        name = self._rng.choice(list(self._running))
        run = (node, request, tries)
        self._running[name].append(run)
        self._group.start_soon(self._end_well, name, run)

    async def _end_well(self, name: str, run: tuple[Node, Call, int]) -> None:
        await anyio.sleep(RUN_S)
        if run in self._running.get(name, ()):
            self._running[name].remove(run)
            run[0].watch.survived(run[1])

    async def _send_guilty(self) -> None:
        while True:
            await anyio.sleep(self._rng.uniform(0.3, 1.5))
            nodes = self.alive
            if nodes and self._running:
                self._send_once(self._rng.choice(nodes))

    def _send_once(self, node: Node) -> None:
        if node.watch.blocks(self._guilty):
            return
        now = anyio.current_time()
        in_touch = now - node.since > IN_TOUCH_S and node.cut == 0
        if len(self.ends) >= 3 and now > self.ends[2] + IN_TOUCH_S and in_touch:
            self.late.append(now)
        name = self._rng.choice(list(self._running))
        self._group.start_soon(self._crash, node, name)

    async def _crash(self, node: Node, name: str) -> None:
        await anyio.sleep(0.06)
        runs = self._running.pop(name, None)
        if runs is None:
            return
        self.ends.append(anyio.current_time())
        server = self._servers[name]
        runs.append((node, self._guilty, TRIES))
        for held, request, tries in runs:
            if held.alive:
                self._group.start_soon(self._lose, held, request, tries, server)
        await anyio.sleep(RESTART_S)
        del self._servers[name]
        self._start_server()

    async def _lose(
        self, node: Node, request: Call, tries: int, server: BackendServer
    ) -> None:
        await node.watch.lost(request, server)
        if tries < TRIES:
            await anyio.sleep(self._rng.choice((0.01, 0.5)))
            self._begin(request, tries + 1)

    async def _disturb(self) -> None:
        until = anyio.current_time() + FAULTS_S
        while anyio.current_time() < until:
            await anyio.sleep(self._rng.uniform(0.3, 2.0))
            fault = self._rng.choice((self._kill_some, self._kill, self._part))
            await fault()
        if self._rng.random() < 0.5:
            await self._kill_all()

    async def _kill(self) -> None:
        """Replaces an instance; mostly one that was told of the request."""
        homes = [x for x in self.alive if len(x.watch.ledger)]
        self._end_node(self._rng.choice(homes or self.alive))
        await anyio.sleep(self._rng.uniform(0.0, 1.0))
        self._start_node()

    async def _kill_some(self) -> None:
        for _ in range(max(1, len(self.alive) // 3)):
            self._end_node(self._rng.choice(self.alive))
            self._start_node()

    async def _kill_all(self) -> None:
        for node in self.alive:
            self._end_node(node)
        for _ in range(self._count):
            self._start_node()

    async def _part(self) -> None:
        """Cuts some instances off from the others for a while."""
        parted = [x for x in self.alive if self._rng.random() < 0.4]
        for node in parted:
            node.cut = 1
        await anyio.sleep(self._rng.uniform(0.5, 3.0))
        for node in parted:
            node.cut = 0
            node.since = anyio.current_time()

    def _end_node(self, node: Node) -> None:
        node.alive = False
        self._gone[node.name] = anyio.current_time()
        node.scope.cancel()


def call(body: bytes) -> Call:
    """Returns a request."""
    route = Route(
        "sheet", "h", "/", Repeat.ONCE, True, 15.0, 2.0, 1.0, 0,
        (Share(SERVICE, 1.0),), 1, False, True,
    )  # fmt: skip
    return Call(
        "a", route, SERVICE, 0, 0, "elm", "POST", "h", b"/x", (), body, None,
        "", 0.0, 15.0,
    )  # fmt: skip
