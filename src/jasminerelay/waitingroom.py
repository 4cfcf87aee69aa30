"""Requests of one instance that wait for a place at a backend server."""

import collections
import dataclasses
import time
from collections.abc import Callable

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

TICK_S = 0.03
"""How often those who wait are looked at without any event: the other
instances' words, which make room too, come about as often."""


@dataclasses.dataclass(frozen=True)
class Seat:
    """A place that a request has.

    Attributes:
        placed: Where it goes.
        run: Its entry in the ledger; whoever holds the seat ends it.
    """

    placed: Placed
    run: Run


@dataclasses.dataclass(eq=False)
class Waiter:
    """One request that waits.

    Attributes:
        call: The request.
        avoid: Servers that it must not go to.
        busy_s: Engine time that it needs.
        seat: Where it goes, once known.
        refused: Why it was refused, if it was.
    """

    call: Call
    avoid: frozenset[str]
    busy_s: float
    seat: Seat | None = None
    refused: NoRoomError | None = None
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def order(self, now: float) -> tuple[int, int, bool, float]:
        """Returns its place in the order in which places are given.

        Rank first, and its route's among requests that rank alike; then those
        who can still be in time, since an answer that is late anyway loses
        little by waiting longer; then who came first.
        """
        late = now - self.call.arrived > self.call.route.objective_s
        call = self.call
        return (call.rank, call.route.rank, late, call.arrived)


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
    ):
        """Makes an empty room.

        Args:
            place: Finds a place now.
            expect: Says what to expect, given the engine time ahead.
            busy: Says how long a request keeps an engine busy.
            reserve: Notes a place as taken, before anything else is placed.
        """
        self._place = place
        self._expect = expect
        self._busy = busy
        self._reserve = reserve
        self._waiting: list[Waiter] = []
        self._wake = anyio.Event()

    def __len__(self) -> int:
        return len(self._waiting)

    async def enter(self, call: Call, avoid: frozenset[str]) -> Seat:
        """Waits for a place.

        Raises:
            NoRoomError: if there will be none in time.
        """
        waiter = Waiter(call, avoid, self._busy(call))
        self._waiting.append(waiter)
        self._pump(call.service)
        if not waiter.done.is_set():
            self._wake.set()
            await self._wait(waiter)
        if waiter.refused is not None:
            raise waiter.refused
        return waiter.seat

    def freed(self, service: str) -> None:
        """Notes that a server of a service has room again."""
        if self._waiting:
            self._pump(service)

    async def run(self) -> None:
        """Looks at those who wait until cancelled."""
        while True:
            if not self._waiting:
                self._wake = anyio.Event()
                await self._wake.wait()
            await anyio.sleep(TICK_S)
            for service in {item.call.service for item in self._waiting}:
                self._pump(service)

    async def _wait(self, waiter: Waiter) -> None:
        try:
            await waiter.done.wait()
        except BaseException:
            # The caller left, perhaps just as its place was found. A run that
            # nobody ends would hold room at the server for good.
            if waiter in self._waiting:
                self._waiting.remove(waiter)
            if waiter.seat is not None:
                waiter.seat.run.end()
            raise

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
                tries[kind] += 1
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
        item.done.set()


def _no_room(call: Call, prospect: Prospect) -> NoRoomError:
    spread = (hash(call.id) % 1000) / 1000
    return NoRoomError(
        f"no room in time: {prospect.ahead_s:.2f} s of work ahead,"
        f" {prospect.own_s:.2f} s of its own, {prospect.left_s:.2f} s left",
        retry_s=admission.retry_after_s(prospect, spread),
    )
