"""Simulates instances and servers that one request crashes, without sockets."""

import anyio

from jasminerelay import fingerprint
from jasminerelay.catalog import (
    BackendServer,
    Call,
    RepeatPolicy,
    Route,
    ServiceShare,
)
from jasminerelay.crashwatch import CrashWatch
from jasminerelay.schema.messages import RequestCrashes
from jasminerelay.serverends import Alive, Ended, ServerEnd
from tests.instanceworld import InstanceWorld, Node, Quiet

SERVICE = "engines"
PROPAGATION_S = 3.0
"""Time after which every connected instance must have a record of a crash."""

DURATION_S = 24.0
FAULTS_DURATION_S = 12.0
"""How long instances are killed, partitioned and restarted."""

RESTART_S = 2.0
PROCESSING_S = 1.0
INNOCENT_PER_SERVER = 12
"""Innocent requests in flight at each server."""

MAX_ATTEMPTS = 4


class CrashSimulation(InstanceWorld):
    """Simulates one seed.

    Attributes:
        crash_times: Times at which the culprit crashed a server.
        late: Times at which connected instances sent the culprit, later
            than `PROPAGATION_S` after the third crash.
        innocents: Fingerprints of all requests that crash no server.
    """

    def __init__(self, seed: int, instances: int, *, faults: bool = True):
        super().__init__(seed, instances, faults=faults)
        self._servers: dict[str, BackendServer] = {}
        self._running: dict[str, list[tuple[Node, Call, int]]] = {}
        self._rows: dict[str, RequestCrashes] = {}
        self.crash_times: list[float] = []
        self.late: list[float] = []
        self.innocents: set[str] = set()
        self.refused = 0
        self._culprit = call(b"guilty")

    # The environment as the instances see it.

    def server(self, name: str) -> BackendServer | None:
        """Returns a registered server; crashed ones stay for a while."""
        return self._servers.get(name)

    async def find_end(self, server: BackendServer) -> ServerEnd:
        """Returns whether a server has ended."""
        await anyio.sleep(0.001)
        return Alive() if server.address in self._running else Ended("refused")

    async def save(self, message: RequestCrashes) -> None:
        """Stores a row."""
        await anyio.sleep(0.005)
        self._rows[message.fingerprint] = message

    async def read(self) -> list[RequestCrashes]:
        """Returns the stored rows."""
        await anyio.sleep(0.005)
        return list(self._rows.values())

    # The simulation.

    async def run(self) -> None:
        """Runs the simulation."""
        async with anyio.create_task_group() as group:
            self.group = group
            for _ in range(6):
                self._start_server()
            for _ in range(self.count):
                self.start_node()
            await anyio.sleep(0.5)
            group.start_soon(self._send_innocent_requests)
            group.start_soon(self._send_culprit_repeatedly)
            if self.faults:
                group.start_soon(self._inject_faults)
            await anyio.sleep(DURATION_S)
            group.cancel_scope.cancel()

    @property
    def blocked_innocents(self) -> set[str]:
        """Innocent requests that some instance still blocks."""
        return {
            name
            for node in self.alive
            for name in node.watch.ledger.all_blocked
            if name in self.innocents
        }

    def make(self, name: str) -> CrashWatch:
        """Returns the crash watch of a new instance."""
        return CrashWatch(name, self, Quiet(), Quiet(), self.rng, self.find_end)

    async def live(self, node: Node) -> None:
        """Runs an instance until it is cancelled."""
        node.watch.members = lambda: self.members(node)
        await node.watch.run(self.save, self.read, lambda: False)

    def victims(self) -> list[Node]:
        """Returns the instances that have recorded crashes, or else all."""
        informed = [x for x in self.alive if len(x.watch.ledger)]
        return informed or self.alive

    def _start_server(self) -> None:
        name = f"s{self.number()}"
        self._servers[name] = BackendServer(
            name, SERVICE, name, "", 8, draining=False
        )
        self._running[name] = []

    async def _send_innocent_requests(self) -> None:
        number = 0
        while True:
            number += 1
            request = call(b"innocent %d" % number)
            self.innocents.add(fingerprint.of(request))
            self._start_attempt(request, 1)
            await anyio.sleep(PROCESSING_S / INNOCENT_PER_SERVER / 6)

    def _start_attempt(self, request: Call, attempts: int) -> None:
        node = self.rng.choice(self.alive)
        if node.watch.is_blocked(request) or not self._running:
            self.refused += 1
            return
        name = self.rng.choice(list(self._running))
        run = (node, request, attempts)
        self._running[name].append(run)
        self.group.start_soon(self._complete, name, run)

    async def _complete(self, name: str, run: tuple[Node, Call, int]) -> None:
        await anyio.sleep(PROCESSING_S)
        if run in self._running.get(name, ()):
            self._running[name].remove(run)
            run[0].watch.record_completion(run[1])

    async def _send_culprit_repeatedly(self) -> None:
        while True:
            await anyio.sleep(self.rng.uniform(0.3, 1.5))
            nodes = self.alive
            if nodes and self._running:
                self._send_culprit(self.rng.choice(nodes))

    def _send_culprit(self, node: Node) -> None:
        if node.watch.is_blocked(self._culprit):
            return
        now = anyio.current_time()
        connected = node.in_touch(now, PROPAGATION_S)
        if (
            len(self.crash_times) >= 3
            and now > self.crash_times[2] + PROPAGATION_S
            and connected
        ):
            self.late.append(now)
        name = self.rng.choice(list(self._running))
        self.group.start_soon(self._crash, node, name)

    async def _crash(self, node: Node, name: str) -> None:
        await anyio.sleep(0.06)
        runs = self._running.pop(name, None)
        if runs is None:
            return
        self.crash_times.append(anyio.current_time())
        server = self._servers[name]
        runs.append((node, self._culprit, MAX_ATTEMPTS))
        for held, request, attempts in runs:
            if held.alive:
                self.group.start_soon(
                    self._lose_connection, held, request, attempts, server
                )
        await anyio.sleep(RESTART_S)
        del self._servers[name]
        self._start_server()

    async def _lose_connection(
        self, node: Node, request: Call, attempts: int, server: BackendServer
    ) -> None:
        await node.watch.on_connection_lost(request, server)
        if attempts < MAX_ATTEMPTS:
            await anyio.sleep(self.rng.choice((0.01, 0.5)))
            self._start_attempt(request, attempts + 1)

    async def _inject_faults(self) -> None:
        await self.disturb(anyio.current_time() + FAULTS_DURATION_S)
        if self.rng.random() < 0.5:
            self.kill_all()


def call(body: bytes) -> Call:
    """Returns a request."""
    route = Route(
        "sheet", "h", "/", RepeatPolicy.ONCE, True, 15.0, 2.0, 1.0, 0,
        (ServiceShare(SERVICE, 1.0),), 1, False, True,
    )  # fmt: skip
    return Call(
        "a", route, SERVICE, 0, 0, "elm", "POST", "h", b"/x", (), body, None,
        "", 0.0, 15.0,
    )  # fmt: skip
