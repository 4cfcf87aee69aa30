"""Hosts the cell brokers and rate-limit buckets assigned to this instance."""

import dataclasses
import time
from collections.abc import Callable, Iterable
from functools import singledispatchmethod

import anyio
from anyio.abc import TaskGroup

from jasminerelay.broker import REFUSED_UNKNOWN_CELL, Broker
from jasminerelay.errors import InvariantError
from jasminerelay.fairqueue import queued_request
from jasminerelay.limits import Limit, TokenBucket
from jasminerelay.loadpoller import LoadPoller
from jasminerelay.manifest import Cell, Directory
from jasminerelay.metrics import Counters, InvariantHandler
from jasminerelay.schema.manifest import Server
from jasminerelay.schema.messages import (
    BorrowRequest,
    BrokerFrame,
    CacheEvent,
    HeldPermit,
    InstanceFrame,
    LoadReport,
    PermitGrant,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
    PermitRevocation,
    TokenLoan,
)

TICK_S = 0.05
IDLE_TICK_S = 1.0
HEARTBEAT_S = 0.2
IDLE_S = 30.0
WARM_UP_S = 0.3
"""Longest time that a new broker waits for load reports before it grants.

It has no record yet of permits that other brokers granted. The load reports
show the resulting load, so that it does not grant occupied slots.
"""
DISCONNECT_GRACE_S = 2.0
"""Time for which a disconnected instance keeps its permits."""

SendFrame = Callable[[BrokerFrame], None]


@dataclasses.dataclass
class _HostedBroker:
    broker: Broker
    ready: bool
    used_at: float


@dataclasses.dataclass
class _Outbox:
    grants: list[PermitGrant] = dataclasses.field(default_factory=list)
    refusals: list[PermitRefusal] = dataclasses.field(default_factory=list)
    revokes: list[PermitRevocation] = dataclasses.field(default_factory=list)
    loans: list[TokenLoan] = dataclasses.field(default_factory=list)


class BrokerHost:
    """Runs the brokers hosted by one instance and serves their clients."""

    def __init__(
        self,
        directory: Callable[[], Directory | None],
        counters: Counters,
        invariants: InvariantHandler,
    ):
        self._directory = directory
        self._counters = counters
        self._invariants = invariants
        self._hosted: dict[str, _HostedBroker] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._sessions: dict[str, SendFrame] = {}
        self._disconnected: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._heartbeat_at = 0.0
        self._wake = anyio.Event()
        self._background: TaskGroup | None = None
        self._load_poller: LoadPoller | None = None

    @property
    def cells(self) -> dict[str, tuple[int, int]]:
        """Counts of queued requests and of permits, by cell hosted here."""
        return {
            name: (hosted.broker.waiting, hosted.broker.held)
            for name, hosted in self._hosted.items()
        }

    def set_load_poller(self, watch: LoadPoller) -> None:
        """Sets the poller that fetches load reports when a broker starts."""
        self._load_poller = watch

    async def run(self) -> None:
        """Steps the brokers until cancelled."""
        async with anyio.create_task_group() as group:
            self._background = group
            while True:
                await self._pause()
                self._tick(time.monotonic())

    def connect(self, entry: str, send: SendFrame) -> None:
        """Starts the session of an instance, replacing any earlier one.

        The first frame of a session lists every permit that the instance
        holds. Earlier records of the instance are dropped: releases may have
        been lost with the former connection, and their slots would stay
        occupied for ever.
        """
        for hosted in self._hosted.values():
            hosted.broker.remove_instance(entry, permits=True)
        self._sessions[entry] = send
        self._disconnected.pop(entry, None)

    def disconnect(self, entry: str, send: SendFrame) -> None:
        """Ends a session, unless a later one has replaced it."""
        if self._sessions.get(entry) is not send:
            return
        del self._sessions[entry]
        self._disconnected[entry] = time.monotonic()
        for hosted in self._hosted.values():
            hosted.broker.remove_instance(entry, permits=False)

    def on_frame(self, frame: InstanceFrame) -> None:
        """Handles a frame of an instance and sends the resulting decisions."""
        now = time.monotonic()
        for message in (
            *frame.held,
            *frame.releases,
            *frame.asks,
            *frame.borrows,
        ):
            self._handle(message, frame.instance, now)
        touched = {
            message.cell
            for message in (*frame.held, *frame.releases, *frame.asks)
        }
        self._step(touched, now)
        self._wake.set()

    def servers(self) -> Iterable[Server]:
        """Returns the backend servers of the cells hosted here."""
        directory = self._directory()
        if directory is None:
            return []
        return [
            server
            for name in self._hosted
            if name in directory.cells
            for server in directory.cells[name].servers
        ]

    def on_load_report(
        self, server: str, report: LoadReport, now: float
    ) -> None:
        """Passes a load report to the brokers of the server's cells."""
        for name in self._cells_of(server):
            self._hosted[name].broker.on_load_report(server, report, now)

    def cache_events(self, server: str, events: list[CacheEvent]) -> None:
        """Passes prefix cache events to the brokers of the server's cells."""
        for name in self._cells_of(server):
            prefixes = self._hosted[name].broker.prefixes
            for event in events:
                prefixes.event(
                    server,
                    event.sequence,
                    tuple(event.stored),
                    tuple(event.removed),
                )

    def _cells_of(self, server: str) -> list[str]:
        directory = self._directory()
        if directory is None:
            return []
        return [
            name
            for name in self._hosted
            if name in directory.cells
            and any(
                item.name == server for item in directory.cells[name].servers
            )
        ]

    def set_leaving_servers(self, servers: set[str]) -> None:
        """Sets the backend servers that are leaving, according to gossip."""
        self._leaving = servers
        for hosted in self._hosted.values():
            hosted.broker.set_leaving_servers(servers)
        self._step(set(self._hosted), time.monotonic())

    def on_manifest_changed(self) -> None:
        """Applies the cells and limits of a newer manifest."""
        directory = self._directory()
        if directory is None:
            return
        self._buckets.clear()
        for name, hosted in self._hosted.items():
            # A cell removed from the manifest is replaced by one without
            # servers, so that its broker refuses all queued requests.
            gone = Cell(name, (), 1)
            hosted.broker.update_cell(directory.cells.get(name, gone))
        self._step(set(self._hosted), time.monotonic())

    @singledispatchmethod
    def _handle(self, message, entry: str, now: float) -> None:
        raise TypeError(f"unexpected message {message!r} from {entry} at {now}")

    @_handle.register
    def _handle_permit_request(
        self, message: PermitRequest, entry: str, now: float
    ) -> None:
        hosted = self._hosted_broker(message.cell, now)
        if hosted is None:
            outbox = _Outbox(
                refusals=[
                    PermitRefusal(message.ask_id, REFUSED_UNKNOWN_CELL, 0.0)
                ]
            )
            self._send(entry, outbox)
            return
        hosted.broker.enqueue(queued_request(message, entry, now), now)

    @_handle.register
    def _handle_held(self, message: HeldPermit, entry: str, now: float) -> None:
        hosted = self._hosted_broker(message.cell, now)
        if hosted is not None:
            hosted.broker.hold(message, entry, now)

    @_handle.register
    def _handle_release(
        self, message: PermitRelease, entry: str, now: float
    ) -> None:
        del entry
        hosted = self._hosted.get(message.cell)
        if hosted is not None:
            hosted.broker.release(message, now)

    @_handle.register
    def _handle_borrow(
        self, message: BorrowRequest, entry: str, now: float
    ) -> None:
        directory = self._directory()
        if directory is None:
            return
        organisation = directory.organisations.get(message.organisation)
        if organisation is None:
            return
        limit = Limit.of(organisation.tokens_per_s, organisation.burst_tokens)
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            self._counters.incr("limit.homes")
            bucket = TokenBucket(limit, now)
            self._buckets[organisation.name] = bucket
        lent = bucket.lend(message.tokens, now)
        loan = TokenLoan(
            organisation.name, lent, bucket.retry_s(message.tokens)
        )
        self._send(entry, _Outbox(loans=[loan]))

    def _hosted_broker(self, cell: str, now: float) -> _HostedBroker | None:
        hosted = self._hosted.get(cell)
        if hosted is None:
            directory = self._directory()
            if directory is None or cell not in directory.cells:
                return None
            hosted = _HostedBroker(Broker(directory.cells[cell]), False, now)
            self._hosted[cell] = hosted
            hosted.broker.set_leaving_servers(self._leaving)
            self._counters.incr("broker.started")
            if self._background is None or self._load_poller is None:
                hosted.ready = True
            else:
                self._background.start_soon(self._warm_up, cell, hosted)
        hosted.used_at = now
        return hosted

    async def _pause(self) -> None:
        if any(item.broker.waiting for item in self._hosted.values()):
            await anyio.sleep(TICK_S)
            return
        # No queued request can expire, so sleep longer; an idle instance
        # should use next to no CPU.
        self._wake = anyio.Event()
        with anyio.move_on_after(IDLE_TICK_S):
            await self._wake.wait()

    async def _warm_up(self, cell: str, hosted: _HostedBroker) -> None:
        directory = self._directory()
        with anyio.move_on_after(WARM_UP_S):
            async with anyio.create_task_group() as group:
                for server in directory.cells[cell].servers:
                    group.start_soon(self._load_poller.poll, server)
        hosted.ready = True
        self._step({cell}, time.monotonic())

    def _tick(self, now: float) -> None:
        for entry, since in list(self._disconnected.items()):
            if now - since > DISCONNECT_GRACE_S:
                del self._disconnected[entry]
                for hosted in self._hosted.values():
                    hosted.broker.remove_instance(entry, permits=True)
        self._step(
            {
                name
                for name, item in self._hosted.items()
                if item.broker.waiting
            },
            now,
        )
        if now - self._heartbeat_at >= HEARTBEAT_S:
            self._heartbeat_at = now
            self._heartbeat()
        for name, hosted in list(self._hosted.items()):
            idle = not hosted.broker.waiting and not hosted.broker.held
            if idle and now - hosted.used_at > IDLE_S:
                del self._hosted[name]

    def _heartbeat(self) -> None:
        """Sends an empty frame to each instance with queued requests.

        The connections of a frozen broker stay open. Without heartbeats an
        instance could not distinguish a long queue from a frozen broker.
        """
        waiting = {
            entry
            for hosted in self._hosted.values()
            for entry in hosted.broker.waiting_instances()
        }
        for entry in waiting:
            self._send(entry, _Outbox())

    def _step(self, cells: set[str], now: float) -> None:
        outboxes: dict[str, _Outbox] = {}
        for name in cells:
            hosted = self._hosted.get(name)
            if hosted is None or not hosted.ready:
                continue
            try:
                decisions = hosted.broker.step(now)
            except InvariantError as exc:
                self._invariants.report(exc)
                continue
            for decision in decisions:
                outbox = outboxes.setdefault(decision.entry, _Outbox())
                _append(decision.message, outbox)
        for entry, outbox in outboxes.items():
            self._counters.incr("broker.grants", len(outbox.grants))
            self._counters.incr("broker.refusals", len(outbox.refusals))
            self._send(entry, outbox)

    def _send(self, entry: str, outbox: _Outbox) -> None:
        send = self._sessions.get(entry)
        if send is not None:
            send(
                BrokerFrame(
                    outbox.grants,
                    outbox.refusals,
                    outbox.revokes,
                    outbox.loans,
                )
            )


def _append(
    message: PermitGrant | PermitRefusal | PermitRevocation, outbox: _Outbox
) -> None:
    match message:
        case PermitGrant():
            outbox.grants.append(message)
        case PermitRefusal():
            outbox.refusals.append(message)
        case PermitRevocation():
            outbox.revokes.append(message)
