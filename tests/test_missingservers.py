"""Randomised model of servers without a row, judged by several instances.

The model has no network or clock: it consists of a store, servers that leave or
whose rows lapse while the store is unreachable, instances that are cut off from
the store, and messages between the instances. Times and faults are drawn from a
seed.
"""

import dataclasses
import random
import unittest

from jasminerelay.registry import Registry, StoreStatus
from jasminerelay.schema.messages import ServerRow
from tests.test_following import decode

SEEDS = range(1, 41)
LENGTH_S = 80.0
STEP_S = 0.1

INSTANCES = 5
SERVERS = 6

LAPSE_S = 3.6
"""Time without a renewal after which a server's row is removed."""

BACK_S = 2.0
"""Time within which a living server renews its row after the store's return."""

NOTICE_S = 1.5
"""Time within which an instance notices that its calls are not answered."""

RETRY_S = 1.0
"""Time within which an instance that lost the store retries."""

FETCH_S = 0.3
"""How long an instance is behind before it fetches another one's snapshot."""

FORWARDED_REMOVAL_S = 1.5
"""Time within which a removal that one instance saw must apply on all."""

DIRECT_REMOVAL_S = 3.5
"""Time within which an instance that reaches the store must know by itself."""


class Store:
    """Rows with a history; unreachable for all instances while it is down."""

    def __init__(self) -> None:
        self.up = True
        self.version = 0
        self.history: list[ServerRow] = []

    def put(self, name: str, data: bytes | None) -> None:
        """Writes a row, or removes it."""
        self.version += 1
        self.history.append(ServerRow(name, self.version, data))

    def after(self, version: int) -> list[ServerRow]:
        """Returns the changes after a version."""
        return [row for row in self.history if row.version > version]


class Instance:
    """One instance: its registry, and whether it reaches the store."""

    def __init__(self, store: Store, rng: random.Random, now: float):
        self.registry = Registry(lambda data: None, decode)
        self.linked = True
        self.started = now
        self._reachable_since: float | None = None
        self._store = store
        self._rng = rng
        self._after = 0
        self._lost = False
        self._notices_at = 0.0
        self._reaches_store = False
        self._behind_since: float | None = None

    def step(self, now: float) -> None:
        """Follows the store while it answers."""
        reaches_store = self._store.up and self.linked
        if reaches_store != self._reaches_store:
            self._reaches_store = reaches_store
            self._reachable_since = now if reaches_store else None
            delay = RETRY_S if reaches_store else NOTICE_S
            self._notices_at = now + self._rng.uniform(0.0, delay)
        if reaches_store and (not self._lost or now >= self._notices_at):
            self._follow(now)
        elif not reaches_store and not self._lost and now >= self._notices_at:
            self._lost = True
            self.registry.mark_store_unreachable()
        self.registry.expire(now)

    def process_message_from(self, other: "Instance", now: float) -> None:
        """Processes a message from another instance."""
        standing = other.registry.standing
        if (
            standing.touch == StoreStatus.UNREACHABLE
            and not self._reaches_store
        ):
            self._notices_at = now
        if not self.registry.is_behind(standing):
            return
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since >= FETCH_S:
            self._behind_since = None
            self.registry.merge_snapshot(other.registry.export_snapshot())

    def uses(self, name: str) -> bool:
        """Returns whether a server receives new work."""
        servers = self.registry.servers_of("pool")
        return any(server.id == name for server in servers)

    def reached_s(self, since: float, now: float) -> float:
        """Returns how long the store has been reachable since a moment."""
        if self._reachable_since is None:
            return 0.0
        return now - max(since, self._reachable_since)

    def _follow(self, now: float) -> None:
        self._lost = False
        self.registry.mark_store_reachable(now)
        rows = self._store.after(self._after)
        if rows:
            self.registry.apply_changes(rows, self._store.version)
        self._after = self._store.version


@dataclasses.dataclass
class Removal:
    """A server that left.

    Attributes:
        name: The server.
        at: When it left.
        settled_s: How long some instance with a settled list has lacked it.
    """

    name: str
    at: float
    settled_s: float = 0.0


class World:
    """Simulates one seed and checks every step."""

    def __init__(self, test: unittest.TestCase, seed: int):
        self._test = test
        self._rng = random.Random(seed)
        self._store = Store()
        self._instances = [
            Instance(self._store, self._rng, 0.0) for _ in range(INSTANCES)
        ]
        self._living = [f"s{number}" for number in range(SERVERS)]
        self._removals: list[Removal] = []
        self._returns: dict[str, float] = {}
        self._down_since = 0.0
        self._up_at = 0.0
        self._next_outage = self._rng.uniform(8.0, 20.0)
        self._next_leave = self._rng.uniform(6.0, 15.0)
        self._next_cut = self._rng.uniform(5.0, 15.0)
        self._heal_at = 0.0
        self._next_restart = self._rng.uniform(5.0, 25.0)
        self._rows_lapsed = True
        for name in self._living:
            self._store.put(name, b"pool:ready")

    def run(self) -> None:
        """Simulates the whole time."""
        now = 0.0
        while now < LENGTH_S:
            self._inject_faults(now)
            for instance in self._instances:
                instance.step(now)
            self._exchange_messages(now)
            self._check_living(now)
            self._check_removed(now)
            now += STEP_S

    def _inject_faults(self, now: float) -> None:
        if self._store.up and now >= self._next_outage:
            self._store.up, self._rows_lapsed = False, False
            self._down_since = now
            self._up_at = now + self._rng.uniform(1.0, 8.0)
        if not self._store.up:
            self._outage(now)
        for name, due in list(self._returns.items()):
            if now >= due:
                del self._returns[name]
                self._store.put(name, b"pool:ready")
        if now >= self._next_cut:
            for instance in self._rng.sample(self._instances, 2):
                instance.linked = False
            self._heal_at = now + self._rng.uniform(3.0, 15.0)
            self._next_cut = self._heal_at + self._rng.uniform(4.0, 10.0)
        if now >= self._heal_at:
            for instance in self._instances:
                instance.linked = True
        if now >= self._next_restart:
            self._next_restart = now + self._rng.uniform(5.0, 25.0)
            number = self._rng.randrange(INSTANCES)
            self._instances[number] = Instance(self._store, self._rng, now)
        if self._store.up and now >= self._next_leave and not self._returns:
            self._next_leave = now + self._rng.uniform(5.0, 15.0)
            if len(self._living) > 1:
                name = self._living.pop()
                self._removals.append(Removal(name, now))
                self._store.put(name, None)

    def _outage(self, now: float) -> None:
        if not self._rows_lapsed and now - self._down_since >= LAPSE_S:
            self._rows_lapsed = True
            for name in self._living:
                if self._rng.random() < 0.6:
                    self._store.put(name, None)
                    back = self._rng.uniform(0.0, BACK_S - STEP_S)
                    self._returns[name] = self._up_at + back
        if now >= self._up_at:
            self._store.up = True
            self._next_outage = now + self._rng.uniform(10.0, 30.0)

    def _exchange_messages(self, now: float) -> None:
        for instance in self._instances:
            for other in self._instances:
                if other is not instance and self._rng.random() < 0.5:
                    instance.process_message_from(other, now)

    def _check_living(self, now: float) -> None:
        for number, instance in enumerate(self._instances):
            # An instance that has just started may not know all servers yet.
            if now - instance.started < RETRY_S + BACK_S:
                continue
            for name in self._living:
                self._test.assertTrue(
                    instance.uses(name),
                    f"at {now:.1f} s instance {number} has dropped {name},"
                    " which lives",
                )

    def _check_removed(self, now: float) -> None:
        for removal in self._removals:
            if self._settled_without(removal.name):
                removal.settled_s += STEP_S
            else:
                removal.settled_s = 0.0
            for number, instance in enumerate(self._instances):
                by_forwarding = removal.settled_s > FORWARDED_REMOVAL_S
                by_itself = (
                    instance.reached_s(removal.at, now) > DIRECT_REMOVAL_S
                )
                if not by_forwarding and not by_itself:
                    continue
                self._test.assertFalse(
                    instance.uses(removal.name),
                    f"at {now:.1f} s instance {number} still uses"
                    f" {removal.name}, which left at {removal.at:.1f} s",
                )

    def _settled_without(self, name: str) -> bool:
        """Returns whether some instance can decide that a server has left."""
        return any(
            instance.registry.standing.touch == StoreStatus.SETTLED
            and not instance.uses(name)
            for instance in self._instances
        )


class MissingServersTest(unittest.TestCase):
    """How all instances treat a server whose row is missing."""

    def test_living_stay_and_leaving_go(self) -> None:
        # Guards against requests that reach a server long after it left, and
        # against requests that are refused because living servers were removed.
        # Both come from a missing row: it was removed, or it lapsed while its
        # server could not reach the store. Instances are cut off from the store
        # at times and learn of missing rows from each other, so an instance
        # that cannot tell the cases apart must not decide, and all must accept
        # the decision of one that can.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                World(self, seed).run()


if __name__ == "__main__":
    unittest.main()
