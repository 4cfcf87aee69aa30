"""Tests of how many calls instances make to the store, and of the pauses.

The real followers, reports and pauses run in virtual time, see `versionworld`,
which also checks at every step that no instance lags behind the store.
"""

import random
import unittest

import anyio
import msgspec

from jasminerelay import followerroles, storefollowing
from jasminerelay.followerroles import FOLLOWERS_PER_ZONE, FollowerRole
from jasminerelay.freshness import Freshness
from jasminerelay.peerstatus import PeerStatusTable
from jasminerelay.registry import RETURN_GRACE_S, Registry, StoreStatus
from jasminerelay.schema.messages import ReplicaStatus, ServerRow
from jasminerelay.storebackoff import (
    CONFIRMED_MAX_S,
    LOSS_NOTICE_S,
    REPORT_VALID_S,
    Outage,
    RetryBackoff,
    classify,
)
from jasminerelay.storeturns import RetryTurns
from tests import virtualtime
from tests.test_following import decode
from tests.versionworld import (
    MAX_CHANGE_DELAY_S,
    MAX_DELAY_AFTER_RETURN_S,
    Node,
    World,
    now,
)

SEEDS = range(1, 5)
INSTANCES = 17
OUTAGE_S = 9.0
MAX_CALLS = 100
"""Calls of all instances together in an outage of nine seconds."""

UP_TO_DATE_S = 4.0
"""Time within which an instance that reaches the store again is up to date."""

SHORT = (0.2, 0.6)


def report(at: float, touch: StoreStatus) -> tuple[float, ReplicaStatus]:
    """Returns another instance's report on the store."""
    return at, ReplicaStatus(1, 1, 1, touch)


class ClassifyTest(unittest.TestCase):
    """What an instance that has lost the store knows about the others."""

    def classify(self, touches, *, at=9.9, age_s=0.5, first=False) -> Outage:
        reports = {f"i{n}": report(at, t) for n, t in enumerate(touches)}
        return classify(reports, 9.0, 10.0, age_s=age_s, is_first_caller=first)

    def test_others_reach_the_store(self) -> None:
        # Guards against calls several times a second to a store that rejects
        # this instance, whose data other instances keep recent.
        touches = [StoreStatus.UNREACHABLE] * 3 + [StoreStatus.SETTLED]
        self.assertIs(self.classify(touches), Outage.CONFIRMED)

    def test_data_has_become_old(self) -> None:
        # Guards against old data. The others reach the store, but their
        # messages do not confirm the data of this instance.
        found = self.classify([StoreStatus.SETTLED], age_s=3.0)
        self.assertIs(found, Outage.UNCONFIRMED)

    def test_nobody_sends_messages(self) -> None:
        # Guards against an instance that is cut off from the others and
        # returns late to the store: its last reports say nothing any more.
        touches = [StoreStatus.UNREACHABLE] * 4
        old = 10.0 - REPORT_VALID_S - 0.1
        self.assertIs(self.classify(touches, at=old), Outage.UNCONFIRMED)
        self.assertIs(self.classify([]), Outage.UNCONFIRMED)

    def test_all_have_lost_the_store(self) -> None:
        # Guards against calls of all instances to a store that answers none.
        touches = [StoreStatus.UNREACHABLE] * 4
        self.assertIs(self.classify(touches), Outage.SHARED)
        found = self.classify(touches, first=True)
        self.assertIs(found, Outage.SHARED_CALLER)

    def test_two_instances(self) -> None:
        # Guards against a platform of two that counts as one where too few
        # instances report the loss.
        found = self.classify([StoreStatus.UNREACHABLE], first=True)
        self.assertIs(found, Outage.SHARED_CALLER)

    def test_report_from_before_others_noticed(self) -> None:
        # Guards against retries at the start of an outage: another instance's
        # calls have not failed yet.
        lost = [report(9.9, StoreStatus.UNREACHABLE)] * 3
        early = report(9.0 + LOSS_NOTICE_S / 2, StoreStatus.SETTLED)
        reports = dict(enumerate([*lost, early]))
        found = classify(reports, 9.0, 10.0, age_s=5.0, is_first_caller=False)
        self.assertIs(found, Outage.SHARED)


class BackoffTest(unittest.TestCase):
    """The pauses between failed calls."""

    def pauses(self, outage: Outage, count: int) -> list[float]:
        backoff = RetryBackoff(random.Random(1))
        found = []
        for _ in range(count):
            backoff.record_failure()
            found.append(backoff.pause_s(outage, SHORT))
        return found

    def test_confirmed(self) -> None:
        # Guards against a store that is asked more often the longer it rejects
        # an instance, and against one that is up to date only after 4 s.
        found = self.pauses(Outage.CONFIRMED, 40)
        self.assertLess(found[0], 0.6)
        self.assertEqual(found[:3], sorted(found[:3]))
        self.assertGreaterEqual(min(found[2:]), CONFIRMED_MAX_S)
        # A server that leaves just after the store's return must be out of use
        # within 3 s; without a row it is kept for the grace period.
        self.assertLess(max(found) + RETURN_GRACE_S, UP_TO_DATE_S)
        self.assertGreater(len(set(found)), 30)

    def test_unconfirmed(self) -> None:
        # Guards against a long pause of an instance that nobody helps.
        found = self.pauses(Outage.UNCONFIRMED, 100)
        self.assertGreaterEqual(min(found), SHORT[0])
        self.assertLessEqual(max(found), SHORT[1])

    def test_answer_ends_the_growth(self) -> None:
        backoff = RetryBackoff(random.Random(1))
        for _ in range(9):
            backoff.record_failure()
        backoff.reset()
        backoff.record_failure()
        self.assertLess(backoff.pause_s(Outage.CONFIRMED, SHORT), 0.6)


class TurnsTest(unittest.TestCase):
    """One kind of call tries the store for all kinds of an instance."""

    def run_in_virtual_time(self, main) -> None:
        virtualtime.run(main, ())

    def turns(self) -> RetryTurns:
        backoff = RetryBackoff(random.Random(1))
        return RetryTurns(backoff, lambda: Outage.UNCONFIRMED, lambda: SHORT)

    def test_calls_alternate_until_one_is_answered(self) -> None:
        # Guards against a table that is never asked again because another
        # one, whose calls alone fail, has the turn for good.
        called = []

        async def follow(turns: RetryTurns, call: str) -> None:
            while True:
                turns.failed(call)
                await turns.take(call)
                called.append(call)
                if len(called) == 6:
                    turns.succeeded(call)
                    return
                if len(called) > 6:
                    return

        async def main() -> None:
            turns = self.turns()
            async with anyio.create_task_group() as group:
                group.start_soon(follow, turns, "op")
                group.start_soon(follow, turns, "servers")
            self.assertEqual(called[:6], ["op", "servers"] * 3)
            self.assertEqual(called[6], "op")
            self.assertLess(now(), 6 * SHORT[1] + 0.1)

        self.run_in_virtual_time(main)

    def test_other_kind_is_answered(self) -> None:
        # Guards against a table that waits although the store answers calls.
        async def main() -> None:
            turns = self.turns()
            turns.failed("op")
            with anyio.fail_after(0.01):
                await turns.take("servers")
                await turns.answered()

        self.run_in_virtual_time(main)


class LagTest(unittest.TestCase):
    """One table is confirmed up to an older version than another."""

    def test_other_tables_change_all_the_time(self) -> None:
        # Guards against waiting calls of the leader that are aborted each time
        # the duties' lease is renewed.
        role = FollowerRole("i1", "z")
        asked = [
            role.record_lag(tick / 10, versions_differ=tick % 4 != 0)
            for tick in range(1, 200)
        ]
        self.assertTrue(asked[0])
        self.assertLess(sum(asked), 11)
        self.assertTrue(role.polls_all_tables(20.0))

    def test_single_change(self) -> None:
        # Guards against a change that waits for a call which hangs: after some
        # quiet time the older table is asked at once again.
        role = FollowerRole("i1", "z")
        for at in (1.0, 20.0):
            self.assertTrue(role.record_lag(at, versions_differ=True))
            self.assertFalse(role.record_lag(at + 0.1, versions_differ=False))
            self.assertFalse(role.polls_all_tables(at + 10.0))


class OutageCallsTest(unittest.TestCase):
    """Calls while the store rejects or does not answer."""

    def simulate(self, scenario, count: int = INSTANCES) -> None:
        """Runs a scenario with the checks of `versionworld` at every step."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = World(self, seed, count, scenario)
                virtualtime.run(world.run, (storefollowing, followerroles))

    def lose(self, world: World, nodes, *, refused: bool) -> None:
        """Makes the store reject instances, or leave them unanswered."""
        for node in nodes:
            world.leave_calls_unanswered(node)
            node.refused = refused
            node.linked = False

    def restore(self, nodes) -> None:
        """Makes the store answer instances again."""
        for node in nodes:
            node.linked, node.linked_since = True, now()

    def calls_since(self, world: World, at: float) -> int:
        """Returns the number of calls that began since a time."""
        return sum(began >= at for began, _ in world.store.calls)

    def assert_newest(self, world: World) -> None:
        """Asserts that all instances have the newest configuration."""
        for node in world.nodes.values():
            self.assertEqual(node.version, world.store.configuration, node.name)

    async def outage(self, world: World, *, refused: bool) -> None:
        """Plays an outage for all and checks the calls and the return."""
        nodes = list(world.nodes.values())
        began = now()
        self.lose(world, nodes, refused=refused)
        await anyio.sleep(OUTAGE_S)
        self.assertLess(self.calls_since(world, began), MAX_CALLS)
        self.restore(nodes)
        world.store.write_configuration()
        await anyio.sleep(MAX_DELAY_AFTER_RETURN_S)
        self.assert_newest(world)

    def test_store_rejects_all(self) -> None:
        # Guards against 750 calls of 17 instances to a store that rejects all
        # for nine seconds.
        self.simulate(lambda world: self.outage(world, refused=True))

    def test_store_leaves_all_unanswered(self) -> None:
        # The same where calls are not answered.
        self.simulate(lambda world: self.outage(world, refused=False))

    def test_leader_dies_in_the_outage(self) -> None:
        # Guards against a late return: the instances that call the store often
        # are replaced while it is lost.
        async def scenario(world: World) -> None:
            nodes = list(world.nodes.values())
            self.lose(world, nodes, refused=True)
            await anyio.sleep(2.0)
            for node in nodes:
                if node.followers.is_first_caller:
                    world.nodes.pop(node.name).scope.cancel()
            await anyio.sleep(OUTAGE_S)
            self.restore(world.nodes.values())
            world.store.write_configuration()
            await anyio.sleep(MAX_DELAY_AFTER_RETURN_S)
            self.assert_newest(world)

        self.simulate(scenario)

    def test_store_rejects_some(self) -> None:
        # Guards against retries several times a second of instances whose data
        # the others keep recent, and against one that is up to date late.
        async def scenario(world: World) -> None:
            nodes = sorted(
                world.nodes.values(), key=lambda n: n.followers.is_first_caller
            )
            rejected = nodes[-5:]
            self.lose(world, rejected, refused=True)
            began = now()
            await anyio.sleep(OUTAGE_S)
            names = {node.name for node in rejected}
            calls = [x for x in world.store.calls if x[0] >= began]
            failed = sum(name in names for _, name in calls)
            self.assertLess(failed, 8 * len(rejected))
            world.store.write_configuration()
            await anyio.sleep(MAX_DELAY_AFTER_RETURN_S)
            self.assert_newest(world)
            self.restore(rejected)
            await anyio.sleep(UP_TO_DATE_S)
            self.assertFalse(any(node.state.lost for node in rejected))

        self.simulate(scenario)

    def test_cut_off_from_the_others_but_not_from_the_store(self) -> None:
        # Guards against a long pause that goes on after the others, which
        # confirmed the data, have become silent.
        async def scenario(world: World) -> None:
            node = next(iter(world.nodes.values()))
            self.lose(world, [node], refused=True)
            await anyio.sleep(OUTAGE_S)
            node.part, node.joined_at = 1, now()
            self.restore([node])
            world.store.write_configuration()
            await anyio.sleep(MAX_DELAY_AFTER_RETURN_S)
            self.assert_newest(world)

        self.simulate(scenario)


class SimultaneousStartTest(unittest.TestCase):
    """All instances start at once."""

    def simulate(self, scenario, *, up: bool = True) -> None:
        """Runs a scenario, with a store that answers at the start or not."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = World(self, seed, INSTANCES, scenario)
                world.store.up = up
                virtualtime.run(world.run, (storefollowing, followerroles))

    def test_few_read_the_tables(self) -> None:
        # Guards against reads of both tables by every instance at once after a
        # power loss.
        async def scenario(world: World) -> None:
            readers = set(world.store.readers)
            self.assertLessEqual(len(readers), 3 * FOLLOWERS_PER_ZONE)
            self.assertTrue(all(n.version for n in world.nodes.values()))

        self.simulate(scenario)

    def test_store_is_unavailable(self) -> None:
        # Guards against reads several times a second by every instance, and
        # against data that comes late, where the store is down at the start.
        async def scenario(world: World) -> None:
            await anyio.sleep(OUTAGE_S - now())
            self.assertLess(len(world.store.calls), MAX_CALLS)
            world.store.up, world.store.up_since = True, now()
            world.store.write_configuration()
            await anyio.sleep(MAX_DELAY_AFTER_RETURN_S)
            versions = {node.version for node in world.nodes.values()}
            self.assertEqual(versions, {world.store.configuration})

        self.simulate(scenario, up=False)


class ForwardedChangesTest(unittest.TestCase):
    """Calls of instances to which others forward changes."""

    def simulate(self, scenario) -> None:
        """Runs a scenario with the checks of `versionworld` at every step."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = World(self, seed, INSTANCES, scenario)
                virtualtime.run(world.run, (storefollowing, followerroles))

    @staticmethod
    def indirect(world: World) -> list[Node]:
        """Returns the instances that do not follow the store closely."""
        nodes = world.nodes.values()
        return [node for node in nodes if not node.followers.follows_closely()]

    def test_each_change_is_read_by_few(self) -> None:
        # Guards against a call of every instance for each server that starts,
        # leaves or is replaced.
        async def scenario(world: World) -> None:
            names = {node.name for node in self.indirect(world)}
            self.assertGreater(len(names), INSTANCES / 3)
            began = now()
            for number in range(40):
                world.store.write_server_row(f"s{number % 4}")
                await anyio.sleep(0.3)
            calls = [name for at, name in world.store.calls if at >= began]
            mine = sum(name in names for name in calls)
            self.assertLessEqual(mine, 2 * len(names))
            await anyio.sleep(1.0)
            versions = {
                n.registry.servers_version for n in world.nodes.values()
            }
            self.assertEqual(versions, {world.store.version})

        self.simulate(scenario)

    def test_all_that_forward_die(self) -> None:
        # Guards against a change that nobody forwards: all instances of a zone
        # that follow the store closely die at once.
        async def scenario(world: World) -> None:
            zone = self.indirect(world)[0].member.zone
            for node in list(world.nodes.values()):
                if node.member.zone == zone and (
                    node.followers.follows_closely()
                ):
                    world.nodes.pop(node.name).scope.cancel()
            await anyio.sleep(0.1)
            world.store.write_configuration()
            await anyio.sleep(MAX_CHANGE_DELAY_S)
            for node in world.nodes.values():
                self.assertEqual(node.version, world.store.configuration)

        self.simulate(scenario)

    def test_data_is_confirmed_though_changes_come_in_series(self) -> None:
        # Guards against calls of an instance that is behind each report when
        # it arrives, so that no report confirms its data.
        registry = Registry(lambda data: None, decode)
        freshness = Freshness(["servers"])
        for tick in (9.0, 9.4, 9.8):
            freshness.tick(tick)
        table = PeerStatusTable(registry, freshness)
        other = Registry(lambda data: None, decode)
        other.apply_full_read([ServerRow("s", 5, b"pool:ready")], 5)
        standing = msgspec.structs.replace(other.standing, age_ms=200)
        table.record_report("i2", standing, 10.0, 10.0)
        self.assertEqual(freshness.age_s(10.0), float("inf"))
        registry.merge_snapshot(other.export_snapshot())
        table.record_fetch(10.1)
        self.assertAlmostEqual(freshness.age_s(10.1), 0.3)

    def test_snapshot_that_lacks_reported_data(self) -> None:
        # Guards against an age that is confirmed by a report whose data has
        # not arrived.
        registry = Registry(lambda data: None, decode)
        freshness = Freshness(["servers"])
        for tick in (9.0, 9.4, 9.8):
            freshness.tick(tick)
        table = PeerStatusTable(registry, freshness)
        other = Registry(lambda data: None, decode)
        other.apply_full_read([ServerRow("s", 5, b"pool:ready")], 5)
        before = other.export_snapshot()
        other.apply_changes([ServerRow("s", 6, b"pool:leaving")], 6)
        standing = msgspec.structs.replace(other.standing, age_ms=200)
        table.record_report("i2", standing, 10.0, 10.0)
        registry.merge_snapshot(before)
        table.record_fetch(10.1)
        self.assertEqual(freshness.age_s(10.1), float("inf"))


if __name__ == "__main__":
    unittest.main()
