"""Gets permits for the requests that arrive at this instance."""

import dataclasses
import time
from collections.abc import Callable
from functools import singledispatchmethod

import anyio

from jasminerelay import rendezvous
from jasminerelay.broker import REFUSED_UNKNOWN_CELL, Broker
from jasminerelay.errors import InvariantError
from jasminerelay.limits import Borrower, Bucket, Limit
from jasminerelay.manifest import Cell, Directory
from jasminerelay.metrics import Counters, Invariants
from jasminerelay.naive import NaiveBroker
from jasminerelay.ordering import queued_request
from jasminerelay.schema.manifest import Organisation, Pool, Service
from jasminerelay.schema.messages import (
    Ask,
    Borrow,
    BrokerFrame,
    EntryFrame,
    Grant,
    Held,
    LoadReport,
    Loan,
    Member,
    Refusal,
    Release,
    Revoke,
)

TICK_S = 0.1
COORDINATION_BROKER = "broker"
COORDINATION_NAIVE = "naive"

SendTo = Callable[[str, EntryFrame], None]


@dataclasses.dataclass
class _Pending:
    ask: Ask
    started: float
    done: anyio.Event
    owner: str = ""
    sent_at: float = 0.0
    local: bool = False
    result: Grant | Refusal | None = None


@dataclasses.dataclass
class _Holding:
    held: Held
    owner: str
    revoked: bool = False


class PermitDesk:
    """Owns the asks and permits of one instance.

    Asks the broker of each cell; if it stays silent, grants from this
    instance's share of the slots, so that work keeps flowing.
    """

    def __init__(
        self,
        own: Member,
        live: Callable[[], list[Member]],
        directory: Callable[[], Directory | None],
        send: SendTo,
        counters: Counters,
        invariants: Invariants,
        timeout_s: float,
        coordination: str = COORDINATION_BROKER,
    ):
        """Makes a desk.

        Args:
            own: This instance.
            live: Returns the instances that may be brokers.
            directory: Returns the manifest in force.
            send: Sends a frame to an instance.
            counters: Counts grants by source.
            invariants: Takes violations of the local brokers.
            timeout_s: Silence of a broker that makes it unreachable.
            coordination: One of the values of the setting.
        """
        self._own = own
        self._live = live
        self._directory = directory
        self._send = send
        self._counters = counters
        self._invariants = invariants
        self._timeout_s = timeout_s
        self._coordination = coordination
        self._pending: dict[str, _Pending] = {}
        self._holding: dict[str, _Holding] = {}
        self._heard: dict[str, float] = {}
        self._wake = anyio.Event()
        self._local: dict[str, Broker | NaiveBroker] = {}
        self._leaving: set[str] = set()
        self._names: list[str] = []
        self._names_at = float("-inf")
        self._owners: dict[str, str] = {}
        self._borrowers: dict[str, Borrower] = {}
        self._shares: dict[str, Bucket] = {}
        self._loans: dict[str, list[anyio.Event]] = {}
        self._last_loan: dict[str, Loan] = {}

    @property
    def waiting(self) -> int:
        """Requests that wait for a permit."""
        return len(self._pending)

    @property
    def held(self) -> int:
        """Permits held."""
        return len(self._holding)

    def cell_for(
        self, group: Pool | Service, organisation: str, prefixes: tuple
    ) -> Cell:
        """Returns the cell to ask: of two candidates the less asked one.

        Both candidates depend only on the prompt's first block (or the
        organisation), so that requests which share a prefix meet in the same
        cells wherever they arrive.
        """
        directory = self._directory()
        cells = {cell.name: cell for cell in directory.cells_of(group)}
        usable = [name for name, cell in cells.items() if cell.servers]
        key = str(prefixes[0]) if prefixes else organisation
        two = rendezvous.rank(key, usable or cells)[:2]
        asked = {
            name: sum(item.ask.cell == name for item in self._pending.values())
            for name in two
        }
        return cells[min(two, key=lambda name: asked[name])]

    def cells_of(self, group: Pool | Service) -> list[Cell]:
        """Returns the cells of a pool or service."""
        return self._directory().cells_of(group)

    async def acquire(self, ask: Ask) -> Grant | Refusal:
        """Waits for a permit or a final refusal."""
        pending = _Pending(ask, time.monotonic(), anyio.Event())
        self._pending[ask.ask_id] = pending
        self._wake.set()
        try:
            self._route(pending, time.monotonic())
            await pending.done.wait()
        except BaseException:
            self._withdraw(pending)
            raise
        return pending.result

    def adopt(self, held: Held) -> None:
        """Takes up a permit that another instance held for a stream."""
        owner = self._owner(held.cell)
        self._wake.set()
        self._holding[held.ask_id] = _Holding(held, owner)
        self._send(owner, self._frame(held=[held]))

    def release(self, release: Release) -> None:
        """Gives a permit back."""
        holding = self._holding.pop(release.ask_id, None)
        if holding is None:
            return
        now = time.monotonic()
        local = self._local.get(release.cell)
        if local is not None:
            local.release(release, now)
            self._step_local(release.cell, now)
        if holding.owner:
            self._send(holding.owner, self._frame(releases=[release]))

    def is_revoked(self, ask_id: str) -> bool:
        """Returns whether a permit was taken back."""
        holding = self._holding.get(ask_id)
        return holding is not None and holding.revoked

    async def borrow(
        self, organisation: Organisation, tokens: float
    ) -> Loan | None:
        """Takes tokens from an organisation's limit.

        Returns:
            None if they were there, else the loan that fell short.
        """
        if not organisation.tokens_per_s:
            return None
        limit = _limit_of(organisation)
        borrower = self._borrowers.setdefault(
            organisation.name, Borrower(limit, len(self._live()) or 1)
        )
        tokens = min(tokens, limit.burst)
        if borrower.take(tokens):
            return None
        loan = await self._ask_loan(organisation, borrower.wanted(tokens))
        borrower.lent(loan.tokens)
        return None if borrower.take(tokens) else loan

    def settle(
        self, organisation: Organisation, estimated: float, used: float
    ) -> None:
        """Gives back what `borrow` took and the answer did not use.

        Args:
            organisation: Who borrowed.
            estimated: Tokens as they were asked of `borrow`.
            used: Tokens that the answer had; 0 if it did not run.
        """
        borrower = self._borrowers.get(organisation.name)
        if borrower is not None:
            limit = _limit_of(organisation)
            borrower.settle(min(estimated, limit.burst) - used)

    def on_frame(self, peer: str, frame: BrokerFrame) -> None:
        """Takes a frame of a broker."""
        self._heard[peer] = time.monotonic()
        for message in (
            *frame.grants,
            *frame.refusals,
            *frame.revokes,
            *frame.loans,
        ):
            self._take(message, peer)

    def on_link_up(self, peer: str) -> None:
        """Tells a broker that is new or back what is held and asked there."""
        held = [
            item.held for item in self._holding.values() if item.owner == peer
        ]
        asks = [
            self._renewed(item)
            for item in self._pending.values()
            if item.owner == peer
        ]
        if held or asks:
            self._send(peer, self._frame(held=held, asks=asks))

    def on_link_down(self, peer: str) -> None:
        """Marks a broker as unreachable."""
        self._heard[peer] = float("-inf")

    def report(self, server: str, report: LoadReport, now: float) -> None:
        """Takes a load report for the local brokers."""
        for cell, broker in self._local.items():
            broker.report(server, report, now)
            self._step_local(cell, now)

    def manifest_changed(self) -> None:
        """Takes over the cells and limits of a newer manifest."""
        self._borrowers.clear()
        self._shares.clear()
        directory = self._directory()
        for name, broker in self._local.items():
            broker.update(directory.cells.get(name, Cell(name, (), 1)))

    def local_cells(self) -> list[str]:
        """Returns the cells that are granted from the local share."""
        return list(self._local)

    def set_leaving(self, servers: set[str]) -> None:
        """Takes the backend servers that notices say are leaving."""
        self._leaving = servers
        for broker in self._local.values():
            broker.set_leaving(servers)

    async def run(self) -> None:
        """Follows changes of brokers until cancelled."""
        while True:
            if not self._pending and not self._holding:
                self._wake = anyio.Event()
                await self._wake.wait()
            await anyio.sleep(TICK_S)
            self._tick(time.monotonic())

    def _tick(self, now: float) -> None:
        # A list of its own: where this instance is the new broker itself, it
        # answers within the call and grants what waits, so the table changes.
        for holding in list(self._holding.values()):
            owner = self._owner(holding.held.cell)
            if holding.owner and owner != holding.owner:
                # The former broker may be the owner again one day; a permit
                # left there would take up its slot for ever.
                gone = _nothing_done(holding.held)
                self._send(holding.owner, self._frame(releases=[gone]))
                holding.owner = owner
                self._send(owner, self._frame(held=[holding.held]))
        for pending in list(self._pending.values()):
            self._route(pending, now)
        for cell in list(self._local):
            self._step_local(cell, now)

    def _route(self, pending: _Pending, now: float) -> None:
        if self._coordination != COORDINATION_BROKER:
            self._ask_local(pending, now)
            return
        owner = self._owner(pending.ask.cell)
        if owner != pending.owner:
            former = pending.owner
            pending.owner = owner
            pending.sent_at = now
            self._send(owner, self._frame(asks=[self._renewed(pending)]))
            if former:
                gone = _nothing_done(pending.ask)
                self._send(former, self._frame(releases=[gone]))
            return
        heard = max(self._heard.get(owner, 0.0), pending.sent_at)
        lost = self._heard.get(owner) == float("-inf")
        if lost or now - heard > self._timeout_s:
            self._ask_local(pending, now)

    def _owner(self, cell: str) -> str:
        """Returns the instance that brokers a cell, or "" without brokers.

        Kept until the live instances change: to hash all of them for each
        permit at each tick would take a fifth of a core at 400 instances.
        """
        if self._coordination != COORDINATION_BROKER:
            return ""
        now = time.monotonic()
        if now - self._names_at >= TICK_S:
            self._names_at = now
            names = [member.instance for member in self._live()]
            if names != self._names:
                self._names = names
                self._owners.clear()
        if cell not in self._owners:
            owner = rendezvous.owner(cell, self._names)
            self._owners[cell] = owner or self._own.instance
        return self._owners[cell]

    def _ask_local(self, pending: _Pending, now: float) -> None:
        if pending.local:
            return
        pending.local = True
        self._counters.incr("permit.local_asks")
        name = pending.ask.cell
        broker = self._local.get(name)
        if broker is None:
            cells = self._directory().cells
            broker = self._new_local(cells.get(name, Cell(name, (), 1)), now)
            broker.set_leaving(self._leaving)
            self._local[name] = broker
        broker.ask(queued_request(pending.ask, self._own.instance, now), now)
        self._step_local(name, now)

    def _new_local(self, cell: Cell, now: float) -> Broker | NaiveBroker:
        if self._coordination == COORDINATION_NAIVE:
            return NaiveBroker(cell)
        broker = Broker(cell, share=1 / max(1, len(self._live())))
        for item in self._holding.values():
            if item.held.cell == cell.name:
                broker.hold(item.held, self._own.instance, now)
        return broker

    def _step_local(self, cell: str, now: float) -> None:
        try:
            decisions = self._local[cell].step(now)
        except InvariantError as exc:
            self._invariants.violated(exc)
            return
        for decision in decisions:
            self._take(decision.message, "")

    @singledispatchmethod
    def _take(self, message, peer: str) -> None:
        raise TypeError(f"no such message: {message!r} of {peer}")

    @_take.register
    def _take_grant(self, message: Grant, peer: str) -> None:
        pending = self._pending.pop(message.ask_id, None)
        if pending is None:
            self._return_late(message, peer)
            return
        held = Held(
            message.ask_id,
            pending.ask.cell,
            message.server,
            pending.ask.rank,
            pending.ask.preemptible,
        )
        self._holding[message.ask_id] = _Holding(held, pending.owner)
        if peer:
            self._drop_local(pending)
        elif pending.owner:
            # The broker that was silent learns what is held once it is back.
            self._send(pending.owner, self._frame(held=[held]))
        self._counters.incr("permit.granted" if peer else "permit.local")
        self._finish(pending, message)

    @_take.register
    def _take_refusal(self, message: Refusal, peer: str) -> None:
        pending = self._pending.get(message.ask_id)
        if pending is None:
            return
        if message.reason == REFUSED_UNKNOWN_CELL and self._has(pending.ask):
            # The broker's manifest is older than ours; ask again.
            pending.owner = ""
            return
        del self._pending[message.ask_id]
        if peer:
            self._drop_local(pending)
        elif pending.owner:
            gone = _nothing_done(pending.ask)
            self._send(pending.owner, self._frame(releases=[gone]))
        self._counters.incr(f"permit.refused_{message.reason}")
        self._finish(pending, message)

    @_take.register
    def _take_revoke(self, message: Revoke, peer: str) -> None:
        del peer
        holding = self._holding.get(message.ask_id)
        if holding is not None:
            holding.revoked = True

    @_take.register
    def _take_loan(self, message: Loan, peer: str) -> None:
        del peer
        self._last_loan[message.organisation] = message
        for event in self._loans.pop(message.organisation, []):
            event.set()

    def _has(self, ask: Ask) -> bool:
        directory = self._directory()
        return directory is not None and ask.cell in directory.cells

    def _return_late(self, grant: Grant, peer: str) -> None:
        """Gives back a grant that nobody waits for any more.

        A broker that was frozen grants from its old queue when it thaws; the
        request has gone elsewhere since, and the slot would stay taken.
        """
        holding = self._holding.get(grant.ask_id)
        if holding is not None and holding.held.server == grant.server:
            return
        self._counters.incr("permit.late_grants")
        if peer:
            gone = Release(grant.ask_id, grant.cell, 0.0, False, 0.0)
            self._send(peer, self._frame(releases=[gone]))

    def _finish(self, pending: _Pending, result: Grant | Refusal) -> None:
        pending.result = result
        pending.done.set()

    def _withdraw(self, pending: _Pending) -> None:
        self._pending.pop(pending.ask.ask_id, None)
        gone = _nothing_done(pending.ask)
        if pending.result is not None:
            # Granted and cancelled at the same moment: the slot goes back.
            self.release(gone)
            return
        self._drop_local(pending)
        if pending.owner:
            self._send(pending.owner, self._frame(releases=[gone]))

    def _drop_local(self, pending: _Pending) -> None:
        local = self._local.get(pending.ask.cell)
        if local is not None and pending.local:
            local.release(_nothing_done(pending.ask), time.monotonic())

    def _renewed(self, pending: _Pending) -> Ask:
        waited = time.monotonic() - pending.started
        return dataclasses.replace(
            pending.ask,
            wait_s=pending.ask.wait_s + waited,
            max_wait_s=max(0.0, pending.ask.max_wait_s - waited),
        )

    async def _ask_loan(
        self, organisation: Organisation, wanted: float
    ) -> Loan:
        names = [member.instance for member in self._live()]
        home = rendezvous.owner(organisation.name, names)
        event = anyio.Event()
        self._loans.setdefault(organisation.name, []).append(event)
        borrow = Borrow(organisation.name, wanted)
        self._send(home or self._own.instance, self._frame(borrows=[borrow]))
        with anyio.move_on_after(self._timeout_s):
            await event.wait()
            return self._last_loan[organisation.name]
        # The home is unreachable: lend from this instance's share of the
        # limit, so that all instances together stay within it.
        self._counters.incr("limit.home_silent")
        now = time.monotonic()
        share = self._shares.get(organisation.name)
        if share is None:
            rate = organisation.tokens_per_s / max(1, len(names))
            share = Bucket(Limit(rate, rate), now)
            self._shares[organisation.name] = share
        lent = share.lend(wanted, now)
        return Loan(organisation.name, lent, share.retry_s(wanted))

    def _frame(self, *, asks=(), held=(), releases=(), borrows=()):
        return EntryFrame(
            self._own.instance,
            self._own.incarnation,
            list(asks),
            list(held),
            list(releases),
            list(borrows),
        )


def _limit_of(organisation: Organisation) -> Limit:
    return Limit.of(organisation.tokens_per_s, organisation.burst_tokens)


def _nothing_done(ask: Ask | Held) -> Release:
    return Release(ask.ask_id, ask.cell, 0.0, False, 0.0)
