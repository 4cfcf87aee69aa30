"""The owner's side of a cell: places requests of all instances at its servers.

Pure but for the clock. What an instance asks and has under way comes whole
with each of its datagrams, so a lost one, or an owner that has just become
one, is made good by the next. What it leaves out has ended.
"""

import dataclasses
import math
import time
from collections.abc import Callable, Iterable

from jasminerelay.catalog import Call
from jasminerelay.cells import CellServers, QueueView
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.placewords import (
    ELSEWHERE,
    FOREIGN,
    MS,
    US,
    WAITING,
    answer_word,
    call_of,
)
from jasminerelay.schema.messages import (
    CellQueue,
    EndWord,
    KindDemand,
    OwnerWord,
    PlaceAnswer,
    PlaceAsk,
    PlaceWord,
    RunWord,
    ServerLoad,
    TokenWord,
)
from jasminerelay.silences import ToldSilences
from jasminerelay.waitingroom import Waiter, WaitingRoom
from jasminerelay.workload import Run

ASKER_LIFE_S = 3.0
"""Silence after which what an instance asked and had under way is dropped.
While it has anything it sends at least each second; a dead one's connections
close, so its runs end in about this time."""

PASS_GAIN_S = 0.1
"""Time that another cell must be quicker for a request to be passed on there,
beside reading the start of its prompt anew: the age of what is known of it."""

Answer = Callable[[str, OwnerWord], None]
"""Sends answers to an address."""


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
        registry: CellServers,
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
            frequent_passes=True,
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
        call = call_of(ask, self._service, self._registry.catalog, now)
        if call is None:
            return PlaceAnswer(ask.number, FOREIGN)
        if ask.first:
            self._dispatcher.arrived(call)
        request = _Request(call)
        asker.requests[ask.number] = request
        entered = False

        def settled(waiter: Waiter) -> None:
            request.answer = answer_word(ask.number, waiter)
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
        for word in tokens:
            if word.silent:
                self._silences.told(word.server, now)
            if word.token_us:
                self._dispatcher.paces.hear(
                    word.server, word.token_us / US, now
                )
            if word.step_us:
                self._dispatcher.note_step(
                    self._service, word.server, word.step_us / US, now
                )

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
