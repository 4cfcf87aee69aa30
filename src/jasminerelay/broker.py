"""Grants permits for one cell: picks the next request and its backend server.

All state is soft. When the broker of a cell changes, the instances report the
permits that they hold to the new broker and request the missing ones again.
While two brokers are active for the same cell, they may briefly grant more
permits than it has slots; no guarantee to a caller depends on a permit.
"""

import collections
import dataclasses
import math

from jasminerelay import serverselection
from jasminerelay.errors import InvariantError
from jasminerelay.fairqueue import QueuedRequest, Tier
from jasminerelay.manifest import Cell
from jasminerelay.prefix import PrefixIndex
from jasminerelay.schema.messages import (
    HeldPermit,
    LoadReport,
    PermitGrant,
    PermitRefusal,
    PermitRelease,
    PermitRevocation,
)
from jasminerelay.stragglers import Stragglers

REFUSED_FULL = "full"
REFUSED_LATE = "late"
REFUSED_NO_SERVER = "no_server"
REFUSED_UNKNOWN_CELL = "unknown_cell"
"""The broker's current manifest does not contain the cell, or not yet."""

MIN_RETRY_S = 0.1
MAX_RETRY_S = 60.0
INITIAL_SERVICE_S = 1.0
SERVICE_SMOOTHING = 0.05
REPORT_LAG_S = 1.5
"""Age from which a permit is expected to appear in its server's load report.

Load reports lag, so requests granted more recently are counted from their
permits alone.
"""


@dataclasses.dataclass(frozen=True)
class Permit:
    """A permit granted and not yet released.

    Attributes:
        ask_id: ID of the permit request.
        entry: Instance that holds it.
        server: Backend server to which the request may be sent.
        rank: Rank of the request.
        organisation: Organisation that sent the request; empty if the permit
            was reported by its holder.
        weight: Fair-share weight of the organisation.
        work: Estimated tokens charged to the organisation at the grant.
        preemptible: Whether the permit may be revoked for a higher rank.
        granted_at: Monotonic time of the grant in seconds.
    """

    ask_id: str
    entry: str
    server: str
    rank: int
    organisation: str
    weight: float
    work: float
    preemptible: bool
    granted_at: float


@dataclasses.dataclass(frozen=True)
class Decision:
    """A message from the broker to an instance.

    Attributes:
        entry: Instance that receives the message.
        message: Grant, refusal or revocation.
    """

    entry: str
    message: PermitGrant | PermitRefusal | PermitRevocation


class Broker:
    """Queue and permits of one cell.

    Does no I/O and reads no clock: callers pass the time in, and `step`
    returns the decisions to send.

    Example:
        >>> broker = Broker(cell)                      # doctest: +SKIP
        >>> broker.enqueue(waiting, now=0.0)           # doctest: +SKIP
        >>> broker.step(now=0.0)                       # doctest: +SKIP
        [Decision(entry='a', message=PermitGrant(ask_id='1', ...))]
    """

    def __init__(self, cell: Cell, share: float = 1.0):
        """Initialises the broker.

        Args:
            cell: Cell whose permits it grants.
            share: Fraction of each server's slots that it may grant; below 1
                for the local fallback of an instance that cannot reach the
                cell's broker.
        """
        self._slot_share = share
        self._tiers: dict[int, Tier] = collections.defaultdict(Tier)
        self._waiting: dict[str, QueuedRequest] = {}
        self._permits: dict[str, Permit] = {}
        self._granted: collections.Counter[str] = collections.Counter()
        self._credit: dict[int, float] = {}
        self._last_grant_was_floor = False
        self._unattributed: dict[str, int] = {}
        self._leaving: set[str] = set()
        self._mean_service_s = INITIAL_SERVICE_S
        self._pending_decisions: list[Decision] = []
        self._revoked: set[str] = set()
        self.prefixes = PrefixIndex()
        self.stragglers = Stragglers()
        self.update_cell(cell)

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._waiting)

    @property
    def held(self) -> int:
        """Number of permits granted and not yet released."""
        return len(self._permits)

    def waiting_instances(self) -> set[str]:
        """Returns the instances that have queued requests."""
        return {waiting.entry for waiting in self._waiting.values()}

    def update_cell(self, cell: Cell) -> None:
        """Replaces the cell's definition with that of a newer manifest."""
        self._cell = cell
        self._servers = {
            server.name: dataclasses.replace(
                server,
                slots=max(1, math.floor(server.slots * self._slot_share)),
            )
            for server in cell.servers
        }

    def enqueue(self, waiting: QueuedRequest, now: float) -> None:
        """Queues a request, or schedules its refusal for the next `step`.

        Idempotent: if the request already has a permit, the grant is sent
        again.
        """
        if waiting.ask_id in self._waiting:
            return
        permit = self._permits.get(waiting.ask_id)
        if permit is not None:
            grant = PermitGrant(permit.ask_id, self._cell.name, permit.server)
            self._pending_decisions.append(Decision(permit.entry, grant))
            return
        full = len(self._waiting) >= self._cell.max_waiting
        if full and not self._admit(waiting):
            self._refuse(waiting, REFUSED_FULL)
            return
        self._tiers[waiting.rank].add(waiting)
        self._waiting[waiting.ask_id] = waiting

    def hold(self, held: HeldPermit, entry: str, now: float) -> None:
        """Records a permit that an instance reports as held."""
        if held.ask_id in self._permits:
            return
        queued = self._waiting.get(held.ask_id)
        if queued is not None:
            self._dequeue(queued)
        self._add_permit(
            Permit(
                held.ask_id,
                entry,
                held.server,
                held.rank,
                "",
                1.0,
                0.0,
                held.preemptible,
                now,
            )
        )

    def release(self, release: PermitRelease, now: float) -> None:
        """Releases a permit, or withdraws a queued request."""
        queued = self._waiting.get(release.ask_id)
        if queued is not None:
            self._dequeue(queued)
        permit = self._permits.pop(release.ask_id, None)
        if permit is None:
            return
        self._granted[permit.server] -= 1
        self._revoked.discard(permit.ask_id)
        if permit.organisation:
            self._tiers[permit.rank].charge(
                permit.organisation,
                release.tokens - permit.work,
                permit.weight,
            )
        self.stragglers.observe(permit.server, release.step_s)
        if release.failed:
            self.stragglers.failed(permit.server, now)
            return
        self.stragglers.succeeded(permit.server)
        service_s = now - permit.granted_at
        self._mean_service_s += SERVICE_SMOOTHING * (
            service_s - self._mean_service_s
        )

    def remove_instance(self, entry: str, *, permits: bool) -> None:
        """Removes an instance's queued requests and optionally its permits.

        Args:
            entry: The instance.
            permits: Whether to drop its permits too, as for an instance that
                has failed.
        """
        gone = [item for item in self._waiting.values() if item.entry == entry]
        for item in gone:
            self._dequeue(item)
        if not permits:
            return
        for permit in [p for p in self._permits.values() if p.entry == entry]:
            del self._permits[permit.ask_id]
            self._revoked.discard(permit.ask_id)
            self._granted[permit.server] -= 1

    def on_load_report(
        self, server: str, report: LoadReport, now: float
    ) -> None:
        """Records a load report of a backend server.

        Requests in the report that no permit accounts for were granted by
        another broker, or the instance that held their permits has failed.
        They occupy slots all the same.
        """
        measured_at = now - report.age_s
        settled = sum(
            1
            for permit in self._permits.values()
            if permit.server == server
            and permit.granted_at <= measured_at - REPORT_LAG_S
        )
        recent = self._granted[server] - settled
        reported = report.running + report.waiting
        # A local fallback grants only this instance's share of the slots.
        # Counting other instances' requests against that share could leave
        # it without any slot.
        if self._slot_share == 1.0:
            self._unattributed[server] = max(0, reported - settled - recent)
        self.stragglers.observe(server, report.step_s)

    def set_leaving_servers(self, servers: set[str]) -> None:
        """Sets the leaving backend servers, which get no new requests."""
        self._leaving = servers

    def step(self, now: float) -> list[Decision]:
        """Returns all decisions due now: refusals, grants and revocations."""
        for waiting in [
            w for w in self._waiting.values() if w.expires_at <= now
        ]:
            self._dequeue(waiting)
            self._refuse(waiting, REFUSED_LATE)
        decisions, self._pending_decisions = self._pending_decisions, []
        while True:
            decision = self._grant_next(now)
            if decision is None:
                break
            decisions.append(decision)
        if not self._usable():
            decisions += self._refuse_all()
        return decisions + self._preempt()

    def next_expiry(self) -> float:
        """Returns the earliest expiry among queued requests, or infinity."""
        return min(
            (waiting.expires_at for waiting in self._waiting.values()),
            default=math.inf,
        )

    def retry_s(self, rank: int) -> float:
        """Returns the retry delay in seconds, estimated from the queue."""
        ahead = sum(
            len(tier) for other, tier in self._tiers.items() if other <= rank
        )
        slots = sum(server.slots for server in self._servers.values()) or 1
        drain_s = (ahead + 1) * self._mean_service_s / slots
        return min(MAX_RETRY_S, max(MIN_RETRY_S, drain_s))

    def _grant_next(self, now: float) -> Decision | None:
        ranks = sorted(rank for rank, tier in self._tiers.items() if tier)
        if not ranks:
            return None
        floor = self._floor_rank(ranks)
        order = ranks if floor is None else [floor, *ranks]
        unplaced: set[int] = set()
        for rank in order:
            waiting = self._tiers[rank].peek()
            if waiting is None:
                continue
            if rank != floor and not self._keeps_slots_free(waiting):
                continue
            chosen = serverselection.select_server(
                waiting, self._candidates(waiting, now)
            )
            if chosen is None:
                unplaced.add(rank)
                continue
            self._update_floor_credit(rank, ranks, unplaced, used=rank == floor)
            return self._grant(waiting, chosen.server.name, now)
        return None

    def _grant(
        self, waiting: QueuedRequest, server: str, now: float
    ) -> Decision:
        self._dequeue(waiting)
        self._tiers[waiting.rank].charge(
            waiting.organisation, waiting.work, waiting.weight
        )
        self.prefixes.add(server, waiting.prefixes)
        self._add_permit(
            Permit(
                waiting.ask_id,
                waiting.entry,
                server,
                waiting.rank,
                waiting.organisation,
                waiting.weight,
                waiting.work,
                waiting.preemptible,
                now,
            )
        )
        grant = PermitGrant(waiting.ask_id, self._cell.name, server)
        return Decision(waiting.entry, grant)

    def _preempt(self) -> list[Decision]:
        """Revokes permits of lower ranks for requests that are still queued.

        Revokes at most one permit per queued request, from the lowest rank
        upward. Within a rank the newest permit goes first, since its request
        has the fewest tokens to prefill again.
        """
        waiting: list[int] = []
        for rank in sorted(self._tiers):
            first = self._tiers[rank].peek()
            if first is not None and self._keeps_slots_free(first):
                waiting += [rank] * len(self._tiers[rank])
        missing = len(waiting) - len(self._revoked)
        if missing <= 0:
            return []
        victims = sorted(
            (
                permit
                for permit in self._permits.values()
                if permit.preemptible and permit.ask_id not in self._revoked
            ),
            key=lambda permit: (-permit.rank, -permit.granted_at),
        )
        decisions = []
        for rank, victim in zip(waiting[:missing], victims, strict=False):
            if victim.rank <= rank:
                break
            self._revoked.add(victim.ask_id)
            decisions.append(
                Decision(victim.entry, PermitRevocation(victim.ask_id))
            )
        return decisions

    def _floor_rank(self, ranks: list[int]) -> int | None:
        """Returns the rank whose guaranteed minimum (floor) grant is due.

        Never returns one twice in a row, so that a request of the highest
        rank is delayed by at most one such grant.
        """
        if self._last_grant_was_floor:
            return None
        due = [rank for rank in ranks if self._credit.get(rank, 0.0) >= 1.0]
        return max(due, default=None)

    def _update_floor_credit(
        self, granted: int, ranks: list[int], unplaced: set[int], *, used: bool
    ) -> None:
        """Adds each waiting tier's floor share to its credit after a grant.

        Raises:
            InvariantError: if a tier waits for more grants than its bound:
                1 / share, plus turns for every other tier.
        """
        self._last_grant_was_floor = used
        for rank in ranks:
            first = self._tiers[rank].peek()
            if first is None or rank in unplaced:
                # No eligible server has a free slot. The scheduling order is
                # not the cause, so the tier earns no credit and does not
                # count as starved.
                continue
            if rank == granted:
                self._credit[rank] = 0.0
                continue
            credit = self._credit.get(rank, 0.0) + first.floor_share
            turns = 2 * len(ranks) + 1
            if credit > 1.0 + first.floor_share * turns:
                raise InvariantError(
                    f"rank {rank} is starved in cell {self._cell.name}:"
                    f" credit {credit:.2f}, floor share {first.floor_share}"
                )
            self._credit[rank] = credit

    def _keeps_slots_free(self, waiting: QueuedRequest) -> bool:
        """Returns whether a grant keeps the required share of slots free.

        When long answers occupy every slot, none becomes free for a while,
        and a request of a higher rank misses its target even though it is
        first in the queue.
        """
        if not waiting.leave_free:
            return True
        servers = self._usable()
        slots = sum(server.slots for server in servers)
        occupied = sum(
            self._granted[server.name] + self._unattributed.get(server.name, 0)
            for server in servers
        )
        left = slots - occupied + self._preemptible_below(waiting.rank)
        return left > math.ceil(waiting.leave_free * slots)

    def _preemptible_below(self, rank: int) -> int:
        """Returns how many permits of lower ranks can be revoked at once.

        Their slots count as free for a higher rank, and do useful work until
        they are revoked.
        """
        return sum(
            permit.preemptible and permit.rank > rank
            for permit in self._permits.values()
        )

    def _candidates(
        self, waiting: QueuedRequest, now: float
    ) -> list[serverselection.Candidate]:
        candidates = []
        for server in self._usable():
            name = server.name
            unattributed = self._unattributed.get(name, 0)
            if server.slots - self._granted[name] - unattributed <= 0:
                continue
            if self._backing_off(name, now):
                continue
            candidates.append(
                serverselection.Candidate(
                    server,
                    self._granted[name],
                    unattributed,
                    self.stragglers.slowness(name),
                    self.prefixes.matched(name, waiting.prefixes),
                )
            )
        return candidates

    def _backing_off(self, server: str, now: float) -> bool:
        if self.stragglers.blocked(server, now):
            return True
        return self.stragglers.probing(server) and self._granted[server] > 0

    def _usable(self) -> list:
        return [
            server
            for server in self._servers.values()
            if server.name not in self._leaving
        ]

    def _guaranteed_queue_length(self, waiting: QueuedRequest) -> int:
        """Returns how many requests of the tier may always be queued.

        Without this minimum, higher tiers that fill the queue would keep the
        lowest tier out of it, and its guaranteed share of grants would have
        no effect.
        """
        if not waiting.floor_share:
            return 0
        return math.ceil(waiting.floor_share * self._cell.max_waiting)

    def _admit(self, incoming: QueuedRequest) -> bool:
        """Returns whether a full queue admits the request, shedding if needed.

        Sheds from the lowest tier that exceeds its guaranteed queue length, and
        within a tier the request with the latest deadline, in most cases the
        newest. A request that was refused before and returns with its age
        therefore replaces a younger one.
        """
        if incoming.started:
            # Refusing it would waste the tokens already delivered. The number
            # of such requests is bounded by the slots.
            return True
        if len(self._tiers[incoming.rank]) < self._guaranteed_queue_length(
            incoming
        ):
            return True
        victim = self._shed_candidate()
        if victim is None or victim.rank < incoming.rank:
            return False
        younger = victim.arrived_at > incoming.arrived_at
        if victim.rank == incoming.rank and not younger:
            return False
        if victim.started or (victim.protected and not incoming.protected):
            return False
        self._dequeue(victim)
        self._refuse(victim, REFUSED_FULL)
        return True

    def _shed_candidate(self) -> QueuedRequest | None:
        for rank in sorted(self._tiers, reverse=True):
            last = self._tiers[rank].shed_candidate()
            if last is None:
                continue
            if len(self._tiers[rank]) > self._guaranteed_queue_length(last):
                return last
        return None

    def _refuse(self, waiting: QueuedRequest, reason: str) -> None:
        refusal = PermitRefusal(
            waiting.ask_id, reason, self.retry_s(waiting.rank)
        )
        self._pending_decisions.append(Decision(waiting.entry, refusal))

    def _refuse_all(self) -> list[Decision]:
        for waiting in list(self._waiting.values()):
            self._dequeue(waiting)
            self._refuse(waiting, REFUSED_NO_SERVER)
        refused, self._pending_decisions = self._pending_decisions, []
        return refused

    def _dequeue(self, waiting: QueuedRequest) -> None:
        del self._waiting[waiting.ask_id]
        self._tiers[waiting.rank].remove(waiting)

    def _add_permit(self, permit: Permit) -> None:
        self._permits[permit.ask_id] = permit
        self._granted[permit.server] += 1
