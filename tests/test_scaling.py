"""Servers ordered: bursts, zones taken away, and what they cost."""

import unittest

from jasminerelay.scaling import Order, ServerPlanner
from tests.scalingworld import ZONES, ScalingWorld, scaling

CALM = 8.0
BURST = 18.0
"""Servers that the work fills: of twelve, and under a burst of long prompts."""

START_S = 16.0


class StartTest(unittest.TestCase):
    """From the servers that are there to those that are wanted."""

    def test_cheap_ones_take_the_place_of_the_usual_ones(self) -> None:
        world = ScalingWorld(4, scaling())
        world.play(START_S, 0.0)
        self.assertEqual(world.there(preemptible=False), 0)
        self.assertEqual(world.there(), 24)

    def test_usual_ones_stay_until_others_serve(self) -> None:
        # Guards against requests that find fewer servers than before, since
        # those that were sent away went before the others had booted.
        world = ScalingWorld(4, scaling())
        world.play(START_S, CALM)
        self.assertGreaterEqual(world.least_there, 12)

    def test_they_stay_also_before_any_work(self) -> None:
        # Guards against usual servers that go to make room for others while
        # there is nothing to say how many are needed.
        world = ScalingWorld(4, scaling())
        for server in world.hold_back(6):
            world.play(1.5, 0.0)
            world.show([server])
        world.play(0.5, 0.0)
        world.least_there = 12
        world.play(START_S, 0.0)
        self.assertGreaterEqual(world.least_there, 12)

    def test_a_new_holder_sends_none_away_at_once(self) -> None:
        # Guards against one that does not know what was just ordered.
        world = ScalingWorld(4, scaling())
        world.play(START_S, CALM)
        world.planner = ServerPlanner("engines")
        before = len(world.orders)
        world.play(4.0, CALM)
        fewer = [
            order
            for _, order in world.orders[before:]
            if order.count < world.there(order.zone, order.preemptible)
        ]
        self.assertEqual(fewer, [])

    def test_a_new_holder_orders_no_more_for_its_own_sake(self) -> None:
        # Guards against twice as many servers with each change of the holder.
        world = ScalingWorld(4, scaling(most=30))
        world.play(START_S, CALM)
        there = world.there()
        for work in (CALM, 0.0):
            world.planner = ServerPlanner("engines")
            world.play(10.0, work)
            self.assertLessEqual(world.there(), there)

    def test_nothing_is_ordered_by_the_first_few_rows(self) -> None:
        # Guards against a holder that sees four servers of 45 as all start
        # together, takes them for all, and sends the others away.
        world = ScalingWorld(4, scaling())
        late = world.hold_back(10)
        world.play(1.0, 0.0)
        world.show(late)
        world.play(START_S, 0.0)
        self.assertGreaterEqual(world.there(), 24)
        self.assertGreaterEqual(world.least_there, 2)

    def test_one_that_shows_late_counts(self) -> None:
        world = ScalingWorld(4, scaling())
        late = world.hold_back(3)
        world.play(4.0, 0.0)
        world.show(late)
        world.play(START_S, 0.0)
        self.assertEqual(world.planner.target, 24)

    def test_without_preemptible_ones(self) -> None:
        world = ScalingWorld(4, scaling(preemptible_price=None))
        world.play(START_S, CALM)
        self.assertTrue(all(not x.preemptible for _, x in world.orders))
        self.assertGreaterEqual(world.there(), 12)


class BurstTest(unittest.TestCase):
    """Long prompts at three times their rate for nine seconds."""

    def test_servers_stand_ready(self) -> None:
        # Pattern: a burst is over before a server that it calls for has
        # booted, so there must be enough before it.
        world = ScalingWorld(4, scaling())
        world.play(START_S + 5.0, CALM)
        self.assertGreaterEqual(world.there(), BURST)

    def test_dear_ones_stand_ready_only_in_part(self) -> None:
        world = ScalingWorld(4, scaling(preemptible_price=None))
        world.play(60.0, CALM)
        self.assertLessEqual(world.there(), 2 * CALM)

    def test_they_go_after_a_while(self) -> None:
        world = ScalingWorld(4, scaling())
        world.play(START_S, CALM)
        world.play(9.0, BURST)
        world.play(60.0, 2.0)
        self.assertLess(world.there(), 12)

    def test_a_wave_sends_none_away(self) -> None:
        # Guards against caches that are cold at each wave of the work.
        world = ScalingWorld(4, scaling())
        world.play(START_S, CALM)
        before = len(world.orders)
        for _ in range(6):
            world.play(5.0, CALM * 0.73)
            world.play(6.0, CALM * 1.27)
        self.assertEqual(world.orders[before:], [])


class TakenAwayTest(unittest.TestCase):
    """A zone's preemptible servers go, and none are had for ten seconds."""

    def setUp(self) -> None:
        self.world = ScalingWorld(4, scaling())
        self.world.play(START_S, CALM)

    def test_usual_ones_take_their_place_under_a_burst(self) -> None:
        self.world.play(5.0, BURST)
        self.world.take_away("b", 10.0)
        self.world.play(6.0, BURST)
        self.assertGreaterEqual(self.world.there(), 22)

    def test_none_come_while_the_rest_do(self) -> None:
        self.world.take_away("b", 10.0)
        self.world.play(10.0, CALM)
        self.assertEqual(self.world.there(preemptible=False), 0)

    def test_cheap_ones_are_back_soon_after(self) -> None:
        self.world.play(5.0, BURST)
        self.world.take_away("b", 10.0)
        self.world.play(40.0, BURST)
        self.assertEqual(self.world.there("b", True), 8)

    def test_orders_are_few(self) -> None:
        # Guards against orders that undo each other at each look.
        before = len(self.world.orders)
        self.world.play(5.0, BURST)
        self.world.take_away("b", 10.0)
        self.world.play(5.0, BURST)
        self.world.take_away("a", 10.0)
        self.world.play(30.0, BURST)
        self.assertLess(len(self.world.orders) - before, 40)


class BoundsTest(unittest.TestCase):
    """What the configuration allows holds, whatever is wanted."""

    def check(self, world: ScalingWorld) -> None:
        """Asserts the bounds on all that was ordered."""
        held = {(zone, False): 4 for zone in ZONES}
        for _, order in world.orders:
            held[(order.zone, order.preemptible)] = order.count
            both = sum(held.get((order.zone, kind), 0) for kind in (0, 1))
            self.assertLessEqual(both, world.allowed.most)

    def test_most_of_both_kinds_together(self) -> None:
        world = ScalingWorld(4, scaling())
        world.play(START_S, CALM)
        world.play(5.0, 100.0)
        world.take_away("c", 10.0)
        world.play(40.0, 100.0)
        self.check(world)

    def test_least_stay(self) -> None:
        world = ScalingWorld(4, scaling(least=2))
        world.play(START_S, CALM)
        world.play(90.0, 0.1)
        for zone in ZONES:
            self.assertGreaterEqual(world.there(zone), 2)

    def test_a_change_of_the_bounds_counts_at_once(self) -> None:
        world = ScalingWorld(4, scaling())
        world.play(START_S, CALM)
        world.allowed = scaling(most=3)
        world.play(3.0, CALM)
        self.assertLessEqual(world.there(), 9)

    def test_prices_decide_where_the_odd_one_stands(self) -> None:
        planner = ServerPlanner("engines")
        orders = planner.plan(scaling(), [], 1.0, now=0.0)
        counts = {x.zone: x.count for x in orders if x.preemptible}
        self.assertGreaterEqual(counts["b"], counts["c"])
        self.assertIsInstance(orders[0], Order)


if __name__ == "__main__":
    unittest.main()
