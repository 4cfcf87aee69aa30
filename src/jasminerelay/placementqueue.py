"""Queue of one instance's requests that wait for a backend server."""

import collections
import dataclasses
import operator
import time
from collections.abc import Callable
from typing import Protocol

import anyio

from jasminerelay import admission
from jasminerelay.admission import WaitEstimate
from jasminerelay.catalog import Call
from jasminerelay.errors import NoCapacityError
from jasminerelay.metrics import Counters
from jasminerelay.placing import LONGER_FACTOR, PlacementDecision, Wait
from jasminerelay.scheduling.fairshare import (
    REPORT_INTERVAL_S,
    FairShares,
    Headroom,
    RecentWork,
)
from jasminerelay.scheduling.returningcallers import (
    ReturningCallers,
    request_key,
)
from jasminerelay.schema.settings import Statsd
from jasminerelay.workload import InFlightRequest, RequestEnd, Verdict

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

MAX_PASS_SHARE = 0.25
"""Largest share of the time that placement passes take. In overload, with a
pass for each event, an instance with little processor time would do nothing
else, and be late with all its answers."""

WITHHELD = Wait("the last capacity is left to other organisations")


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
        shares: Shares of the organisations at its rank.
        recent: Recent work of the organisations at its rank.
        age_s: Time from the arrival of its first attempt to that of this one.
        reservation: The reservation, once there is one.
        refused: The error, if it was refused.
    """

    call: Call
    avoid: frozenset[str]
    busy_s: float
    first_s: float = 0.0
    settled: Callable[["QueueEntry"], None] = lambda entry: None
    shares: FairShares = dataclasses.field(default_factory=FairShares)
    recent: RecentWork = dataclasses.field(default_factory=RecentWork)
    age_s: float = 0.0
    reservation: Reservation | None = None
    refused: NoCapacityError | None = None

    @property
    def kind(self) -> tuple[str, str | None]:
        """The requests that wait for the same servers as it does."""
        return (self.call.route.name, self.call.software_version)

    def is_late(self, now: float) -> bool:
        """Whether it can't meet its objective any more."""
        call = self.call
        return now + self.first_s - call.arrived_at > call.route.objective_s

    def yields_to(self, other: "QueueEntry") -> bool:
        """Whether it is less urgent than another and over twice its size."""
        call, urgent = self.call, other.call
        return (
            call.prompt is not None
            and urgent.prompt is not None
            and (call.rank, call.route.rank) > (urgent.rank, urgent.route.rank)
            and call.route.rank > urgent.route.rank
            and call.prompt.tokens > LONGER_FACTOR * urgent.prompt.tokens
        )

    def sort_key(self, now: float) -> tuple[int, int, bool, bool, float]:
        """Returns its sort key among the requests of its organisation.

        First by rank; within a rank by the route's rank; then streams that have
        begun, since their callers wait between two events; then requests that
        can still meet their objective, since further delay costs little to one
        that is late already; then by arrival. The objective counts from the
        arrival of this attempt: a caller that came back when it was told is not
        late.
        """
        call = self.call
        return (
            call.rank,
            call.route.rank,
            call.software_version is None,
            self.is_late(now),
            call.arrived_at - self.age_s,
        )


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
        actual_busy: Callable[[Call, int], float] | None = None,
        headroom: Callable[[Call], Headroom] | None = None,
        counters: Counters | None = None,
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
            actual_busy: Returns how long a request with a given number of
                output tokens occupied an engine; None to keep the estimate.
            headroom: Returns the free capacity, where other instances place
                requests at the same servers; None where none does.
            counters: Counts events; None for none.
        """
        self._place = place
        self._expect = expect
        self._busy_time = busy
        self._reserve = reserve
        self._first_event_time = first
        self._frequent_passes = frequent_passes
        self._actual_busy_time = actual_busy
        self._headroom = headroom
        self._counters = counters or Counters(Statsd())
        self._ranks: dict[
            tuple[str, int, int], tuple[FairShares, RecentWork]
        ] = {}
        self._own_before: dict[str, tuple[int, int]] = {}
        self._returning = ReturningCallers()
        self._queue: list[QueueEntry] = []
        self._passes_from = 0.0
        self._is_running = False
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
            *self._rank_of(call),
            self._age_s(call),
        )
        behind = self._frequent_passes and any(
            item.kind == entry.kind for item in self._queue
        )
        self._queue.append(entry)
        entry.shares.activate(call.organisation)
        if not behind and self._may_pass():
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
            self._remove(entry)
        if entry.reservation is not None:
            entry.reservation.run.end()

    def capacity_freed(self, service: str) -> None:
        """Notes that a server of a service has free capacity again."""
        if self._queue and self._may_pass():
            self._place_queued(service)

    def queued_s(self, kind: str) -> float:
        """Returns the total engine time of the queued requests of a kind."""
        return sum(
            item.busy_s for item in self._queue if item.call.route.name == kind
        )

    async def run(self) -> None:
        """Runs placement passes until cancelled."""
        self._is_running = True
        while True:
            if not self._queue:
                self._not_empty = anyio.Event()
                await self._not_empty.wait()
            left_s = self._passes_from - time.monotonic()
            await anyio.sleep(max(PASS_INTERVAL_S, left_s))
            self.place_all()

    def place_all(self) -> None:
        """Runs a placement pass over all queued requests."""
        for service in {item.call.service for item in self._queue}:
            self._place_queued(service)

    def _may_pass(self) -> bool:
        # A pass that is left out is made up for by `run`.
        return not self._is_running or time.monotonic() >= self._passes_from

    def _place_queued(self, service: str) -> None:
        began = time.monotonic()
        try:
            self._run_pass(service, began)
        finally:
            ended = time.monotonic()
            taken_s = ended - began
            self._passes_from = ended + taken_s * (1 / MAX_PASS_SHARE - 1)

    def _run_pass(self, service: str, now: float) -> None:
        waiting = [x for x in self._queue if x.call.service == service]
        scan = _Scan(now)
        failed_attempts = scan.failed_attempts
        queued_ahead_s: dict[tuple[str, str | None], float] = {}
        late = _shortest_late(waiting, now)
        for item in _in_order(waiting, now):
            kind = item.kind
            # Late requests may use other servers than the rest of their kind.
            tried = (*kind, item.is_late(now))
            if any(
                other.reservation is None
                and other.refused is None
                and item.yields_to(other)
                for other in late
            ):
                # It would take what the urgent one waits for.
                scan.held_back += 1
            elif failed_attempts[tried] < MAX_FAILED_ATTEMPTS:
                placed = self._try_place(item, scan)
                if isinstance(placed, PlacementDecision):
                    self._settle_placed(item, placed, now)
                    continue
                if placed.retry_s > MAX_PAUSE_WAIT_S:
                    self._refuse(item, _pause_refusal(item.call, placed), now)
                    continue
            work_ahead_s = queued_ahead_s.get(kind, 0.0)
            estimate = self._expect(item.call, work_ahead_s)
            if estimate.too_late:
                excess = self._over_share(item)
                refused = _refusal(item.call, estimate, excess)
                self._refuse(item, refused, now)
                continue
            queued_ahead_s[kind] = work_ahead_s + item.busy_s
        if scan.held_back:
            self._counters.incr("queue.held_back", scan.held_back)

    def _try_place(
        self, item: QueueEntry, scan: "_Scan"
    ) -> PlacementDecision | Wait:
        if self._is_withheld(item, scan):
            return WITHHELD
        placed = self._place(item.call, item.avoid)
        if isinstance(placed, Wait) and placed.retry_s <= MAX_PAUSE_WAIT_S:
            cost = FULL_ATTEMPT_COST if placed.full else 1
            late = item.is_late(scan.now)
            scan.failed_attempts[*item.kind, late] += cost
        return placed

    def _settle_placed(
        self, item: QueueEntry, placed: PlacementDecision, now: float
    ) -> None:
        run = self._reserve(item.call, placed)
        item.reservation = Reservation(placed, run)
        self._remove(item)
        # Charged before the next request is chosen, and corrected at its end.
        item.shares.charge(item.call.organisation, item.busy_s)
        item.recent.record(item.call.organisation, item.busy_s, now)
        run.on_end = lambda end: self._correct(item, end)
        item.settled(item)

    def _refuse(
        self, item: QueueEntry, refused: NoCapacityError, now: float
    ) -> None:
        item.refused = refused
        self._remove(item)
        self._remember(item, refused, now)
        item.settled(item)

    def _remove(self, item: QueueEntry) -> None:
        self._queue.remove(item)
        item.shares.deactivate(item.call.organisation)

    def _correct(self, item: QueueEntry, end: RequestEnd) -> None:
        """Replaces the estimate that was charged by the work that was done."""
        if end.output and self._actual_busy_time is not None:
            work_s = self._actual_busy_time(item.call, end.output)
        elif (
            end.verdict is Verdict.BAD and item.reservation.run.first_s is None
        ):
            # The server did not run it, which is no usage of its organisation.
            work_s = 0.0
        else:
            return
        item.shares.charge(item.call.organisation, work_s - item.busy_s)

    def _rank_of(self, call: Call) -> tuple[FairShares, RecentWork]:
        key = (call.service, call.rank, call.route.rank)
        found = self._ranks.get(key)
        if found is None:
            found = self._ranks[key] = (FairShares(), RecentWork())
        return found

    def _is_withheld(self, item: QueueEntry, scan: "_Scan") -> bool:
        """Returns whether a request leaves capacity to other organisations.

        It does if its organisation is over its share and little is left.
        """
        if self._headroom is None or item.call.software_version is not None:
            return False
        call = item.call
        organisation = (item.shares, call.organisation)
        over_share = scan.over_share.get(organisation)
        if over_share is None:
            over_share = item.recent.over_share(
                call.organisation,
                item.shares.waiting(call.organisation),
                scan.now,
            )
            scan.over_share[organisation] = over_share
        if not over_share:
            return False
        kind = call.route.name
        # Once for each kind: the requests behind it would find no more.
        if kind not in scan.withheld:
            headroom = self._headroom(call)
            grown = self._growth(kind, headroom.own, scan.now)
            if headroom.allows_over_share(_spread(call), grown):
                return False
            scan.withheld.add(kind)
        return True

    def _growth(self, kind: str, own: int, now: float) -> int:
        """Returns by how much the requests in flight grew in this interval."""
        interval = int(now / REPORT_INTERVAL_S)
        before = self._own_before.get(kind)
        if before is None or before[0] != interval:
            before = self._own_before[kind] = (interval, own)
        return own - before[1]

    def _age_s(self, call: Call) -> float:
        """Returns how long ago the first attempt of a request came."""
        if not self._returning:
            return 0.0
        first = self._returning.first_arrival(
            request_key(call), call.arrived_at
        )
        if first < call.arrived_at:
            self._counters.incr("queue.returned")
        return call.arrived_at - first

    def _remember(
        self, item: QueueEntry, refused: NoCapacityError, now: float
    ) -> None:
        # Only where all attempts come here. Of several instances, a caller
        # that retries often would soon find one whose time is over, while one
        # that waits as told would rarely come back to the same instance.
        if self._headroom is None:
            self._returning.record_refusal(
                request_key(item.call),
                item.call.arrived_at - item.age_s,
                now + (refused.retry_s or 0.0),
                now,
            )

    def _over_share(self, item: QueueEntry) -> "_ShareExcess | None":
        """Returns by how much an organisation exceeds its share, if it does.

        It does if others compete with it and it has at least the mean of their
        waiting work.
        """
        call = item.call
        work_s: collections.Counter[str] = collections.Counter()
        for other in self._queue:
            if other.shares is item.shares:
                work_s[other.call.organisation] += other.busy_s
        own_s = work_s[call.organisation]
        total_s = work_s.total()
        if len(work_s) < 2 or own_s * len(work_s) < total_s:
            return None
        self._counters.incr("queue.over_share")
        return _ShareExcess(call.organisation, own_s, total_s, len(work_s))


@dataclasses.dataclass
class _Scan:
    """State of one placement pass.

    Attributes:
        now: Monotonic time of the pass.
        failed_attempts: Failed placement attempts by kind and lateness.
        held_back: Requests that left capacity to a more urgent one.
        over_share: Whether an organisation is over its share at a rank, for
            those whose requests were tried.
        withheld: Kinds of which organisations over their share get no more.
    """

    now: float
    failed_attempts: collections.Counter[tuple[str, str | None, bool]] = (
        dataclasses.field(default_factory=collections.Counter)
    )
    held_back: int = 0
    over_share: dict[tuple[FairShares, str], bool] = dataclasses.field(
        default_factory=dict
    )
    withheld: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class _ShareExcess:
    """Waiting work of one rank when a request over its share is refused.

    Attributes:
        organisation: The organisation over its share.
        own_s: Engine time of its waiting requests.
        total_s: Engine time of all waiting requests.
        organisations: Number of organisations that wait.
    """

    organisation: str
    own_s: float
    total_s: float
    organisations: int


def _has_competition(waiting: list[QueueEntry]) -> bool:
    """Returns whether requests of several organisations wait."""
    if not waiting:
        return False
    first = waiting[0].call.organisation
    return any(item.call.organisation != first for item in waiting)


def _shortest_late(waiting: list[QueueEntry], now: float) -> list[QueueEntry]:
    """Returns the shortest late model request of each rank that has any.

    Whoever yields to any late request of a rank yields to its shortest one.
    """
    shortest: dict[tuple[int, int], QueueEntry] = {}
    for item in waiting:
        call = item.call
        if (
            call.prompt is None
            or call.software_version is not None
            or not item.is_late(now)
        ):
            continue
        rank = (call.rank, call.route.rank)
        held = shortest.get(rank)
        if held is None or call.prompt.tokens < held.call.prompt.tokens:
            shortest[rank] = item
    return list(shortest.values())


def _in_order(waiting: list[QueueEntry], now: float) -> list[QueueEntry]:
    """Returns waiting requests in the order in which they are placed.

    Within a rank each is ordered by its organisation's usage plus the work that
    the organisation has queued before it, which is the usage that it will find
    if the requests are placed in this order. At equal usage the organisation
    with fewer requests goes first, since an organisation that was idle starts
    at the lowest usage of those that wait.
    """
    if not _has_competition(waiting):
        return sorted(waiting, key=lambda item: item.sort_key(now))
    by_arrival = [(item.sort_key(now), item) for item in waiting]
    by_arrival.sort(key=operator.itemgetter(0))
    usages: dict[tuple[FairShares, str, str], float] = {}
    by_share = []
    for position, (key, item) in enumerate(by_arrival):
        shares = item.shares
        organisation = item.call.organisation
        owner = (shares, organisation, item.call.route.name)
        usage = usages.get(owner)
        if usage is None:
            usage = shares.usage(organisation)
        usages[owner] = usage + item.busy_s
        *ranks, late, _ = key
        count = shares.waiting(organisation)
        by_share.append((*ranks, late, usage, count, position, item))
    by_share.sort()
    return [entry[-1] for entry in by_share]


def _refusal(
    call: Call, estimate: WaitEstimate, excess: _ShareExcess | None
) -> NoCapacityError:
    why = (
        f"no capacity in time: {estimate.queue_delay_s:.2f} s queueing delay,"
        f" {estimate.service_s:.2f} s service time,"
        f" {estimate.remaining_s:.2f} s left"
    )
    if excess is not None:
        why += (
            f"; organisation {excess.organisation!r} is {admission.OVER_SHARE}:"
            f" {excess.own_s:.2f} s of {excess.total_s:.2f} s of waiting work"
            f" of {excess.organisations} organisations,"
            f" its turn comes in {estimate.overrun_s:.2f} s"
        )
    return NoCapacityError(
        why,
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
