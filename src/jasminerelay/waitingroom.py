"""Requests of one instance that wait for a place at a backend server."""

import collections
import dataclasses
import time
from collections.abc import Callable
from typing import Protocol

import anyio

from jasminerelay import admission
from jasminerelay.admission import Prospect
from jasminerelay.catalog import Call
from jasminerelay.errors import NoRoomError
from jasminerelay.placing import Placed, Wait
from jasminerelay.workload import Run

TRIES = 8
"""Requests of a kind for which a place is looked for in vain before the rest
is left for the next time. One may wait for a server that is full while the
next one's has room; but a look takes processor time, and with a long queue
most looks are in vain."""

FULL_TRIES = 4
"""What a look counts that found no server of the kind with room: the next one
will hardly find any."""

TICK_S = 0.03
"""How often those who wait are looked at without any event: the other
instances' words, which make room too, come about as often."""


@dataclasses.dataclass(frozen=True)
class Seat:
    """A place that a request has.

    Attributes:
        placed: Where it goes.
        run: Its entry in the ledger; whoever holds the seat ends it.
        owner: Instance that decided; "" for this one.
    """

    placed: Placed
    run: Run
    owner: str = ""


@dataclasses.dataclass(eq=False)
class Waiter:
    """One request that waits.

    Attributes:
        call: The request.
        avoid: Servers that it must not go to.
        busy_s: Engine time that it needs.
        first_s: Time from its place to its first event.
        settled: Is told once there is a seat or a refusal.
        seat: Where it goes, once known.
        refused: Why it was refused, if it was.
    """

    call: Call
    avoid: frozenset[str]
    busy_s: float
    first_s: float = 0.0
    settled: Callable[["Waiter"], None] = lambda waiter: None
    seat: Seat | None = None
    refused: NoRoomError | None = None

    def order(self, now: float) -> tuple[int, int, bool, float]:
        """Returns its place in the order in which places are given.

        Rank first, and its route's among requests that rank alike; then those
        who can still be in time, since an answer that is late anyway loses
        little by waiting longer; then who came first.
        """
        call = self.call
        late = now + self.first_s - call.arrived > call.route.objective_s
        return (call.rank, call.route.rank, late, call.arrived)


class Room(Protocol):
    """Where requests get places, whoever decides."""

    async def enter(self, call: Call, avoid: frozenset[str]) -> Seat:
        """Waits for a place; raises NoRoomError if there is none in time."""

    def freed(self, service: str) -> None:
        """Notes that a server of a service has room again."""


Place = Callable[[Call, frozenset[str]], Placed | Wait]
Expect = Callable[[Call, float], Prospect]


class WaitingRoom:
    """Gives places in order, and refuses what has no prospect."""

    def __init__(
        self,
        place: Place,
        expect: Expect,
        busy: Callable[[Call], float],
        reserve: Callable[[Call, Placed], Run],
        first: Callable[[Call], float] = lambda call: 0.0,
        *,
        gathers: bool = False,
    ):
        """Makes an empty room.

        Args:
            place: Finds a place now.
            expect: Says what to expect, given the engine time ahead.
            busy: Says how long a request keeps an engine busy.
            reserve: Notes a place as taken, before anything else is placed.
            first: Says how long a request's first event takes once it has a
                place.
            gathers: Whether `look` is called every few milliseconds, so that
                a request behind others of its kind need not be looked at by
                itself.
        """
        self._place = place
        self._expect = expect
        self._busy = busy
        self._reserve = reserve
        self._first = first
        self._gathers = gathers
        self._waiting: list[Waiter] = []
        self._wake = anyio.Event()

    def __len__(self) -> int:
        return len(self._waiting)

    async def enter(self, call: Call, avoid: frozenset[str]) -> Seat:
        """Waits for a place.

        Raises:
            NoRoomError: if there will be none in time.
        """
        done = anyio.Event()
        waiter = self.admit(call, avoid, lambda waiter: done.set())
        try:
            await done.wait()
        except BaseException:
            self.withdraw(waiter)
            raise
        if waiter.refused is not None:
            raise waiter.refused
        return waiter.seat

    def admit(
        self,
        call: Call,
        avoid: frozenset[str],
        settled: Callable[[Waiter], None],
    ) -> Waiter:
        """Takes a request that needs a place.

        Args:
            call: The request.
            avoid: Servers that it must not go to.
            settled: Is told once, perhaps at once, when there is a seat or
                a refusal.
        """
        waiter = Waiter(
            call, avoid, self._busy(call), self._first(call), settled
        )
        behind = self._gathers and any(
            item.call.route.name == call.route.name for item in self._waiting
        )
        self._waiting.append(waiter)
        if not behind:
            self._pump(call.service)
        if waiter in self._waiting:
            self._wake.set()
        return waiter

    def withdraw(self, waiter: Waiter) -> None:
        """Forgets a request whose caller left or asked elsewhere.

        Its place may just have been found. A run that nobody ends would hold
        room at the server for good.
        """
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        if waiter.seat is not None:
            waiter.seat.run.end()

    def freed(self, service: str) -> None:
        """Notes that a server of a service has room again."""
        if self._waiting:
            self._pump(service)

    def queued_s(self, kind: str) -> float:
        """Returns the engine time that those of one kind need who wait."""
        return sum(
            item.busy_s
            for item in self._waiting
            if item.call.route.name == kind
        )

    async def run(self) -> None:
        """Looks at those who wait until cancelled."""
        while True:
            if not self._waiting:
                self._wake = anyio.Event()
                await self._wake.wait()
            await anyio.sleep(TICK_S)
            self.look()

    def look(self) -> None:
        """Looks for places for all who wait."""
        for service in {item.call.service for item in self._waiting}:
            self._pump(service)

    def _pump(self, service: str) -> None:
        now = time.monotonic()
        waiting = [x for x in self._waiting if x.call.service == service]
        waiting.sort(key=lambda item: item.order(now))
        tries: collections.Counter[str] = collections.Counter()
        ahead_s: dict[str, float] = {}
        for item in waiting:
            kind = item.call.route.name
            if tries[kind] < TRIES:
                placed = self._place(item.call, item.avoid)
                if isinstance(placed, Placed):
                    seat = Seat(placed, self._reserve(item.call, placed))
                    self._settle(item, seat=seat)
                    continue
                tries[kind] += FULL_TRIES if placed.full else 1
            before = ahead_s.get(kind, 0.0)
            prospect = self._expect(item.call, before)
            if prospect.hopeless:
                self._settle(item, refused=_no_room(item.call, prospect))
                continue
            ahead_s[kind] = before + item.busy_s

    def _settle(
        self,
        item: Waiter,
        seat: Seat | None = None,
        refused: NoRoomError | None = None,
    ) -> None:
        item.seat = seat
        item.refused = refused
        self._waiting.remove(item)
        item.settled(item)


def _no_room(call: Call, prospect: Prospect) -> NoRoomError:
    spread = (hash(call.id) % 1000) / 1000
    return NoRoomError(
        f"no room in time: {prospect.ahead_s:.2f} s of work ahead,"
        f" {prospect.own_s:.2f} s of its own, {prospect.left_s:.2f} s left",
        retry_s=admission.retry_after_s(prospect, spread),
    )
