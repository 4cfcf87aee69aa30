"""Forecast of each kind's demand from the arrivals of the last seconds."""

import random
import unittest
import unittest.mock

import msgspec

from jasminerelay import peermessages
from jasminerelay.groups import DemandMeter, ResourceNeed, TotalDemand
from jasminerelay.scheduling.demandforecast import (
    DemandForecast,
    DemandForecaster,
    RecentArrivals,
)
from jasminerelay.schema.messages import DemandColumns, RouteDemand
from tests.test_urgentload import SPEEDS, STEADY
from tests.urgentworld import UrgentWorld

RATE = 60.0
CAPACITY = 5.0
REQUEST_S = 0.1
INTERVAL_S = 0.1


def busy_s(service: str, need: ResourceNeed) -> float:
    """Returns the engine time of a request."""
    return REQUEST_S


class Instances:
    """Instances that measure one kind and report it to each other."""

    def __init__(self, count: int, seed: int = 1):
        self.meters = [DemandMeter() for _ in range(count)]
        self.total = TotalDemand()
        self.forecaster = DemandForecaster()
        self.silent: set[int] = set()
        self._rng = random.Random(seed)
        self.forecast = DemandForecast()
        self.now = self._next_at = self._ticked_at = 100.0

    def run(self, seconds: float, rate: float, capacity: float) -> list[bool]:
        """Returns whether the kind was rising after each interval."""
        found = []
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += INTERVAL_S
            while self._next_at <= self.now:
                meter = self._rng.choice(self.meters)
                need = ResourceNeed(600, 100, 700)
                meter.record("pool", "query", 0, need, self._next_at)
                self._next_at += self._rng.expovariate(rate)
            if self.now - self._ticked_at >= 0.5 - 1e-9:
                self._ticked_at = self.now
                for meter in self.meters:
                    meter.tick(self.now)
            for number, meter in enumerate(self.meters):
                if number not in self.silent:
                    demand = meter.demand(busy_s, self.now)
                    self.total.update(str(number), demand, self.now)
            self.forecast = self.forecaster.update(
                self.total.total("pool", self.now), capacity, self.now
            )
            found.append(bool(self.forecast.rising))
        return found


class ForecastTest(unittest.TestCase):
    """When the forecast exceeds the average; a request takes 0.1 s."""

    def test_burst_is_seen_within_300_ms(self) -> None:
        # Guards against a split that follows a burst of five seconds only
        # after one or two of them.
        for seed in range(10):
            group = Instances(3, seed)
            group.run(20.0, RATE, 100.0)
            rising = group.run(0.3, 2.8 * RATE, CAPACITY)
            self.assertTrue(any(rising), seed)
            (item,) = group.forecast.demand
            self.assertGreater(item.work, 1.5 * RATE * REQUEST_S)

    def test_steady_demand_has_its_average(self) -> None:
        # Guards against a split that changes with chance while there is
        # capacity for all.
        rising = Instances(3).run(300.0, RATE, 1.5 * RATE * REQUEST_S)
        self.assertEqual(sum(rising), 0)

    def test_silent_instance_drops_out(self) -> None:
        # Guards against a forecast from old reports: the burst of an instance
        # counts for a second, its average for three.
        group = Instances(2)
        group.run(20.0, RATE, 100.0)
        group.run(0.5, 4 * RATE, 1.0)
        with_both = group.forecast.demand[0]
        group.silent = {1}
        group.run(1.1, RATE, 1.0)
        later = group.total.total("pool", group.now)[0]
        self.assertLess(later.requests, with_both.requests)
        self.assertLess(later.recent, 1.5 * RATE * REQUEST_S)
        group.run(2.0, RATE, 1.0)
        (item,) = group.total.total("pool", group.now)
        (own,) = group.meters[0].demand(busy_s, group.now)
        self.assertEqual((item.work, item.requests), (own.work, own.requests))

    def test_arrivals_expire(self) -> None:
        recent = RecentArrivals()
        for _ in range(5):
            recent.record(10.0)
        self.assertEqual(recent.count(10.25), 5)
        self.assertEqual(recent.count(10.4), 0)


class ReportTest(unittest.TestCase):
    """Reports of demand between instances of two versions."""

    def test_report_of_the_previous_version(self) -> None:
        # Guards against reports that are rejected since they lack the recent
        # arrivals.
        old = DemandColumns(["pool/query"], [1.0], [600.0], [0])
        self.assertEqual(
            peermessages.demand_rows(old),
            [RouteDemand("pool/query", 1.0, 600.0, 0, 0, 0)],
        )

    def test_round_trip(self) -> None:
        rows = [RouteDemand("pool/query", 1.0, 600.0, 0, 2.5, 7)]
        columns = peermessages.demand_columns(rows)
        data = msgspec.msgpack.encode(columns)
        received = msgspec.msgpack.decode(data, type=DemandColumns)
        self.assertEqual(peermessages.demand_rows(received), rows)


class SteadyTest(unittest.TestCase):
    """Steady demand in the world of several kinds."""

    def test_decisions_are_the_same(self) -> None:
        # Guards against placements that depend on the forecast while the
        # servers have capacity for all.
        def average(forecaster, measured, capacity, now) -> DemandForecast:
            return DemandForecast(tuple(measured))

        for instances in (1, 3):
            with self.subTest(instances=instances):
                found = UrgentWorld(STEADY, SPEEDS, instances, load_s=20).play()
                with unittest.mock.patch.object(
                    DemandForecaster, "update", average
                ):
                    plain = UrgentWorld(STEADY, SPEEDS, instances, load_s=20)
                    plain.play()
                self.assertEqual(found.placed, plain.placed)


if __name__ == "__main__":
    unittest.main()
