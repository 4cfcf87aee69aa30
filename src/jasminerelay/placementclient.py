"""Requests placements from cell owners and reports in-flight requests to them.

With few instances, each one places its requests itself, by the loads that all
instances send each other. With many, an instance requests a placement from the
owner of the cell to which the shared prefix of the request's prompt hashes. If
an owner has crashed, hangs or is unreachable, the first request waits for one
short timeout; for a while, requests then go to the owners of other cells. Where
none can be asked, an instance places a few requests at places of its own.
"""

import dataclasses
import time
from collections.abc import Callable, Container, Iterable, Sequence

import anyio
import msgspec
import xxhash

from jasminerelay import cells
from jasminerelay.catalog import Call, Engine
from jasminerelay.cells import Cell
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.enginemodel import SLOT_SHARE
from jasminerelay.errors import NoCapacityError
from jasminerelay.metrics import Counters
from jasminerelay.placementmessages import (
    ELSEWHERE,
    MS,
    PLACED,
    REFUSED,
    US,
    WAITING,
    in_flight_report,
    placement_request,
    request_end_report,
)
from jasminerelay.placementqueue import PlacementQueue, Reservation
from jasminerelay.placing import PlacementDecision
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import (
    CellUpdate,
    Member,
    OwnerAnswers,
    PlacementAnswer,
    RequestEndReport,
    ServerObservation,
)
from jasminerelay.workload import InFlightRequest

MIN_INSTANCES_FOR_OWNERS = 24
"""Number of instances from which cell owners place requests. Fewer instances
receive all loads in time, and owners would only add a message per request."""

STOPPING = "this instance is shutting down"
STOPPING_RETRY_S = 0.05
"""Retry-After at a stop: other instances can serve the request at once."""

REPEAT_AFTER_S = 0.06
"""Time without a first answer after which the update is sent once more; it or
the answer may have been lost."""

ANSWER_TIMEOUT_S = 0.25
"""Silence of an owner after which a request without an answer goes to another
one. A busy owner takes a tenth of a second; requests that pass it by are placed
without knowledge of what it places."""

MAX_OWNERS_ASKED = 3
"""Owners that one request is sent to, one after another."""

WAITING_UPDATE_INTERVAL_S = 0.3
"""Interval at which updates are repeated while requests wait at the owner. With
a hundred instances, a shorter interval leaves the owner no time for placing."""

OWNER_TIMEOUT_S = 0.8
"""Timeout for an owner at which requests wait, after which this instance places
them itself. Two lost datagrams in a row are rarer than a crashed owner."""

OWNER_BACKOFF_S = 0.5
"""How long an unresponsive owner gets no requests. If it hangs for a second, it
costs an instance two timeouts instead of one per request."""

BATCH_S = 0.02
"""How long first events and ends of requests are batched before the owner gets
them. Its counts of tokens pending prefill lag by that much."""

PERCENT = 100
"""Unit of a stated slowdown in messages."""

EMPTY_UPDATE_REPEATS = 2
"""Number of times that an update without any entries is repeated. If the only
one were lost, the owner would go on counting requests that have ended."""

MAX_WAITING_PER_CELL = 64
"""Maximum requests of one instance that wait at a cell; it places further ones
itself. All of them, some 250 bytes each, must fit into one datagram."""

CHECK_INTERVAL_S = 0.1
"""Interval of the checks for unresponsive owners and due updates."""

UPDATE_INTERVAL_S = 1.0
"""Interval at which an update is repeated if no request has changed."""


@dataclasses.dataclass(eq=False)
class _PendingRequest:
    """A request for which a placement was requested.

    Attributes:
        number: Number of the request; its run gets the same.
        call: The request.
        avoid: Servers that must not be chosen.
        cell: The cell at which the placement is requested.
        owner: The instance that owns the cell.
        answer: The owner's latest answer.
        changed: Set on each answer, and when the owner is found unresponsive.
        owner_failed: Whether the owner was found unresponsive.
        passed: Whether another cell's owner has redirected the request.
    """

    number: int
    call: Call
    avoid: frozenset[str]
    cell: Cell
    owner: Member
    answer: PlacementAnswer | None = None
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    owner_failed: bool = False
    passed: bool = False


@dataclasses.dataclass
class _UpdateState:
    """Progress of the updates about one cell.

    Attributes:
        at: Monotonic time of the latest update; minus infinity if a new one is
            due at once.
        owner: The instance that got it.
        repeats: Number of updates without entries that are still to be sent.
    """

    at: float = float("-inf")
    owner: str = ""
    repeats: int = 0


class PlacementClient:
    """Places requests through the cells' owners.

    Has the interface of the local queue, which it uses where no owner decides.
    """

    def __init__(
        self,
        own: str,
        peers: str,
        registry: Registry,
        dispatcher: Dispatcher,
        local: PlacementQueue,
        counters: Counters,
    ):
        """Creates a client that knows no other instance yet.

        Args:
            own: Id of this instance.
            peers: Its address for datagrams.
            registry: Configuration and servers.
            dispatcher: Places requests where no owner does.
            local: Queue of the requests that this instance places itself.
            counters: Counts events.
        """
        self._own = own
        self._address = peers
        self._registry = registry
        self._dispatcher = dispatcher
        self._local = local
        self._counters = counters
        self._waits: set[anyio.CancelScope] = set()
        self._stopped = False
        self._pending: dict[int, _PendingRequest] = {}
        self._updates: dict[Cell, _UpdateState] = {}
        self._former_owners: dict[tuple[Cell, str], int] = {}
        self._ends: dict[Cell, list[RequestEndReport]] = {}
        self._wake = anyio.Event()
        self._work_available = anyio.Event()
        dispatcher.workload.on_change = self._on_load_change
        dispatcher.own_places = self.own_places
        self._server_cells: dict[
            str, tuple[tuple[str, ...], dict[str, Cell]]
        ] = {}
        self._live: dict[str, Member] = {}
        self._position: int | None = None
        self._live_list: Sequence[Member] | None = None
        self._owners: dict[Cell, Member | None] = {}
        self._owner_seen_at: dict[str, float] = {}
        self._backoff_until: dict[str, float] = {}
        self.active = False
        self.send: Callable[[Member, CellUpdate], None] = lambda to, message: (
            None
        )

    def __len__(self) -> int:
        return len(self._pending) + len(self._local)

    def update_instances(self, known: int, live: Sequence[Member]) -> None:
        """Sets the current instances.

        Args:
            known: Number of known instances, including failed ones, so that a
                site which loses half of its instances keeps using owners.
            live: Instances that accept requests.
        """
        was_active = self.active
        self.active = known >= MIN_INSTANCES_FOR_OWNERS
        if self.active and not was_active:
            # No owner has counted these requests.
            self._dispatcher.workload.changed_servers.clear()
            self._dispatcher.workload.ended.clear()
            self._work_available.set()
        if live is self._live_list:
            return
        self._live_list = live
        members = {member.instance: member for member in live}
        if members.keys() == self._live.keys():
            return
        names = sorted(members)
        self._position = (
            names.index(self._own) if self._own in members else None
        )
        self._owners.clear()
        self._live = members
        for name in (
            self._owner_seen_at.keys() | self._backoff_until.keys()
        ) - members.keys():
            self._owner_seen_at.pop(name, None)
            self._backoff_until.pop(name, None)

    async def reserve_server(
        self, call: Call, avoid: frozenset[str]
    ) -> Reservation:
        """Waits for a placement.

        Raises:
            NoCapacityError: if none will be available in time, or this
                instance stops.
        """
        if not self._stopped:
            with anyio.CancelScope() as scope:
                self._waits.add(scope)
                try:
                    return await self._reserve_server(call, avoid)
                finally:
                    self._waits.discard(scope)
        raise NoCapacityError(STOPPING, retry_s=STOPPING_RETRY_S)

    def stop(self) -> None:
        """Refuses the requests that wait, and all further ones."""
        self._stopped = True
        for scope in self._waits:
            scope.cancel()

    async def _reserve_server(
        self, call: Call, avoid: frozenset[str]
    ) -> Reservation:
        asked: set[Cell] = set()
        for _ in range(MAX_OWNERS_ASKED):
            pending = self._new_pending(call, avoid, asked)
            if pending is None:
                break
            asked.add(pending.cell)
            reservation = await self._ask_owner(pending)
            if reservation is not None:
                return reservation
            if call.software_version is not None:
                # Servers of its version in several cells may have room.
                break
        if self.active and self._has_owners(call.service):
            self._counters.incr("place.alone")
        return await self._local.reserve_server(call, avoid)

    def own_places(self, server: str, engine: Engine) -> int | None:
        """Returns how many requests this instance may place at a server alone.

        They are this instance's part of the places that the server's owner
        leaves free, so that instances which cannot ask it do not fill the
        server together.

        Args:
            server: The server.
            engine: Capacity of the server.

        Returns:
            The number; None if no owner places requests there, or no other
            owner can be asked in its stead.
        """
        cell = self._cell_of(server) if self.active else None
        if cell is None:
            return None
        servers = self._registry.server_ids_of(cell[0])
        if len(servers) <= cells.MAX_SERVERS_PER_CELL:
            return None
        if self._position is None:
            return 0
        spare = max(1, engine.slots - int(engine.slots * SLOT_SHARE))
        count = len(self._live)
        offset = xxhash.xxh32_intdigest(server.encode()) + self._position
        return spare // count + (offset % count < spare % count)

    def other_owners(self) -> list[Member]:
        """Returns the other instances that own cells."""
        found = {}
        for cell in list(self._owners):
            owner = self._owner(cell)
            if owner is not None and owner.instance != self._own:
                found[owner.instance] = owner
        return list(found.values())

    def owner_of_server(self, server: str) -> str | None:
        """Returns the id of the instance that places requests at a server.

        None if each instance places its own requests there.
        """
        cell = self._cell_of(server) if self.active else None
        owner = self._owner(cell) if cell is not None else None
        return owner.instance if owner is not None else None

    def capacity_freed(self, service: str) -> None:
        """Handles freed capacity at a server of a service."""
        self._local.capacity_freed(service)
        if self.active:
            self._wake.set()

    def handle_message(self, message: OwnerAnswers) -> None:
        """Processes answers from an owner."""
        self._owner_seen_at[message.sender] = time.monotonic()
        self._backoff_until.pop(message.sender, None)
        for answer in message.answers:
            pending = self._pending.get(answer.number)
            if pending is not None and pending.owner.instance == message.sender:
                pending.answer = answer
                pending.changed.set()

    async def run(self) -> None:
        """Sends updates to owners until cancelled."""
        checked_at = 0.0
        while True:
            if self._is_idle:
                self._work_available = anyio.Event()
                await self._work_available.wait()
            with anyio.move_on_after(CHECK_INTERVAL_S):
                await self._wake.wait()
            await anyio.sleep(BATCH_S)
            self._wake = anyio.Event()
            now = time.monotonic()
            due = self._changed_cells()
            if now - checked_at >= CHECK_INTERVAL_S:
                checked_at = now
                due |= self._due_cells(now)
            for cell in due:
                self._send_update(cell)

    def _on_load_change(self) -> None:
        if self.active:
            self._work_available.set()

    @property
    def _is_idle(self) -> bool:
        """Whether there is nothing to report to an owner, or to check."""
        if self._pending or self._updates or self._former_owners:
            return False
        workload = self._dispatcher.workload
        return not self.active or not (
            workload.runs or workload.ended or workload.changed_servers
        )

    async def _ask_owner(self, pending: _PendingRequest) -> Reservation | None:
        """Requests a placement; returns None if the owner made none."""
        self._pending[pending.number] = pending
        self._work_available.set()
        self._send_update(pending.cell)
        reservation = None
        try:
            reservation = await self._await_placement(pending)
        finally:
            del self._pending[pending.number]
            if reservation is None:
                self._mark_due(pending.cell)
        return reservation

    def _new_pending(
        self, call: Call, avoid: frozenset[str], asked: Container[Cell]
    ) -> _PendingRequest | None:
        """Returns a request at the first cell that can be asked, if any.

        Args:
            call: The request.
            avoid: Servers that must not be chosen.
            asked: Cells whose owners have been asked in vain.
        """
        if not self.active or not self._has_owners(call.service):
            return None
        split = cells.cells_of(self._registry.server_ids_of(call.service))
        count = len(split)
        if not count:
            return None
        shared = call.prompt.shared_parts if call.prompt is not None else ()
        key = shared[-1].id if shared else call.id
        order: Iterable[int] = cells.cells_by_key(key, count)
        if call.software_version is not None:
            first = cells.cell_of_key(key, count)
            order = (self._cell_for(call, avoid, split, first),)
        for number in order:
            cell = (call.service, number)
            owner = self._owner(cell)
            if owner is None:
                return None
            if cell not in asked and self._may_ask(
                cell, owner, split[number], avoid
            ):
                number = self._dispatcher.workload.next_number()
                return _PendingRequest(number, call, avoid, cell, owner)
        return None

    def _may_ask(
        self,
        cell: Cell,
        owner: Member,
        servers: Sequence[str],
        avoid: frozenset[str],
    ) -> bool:
        """Returns whether a cell's owner can be asked for a placement."""
        if frozenset(servers) <= avoid | self._dispatcher.paused(servers):
            return False
        if time.monotonic() < self._backoff_until.get(owner.instance, 0.0):
            self._counters.incr("place.owner_spared")
            return False
        if (
            sum(pending.cell == cell for pending in self._pending.values())
            >= MAX_WAITING_PER_CELL
        ):
            self._counters.incr("place.too_many")
            return False
        return True

    def _cell_for(
        self,
        call: Call,
        avoid: frozenset[str],
        split: Sequence[tuple[str, ...]],
        number: int,
    ) -> int:
        """Returns the first cell from one on where a stream can go on."""
        allowed = {x.id for x in self._dispatcher.servers_for(call)} - avoid
        for step in range(len(split)):
            found = (number + step) % len(split)
            if not allowed.isdisjoint(split[found]):
                return found
        return number

    def _owner(self, cell: Cell) -> Member | None:
        if cell not in self._owners:
            name = cells.owner(*cell, list(self._live))
            self._owners[cell] = self._live.get(name) if name else None
        return self._owners[cell]

    async def _await_placement(
        self, pending: _PendingRequest
    ) -> Reservation | None:
        """Waits for the owner's decision; None if there will be none."""
        while await self._await_answer(pending):
            answer = pending.answer
            if answer.state == REFUSED:
                if pending.call.software_version is not None:
                    # The other cells' servers of its version may have room.
                    self._counters.incr("place.bound_refused")
                    return None
                self._counters.incr("place.refused")
                raise NoCapacityError(answer.why, retry_s=answer.retry_ms / MS)
            if answer.state == PLACED:
                return self._reserve(pending, answer)
            if answer.state == ELSEWHERE and self._redirect(
                pending, answer.cell
            ):
                continue
            if answer.state != WAITING:
                self._counters.incr("place.foreign_cell")
                return None
            pending.changed = anyio.Event()
        return None

    async def _await_answer(self, pending: _PendingRequest) -> bool:
        """Waits for an answer; returns whether the owner is responsive."""
        if pending.answer is not None:
            await pending.changed.wait()
            return not pending.owner_failed
        with anyio.move_on_after(REPEAT_AFTER_S):
            await pending.changed.wait()
        if not pending.changed.is_set():
            self._counters.incr("place.asked_again")
            self._send_update(pending.cell)
            with anyio.move_on_after(ANSWER_TIMEOUT_S - REPEAT_AFTER_S):
                await pending.changed.wait()
        if pending.answer is None and not pending.owner_failed:
            self._mark_unresponsive(pending.owner, pending)
        return not pending.owner_failed

    def _redirect(self, pending: _PendingRequest, number: int) -> bool:
        """Moves a request to another cell; returns whether that is possible."""
        cell = (pending.call.service, number)
        owner = self._owner(cell)
        if pending.passed or owner is None:
            return False
        self._counters.incr("place.passed")
        self._mark_due(pending.cell)
        pending.cell = cell
        pending.owner = owner
        pending.passed = True
        pending.answer = None
        pending.changed = anyio.Event()
        self._send_update(cell)
        return True

    def _reserve(
        self, pending: _PendingRequest, answer: PlacementAnswer
    ) -> Reservation | None:
        server = self._registry.server(answer.server)
        if (
            server is None
            or server.draining
            or server.id in pending.avoid
            or self._dispatcher.paused((server.id,))
        ):
            # The owner's list of servers is older than the local one, or the
            # server has requested a pause from this instance since.
            self._counters.incr("place.stale_server")
            return None
        if not pending.call.may_run_at(server):
            # An owner of an earlier program version places a stream at servers
            # of any software version.
            self._counters.incr("place.other_version")
            return None
        source = self._registry.server(answer.source)
        if source and source.software_version != server.software_version:
            source = None
        placed = PlacementDecision(
            server, answer.unread, answer.memory, False, source
        )
        run = self._dispatcher.reserve(pending.call, placed, pending.number)
        self._counters.incr("place.placed")
        return Reservation(placed, run, pending.owner.instance)

    def _mark_unresponsive(self, owner: Member, *asks: _PendingRequest) -> None:
        self._counters.incr("place.owner_silent")
        self._backoff_until[owner.instance] = time.monotonic() + OWNER_BACKOFF_S
        for pending in asks:
            pending.owner_failed = True
            pending.changed.set()

    def _mark_due(self, cell: Cell) -> None:
        self._updates.setdefault(cell, _UpdateState()).at = float("-inf")
        self._work_available.set()
        self._wake.set()

    def _changed_cells(self) -> set[Cell]:
        """Returns the cells with requests that have started or ended."""
        workload = self._dispatcher.workload
        if not self.active:
            workload.changed_servers.clear()
            workload.ended.clear()
            return set()
        found = set()
        for end in workload.ended:
            cell = self._cell_of(end.server)
            if cell is not None:
                self._ends.setdefault(cell, []).append(request_end_report(end))
                found.add(cell)
        workload.ended.clear()
        for server in workload.changed_servers:
            cell = self._cell_of(server)
            if cell is not None:
                found.add(cell)
        workload.changed_servers.clear()
        found.update(
            cell
            for cell, update_state in self._updates.items()
            if update_state.at == float("-inf")
        )
        return found

    def _due_cells(self, now: float) -> set[Cell]:
        """Checks owners and returns the cells whose periodic update is due."""
        self._check_owners(now)
        self._clear_former_owners()
        found = set()
        waiting_cells = {pending.cell for pending in self._pending.values()}
        for cell, update_state in list(self._updates.items()):
            owner = self._owner(cell)
            owner_changed = (
                owner is not None and owner.instance != update_state.owner
            )
            repeat_due = update_state.repeats < EMPTY_UPDATE_REPEATS
            interval_s = (
                WAITING_UPDATE_INTERVAL_S
                if cell in waiting_cells
                else UPDATE_INTERVAL_S
            )
            if (
                owner_changed
                or repeat_due
                or now - update_state.at >= interval_s
            ):
                found.add(cell)
        silent = (
            self._cell_of(server)
            for server in self._dispatcher.silent_servers(now)
            if self._dispatcher.reports_silent(server, now)
        )
        found.update(cell for cell in silent if cell is not None)
        return found if self.active else set()

    def _check_owners(self, now: float) -> None:
        """Reassigns requests to new owners and finds unresponsive ones."""
        for pending in list(self._pending.values()):
            owner = self._owner(pending.cell)
            if owner is not None and owner.instance != pending.owner.instance:
                # Ownership has changed; the next update goes to the new owner.
                pending.owner = owner
                self._owner_seen_at[owner.instance] = now
                continue
            seen_at = self._owner_seen_at.get(pending.owner.instance, now)
            if pending.answer is not None and now - seen_at > OWNER_TIMEOUT_S:
                self._mark_unresponsive(pending.owner, pending)

    def _send_update(self, cell: Cell) -> None:
        """Sends all requests waiting or in flight at a cell to its owner."""
        owner = self._owner(cell)
        if owner is None:
            return
        now = time.monotonic()
        runs = self._runs_at(cell)
        asks = [
            pending
            for pending in self._pending.values()
            if pending.cell == cell
        ]
        paused = self._dispatcher.paused(self._servers_of(cell))
        self._record_update(cell, owner, now, held=bool(runs or asks))
        message = CellUpdate(
            self._own,
            self._address,
            *cell,
            self._next_number(),
            [
                placement_request(
                    x.number, x.call, x.avoid, x.passed, now, paused
                )
                for x in asks
            ],
            [in_flight_report(run) for run in runs],
            self._ends.pop(cell, []),
            self._observations(cell, {run.server for run in runs}, now),
        )
        self._counters.incr("place.told")
        self.send(owner, message)

    def _record_update(
        self, cell: Cell, owner: Member, now: float, *, held: bool
    ) -> None:
        previous = self._updates.get(cell, _UpdateState())
        if previous.owner not in ("", owner.instance):
            self._former_owners[cell, previous.owner] = EMPTY_UPDATE_REPEATS + 1
        self._former_owners.pop((cell, owner.instance), None)
        repeats = EMPTY_UPDATE_REPEATS if held else previous.repeats - 1
        if repeats < 0:
            self._updates.pop(cell, None)
        else:
            self._updates[cell] = _UpdateState(now, owner.instance, repeats)

    def _clear_former_owners(self) -> None:
        """Notifies former owners that they have no requests left to count.

        Ownership may return to them before the old entries expire there.
        """
        for (cell, name), repeats in list(self._former_owners.items()):
            former = self._live.get(name)
            if former is None or not repeats:
                del self._former_owners[cell, name]
                continue
            self._former_owners[cell, name] = repeats - 1
            number = self._next_number()
            self.send(
                former,
                CellUpdate(
                    self._own, self._address, *cell, number, [], [], [], []
                ),
            )

    def _next_number(self) -> int:
        # All cells share one sequence, so numbers keep increasing for a
        # cell whose state was dropped here.
        return self._dispatcher.workload.next_number()

    def _has_owners(self, service: str) -> bool:
        """Returns whether cell owners place the requests of a service.

        Plain services have none: with few servers they would have few owners,
        which would get messages about all requests of the deployment. Their
        servers queue excess requests, and each request needs little of them.
        """
        return self._dispatcher.engine_of(service) is not None

    def _runs_at(self, cell: Cell) -> list[InFlightRequest]:
        return [
            run
            for run in self._dispatcher.workload.runs.values()
            if self._cell_of(run.server) == cell
        ]

    def _servers_of(self, cell: Cell) -> tuple[str, ...]:
        service, number = cell
        split = cells.cells_of(self._registry.server_ids_of(service))
        return split[number] if number < len(split) else ()

    def _cell_of(self, name: str) -> Cell | None:
        server = self._registry.server(name)
        if server is None or not self._has_owners(server.service):
            return None
        return self._cells_by_server(server.service).get(name)

    def _cells_by_server(self, service: str) -> dict[str, Cell]:
        """Returns the cells of a service's servers.

        Cached until the list of servers changes; the sorting and hashing of all
        servers for each lookup cost more than the rest of an update.
        """
        ids = self._registry.server_ids_of(service)
        held = self._server_cells.get(service)
        if held is None or held[0] is not ids:
            by_server = {
                name: (service, number)
                for number, cell in enumerate(cells.cells_of(ids))
                for name in cell
            }
            held = self._server_cells[service] = (ids, by_server)
        return held[1]

    def _observations(
        self, cell: Cell, servers: Iterable[str], now: float
    ) -> list[ServerObservation]:
        observations = []
        for name in self._servers_of(cell):
            observation = self._observation(cell[0], name, name in servers, now)
            if observation is not None:
                observations.append(observation)
        return observations

    def _observation(
        self, service: str, name: str, used: bool, now: float
    ) -> ServerObservation | None:
        """Returns what is new about a server; None if nothing is."""
        token_s = step_s = 0.0
        silent = False
        if used:
            token_times = self._dispatcher.token_times
            token_s = token_times.own_token_s(name, now) or 0.0
            step_s = token_times.step_time_s(name) or 0.0
            silent = self._dispatcher.reports_silent(name, now)
        capacities = self._dispatcher.capacities.of(service)
        stated, rejected = capacities.take_unsent(name, now)
        brittle = capacities.brittle.stated(name, now)
        if not (token_s or step_s or silent or stated or rejected or brittle):
            return None
        observation = ServerObservation(
            name,
            round(US * token_s),
            round(US * step_s),
            silent,
            rejected=rejected,
            brittle=brittle,
        )
        if stated is None:
            return observation
        return msgspec.structs.replace(
            observation,
            slowdown_pct=round(PERCENT * stated.slowdown),
            stated_age_ms=round(MS * (now - stated.at)),
            waiting=stated.waiting,
        )
