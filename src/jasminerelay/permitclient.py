"""Acquires permits for the requests that arrive at this instance."""

import collections
import dataclasses
import time
from collections.abc import Callable
from functools import singledispatchmethod

import anyio
import msgspec

from jasminerelay import rendezvous
from jasminerelay.broker import (
    REFUSED_NO_SERVER,
    REFUSED_UNKNOWN_CELL,
    Broker,
)
from jasminerelay.errors import InvariantError
from jasminerelay.fairqueue import queued_request
from jasminerelay.limits import BorrowedBalance, Limit, TokenBucket
from jasminerelay.manifest import Cell, Directory
from jasminerelay.metrics import Counters, InvariantHandler
from jasminerelay.naive import NaiveBroker
from jasminerelay.schema.manifest import Organisation, Pool, Server, Service
from jasminerelay.schema.messages import (
    BorrowRequest,
    BrokerFrame,
    HeldPermit,
    InstanceFrame,
    LoadReport,
    Member,
    PermitGrant,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
    PermitRevocation,
    TokenLoan,
)
from jasminerelay.serverpauses import ServerPauses

TICK_S = 0.1

NO_SERVER_RETRY_S = 1.0
"""Minimum retry delay if no server of a cell accepts requests."""

COORDINATION_BROKER = "broker"
COORDINATION_NAIVE = "naive"

SendTo = Callable[[str, InstanceFrame], None]


@dataclasses.dataclass
class _PendingRequest:
    request: PermitRequest
    started: float
    done: anyio.Event
    broker_name: str = ""
    requested_at: float = 0.0
    local: bool = False
    result: PermitGrant | PermitRefusal | None = None


@dataclasses.dataclass(eq=False)
class _PendingLoan:
    """A request for a loan; the coordinator answers such requests in order."""

    done: anyio.Event
    loan: TokenLoan | None = None


@dataclasses.dataclass
class _PermitRecord:
    held: HeldPermit
    broker_name: str
    revoked: bool = False


class PermitClient:
    """Acquires and holds the permits of one instance.

    Requests permits from the broker of each cell. If the broker is
    unresponsive, grants permits locally from this instance's share of the
    slots, so that requests are still served.
    """

    def __init__(
        self,
        own: Member,
        live: Callable[[], list[Member]],
        directory: Callable[[], Directory | None],
        send: SendTo,
        counters: Counters,
        invariants: InvariantHandler,
        timeout_s: float,
        pauses: ServerPauses,
        coordination: str = COORDINATION_BROKER,
    ):
        """Initialises the permit client.

        Args:
            own: This instance.
            live: Returns the instances that may be brokers.
            directory: Returns the manifest in force.
            send: Sends a frame to the broker at an instance.
            counters: Counts grants by source.
            invariants: Reports invariant violations of the local brokers.
            timeout_s: Seconds without a frame after which a broker counts as
                unresponsive.
            pauses: Pauses that backend servers request from this instance.
            coordination: `COORDINATION_BROKER` or `COORDINATION_NAIVE`.
        """
        self._own = own
        self._live = live
        self._directory = directory
        self._send = send
        self._counters = counters
        self._invariants = invariants
        self._timeout_s = timeout_s
        self._pauses = pauses
        self._coordination = coordination
        self._pending: dict[str, _PendingRequest] = {}
        self._held_permits: dict[str, _PermitRecord] = {}
        self._last_frame_at: dict[str, float] = {}
        self._wake = anyio.Event()
        self._local_brokers: dict[str, Broker | NaiveBroker] = {}
        self._leaving: set[str] = set()
        self._live_names: list[str] = []
        self._live_names_at = float("-inf")
        self._broker_names: dict[str, str] = {}
        self._balances: dict[str, BorrowedBalance] = {}
        self._fallback_buckets: dict[str, TokenBucket] = {}
        self._pending_loans: dict[str, collections.deque[_PendingLoan]] = {}

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a permit."""
        return len(self._pending)

    @property
    def held(self) -> int:
        """Number of permits held."""
        return len(self._held_permits)

    def choose_cell(
        self,
        group: Pool | Service,
        organisation: str,
        prefixes: tuple,
        allowed: Callable[[Server], bool] = lambda server: True,
    ) -> Cell:
        """Returns the cell to use: the less busy of two candidates.

        The load compared is the number of permit requests pending at this
        instance. Both candidates depend only on the prompt's first block (or
        the organisation), so that requests with a common prefix use the same
        cells whichever instance they arrive at.

        Args:
            group: The pool or service.
            organisation: Name of the organisation.
            prefixes: Hashes of the prompt's leading blocks.
            allowed: Returns whether a server may get the request.
        """
        directory = self._directory()
        cells = {cell.name: cell for cell in directory.cells_of(group)}
        usable = [
            name
            for name, cell in cells.items()
            if any(allowed(server) for server in cell.servers)
        ]
        key = str(prefixes[0]) if prefixes else organisation
        candidates = rendezvous.rank(key, usable or cells)[:2]
        pending_counts = {
            name: sum(
                item.request.cell == name for item in self._pending.values()
            )
            for name in candidates
        }
        return cells[min(candidates, key=lambda name: pending_counts[name])]

    def pool_of(self, model: str) -> Pool:
        """Returns the pool that serves a model by the manifest in force.

        Raises:
            NotFoundError: if there is no such model.
        """
        return self._directory().pool_of(model)

    def service(self, name: str) -> Service:
        """Returns a plain service by the manifest in force.

        Raises:
            NotFoundError: if there is no such service.
        """
        return self._directory().service(name)

    def cells_of(self, group: Pool | Service) -> list[Cell]:
        """Returns the cells of a pool or service."""
        return self._directory().cells_of(group)

    async def acquire(
        self, request: PermitRequest
    ) -> PermitGrant | PermitRefusal:
        """Requests a permit; waits for the grant or the refusal.

        The broker may not have learned yet that a server is leaving, and does
        not learn that one has requested a pause from this instance. A grant for
        such a server is returned, and another one requested. So is a grant by
        a manifest that is not in force here, after a pause.
        """
        started = time.monotonic()
        wait_s, max_wait_s = request.wait_s, request.max_wait_s
        while True:
            closed = self._closed_servers(request.cell)
            servers = self._servers_of(request.cell)
            if closed and servers <= closed | set(request.avoid):
                return PermitRefusal(
                    request.ask_id,
                    REFUSED_NO_SERVER,
                    self._retry_s(servers),
                )
            avoid = sorted(closed | set(request.avoid))
            result = await self._request_permit(
                msgspec.structs.replace(request, avoid=avoid)
            )
            if isinstance(result, PermitRefusal):
                return result
            if result.server not in self._servers_of(request.cell):
                self._counters.incr("permit.unknown_server")
                self.release(_empty_release(request))
                await anyio.sleep(TICK_S)
                waited = time.monotonic() - started
                request = msgspec.structs.replace(
                    request,
                    wait_s=wait_s + waited,
                    max_wait_s=max(0.0, max_wait_s - waited),
                )
                continue
            if result.server not in self._closed_servers(request.cell):
                self._pauses.record_placement(result.server, time.monotonic())
                return result
            self._counters.incr("permit.closed_server")
            self.release(_empty_release(request))

    def server(self, grant: PermitGrant) -> Server:
        """Returns the backend server of a permit just acquired."""
        return self._directory().servers[grant.server]

    def _servers_of(self, cell: str) -> frozenset[str]:
        directory = self._directory()
        held = directory.cells.get(cell) if directory is not None else None
        servers = held.servers if held is not None else ()
        return frozenset(server.name for server in servers)

    def _closed_servers(self, cell: str) -> frozenset[str]:
        """Returns the servers of a cell that get no requests of this instance.

        They are leaving, or have requested a pause.
        """
        now = time.monotonic()
        return frozenset(
            name
            for name in self._servers_of(cell)
            if name in self._leaving or not self._pauses.accepts(name, now)
        )

    def _retry_s(self, servers: frozenset[str]) -> float:
        """Returns the time until one of a cell's servers accepts requests."""
        staying = servers - self._leaving
        pause_s = self._pauses.remaining_s(staying, time.monotonic())
        return max(NO_SERVER_RETRY_S, pause_s) if staying else NO_SERVER_RETRY_S

    async def _request_permit(
        self, request: PermitRequest
    ) -> PermitGrant | PermitRefusal:
        pending = _PendingRequest(request, time.monotonic(), anyio.Event())
        self._pending[request.ask_id] = pending
        self._wake.set()
        try:
            self._ensure_requested(pending, time.monotonic())
            await pending.done.wait()
        except BaseException:
            self._withdraw(pending)
            raise
        return pending.result

    def take_over(self, held: HeldPermit) -> None:
        """Takes over a permit that another instance held for a stream."""
        broker_name = self._broker_of(held.cell)
        self._wake.set()
        self._held_permits[held.ask_id] = _PermitRecord(held, broker_name)
        self._send(broker_name, self._frame(held=[held]))

    def release(self, release: PermitRelease) -> None:
        """Releases a permit."""
        permit = self._held_permits.pop(release.ask_id, None)
        if permit is None:
            return
        now = time.monotonic()
        local = self._local_brokers.get(release.cell)
        if local is not None:
            local.release(release, now)
            self._step_local_broker(release.cell, now)
        if permit.broker_name:
            self._send(permit.broker_name, self._frame(releases=[release]))

    def is_revoked(self, ask_id: str) -> bool:
        """Returns whether a held permit was revoked."""
        permit = self._held_permits.get(ask_id)
        return permit is not None and permit.revoked

    async def take_tokens(
        self, organisation: Organisation, tokens: float
    ) -> TokenLoan | None:
        """Takes tokens from an organisation's rate limit, borrowing if needed.

        Returns:
            None on success, else the loan that was too small.
        """
        if not organisation.tokens_per_s:
            return None
        limit = _limit_of(organisation)
        balance = self._balances.setdefault(
            organisation.name, BorrowedBalance(limit, len(self._live()) or 1)
        )
        tokens = min(tokens, limit.burst)
        if balance.take(tokens):
            return None
        loan = await self._request_loan(
            organisation, balance.tokens_to_borrow(tokens)
        )
        balance.add_loan(loan.tokens)
        return None if balance.take(tokens) else loan

    def settle(
        self, organisation: Organisation, estimated: float, used: float
    ) -> None:
        """Corrects the balance by the difference of estimated and used tokens.

        Args:
            organisation: Organisation whose tokens were taken.
            estimated: Tokens that `take_tokens` was called with.
            used: Tokens of the answer; 0 if the request did not run.
        """
        balance = self._balances.get(organisation.name)
        if balance is not None:
            limit = _limit_of(organisation)
            balance.settle(min(estimated, limit.burst) - used)

    def on_frame(self, peer: str, frame: BrokerFrame) -> None:
        """Handles a frame of a broker."""
        self._last_frame_at[peer] = time.monotonic()
        for message in (
            *frame.grants,
            *frame.refusals,
            *frame.revokes,
            *frame.loans,
        ):
            self._handle(message, peer)

    def on_link_up(self, peer: str) -> None:
        """Reports held permits and pending requests to a connected broker."""
        held = [
            item.held
            for item in self._held_permits.values()
            if item.broker_name == peer
        ]
        asks = [
            self._refreshed_request(item)
            for item in self._pending.values()
            if item.broker_name == peer
        ]
        if held or asks:
            self._send(peer, self._frame(held=held, asks=asks))

    def on_link_down(self, peer: str) -> None:
        """Marks a broker as unreachable."""
        self._last_frame_at[peer] = float("-inf")

    def on_load_report(
        self, server: str, report: LoadReport, now: float
    ) -> None:
        """Passes a load report to the local brokers."""
        for cell, broker in self._local_brokers.items():
            broker.on_load_report(server, report, now)
            self._step_local_broker(cell, now)

    def on_manifest_changed(self) -> None:
        """Applies the cells and limits of a newer manifest."""
        self._balances.clear()
        self._fallback_buckets.clear()
        directory = self._directory()
        for name, broker in self._local_brokers.items():
            broker.update_cell(directory.cells.get(name, Cell(name, (), 1)))

    def locally_granted_cells(self) -> list[str]:
        """Returns the cells that have a local fallback broker."""
        return list(self._local_brokers)

    def set_leaving_servers(self, servers: set[str]) -> None:
        """Sets the backend servers that are leaving, according to gossip."""
        self._leaving = servers
        for broker in self._local_brokers.values():
            broker.set_leaving_servers(servers)

    async def run(self) -> None:
        """Moves permits and requests to new brokers until cancelled."""
        while True:
            if not self._pending and not self._held_permits:
                self._wake = anyio.Event()
                await self._wake.wait()
            await anyio.sleep(TICK_S)
            self._tick(time.monotonic())

    def _tick(self, now: float) -> None:
        # Iterates over a copy: if this instance is the new broker itself, it
        # handles the frame within the call and grants pending requests, which
        # changes the dictionary.
        for permit in list(self._held_permits.values()):
            broker_name = self._broker_of(permit.held.cell)
            if permit.broker_name and broker_name != permit.broker_name:
                # The former broker may become the cell's broker again; a
                # permit left there would occupy its slot for ever.
                gone = _empty_release(permit.held)
                self._send(permit.broker_name, self._frame(releases=[gone]))
                permit.broker_name = broker_name
                self._send(broker_name, self._frame(held=[permit.held]))
        for pending in list(self._pending.values()):
            self._ensure_requested(pending, now)
        for cell in list(self._local_brokers):
            self._step_local_broker(cell, now)

    def _ensure_requested(self, pending: _PendingRequest, now: float) -> None:
        if self._coordination != COORDINATION_BROKER:
            self._enqueue_locally(pending, now)
            return
        broker_name = self._broker_of(pending.request.cell)
        if broker_name != pending.broker_name:
            former = pending.broker_name
            pending.broker_name = broker_name
            pending.requested_at = now
            self._send(
                broker_name,
                self._frame(asks=[self._refreshed_request(pending)]),
            )
            if former:
                gone = _empty_release(pending.request)
                self._send(former, self._frame(releases=[gone]))
            return
        last_activity = max(
            self._last_frame_at.get(broker_name, 0.0), pending.requested_at
        )
        link_down = self._last_frame_at.get(broker_name) == float("-inf")
        if link_down or now - last_activity > self._timeout_s:
            self._enqueue_locally(pending, now)

    def _broker_of(self, cell: str) -> str:
        """Returns the instance that hosts a cell's broker, or "" in naive mode.

        Cached until the set of live instances changes: hashing all instances
        for each permit at each tick would take a fifth of a core at 400
        instances.
        """
        if self._coordination != COORDINATION_BROKER:
            return ""
        now = time.monotonic()
        if now - self._live_names_at >= TICK_S:
            self._live_names_at = now
            names = [member.instance for member in self._live()]
            if names != self._live_names:
                self._live_names = names
                self._broker_names.clear()
        if cell not in self._broker_names:
            broker_name = rendezvous.owner(cell, self._live_names)
            self._broker_names[cell] = broker_name or self._own.instance
        return self._broker_names[cell]

    def _enqueue_locally(self, pending: _PendingRequest, now: float) -> None:
        if pending.local:
            return
        pending.local = True
        self._counters.incr("permit.local_asks")
        name = pending.request.cell
        broker = self._local_brokers.get(name)
        if broker is None:
            cells = self._directory().cells
            broker = self._new_local_broker(
                cells.get(name, Cell(name, (), 1)), now
            )
            broker.set_leaving_servers(self._leaving)
            self._local_brokers[name] = broker
        broker.enqueue(
            queued_request(pending.request, self._own.instance, now), now
        )
        self._step_local_broker(name, now)

    def _new_local_broker(self, cell: Cell, now: float) -> Broker | NaiveBroker:
        if self._coordination == COORDINATION_NAIVE:
            return NaiveBroker(cell)
        broker = Broker(cell, share=1 / max(1, len(self._live())))
        for item in self._held_permits.values():
            if item.held.cell == cell.name:
                broker.hold(item.held, self._own.instance, now)
        return broker

    def _step_local_broker(self, cell: str, now: float) -> None:
        try:
            decisions = self._local_brokers[cell].step(now)
        except InvariantError as exc:
            self._invariants.report(exc)
            return
        for decision in decisions:
            self._handle(decision.message, "")

    @singledispatchmethod
    def _handle(self, message, peer: str) -> None:
        raise TypeError(f"unexpected message {message!r} from {peer}")

    @_handle.register
    def _handle_grant(self, message: PermitGrant, peer: str) -> None:
        pending = self._pending.pop(message.ask_id, None)
        if pending is None:
            self._release_late_grant(message, peer)
            return
        held = HeldPermit(
            message.ask_id,
            pending.request.cell,
            message.server,
            pending.request.rank,
            pending.request.preemptible,
        )
        self._held_permits[message.ask_id] = _PermitRecord(
            held, pending.broker_name
        )
        if peer:
            self._withdraw_locally(pending)
        elif pending.broker_name:
            # Reports the locally granted permit to the unresponsive broker,
            # which counts it once it responds again.
            self._send(pending.broker_name, self._frame(held=[held]))
        self._counters.incr("permit.granted" if peer else "permit.local")
        self._finish(pending, message)

    @_handle.register
    def _handle_refusal(self, message: PermitRefusal, peer: str) -> None:
        pending = self._pending.get(message.ask_id)
        if pending is None:
            return
        if message.reason == REFUSED_UNKNOWN_CELL and self._manifest_has_cell(
            pending.request
        ):
            # The broker's manifest is older than this instance's; the next
            # tick requests the permit again.
            pending.broker_name = ""
            return
        del self._pending[message.ask_id]
        if peer:
            self._withdraw_locally(pending)
        elif pending.broker_name:
            gone = _empty_release(pending.request)
            self._send(pending.broker_name, self._frame(releases=[gone]))
        self._counters.incr(f"permit.refused_{message.reason}")
        self._finish(pending, message)

    @_handle.register
    def _handle_revoke(self, message: PermitRevocation, peer: str) -> None:
        # A broker that was frozen revokes permits that have moved from it.
        permit = self._held_permits.get(message.ask_id)
        if permit is not None and peer in ("", permit.broker_name):
            permit.revoked = True

    @_handle.register
    def _handle_loan(self, message: TokenLoan, peer: str) -> None:
        del peer
        waiting = self._pending_loans.get(message.organisation)
        if waiting:
            # Each loan is for one request, or its tokens would count twice.
            pending = waiting.popleft()
            pending.loan = message
            pending.done.set()

    def _manifest_has_cell(self, request: PermitRequest) -> bool:
        directory = self._directory()
        return directory is not None and request.cell in directory.cells

    def _release_late_grant(self, grant: PermitGrant, peer: str) -> None:
        """Releases a grant whose request is no longer pending.

        A broker that was frozen grants from its old queue when it resumes.
        The request has been granted elsewhere or has ended by then, and the
        slot would stay occupied.
        """
        permit = self._held_permits.get(grant.ask_id)
        if permit is not None and permit.held.server == grant.server:
            return
        self._counters.incr("permit.late_grants")
        if peer:
            gone = PermitRelease(grant.ask_id, grant.cell, 0.0, False, 0.0)
            self._send(peer, self._frame(releases=[gone]))

    def _finish(
        self, pending: _PendingRequest, result: PermitGrant | PermitRefusal
    ) -> None:
        pending.result = result
        pending.done.set()

    def _withdraw(self, pending: _PendingRequest) -> None:
        self._pending.pop(pending.request.ask_id, None)
        gone = _empty_release(pending.request)
        if pending.result is not None:
            # Granted and cancelled at the same moment: release the slot.
            self.release(gone)
            return
        self._withdraw_locally(pending)
        if pending.broker_name:
            self._send(pending.broker_name, self._frame(releases=[gone]))

    def _withdraw_locally(self, pending: _PendingRequest) -> None:
        local = self._local_brokers.get(pending.request.cell)
        if local is not None and pending.local:
            local.release(_empty_release(pending.request), time.monotonic())

    def _refreshed_request(self, pending: _PendingRequest) -> PermitRequest:
        waited = time.monotonic() - pending.started
        return msgspec.structs.replace(
            pending.request,
            wait_s=pending.request.wait_s + waited,
            max_wait_s=max(0.0, pending.request.max_wait_s - waited),
        )

    async def _request_loan(
        self, organisation: Organisation, wanted: float
    ) -> TokenLoan:
        names = [member.instance for member in self._live()]
        coordinator = rendezvous.owner(organisation.name, names)
        pending = _PendingLoan(anyio.Event())
        waiting = self._pending_loans.setdefault(
            organisation.name, collections.deque()
        )
        waiting.append(pending)
        borrow = BorrowRequest(organisation.name, wanted)
        self._send(
            coordinator or self._own.instance, self._frame(borrows=[borrow])
        )
        try:
            with anyio.move_on_after(self._timeout_s):
                await pending.done.wait()
        finally:
            if pending.loan is None:
                waiting.remove(pending)
        if pending.loan is not None:
            return pending.loan
        # The limit's coordinator is unresponsive: lend from this instance's
        # share of the limit, so that all instances together stay within it.
        self._counters.incr("limit.home_silent")
        now = time.monotonic()
        share = self._fallback_buckets.get(organisation.name)
        if share is None:
            rate = organisation.tokens_per_s / max(1, len(names))
            share = TokenBucket(Limit(rate, rate), now)
            self._fallback_buckets[organisation.name] = share
        lent = share.lend(wanted, now)
        return TokenLoan(organisation.name, lent, share.retry_s(wanted))

    def _frame(self, *, asks=(), held=(), releases=(), borrows=()):
        return InstanceFrame(
            self._own.instance,
            self._own.incarnation,
            list(asks),
            list(held),
            list(releases),
            list(borrows),
        )


def _limit_of(organisation: Organisation) -> Limit:
    return Limit.of(organisation.tokens_per_s, organisation.burst_tokens)


def _empty_release(request: PermitRequest | HeldPermit) -> PermitRelease:
    return PermitRelease(request.ask_id, request.cell, 0.0, False, 0.0)
