"""Urgent requests at engines with memory that preempt, under overload."""

import itertools
import unittest
import unittest.mock

from jasminerelay.catalog import Prompt, PromptPart
from tests import engineworld
from tests.engineworld import (
    CONTACT_S,
    KINDS,
    SLOTS,
    STEP_S,
    Engine,
    EngineWorld,
    Run,
    Served,
)
from tests.test_placing import call

OVERLOAD = {"chat": 14.0, "check": 18.0, "sheet": 14.0}
"""Requests a second that are a little more than six engines bear."""

RESTART_AT = 5.0
SETTLED_S = RESTART_AT + 2 * CONTACT_S
BUSY_OWNER_S = 0.03
"""Mean time that a message to or from a busy owner takes beyond the latency."""

MAX_WRONGLY_PREEMPTED = 9


def times(factor: float) -> dict[str, float]:
    """Returns the load of `OVERLOAD` times a factor."""
    return {name: factor * rate for name, rate in OVERLOAD.items()}


class PreemptionTest(unittest.TestCase):
    """Which requests a full engine preempts."""

    def test_less_urgent_requests_go_first(self) -> None:
        # Guards against checks that are preempted while sheets run on.
        known = engineworld.make_registry(1)
        routes = {route.name: route for route in known.catalog.routes}
        engine = Engine()
        numbers = itertools.count()

        def submit(name: str) -> None:
            kind = KINDS[name]
            part = PromptPart("own", kind.tokens)
            prompt = Prompt((part,), kind.tokens, kind.output, None)
            item = call(f"c{next(numbers)}", route=routes[name], prompt=prompt)
            engine.submit(
                Run(
                    Served(name, item, 0.0),
                    unittest.mock.MagicMock(),
                    unittest.mock.MagicMock(),
                    engineworld.urgency_of(known, routes[name]),
                    kind.output,
                    0.0,
                    kind.tokens,
                )
            )

        for number in range(2000):
            if number % 20 == 0:
                for name in ("sheet", "check", "chat"):
                    submit(name)
            engine.advance(number * STEP_S)
        self.assertGreater(engine.preempted, MAX_WRONGLY_PREEMPTED)
        self.assertEqual(engine.wrongly_preempted, 0)


class MassRestartTest(unittest.TestCase):
    """All engines but one end at once and come back, empty, after a while."""

    def test_engines_get_no_more_than_they_bear(self) -> None:
        # Guards against instances that take busy owners for dead, and fill
        # engines that each of them believes to be idle.
        for seed in (1, 2):
            world = EngineWorld(60, 10, times(1.6), seed, BUSY_OWNER_S)
            world.run(14.0, RESTART_AT)
            self.assertLessEqual(world.most, SLOTS, f"seed {seed}")

    def check_urgent_requests(self, instances: int) -> None:
        """Checks that urgent requests are served after the restart."""
        world = EngineWorld(instances, 6, OVERLOAD, 1)
        world.run(24.0, RESTART_AT)
        self.assertEqual(world.unserved(SETTLED_S), [])

    def test_owners_serve_urgent_requests(self) -> None:
        # Guards against urgent requests that get nothing while longer ones
        # begin at the engines that have come back.
        self.check_urgent_requests(26)

    def test_eight_instances_serve_urgent_requests(self) -> None:
        # The same where instances place by loads that are told late.
        self.check_urgent_requests(8)


class PlainOverloadTest(unittest.TestCase):
    """Somewhat more load than the engines bear, and no fault."""

    def check(self, instances: int, answer_s: float = 0.0) -> None:
        """Runs the load at some instances."""
        for seed in (1, 2):
            world = EngineWorld(instances, 6, OVERLOAD, seed, answer_s)
            world.run(20.0)
            self.assertEqual(world.unserved(3.0), [], f"seed {seed}")

    def test_three_instances(self) -> None:
        # Guards against urgent requests that get nothing while longer ones
        # begin at engines of their own.
        self.check(3)

    def test_eight_instances(self) -> None:
        # The same where more instances place by loads that are told late.
        self.check(8)

    def test_owners_of_cells(self) -> None:
        # The same where the owners of cells place all requests.
        self.check(26)

    def test_busy_owners_of_cells(self) -> None:
        # The same where owners take long for their answers.
        self.check(26, BUSY_OWNER_S)
