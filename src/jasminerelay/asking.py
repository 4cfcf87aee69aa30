"""An instance's side of a cell: asks the cell's owner for places.

Where few instances share the work each decides by what all tell each other.
Where there are many it asks the owner of the cell to which the start of the
request's prompt belongs. An owner that is dead, frozen or cut off costs one
short silence; after it the instance decides by its own view for a while.
"""

import dataclasses
import time
from collections.abc import Callable, Iterable, Sequence

import anyio

from jasminerelay import cells
from jasminerelay.catalog import Call
from jasminerelay.cells import Cell
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.errors import NoRoomError
from jasminerelay.metrics import Counters
from jasminerelay.placewords import (
    ELSEWHERE,
    MS,
    PLACED,
    REFUSED,
    US,
    WAITING,
    ask_word,
    end_word,
    run_word,
)
from jasminerelay.placing import Placed
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import (
    EndWord,
    Member,
    OwnerWord,
    PlaceAnswer,
    PlaceWord,
    TokenWord,
)
from jasminerelay.waitingroom import Seat, WaitingRoom
from jasminerelay.workload import Run

OWNERS_FROM = 24
"""Instances from which on owners decide. Among fewer each hears all loads in
time, and cells would only add a message to each request."""

ANSWER_S = 0.03
"""Silence after an ask from which on the own view decides: longer than a busy
owner in another availability zone takes."""

ASK_AGAIN_S = 0.3
"""How often an owner is asked again while requests wait there. Asked more often
by a hundred instances it has no time left to decide."""

OWNER_SILENCE_S = 0.8
"""Silence of an owner at which requests wait, after which the own view decides:
two lost datagrams in a row are rarer than an owner that has died."""

SPARE_S = 0.5
"""How long a silent owner is not asked again, so that one that stands still for
a second costs an instance two timeouts and not one for each request."""

GATHER_S = 0.02
"""How long first events and ends are gathered before the owner is told: the
reading that it takes for under way is too much by that time at most."""

REPEATS = 2
"""How often an owner is told again that nothing is left. With the only such
datagram lost it goes on counting what has ended."""

MOST_ASKS = 64
"""Requests of one instance that wait at a cell; the own view decides for more.
All are named in each datagram, some 250 bytes each, and one must hold them."""

TICK_S = 0.1
"""How often owners are judged, and cells looked at of which to tell again."""

RENEW_S = 1.0
"""How often an owner is told of runs at which nothing changes."""


@dataclasses.dataclass(eq=False)
class _Ask:
    """A request that asks for a place.

    Attributes:
        number: Its number; its run gets the same.
        call: The request.
        avoid: Servers that it must not go to.
        cell: Where it asks.
        owner: The instance that it asks.
        answer: The owner's last word.
        news: Is set with each word, and once the owner is given up.
        lost: Whether the owner was given up.
        passed: Whether it was passed on from another cell.
    """

    number: int
    call: Call
    avoid: frozenset[str]
    cell: Cell
    owner: Member
    answer: PlaceAnswer | None = None
    news: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    lost: bool = False
    passed: bool = False


@dataclasses.dataclass
class _Told:
    """What an instance keeps of a cell that it has told something.

    Attributes:
        at: Steady time of the last datagram; minus infinity if a new one is
            due.
        owner: Who got it.
        repeats: How often it is still to be told that nothing is left.
    """

    at: float = float("-inf")
    owner: str = ""
    repeats: int = 0


class AskingRoom:
    """Gives places as a waiting room does, from the cells' owners."""

    def __init__(
        self,
        own: str,
        peers: str,
        registry: Registry,
        dispatcher: Dispatcher,
        local: WaitingRoom,
        counters: Counters,
    ):
        """Makes the room of an instance that knows no other yet.

        Args:
            own: This instance.
            peers: Its address for datagrams.
            registry: Configuration and servers.
            dispatcher: Decides where no owner does.
            local: Where requests wait that no owner places.
            counters: Counts events.
        """
        self._own = own
        self._peers = peers
        self._registry = registry
        self._dispatcher = dispatcher
        self._local = local
        self._counters = counters
        self._asks: dict[int, _Ask] = {}
        self._told: dict[Cell, _Told] = {}
        self._former: dict[tuple[Cell, str], int] = {}
        self._ended: dict[Cell, list[EndWord]] = {}
        self._dirty = anyio.Event()
        self._live: dict[str, Member] = {}
        self._owners: dict[Cell, Member | None] = {}
        self._heard: dict[str, float] = {}
        self._spared: dict[str, float] = {}
        self.active = False
        self.send: Callable[[Member, PlaceWord], None] = lambda to, word: None

    def __len__(self) -> int:
        return len(self._asks) + len(self._local)

    def saw_instances(self, known: int, live: Sequence[Member]) -> None:
        """Notes the instances there are.

        Args:
            known: How many are known, failed ones included: a site that loses
                half of its instances goes on in the same way.
            live: Those that take callers.
        """
        self.active = known >= OWNERS_FROM
        members = {member.instance: member for member in live}
        if members.keys() == self._live.keys():
            return
        self._owners.clear()
        self._live = members
        for name in (self._heard.keys() | self._spared.keys()) - members.keys():
            self._heard.pop(name, None)
            self._spared.pop(name, None)

    async def enter(self, call: Call, avoid: frozenset[str]) -> Seat:
        """Waits for a place.

        Raises:
            NoRoomError: if there will be none in time.
        """
        ask = self._new_ask(call, avoid)
        if ask is None:
            return await self._local.enter(call, avoid)
        self._asks[ask.number] = ask
        self._tell(ask.cell)
        seat = None
        try:
            seat = await self._answered(ask)
        finally:
            del self._asks[ask.number]
            if seat is None:
                self._touch(ask.cell)
        return seat or await self._local.enter(call, avoid)

    def owners(self) -> list[Member]:
        """Returns the other instances that decide for cells."""
        found = {}
        for cell in list(self._owners):
            owner = self._owner(cell)
            if owner is not None and owner.instance != self._own:
                found[owner.instance] = owner
        return list(found.values())

    def placer_of(self, server: str) -> str | None:
        """Returns the instance that places requests at a server, if one does.

        None where each instance places its own.
        """
        cell = self._cell_of(server) if self.active else None
        owner = self._owner(cell) if cell is not None else None
        return owner.instance if owner is not None else None

    def freed(self, service: str) -> None:
        """Notes that a server of a service has room again."""
        self._local.freed(service)
        if self.active:
            self._dirty.set()

    def hear(self, word: OwnerWord) -> None:
        """Takes an owner's answers."""
        self._heard[word.sender] = time.monotonic()
        self._spared.pop(word.sender, None)
        for answer in word.answers:
            ask = self._asks.get(answer.number)
            if ask is not None and ask.owner.instance == word.sender:
                ask.answer = answer
                ask.news.set()

    async def run(self) -> None:
        """Tells owners what changes until cancelled."""
        ticked = 0.0
        while True:
            with anyio.move_on_after(TICK_S):
                await self._dirty.wait()
            await anyio.sleep(GATHER_S)
            self._dirty = anyio.Event()
            now = time.monotonic()
            due = self._changed()
            if now - ticked >= TICK_S:
                ticked = now
                due |= self._due(now)
            for cell in due:
                self._tell(cell)

    def _new_ask(self, call: Call, avoid: frozenset[str]) -> _Ask | None:
        if not self.active or not self._has_owners(call.service):
            return None
        count = len(cells.cells_of(self._registry.ids_of(call.service)))
        if not count:
            return None
        shared = call.prompt.shared if call.prompt is not None else ()
        key = shared[-1].id if shared else call.id
        cell = (call.service, cells.home(key, count))
        owner = self._owner(cell)
        if owner is None:
            return None
        if time.monotonic() < self._spared.get(owner.instance, 0.0):
            self._counters.incr("place.owner_spared")
            return None
        if sum(ask.cell == cell for ask in self._asks.values()) >= MOST_ASKS:
            self._counters.incr("place.too_many")
            return None
        number = self._dispatcher.workload.new_number()
        return _Ask(number, call, avoid, cell, owner)

    def _owner(self, cell: Cell) -> Member | None:
        if cell not in self._owners:
            name = cells.owner(*cell, list(self._live))
            self._owners[cell] = self._live.get(name) if name else None
        return self._owners[cell]

    async def _answered(self, ask: _Ask) -> Seat | None:
        """Waits for an ask's end; None if the own view must decide."""
        while await self._heard_of(ask):
            answer = ask.answer
            if answer.state == REFUSED:
                self._counters.incr("place.refused")
                raise NoRoomError(answer.why, retry_s=answer.retry_ms / MS)
            if answer.state == PLACED:
                return self._seat(ask, answer)
            if answer.state == ELSEWHERE and self._pass_on(ask, answer.cell):
                continue
            if answer.state != WAITING:
                self._counters.incr("place.foreign_cell")
                return None
            ask.news = anyio.Event()
        return None

    async def _heard_of(self, ask: _Ask) -> bool:
        """Waits for an owner's word; returns whether there is one."""
        if ask.answer is None:
            with anyio.move_on_after(ANSWER_S):
                await ask.news.wait()
            if ask.answer is None and not ask.lost:
                self._give_up(ask.owner, ask)
        else:
            await ask.news.wait()
        return not ask.lost

    def _pass_on(self, ask: _Ask, number: int) -> bool:
        """Asks another cell; returns whether it has an owner."""
        cell = (ask.call.service, number)
        owner = self._owner(cell)
        if ask.passed or owner is None:
            return False
        self._counters.incr("place.passed")
        self._touch(ask.cell)
        ask.cell = cell
        ask.owner = owner
        ask.passed = True
        ask.answer = None
        ask.news = anyio.Event()
        self._tell(cell)
        return True

    def _seat(self, ask: _Ask, answer: PlaceAnswer) -> Seat | None:
        server = self._registry.server(answer.server)
        if server is None or server.draining or server.id in ask.avoid:
            # The owner's list of servers is older than this instance's.
            self._counters.incr("place.stale_server")
            return None
        source = self._registry.server(answer.source)
        placed = Placed(server, answer.unread, answer.memory, False, source)
        run = self._dispatcher.reserve(ask.call, placed, ask.number)
        self._counters.incr("place.placed")
        return Seat(placed, run, ask.owner.instance)

    def _give_up(self, owner: Member, *asks: _Ask) -> None:
        self._counters.incr("place.owner_silent")
        self._spared[owner.instance] = time.monotonic() + SPARE_S
        for ask in asks:
            ask.lost = True
            ask.news.set()

    def _touch(self, cell: Cell) -> None:
        self._told.setdefault(cell, _Told()).at = float("-inf")
        self._dirty.set()

    def _changed(self) -> set[Cell]:
        """Returns the cells at whose servers something began or ended."""
        workload = self._dispatcher.workload
        if not self.active:
            workload.touched.clear()
            workload.ended.clear()
            return set()
        found = set()
        for end in workload.ended:
            cell = self._cell_of(end.server)
            if cell is not None:
                self._ended.setdefault(cell, []).append(end_word(end))
                found.add(cell)
        workload.ended.clear()
        for server in workload.touched:
            cell = self._cell_of(server)
            if cell is not None:
                found.add(cell)
        workload.touched.clear()
        found.update(
            cell
            for cell, told in self._told.items()
            if told.at == float("-inf")
        )
        return found

    def _due(self, now: float) -> set[Cell]:
        """Judges owners, and returns the cells of which to tell again."""
        self._judge(now)
        self._take_leave()
        found = set()
        asking = {ask.cell for ask in self._asks.values()}
        for cell, told in list(self._told.items()):
            owner = self._owner(cell)
            moved = owner is not None and owner.instance != told.owner
            last = told.repeats < REPEATS
            renew_s = ASK_AGAIN_S if cell in asking else RENEW_S
            if moved or last or now - told.at >= renew_s:
                found.add(cell)
        silent = (
            self._cell_of(run.server)
            for run in self._dispatcher.workload.runs.values()
            if self._dispatcher.silent(run.server, now)
        )
        found.update(cell for cell in silent if cell is not None)
        return found if self.active else set()

    def _judge(self, now: float) -> None:
        for ask in list(self._asks.values()):
            owner = self._owner(ask.cell)
            if owner is not None and owner.instance != ask.owner.instance:
                # Another instance owns the cell now; it is told of the ask.
                ask.owner = owner
                self._heard[owner.instance] = now
                continue
            heard = self._heard.get(ask.owner.instance, now)
            if ask.answer is not None and now - heard > OWNER_SILENCE_S:
                self._give_up(ask.owner, ask)

    def _tell(self, cell: Cell) -> None:
        owner = self._owner(cell)
        if owner is None:
            return
        now = time.monotonic()
        runs = self._runs_of(cell)
        asks = [ask for ask in self._asks.values() if ask.cell == cell]
        self._note_told(cell, owner, now, held=bool(runs or asks))
        word = PlaceWord(
            self._own,
            self._peers,
            *cell,
            self._next_number(),
            [ask_word(x.number, x.call, x.avoid, x.passed, now) for x in asks],
            [run_word(run) for run in runs],
            self._ended.pop(cell, []),
            self._token_words({run.server for run in runs}, now),
        )
        self._counters.incr("place.told")
        self.send(owner, word)

    def _note_told(
        self, cell: Cell, owner: Member, now: float, *, held: bool
    ) -> None:
        before = self._told.get(cell, _Told())
        if before.owner not in ("", owner.instance):
            self._former[cell, before.owner] = REPEATS + 1
        self._former.pop((cell, owner.instance), None)
        repeats = REPEATS if held else before.repeats - 1
        if repeats < 0:
            self._told.pop(cell, None)
        else:
            self._told[cell] = _Told(now, owner.instance, repeats)

    def _take_leave(self) -> None:
        """Tells former owners that nothing here is theirs to know any more.

        Views may change back within the time for which they would count it.
        """
        for (cell, name), repeats in list(self._former.items()):
            former = self._live.get(name)
            if former is None or not repeats:
                del self._former[cell, name]
                continue
            self._former[cell, name] = repeats - 1
            number = self._next_number()
            self.send(
                former,
                PlaceWord(
                    self._own, self._peers, *cell, number, [], [], [], []
                ),
            )

    def _next_number(self) -> int:
        # One sequence for all cells, so that a cell which was forgotten
        # here goes on where it was.
        return self._dispatcher.workload.new_number()

    def _has_owners(self, service: str) -> bool:
        """Whether owners place a service's requests.

        Not those of a plain one: it has few servers, so few owners, to which
        all of the deployment's requests would be told. Its servers queue what
        they cannot take at once, and a request takes little of them.
        """
        return self._dispatcher.engine_of(service) is not None

    def _runs_of(self, cell: Cell) -> list[Run]:
        return [
            run
            for run in self._dispatcher.workload.runs.values()
            if self._cell_of(run.server) == cell
        ]

    def _cell_of(self, name: str) -> Cell | None:
        server = self._registry.server(name)
        if server is None or not self._has_owners(server.service):
            return None
        ids = self._registry.ids_of(server.service)
        number = cells.number_of(name, ids)
        return None if number is None else (server.service, number)

    def _token_words(
        self, servers: Iterable[str], now: float
    ) -> list[TokenWord]:
        words = []
        paces = self._dispatcher.paces
        for name in servers:
            token_s = paces.own_s(name, now) or 0.0
            step_s = paces.undisturbed_s(name) or 0.0
            silent = self._dispatcher.silent(name, now)
            if token_s or step_s or silent:
                words.append(
                    TokenWord(
                        name, round(US * token_s), round(US * step_s), silent
                    )
                )
        return words
