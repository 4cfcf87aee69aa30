"""Orders to backend servers, and the lease under which they are given."""

import unittest

from hypothesis import given, settings, strategies

from jasminerelay.fencing import Lease
from standins.launcher import Daemon, Options, call, wait_for
from tests.support import SystemCase

LEASE_S = 10.0
ORDER_S = 2.0


class LeaseTest(unittest.TestCase):
    """Several holders of one row, with freezes at any point."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2),
                strategies.floats(0.0, 6.0),
                strategies.floats(0.0, 20.0),
            ),
            max_size=60,
        )
    )
    def test_at_most_one_may_order(self, schedule) -> None:
        # In each step, one instance reads the row and may write it; the write
        # takes a while, like a freeze between its effect and its response.
        leases = [Lease(LEASE_S, ORDER_S) for _ in range(3)]
        now, version = 0.0, 0
        orders: list[tuple[float, int]] = []
        for index, pause, freeze in schedule:
            now += pause
            lease = leases[index]
            if not lease.holds(now):
                lease.observe(version, now)
            may_write = lease.holds(now) or version == 0 or lease.may_take(now)
            if may_write and (lease.fence == version or version == 0):
                started = now
                version += 1
                now += freeze
                lease.record_write(version, started)
            for holder_index, other_lease in enumerate(leases):
                if other_lease.may_order(now):
                    orders.append((now, holder_index))
            holders = {holder for at, holder in orders if at > now - ORDER_S}
            self.assertLessEqual(len(holders), 1)

    def test_lease_counts_from_before_the_write(self) -> None:
        lease = Lease(LEASE_S, ORDER_S)
        lease.record_write(1, started=0.0)
        self.assertTrue(lease.may_order(5.0))
        self.assertFalse(lease.may_order(6.5))
        self.assertFalse(lease.holds(8.5))


class PlacementCase(SystemCase):
    """Two engines: the first checks fencing tokens, the second does not."""

    options = Options(
        daemons=3,
        max_engines=2,
        max_services=1,
        settings={
            "timing": {
                "placement_lease_s": 2.0,
                "order_timeout_s": 0.4,
                "probe_interval_s": 0.2,
                "suspect_after_s": 0.6,
            }
        },
    )

    def placed(self, version: str) -> str:
        """Returns the manifest with placements of a model version."""
        return self.system.manifest.replace(
            "[[classes]]", "weight_loads_per_s = 4.0\n\n[[classes]]", 1
        ) + "".join(
            f'\n[[placements]]\nserver = "{name}"\nmodel = "helper"\n'
            f'version = "{version}"\n'
            for name in ("model-1", "model-2")
        )

    def state(self, name: str) -> dict:
        return call("GET", self.system.processes[name].url + "/v1/state")[1]

    def versions(self) -> list[str]:
        return [
            self.state(name)["state"]["version"]
            for name in ("model-1", "model-2")
        ]

    def holder(self, daemons: list[Daemon]) -> Daemon | None:
        for daemon in daemons:
            if self.system.status(daemon)["gives_orders"]:
                return daemon
        return None


class FrozenHolderTest(PlacementCase):
    """The holder of the lease is frozen until the lease has expired."""

    def test_manifest_is_restored_after_a_freeze(self) -> None:
        # The holder is frozen, the manifest changes, and another instance takes
        # the lease and gives the new orders. The first holder resumes and must
        # change nothing. A late order of it is refused by the engine that
        # checks fencing tokens; the other engine executes it, and the current
        # holder repairs that. The rate limit of the weight store holds
        # throughout.
        daemons = self.system.daemons
        self.system.apply(self.placed("one"))
        wait_for(lambda: self.versions() == ["one", "one"])
        frozen = self.holder(daemons)
        old_fence = self.state("model-1")["fence"]
        others = [daemon for daemon in daemons if daemon is not frozen]
        frozen.pause()
        try:
            self.system.apply(self.placed("two"), others[0])
            wait_for(lambda: self.versions() == ["two", "two"])
        finally:
            frozen.unpause()
        late = {
            "fence": old_fence,
            "state": {"model": "helper", "version": "one", "role": "serve"},
        }
        statuses = [
            call("POST", self.system.processes[name].url + "/v1/orders", late)[
                0
            ]
            for name in ("model-1", "model-2")
        ]
        self.assertEqual(statuses[0], 409)
        self.assertIn(statuses[1], (200, 503))
        wait_for(lambda: self.versions() == ["two", "two"])
        wait_for(
            lambda: (
                sum(
                    self.system.status(daemon)["gives_orders"]
                    for daemon in daemons
                )
                == 1
            )
        )
        self.assertEqual(self.versions(), ["two", "two"])
        orders = self.state("model-1")["orders"]
        fences = [order["fence"] for order in orders]
        self.assertEqual(fences, sorted(fences))
        weights = self.system.processes["weights"].url + "/stats"
        # Only the late order of this test may be refused.
        self.assertLessEqual(call("GET", weights)[1]["refused"], 1)


if __name__ == "__main__":
    unittest.main()
