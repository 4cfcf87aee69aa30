"""Rate limits of servers, at one instance and over several.

More seeds are simulated by `python -m tests.test_serverlimits SEEDS INSTANCES`,
for example `python -m tests.test_serverlimits 200 6`.
"""

import random
import sys
import unittest
import unittest.mock

from jasminerelay import limitwatch, rendezvous, serverlimits
from jasminerelay.platform.headers import PlatformDialect
from jasminerelay.schema.messages import (
    LimitGrantRequest,
    LimitMessage,
    Member,
    ServerLimit,
)
from jasminerelay.serverlimits import NO_LIMIT, Allowance, GrantIssuer
from tests import virtualtime
from tests.instanceworld import Quiet
from tests.limitworld import WINDOW_S, LimitSimulation

SEEDS = 8
RATES = (1.0, 2.4, 3.7, 20.0)
MIN_UTILISATION = 0.7
"""Fraction of a limit that must be used while there are enough requests."""


class AllowanceTest(unittest.TestCase):
    """Limits and grants of one instance."""

    def setUp(self) -> None:
        self.allowance = Allowance()

    def test_grant_covers_one_request_and_expires(self) -> None:
        self.allowance.record("s", 2.0, 0.0)
        self.allowance.add_grant("s", 1, trial=False, now=1.0)
        self.assertTrue(self.allowance.may_send("s", 1.1))
        self.allowance.use_grant("s", 1.1)
        self.assertFalse(self.allowance.may_send("s", 1.1))
        self.allowance.add_grant("s", 1, trial=False, now=2.0)
        late = 2.0 + serverlimits.GRANT_TTL_S
        self.assertFalse(self.allowance.may_send("s", late))

    def test_older_message_is_ignored(self) -> None:
        # Guards against a late message that restores a limit that has ended,
        # or ends one that holds.
        self.allowance.record("s", 2.0, 5.0)
        self.assertFalse(self.allowance.record("s", NO_LIMIT, 4.0))
        self.assertTrue(self.allowance.is_limited("s"))
        self.assertTrue(self.allowance.record("s", NO_LIMIT, 6.0))
        self.assertFalse(self.allowance.record("s", 2.0, 5.5))
        self.assertFalse(self.allowance.is_limited("s"))

    def test_unchanged_limit_is_not_new(self) -> None:
        # Guards against a broadcast for each response.
        self.assertTrue(self.allowance.record("s", 2.0, 1.0))
        self.assertFalse(self.allowance.record("s", 2.0, 2.0))
        self.assertFalse(self.allowance.record("other", NO_LIMIT, 2.0))

    def test_restarted_server_has_no_limit(self) -> None:
        self.allowance.record("s", 2.0, 1.0)
        self.allowance.forget("s")
        self.assertTrue(self.allowance.may_send("s", 1.0))


class GrantIssuerTest(unittest.TestCase):
    """Grants of one server."""

    def issued(self, issuer: GrantIssuer, rate: float, seconds: float) -> int:
        """Returns the grants issued while an instance always requests some."""
        count = 0
        for step in range(int(seconds / 0.05)):
            now = step * 0.05
            issuer.request("n", 0, 5, now)
            issuer.refill(rate, now)
            count += sum(issuer.grants(now).values())
        return count

    def test_new_issuer_has_no_tokens(self) -> None:
        # Guards against twice the rate when the coordinator changes.
        issuer = GrantIssuer(0.0)
        issuer.request("n", 0, 5, 0.0)
        issuer.refill(5.0, 0.0)
        self.assertEqual(issuer.grants(0.0), {})

    def test_issues_at_the_rate(self) -> None:
        for rate in RATES:
            issued = self.issued(GrantIssuer(0.0), rate, 20.0)
            self.assertLessEqual(issued, rate * 20.0)
            self.assertGreater(issued, 0.9 * rate * 20.0 - 1)

    def test_tokens_do_not_accumulate(self) -> None:
        issuer = GrantIssuer(0.0)
        issuer.refill(4.0, 60.0)
        issuer.request("n", 0, 50, 60.0)
        self.assertEqual(sum(issuer.grants(60.0).values()), 1)

    def test_urgent_rank_first_then_round_robin(self) -> None:
        issuer = GrantIssuer(0.0)
        got = []
        for second in (1.0, 2.0, 3.0):
            issuer.request("late", 2, 1, second)
            issuer.request("b", 1, 1, second)
            issuer.request("a", 1, 1, second)
            issuer.refill(1.0, second)
            got += issuer.grants(second)
        self.assertEqual(sorted(got[:2]), ["a", "b"])
        self.assertNotIn("late", got)

    def test_zero_rate_allows_only_a_late_trial(self) -> None:
        issuer = GrantIssuer(0.0)
        self.assertEqual(self.issued(issuer, 0.0, 10.0), 0)
        self.assertFalse(issuer.trial_due(serverlimits.TRIAL_INTERVAL_S))
        self.assertTrue(issuer.trial_due(serverlimits.MAX_TRIAL_INTERVAL_S))


class PartitionTest(unittest.TestCase):
    """Grants of coordinators that cannot reach each other."""

    RATE = 20.0
    SECONDS = 8.0

    def test_both_sides_of_a_partition(self) -> None:
        # Guards against a coordinator on each side that issues the full rate.
        names = [f"n{number}" for number in range(8)]
        issued = 0
        for side in (names[:5], names[5:]):
            issued += self.issued_on(side, names)
        self.assertLessEqual(issued, self.RATE * self.SECONDS + 2)
        self.assertGreater(issued, 0.8 * self.RATE * self.SECONDS)

    def issued_on(self, side: list[str], names: list[str]) -> int:
        """Returns how many requests the coordinator of one side grants."""
        coordinator = rendezvous.owner("s", side)
        watch = limitwatch.LimitWatch(
            coordinator, lambda server: True, Quiet(), Quiet(), random.Random(1)
        )
        granted = []
        watch.send = lambda to, message: granted.extend(message.grants)
        watch.allowance.record("s", self.RATE, 0.0)
        requester = next(name for name in side if name != coordinator)
        members = [
            Member(name, "", "", "", "", name, "alive", 0) for name in side
        ]
        for step in range(int(self.SECONDS / limitwatch.TICK_S)):
            now = step * limitwatch.TICK_S
            watch.update_instances(members, len(names), now)
            watch.tick(now)
            message = LimitMessage(
                requester, [], [LimitGrantRequest("s", 0, 3)], []
            )
            with unittest.mock.patch.object(
                limitwatch.time, "monotonic", lambda now=now: now
            ):
                watch.handle_message(message)
        return sum(grant.count for grant in granted)


class ShutdownTest(unittest.TestCase):
    """Grants during the shutdown of a coordinator."""

    def test_leaving_instance_issues_nothing(self) -> None:
        # Guards against twice the rate during a shutdown, when the others
        # already use the next coordinator.
        watch = limitwatch.LimitWatch(
            "n0", lambda server: True, Quiet(), Quiet(), random.Random(1)
        )
        others = [
            Member(name, "", "", "", "", name, "alive", 0)
            for name in ("n1", "n2")
        ]
        sent = []
        watch.send = lambda to, message: sent.extend(message.grants)
        for number in range(8):
            watch.allowance.record(f"s{number}", 100.0, 0.0)
        for step in range(40):
            now = step * limitwatch.TICK_S
            watch.update_instances(others, 3, now)
            for number in range(8):
                watch.allowance.record_demand(f"s{number}", 0, now)
            watch.tick(now)
        self.assertEqual(sent, [])
        for number in range(8):
            self.assertFalse(watch.allowance.may_send(f"s{number}", 2.0))


class StoppedServerTest(unittest.TestCase):
    """Limits of stopped servers."""

    def test_late_message_restores_no_limit(self) -> None:
        # Guards against limits of stopped servers that circulate between
        # instances forever.
        servers = {"s"}
        watch = limitwatch.LimitWatch(
            "n", servers.__contains__, Quiet(), Quiet(), random.Random(1)
        )
        message = LimitMessage("other", [ServerLimit("s", 2.0, 10)], [], [])
        watch.handle_message(message)
        self.assertTrue(watch.allowance)
        servers.clear()
        watch.gone("s")
        watch.handle_message(message)
        self.assertFalse(watch.allowance)


class HeaderTest(unittest.TestCase):
    """The header in which a server states its limit."""

    def head(self, *values: bytes):
        """Returns the response head with the given headers."""
        fields = [(b"Server-Limit", value) for value in values]
        return PlatformDialect().head(200, fields)

    def test_read_and_not_forwarded(self) -> None:
        head = self.head(b"2.4")
        self.assertEqual((head.limit, head.limit_fault), (2.4, ""))
        self.assertEqual(head.headers, ())
        self.assertIsNone(self.head().limit)

    def test_invalid_values_are_ignored_and_reported(self) -> None:
        for value in (b"-1", b"nan", b"inf", b"1e99", b"many", b""):
            head = self.head(value)
            self.assertIsNone(head.limit, value)
            if value:
                self.assertEqual(head.limit_fault, value.decode())


class LimitSimulationTest(unittest.TestCase):
    """Simulates more requests than allowed, at up to 195 instances."""

    def simulate(self, seed: int, instances: int, **options) -> LimitSimulation:
        """Simulates one seed and asserts what must hold for every seed."""
        simulation = LimitSimulation(seed, instances, RATES, **options)
        virtualtime.run(simulation.run, (limitwatch,))
        for server in simulation.rates:
            self.assertLessEqual(
                simulation.max_in_window(server), simulation.max_allowed(server)
            )
        self.assertEqual(simulation.limits_left, 0)
        return simulation

    def test_without_faults(self) -> None:
        for instances in (6, 30):
            with self.subTest(instances=instances):
                simulation = self.simulate(1, instances, faults=False)
                for server, rate in simulation.rates.items():
                    self.assertGreater(
                        simulation.max_in_window(server),
                        MIN_UTILISATION * rate * WINDOW_S - 1,
                    )

    def test_six_instances(self) -> None:
        # Guards against more requests than the limit while messages are lost,
        # and coordinators are killed, partitioned or start: two of them may
        # issue grants at the same time.
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.simulate(seed, 6)

    def test_195_instances(self) -> None:
        self.simulate(2, 195, limited_until=9.0)


def main() -> None:
    """Simulates many seeds; arguments: how many, and how many instances."""
    seeds, instances = int(sys.argv[1]), int(sys.argv[2])
    bad = []
    highest: dict[str, int] = {}
    for seed in range(seeds):
        simulation = LimitSimulation(seed, instances, RATES)
        virtualtime.run(simulation.run, (limitwatch,))
        for server in simulation.rates:
            highest[server] = max(
                highest.get(server, 0), simulation.max_in_window(server)
            )
            if simulation.max_in_window(server) > simulation.max_allowed(
                server
            ):
                bad.append((seed, server, simulation.max_in_window(server)))
        if simulation.limits_left:
            bad.append((seed, "limited at the end", simulation.limits_left))
    allowed = {
        server: simulation.max_allowed(server) for server in simulation.rates
    }
    print(f"{seeds} seeds, {instances} instances: {len(bad)} bad {bad[:8]}")
    print(f"most in {WINDOW_S} s {highest}, allowed {allowed}")


if __name__ == "__main__":
    main()
