"""Several instances, one of which does the duties, without sockets."""

import collections
import dataclasses
import types
from typing import Any

import anyio

from jasminerelay.duties import Duties
from jasminerelay.dutycalls import Said
from jasminerelay.dutydesk import DutyDesk
from jasminerelay.errors import StoreError
from jasminerelay.fencing import Lease, LeaseRow
from jasminerelay.leasing import LeaseKeeper
from jasminerelay.registry import Touch
from jasminerelay.scaling import Order
from jasminerelay.schema.messages import Member
from jasminerelay.trueclock import TrueClock
from jasminerelay.usage import OwnUsage, Report, UsageLedger
from jasminerelay.usagereports import UsageReports
from standins.platformduties import CONFLICT, DutyJudge
from tests.instanceworld import InstanceWorld, Node, Quiet

LEASE_S = 3.0
WINDOW_S = 5.0
LATE_S = 10.0
CALL_S = 0.5
DAY_S = 60.0
FAULTS_S = 40.0
ORGANISATIONS = ("elm", "oak", "ash")
STORE_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True)
class _Held:
    version: int
    row: LeaseRow | None
    age_s: float


class DutyStore:
    """The table of the duties, as all instances see it.

    Attributes:
        down: Whether it answers nobody.
        lost: Part of the writes that are done and not answered.
        late: Part of the writes that are not answered and done later.
    """

    def __init__(self, world: "DutyWorld"):
        self._world = world
        self._version = 0
        self._lease: tuple[int, LeaseRow, float] | None = None
        self.reports: dict[int, dict[str, int]] = {}
        self.down = False
        self.lost = 0.0
        self.late = 0.0

    def held(self) -> _Held:
        """Returns the lease as it is."""
        if self._lease is None:
            return _Held(0, None, float("inf"))
        version, row, at = self._lease
        age_s = float("inf") if row.given_up else anyio.current_time() - at
        return _Held(version, row, age_s)

    def commit(
        self, expect: int, row: LeaseRow, report: Report | None, sent_at: float
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


class NodeRows:
    """One instance's way to the store.

    Attributes:
        reports: What it knows to be decided.
        cut: Whether the store turns this instance away.
        frozen_s: How long it stands still before it gets the next answer.
    """

    def __init__(self, world: "DutyWorld"):
        self._world = world
        self.reports: dict[int, dict[str, int]] = {}
        self.cut = False
        self.frozen_s = 0.0

    async def read(self) -> _Held:
        """Returns the lease, and notes the reports."""
        await self._pass()
        store = self._world.store
        self.reports.update(store.reports)
        held = store.held()
        await self._answered()
        return held

    async def write(
        self, expect: int, row: LeaseRow, extra: Report | None = None
    ) -> tuple[bool, _Held]:
        """Writes the lease, and a report with it if there is one."""
        sent_at = anyio.current_time()
        await self._pass()
        store = self._world.store
        rng = self._world.rng
        if rng.random() < store.late:
            self._world.group.start_soon(
                self._later, expect, row, extra, sent_at
            )
            await self._silence()
        done = store.commit(expect, row, extra, sent_at)
        if rng.random() < store.lost:
            await self._silence()
        held = store.held()
        if extra is not None and extra.window in store.reports:
            self.reports[extra.window] = store.reports[extra.window]
        await self._answered()
        return done, held

    async def _later(self, *commit: Any) -> None:
        await anyio.sleep(self._world.rng.uniform(1.0, 6.0))
        self._world.store.commit(*commit)

    async def _pass(self) -> None:
        await anyio.sleep(self._world.rng.uniform(0.002, 0.02))
        if self.cut or self._world.store.down:
            await self._silence()

    async def _answered(self) -> None:
        await anyio.sleep(self._world.rng.uniform(0.002, 0.02))
        frozen_s, self.frozen_s = self.frozen_s, 0.0
        await anyio.sleep(frozen_s)

    async def _silence(self) -> None:
        await anyio.sleep(STORE_TIMEOUT_S)
        raise StoreError("silent", retry_s=0.5)


class NodeCalls:
    """One instance's way to the platform's calls.

    Attributes:
        frozen_s: How long it stands still before its next call goes out.
    """

    def __init__(self, world: "DutyWorld", machine: str):
        self._world = world
        self._machine = machine
        self.frozen_s = 0.0

    async def report(self, report: Report, fence: int) -> Said:
        """Reports a window's usage."""
        judge = self._world.judge
        return await self._call(
            lambda now, excused: judge.usage(
                self._machine,
                fence,
                report.window,
                report.counts,
                now,
                excused=excused,
            )
        )

    async def order(self, order: Order, fence: int) -> Said:
        """Orders a number of servers."""
        judge = self._world.judge
        place = (order.service, order.zone, order.preemptible)
        return await self._call(
            lambda now, excused: judge.scale(
                self._machine, fence, place, order.count, now, excused=excused
            )
        )

    async def _call(self, take) -> Said:
        rng = self._world.rng
        thawed = self.frozen_s > 0
        frozen_s, self.frozen_s = self.frozen_s, 0.0
        await anyio.sleep(frozen_s + rng.uniform(0.002, 0.05))
        if rng.random() < self._world.calls_late:
            self._world.group.start_soon(self._later, take)
            await anyio.sleep(CALL_S)
            return Said.NOTHING
        status = take(anyio.current_time(), thawed)
        if rng.random() < self._world.calls_lost:
            await anyio.sleep(CALL_S)
            return Said.NOTHING
        return Said.CONFLICT if status == CONFLICT else Said.DONE

    async def _later(self, take) -> None:
        await anyio.sleep(self._world.rng.uniform(2.0, 12.0))
        take(anyio.current_time(), True)


class SteadyOrders:
    """Gives an order at each turn, so that turns of two would show."""

    def __init__(self, desk: DutyDesk):
        self._desk = desk
        self._count = 0

    def taken(self) -> None:
        """Notes that this instance has just taken the duty."""

    async def serve(self) -> None:
        """Orders one server more than last time."""
        self._count += 1
        await self._desk.order(Order("engines", "a", False, self._count))


class DutyWorld(InstanceWorld):
    """Plays one seed of one day.

    Attributes:
        judge: What the platform has seen.
        truth: Requests that servers began, by window and organisation.
        calls_lost: Part of the calls that are done and not answered.
        calls_late: Part of the calls that are not answered and done later.
        taken: Times at which an instance took the duty.
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
        self.judge = DutyJudge(checks_fences=checks_fences, lease_s=LEASE_S)
        self.store = DutyStore(self)
        self.truth: dict[int, collections.Counter[str]] = {}
        self.calls_lost = 0.0
        self.calls_late = 0.0
        self.taken: list[float] = []
        self._machines: dict[str, str] = {}
        self._first = True

    def make(self, name: str) -> Duties:
        """Makes the program's part of a new instance."""
        now = anyio.current_time()
        machine = self._free_machine()
        self._machines[name] = machine
        lease = Lease(
            LEASE_S * 2 / 3,
            CALL_S,
            renew_s=LEASE_S / 3,
            turn_s=LEASE_S + CALL_S,
            started=now,
        )
        rows = NodeRows(self)
        keeper = LeaseKeeper(rows, lease, machine, name, anyio.current_time)
        calls = NodeCalls(self, machine)
        desk = DutyDesk(
            keeper, calls, 50.0, anyio.current_time, Quiet(), Quiet()
        )
        ledger = UsageLedger()
        registry = types.SimpleNamespace(
            catalog=None, standing=types.SimpleNamespace(touch=Touch.THERE)
        )
        watch = Duties(
            Member(name, "", "", "", "", name, "alive", 0),
            keeper,
            desk,
            OwnUsage(WINDOW_S),
            ledger,
            TrueClock(now, now),
            types.SimpleNamespace(own_demand=list),
            registry,
            Quiet(),
            Quiet(),
        )
        watch.reports = UsageReports(
            desk, rows, ledger, WINDOW_S, LATE_S, watch.true_s, Quiet(), Quiet()
        )
        watch.orders = SteadyOrders(desk)
        watch.first_start = self._first
        watch.rows = rows
        watch.calls = calls
        return watch

    async def live(self, node: Node) -> None:
        """Runs an instance until it is cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(node.watch.run)
            group.start_soon(self._serve_callers, node)
            while True:
                node.watch.saw_instances(self.members(node))
                await anyio.sleep(0.1)

    def holders(self) -> list[Node]:
        """Returns the instances that hold the duty."""
        return [node for node in self.alive if node.watch.holds]

    def victims(self) -> list[Node]:
        """Returns the holder, mostly, or else all."""
        holders = self.holders()
        return holders if holders and self.rng.random() < 0.7 else self.alive

    async def run(self) -> None:
        """Plays the day."""
        async with anyio.create_task_group() as group:
            self.group = group
            for _ in range(self.count):
                self.start_node()
            self._first = False
            if self.faults:
                group.start_soon(self.disturb, FAULTS_S)
                group.start_soon(self._disturb_duties)
            await anyio.sleep(DAY_S)
            group.cancel_scope.cancel()

    async def run_with_stops(self) -> None:
        """Stops the holder again and again; its machine starts at once."""
        async with anyio.create_task_group() as group:
            self.group = group
            for _ in range(self.count):
                self.start_node()
            self._first = False
            while anyio.current_time() < FAULTS_S:
                await anyio.sleep(self.rng.uniform(0.3, 1.5))
                for node in self.holders():
                    node.watch.stop()
                    await anyio.sleep(0.5)
                    self.end_node(node)
                    self.start_node()
            group.cancel_scope.cancel()

    async def run_with_power_loss(self) -> None:
        """Ends and starts all instances in the middle of the day."""
        async with anyio.create_task_group() as group:
            self.group = group
            for _ in range(self.count):
                self.start_node()
            self._first = False
            await anyio.sleep(DAY_S / 2)
            self.kill_all()
            await anyio.sleep(DAY_S / 2)
            group.cancel_scope.cancel()

    def end_node(self, node: Node) -> None:
        """Kills an instance."""
        super().end_node(node)
        self._machines.pop(node.name, None)

    def _free_machine(self) -> str:
        # A machine whose process has ended gets the next one.
        used = set(self._machines.values())
        names = (f"m{number}" for number in range(10**6))
        return next(name for name in names if name not in used)

    async def _serve_callers(self, node: Node) -> None:
        while True:
            await anyio.sleep(self.rng.uniform(0.1, 0.3))
            organisation = self.rng.choice(ORGANISATIONS)
            window = int(anyio.current_time() // WINDOW_S)
            counts = self.truth.setdefault(window, collections.Counter())
            counts[organisation] += 1
            node.watch.began(organisation, 0.0)

    async def _disturb_duties(self) -> None:
        while anyio.current_time() < FAULTS_S:
            await anyio.sleep(self.rng.uniform(0.5, 3.0))
            strike = self.rng.choice(
                (
                    self._store_down,
                    self._store_lossy,
                    self._turn_away,
                    self._freeze,
                    self._calls_lossy,
                    self._stop_two,
                )
            )
            await strike()

    async def _store_down(self) -> None:
        self.store.down = True
        await anyio.sleep(self.rng.uniform(0.5, 5.0))
        self.store.down = False

    async def _store_lossy(self) -> None:
        self.store.lost, self.store.late = 0.3, 0.2
        await anyio.sleep(self.rng.uniform(1.0, 5.0))
        self.store.lost = self.store.late = 0.0

    async def _turn_away(self) -> None:
        nodes = self.holders() or self.alive
        for node in nodes:
            node.watch.rows.cut = True
        await anyio.sleep(self.rng.uniform(1.0, 7.0))
        for node in nodes:
            node.watch.rows.cut = False

    async def _freeze(self) -> None:
        for node in self.holders():
            where = self.rng.choice((node.watch.rows, node.watch.calls))
            where.frozen_s = self.rng.uniform(0.5, 6.0)

    async def _calls_lossy(self) -> None:
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
