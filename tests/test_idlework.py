"""What an instance does while it has nothing to do."""

import asyncio
import random
import types
import unittest

import anyio

from jasminerelay.backgroundtasks import BackgroundTasks
from jasminerelay.datagrams import MAX_WAITING, DatagramSocket
from jasminerelay.freshness import Freshness
from jasminerelay.membership import ALIVE, SUSPECT, Membership
from jasminerelay.metrics import Counters
from jasminerelay.ownedcells import OwnedCells
from jasminerelay.peerstatus import PeerStatusTable
from jasminerelay.placementclient import (
    MIN_INSTANCES_FOR_OWNERS,
    PlacementClient,
)
from jasminerelay.registry import Registry, StoreStatus
from jasminerelay.schema.messages import (
    Gossip,
    ManifestPointer,
    Member,
    ReplicaStatus,
)
from jasminerelay.schema.settings import Statsd
from jasminerelay.watchdog import TICK_S, Watchdog
from jasminerelay.workload import Workload
from standins.launcher import free_address
from tests import virtualtime

IDLE_S = 60.0
POINTER = ManifestPointer(0, "")


def member(name: str, state: str = ALIVE, beat: int = 1) -> Member:
    """Returns a record of an instance."""
    return Member(name, "1", "a", name, name, name, state, beat)


def timers_while_idle(part) -> int:
    """Returns how many timers a part starts within `IDLE_S`."""
    count = 0

    async def main() -> None:
        loop = asyncio.get_running_loop()
        call_at = loop.call_at

        def counted(*args, **kwargs) -> asyncio.TimerHandle:
            nonlocal count
            count += 1
            return call_at(*args, **kwargs)

        with anyio.move_on_after(IDLE_S):
            loop.call_at = counted
            await part()

    virtualtime.run(main, ())
    return count


class IdleTasksTest(unittest.TestCase):
    """Guards against wake-ups that find nothing to do: half of all CPU time."""

    def test_owner_without_waiting_requests(self) -> None:
        registry = Registry(lambda data: None, lambda name, data: None)

        async def part() -> None:
            await OwnedCells(
                "a", "z", registry, None, None, Counters(Statsd())
            ).run()

        self.assertEqual(timers_while_idle(part), 0)

    def test_client_without_requests(self) -> None:
        async def part() -> None:
            dispatcher = types.SimpleNamespace(workload=Workload())
            client = PlacementClient(
                "a", "a", None, dispatcher, None, Counters(Statsd())
            )
            client.update_instances(MIN_INSTANCES_FOR_OWNERS, [member("a")])
            await client.run()

        self.assertLessEqual(timers_while_idle(part), 3)


class MemberListsTest(unittest.TestCase):
    """Lists of members that are kept until an instance changes."""

    def setUp(self) -> None:
        self.membership = Membership(member("a"), 0.8, random.Random(1))
        self.membership.add_seeds([member("b"), member("c")], 0.0)

    def receive(self, record: Member) -> None:
        self.membership.receive(Gossip("ack", record, [], [], POINTER), 1.0)

    def test_kept_while_only_beats_change(self) -> None:
        # Guards against building the lists for each message and each tick.
        before = self.membership.live()
        self.receive(member("b", beat=7))
        self.membership.probe(1.0)
        self.assertIs(self.membership.live(), before)

    def test_new_after_each_change(self) -> None:
        # Guards against requests to an instance that is gone, or none to one
        # that is new.
        changes = [
            lambda: self.receive(member("d")),
            lambda: self.receive(member("b", SUSPECT, 2)),
            lambda: self.receive(member("b", ALIVE, 3)),
            self.membership.announce_leaving,
            self.membership.announce_ready,
        ]
        for change in changes:
            before = self.membership.live()
            change()
            self.assertIsNot(self.membership.live(), before)
            self.assertEqual(
                self.membership.live(),
                [x for x in self.membership.view if x.state == ALIVE],
            )


class LostStoreTest(unittest.TestCase):
    """The instances without the store, kept as reports arrive."""

    def test_follows_the_latest_reports(self) -> None:
        # Guards against an instance that stays listed after it recovered or
        # ended: the order of followers depends on the list.
        registry = Registry(lambda data: None, lambda name, data: None)
        table = PeerStatusTable(registry, Freshness(("t",)))
        lost = ReplicaStatus(0, 0, 0, StoreStatus.UNREACHABLE)
        for name in "abc":
            table.record_report(name, lost, 0.0, 0.0)
        table.record_report("a", ReplicaStatus(0, 0, 0), 1.0, 1.0)
        table.retain({"a", "c"})
        self.assertEqual(table.without_store(), ["c"])


class WatchdogTest(unittest.IsolatedAsyncioTestCase):
    """Deadlines while the watchdog sleeps."""

    async def test_earlier_deadline_while_asleep(self) -> None:
        # Guards against a deadline that waits for one that is further away.
        watchdog = Watchdog()
        expired = anyio.Event()
        async with anyio.create_task_group() as group:
            watchdog.add_guard(lambda: None).arm(100.0)
            group.start_soon(watchdog.run)
            await anyio.sleep(0)
            watchdog.add_guard(expired.set).arm(0.05)
            with anyio.fail_after(0.05 + 2 * TICK_S):
                await expired.wait()
            group.cancel_scope.cancel()


class DatagramSocketTest(unittest.IsolatedAsyncioTestCase):
    """Datagrams over loopback."""

    async def test_sent_before_the_socket_is_open(self) -> None:
        # Guards against losing the announcement of an instance that starts.
        address = free_address()
        received = anyio.Event()
        socket = DatagramSocket(lambda data: received.set(), lambda exc: None)
        sent = [socket.send(address, b"x") for _ in range(MAX_WAITING + 1)]
        self.assertEqual(sent, [True] * MAX_WAITING + [False])
        async with anyio.create_task_group() as group:
            group.start_soon(socket.run, address)
            with anyio.fail_after(1.0):
                await received.wait()
            group.cancel_scope.cancel()

    async def test_fault_of_a_handler_ends_the_instance(self) -> None:
        # Guards against an instance that goes on with a part that has failed.
        def fail(data: bytes) -> None:
            raise RuntimeError(data)

        address = free_address()
        socket = DatagramSocket(fail, lambda exc: None)
        socket.send(address, b"x")
        with self.assertRaises(RuntimeError), anyio.fail_after(1.0):
            await socket.run(address)


class BackgroundTasksTest(unittest.IsolatedAsyncioTestCase):
    """Tasks that accompany a request."""

    async def test_ends_with_the_context(self) -> None:
        # Guards against tasks that outlive the requests that they watch.
        ended = anyio.Event()

        async def watch() -> None:
            try:
                await anyio.sleep(60.0)
            finally:
                ended.set()

        with BackgroundTasks() as tasks:
            tasks.start_soon(watch)
            await anyio.sleep(0)
        with anyio.fail_after(1.0):
            await ended.wait()

    async def test_failure_of_a_task_is_raised(self) -> None:
        # Guards against faults that nobody sees.
        async def fail() -> None:
            raise RuntimeError

        with self.assertRaises(RuntimeError), BackgroundTasks() as tasks:
            tasks.start_soon(fail)
            await anyio.sleep(0)


if __name__ == "__main__":
    unittest.main()
