"""Handover of usage totals to new coordinators of the duties."""

import unittest

import anyio

from jasminerelay import peermessages, rendezvous
from jasminerelay.duties import (
    COORDINATOR_COUNT,
    FINAL_REPORT_S,
    FINAL_RETRY_S,
)
from jasminerelay.scheduling import dutyhandover
from jasminerelay.scheduling.dutyhandover import HandoverIntake
from jasminerelay.schema.messages import (
    DutyMessage,
    HandoverRequest,
    HandoverTotals,
    Member,
    UsageWindow,
)
from jasminerelay.usage import UsageLedger
from tests import virtualtime
from tests.dutyworld import WINDOW_S, DutySimulation
from tests.instanceworld import Node
from tests.test_duties import MODULES

FIRST, LAST = 10, 15


def filled_ledger(instances: int, organisations: int) -> UsageLedger:
    """Returns totals of every instance in each window."""
    ledger = UsageLedger()
    ledger.mark_complete_from(0)
    names = [f"organisation-{number}" for number in range(organisations)]
    for number in range(FIRST, LAST + 1):
        for instance in range(instances):
            window = UsageWindow(number, names, [number] * organisations)
            ledger.merge(f"edge-{instance}/0123456789ab", [window])
    return ledger


class HandoverIntakeTest(unittest.TestCase):
    """Requests and answers, without network."""

    def setUp(self) -> None:
        self.ledger = UsageLedger()
        self.intake = HandoverIntake("new", FIRST, LAST, 0.0)
        self.intake.update_donors(["new", "a", "b"])

    def answer(
        self,
        donor: UsageLedger,
        request: tuple[str, HandoverRequest],
        *,
        now: float = 0.0,
    ) -> tuple[str, HandoverRequest] | int | None:
        """Delivers a request and its answer; returns what follows."""
        name, message = request
        reply = dutyhandover.totals_message(
            name, donor, donor.complete_from, message
        )
        return self.receive(reply, now)

    def receive(
        self, reply: HandoverTotals, now: float = 0.0
    ) -> tuple[str, HandoverRequest] | int | None:
        """Delivers an answer; returns what follows."""
        data = peermessages.encode(reply)
        self.longest = max(getattr(self, "longest", 0), len(data))
        reply = peermessages.decode(data)
        for name, window in zip(reply.instances, reply.windows, strict=True):
            self.ledger.merge(name, [window])
        return self.intake.receive(reply, now)

    def test_all_totals_in_bounded_messages(self) -> None:
        # Guards against a datagram that is not sent because of its size, and
        # against messages that grow with the square of the instances.
        for instances in (50, 100):
            with self.subTest(instances=instances):
                self.setUp()
                donor = filled_ledger(instances, 40)
                following = self.intake.request(0.0)
                while not isinstance(following, int):
                    following = self.answer(donor, following)
                for number in range(FIRST, LAST + 1):
                    self.assertEqual(
                        self.ledger.counts(number), donor.counts(number)
                    )
                self.assertEqual(following, 0)
                self.assertLess(
                    self.longest, 1.2 * dutyhandover.MAX_MESSAGE_BYTES
                )
                self.assertLess(self.intake.requests, instances)

    def test_lost_message_is_requested_again(self) -> None:
        self.assertEqual(self.intake.request(0.0)[0], "a")
        self.assertIsNone(self.intake.request(dutyhandover.RETRY_S - 0.1))
        self.assertEqual(self.intake.request(dutyhandover.RETRY_S)[0], "b")

    def test_repeated_answer(self) -> None:
        # Guards against two chains of requests after a repeated datagram.
        donor = filled_ledger(50, 40)
        first = self.intake.request(0.0)
        self.assertIsNotNone(self.answer(donor, first))
        self.assertIsNone(self.answer(donor, first))

    def test_donor_without_all_totals(self) -> None:
        # Guards against a window that counts as complete after an answer of an
        # instance that is itself waiting for a handover.
        donor = UsageLedger()
        donor.mark_complete_from(LAST + 1)
        self.assertIsNone(self.answer(donor, self.intake.request(0.0)))
        donor.mark_incomplete()
        self.assertIsNone(self.answer(donor, self.intake.request(0.1)))
        self.assertIsNone(self.intake.request(0.2))
        self.assertIsNotNone(self.intake.request(dutyhandover.RECHECK_S))

    def test_donor_that_lost_its_role_in_between(self) -> None:
        # Guards against a claim for rows that the donor no longer received.
        donor = filled_ledger(50, 40)
        following = self.answer(donor, self.intake.request(0.0))
        donor.mark_incomplete()
        self.assertIsNone(self.answer(donor, following))

    def test_no_donor_answers(self) -> None:
        # Guards against requests for ever where the other coordinators are of
        # the previous version.
        now = 0.0
        while not self.intake.ended(float("inf"), now):
            self.intake.request(now)
            now += 0.25
        self.assertLess(self.intake.requests, 30)

    def test_message_with_unequal_lists(self) -> None:
        window = UsageWindow(1, ["elm"], [1])
        message = HandoverTotals("a", -1, "", 0, True, ["x", "y"], [window])
        with self.assertRaises(ValueError):
            peermessages.decode(peermessages.encode(message))


class _Simulation(DutySimulation):
    """Instances that are stopped one by one, without other faults.

    Attributes:
        received: Highest total that any coordinator received, by window,
            sender and organisation.
        lose: Returns whether a message is lost.
        final_s: How long each stop took to deliver the final report.
    """

    def __init__(self, count: int):
        super().__init__(5, count, faults=False)
        self.received: dict[tuple[int, str, str], int] = {}
        self.lose = lambda message: False
        self.final_s: list[float] = []
        self._leaving: set[str] = set()

    def members(self, node: Node) -> list[Member]:
        """Returns the live instances without those that are leaving."""
        return [
            member
            for member in super().members(node)
            if member.instance not in self._leaving
        ]

    def coordinators(self) -> list[Node]:
        """Returns the running coordinators."""
        nodes = {x.name: x for x in self.alive if x.name not in self._leaving}
        ranked = rendezvous.rank("duties", nodes)[:COORDINATOR_COUNT]
        return [nodes[name] for name in ranked]

    def kill_other(self) -> None:
        """Kills an instance that is no coordinator."""
        others = [x for x in self.alive if x not in self.coordinators()]
        self.end_node(others[0])

    async def stop_in_order(self, nodes: list[Node], grace_s: float) -> None:
        """Stops instances, which go on reporting for the grace period."""
        self._leaving |= {node.name for node in nodes}
        for node in nodes:
            node.watch.stop()
        await anyio.sleep(grace_s)
        for node in nodes:
            node.requests.cancel()
            began = anyio.current_time()
            await node.watch.send_final_report()
            self.final_s.append(anyio.current_time() - began)
            self.end_node(node)

    async def _start_requests(self, node: Node) -> None:
        with anyio.CancelScope() as node.requests:
            await super()._start_requests(node)

    def known(self, window: int) -> dict[str, int]:
        """Returns the counts of a window that any coordinator received."""
        counts: dict[str, int] = {}
        for (number, _, name), count in sorted(self.received.items()):
            if number == window:
                counts[name] = counts.get(name, 0) + count
        return counts

    async def _deliver(self, node: Node, name: str, message: object) -> None:
        if self.lose(message):
            return
        if isinstance(message, DutyMessage):
            for item in message.usage:
                for organisation, count in zip(
                    item.organisations, item.counts, strict=True
                ):
                    key = (item.number, message.sender, organisation)
                    self.received[key] = max(count, self.received.get(key, 0))
        await super()._deliver(node, name, message)


class HandoverSimulationTest(unittest.TestCase):
    """Coordinators that change, in virtual time."""

    def setUp(self) -> None:
        self.simulation = _Simulation(8)

    def run_until(self, scenario, end_s: float = 40.0) -> None:
        """Runs a scenario beside the simulation."""

        async def run() -> None:
            async with anyio.create_task_group() as group:
                self.simulation.group = group
                for _ in range(self.simulation.count):
                    self.simulation.start_node()
                self.simulation._first_start = False
                group.start_soon(scenario)
                await anyio.sleep(end_s)
                group.cancel_scope.cancel()

        virtualtime.run(run, MODULES)
        self.assertEqual(self.simulation.checker.violations, [])

    async def replace_coordinators(self) -> None:
        """Kills an instance, then the three coordinators, two at first."""
        await anyio.sleep(12.0)
        self.simulation.kill_other()
        await anyio.sleep(2.0)
        nodes = self.simulation.coordinators()
        for node in nodes[:2]:
            self.simulation.end_node(node)
        await anyio.sleep(3.5)
        self.simulation.end_node(nodes[2])

    def check_windows(self) -> None:
        """Checks that all windows were reported with all known counts."""
        for window in range(6):
            self.assertEqual(
                self.simulation.checker.reports.get(window),
                self.simulation.known(window),
                window,
            )

    def test_coordinators_replaced_one_after_the_other(self) -> None:
        # Guards against windows that are missed since no coordinator has been
        # one for as long as they last, and against the loss of totals that
        # only the former coordinators received.
        self.run_until(self.replace_coordinators)
        self.check_windows()

    def test_all_coordinators_stop_at_once(self) -> None:
        async def scenario() -> None:
            await anyio.sleep(12.0)
            self.simulation.kill_other()
            await anyio.sleep(4.0)
            nodes = self.simulation.coordinators()
            await self.simulation.stop_in_order(nodes, 3.0)

        self.run_until(scenario)
        self.check_windows()

    def test_handover_messages_are_lost(self) -> None:
        lost = []

        def lose(message: object) -> bool:
            if not isinstance(message, HandoverRequest | HandoverTotals):
                return False
            lost.append(message)
            return len(lost) <= 6

        self.simulation.lose = lose
        self.run_until(self.replace_coordinators)
        self.check_windows()

    def test_coordinators_of_the_previous_version(self) -> None:
        # They do not know the request. Guards against a report without counts
        # that only they have.
        self.simulation.lose = lambda message: isinstance(
            message, HandoverRequest
        )
        self.run_until(self.replace_coordinators)
        reports = self.simulation.checker.reports
        self.assertNotIn(2, reports)
        for window, counts in reports.items():
            self.assertEqual(counts, self.simulation.known(window))

    def test_all_coordinators_die_at_once(self) -> None:
        # Guards against a report without the totals that died with them.
        async def scenario() -> None:
            await anyio.sleep(12.0)
            self.simulation.kill_other()
            await anyio.sleep(1.0)
            for node in self.simulation.coordinators():
                self.simulation.end_node(node)

        self.run_until(scenario)
        self.assertNotIn(2, self.simulation.checker.reports)


class ClockTest(unittest.TestCase):
    """Instances whose clock is wrong until others correct it."""

    def simulate(self, skew_s: float, *, coordinator: bool) -> _Simulation:
        """Simulates an instance that starts with a wrong clock at 13 s."""
        simulation = _Simulation(8)

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(simulation.run)
                await anyio.sleep(13.0)
                nodes = simulation.coordinators()
                if not coordinator:
                    others = simulation.alive
                    nodes = [x for x in others if x not in nodes]
                nodes[0].watch._clock.correct(-skew_s)
                await anyio.sleep(35.0)
                group.cancel_scope.cancel()

        virtualtime.run(run, MODULES)
        return simulation

    def test_decided_counts_are_final(self) -> None:
        # Guards against a window that is decided early, and to which requests
        # are added once the clock of an instance is corrected.
        for skew_s in (-3.0, -0.6, -0.4, 0.4, 0.6, 3.0):
            for coordinator in (False, True):
                with self.subTest(skew_s=skew_s, coordinator=coordinator):
                    simulation = self.simulate(skew_s, coordinator=coordinator)
                    self.assertEqual(simulation.checker.violations, [])
                    for window in range(1, 7):
                        self.assertEqual(
                            simulation.checker.reports.get(window),
                            simulation.known(window),
                        )


class FinalReportTest(unittest.TestCase):
    """Last reports of instances that stop in order."""

    def setUp(self) -> None:
        self.simulation = _Simulation(8)

    async def stop_three(self) -> None:
        """Stops instances just after requests that they have not reported."""
        for _ in range(3):
            await anyio.sleep(7.3)
            nodes = self.simulation.coordinators()
            other = next(x for x in self.simulation.alive if x not in nodes)
            await self.simulation.stop_in_order([other], 1.0)

    def run_stops(self) -> None:
        """Stops three instances; checks that no window waits for them."""

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(self.stop_three)
                await self.simulation.run()
                group.cancel_scope.cancel()

        virtualtime.run(run, MODULES)
        checker = self.simulation.checker
        self.assertEqual(checker.violations, [])
        for window in range(1, 8):
            self.assertEqual(
                checker.reports[window], dict(self.simulation.truth[window])
            )

    def test_no_count_is_lost_and_no_window_waits(self) -> None:
        # Guards against the loss of the counts since the last report, up to a
        # second of them, and against windows that wait for ended instances.
        self.run_stops()
        checker = self.simulation.checker
        for window in range(1, 8):
            at = checker.first_report_times[window]
            self.assertLess(at - (window + 1) * WINDOW_S, 3.0)

    def test_final_reports_are_lost(self) -> None:
        lost = []

        def lose(message: object) -> bool:
            if not isinstance(message, DutyMessage) or not message.final:
                return False
            lost.append(message)
            # The first ones to the three coordinators.
            return len(lost) <= 3

        self.simulation.lose = lose
        self.run_stops()
        self.assertLess(max(self.simulation.final_s), FINAL_REPORT_S)

    def test_coordinators_of_the_previous_version(self) -> None:
        # Guards against a stop that waits for confirmations until the process
        # is killed.
        self.simulation.lose = lambda message: (
            isinstance(message, DutyMessage) and message.confirms
        )
        self.run_stops()
        self.assertLessEqual(
            max(self.simulation.final_s), FINAL_REPORT_S + FINAL_RETRY_S
        )


if __name__ == "__main__":
    unittest.main()
