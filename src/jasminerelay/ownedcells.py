"""All cells that one instance decides for, and their words to the others."""

import time

import anyio

from jasminerelay.cells import CellServers, QueueView
from jasminerelay.dispatcher import Dispatcher, OnSplit
from jasminerelay.enginemodel import EngineModels
from jasminerelay.lengths import Lengths
from jasminerelay.metrics import Counters
from jasminerelay.owning import Answer, CellOwner
from jasminerelay.placewords import FOREIGN
from jasminerelay.prefix import CacheView
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import (
    CellQueue,
    KindDemand,
    OwnerWord,
    PlaceAnswer,
    PlaceWord,
    ServerLoad,
)
from jasminerelay.serverlimits import Allowance
from jasminerelay.silences import ToldSilences
from jasminerelay.waitingroom import TICK_S

LOOK_S = 0.01
"""How often places are looked for after a change, while anyone waits. Looked
for with each datagram, they took most of an owner's processor under a burst."""

LOOK_SHARE = 0.2
"""Most of the processor that looking may take. An owner that does nothing else
answers nobody in time, and the others, which then decide by their own views,
overfill its servers."""

IDLE_TICK_S = 0.03
"""How often it is looked whether anyone waits."""


class OwnedCells:
    """All cells that this instance has been asked to decide for."""

    def __init__(
        self,
        own: str,
        zone: str,
        registry: Registry,
        engines: EngineModels,
        lengths: Lengths,
        counters: Counters,
        allowance: Allowance | None = None,
    ):
        """Makes an instance that owns nothing yet.

        Args:
            own: This instance.
            zone: Its availability zone.
            registry: Configuration and all servers.
            engines: What this instance knows of engines.
            lengths: What it knows of answers' lengths.
            counters: Counts events.
            allowance: What this instance may send to servers with a limit;
                None where no server names one.
        """
        self._own = own
        self._zone = zone
        self._registry = registry
        self._engines = engines
        self._lengths = lengths
        self._counters = counters
        self._allowance = allowance
        self._cells: dict[tuple[str, int], CellOwner] = {}
        self.queues = QueueView()
        self.on_split: OnSplit = lambda service, groups, demand: None
        self.answer: Answer = lambda address, word: None

    def __len__(self) -> int:
        return len(self._cells)

    @property
    def waiting(self) -> int:
        """Requests that wait in all cells."""
        return sum(len(cell.room) for cell in self._cells.values())

    def hear(self, word: PlaceWord) -> None:
        """Takes all that an instance asks of a cell and has under way there.

        Whoever is asked decides, whether it takes itself for the owner or
        not: while views differ a cell has two, each of which knows only its
        own askers' runs, and both fill a server at most to its usual bound.
        """
        now = time.monotonic()
        key = (word.service, word.cell)
        held = self._cells.get(key)
        if held is None:
            servers = CellServers(self._registry, word.service, word.cell)
            if not servers.known:
                self._counters.incr("place.foreign")
                foreign = [PlaceAnswer(x.number, FOREIGN) for x in word.asks]
                self.answer(
                    word.peers,
                    OwnerWord(self._own, word.service, word.cell, foreign),
                )
                return
            self._counters.incr("place.owned")
            held = self._new(word.service, word.cell, servers)
            self._cells[key] = held
        self._counters.incr("place.heard")
        held.hear(word, now)

    def tick(self, now: float) -> None:
        """Moves the running means on, and drops cells that nobody asks."""
        for key, cell in list(self._cells.items()):
            cell.tick(now)
            if cell.idle:
                del self._cells[key]

    async def run(self) -> None:
        """Looks for places for all who wait until cancelled."""
        looked = 0.0
        pause_s = IDLE_TICK_S
        while True:
            await anyio.sleep(pause_s)
            began = time.monotonic()
            all_due = began - looked >= TICK_S
            looked = began if all_due else looked
            for cell in list(self._cells.values()):
                if all_due or cell.changed:
                    cell.changed = False
                    cell.room.look()
            took_s = time.monotonic() - began
            least_s = LOOK_S if self.waiting else IDLE_TICK_S
            pause_s = max(least_s, took_s * (1 / LOOK_SHARE - 1))

    def look_soon(self) -> None:
        """Has places looked for at all cells where anyone waits."""
        for cell in self._cells.values():
            cell.changed = True

    def loads(self, now: float) -> list[ServerLoad]:
        """Returns what runs at the servers of all owned cells."""
        return [load for x in self._cells.values() for load in x.loads(now)]

    def demand(self) -> list[KindDemand]:
        """Returns what callers bring to all owned cells."""
        return [kind for x in self._cells.values() for kind in x.demand()]

    def told_queues(self) -> list[CellQueue]:
        """Returns how long new requests would wait at the owned cells."""
        return [item for x in self._cells.values() for item in x.told_queues()]

    def gone(self, server: str) -> None:
        """Forgets a server that has ended."""
        for cell in self._cells.values():
            cell.gone(server)

    def _new(self, service: str, cell: int, servers: CellServers) -> CellOwner:
        silences = ToldSilences()
        dispatcher = Dispatcher(
            servers,
            self._zone,
            lambda: 1,
            self._engines,
            self._lengths,
            silences,
            CacheView(),
            self._allowance,
        )
        dispatcher.on_split = lambda *found: self.on_split(*found)
        return CellOwner(
            self._own,
            service,
            cell,
            servers,
            dispatcher,
            silences,
            self.queues,
            lambda address, word: self.answer(address, word),
        )
