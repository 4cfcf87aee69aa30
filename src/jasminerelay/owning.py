"""The owner's side of a cell: places requests of all instances at its servers.

Pure but for the clock. What an instance asks and has under way comes whole
with each of its datagrams, so a lost one, or an owner that has just become
one, is made good by the next. What it leaves out has ended.
"""

import dataclasses
import math
import time
from collections.abc import Callable, Iterable

import anyio

from jasminerelay import cells
from jasminerelay.catalog import (
    BackendServer,
    Call,
    Catalog,
    Prompt,
    PromptPart,
)
from jasminerelay.cells import QueueView
from jasminerelay.dispatcher import Dispatcher, OnSplit
from jasminerelay.enginemodel import EngineModels
from jasminerelay.lengths import Lengths
from jasminerelay.metrics import Counters
from jasminerelay.placing import Placed
from jasminerelay.prefix import CacheView
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import (
    CellQueue,
    EndWord,
    EngineSample,
    KindDemand,
    OwnerWord,
    PlaceAnswer,
    PlaceAsk,
    PlaceWord,
    RunWord,
    ServerLoad,
    TokenWord,
)
from jasminerelay.waitingroom import TICK_S, Waiter, WaitingRoom
from jasminerelay.workload import Run

PLACED = "placed"
WAITING = "waiting"
REFUSED = "refused"
ELSEWHERE = "elsewhere"
FOREIGN = "foreign"

ASKER_LIFE_S = 3.0
"""Silence after which what an instance asked and had under way is dropped.
While it has anything it sends at least each second; a dead one's connections
close, so its runs end in about this time."""

SILENT_LIFE_S = 0.5
"""How long an instance's word that a server is silent counts. It is repeated
five times a second while the silence lasts."""

PASS_GAIN_S = 0.1
"""Time that another cell must be quicker for a request to be passed on there,
beside reading the start of its prompt anew: the age of what is known of it."""

LOOK_S = 0.01
"""How often places are looked for after a change, while anyone waits. Looked
for with each datagram, they took most of an owner's processor under a burst."""

IDLE_TICK_S = 0.03
"""How often it is looked whether anyone waits."""

CALM_S = 0.1
"""Reading ahead at a server up to which its streams show its own step."""

MS = 1e3
US = 1e6

Answer = Callable[[str, OwnerWord], None]
"""Sends answers to an address."""


class ToldSilences:
    """Servers that instances say owe them a word for too long.

    In place of `Silences`: an owner sends nothing itself, so only those who
    do can tell.
    """

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def sent(self, server: str, idle: bool, now: float) -> None:
        """Ignores a placing; its asker watches the server."""

    def heard(self, server: str, now: float) -> None:
        """Notes that a server said something."""
        del now
        self._until.pop(server, None)

    def told(self, server: str, now: float) -> None:
        """Notes that an instance finds a server silent."""
        self._until[server] = now + SILENT_LIFE_S

    def silent(self, server: str, running: int, now: float) -> bool:
        """Returns whether a server should get no request now."""
        del running
        return now < self._until.get(server, 0.0)

    def forget(self, server: str) -> None:
        """Drops a server that has ended."""
        self._until.pop(server, None)


@dataclasses.dataclass(eq=False)
class _Request:
    """One request of an instance, from its ask to its end.

    Attributes:
        call: What is asked for; None for a run that was placed elsewhere.
        waiter: Its entry among those who wait; None for such a run.
        run: Its entry in the ledger, once it has a place.
        answer: The owner's answer, once there is one.
    """

    call: Call | None = None
    waiter: Waiter | None = None
    run: Run | None = None
    answer: PlaceAnswer | None = None


@dataclasses.dataclass
class _Asker:
    """One instance, as an owner sees it."""

    peers: str
    number: int = 0
    heard: float = 0.0
    requests: dict[int, _Request] = dataclasses.field(default_factory=dict)


class CellServers:
    """The servers of one cell, in the place of a registry of all."""

    def __init__(self, registry: Registry, service: str, cell: int):
        self._registry = registry
        self._service = service
        self._cell = cell

    @property
    def catalog(self) -> Catalog | None:
        """The configuration in force."""
        return self._registry.catalog

    @property
    def known(self) -> bool:
        """Whether the service has so many cells."""
        servers = self._registry.servers_of(self._service)
        return self._cell < len(cells.cells_of(item.id for item in servers))

    def servers_of(self, service: str) -> list[BackendServer]:
        """Returns the cell's servers that take new work."""
        if service != self._service:
            return []
        servers = self._registry.servers_of(service)
        split = cells.cells_of(item.id for item in servers)
        if self._cell >= len(split):
            return []
        names = set(split[self._cell])
        return [item for item in servers if item.id in names]


class CellOwner:
    """Places requests at one cell's servers, for all who ask.

    Attributes:
        room: Where requests wait.
        changed: Whether there may be room for them that was not looked at.
    """

    def __init__(
        self,
        own: str,
        service: str,
        cell: int,
        registry: Registry,
        dispatcher: Dispatcher,
        silences: ToldSilences,
        queues: QueueView,
        answer: Answer,
    ):
        """Makes the owner of a cell at which nothing is known to run.

        Args:
            own: This instance.
            service: The service.
            cell: Number of the cell.
            registry: The cell's servers.
            dispatcher: Decides by what runs at the cell, and nothing else.
            silences: The dispatcher's word on silent servers.
            queues: What is known of other cells.
            answer: Sends answers.
        """
        self._own = own
        self._service = service
        self._cell = cell
        self._registry = registry
        self._dispatcher = dispatcher
        self._silences = silences
        self._queues = queues
        self._answer = answer
        self._askers: dict[str, _Asker] = {}
        self.room = WaitingRoom(
            dispatcher.place,
            dispatcher.expect,
            dispatcher.busy_s,
            dispatcher.reserve,
            dispatcher.first_s,
            gathers=True,
        )
        self.changed = False

    @property
    def idle(self) -> bool:
        """Whether nobody asks here any more."""
        return not self._askers

    def hear(self, word: PlaceWord, now: float) -> None:
        """Takes all that an instance asks and has under way."""
        asker = self._askers.setdefault(word.sender, _Asker(word.peers))
        if word.number <= asker.number:
            return
        asker.number = word.number
        asker.heard = now
        self._take_ends(asker, word.ended, now)
        freed = self._take_runs(asker, word.runs, now)
        kept = {item.number for item in word.asks}
        kept.update(item.number for item in word.runs)
        for number in [item for item in asker.requests if item not in kept]:
            self._drop(asker.requests.pop(number))
            freed = True
        self._take_tokens(word.tokens, now)
        self.changed |= freed or bool(word.asks)
        answers = [self._take_ask(asker, item, now) for item in word.asks]
        if answers:
            self._send(asker, answers)

    def expire(self, now: float) -> None:
        """Drops what instances had that have fallen silent."""
        for name, asker in list(self._askers.items()):
            if now - asker.heard > ASKER_LIFE_S:
                del self._askers[name]
                for request in asker.requests.values():
                    self._drop(request)

    def tick(self, now: float) -> None:
        """Moves the running means on."""
        self.expire(now)
        self._dispatcher.tick(now)

    def loads(self, now: float) -> list[ServerLoad]:
        """Returns what all instances have under way at the cell's servers."""
        found = []
        for server in self._registry.servers_of(self._service):
            load = self._dispatcher.workload.load(server.id)
            token_s = self._dispatcher.paces.token_s(server.id, now) or 0.0
            found.append(
                ServerLoad(
                    server.id,
                    load.unread,
                    load.running,
                    load.memory,
                    round(US * token_s),
                )
            )
        return found

    def demand(self) -> list[KindDemand]:
        """Returns what all instances' callers bring to the cell."""
        return self._dispatcher.own_demand()

    def told_queues(self) -> list[CellQueue]:
        """Returns how long a new request of each kind would wait."""
        catalog = self._registry.catalog
        return [
            CellQueue(
                self._service, self._cell, route.name, round(MS * ahead_s)
            )
            for route in (catalog.routes if catalog else ())
            if route.model
            and route.serves(self._service)
            and (ahead_s := self._ahead_s(route.name)) < math.inf
        ]

    def gone(self, server: str) -> None:
        """Forgets a server that has ended."""
        self._dispatcher.gone(server)

    def _ahead_s(self, kind: str) -> float:
        return self._dispatcher.ahead_s(
            self._service, kind, self.room.queued_s(kind)
        )

    def _take_ask(
        self, asker: _Asker, ask: PlaceAsk, now: float
    ) -> PlaceAnswer:
        held = asker.requests.get(ask.number)
        if held is not None:
            return held.answer or self._still(asker, ask, held)
        call = self._call(ask, now)
        if call is None:
            return PlaceAnswer(ask.number, FOREIGN)
        if ask.first:
            self._dispatcher.arrived(call)
        request = _Request(call)
        asker.requests[ask.number] = request
        entered = False

        def settled(waiter: Waiter) -> None:
            request.answer = _answer_of(ask.number, waiter)
            if waiter.refused is not None:
                request.answer = self._passed_on(ask, call) or request.answer
            if waiter.seat is not None:
                request.run = waiter.seat.run
            if entered:
                self._send(asker, [request.answer])

        request.waiter = self.room.admit(call, frozenset(ask.avoid), settled)
        entered = True
        return request.answer or self._still(asker, ask, request)

    def _still(
        self, asker: _Asker, ask: PlaceAsk, request: _Request
    ) -> PlaceAnswer:
        """Answers an ask that waits: go elsewhere, or wait on."""
        passed = self._passed_on(ask, request.call)
        if passed is None:
            return PlaceAnswer(ask.number, WAITING)
        del asker.requests[ask.number]
        self._drop(request)
        return passed

    def _passed_on(self, ask: PlaceAsk, call: Call) -> PlaceAnswer | None:
        """Returns the answer to ask another cell, if that is sooner.

        Starts of prompts spread evenly over the cells, requests and crashes
        of servers do not: for seconds one cell has a queue and others none.
        """
        if ask.passed or call.prompt is None:
            return None
        here = (self._service, self._cell)
        kind = call.route.name
        found = self._queues.shortest(here, kind, time.monotonic())
        if found is None:
            return None
        cell, there_s = found
        here_s = self._ahead_s(kind)
        speeds = self._dispatcher.engines.of(self._service).speeds()
        lost_s = speeds.reading_s(call.prompt.shared_tokens)
        if here_s - there_s < lost_s + PASS_GAIN_S:
            return None
        servers = len(self._registry.servers_of(self._service))
        busy_s = self._dispatcher.busy_s(call) / max(1, servers)
        self._queues.sent((self._service, cell), kind, busy_s)
        return PlaceAnswer(ask.number, ELSEWHERE, cell=cell)

    def _call(self, ask: PlaceAsk, now: float) -> Call | None:
        catalog = self._registry.catalog
        routes = catalog.routes if catalog else ()
        route = next((x for x in routes if x.name == ask.route), None)
        if route is None:
            return None
        prompt = None
        if ask.own_tokens >= 0:
            shared = tuple(
                PromptPart(str(part), tokens)
                for part, tokens in zip(ask.parts, ask.part_tokens, strict=True)
            )
            prompt = Prompt(
                (*shared, PromptPart(ask.call, ask.own_tokens)),
                sum(ask.part_tokens) + ask.own_tokens,
                ask.max_output,
                ask.expected_output if ask.expected_output >= 0 else None,
            )
        return Call(
            id=ask.call,
            route=route,
            service=self._service,
            rank=ask.rank,
            level=0,
            organisation="",
            method="",
            host="",
            target=b"",
            headers=(),
            body=b"",
            prompt=prompt,
            last_event="",
            arrived=now - ask.age_ms / MS,
            ends=now + ask.left_ms / MS,
        )

    def _take_runs(
        self, asker: _Asker, runs: Iterable[RunWord], now: float
    ) -> bool:
        """Takes what is under way; returns whether more of it is read."""
        freed = False
        for word in runs:
            request = asker.requests.get(word.number)
            run = request.run if request is not None else None
            if run is not None and run.server != word.server:
                self._drop(asker.requests.pop(word.number))
                run = None
            if run is None:
                # Placed without this owner, or before it was one.
                run = self._dispatcher.workload.start(
                    word.server, word.unread, word.memory
                )
                request = _Request(run=run)
                asker.requests[word.number] = request
            if word.first_ms >= 0 and run.first_s is None:
                self._note_first(request, run, word.first_ms / MS, now)
                freed = True
        return freed

    def _note_first(
        self, request: _Request, run: Run, first_s: float, now: float
    ) -> None:
        run.read(first_s)
        self._dispatcher.heard(run.server, now)
        waiter = request.waiter
        if waiter is not None and waiter.seat is not None:
            self._dispatcher.note_reading(
                request.call, waiter.seat.placed, run.ahead, first_s
            )

    def _take_ends(
        self, asker: _Asker, ended: Iterable[EndWord], now: float
    ) -> None:
        health = self._dispatcher.health(self._service)
        for word in ended:
            if word.good:
                health.succeeded(word.server)
                self._dispatcher.heard(word.server, now)
            elif word.bad:
                health.failed(word.server, now)
            request = asker.requests.get(word.number)
            if word.output and request is not None and request.call:
                self._dispatcher.lengths.observe(
                    request.call.route.name, word.output
                )

    def _take_tokens(self, tokens: Iterable[TokenWord], now: float) -> None:
        speeds = self._dispatcher.engines.of(self._service).speeds()
        for word in tokens:
            if word.silent:
                self._silences.told(word.server, now)
            if word.token_us:
                self._dispatcher.paces.hear(
                    word.server, word.token_us / US, now
                )
            load = self._dispatcher.workload.load(word.server)
            calm = speeds.reading_s(load.unread) <= CALM_S
            if word.step_us and load.running and calm:
                sample = EngineSample(
                    self._service, False, load.running, word.step_us / US
                )
                self._dispatcher.engines.see(sample, now)

    def _drop(self, request: _Request) -> None:
        if request.waiter is not None:
            self.room.withdraw(request.waiter)
        if request.run is not None:
            request.run.end()

    def _send(self, asker: _Asker, answers: list[PlaceAnswer]) -> None:
        self._answer(
            asker.peers,
            OwnerWord(self._own, self._service, self._cell, answers),
        )


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
    ):
        """Makes an instance that owns nothing yet.

        Args:
            own: This instance.
            zone: Its availability zone.
            registry: Configuration and all servers.
            engines: What this instance knows of engines.
            lengths: What it knows of answers' lengths.
            counters: Counts events.
        """
        self._own = own
        self._zone = zone
        self._registry = registry
        self._engines = engines
        self._lengths = lengths
        self._counters = counters
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
        while True:
            await anyio.sleep(LOOK_S if self.waiting else IDLE_TICK_S)
            now = time.monotonic()
            all_due = now - looked >= TICK_S
            looked = now if all_due else looked
            for cell in list(self._cells.values()):
                if all_due or cell.changed:
                    cell.changed = False
                    cell.room.look()

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


def _answer_of(number: int, waiter: Waiter) -> PlaceAnswer:
    if waiter.refused is not None:
        return PlaceAnswer(
            number,
            REFUSED,
            why=waiter.refused.message,
            retry_ms=round(MS * (waiter.refused.retry_s or 0.0)),
        )
    placed: Placed = waiter.seat.placed
    return PlaceAnswer(
        number,
        PLACED,
        placed.server.id,
        placed.unread,
        placed.memory,
        placed.source.id if placed.source is not None else "",
    )
