"""Urgent kinds beside long requests: steady demand, bursts and crashes."""

import dataclasses
import unittest

from tests.urgentworld import Burst, Crash, Kind, UrgentWorld

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


def page_load(instances: int, seed: int) -> UrgentWorld:
    """Long prompts, then urgent ones, then long ones; two servers crash.

    The servers that crash are those of the urgent kind.
    """
    bursts = (
        Burst("summary", 2.0, 9.0, 2.8),
        Burst("query", 11.0, 5.0, 2.6),
        Burst("summary", 16.0, 9.0, 2.8),
    )
    crashes = (Crash((8,), 10.0, 9.0), Crash((9,), 12.0, 9.0))
    return UrgentWorld(
        KINDS,
        SPEEDS,
        instances,
        load_s=28.0,
        bursts=bursts,
        crashes=crashes,
        seed=seed,
    ).play()


def overload(seed: int) -> UrgentWorld:
    """Both kinds in a burst at once at four servers, of which two crash."""
    return UrgentWorld(
        (SHORT, LONG),
        4 * (1.0,),
        6,
        load_s=30.0,
        bursts=(Burst("long", 4.0, 16.0, 3.0), Burst("query", 4.0, 12.0, 6.0)),
        crashes=(Crash((2, 3), 6.0, 9.0),),
        seed=seed,
    ).play()


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
