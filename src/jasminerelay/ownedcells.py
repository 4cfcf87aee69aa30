"""Owners of all cells for which this instance places requests."""

import time

import anyio

from jasminerelay.cellowner import CellOwner, SendAnswers
from jasminerelay.cells import CellServers, QueueEstimates
from jasminerelay.dispatcher import Dispatcher, OnSpeedChange, OnSplit
from jasminerelay.enginemodel import EngineModels
from jasminerelay.metrics import Counters
from jasminerelay.outputlengths import OutputLengths
from jasminerelay.placementmessages import FOREIGN
from jasminerelay.placementqueue import PASS_INTERVAL_S
from jasminerelay.prefix import CacheView
from jasminerelay.registry import Registry
from jasminerelay.responsemonitor import PeerResponseMonitor
from jasminerelay.schema.messages import (
    CellQueue,
    CellUpdate,
    OwnerAnswers,
    PlacementAnswer,
    RouteDemand,
    ServerLoad,
)
from jasminerelay.serverlimits import Allowance

SCAN_INTERVAL_S = 0.01
"""Minimum interval between scans for placements after a change, while any
request waits. When each datagram caused a scan, scans took most of an owner's
CPU time during bursts."""

MAX_SCAN_SHARE = 0.2
"""Maximum share of CPU time spent on scans. An owner that does nothing else
answers too late; the other instances then place their requests themselves and
overload its servers."""


class OwnedCells:
    """All cells for which this instance has received placement requests."""

    def __init__(
        self,
        own: str,
        zone: str,
        registry: Registry,
        engines: EngineModels,
        lengths: OutputLengths,
        counters: Counters,
        allowance: Allowance | None = None,
    ):
        """Creates an instance without any cells.

        Args:
            own: Id of this instance.
            zone: Its availability zone.
            registry: Configuration and all servers.
            engines: Performance models of the engines.
            lengths: Estimates of output lengths.
            counters: Counts events.
            allowance: This instance's share of the servers' rate limits; None
                if no server has one.
        """
        self._own = own
        self._zone = zone
        self._registry = registry
        self._engines = engines
        self._lengths = lengths
        self._counters = counters
        self._allowance = allowance
        self._cells: dict[tuple[str, int], CellOwner] = {}
        self._request_waits = anyio.Event()
        self.queues = QueueEstimates()
        self.on_split: OnSplit = lambda service, groups, demand: None
        self.on_speed: OnSpeedChange = lambda *found: None
        self.answer: SendAnswers = lambda address, message: None

    def __len__(self) -> int:
        return len(self._cells)

    @property
    def waiting(self) -> int:
        """Number of requests that wait in all cells."""
        return sum(len(cell.queue) for cell in self._cells.values())

    def handle_message(self, message: CellUpdate) -> None:
        """Processes an update: all requests of an instance at a cell.

        The receiver places the requests even if it doesn't consider itself the
        owner. While views of the live instances differ, a cell has two owners,
        and each knows only the requests of the instances that send to it. Each
        fills a server to its usual limit at most.
        """
        now = time.monotonic()
        key = (message.service, message.cell)
        held = self._cells.get(key)
        if held is None:
            servers = CellServers(self._registry, message.service, message.cell)
            if not servers.exists:
                self._counters.incr("place.foreign")
                foreign = [
                    PlacementAnswer(x.number, FOREIGN) for x in message.asks
                ]
                self.answer(
                    message.peers,
                    OwnerAnswers(
                        self._own, message.service, message.cell, foreign
                    ),
                )
                return
            self._counters.incr("place.owned")
            held = self._new_owner(message.service, message.cell, servers)
            self._cells[key] = held
        self._counters.incr("place.heard")
        held.receive(message, now)
        if len(held.queue):
            self._request_waits.set()

    def tick(self, now: float) -> None:
        """Advances running averages and drops cells without requests."""
        for key, cell in list(self._cells.items()):
            cell.tick(now)
            if cell.idle:
                del self._cells[key]

    async def run(self) -> None:
        """Scans for placements of all waiting requests until cancelled."""
        scanned_all_at = 0.0
        paused_until = 0.0
        while True:
            if not self.waiting:
                self._request_waits = anyio.Event()
                await self._request_waits.wait()
            left_s = paused_until - time.monotonic()
            await anyio.sleep(max(SCAN_INTERVAL_S, left_s))
            began = time.monotonic()
            all_due = began - scanned_all_at >= PASS_INTERVAL_S
            scanned_all_at = began if all_due else scanned_all_at
            for cell in list(self._cells.values()):
                if all_due or cell.changed:
                    cell.changed = False
                    cell.queue.place_all()
            ended = time.monotonic()
            paused_until = ended + (ended - began) * (1 / MAX_SCAN_SHARE - 1)

    def schedule_scan(self) -> None:
        """Schedules a scan for placements at all cells."""
        for cell in self._cells.values():
            cell.changed = True

    def loads(self, now: float) -> list[ServerLoad]:
        """Returns the loads of the servers of all owned cells."""
        return [load for x in self._cells.values() for load in x.loads(now)]

    def demand(self) -> list[RouteDemand]:
        """Returns the demand at all owned cells."""
        return [kind for x in self._cells.values() for kind in x.demand()]

    def queue_estimates(self) -> list[CellQueue]:
        """Returns the estimated waits of new requests at the owned cells."""
        return [
            item for x in self._cells.values() for item in x.queue_estimates()
        ]

    def gone(self, server: str) -> None:
        """Removes a server that has ended."""
        for cell in self._cells.values():
            cell.gone(server)

    def _new_owner(
        self, service: str, cell: int, servers: CellServers
    ) -> CellOwner:
        response_monitor = PeerResponseMonitor()
        dispatcher = Dispatcher(
            servers,
            self._zone,
            lambda: 1,
            self._engines,
            self._lengths,
            response_monitor,
            CacheView(),
            self._allowance,
        )
        dispatcher.on_split_change = lambda *found: self.on_split(*found)
        dispatcher.on_speed_change = lambda *found: self.on_speed(*found)
        return CellOwner(
            self._own,
            service,
            cell,
            servers,
            dispatcher,
            response_monitor,
            self.queues,
            lambda address, message: self.answer(address, message),
            self._counters,
        )
