"""Tests of the broker's decisions."""

import unittest

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from jasminerelay.broker import REFUSED_FULL, REFUSED_LATE, Broker
from jasminerelay.schema.messages import (
    HeldPermit,
    LoadReport,
    PermitGrant,
    PermitRefusal,
    PermitRevocation,
)
from tests.fakes import cell, release, server, waiting


def granted(decisions) -> list[str]:
    """Returns the IDs of granted requests in order."""
    return [
        item.message.ask_id
        for item in decisions
        if isinstance(item.message, PermitGrant)
    ]


def refused(decisions) -> dict[str, str]:
    """Returns the refusal reason by ID of refused requests."""
    return {
        item.message.ask_id: item.message.reason
        for item in decisions
        if isinstance(item.message, PermitRefusal)
    }


def revoked(decisions) -> list[str]:
    """Returns the IDs of revoked permits."""
    return [
        item.message.ask_id
        for item in decisions
        if isinstance(item.message, PermitRevocation)
    ]


class OrderTest(unittest.TestCase):
    """Order of grants."""

    def test_rank_then_deadline(self) -> None:
        broker = Broker(cell(server("s", slots=1)))
        broker.enqueue(waiting("low", rank=3, deadline=0.1), 0.0)
        broker.enqueue(waiting("late", rank=1, deadline=9.0), 0.0)
        broker.enqueue(waiting("soon", rank=1, deadline=2.0), 0.0)
        order = granted(broker.step(0.0))
        for ask_id in ("soon", "late"):
            broker.release(release(ask_id), 1.0)
            order += granted(broker.step(1.0))
        self.assertEqual(order, ["soon", "late", "low"])

    def test_organisations_share_by_weight(self) -> None:
        broker = Broker(cell(server("s", slots=1), max_waiting=1000))
        for number in range(60):
            for name, weight in (("a", 2.0), ("b", 1.0)):
                ask = waiting(f"{name}{number}", organisation=name)
                broker.enqueue(
                    waiting(
                        ask.ask_id,
                        organisation=name,
                        weight=weight,
                        deadline=number,
                    ),
                    0.0,
                )
        order = []
        for _ in range(30):
            (ask_id,) = granted(broker.step(0.0))
            order.append(ask_id[0])
            broker.release(release(ask_id), 0.0)
        self.assertEqual(order.count("a"), 20)
        self.assertEqual(order.count("b"), 10)

    def test_burst_of_one_organisation(self) -> None:
        # A long queue of one organisation must not delay another
        # organisation's single request.
        broker = Broker(cell(server("s", slots=1)))
        for number in range(20):
            broker.enqueue(waiting(f"burst{number}", organisation="big"), 0.0)
        (first,) = granted(broker.step(0.0))
        broker.enqueue(
            waiting("small", organisation="small", deadline=99.0), 0.0
        )
        broker.release(release(first), 0.0)
        self.assertEqual(granted(broker.step(0.0)), ["small"])

    def test_floor_bounds_the_lowest_tier(self) -> None:
        # Higher ranks always have requests queued; the lowest must still get
        # one grant in 1 / share.
        broker = Broker(cell(server("s", slots=1), max_waiting=10_000))
        for number in range(500):
            broker.enqueue(waiting(f"high{number}", rank=1), 0.0)
        for number in range(10):
            broker.enqueue(
                waiting(f"low{number}", rank=5, floor_share=0.05), 0.0
            )
        order = []
        for _ in range(210):
            (ask_id,) = granted(broker.step(0.0))
            order.append(ask_id)
            broker.release(release(ask_id), 0.0)
        positions = [
            i for i, name in enumerate(order) if name.startswith("low")
        ]
        gaps = [b - a for a, b in zip(positions, positions[1:], strict=False)]
        self.assertLessEqual(max([positions[0], *gaps]), 23)
        self.assertGreaterEqual(min(gaps), 18)

    def test_leaves_slots_free(self) -> None:
        broker = Broker(cell(server("s", slots=10)))
        for number in range(12):
            broker.enqueue(waiting(f"low{number}", rank=3, leave_free=0.2), 0.0)
        self.assertEqual(len(granted(broker.step(0.0))), 8)
        broker.enqueue(waiting("high", rank=1), 0.0)
        self.assertEqual(granted(broker.step(0.0)), ["high"])


class RefusalTest(unittest.TestCase):
    """Shedding and refusals."""

    def test_sheds_the_lowest_tier(self) -> None:
        broker = Broker(cell(server("s", slots=1), max_waiting=2))
        broker.enqueue(waiting("running"), 0.0)
        broker.step(0.0)
        broker.enqueue(waiting("low", rank=3), 0.0)
        broker.enqueue(waiting("middle", rank=2), 0.0)
        broker.enqueue(waiting("high", rank=1, protected=True), 0.0)
        self.assertEqual(refused(broker.step(0.0)), {"low": REFUSED_FULL})

    def test_never_sheds_protected_for_lower(self) -> None:
        broker = Broker(cell(server("s", slots=1), max_waiting=2))
        broker.enqueue(waiting("running"), 0.0)
        broker.step(0.0)
        for name in ("first", "second"):
            broker.enqueue(waiting(name, rank=1, protected=True), 0.0)
        broker.enqueue(waiting("low", rank=2), 0.0)
        self.assertEqual(refused(broker.step(0.0)), {"low": REFUSED_FULL})

    def test_guaranteed_queue_length_of_lowest_tier(self) -> None:
        broker = Broker(cell(server("s", slots=1), max_waiting=2))
        broker.enqueue(waiting("running"), 0.0)
        broker.step(0.0)
        for name in ("first", "second"):
            broker.enqueue(waiting(name, rank=1), 0.0)
        broker.enqueue(waiting("low", rank=5, floor_share=0.05), 0.0)
        broker.enqueue(waiting("more", rank=5, floor_share=0.05), 0.0)
        self.assertEqual(refused(broker.step(0.0)), {"more": REFUSED_FULL})

    def test_older_request_replaces_younger(self) -> None:
        # A refused request returns with its ticket, which carries its age.
        broker = Broker(cell(server("s", slots=1), max_waiting=1))
        broker.enqueue(waiting("running"), 9.0)
        broker.step(9.0)
        broker.enqueue(waiting("young", arrived_at=9.0, deadline=10.0), 9.0)
        broker.enqueue(waiting("old", arrived_at=1.0, deadline=2.0), 9.0)
        self.assertEqual(refused(broker.step(9.0)), {"young": REFUSED_FULL})

    def test_started_is_never_shed(self) -> None:
        broker = Broker(cell(server("s", slots=1), max_waiting=1))
        broker.enqueue(waiting("running"), 0.0)
        broker.step(0.0)
        broker.enqueue(waiting("first", rank=1), 0.0)
        broker.enqueue(waiting("started", rank=5, started=True), 0.0)
        broker.enqueue(waiting("more", rank=1), 0.0)
        self.assertEqual(refused(broker.step(0.0)), {"more": REFUSED_FULL})

    def test_expired_is_refused_at_once(self) -> None:
        broker = Broker(cell(server("s", slots=1)))
        broker.enqueue(waiting("running"), 0.0)
        broker.step(0.0)
        broker.enqueue(waiting("late", expires_at=2.0), 0.0)
        self.assertEqual(refused(broker.step(1.9)), {})
        self.assertEqual(broker.next_expiry(), 2.0)
        self.assertEqual(refused(broker.step(2.0)), {"late": REFUSED_LATE})

    def test_refused_without_usable_server(self) -> None:
        broker = Broker(cell(server("s")))
        broker.set_leaving_servers({"s"})
        broker.enqueue(waiting("a"), 0.0)
        self.assertEqual(refused(broker.step(0.0)), {"a": "no_server"})


class PreemptionTest(unittest.TestCase):
    """Choice of permits to revoke."""

    def setUp(self) -> None:
        self.broker = Broker(cell(server("s", slots=2)))
        self.broker.enqueue(waiting("fixed", rank=4), 0.0)
        self.broker.enqueue(waiting("free", rank=5, preemptible=True), 0.0)
        self.broker.step(0.0)

    def test_revokes_preemptible_permit(self) -> None:
        self.broker.enqueue(waiting("high", rank=1), 1.0)
        self.assertEqual(revoked(self.broker.step(1.0)), ["free"])
        # The permit is revoked once, not again at each step.
        self.assertEqual(revoked(self.broker.step(1.1)), [])
        self.broker.release(release("free"), 1.2)
        self.assertEqual(granted(self.broker.step(1.2)), ["high"])

    def test_no_revocation_for_same_or_lower_rank(self) -> None:
        self.broker.enqueue(waiting("same", rank=5), 1.0)
        self.broker.enqueue(waiting("below", rank=6), 1.0)
        self.assertEqual(revoked(self.broker.step(1.0)), [])


class SoftStateTest(unittest.TestCase):
    """State from instances and load reports."""

    def test_held_permits_take_slots(self) -> None:
        broker = Broker(cell(server("s", slots=2)))
        broker.hold(HeldPermit("theirs", "pool/0", "s", 1, False), "other", 0.0)
        for name in ("a", "b"):
            broker.enqueue(waiting(name), 0.0)
        self.assertEqual(granted(broker.step(0.0)), ["a"])
        broker.remove_instance("other", permits=True)
        self.assertEqual(granted(broker.step(0.0)), ["b"])

    def test_unattributed_load_takes_slots(self) -> None:
        broker = Broker(cell(server("s", slots=3)))
        broker.on_load_report("s", LoadReport(2, 0, False, 0.01, 0.0), 0.0)
        for name in ("a", "b"):
            broker.enqueue(waiting(name), 0.0)
        self.assertEqual(granted(broker.step(0.0)), ["a"])

    def test_own_permits_account_for_load(self) -> None:
        broker = Broker(cell(server("s", slots=3)))
        for name in ("a", "b"):
            broker.enqueue(waiting(name), 0.0)
        broker.step(0.0)
        broker.on_load_report("s", LoadReport(2, 0, False, 0.01, 0.0), 5.0)
        broker.enqueue(waiting("c"), 5.0)
        self.assertEqual(granted(broker.step(5.0)), ["c"])

    def test_repeated_request_is_granted_once(self) -> None:
        broker = Broker(cell(server("s", slots=3)))
        broker.enqueue(waiting("a"), 0.0)
        first = broker.step(0.0)
        broker.enqueue(waiting("a"), 0.0)
        self.assertEqual(granted(first), granted(broker.step(0.0)))
        self.assertEqual(broker.held, 1)

    def test_failed_server_is_blocked_then_probed(self) -> None:
        broker = Broker(cell(server("bad"), server("good", slots=1)))
        broker.stragglers.failed("bad", 0.0)
        for name in ("a", "b", "c"):
            broker.enqueue(waiting(name), 0.0)
        self.assertEqual(len(granted(broker.step(0.0))), 1)
        # After its backoff the server gets one request as a probe.
        self.assertEqual(len(granted(broker.step(1.1))), 1)
        self.assertEqual(len(granted(broker.step(1.2))), 0)

    def test_local_share_ignores_load_of_other_instances(self) -> None:
        # An instance that cannot reach the broker grants from its own share
        # of the slots. When other instances' requests counted against it, a
        # share of one slot granted nothing.
        broker = Broker(cell(server("s", slots=4)), share=0.25)
        broker.on_load_report("s", LoadReport(3, 0, False, 0.01, 0.0), 0.0)
        broker.enqueue(waiting("a"), 0.0)
        self.assertEqual(granted(broker.step(0.0)), ["a"])


class BrokerMachine(RuleBasedStateMachine):
    """Random requests, releases and delays, checked against a simple model."""

    @initialize(
        slots=strategies.lists(
            strategies.integers(1, 4), min_size=1, max_size=4
        ),
        queue_limit=strategies.integers(1, 12),
    )
    def start(self, slots: list[int], queue_limit: int) -> None:
        names = [f"s{number}" for number in range(len(slots))]
        self.slots = dict(zip(names, slots, strict=True))
        self.broker = Broker(
            cell(
                *(server(name, count) for name, count in self.slots.items()),
                max_waiting=queue_limit,
            )
        )
        self.now = 0.0
        self.count = 0
        self.held: dict[str, str] = {}
        self.queued: dict[str, object] = {}

    @rule(
        rank=strategies.integers(1, 5),
        organisation=strategies.sampled_from("abc"),
        max_wait_s=strategies.floats(0.0, 5.0),
    )
    def ask(self, rank: int, organisation: str, max_wait_s: float) -> None:
        self.count += 1
        item = waiting(
            f"{self.count:06d}",
            rank=rank,
            organisation=organisation,
            arrived_at=self.now,
            deadline=self.now + 1,
            expires_at=self.now + max_wait_s,
            protected=rank == 1,
            floor_share=0.1 if rank == 5 else 0.0,
            leave_free=0.1 if rank > 2 else 0.0,
            preemptible=rank == 5,
        )
        self.queued[item.ask_id] = item
        self.broker.enqueue(item, self.now)
        self.step()

    @rule(data=strategies.data(), failed=strategies.booleans())
    def end(self, data, failed: bool) -> None:
        if not self.held:
            return
        ask_id = data.draw(strategies.sampled_from(sorted(self.held)))
        del self.held[ask_id]
        self.broker.release(release(ask_id, failed=failed), self.now)
        self.step()

    @rule(seconds=strategies.floats(0.01, 3.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.step()

    def step(self) -> None:
        for item in self.broker.step(self.now):
            message = item.message
            if isinstance(message, PermitGrant):
                assert message.ask_id not in self.held
                self.queued.pop(message.ask_id)
                self.held[message.ask_id] = message.server
            elif isinstance(message, PermitRefusal):
                gone = self.queued.pop(message.ask_id)
                assert message.retry_s > 0
                if message.reason == REFUSED_FULL and gone.protected:
                    assert all(
                        other.protected or other.floor_share
                        for other in self.queued.values()
                    )
            else:
                assert message.ask_id in self.held

    @invariant()
    def permits_never_exceed_slots(self) -> None:
        if not hasattr(self, "broker"):
            return
        for name, slots in self.slots.items():
            occupied = sum(server == name for server in self.held.values())
            assert occupied <= slots
        assert self.broker.held == len(self.held)
        assert self.broker.waiting == len(self.queued)


class BrokerMachineTest(BrokerMachine.TestCase):
    """Runs the state machine."""

    settings = settings(
        max_examples=60,
        stateful_step_count=60,
        derandomize=True,
        deadline=None,
    )


if __name__ == "__main__":
    unittest.main()
