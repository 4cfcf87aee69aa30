"""Queue of one instance's requests that wait for a backend server."""

import collections
import dataclasses
import time
from collections.abc import Callable
from typing import Protocol

import anyio

from jasminerelay import admission
from jasminerelay.admission import WaitEstimate
from jasminerelay.catalog import Call
from jasminerelay.errors import NoCapacityError
from jasminerelay.placing import PlacementDecision, Wait
from jasminerelay.workload import InFlightRequest

MAX_FAILED_ATTEMPTS = 8
"""Failed placement attempts per kind in one pass; the rest of the kind is left
for the next pass. A request may wait for a full server while there is capacity
for the one behind it, but an attempt takes processor time, and with a long
queue most attempts fail."""

FULL_ATTEMPT_COST = 4
"""Number of attempts that one counts for if it found no server of the kind with
capacity: the next one would hardly succeed."""

MAX_PAUSE_WAIT_S = 0.25
"""Longest remaining pause of all servers for which a request waits here; with a
longer one its caller is asked to come back. A caller takes as long to retry."""

PASS_INTERVAL_S = 0.03
"""Interval of placement passes without any event. Load reports of other
instances, which can also show free capacity, come about as often."""


@dataclasses.dataclass(frozen=True)
class Reservation:
    """A server reserved for a request.

    Attributes:
        placed: The placement.
        run: The in-flight request in the load records; the holder of the
            reservation ends it.
        owner: Instance that made the decision; "" for this one.
    """

    placed: PlacementDecision
    run: InFlightRequest
    owner: str = ""


@dataclasses.dataclass(eq=False)
class QueueEntry:
    """One queued request.

    Attributes:
        call: The request.
        avoid: Servers that it must not use.
        busy_s: Engine time that it needs.
        first_s: Expected time from its placement to its first event.
        settled: Called once when the request is placed or refused.
        reservation: The reservation, once there is one.
        refused: The error, if it was refused.
    """

    call: Call
    avoid: frozenset[str]
    busy_s: float
    first_s: float = 0.0
    settled: Callable[["QueueEntry"], None] = lambda entry: None
    reservation: Reservation | None = None
    refused: NoCapacityError | None = None

    def sort_key(self, now: float) -> tuple[int, int, bool, float]:
        """Returns its sort key in the queue; the lowest is placed first.

        First by rank; within a rank by the route's rank; then requests that can
        still meet their objective, since further delay costs little to one that
        is late already; then by arrival.
        """
        call = self.call
        late = now + self.first_s - call.arrived_at > call.route.objective_s
        return (call.rank, call.route.rank, late, call.arrived_at)


class RequestPlacer(Protocol):
    """Interface through which requests are placed, locally or by an owner."""

    async def reserve_server(
        self, call: Call, avoid: frozenset[str]
    ) -> Reservation:
        """Reserves a server; raises NoCapacityError if none is free in time."""

    def capacity_freed(self, service: str) -> None:
        """Notes that a server of a service has free capacity again."""


Place = Callable[[Call, frozenset[str]], PlacementDecision | Wait]
Expect = Callable[[Call, float], WaitEstimate]


class PlacementQueue:
    """Places queued requests in order; refuses those that would be late."""

    def __init__(
        self,
        place: Place,
        expect: Expect,
        busy: Callable[[Call], float],
        reserve: Callable[[Call, PlacementDecision], InFlightRequest],
        first: Callable[[Call], float] = lambda call: 0.0,
        *,
        frequent_passes: bool = False,
    ):
        """Creates an empty queue.

        Args:
            place: Chooses a server now, or decides that the request must wait.
            expect: Returns the wait estimate, given the engine time queued
                ahead.
            busy: Returns how long a request occupies an engine.
            reserve: Records a placement before anything else is placed.
            first: Returns the expected time from placement to the first event.
            frequent_passes: Whether placement passes run every few
                milliseconds, so that a request behind others of its kind needs
                no pass of its own.
        """
        self._place = place
        self._expect = expect
        self._busy_time = busy
        self._reserve = reserve
        self._first_event_time = first
        self._frequent_passes = frequent_passes
        self._queue: list[QueueEntry] = []
        self._not_empty = anyio.Event()

    def __len__(self) -> int:
        return len(self._queue)

    async def reserve_server(
        self, call: Call, avoid: frozenset[str]
    ) -> Reservation:
        """Waits for a server.

        Raises:
            NoCapacityError: if no server is free in time.
        """
        done = anyio.Event()
        entry = self.enqueue(call, avoid, lambda entry: done.set())
        try:
            await done.wait()
        except BaseException:
            self.cancel(entry)
            raise
        if entry.refused is not None:
            raise entry.refused
        return entry.reservation

    def enqueue(
        self,
        call: Call,
        avoid: frozenset[str],
        settled: Callable[[QueueEntry], None],
    ) -> QueueEntry:
        """Adds a request to the queue.

        Args:
            call: The request.
            avoid: Servers that it must not use.
            settled: Called once, perhaps immediately, when the request is
                placed or refused.
        """
        entry = QueueEntry(
            call,
            avoid,
            self._busy_time(call),
            self._first_event_time(call),
            settled,
        )
        behind = self._frequent_passes and any(
            item.call.route.name == call.route.name for item in self._queue
        )
        self._queue.append(entry)
        if not behind:
            self._place_queued(call.service)
        if entry in self._queue:
            self._not_empty.set()
        return entry

    def cancel(self, entry: QueueEntry) -> None:
        """Removes a request that was cancelled or placed elsewhere.

        It may have been placed just before. An in-flight request that is never
        ended would occupy capacity at the server for good.
        """
        if entry in self._queue:
            self._queue.remove(entry)
        if entry.reservation is not None:
            entry.reservation.run.end()

    def capacity_freed(self, service: str) -> None:
        """Notes that a server of a service has free capacity again."""
        if self._queue:
            self._place_queued(service)

    def queued_s(self, kind: str) -> float:
        """Returns the total engine time of the queued requests of a kind."""
        return sum(
            item.busy_s for item in self._queue if item.call.route.name == kind
        )

    async def run(self) -> None:
        """Runs placement passes until cancelled."""
        while True:
            if not self._queue:
                self._not_empty = anyio.Event()
                await self._not_empty.wait()
            await anyio.sleep(PASS_INTERVAL_S)
            self.place_all()

    def place_all(self) -> None:
        """Runs a placement pass over all queued requests."""
        for service in {item.call.service for item in self._queue}:
            self._place_queued(service)

    def _place_queued(self, service: str) -> None:
        now = time.monotonic()
        waiting = [x for x in self._queue if x.call.service == service]
        waiting.sort(key=lambda item: item.sort_key(now))
        failed_attempts: collections.Counter[str] = collections.Counter()
        queued_ahead_s: dict[str, float] = {}
        for item in waiting:
            kind = item.call.route.name
            if failed_attempts[kind] < MAX_FAILED_ATTEMPTS:
                placed = self._place(item.call, item.avoid)
                if isinstance(placed, PlacementDecision):
                    reservation = Reservation(
                        placed, self._reserve(item.call, placed)
                    )
                    self._settle(item, reservation=reservation)
                    continue
                if placed.retry_s > MAX_PAUSE_WAIT_S:
                    self._settle(
                        item, refused=_pause_refusal(item.call, placed)
                    )
                    continue
                failed_attempts[kind] += FULL_ATTEMPT_COST if placed.full else 1
            work_ahead_s = queued_ahead_s.get(kind, 0.0)
            estimate = self._expect(item.call, work_ahead_s)
            if estimate.too_late:
                self._settle(item, refused=_refusal(item.call, estimate))
                continue
            queued_ahead_s[kind] = work_ahead_s + item.busy_s

    def _settle(
        self,
        item: QueueEntry,
        reservation: Reservation | None = None,
        refused: NoCapacityError | None = None,
    ) -> None:
        item.reservation = reservation
        item.refused = refused
        self._queue.remove(item)
        item.settled(item)


def _refusal(call: Call, estimate: WaitEstimate) -> NoCapacityError:
    return NoCapacityError(
        f"no capacity in time: {estimate.queue_delay_s:.2f} s queueing delay,"
        f" {estimate.service_s:.2f} s service time,"
        f" {estimate.remaining_s:.2f} s left",
        retry_s=admission.retry_after_s(estimate, _spread(call)),
    )


def _pause_refusal(call: Call, wait: Wait) -> NoCapacityError:
    return NoCapacityError(
        wait.why,
        retry_s=admission.retry_after_pause_s(wait.retry_s, _spread(call)),
    )


def _spread(call: Call) -> float:
    """Returns a number from 0 to 1 that differs between requests."""
    return (hash(call.id) % 1000) / 1000
