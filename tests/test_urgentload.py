"""Urgent kinds beside long requests: steady demand, bursts and crashes."""

import dataclasses
import types
import unittest

from jasminerelay.scheduling import urgentload
from jasminerelay.scheduling.demandforecast import DemandForecast
from jasminerelay.scheduling.urgentload import (
    NONE_BORROWED,
    BorrowedServer,
    BorrowedServers,
    PlacementPace,
    UrgentKind,
)
from jasminerelay.schema.messages import RouteDemand
from tests.urgentworld import LOST_SHARE, Burst, Crash, Kind, UrgentWorld

QUERY = Kind("query", 0, 10.0, 600, 100, 0.32, 5.0)
CHECK = Kind("check", 1, 8.0, 1800, 40, 0.52, 3.1)
SUMMARY = Kind("summary", 2, 10.5, 12_000, 150, 2.0, 12.3)
KINDS = (QUERY, CHECK, SUMMARY)
STEADY = (QUERY, CHECK, dataclasses.replace(SUMMARY, rate=7.0))
"""Two thirds of what ten servers can do."""

SPEEDS = (0.7, 0.7, 1.7) + 7 * (1.0,)
SEEDS = (1, 2, 3)

SHORT = Kind("query", 0, 9.4, 400, 40, 0.5, 5.0)
LONG = Kind("long", 2, 3.0, 6000, 150, 2.0, 12.3)


def overload(
    seed: int, instances: int = 6, world: type[UrgentWorld] = UrgentWorld
) -> UrgentWorld:
    """Both kinds in a burst at once at four servers, of which two crash."""
    return world(
        (SHORT, LONG),
        4 * (1.0,),
        instances,
        load_s=30.0,
        bursts=(Burst("long", 4.0, 16.0, 3.0), Burst("query", 4.0, 12.0, 6.0)),
        crashes=(Crash((2, 3), 6.0, 9.0),),
        seed=seed,
    ).play()


def demand(long: float, short: float, waiting: int = 0) -> DemandForecast:
    """Returns demand of a long and a short kind that exceeds the capacity."""
    found = (
        RouteDemand("long", long, 6000.0, 2),
        RouteDemand("short", short, 400.0, 0, waiting=waiting),
    )
    return DemandForecast(found, overloaded=True)


class BorrowTest(unittest.TestCase):
    """Which servers a kind borrows."""

    GROUPS = types.MappingProxyType({"long": ("a", "b", "c"), "short": ("d",)})
    NEEDS = types.MappingProxyType(
        {"long": UrgentKind(2.0, 0), "short": UrgentKind(0.5, 2)}
    )

    def borrow(self, found: DemandForecast, **speeds: float) -> BorrowedServers:
        return urgentload.borrow(found, self.GROUPS, speeds, self.NEEDS)

    def test_nothing_without_overload(self) -> None:
        # Guards against decisions that change while there is room for all.
        found = dataclasses.replace(demand(1.0, 2.0), overloaded=False)
        self.assertIs(self.borrow(found), NONE_BORROWED)

    def test_nothing_if_its_servers_suffice(self) -> None:
        # Guards against long requests that lose servers which nobody needs.
        borrowed = self.borrow(demand(9.0, 0.8))
        self.assertEqual(dict(borrowed.by_kind), {})
        self.assertEqual(set(borrowed.servers), {"d"})

    def test_as_much_as_it_needs(self) -> None:
        # Guards against an urgent kind on one server that needs 2.4 while
        # longer and less urgent requests begin at three others.
        borrowed = self.borrow(demand(9.0, 2.0))
        self.assertEqual(borrowed.by_kind, {"short": {"b", "c"}})
        self.assertEqual(borrowed.servers["c"].spare, 0.0)
        self.assertAlmostEqual(borrowed.servers["b"].spare, 0.65, delta=0.01)
        self.assertEqual(borrowed.servers["b"].slots, 2)

    def test_slow_servers_count_less(self) -> None:
        borrowed = self.borrow(demand(9.0, 2.0), c=0.5)
        self.assertAlmostEqual(borrowed.servers["b"].spare, 0.15, delta=0.01)

    def test_less_urgent_kinds_borrow_nothing(self) -> None:
        borrowed = self.borrow(demand(9.0, 0.1))
        self.assertNotIn("long", borrowed.by_kind)
        self.assertEqual(borrowed.urgent, {"short"})

    def test_kind_without_a_group(self) -> None:
        # Guards against a kind that appears between two splits.
        found = demand(9.0, 2.0)
        new = RouteDemand("new", 1.0, 100.0, 3)
        found = dataclasses.replace(found, demand=(*found.demand, new))
        self.assertEqual(self.borrow(found).by_kind, {"short": {"b", "c"}})


class AdmissionTest(unittest.TestCase):
    """Which less urgent requests begin at a borrowed server."""

    SERVER = BorrowedServer(0, 0.5, spare=0.4, slots=2)

    def admits(self, running=5, pending_s=0.0, own_s=0.3, spread=0.9, **fields):
        return self.SERVER.admits(running, pending_s, own_s, spread, **fields)

    def test_uses_what_is_left(self) -> None:
        # Guards against capacity that stays idle although it is not needed.
        self.assertTrue(self.admits())
        self.assertTrue(self.admits(running=0, own_s=5.0))

    def test_waits_behind_pending_prefill(self) -> None:
        self.assertFalse(self.admits(pending_s=0.05))

    def test_long_prompt_only_in_the_spare_part(self) -> None:
        # Guards against a prompt whose prefill alone makes every urgent request
        # behind it late.
        self.assertFalse(self.admits(own_s=0.6))
        self.assertTrue(self.admits(own_s=0.6, spread=0.3))

    def test_waits_while_urgent_requests_wait_anywhere(self) -> None:
        # Guards against long requests that begin at one instance while urgent
        # ones wait at another.
        self.assertFalse(self.admits(running=0, waiting=True))

    def test_floor(self) -> None:
        # Guards against a kind that gets nothing for as long as more urgent
        # ones need everything.
        self.assertTrue(self.admits(pending_s=0.4, spread=0.01, waiting=True))


class PaceTest(unittest.TestCase):
    """Placements of several instances between two load reports."""

    def test_free_slots_are_divided(self) -> None:
        # Guards against instances that all fill the same free slots.
        for free in (1, 4, 20):
            total = 0
            for instance in range(60):
                pace = PlacementPace()
                for number in range(40):
                    name = f"{instance}-{number}"
                    if pace.allows("s", name, free - number, 6, 10.01):
                        pace.record("s", name, 10.01)
                        total += 1
            self.assertLess(abs(total / 10 - free), 0.35 * free + 1)

    def test_placements_before_the_last_report(self) -> None:
        # Guards against an interval that begins before the reports of the last
        # one have come.
        pace = PlacementPace()
        for number in range(4):
            pace.record("s", str(number), 10.05)
        self.assertFalse(pace.allows("s", "a", 8, 6, 10.11))
        self.assertTrue(pace.allows("s", "a", 8, 6, 10.31))

    def test_single_instance_needs_no_pace(self) -> None:
        pace = PlacementPace()
        pace.record("s", "a", 10.0)
        self.assertTrue(pace.allows("s", "b", 0, 1, 10.0))
        self.assertTrue(pace.has_turn("s", "b", 1, 10.0))


class OverloadTest(unittest.TestCase):
    """Six instances, four servers of which two crash, both kinds in a burst."""

    def test_urgent_kind_comes_first(self) -> None:
        # Guards against most urgent requests that are refused while longer and
        # less urgent ones go on beginning, and against a long kind that is
        # starved for it.
        world = overload(seed=1)
        self.assertLessEqual(world.displaced("query"), LOST_SHARE)
        self.assertGreaterEqual(world.served_share("query"), 0.95)
        self.assertGreaterEqual(
            world.served_share("long"), 0.25 * world.served_share()
        )


class SteadyTest(unittest.TestCase):
    """Demand that does not change and that the servers can meet."""

    def test_all_are_served(self) -> None:
        # Guards against a world that is overloaded without a burst.
        world = UrgentWorld(KINDS, SPEEDS, 3, load_s=10.0).play()
        for kind in KINDS:
            self.assertEqual(world.served_share(kind.name), 1.0)
            self.assertGreater(world.in_time_share(kind.name), 0.95)


if __name__ == "__main__":
    unittest.main()
