"""Places requests of all instances at the servers of one cell.

Does no I/O except reading the clock. Each datagram from an instance lists all
requests that it has waiting or in flight at the cell. The next datagram
therefore makes up for a lost one, and brings a new owner up to date; requests
that it doesn't list have ended.
"""

import dataclasses
import math
import time
from collections.abc import Callable, Iterable

from jasminerelay.catalog import Call
from jasminerelay.cells import CellServers, QueueEstimates
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.metrics import Counters
from jasminerelay.placementmessages import (
    ELSEWHERE,
    FOREIGN,
    MS,
    US,
    WAITING,
    call_of,
    placement_answer,
)
from jasminerelay.placementqueue import PlacementQueue, QueueEntry
from jasminerelay.responsemonitor import PeerResponseMonitor
from jasminerelay.scheduling.servercapacity import StatedLoad
from jasminerelay.schema.messages import (
    CellQueue,
    CellUpdate,
    InFlightReport,
    OwnerAnswers,
    PlacementAnswer,
    PlacementRequest,
    RequestEndReport,
    RouteDemand,
    ServerLoad,
    ServerObservation,
)
from jasminerelay.workload import InFlightRequest, Verdict

SENDER_TIMEOUT_S = 3.0
"""Silence of an instance after which its requests are dropped. An instance with
any requests sends an update at least every second; when it crashes its
connections close, so its requests end within about this time."""

MIN_REDIRECT_GAIN_S = 0.1
"""Time that a redirected request must save, beyond the repeated prefill of its
shared prefix. Allows for the age of the other cells' queue estimates."""

MAX_REJECTED = 100
"""Largest valid number of rejections in one update, which covers at most a
second."""

PERCENT = 100
"""Unit of a stated slowdown in messages."""

SendAnswers = Callable[[str, OwnerAnswers], None]
"""Sends answers to an address."""


@dataclasses.dataclass(eq=False)
class _Request:
    """A request of another instance, from its placement request to its end.

    Attributes:
        call: The request; None if it was placed elsewhere.
        queue_entry: Its queue entry; None if it was placed elsewhere.
        run: Its in-flight record, once it is placed.
        answer: The owner's answer, once there is one.
    """

    call: Call | None = None
    queue_entry: QueueEntry | None = None
    run: InFlightRequest | None = None
    answer: PlacementAnswer | None = None


@dataclasses.dataclass
class _Sender:
    """An instance that has requests at the cell.

    Attributes:
        peers: Its address for datagrams.
        number: Number of its latest update.
        updated_at: Monotonic time of that update.
        requests: Its requests by number.
    """

    peers: str
    number: int = 0
    updated_at: float = 0.0
    requests: dict[int, _Request] = dataclasses.field(default_factory=dict)


class CellOwner:
    """Places requests at the servers of one cell, for all instances.

    Attributes:
        queue: Queue of the requests that wait for a placement.
        changed: Whether the queue must be scanned, since capacity was freed or
            requests arrived.
    """

    def __init__(
        self,
        own: str,
        service: str,
        cell: int,
        registry: CellServers,
        dispatcher: Dispatcher,
        response_monitor: PeerResponseMonitor,
        queues: QueueEstimates,
        answer: SendAnswers,
        counters: Counters | None = None,
    ):
        """Creates the owner of a cell without any known requests.

        Args:
            own: Id of this instance.
            service: The service.
            cell: Number of the cell.
            registry: The cell's servers.
            dispatcher: Places requests by this cell's in-flight requests only.
            response_monitor: The dispatcher's record of unresponsive servers.
            queues: Queue estimates of other cells.
            answer: Sends answers.
            counters: Counts events; None for none.
        """
        self._own = own
        self._service = service
        self._cell = cell
        self._registry = registry
        self._dispatcher = dispatcher
        self._unresponsive = response_monitor
        self._queues = queues
        self._answer = answer
        self._senders: dict[str, _Sender] = {}
        self.queue = PlacementQueue(
            dispatcher.place,
            dispatcher.expect,
            dispatcher.busy_s,
            dispatcher.reserve,
            dispatcher.first_s,
            frequent_passes=True,
            actual_busy=dispatcher.actual_busy_s,
            counters=counters,
        )
        self.changed = False

    @property
    def idle(self) -> bool:
        """Whether no instance has requests here."""
        return not self._senders

    def receive(self, message: CellUpdate, now: float) -> None:
        """Processes an update: all requests of an instance at this cell."""
        sender = self._senders.setdefault(
            message.sender, _Sender(message.peers)
        )
        if message.number <= sender.number:
            return
        sender.number = message.number
        sender.updated_at = now
        self._record_ends(sender, message.ended, now)
        freed = self._update_runs(sender, message.runs, now)
        listed = {item.number for item in message.asks}
        listed.update(item.number for item in message.runs)
        for number in [item for item in sender.requests if item not in listed]:
            self._drop(sender.requests.pop(number))
            freed = True
        self._record_observations(message.tokens, now)
        self.changed |= freed or bool(message.asks)
        answers = [
            self._handle_request(sender, item, now) for item in message.asks
        ]
        if answers:
            self._send(sender, answers)

    def expire(self, now: float) -> None:
        """Drops the requests of instances that have stopped sending updates."""
        for name, sender in list(self._senders.items()):
            if now - sender.updated_at > SENDER_TIMEOUT_S:
                del self._senders[name]
                for request in sender.requests.values():
                    self._drop(request)

    def tick(self, now: float) -> None:
        """Drops expired requests and advances the running averages."""
        self.expire(now)
        self._dispatcher.tick(now)

    def loads(self, now: float) -> list[ServerLoad]:
        """Returns the load of all instances at the cell's servers."""
        found = []
        for server in self._registry.servers_of(self._service):
            load = self._dispatcher.workload.load(server.id)
            token_s = (
                self._dispatcher.token_times.token_s(server.id, now) or 0.0
            )
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

    def demand(self) -> list[RouteDemand]:
        """Returns the demand of all instances at the cell."""
        return self._dispatcher.own_demand()

    def queue_estimates(self) -> list[CellQueue]:
        """Returns the estimated wait of a new request, by kind of work."""
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
        """Removes a server that has ended."""
        self._dispatcher.gone(server)

    def _ahead_s(self, kind: str) -> float:
        return self._dispatcher.queue_delay_s(
            self._service, kind, self.queue.queued_s(kind)
        )

    def _handle_request(
        self, sender: _Sender, message: PlacementRequest, now: float
    ) -> PlacementAnswer:
        held = sender.requests.get(message.number)
        if held is not None:
            return held.answer or self._waiting_answer(sender, message, held)
        call = call_of(message, self._service, self._registry.catalog, now)
        if call is None:
            return PlacementAnswer(message.number, FOREIGN)
        if call.software_version is not None and not (
            self._dispatcher.servers_for(call)
        ):
            return PlacementAnswer(message.number, FOREIGN)
        if message.first:
            self._dispatcher.record_arrival(call)
        request = _Request(call)
        sender.requests[message.number] = request
        admitted = False

        def settled(queue_entry: QueueEntry) -> None:
            request.answer = placement_answer(message.number, queue_entry)
            if queue_entry.refused is not None:
                request.answer = self._redirect(message, call) or request.answer
            if queue_entry.reservation is not None:
                request.run = queue_entry.reservation.run
            if admitted:
                self._send(sender, [request.answer])

        request.queue_entry = self.queue.enqueue(
            call, frozenset(message.avoid), settled
        )
        admitted = True
        return request.answer or self._waiting_answer(sender, message, request)

    def _waiting_answer(
        self, sender: _Sender, message: PlacementRequest, request: _Request
    ) -> PlacementAnswer:
        """Answers for a waiting request: redirect it, or keep it waiting."""
        passed = self._redirect(message, request.call)
        if passed is None:
            return PlacementAnswer(message.number, WAITING)
        del sender.requests[message.number]
        self._drop(request)
        return passed

    def _redirect(
        self, message: PlacementRequest, call: Call
    ) -> PlacementAnswer | None:
        """Returns a redirect to another cell, if one serves the request sooner.

        Shared prefixes are spread evenly over the cells, but requests and
        server crashes are not: one cell may have a queue for seconds while
        others have none.
        """
        if message.passed or call.prompt is None:
            return None
        if call.software_version is not None:
            # Other cells may have no server where it can go on.
            return None
        own_cell = (self._service, self._cell)
        kind = call.route.name
        found = self._queues.shortest(own_cell, kind, time.monotonic())
        if found is None:
            return None
        cell, other_delay_s = found
        own_delay_s = self._ahead_s(kind)
        speeds = self._dispatcher.engine_models.of(self._service).speeds()
        prefill_s = speeds.prefill_s(call.prompt.shared_tokens)
        if own_delay_s - other_delay_s < prefill_s + MIN_REDIRECT_GAIN_S:
            return None
        servers = len(self._registry.servers_of(self._service))
        busy_s = self._dispatcher.busy_s(call) / max(1, servers)
        self._queues.add((self._service, cell), kind, busy_s)
        return PlacementAnswer(message.number, ELSEWHERE, cell=cell)

    def _update_runs(
        self, sender: _Sender, runs: Iterable[InFlightReport], now: float
    ) -> bool:
        """Updates in-flight requests; returns whether any prefill has ended."""
        freed = False
        for item in runs:
            request = sender.requests.get(item.number)
            run = request.run if request is not None else None
            if run is not None and run.server != item.server:
                self._drop(sender.requests.pop(item.number))
                run = None
            if run is None:
                # Placed by another instance, or before this one owned the cell.
                run = self._dispatcher.workload.start(
                    item.server, item.unread, item.memory
                )
                request = _Request(run=run)
                sender.requests[item.number] = request
            if item.first_ms >= 0 and run.first_s is None:
                self._record_first_event(request, run, item.first_ms / MS, now)
                freed = True
        return freed

    def _record_first_event(
        self,
        request: _Request,
        run: InFlightRequest,
        first_s: float,
        now: float,
    ) -> None:
        run.read(first_s)
        self._dispatcher.record_response(run.server, now)
        queue_entry = request.queue_entry
        if queue_entry is not None and queue_entry.reservation is not None:
            self._dispatcher.record_first_event(
                request.call,
                queue_entry.reservation.placed,
                run.prefill_ahead,
                first_s,
            )

    def _record_ends(
        self, sender: _Sender, ended: Iterable[RequestEndReport], now: float
    ) -> None:
        health = self._dispatcher.health(self._service)
        for item in ended:
            if item.good:
                health.succeeded(item.server)
                self._dispatcher.record_response(item.server, now)
            elif item.bad:
                health.failed(item.server, now)
            request = sender.requests.get(item.number)
            if request is None:
                continue
            if item.output and request.call:
                self._dispatcher.lengths.observe(
                    request.call.route.name, item.output
                )
            if request.run is not None:
                # Before the request is dropped, since only this report tells
                # the work that its organisation used.
                request.run.end(_verdict(item), item.output)

    def _record_observations(
        self, tokens: Iterable[ServerObservation], now: float
    ) -> None:
        for item in tokens:
            if item.silent:
                self._unresponsive.report_unresponsive(item.server, now)
            if item.token_us:
                self._dispatcher.token_times.record_report(
                    item.server, item.token_us / US, now
                )
            if item.step_us:
                self._dispatcher.record_step_time(
                    self._service, item.server, item.step_us / US, now
                )
            if item.slowdown_pct > 0 or item.waiting > 0:
                self._record_statement(item, now)
            if item.brittle > 0:
                capacities = self._dispatcher.capacities.of(self._service)
                capacities.brittle.record_statement(
                    item.server, item.brittle, now
                )
            if 0 < item.rejected <= MAX_REJECTED:
                self._dispatcher.record_rejection(
                    self._service, item.server, now, item.rejected
                )

    def _record_statement(self, item: ServerObservation, now: float) -> None:
        # Clocks of instances differ, so messages carry the age, not the time.
        at = now - max(0, item.stated_age_ms) / MS
        # The owner places all requests at the server, so none is unknown.
        stated = StatedLoad(
            at, max(0, item.slowdown_pct) / PERCENT, item.waiting
        )
        self._dispatcher.record_statement(
            self._service, item.server, stated, now
        )

    def _drop(self, request: _Request) -> None:
        if request.queue_entry is not None:
            self.queue.cancel(request.queue_entry)
        if request.run is not None:
            request.run.end()

    def _send(self, sender: _Sender, answers: list[PlacementAnswer]) -> None:
        self._answer(
            sender.peers,
            OwnerAnswers(self._own, self._service, self._cell, answers),
        )


def _verdict(report: RequestEndReport) -> Verdict | None:
    if report.good:
        return Verdict.GOOD
    return Verdict.BAD if report.bad else None
