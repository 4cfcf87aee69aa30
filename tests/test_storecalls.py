"""Tests of how many calls instances make to the store, and of the pauses.

The real followers, reports and pauses run in virtual time, see `versionworld`,
which also checks at every step that no instance lags behind the store.
"""

import random
import unittest

import anyio

from jasminerelay import followerroles, storefollowing
from jasminerelay.registry import StoreStatus
from jasminerelay.schema.messages import ReplicaStatus
from jasminerelay.storebackoff import (
    LONG_PAUSE_S,
    LOSS_NOTICE_S,
    REPORT_VALID_S,
    Outage,
    RetryBackoff,
    classify,
)
from jasminerelay.storeturns import RetryTurns
from tests import virtualtime
from tests.versionworld import MAX_DELAY_AFTER_RETURN_S, World, now

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
        self.assertEqual(found[:4], sorted(found[:4]))
        self.assertGreaterEqual(min(found[5:]), LONG_PAUSE_S)
        self.assertLess(max(found), UP_TO_DATE_S - 0.3)
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


if __name__ == "__main__":
    unittest.main()
