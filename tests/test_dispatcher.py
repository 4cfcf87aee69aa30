"""Tests the choices of one instance's dispatcher, without a network."""

import collections
import time
import unittest
import unittest.mock

import msgspec

from jasminerelay import peermessages
from jasminerelay.catalog import Prompt, PromptPart
from jasminerelay.dispatcher import SPLIT_INTERVAL_S, Dispatcher
from jasminerelay.enginemodel import MIN_SAMPLES
from jasminerelay.placementqueue import (
    MAX_FAILED_ATTEMPTS,
    PlacementQueue,
    QueueEntry,
)
from jasminerelay.placing import Wait
from jasminerelay.platform import decoding
from jasminerelay.prefix import CacheView
from jasminerelay.registry import Registry
from jasminerelay.scheduling.servercapacity import StatedLoad
from jasminerelay.schema.messages import (
    PeerMessage,
    ReplicaStatus,
    RouteDemand,
    ServerLoad,
)
from jasminerelay.serverpauses import ServerPauses
from jasminerelay.tokentimes import MIN_TIMES
from tests.test_cells import server_rows
from tests.test_placing import call, route

SERVICE = "pool"


def dispatcher(
    servers: int, pauses: ServerPauses | None = None, instances: int = 1
) -> Dispatcher:
    """Returns a dispatcher with idle model servers."""
    registry = Registry(decoding.catalog, decoding.server)
    configuration = {
        "version": 1,
        "routes": [],
        "backends": [
            {
                "name": SERVICE,
                "runtime": {
                    "slotCount": 32,
                    "kvCapacity": 700_000,
                    "stride": 5,
                },
            }
        ],
    }
    registry.apply_configuration(1, msgspec.json.encode(configuration))
    registry.apply_full_read(server_rows(servers), 2)
    return Dispatcher(registry, "z", lambda: instances, pauses=pauses)


class StepTimeTest(unittest.TestCase):
    """Measurement of the engines' step time."""

    def test_prefill_is_not_part_of_the_step_time(self) -> None:
        # Guards against step times measured during prefill. At the start of a
        # burst of long prompts all engines prefill, so every stream's tokens
        # are slow. Taken as the engines' step time, that made chats appear to
        # need three servers of eight while long prompts were refused.
        instance = dispatcher(4)
        chat = call(route=route(name="chat", rank=0), prompt=call().prompt)
        instance.record_arrival(chat)
        before_s = instance.busy_s(chat)
        for number in range(4):
            instance.workload.start(f"i-{number:03}", 30_000, 40_000)
        self.observe_streams(instance, 4, token_s=0.05)
        self.assertAlmostEqual(instance.busy_s(chat), before_s)

    def test_slow_step_is_measured_without_prefill(self) -> None:
        instance = dispatcher(2)
        chat = call()
        instance.record_arrival(chat)
        before_s = instance.busy_s(chat)
        for number in range(2):
            instance.workload.start(f"i-{number:03}", 0, 10_000)
        self.observe_streams(instance, 2, token_s=0.5)
        self.assertGreater(instance.busy_s(chat), before_s * 2)

    def observe_streams(
        self, instance: Dispatcher, servers: int, token_s: float
    ) -> None:
        """Observes streams at all servers while the split is updated."""
        now = time.monotonic()
        for step in range(MIN_SAMPLES):
            for number in range(servers):
                for _ in range(MIN_TIMES):
                    instance.token_times.observe(
                        f"i-{number:03}", 5, 5 * token_s, now
                    )
            instance.tick(now + step * SPLIT_INTERVAL_S)


class ReportedTokenTimeTest(unittest.TestCase):
    """Times per token reported by other instances."""

    def test_slow_engine_known_from_reports_only(self) -> None:
        # Guards against long answers sent to an overloaded engine that this
        # instance has no stream at. Sixty instances share thirty engines, so
        # most engines have no stream of a given instance. If it ignored the
        # other instances' reports, such an engine would look idle, and answers
        # sent there would reach their time limit with most of their tokens
        # made.
        here, there = dispatcher(2), dispatcher(2)
        now = time.monotonic()
        there.workload.start("i-000", unread=100, memory=10_000)
        there.workload.start("i-001", unread=100, memory=10_000)
        there.token_times.observe("i-000", 5, 5 * 0.06, now)
        there.token_times.observe("i-001", 5, 5 * 0.004, now)
        here.apply_load_report("there", 1, there.own_loads(now), now)
        for number in range(8):
            # Rendezvous hashing prefers the first engine for some prefixes.
            parts = (PromptPart(f"start-{number}", 5000), PromptPart("x", 600))
            prompt = Prompt(parts, 5600, 1000, 400)
            request = call(
                arrived_at=now - 1.9, answer_deadline=now + 13.1, prompt=prompt
            )
            placed = here.place(request, frozenset())
            self.assertEqual(placed.server.id, "i-001")

    def test_reports_are_not_forwarded(self) -> None:
        # A reported value must not be reported again as the instance's own
        # measurement: forwarded between instances, it would never expire.
        here = dispatcher(1)
        here.workload.start("i-000", unread=100, memory=10_000)
        here.token_times.record_report("i-000", 0.06, 0.0)
        self.assertEqual(here.own_loads(0.1)[0].token_us, 0)

    def test_old_reports_are_ignored(self) -> None:
        here = dispatcher(1)
        here.token_times.record_report("i-000", 0.06, 0.0)
        self.assertIsNone(here.token_times.token_s("i-000", 10.0))


class MigrationTargetTest(unittest.TestCase):
    """Targets for streams that move away from a draining server."""

    def make_instances(self, count: int, servers: int = 12) -> list[Dispatcher]:
        """Returns instances that give six servers to long prompts."""
        instances = [dispatcher(servers) for _ in range(count)]
        demand = [
            RouteDemand(f"{SERVICE}/long", 4.0, 6600.0, 2),
            RouteDemand(f"{SERVICE}/short", 4.0, 600.0, 0),
        ]
        now = time.monotonic()
        for instance in instances:
            instance.demand.update("other", demand, now)
            instance.tick(now)
        return instances

    def test_instances_choose_different_servers(self) -> None:
        # Guards against all instances choosing the same target. Fourteen
        # streams of long prompts run at a draining server, each for another
        # instance. All instances learn of it at the same moment and see the
        # same idle servers. On one server the streams would occupy most of its
        # slots and preempt the requests there.
        targets: collections.Counter[str] = collections.Counter()
        for number, instance in enumerate(self.make_instances(14)):
            reservation = instance.reserve_migration_target(
                call(f"c{number}"), frozenset({"i-000"})
            )
            targets[reservation.placed.server.id] += 1
        self.assertGreaterEqual(len(targets), 4)
        self.assertLessEqual(max(targets.values()), 5)

    def test_stays_on_servers_of_its_kind(self) -> None:
        # The servers of long prompts are full, those of short and more urgent
        # ones almost idle. A long stream that moved there would preempt the
        # urgent ones.
        for number, instance in enumerate(self.make_instances(8)):
            group = instance._kinds._splits[SERVICE].group("long")
            for name in group:
                for _ in range(40):
                    instance.workload.start(name, unread=0, memory=100)
            reservation = instance.reserve_migration_target(
                call(f"c{number}"), frozenset({group[0]})
            )
            self.assertIn(reservation.placed.server.id, group[1:])

    def test_pending_move_occupies_capacity(self) -> None:
        instance = dispatcher(1)
        reservation = instance.reserve_migration_target(call(), frozenset())
        self.assertEqual(instance.workload.load("i-000").running, 1)
        reservation.run.end()
        self.assertEqual(instance.workload.load("i-000").running, 0)
        self.assertIsNone(
            instance.reserve_migration_target(call(), frozenset({"i-000"}))
        )


class BurstOverflowTest(unittest.TestCase):
    """Overflow of the most urgent kind with few servers."""

    def test_burst_overflows_to_less_urgent_kind(self) -> None:
        # Guards against requests of the first rank that got no server while the
        # split followed their burst two seconds late: requests of the next rank
        # were still started on their own servers.
        instance = dispatcher(7)
        now = time.monotonic()
        instance.demand.update("other", KindOverflowTest.KINDS, now)
        instance.tick(now)
        split = instance._kinds._splits[SERVICE]
        for name in split.group("chat"):
            for _ in range(40):
                instance.workload.start(name, unread=0, memory=100)
        parts = (PromptPart("start", 200), PromptPart("own", 400))
        request = call(
            "chat",
            arrived_at=now,
            answer_deadline=now + 10.0,
            route=route(name="chat", rank=0, pause_s=0.3),
            prompt=Prompt(parts, 600, 300, 200),
        )
        placed = instance.place(request, frozenset())
        self.assertIn(placed.server.id, split.group("check"))


class KindOverflowTest(unittest.TestCase):
    """Overflow between kinds that need a server and a half."""

    KINDS = (
        RouteDemand(f"{SERVICE}/long", 4.0, 6600.0, 2),
        RouteDemand(f"{SERVICE}/check", 2.0, 1800.0, 1),
        RouteDemand(f"{SERVICE}/chat", 1.0, 600.0, 0),
    )

    def setUp(self) -> None:
        # A cell owner, which knows all requests at its seven servers.
        self.instance = dispatcher(7)
        self.instance._candidates._caches = CacheView()
        now = time.monotonic()
        self.instance.demand.update("other", self.KINDS, now)
        self.instance.tick(now)

    def place_request(self, kind: str, rank: int):
        now = time.monotonic()
        parts = (PromptPart("start", 200), PromptPart("own", 400))
        request = call(
            kind,
            arrived_at=now,
            answer_deadline=now + 10.0,
            route=route(name=kind, rank=rank, pause_s=0.3),
            prompt=Prompt(parts, 600, 300, 200),
        )
        return self.instance.place(request, frozenset())

    def fill_servers(self, kind: str) -> None:
        for name in self.instance._kinds._splits[SERVICE].group(kind):
            for _ in range(40):
                self.instance.workload.start(name, unread=0, memory=100)

    def test_urgent_kind_overflows_to_the_next_short_one(self) -> None:
        # A burst of chats fills their only server in the cell. Chats that would
        # wait there for longer than their objective go to the servers of the
        # checks at once, but not to those of long prompts, whose prefill
        # lengthens the pauses.
        self.fill_servers("chat")
        placed = self.place_request("chat", 0)
        group = self.instance._kinds._splits[SERVICE].group("check")
        self.assertIn(placed.server.id, group)

    def test_less_urgent_kind_does_not_overflow(self) -> None:
        # The overflow of checks must not use the server of the more urgent
        # chats.
        self.fill_servers("check")
        self.assertIsInstance(self.place_request("check", 1), Wait)


class ServerSpeedTest(unittest.TestCase):
    """Use of the speed estimates."""

    def setUp(self) -> None:
        self.instance = dispatcher(3)
        self.capacities = self.instance.capacities.of(SERVICE)
        self.now = time.monotonic()

    def slow_down(self, server: str) -> None:
        """Lets a server state that it works at half the usual speed."""
        self.instance.record_statement(
            SERVICE, server, StatedLoad(self.now, 2.0, 0), self.now
        )

    def test_wait_estimates_use_the_sum_of_speeds(self) -> None:
        clock = unittest.mock.patch.object(time, "monotonic", lambda: self.now)
        with clock:
            before_s = self.instance.queue_delay_s(SERVICE, "long", 3.0)
            for number in range(3):
                self.slow_down(f"i-{number:03}")
            self.instance._waits._kind_queues.clear()
            after_s = self.instance.queue_delay_s(SERVICE, "long", 3.0)
        self.assertAlmostEqual(after_s, 2 * before_s)

    def test_model_holds_samples_of_a_usual_server(self) -> None:
        # Guards against an engine model that mixes servers of different speed.
        model = self.instance.engine_models.of(SERVICE)
        self.instance.workload.start("i-000", 0, 10_000)
        with unittest.mock.patch.object(
            self.capacities.speeds, "lasting", lambda server, now: 2.0
        ):
            for _ in range(MIN_SAMPLES):
                self.instance.record_step_time(SERVICE, "i-000", 0.02, self.now)
        self.assertAlmostEqual(model.speeds().token_s(1), 0.01)

    def test_server_that_has_ended(self) -> None:
        # Guards against a server that starts again under its name with what was
        # learned about its former life.
        self.slow_down("i-000")
        self.instance.record_rejection(SERVICE, "i-000", self.now)
        self.assertGreater(self.capacities.slowness("i-000", self.now), 1.5)
        self.assertGreater(self.capacities.limit("i-000", 32, self.now), 0)
        self.instance.gone("i-000")
        self.assertEqual(self.capacities.slowness("i-000", self.now), 1.0)
        self.assertEqual(self.capacities.limit("i-000", 32, self.now), 0)

    def test_slow_server_is_tried_again(self) -> None:
        # Guards against a wrong estimate that starves a server: while the
        # others have capacity, it would get nothing and never be measured.
        self.instance._usable.engine_of = lambda service: None
        counts = collections.Counter()
        with unittest.mock.patch.object(
            self.capacities.speeds,
            "slowness",
            lambda server, now: 4.0 if server == "i-000" else 1.0,
        ):
            for number in range(600):
                request = call(f"c{number}", prompt=None)
                placed = self.instance.place(request, frozenset())
                counts[placed.server.id] += 1
        self.assertGreater(counts["i-000"], 0)
        self.assertLess(counts["i-000"], 40)

    def test_change_of_speed_is_told(self) -> None:
        told = []
        self.instance.on_speed_change = lambda *found: told.append(found)
        with unittest.mock.patch.object(
            self.capacities.speeds, "lasting", lambda server, now: 1.43
        ):
            self.slow_down("i-000")
            self.instance.tick(self.now)
            self.instance.tick(self.now + SPLIT_INTERVAL_S)
        self.assertEqual([item[:2] for item in told], [(SERVICE, "i-000")])


class PlacementPassCostTest(unittest.TestCase):
    """Processor cost of a placement pass over the queue."""

    def test_linear_in_the_servers(self) -> None:
        # Guards against a placement pass whose cost grows with the square of
        # the servers. A burst fills thirty engines, and thirty requests are
        # queued at an instance, which tries to place them thirty times a
        # second. With every engine's time per token compared with every other
        # one's for each request, the comparison alone took most of the
        # processor, and the test day was aborted.
        instance = dispatcher(30)
        now = time.monotonic()
        for number in range(30):
            name = f"i-{number:03}"
            instance.token_times.observe(name, 5, 0.05, now)
            for _ in range(40):
                instance.workload.start(name, unread=2000, memory=12_000)
        queue = PlacementQueue(
            instance.place, instance.expect, instance.busy_s, instance.reserve
        )
        for number in range(30):
            request = call(
                f"c{number}", arrived_at=now, answer_deadline=now + 15.0
            )
            queue._queue.append(QueueEntry(request, frozenset(), 0.1))
        # The clock is fixed: a wait estimate expires after 20 ms, and on a busy
        # machine one pass may take longer.
        with (
            unittest.mock.patch.object(time, "monotonic", lambda: now),
            unittest.mock.patch.object(
                instance.token_times,
                "token_s",
                wraps=instance.token_times.token_s,
            ) as token_time_calls,
        ):
            queue.capacity_freed(SERVICE)
        self.assertEqual(len(queue), 30)
        self.assertLess(
            token_time_calls.call_count, 30 * (MAX_FAILED_ATTEMPTS + 2)
        )


class PeerMessageTest(unittest.TestCase):
    """Encoding of the datagrams between instances."""

    def message(self, loads: list[ServerLoad]) -> PeerMessage:
        demand = [RouteDemand("pool/long", 0.5, 900.0, 2)]
        return PeerMessage(
            None,
            "edge-1/0123456789ab",
            7,
            ReplicaStatus(1, 2, 3),
            peermessages.load_columns(loads),
            peermessages.demand_columns(demand),
        )

    def test_round_trip(self) -> None:
        loads = [ServerLoad("a", 1, 2, 3, 4), ServerLoad("b", 5, 6, 7)]
        message = peermessages.decode(peermessages.encode(self.message(loads)))
        self.assertEqual(peermessages.load_rows(message.loads), loads)
        (demand,) = peermessages.demand_rows(message.demand)
        self.assertEqual((demand.kind, demand.rank), ("pool/long", 2))

    def test_datagram_size(self) -> None:
        # Sixty instances send these to many others several times a second.
        loads = [
            ServerLoad(f"i-{number:010x}", 9000, 3, 40_000, 5000)
            for number in range(30)
        ]
        self.assertLess(len(peermessages.encode(self.message(loads))), 1100)

    def test_invalid_data_is_rejected(self) -> None:
        # With lists of different lengths a server would get another server's
        # load.
        message = self.message([ServerLoad("a", 1, 2, 3, 4)])
        message.loads.unread.clear()
        for data in (b"", b"\xc1", b"\x80", peermessages.encode(message)):
            with self.assertRaises(ValueError):
                peermessages.decode(data)


if __name__ == "__main__":
    unittest.main()
