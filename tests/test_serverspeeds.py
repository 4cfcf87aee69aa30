"""Tests the speed estimates of backend servers."""

import random
import unittest
import unittest.mock

from jasminerelay.scheduling import serverspeeds
from jasminerelay.scheduling.servercapacity import ServerCapacities, StatedLoad
from jasminerelay.scheduling.serverspeeds import ServerSpeeds


class Evidence:
    """Responses of servers, six a second of each, with scattered times."""

    def __init__(self, factors: dict[str, float], scatter: float = 0.25):
        self.speeds = ServerSpeeds()
        self.factors = factors
        self.now = 100.0
        self._scatter = scatter
        self._rng = random.Random(1)

    def run(self, seconds: float, **momentary: float) -> None:
        """Adds the responses of some seconds.

        Args:
            seconds: How long.
            **momentary: Momentary slowdown by server.
        """
        end = self.now + seconds
        while self.now < end:
            self.now += 1 / 6
            for server, factor in self.factors.items():
                scatter = self._rng.lognormvariate(0.0, self._scatter)
                ratio = factor * momentary.get(server, 1.0) * scatter
                self.speeds.record_response(server, "first", ratio, self.now)

    def slowness(self, server: str) -> float:
        """Returns the present estimate."""
        return self.speeds.slowness(server, self.now)


class LastingFactorTest(unittest.TestCase):
    """The lasting factor, from a server's own responses."""

    FACTORS = {"a": 1.43, "b": 1.43, "c": 0.59, "d": 1.0, "e": 1.0, "f": 1.0}

    def test_servers_of_different_speed(self) -> None:
        evidence = Evidence(self.FACTORS)
        evidence.run(15.0)
        for server, factor in self.FACTORS.items():
            found = evidence.slowness(server)
            self.assertLess(abs(found / factor - 1), 0.25, server)

    def test_equal_servers(self) -> None:
        # Guards against noise that changes the placements on equal servers.
        evidence = Evidence(dict.fromkeys("abcdefgh", 1.0))
        for _ in range(600):
            evidence.run(0.1)
            found = {evidence.slowness(server) for server in "abcdefgh"}
            self.assertEqual(found, {1.0})

    def test_equal_servers_with_scattered_times(self) -> None:
        evidence = Evidence(dict.fromkeys("abcdefgh", 1.0), scatter=0.5)
        for _ in range(300):
            evidence.run(0.2)
            for server in "abcdefgh":
                found = evidence.speeds.lasting(server, evidence.now)
                self.assertEqual(found, 1.0)

    def test_slowdown_of_all_servers(self) -> None:
        # A burst, or a new fit of the model of the engines, makes the responses
        # of all servers longer; none of them is slower than its peers.
        evidence = Evidence(dict.fromkeys("abcd", 1.0))
        evidence.run(10.0)
        for _ in range(20):
            evidence.run(0.5, a=2.0, b=2.0, c=2.0, d=2.0)
            # The responses of the first moments are not yet those of all.
            if evidence.now > 112.5:
                found = {evidence.slowness(server) for server in "abcd"}
                self.assertEqual(found, {1.0})

    def test_single_slow_responses(self) -> None:
        evidence = Evidence(dict.fromkeys("abcd", 1.0))
        evidence.run(10.0)
        evidence.speeds.record_response("a", "first", 50.0, evidence.now)
        self.assertEqual(evidence.slowness("a"), 1.0)

    def test_silent_server(self) -> None:
        # Guards against a server that gets nothing since it looked slow, and is
        # never measured again: without responses its factor returns to 1.0.
        evidence = Evidence(self.FACTORS)
        evidence.run(15.0)
        self.assertGreater(evidence.slowness("a"), 1.2)
        del evidence.factors["a"]
        evidence.run(60.0)
        self.assertEqual(evidence.slowness("a"), 1.0)

    def test_restart_under_the_same_name(self) -> None:
        # Guards against a server that starts again, perhaps on another machine,
        # with the estimate of its former life.
        evidence = Evidence(self.FACTORS)
        evidence.run(15.0)
        evidence.speeds.forget("a")
        self.assertEqual(evidence.slowness("a"), 1.0)

    def test_no_history(self) -> None:
        # Guards against an owner that starts without history and takes its
        # first responses for lasting speeds: it begins with equal servers and
        # knows the speeds after some seconds.
        evidence = Evidence(self.FACTORS)
        evidence.run(1.0)
        found = {evidence.slowness(server) for server in self.FACTORS}
        self.assertEqual(found, {1.0})
        evidence.run(7.0)
        self.assertGreater(evidence.slowness("a"), 1.2)
        self.assertLess(evidence.slowness("c"), 0.8)


class MomentaryFactorTest(unittest.TestCase):
    """The momentary factor, from statements and recent responses."""

    def setUp(self) -> None:
        self.evidence = Evidence(dict.fromkeys("abcdef", 1.0))
        self.evidence.run(10.0)

    def state(self, slowdown: float, age_s: float = 0.0) -> None:
        """Records a statement of server a."""
        self.evidence.speeds.record_statement(
            "a", slowdown, age_s, self.evidence.now
        )

    def test_statement_fades(self) -> None:
        self.state(2.5)
        self.assertAlmostEqual(self.evidence.slowness("a"), 2.5)
        now = self.evidence.now
        self.assertAlmostEqual(
            self.evidence.speeds.slowness("a", now + 0.3), 2.5**0.5
        )
        self.assertEqual(self.evidence.speeds.slowness("a", now + 1.0), 1.0)

    def test_late_statement(self) -> None:
        # Guards against a statement that was delayed on its way and overrides a
        # later one.
        self.state(1.0)
        self.state(2.5, age_s=0.4)
        self.assertEqual(self.evidence.slowness("a"), 1.0)
        self.state(2.5, age_s=serverspeeds.STATEMENT_MAX_AGE_S)
        self.assertEqual(self.evidence.slowness("a"), 1.0)

    def test_lying_server(self) -> None:
        # Guards against a server that is starved, or flooded, since it states a
        # slowdown or a speed-up that its responses do not show.
        for stated in (3.0, 0.4):
            with self.subTest(stated=stated):
                self.setUp()
                for _ in range(40):
                    # A lie that never changes would count as its usual
                    # statement.
                    self.state(1.0)
                    self.state(stated)
                    self.evidence.run(1 / 6)
                self.state(stated)
                estimate = self.evidence.speeds.estimate("a", self.evidence.now)
                self.assertLess(estimate.trust, 0.15)
                self.assertEqual(estimate.slowness, 1.0)

    def test_server_that_denies_its_slowdown(self) -> None:
        # Guards against a server that states the usual speed and is slow: its
        # own responses win.
        for _ in range(15):
            self.state(1.0)
            self.evidence.run(1 / 6, a=3.0)
        self.state(1.0)
        self.assertGreater(self.evidence.slowness("a"), 1.5)

    def test_true_statements_keep_their_weight(self) -> None:
        for turn in range(60):
            slowdown = 2.5 if turn % 6 == 0 else 1.0
            self.state(slowdown)
            self.evidence.run(0.6, a=slowdown)
        self.state(2.5)
        self.assertGreater(self.evidence.slowness("a"), 2.0)

    def test_same_statement_all_the_time(self) -> None:
        # Guards against a slow machine that counts twice: by the time that its
        # responses take, and by its statement, which is always the same.
        evidence = Evidence({"a": 1.43, "b": 1.0, "c": 1.0, "d": 1.0})
        for _ in range(60):
            evidence.speeds.record_statement("a", 1.43, 0.0, evidence.now)
            evidence.run(0.3)
        self.assertLess(evidence.slowness("a"), 1.43 * 1.25)
        later = evidence.now + serverspeeds.STATEMENT_MAX_AGE_S
        self.assertGreater(evidence.speeds.slowness("a", later), 1.25)

    def test_recent_responses_without_statements(self) -> None:
        self.evidence.run(1.0, a=2.5)
        self.assertGreater(self.evidence.slowness("a"), 1.8)
        self.evidence.run(1.5)
        self.assertLess(self.evidence.slowness("a"), 1.25)


class StatedLoadTest(unittest.TestCase):
    """Requests at a server that no instance knows of."""

    def test_unknown_requests_fade(self) -> None:
        held = ServerCapacities()
        held.record_statement("a", StatedLoad(10.0, 0.0, 3, 4), 10.0)
        self.assertEqual(held.unknown_requests("a", 10.0), 4)
        self.assertAlmostEqual(held.unknown_requests("a", 10.3), 2)
        self.assertEqual(held.unknown_requests("a", 11.0), 0)

    def test_statement_is_passed_on_once(self) -> None:
        held = ServerCapacities()
        stated = StatedLoad(10.0, 2.5, 0)
        held.keep_unsent("a", stated)
        held.keep_unsent_rejection("a")
        self.assertEqual(held.take_unsent("a", 10.1), (stated, 1))
        self.assertEqual(held.take_unsent("a", 10.1), (None, 0))

    def test_change_is_reported_once(self) -> None:
        held = ServerCapacities()
        rng = random.Random(1)
        reported = []
        for turn in range(400):
            now = turn / 10
            for server, factor in (("a", 2.0), ("b", 1.0), ("c", 1.0)):
                ratio = factor * rng.lognormvariate(0.0, 0.2)
                held.record_first_event(server, ratio, now)
            reported += held.take_changes(now)
        self.assertEqual(set(reported), {"a"})
        self.assertLess(len(reported), 6)


class CostTest(unittest.TestCase):
    """Processor cost of an estimate."""

    def test_estimates_are_cached(self) -> None:
        # Guards against a placement that computes all estimates again: under a
        # burst dozens of requests are examined thirty times a second.
        evidence = Evidence(dict.fromkeys("abcd", 1.0))
        evidence.run(5.0)
        with unittest.mock.patch.object(
            ServerSpeeds, "_lasting", wraps=evidence.speeds._lasting
        ) as computed:
            for _ in range(100):
                evidence.slowness("a")
        self.assertEqual(computed.call_count, 1)


if __name__ == "__main__":
    unittest.main()
