"""Several instances and servers that end under one request, without sockets."""

import anyio

from jasminerelay import fingerprint
from jasminerelay.catalog import BackendServer, Call, Repeat, Route, Share
from jasminerelay.crashwatch import CrashWatch
from jasminerelay.schema.messages import ServerEnds
from tests.instanceworld import InstanceWorld, Node, Quiet

SERVICE = "engines"
IN_TOUCH_S = 3.0
"""Time from which on every instance that others can reach must know a thing."""

DAY_S = 24.0
FAULTS_S = 12.0
"""How long instances are killed, cut off and started anew."""

RESTART_S = 2.0
RUN_S = 1.0
BESIDE = 12
"""Innocent requests under way at each server."""

TRIES = 4


class World(InstanceWorld):
    """Plays one seed of one day.

    Attributes:
        ends: Times at which servers ended under the guilty request.
        late: Sends of it by instances in touch, later than `IN_TOUCH_S` after
            the third end.
        innocents: Fingerprints of all requests that only ran beside it.
    """

    def __init__(self, seed: int, instances: int, *, faults: bool = True):
        super().__init__(seed, instances, faults=faults)
        self._servers: dict[str, BackendServer] = {}
        self._running: dict[str, list[tuple[Node, Call, int]]] = {}
        self._rows: dict[str, ServerEnds] = {}
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
            self.group = group
            for _ in range(6):
                self._start_server()
            for _ in range(self.count):
                self.start_node()
            await anyio.sleep(0.5)
            group.start_soon(self._send_innocents)
            group.start_soon(self._send_guilty)
            if self.faults:
                group.start_soon(self._disturb)
            await anyio.sleep(DAY_S)
            group.cancel_scope.cancel()

    @property
    def blocked_innocents(self) -> set[str]:
        """Innocent requests that some instance would still refuse."""
        return {
            name
            for node in self.alive
            for name in node.watch.ledger.all_blocked
            if name in self.innocents
        }

    def make(self, name: str) -> CrashWatch:
        """Makes the program's part of a new instance."""
        return CrashWatch(name, self, Quiet(), Quiet(), self.rng, self.refuses)

    async def live(self, node: Node) -> None:
        """Runs an instance until it is cancelled."""
        node.watch.members = lambda: self.members(node)
        await node.watch.run(self.save, self.read, lambda: False)

    def victims(self) -> list[Node]:
        """Returns the instances that know of ends, or else all."""
        homes = [x for x in self.alive if len(x.watch.ledger)]
        return homes or self.alive

    def _start_server(self) -> None:
        name = f"s{self.number()}"
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
        node = self.rng.choice(self.alive)
        if node.watch.blocks(request) or not self._running:
            self.refused += 1
            return
        name = self.rng.choice(list(self._running))
        run = (node, request, tries)
        self._running[name].append(run)
        self.group.start_soon(self._end_well, name, run)

    async def _end_well(self, name: str, run: tuple[Node, Call, int]) -> None:
        await anyio.sleep(RUN_S)
        if run in self._running.get(name, ()):
            self._running[name].remove(run)
            run[0].watch.survived(run[1])

    async def _send_guilty(self) -> None:
        while True:
            await anyio.sleep(self.rng.uniform(0.3, 1.5))
            nodes = self.alive
            if nodes and self._running:
                self._send_once(self.rng.choice(nodes))

    def _send_once(self, node: Node) -> None:
        if node.watch.blocks(self._guilty):
            return
        now = anyio.current_time()
        in_touch = node.in_touch(now, IN_TOUCH_S)
        if len(self.ends) >= 3 and now > self.ends[2] + IN_TOUCH_S and in_touch:
            self.late.append(now)
        name = self.rng.choice(list(self._running))
        self.group.start_soon(self._crash, node, name)

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
                self.group.start_soon(self._lose, held, request, tries, server)
        await anyio.sleep(RESTART_S)
        del self._servers[name]
        self._start_server()

    async def _lose(
        self, node: Node, request: Call, tries: int, server: BackendServer
    ) -> None:
        await node.watch.lost(request, server)
        if tries < TRIES:
            await anyio.sleep(self.rng.choice((0.01, 0.5)))
            self._begin(request, tries + 1)

    async def _disturb(self) -> None:
        await self.disturb(anyio.current_time() + FAULTS_S)
        if self.rng.random() < 0.5:
            self.kill_all()


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
