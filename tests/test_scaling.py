"""Server orders: bursts, withdrawn zones, bounds and prices."""

import unittest

from jasminerelay.scaling import ServerOrder, ServerPlanner
from tests.scalingworld import ZONES, ScalingSimulation, scaling

NORMAL_LOAD = 8.0
BURST_LOAD = 18.0
"""Servers occupied by the load, of twelve: normally, and in a burst of long
prompts."""

STARTUP_S = 16.0


class StartupTest(unittest.TestCase):
    """Transition from the initial servers to the desired ones."""

    def test_preemptible_servers_replace_on_demand_ones(self) -> None:
        simulation = ScalingSimulation(4, scaling())
        simulation.run_for(STARTUP_S, 0.0)
        self.assertEqual(simulation.there(preemptible=False), 0)
        self.assertEqual(simulation.there(), 24)

    def test_on_demand_servers_stay_until_others_serve(self) -> None:
        # Guards against fewer servers than before because on-demand servers are
        # removed before preemptible ones have booted.
        simulation = ScalingSimulation(4, scaling())
        simulation.run_for(STARTUP_S, NORMAL_LOAD)
        self.assertGreaterEqual(simulation.min_running, 12)

    def test_on_demand_servers_stay_before_any_load(self) -> None:
        # Guards against on-demand servers removed in favour of preemptible ones
        # while no load shows how many are needed.
        simulation = ScalingSimulation(4, scaling())
        for server in simulation.hide_rows(6):
            simulation.run_for(1.5, 0.0)
            simulation.show([server])
        simulation.run_for(0.5, 0.0)
        simulation.min_running = 12
        simulation.run_for(STARTUP_S, 0.0)
        self.assertGreaterEqual(simulation.min_running, 12)

    def test_new_holder_removes_none_at_once(self) -> None:
        # Guards against a new holder that has no record of recent orders.
        simulation = ScalingSimulation(4, scaling())
        simulation.run_for(STARTUP_S, NORMAL_LOAD)
        simulation.planner = ServerPlanner("engines")
        order_count = len(simulation.orders)
        simulation.run_for(4.0, NORMAL_LOAD)
        decreases = [
            order
            for _, order in simulation.orders[order_count:]
            if order.count < simulation.there(order.zone, order.preemptible)
        ]
        self.assertEqual(decreases, [])

    def test_new_holder_orders_no_additional_servers(self) -> None:
        # Guards against a doubling of servers with each change of the holder.
        simulation = ScalingSimulation(4, scaling(max_servers=30))
        simulation.run_for(STARTUP_S, NORMAL_LOAD)
        there = simulation.there()
        for work in (NORMAL_LOAD, 0.0):
            simulation.planner = ServerPlanner("engines")
            simulation.run_for(10.0, work)
            self.assertLessEqual(simulation.there(), there)

    def test_no_orders_based_on_the_first_rows(self) -> None:
        # Guards against a holder that sees the rows of four out of 45 starting
        # servers, takes these for all, and removes the others.
        simulation = ScalingSimulation(4, scaling())
        late = simulation.hide_rows(10)
        simulation.run_for(1.0, 0.0)
        simulation.show(late)
        simulation.run_for(STARTUP_S, 0.0)
        self.assertGreaterEqual(simulation.there(), 24)
        self.assertGreaterEqual(simulation.min_running, 2)

    def test_late_row_counts(self) -> None:
        simulation = ScalingSimulation(4, scaling())
        late = simulation.hide_rows(3)
        simulation.run_for(4.0, 0.0)
        simulation.show(late)
        simulation.run_for(STARTUP_S, 0.0)
        self.assertEqual(simulation.planner.target, 24)

    def test_without_preemptible_servers(self) -> None:
        simulation = ScalingSimulation(4, scaling(preemptible_price=None))
        simulation.run_for(STARTUP_S, NORMAL_LOAD)
        self.assertTrue(all(not x.preemptible for _, x in simulation.orders))
        self.assertGreaterEqual(simulation.there(), 12)


class BurstTest(unittest.TestCase):
    """Long prompts at three times their rate for nine seconds."""

    def test_spare_servers_before_a_burst(self) -> None:
        # A burst is over before a server ordered for it has booted, so there
        # must be enough servers beforehand.
        simulation = ScalingSimulation(4, scaling())
        simulation.run_for(STARTUP_S + 5.0, NORMAL_LOAD)
        self.assertGreaterEqual(simulation.there(), BURST_LOAD)

    def test_fewer_spare_servers_at_full_price(self) -> None:
        simulation = ScalingSimulation(4, scaling(preemptible_price=None))
        simulation.run_for(60.0, NORMAL_LOAD)
        self.assertLessEqual(simulation.there(), 2 * NORMAL_LOAD)

    def test_surplus_is_removed_after_a_while(self) -> None:
        simulation = ScalingSimulation(4, scaling())
        simulation.run_for(STARTUP_S, NORMAL_LOAD)
        simulation.run_for(9.0, BURST_LOAD)
        simulation.run_for(60.0, 2.0)
        self.assertLess(simulation.there(), 12)

    def test_periodic_load_removes_none(self) -> None:
        # Guards against cold caches after each cycle of a periodic load.
        simulation = ScalingSimulation(4, scaling())
        simulation.run_for(STARTUP_S, NORMAL_LOAD)
        order_count = len(simulation.orders)
        for _ in range(6):
            simulation.run_for(5.0, NORMAL_LOAD * 0.73)
            simulation.run_for(6.0, NORMAL_LOAD * 1.27)
        self.assertEqual(simulation.orders[order_count:], [])


class WithdrawalTest(unittest.TestCase):
    """A zone's preemptible servers are withdrawn and unavailable for 10 s."""

    def setUp(self) -> None:
        self.simulation = ScalingSimulation(4, scaling())
        self.simulation.run_for(STARTUP_S, NORMAL_LOAD)

    def test_on_demand_servers_replace_withdrawn_ones(self) -> None:
        self.simulation.run_for(5.0, BURST_LOAD)
        self.simulation.withdraw_zone("b", 10.0)
        self.simulation.run_for(6.0, BURST_LOAD)
        self.assertGreaterEqual(self.simulation.there(), 22)

    def test_no_replacement_while_the_rest_suffices(self) -> None:
        self.simulation.withdraw_zone("b", 10.0)
        self.simulation.run_for(10.0, NORMAL_LOAD)
        self.assertEqual(self.simulation.there(preemptible=False), 0)

    def test_preemptible_servers_return(self) -> None:
        self.simulation.run_for(5.0, BURST_LOAD)
        self.simulation.withdraw_zone("b", 10.0)
        self.simulation.run_for(40.0, BURST_LOAD)
        self.assertEqual(self.simulation.there("b", True), 8)

    def test_orders_are_few(self) -> None:
        # Guards against orders that undo each other in consecutive rounds.
        order_count = len(self.simulation.orders)
        self.simulation.run_for(5.0, BURST_LOAD)
        self.simulation.withdraw_zone("b", 10.0)
        self.simulation.run_for(5.0, BURST_LOAD)
        self.simulation.withdraw_zone("a", 10.0)
        self.simulation.run_for(30.0, BURST_LOAD)
        self.assertLess(len(self.simulation.orders) - order_count, 40)


class BoundsTest(unittest.TestCase):
    """The configured bounds hold for all orders."""

    def check(self, simulation: ScalingSimulation) -> None:
        """Asserts the bounds of all orders."""
        held = {(zone, False): 4 for zone in ZONES}
        for _, order in simulation.orders:
            held[(order.zone, order.preemptible)] = order.count
            total = sum(held.get((order.zone, kind), 0) for kind in (0, 1))
            self.assertLessEqual(total, simulation.allowed.max_servers)

    def test_upper_bound_of_both_kinds_together(self) -> None:
        simulation = ScalingSimulation(4, scaling())
        simulation.run_for(STARTUP_S, NORMAL_LOAD)
        simulation.run_for(5.0, 100.0)
        simulation.withdraw_zone("c", 10.0)
        simulation.run_for(40.0, 100.0)
        self.check(simulation)

    def test_lower_bound(self) -> None:
        simulation = ScalingSimulation(4, scaling(min_servers=2))
        simulation.run_for(STARTUP_S, NORMAL_LOAD)
        simulation.run_for(90.0, 0.1)
        for zone in ZONES:
            self.assertGreaterEqual(simulation.there(zone), 2)

    def test_changed_bounds_apply_at_once(self) -> None:
        simulation = ScalingSimulation(4, scaling())
        simulation.run_for(STARTUP_S, NORMAL_LOAD)
        simulation.allowed = scaling(max_servers=3)
        simulation.run_for(3.0, NORMAL_LOAD)
        self.assertLessEqual(simulation.there(), 9)

    def test_cheaper_zone_gets_the_remainder(self) -> None:
        planner = ServerPlanner("engines")
        orders = planner.plan(scaling(), [], 1.0, now=0.0)
        counts = {x.zone: x.count for x in orders if x.preemptible}
        self.assertGreaterEqual(counts["b"], counts["c"])
        self.assertIsInstance(orders[0], ServerOrder)


if __name__ == "__main__":
    unittest.main()
