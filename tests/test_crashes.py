"""Detection of requests that crash servers, at one instance and at many.

More seeds are simulated by `python -m tests.test_crashes SEEDS INSTANCES`, for
example `python -m tests.test_crashes 400 6`.
"""

import itertools
import random
import sys
import types
import unittest

import anyio
import hypothesis
import hypothesis.strategies as st

from jasminerelay import crashes, crashwatch
from jasminerelay.catalog import BackendServer
from jasminerelay.crashes import BLOCK_AFTER_CRASHES, MAX_RECORDS, CrashLedger
from jasminerelay.crashwatch import CrashWatch
from jasminerelay.serverends import Alive, Ended, ServerEnd, Unknown
from tests import virtualtime
from tests.crashworld import SERVICE, CrashSimulation, call
from tests.instanceworld import Quiet

SEEDS = 12
MAX_LATE_SENDS = 3
"""Sends of a request by connected instances, later than `PROPAGATION_S` after
its third crash, that the simulation with faults tolerates."""

SERVERS = ("s1", "s2", "s3", "s4", "s5")


class CrashLedgerTest(unittest.TestCase):
    """Which requests crashes block."""

    def setUp(self) -> None:
        self.ledger = CrashLedger()

    def crash(self, server: str, *requests: str, at: float = 0.0) -> None:
        """Records a crash with some requests in flight."""
        for name in requests:
            self.ledger.ended(name, server, at)

    def test_third_crash_blocks(self) -> None:
        self.crash("s1", "guilty")
        self.crash("s2", "guilty")
        self.assertFalse(self.ledger.is_blocked("guilty"))
        self.crash("s3", "guilty")
        self.assertTrue(self.ledger.is_blocked("guilty"))

    def test_repeated_report_counts_once(self) -> None:
        for _ in range(BLOCK_AFTER_CRASHES + 1):
            self.crash("s1", "innocent")
        self.assertFalse(self.ledger.suspect("innocent"))

    def test_complete_response_clears(self) -> None:
        for server in SERVERS[:3]:
            self.crash(server, "popular", at=1.0)
        self.ledger.record_completion("popular", 2.0)
        self.assertFalse(self.ledger.is_blocked("popular"))

    def test_earlier_response_clears_no_later_crash(self) -> None:
        self.ledger.record_completion("guilty", 1.0)
        for server in SERVERS[:3]:
            self.crash(server, "guilty", at=2.0)
        self.assertTrue(self.ledger.is_blocked("guilty"))

    def test_explained_requests_are_released(self) -> None:
        # Guards against innocent requests that stay blocked because they were
        # in flight beside the culprit again at each retry.
        self.crash("s1", "guilty", "first", "second")
        self.crash("s2", "guilty", "first", "third")
        self.crash("s3", "guilty", "first", "second", "third")
        self.crash("s4", "guilty", "second", "third")
        self.assertEqual(self.ledger.all_blocked, {"guilty"})

    def test_two_culprits(self) -> None:
        for server in SERVERS[:3]:
            self.crash(server, "guilty")
        for server in SERVERS[2:]:
            self.crash(server, "other")
        self.assertEqual(self.ledger.all_blocked, {"guilty", "other"})
        # A culprit with more crashes does not release the other one.
        self.crash("s6", "other")
        self.assertEqual(self.ledger.all_blocked, {"guilty", "other"})

    def test_expired_crashes_do_not_count(self) -> None:
        for server in SERVERS[:3]:
            self.crash(server, "guilty")
        self.ledger.expire(crashes.RETENTION_S)
        self.assertFalse(self.ledger.is_blocked("guilty"))
        self.assertEqual(len(self.ledger), 0)

    def test_many_different_requests_take_bounded_memory(self) -> None:
        # Guards against a client that makes the table grow without bound, or
        # causes the eviction of a blocked request.
        for server in SERVERS[:3]:
            self.crash(server, "guilty")
        for number in range(MAX_RECORDS + 100):
            self.crash("s9", f"r{number}")
        self.assertLessEqual(len(self.ledger), MAX_RECORDS)
        self.assertTrue(self.ledger.is_blocked("guilty"))

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(("a", "b", "c")), st.sampled_from(SERVERS)
            ),
            max_size=12,
        ),
        st.randoms(use_true_random=False),
    )
    def test_order_and_repetition_of_reports_do_not_matter(
        self, crash_list, rng
    ):
        reports = []
        for name, server in crash_list:
            source = CrashLedger()
            source.ended(name, server, 1.0)
            reports.append(source.to_message(name, 2.0))
        shuffled = [*reports, *reports]
        rng.shuffle(shuffled)
        receiver = CrashLedger()
        for report in reports:
            self.ledger.merge(report, 2.0)
        for report in shuffled:
            receiver.merge(report, 2.0)
        self.assertEqual(self.ledger.all_blocked, receiver.all_blocked)
        self.ledger = CrashLedger()

    @hypothesis.given(
        st.lists(
            st.sets(st.sampled_from([f"i{n}" for n in range(8)])),
            min_size=4,
            max_size=4,
        )
    )
    def test_fourth_crash_settles_a_tie(self, others_in_flight) -> None:
        # Whichever requests were in flight at the culprit's first three
        # crashes, the fourth one blocks it, and no other request except those
        # in flight at all four.
        ledger = CrashLedger()
        for server, names in zip(SERVERS, others_in_flight, strict=False):
            for name in (*sorted(names), "guilty"):
                ledger.ended(name, server, 0.0)
        in_flight_always = set.intersection(*others_in_flight)
        self.assertLessEqual(ledger.all_blocked, in_flight_always | {"guilty"})
        if not in_flight_always:
            self.assertEqual(ledger.all_blocked, {"guilty"})


class ProbeTest(unittest.TestCase):
    """How an instance finds that a server has crashed."""

    def watch_after_loss(self, refusing_from: float | None) -> CrashWatch:
        """Loses a connection; returns the watch one second later.

        Args:
            refusing_from: Time from which on the server refuses connections;
                None for never.
        """
        server = BackendServer("s", SERVICE, "s", "", 8, draining=False)
        registry = types.SimpleNamespace(server=lambda name: server)
        sink = Quiet()

        async def find_end(server: BackendServer) -> ServerEnd:
            if refusing_from is None or anyio.current_time() < refusing_from:
                return Alive()
            return Ended("refused")

        watch = CrashWatch(
            "n", registry, sink, sink, random.Random(1), find_end
        )

        async def run_scenario() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    watch.run, empty_store, empty_store, lambda: False
                )
                await anyio.sleep(0.001)
                await watch.on_connection_lost(call(b"x"), server)
                self.assertLess(anyio.current_time(), 0.05)
                await anyio.sleep(1.0)
                group.cancel_scope.cancel()

        virtualtime.run(run_scenario, (crashwatch,))
        return watch

    def test_refuses_at_once(self) -> None:
        self.assertEqual(len(self.watch_after_loss(0.0).ledger), 1)

    def test_refuses_shortly_after(self) -> None:
        # Guards against missed crashes: a server drops its connections before
        # it stops listening.
        self.assertEqual(len(self.watch_after_loss(0.03).ledger), 1)

    def test_accepts_connections(self) -> None:
        # A running server's request is retried at once, without a crash.
        self.assertEqual(len(self.watch_after_loss(None).ledger), 0)

    def test_many_servers_that_refuse_connections(self) -> None:
        # Guards against a burst of probes while all servers are down.
        servers = [
            BackendServer(f"s{n}", SERVICE, f"s{n}", "", 8, draining=False)
            for n in range(40)
        ]
        registry = types.SimpleNamespace(
            server={server.id: server for server in servers}.get
        )
        sink = Quiet()
        probed: list[str] = []

        async def find_end(server: BackendServer) -> ServerEnd:
            probed.append(server.id)
            await anyio.sleep(0.01)
            return Unknown(suspected=True)

        watch = CrashWatch(
            "n", registry, sink, sink, random.Random(1), find_end
        )

        async def run_scenario() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    watch.run, empty_store, empty_store, lambda: False
                )
                await anyio.sleep(0.001)
                for _ in range(100):
                    for server in servers:
                        watch.on_refused(server)
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()

        virtualtime.run(run_scenario, (crashwatch,))
        self.assertEqual(len(watch.ledger), 0)
        self.assertGreater(len(probed), 0)
        self.assertLessEqual(len(probed), 12)

    def test_loss_after_the_end(self) -> None:
        # Guards against a fault of an instance that stops while a request
        # loses its server.
        server = BackendServer("s", SERVICE, "s", "", 8, draining=False)
        registry = types.SimpleNamespace(server=lambda name: server)
        sink = Quiet()

        async def find_end(server: BackendServer) -> ServerEnd:
            return Ended("refused")

        watch = CrashWatch(
            "n", registry, sink, sink, random.Random(1), find_end
        )

        async def run_scenario() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    watch.run, empty_store, empty_store, lambda: False
                )
                await anyio.sleep(0.001)
                group.cancel_scope.cancel()
            await watch.on_connection_lost(call(b"x"), server)

        virtualtime.run(run_scenario, (crashwatch,))
        self.assertEqual(len(watch.ledger), 0)


async def empty_store(*reports: object) -> list:
    """Stands in for a store without rows."""
    return []


class PartsTest(unittest.TestCase):
    """Crashes that are blamed on a request or on a part of its prompt."""

    def test_part_of_requests_that_differ(self) -> None:
        # Guards against a part whose requests have one crash each.
        ledger = CrashLedger()
        for number in range(3):
            ledger.ended(f"request{number}", f"s{number}", number)
            ledger.ended("part", f"s{number}", number, 2)
        self.assertEqual(ledger.all_blocked, {"part"})

    def test_narrower_of_two_is_blamed(self) -> None:
        # Guards against a first part that is blocked for one request.
        ledger = CrashLedger()
        for number in range(3):
            for name, width in (("a-first", 2), ("b-later", 1), ("c-own", 0)):
                ledger.ended(name, f"s{number}", number, width)
        self.assertEqual(ledger.all_blocked, {"c-own"})

    def test_popular_part_is_cleared_between_crashes(self) -> None:
        # Guards against shared parts that are blocked since crashes follow each
        # other faster than answers were counted.
        ledger = CrashLedger()
        for number in range(9):
            ledger.ended("popular", f"s{number}", 0.2 * number, 1)
            ledger.record_completion("popular", 0.2 * number + 0.1)
        self.assertEqual(ledger.all_blocked, set())


class CrashSimulationTest(unittest.TestCase):
    """Simulates a culprit among many requests, at up to 195 instances."""

    def simulate(
        self, seed: int, instances: int, *, faults: bool = True
    ) -> CrashSimulation:
        """Simulates one seed; returns the simulation after it."""
        simulation = CrashSimulation(seed, instances, faults=faults)
        virtualtime.run(simulation.run, (crashwatch,))
        return simulation

    def check(self, simulation: CrashSimulation) -> None:
        """Asserts what must hold for every seed."""
        self.assertGreaterEqual(
            len(simulation.crash_times), BLOCK_AFTER_CRASHES
        )
        self.assertLessEqual(len(simulation.late), MAX_LATE_SENDS)
        self.assertEqual(simulation.blocked_innocents, set())

    def test_without_faults(self) -> None:
        for instances, seed in itertools.product((6, 30), range(4)):
            with self.subTest(instances=instances, seed=seed):
                simulation = self.simulate(seed, instances, faults=False)
                self.check(simulation)
                self.assertEqual(simulation.late, [])

    def test_six_instances(self) -> None:
        # Guards against a third crash that some instances never learn of:
        # messages are lost, coordinators die or are partitioned, instances
        # start, and all restart at once.
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.check(self.simulate(seed, 6))

    def test_innocent_request_in_flight_at_every_crash(self) -> None:
        # Guards against an innocent request that stays blocked for a day: it
        # was beside the culprit in all of its four attempts, and the records of
        # the culprit's first two crashes were lost with the instances that had
        # them.
        self.check(self.simulate(282, 6))

    def test_195_instances(self) -> None:
        self.check(self.simulate(1, 195))


def main() -> None:
    """Simulates many seeds; arguments: how many, and how many instances."""
    seeds, instances = int(sys.argv[1]), int(sys.argv[2])
    bad = []
    crash_times = []
    refused = 0
    for seed in range(seeds):
        simulation = CrashSimulation(seed, instances)
        virtualtime.run(simulation.run, (crashwatch,))
        crash_times.append(len(simulation.crash_times))
        refused += simulation.refused
        if (
            len(simulation.late) > MAX_LATE_SENDS
            or simulation.blocked_innocents
        ):
            bad.append(
                (
                    seed,
                    simulation.crash_times,
                    simulation.late,
                    simulation.blocked_innocents,
                )
            )
    print(f"{seeds} seeds, {instances} instances: {len(bad)} bad {bad[:5]}")
    print(f"crashes {sorted(crash_times)}, innocents refused {refused}")


if __name__ == "__main__":
    main()
