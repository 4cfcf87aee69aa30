"""Tests the split of servers by request kind."""

import unittest

from jasminerelay.groups import (
    DemandMeter,
    ResourceNeed,
    ServerSplit,
    TotalDemand,
)
from jasminerelay.schema.messages import RouteDemand

SERVERS = tuple(f"s{number}" for number in range(6))


def kinds(long: float, mid: float, short: float) -> list[RouteDemand]:
    """Returns demand of three kinds; longer prompts have a lower rank."""
    return [
        RouteDemand("long", long, 6600.0, 2),
        RouteDemand("mid", mid, 1800.0, 1),
        RouteDemand("short", short, 630.0, 0),
    ]


class SplitTest(unittest.TestCase):
    """The split of one service's servers."""

    def sizes(self, split: ServerSplit) -> tuple[int, ...]:
        return tuple(len(split.group(k)) for k in ("long", "mid", "short"))

    def test_kinds_are_separated(self) -> None:
        # Prefill of a long prompt would lengthen the pauses of short streams.
        split = ServerSplit()
        split.update(SERVERS, kinds(2.0, 0.4, 0.6))
        groups = [set(split.group(k)) for k in ("long", "mid", "short")]
        self.assertEqual(set.union(*groups), set(SERVERS))
        self.assertEqual(sum(map(len, groups)), len(SERVERS))
        self.assertEqual(self.sizes(split), (4, 1, 1))

    def test_burst_of_the_highest_rank(self) -> None:
        # More work than servers: the first rank gets more than its share of the
        # work, and the lowest keeps most of its share.
        split = ServerSplit()
        split.update(SERVERS, kinds(6.0, 0.6, 3.4))
        long, mid, short = self.sizes(split)
        self.assertGreaterEqual(short, 2)
        self.assertGreaterEqual(long, 2)
        self.assertEqual(mid, 1)

    def test_urgent_kind_is_rounded_up_under_overload(self) -> None:
        # Guards against the most urgent kind on two servers that need 2.6,
        # beside a burst of long prompts that more than fills the rest.
        servers = tuple(f"s{number}" for number in range(10))
        split = ServerSplit()
        split.update(servers, kinds(19.2, 2.3, 2.2))
        self.assertEqual(len(split.group("short")), 3)
        # The burst ends: the third server goes back where it is needed.
        split.update(servers, kinds(6.0, 0.8, 0.5))
        self.assertEqual(len(split.group("short")), 1)

    def test_urgent_burst_gets_its_server_within_one_update(self) -> None:
        # Guards against a burst of the urgent kind that is served by too few
        # servers for as long as its need is less than 0.7 of one more.
        servers = tuple(f"s{number}" for number in range(10))
        split = ServerSplit()
        split.update(servers, kinds(19.2, 2.3, 1.7))
        self.assertEqual(len(split.group("short")), 2)
        split.update(servers, kinds(19.2, 2.3, 2.2))
        self.assertEqual(len(split.group("short")), 3)

    def test_small_fluctuations_change_nothing(self) -> None:
        split = ServerSplit()
        split.update(SERVERS, kinds(2.0, 0.4, 0.6))
        before = dict(split.groups)
        for factor in (0.9, 1.1, 0.95, 1.05):
            self.assertFalse(
                split.update(SERVERS, kinds(2.0 * factor, 0.4, 0.6 / factor))
            )
        self.assertEqual(split.groups, before)

    def test_servers_count_by_speed(self) -> None:
        # Guards against a kind that gets half of the servers and a quarter of
        # the capacity, since its servers are the slow ones.
        servers = tuple(f"s{number}" for number in range(8))
        speeds = {"s0": 0.5, "s1": 0.5, "s2": 0.5, "s3": 0.5}
        demand = [
            RouteDemand("long", 3.0, 6600.0, 1),
            RouteDemand("short", 3.0, 630.0, 0),
        ]
        split = ServerSplit()
        split.update(servers, demand)
        self.assertEqual(split.group("long"), servers[:4])
        split.update(servers, demand, speeds)
        self.assertEqual(split.group("long"), servers[:5])
        self.assertEqual(split.group("short"), servers[5:])

    def test_uneven_speeds_leave_no_kind_without_a_server(self) -> None:
        for slow in SERVERS:
            split = ServerSplit()
            split.update(SERVERS, kinds(2.0, 0.4, 0.6), {slow: 0.25})
            groups = [split.group(k) for k in ("long", "mid", "short")]
            self.assertTrue(all(groups))
            self.assertEqual(sum(map(len, groups)), len(SERVERS))

    def test_small_changes_of_speed_change_nothing(self) -> None:
        split = ServerSplit()
        split.update(SERVERS, kinds(2.0, 0.4, 0.6), {"s0": 0.5})
        for speed in (0.45, 0.55, 0.6):
            changed = split.update(SERVERS, kinds(2.0, 0.4, 0.6), {"s0": speed})
            self.assertFalse(changed)

    def test_added_server_changes_few_groups(self) -> None:
        split = ServerSplit()
        split.update(SERVERS, kinds(2.0, 0.4, 0.6))
        before = set(split.group("long"))
        split.update((*SERVERS, "s9"), kinds(2.0, 0.4, 0.6))
        kept = before & set(split.group("long"))
        self.assertGreaterEqual(len(kept), len(before) - 1)

    def test_fewer_servers_than_kinds(self) -> None:
        for count in (1, 2):
            split = ServerSplit()
            split.update(SERVERS[:count], kinds(2.0, 0.4, 0.6))
            for kind in ("long", "mid", "short"):
                self.assertTrue(split.group(kind), (count, kind))

    def test_no_servers_and_no_demand(self) -> None:
        split = ServerSplit()
        split.update((), kinds(1.0, 1.0, 1.0))
        self.assertEqual(split.group("long"), ())
        split.update(SERVERS, [])
        self.assertEqual(split.group("long"), ())

    def test_same_reports_same_split(self) -> None:
        # Instances do not coordinate; the same reports must give the same
        # split, in whatever order they came.
        one, other = ServerSplit(), ServerSplit()
        one.update(SERVERS, kinds(3.0, 0.5, 1.5))
        other.update(SERVERS[::-1], kinds(3.0, 0.5, 1.5)[::-1])
        self.assertEqual(one.groups, other.groups)


class DemandTest(unittest.TestCase):
    """Measurement of demand."""

    def test_rises_faster_than_it_falls(self) -> None:
        meter = DemandMeter()
        meter.tick(0.0)
        for step in range(1, 21):
            for _ in range(5):
                meter.record("pool", "long", 2, ResourceNeed(1000, 0, 1000))
            meter.tick(step / 10)
        (high,) = meter.demand(lambda service, need: need.unread / 10_000)
        self.assertGreater(high.work, 4.0)
        for step in range(21, 31):
            meter.tick(step / 10)
        (later,) = meter.demand(lambda service, need: need.unread / 10_000)
        self.assertGreater(later.work, high.work * 0.8)

    def test_sums_instances_and_drops_old_reports(self) -> None:
        view = TotalDemand()
        report = [RouteDemand("pool/long", 1.0, 1000.0, 2)]
        view.update("a", report, 0.0)
        view.update("b", report, 2.5)
        self.assertEqual(view.total("pool", 2.6)[0].work, 2.0)
        self.assertEqual(view.total("pool", 4.0)[0].work, 1.0)
        self.assertEqual(view.total("other", 4.0), [])


if __name__ == "__main__":
    unittest.main()
