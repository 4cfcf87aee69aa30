"""Simulates instances, one of which performs the duties, without sockets."""

import collections
import dataclasses
import types
from typing import Any

import anyio

from jasminerelay.duties import Duties
from jasminerelay.dutycalls import CallResult
from jasminerelay.errors import StoreError
from jasminerelay.fencedcalls import FencedCaller
from jasminerelay.fencing import Lease, LeaseRow
from jasminerelay.leasing import LeaseManager
from jasminerelay.registry import StoreStatus
from jasminerelay.scaling import ServerOrder
from jasminerelay.schema.messages import Member
from jasminerelay.trueclock import TrueClock
from jasminerelay.usage import LocalUsage, UsageLedger, UsageReport
from jasminerelay.usagereports import UsageReporter
from standins.platformduties import CONFLICT, DutyCallChecker
from tests.instanceworld import InstanceWorld, Node, Quiet

LEASE_S = 3.0
WINDOW_S = 5.0
LATE_S = 10.0
CALL_S = 0.5
DURATION_S = 60.0
FAULTS_DURATION_S = 40.0
ORGANISATIONS = ("elm", "oak", "ash")
STORE_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True)
class _VersionedLease:
    version: int
    row: LeaseRow | None
    age_s: float


class SimulatedStore:
    """The table of the duties, shared by all instances.

    Attributes:
        down: Whether it answers no one.
        lost: Fraction of the writes that are executed without a response.
        late: Fraction of the writes that are executed later, without a
            response.
    """

    def __init__(self, simulation: "DutySimulation"):
        self._simulation = simulation
        self._version = 0
        self._lease: tuple[int, LeaseRow, float] | None = None
        self.reports: dict[int, dict[str, int]] = {}
        self.down = False
        self.lost = 0.0
        self.late = 0.0

    def held(self) -> _VersionedLease:
        """Returns the current row of the lease."""
        if self._lease is None:
            return _VersionedLease(0, None, float("inf"))
        version, row, at = self._lease
        age_s = float("inf") if row.given_up else anyio.current_time() - at
        return _VersionedLease(version, row, age_s)

    def commit(
        self,
        expect: int,
        row: LeaseRow,
        report: UsageReport | None,
        sent_at: float,
    ) -> bool:
        """Writes the lease and a report if the conditions hold."""
        if self.held().version != expect:
            return False
        if report is not None and report.window in self.reports:
            return False
        self._version += 1
        self._lease = (self._version, row, sent_at)
        if report is not None:
            self.reports[report.window] = report.counts
        return True


class StoreAccess:
    """One instance's access to the store.

    Attributes:
        reports: Decided reports that the instance has read or written.
        cut: Whether the store is unreachable from this instance.
        frozen_s: How long the instance freezes before it gets the next
            response.
    """

    def __init__(self, simulation: "DutySimulation"):
        self._simulation = simulation
        self.reports: dict[int, dict[str, int]] = {}
        self.cut = False
        self.frozen_s = 0.0

    async def read(self) -> _VersionedLease:
        """Returns the lease, and updates the reports."""
        await self._send()
        store = self._simulation.store
        self.reports.update(store.reports)
        held = store.held()
        await self._receive()
        return held

    async def write(
        self, expect: int, row: LeaseRow, extra: UsageReport | None = None
    ) -> tuple[bool, _VersionedLease]:
        """Writes the lease, and a report with it if there is one."""
        sent_at = anyio.current_time()
        await self._send()
        store = self._simulation.store
        rng = self._simulation.rng
        if rng.random() < store.late:
            self._simulation.group.start_soon(
                self._execute_later, expect, row, extra, sent_at
            )
            await self._time_out()
        done = store.commit(expect, row, extra, sent_at)
        if rng.random() < store.lost:
            await self._time_out()
        held = store.held()
        if extra is not None and extra.window in store.reports:
            self.reports[extra.window] = store.reports[extra.window]
        await self._receive()
        return done, held

    async def _execute_later(self, *commit: Any) -> None:
        await anyio.sleep(self._simulation.rng.uniform(1.0, 6.0))
        self._simulation.store.commit(*commit)

    async def _send(self) -> None:
        await anyio.sleep(self._simulation.rng.uniform(0.002, 0.02))
        if self.cut or self._simulation.store.down:
            await self._time_out()

    async def _receive(self) -> None:
        await anyio.sleep(self._simulation.rng.uniform(0.002, 0.02))
        frozen_s, self.frozen_s = self.frozen_s, 0.0
        await anyio.sleep(frozen_s)

    async def _time_out(self) -> None:
        await anyio.sleep(STORE_TIMEOUT_S)
        raise StoreError("silent", retry_s=0.5)


class PlatformAccess:
    """One instance's access to the platform.

    Attributes:
        frozen_s: How long the instance freezes before it sends the next call.
    """

    def __init__(self, simulation: "DutySimulation", machine: str):
        self._simulation = simulation
        self._machine = machine
        self.frozen_s = 0.0

    async def report(self, report: UsageReport, fence: int) -> CallResult:
        """Reports the usage of a window."""
        checker = self._simulation.checker
        return await self._call(
            lambda now, excused: checker.usage(
                self._machine,
                fence,
                report.window,
                report.counts,
                now,
                excused=excused,
            )
        )

    async def order(self, order: ServerOrder, fence: int) -> CallResult:
        """Orders a number of servers."""
        checker = self._simulation.checker
        place = (order.service, order.zone, order.preemptible)
        return await self._call(
            lambda now, excused: checker.scale(
                self._machine, fence, place, order.count, now, excused=excused
            )
        )

    async def _call(self, execute) -> CallResult:
        rng = self._simulation.rng
        was_frozen = self.frozen_s > 0
        frozen_s, self.frozen_s = self.frozen_s, 0.0
        await anyio.sleep(frozen_s + rng.uniform(0.002, 0.05))
        if rng.random() < self._simulation.calls_late:
            self._simulation.group.start_soon(self._execute_later, execute)
            await anyio.sleep(CALL_S)
            return CallResult.NO_ANSWER
        status = execute(anyio.current_time(), was_frozen)
        if rng.random() < self._simulation.calls_lost:
            await anyio.sleep(CALL_S)
            return CallResult.NO_ANSWER
        return CallResult.CONFLICT if status == CONFLICT else CallResult.DONE

    async def _execute_later(self, execute) -> None:
        await anyio.sleep(self._simulation.rng.uniform(2.0, 12.0))
        execute(anyio.current_time(), True)


class RepeatedOrders:
    """Gives an order in each round, so that alternating holders show."""

    def __init__(self, caller: FencedCaller):
        self._caller = caller
        self._count = 0

    def on_lease_taken(self) -> None:
        """Does nothing."""

    async def serve(self) -> None:
        """Orders one server more than before."""
        self._count += 1
        await self._caller.order(
            ServerOrder("engines", "a", False, self._count)
        )


class DutySimulation(InstanceWorld):
    """Simulates one seed.

    Attributes:
        checker: Checks what the platform has received.
        truth: Requests that servers started, by window and organisation.
        calls_lost: Fraction of the calls that are executed without a response.
        calls_late: Fraction of the calls that are executed later, without a
            response.
        taken: Times at which an instance took the lease.
    """

    def __init__(
        self,
        seed: int,
        count: int,
        *,
        faults: bool = True,
        checks_fences: bool = True,
    ):
        super().__init__(seed, count, faults=faults)
        self.checker = DutyCallChecker(
            checks_fences=checks_fences, lease_s=LEASE_S
        )
        self.store = SimulatedStore(self)
        self.truth: dict[int, collections.Counter[str]] = {}
        self.calls_lost = 0.0
        self.calls_late = 0.0
        self.taken: list[float] = []
        self._machines: dict[str, str] = {}
        self._first_start = True

    def make(self, name: str) -> Duties:
        """Returns the duties of a new instance."""
        now = anyio.current_time()
        machine = self._unused_machine()
        self._machines[name] = machine
        lease = Lease(
            LEASE_S * 2 / 3,
            CALL_S,
            renew_s=LEASE_S / 3,
            turn_s=LEASE_S + CALL_S,
            started=now,
        )
        rows = StoreAccess(self)
        lease_manager = LeaseManager(
            rows, lease, machine, name, anyio.current_time
        )
        calls = PlatformAccess(self, machine)
        caller = FencedCaller(
            lease_manager, calls, 50.0, anyio.current_time, Quiet(), Quiet()
        )
        ledger = UsageLedger()
        registry = types.SimpleNamespace(
            catalog=None,
            standing=types.SimpleNamespace(touch=StoreStatus.REACHABLE),
        )
        watch = Duties(
            Member(name, "", "", "", "", name, "alive", 0),
            lease_manager,
            caller,
            LocalUsage(WINDOW_S),
            ledger,
            TrueClock(now, now),
            types.SimpleNamespace(own_demand=list),
            registry,
            Quiet(),
            Quiet(),
        )
        watch.reports = UsageReporter(
            caller,
            rows,
            ledger,
            WINDOW_S,
            LATE_S,
            watch.true_s,
            Quiet(),
            Quiet(),
        )
        watch.reports.missing = watch.missing_reports
        watch.orders = RepeatedOrders(caller)
        watch.first_start = self._first_start
        watch.rows = rows
        watch.calls = calls
        return watch

    async def live(self, node: Node) -> None:
        """Runs an instance until it is cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(node.watch.run)
            group.start_soon(self._start_requests, node)
            while True:
                node.watch.update_instances(self.members(node))
                await anyio.sleep(0.1)

    def holders(self) -> list[Node]:
        """Returns the instances that hold the lease."""
        return [node for node in self.alive if node.watch.holds]

    def victims(self) -> list[Node]:
        """Returns the holder in most cases, or else all instances."""
        holders = self.holders()
        return holders if holders and self.rng.random() < 0.7 else self.alive

    async def run(self) -> None:
        """Runs the simulation."""
        async with anyio.create_task_group() as group:
            self.group = group
            for _ in range(self.count):
                self.start_node()
            self._first_start = False
            if self.faults:
                group.start_soon(self.disturb, FAULTS_DURATION_S)
                group.start_soon(self._inject_faults)
            await anyio.sleep(DURATION_S)
            group.cancel_scope.cancel()

    async def run_with_stops(self) -> None:
        """Stops each holder in turn; its machine starts a new instance."""
        async with anyio.create_task_group() as group:
            self.group = group
            for _ in range(self.count):
                self.start_node()
            self._first_start = False
            while anyio.current_time() < FAULTS_DURATION_S:
                await anyio.sleep(self.rng.uniform(0.3, 1.5))
                for node in self.holders():
                    node.watch.stop()
                    await anyio.sleep(0.5)
                    self.end_node(node)
                    self.start_node()
            group.cancel_scope.cancel()

    async def run_with_power_loss(self) -> None:
        """Kills and restarts all instances halfway."""
        async with anyio.create_task_group() as group:
            self.group = group
            for _ in range(self.count):
                self.start_node()
            self._first_start = False
            await anyio.sleep(DURATION_S / 2)
            self.kill_all()
            await anyio.sleep(DURATION_S / 2)
            group.cancel_scope.cancel()

    def end_node(self, node: Node) -> None:
        """Kills an instance."""
        super().end_node(node)
        self._machines.pop(node.name, None)

    def _unused_machine(self) -> str:
        # A new process runs on the machine of one that has ended.
        used = set(self._machines.values())
        names = (f"m{number}" for number in range(10**6))
        return next(name for name in names if name not in used)

    async def _start_requests(self, node: Node) -> None:
        while True:
            await anyio.sleep(self.rng.uniform(0.1, 0.3))
            organisation = self.rng.choice(ORGANISATIONS)
            window = int(anyio.current_time() // WINDOW_S)
            counts = self.truth.setdefault(window, collections.Counter())
            counts[organisation] += 1
            node.watch.record_start(organisation, 0.0)

    async def _inject_faults(self) -> None:
        while anyio.current_time() < FAULTS_DURATION_S:
            await anyio.sleep(self.rng.uniform(0.5, 3.0))
            fault = self.rng.choice(
                (
                    self._stop_store,
                    self._make_store_lossy,
                    self._cut_from_store,
                    self._freeze_holders,
                    self._make_calls_lossy,
                    self._stop_two,
                )
            )
            await fault()

    async def _stop_store(self) -> None:
        self.store.down = True
        await anyio.sleep(self.rng.uniform(0.5, 5.0))
        self.store.down = False

    async def _make_store_lossy(self) -> None:
        self.store.lost, self.store.late = 0.3, 0.2
        await anyio.sleep(self.rng.uniform(1.0, 5.0))
        self.store.lost = self.store.late = 0.0

    async def _cut_from_store(self) -> None:
        nodes = self.holders() or self.alive
        for node in nodes:
            node.watch.rows.cut = True
        await anyio.sleep(self.rng.uniform(1.0, 7.0))
        for node in nodes:
            node.watch.rows.cut = False

    async def _freeze_holders(self) -> None:
        for node in self.holders():
            target = self.rng.choice((node.watch.rows, node.watch.calls))
            target.frozen_s = self.rng.uniform(0.5, 6.0)

    async def _make_calls_lossy(self) -> None:
        self.calls_lost, self.calls_late = 0.2, 0.3
        await anyio.sleep(self.rng.uniform(1.0, 5.0))
        self.calls_lost = self.calls_late = 0.0

    async def _stop_two(self) -> None:
        nodes = (self.holders() + self.alive)[:2]
        for node in nodes:
            node.watch.stop()
        await anyio.sleep(self.rng.uniform(0.1, 2.0))
        for node in nodes:
            if node.alive:
                self.end_node(node)
                self.start_node()
