"""Tests of following the store's tables through outages and lost history."""

import contextlib
import random
import types
import unittest

import anyio

from jasminerelay import storefollowing
from jasminerelay.catalog import BackendServer
from jasminerelay.errors import StoreError
from jasminerelay.eventlog import EventLog
from jasminerelay.freshness import Freshness
from jasminerelay.metrics import Counters
from jasminerelay.registry import RETURN_GRACE_S, Registry
from jasminerelay.schema.messages import ServerRow
from jasminerelay.schema.settings import Statsd
from jasminerelay.storefollowing import (
    FollowMode,
    HistoryGoneError,
    RegistryFeed,
    StoreMonitor,
    TableFollower,
    TablePage,
)


def decode(name: str, data: bytes) -> BackendServer:
    """Decodes a row of the form service:phase."""
    service, _, phase = data.decode().partition(":")
    if not service:
        raise ValueError(f"row {name} is empty")
    return BackendServer(name, service, "1.2.3.4:5", "z", 1, phase == "leaving")


def silent_log() -> EventLog:
    """Returns a log that discards everything."""
    log = types.SimpleNamespace()
    log.info = log.warn = lambda event, **fields: None
    return log


UNANSWERED = object()
"""Marks a call that is never answered."""


class ScriptedTable:
    """A table that gives prepared answers, one for each call."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.on_unanswered = lambda: None
        self.waits: list[float | None] = []

    async def read(self) -> TablePage:
        return await self._next(None)

    async def changes(self, after: int, wait_s: float) -> TablePage:
        return await self._next(wait_s)

    async def _next(self, wait_s: float | None) -> TablePage:
        self.waits.append(wait_s)
        if not self.answers:
            await anyio.sleep_forever()
        answer = self.answers.pop(0)
        if answer is UNANSWERED:
            self.on_unanswered()
            await anyio.sleep_forever()
        if isinstance(answer, Exception):
            raise answer
        return answer


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """Following one table."""

    async def follow(self, script: ScriptedTable) -> Registry:
        registry = Registry(lambda data: None, decode)
        log = silent_log()
        state = StoreMonitor(registry, Freshness(["servers"]), log)
        feed = RegistryFeed(registry, "configuration", Counters(Statsd()), log)
        follower = TableFollower(
            "servers", script, state, Counters(Statsd()), random.Random(1)
        )
        self.state = state
        saved = (
            storefollowing.RETRY_MIN_S,
            storefollowing.RETRY_MAX_S,
            storefollowing.STALE_READ_PAUSE_S,
            storefollowing.BATCH_PAUSE_S,
        )
        storefollowing.RETRY_MIN_S = storefollowing.RETRY_MAX_S = 0.0
        storefollowing.STALE_READ_PAUSE_S = storefollowing.BATCH_PAUSE_S = 0.0
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    follower.run,
                    feed.apply_all_servers,
                    feed.apply_server_changes,
                )
                while script.answers:
                    await anyio.sleep(0)
                for _ in range(10):
                    await anyio.sleep(0)
                group.cancel_scope.cancel()
        finally:
            (
                storefollowing.RETRY_MIN_S,
                storefollowing.RETRY_MAX_S,
                storefollowing.STALE_READ_PAUSE_S,
                storefollowing.BATCH_PAUSE_S,
            ) = saved
        return registry

    async def test_removal_after_outage(self) -> None:
        # Guards against requests to a server that has left. The store is
        # unreachable and returns; nothing changes for some seconds, then a
        # server leaves without announcing it and its row is removed. If the
        # first call after the outage waits for a change, the instance learns of
        # the store's return together with that removal, and keeps the server as
        # if its row had lapsed.
        row = ServerRow("s", 1, b"pool:ready")
        script = ScriptedTable(
            TablePage((row,), 1),
            TablePage((), 1),
            StoreError("away"),
            TablePage((), 1),
            TablePage((ServerRow("s", 2, None),), 2),
        )
        registry = await self.follow(script)
        long = storefollowing.LONG_POLL_S
        self.assertEqual(script.waits[:5], [None, 0.0, long, 0.0, long])
        self.assertFalse(self.state.lost)
        registry.expire(float("inf"))
        self.assertEqual(registry.servers(), [])

    async def test_waiting_call_left_unanswered_by_outage(self) -> None:
        # Guards against requests to a server that announced two seconds earlier
        # that it leaves. The store was unresponsive for some seconds, and the
        # call that waited for changes of servers stayed unanswered for good, on
        # a connection that looked alive, while the call for the configuration
        # had failed and succeeded again long before.
        row = ServerRow("s", 1, b"pool:ready")
        script = ScriptedTable(
            TablePage((row,), 1),
            TablePage((), 1),
            UNANSWERED,
            TablePage((ServerRow("s", 2, b"pool:leaving"),), 2),
        )
        script.on_unanswered = lambda: self.state.failed("op", "silent")
        with anyio.fail_after(10):
            registry = await self.follow(script)
        self.assertTrue(registry.server("s").draining)
        self.assertEqual(script.waits[3], 0.0)

    async def test_store_loss_ends_a_long_pause(self) -> None:
        # Guards against an empty pool. In a large platform most instances pause
        # for seconds after a change, since others forward changes to them. The
        # store becomes unreachable during such a pause, and another instance
        # reports it. This instance must call at once: rows that lapse before it
        # notices the outage would be taken for removals.
        async with self.pausing(lambda: FollowMode(1.0, 60.0)) as (
            script,
            state,
        ):
            await anyio.sleep(0.05)
            self.assertEqual(len(script.waits), 2)
            state.failed("op", "silent")
            await self.wait_for_calls(script, 3)
        self.assertEqual(script.waits[2], 0.0)

    async def test_unresponsive_followers_end_a_long_pause(self) -> None:
        # Guards against late news of a leaving server. The instances that
        # follow the store for this one die while it pauses. A server that
        # leaves then must still be known within two seconds, so the pause ends
        # once they are unresponsive, not after its full time.
        manners = [FollowMode(1.0, 60.0)]
        async with self.pausing(lambda: manners[0]) as (script, _):
            manners[0] = FollowMode(1.0, 0.0)
            await self.wait_for_calls(script, 3)

    @contextlib.asynccontextmanager
    async def pausing(self, mode):
        """Yields the calls of a follower during its pause, and its state."""
        row = ServerRow("s", 1, b"pool:ready")
        changed = ServerRow("s", 2, b"pool:ready")
        script = ScriptedTable(
            TablePage((row,), 1), TablePage((changed,), 2), TablePage((), 2)
        )
        registry = Registry(lambda data: None, decode)
        log = silent_log()
        state = StoreMonitor(registry, Freshness(["servers"]), log)
        counters = Counters(Statsd())
        feed = RegistryFeed(registry, "configuration", counters, log)
        follower = TableFollower(
            "servers", script, state, counters, random.Random(1), mode
        )
        with anyio.fail_after(10):
            async with anyio.create_task_group() as group:
                group.start_soon(
                    follower.run,
                    feed.apply_all_servers,
                    feed.apply_server_changes,
                )
                await self.wait_for_calls(script, 2)
                yield script, state
                group.cancel_scope.cancel()

    async def wait_for_calls(self, script: ScriptedTable, count: int) -> None:
        """Waits until the store has received a number of calls."""
        while len(script.waits) < count:
            await anyio.sleep(0.001)

    async def test_lost_history(self) -> None:
        # Guards against a server that stays in use after it left. The server
        # leaves while the store discards its history. The follower is notified
        # of the lost history, reads all rows and must notice that one is
        # missing.
        rows = [ServerRow(name, 1, b"pool:ready") for name in "ab"]
        script = ScriptedTable(
            TablePage(tuple(rows), 1),
            HistoryGoneError("gone"),
            TablePage((rows[0],), 5),
        )
        registry = await self.follow(script)
        self.assertEqual([s.id for s in registry.servers()], ["a"])

    async def test_stale_read(self) -> None:
        # After lost history the store may answer with an older version.
        # Applying that would bring back a server that has left, so it is read
        # again.
        ready = ServerRow("a", 1, b"pool:ready")
        leaving = ServerRow("a", 4, b"pool:leaving")
        script = ScriptedTable(
            TablePage((ready,), 1),
            TablePage((leaving,), 4),
            HistoryGoneError("gone"),
            TablePage((ready,), 2),
            TablePage((leaving,), 4),
        )
        registry = await self.follow(script)
        self.assertTrue(registry.server("a").draining)
        self.assertEqual(registry.servers_of("pool"), [])

    async def test_unreadable_row(self) -> None:
        # One unreadable row must not hide the other rows.
        script = ScriptedTable(
            TablePage(
                (ServerRow("a", 1, b""), ServerRow("b", 2, b"pool:ready")), 2
            ),
        )
        registry = await self.follow(script)
        self.assertEqual([s.id for s in registry.servers()], ["b"])


class FeedTest(unittest.TestCase):
    """Log lines about rows that are applied or ignored."""

    def test_configuration_passed_over(self) -> None:
        # An operator finds an old configuration in force. The log line
        # distinguishes a row that arrived and was ignored from one that never
        # arrived.
        lines = []
        log = types.SimpleNamespace(
            warn=lambda event, **fields: lines.append((event, fields))
        )
        registry = Registry(
            lambda data: types.SimpleNamespace(version=int(data)), decode
        )
        feed = RegistryFeed(registry, "config", Counters(Statsd()), log)
        for version, data in ((5, b"7"), (6, b"6"), (5, b"7")):
            row = ServerRow("config", version, data)
            feed.apply_operator_rows(TablePage((row,), version))
        self.assertEqual(
            [(event, fields["row_version"]) for event, fields in lines],
            [("configuration", 5), ("configuration_passed_over", 6)],
        )


class RegistryTest(unittest.TestCase):
    """State received from the store and from other instances."""

    def setUp(self) -> None:
        self.registry = Registry(self._catalog, decode)

    @staticmethod
    def _catalog(data: bytes):
        return types.SimpleNamespace(version=int(data))

    def test_configuration_never_goes_back(self) -> None:
        self.assertTrue(self.registry.apply_configuration(5, b"7"))
        self.assertFalse(self.registry.apply_configuration(4, b"6"))
        self.assertFalse(self.registry.apply_configuration(6, b"6"))
        self.assertEqual(self.registry.catalog.version, 7)

    def test_unreadable_configuration_changes_nothing(self) -> None:
        self.registry.apply_configuration(1, b"1")
        with self.assertRaises(ValueError):
            self.registry.apply_configuration(2, b"?")
        self.assertTrue(self.registry.apply_configuration(3, b"3"))

    def test_rows_lapsed_during_outage(self) -> None:
        # Guards against an empty pool after a store outage: servers could not
        # renew their rows, which lapsed, but they are alive and serving.
        # Servers that renew in time are used without a gap; the others are
        # removed.
        for name in "ab":
            self.registry.apply_changes([ServerRow(name, 1, b"pool:ready")], 1)
        self.registry.mark_store_unreachable()
        gone = [ServerRow(name, 2, None) for name in "ab"]
        self.registry.apply_changes(gone, 2)
        self.assertEqual(len(self.registry.servers_of("pool")), 2)
        self.registry.mark_store_reachable(10.0)
        self.assertEqual(self.registry.expire(10.0 + RETURN_GRACE_S / 2), [])
        self.registry.apply_changes([ServerRow("a", 3, b"pool:ready")], 3)
        gone = self.registry.expire(10.1 + RETURN_GRACE_S)
        self.assertEqual([server.id for server in gone], ["b"])
        left = [server.id for server in self.registry.servers_of("pool")]
        self.assertEqual(left, ["a"])

    def test_removed_row_without_outage(self) -> None:
        # While the store is reachable a removed row means a server that leaves.
        self.registry.apply_changes([ServerRow("a", 1, b"pool:ready")], 1)
        self.registry.apply_changes([ServerRow("a", 2, None)], 2)
        self.assertEqual(self.registry.servers(), [])

    def test_adopts_newer_only(self) -> None:
        # An instance that the store rejects learns from another one that a
        # server leaves; an older message must not bring the server back.
        other = Registry(self._catalog, decode)
        for registry in (self.registry, other):
            registry.apply_changes([ServerRow("a", 1, b"pool:ready")], 1)
        before = other.export_snapshot()
        other.apply_changes([ServerRow("a", 2, b"pool:leaving")], 2)
        other.apply_configuration(3, b"3")
        self.registry.merge_snapshot(other.export_snapshot())
        self.assertTrue(self.registry.server("a").draining)
        self.assertEqual(self.registry.catalog.version, 3)
        self.registry.merge_snapshot(before)
        self.assertTrue(self.registry.server("a").draining)

    def test_standing_digest_changes_with_rows(self) -> None:
        empty = self.registry.standing
        self.registry.apply_changes([ServerRow("a", 1, b"pool:ready")], 1)
        self.assertNotEqual(
            empty.servers_digest, self.registry.standing.servers_digest
        )


class SettledTest(unittest.TestCase):
    """Which instances may decide that a server without a row has left.

    Guards against requests that reach a server long after it left: its row was
    removed, and an instance that had lost the store took the removal for the
    lapse of a living server's row. An instance that has had the store
    throughout can tell the two apart, so its list decides, and no other.
    """

    def setUp(self) -> None:
        self.there = self.instance()
        self.isolated = self.instance()
        self.there.expire(RETURN_GRACE_S)
        self.isolated.mark_store_unreachable()

    @staticmethod
    def instance() -> Registry:
        """Returns the registry of an instance connected from 0 s on."""
        registry = Registry(lambda data: None, decode)
        registry.mark_store_reachable(0.0)
        rows = [ServerRow(name, 1, b"pool:ready") for name in "ab"]
        registry.apply_full_read(rows, 2)
        return registry

    @staticmethod
    def usable_ids(registry: Registry) -> list[str]:
        return [server.id for server in registry.servers_of("pool")]

    def merge_from(self, other: Registry) -> None:
        """Merges another instance's snapshot if it is newer."""
        if self.isolated.is_behind(other.standing):
            self.isolated.merge_snapshot(other.export_snapshot())

    def test_removal_seen_by_a_connected_instance(self) -> None:
        self.there.apply_changes([ServerRow("a", 5, None)], 5)
        self.merge_from(self.there)
        self.assertEqual(self.usable_ids(self.isolated), ["b"])

    def test_list_of_an_unsettled_instance(self) -> None:
        # All instances lost the store. One reaches it again and finds a row
        # missing. That row may belong to a living server, so no instance
        # removes the server yet. After the grace period that instance's list is
        # settled, although nothing in it changed.
        self.there.mark_store_unreachable()
        self.there.mark_store_reachable(20.0)
        self.there.apply_changes([ServerRow("a", 5, None)], 5)
        self.merge_from(self.there)
        self.assertEqual(self.usable_ids(self.isolated), ["a", "b"])
        self.assertFalse(self.isolated.is_behind(self.there.standing))
        self.there.expire(20.0 + RETURN_GRACE_S)
        self.merge_from(self.there)
        self.assertEqual(self.usable_ids(self.isolated), ["b"])

    def test_row_missing_after_its_own_reconnection(self) -> None:
        # The isolated instance receives no message until it reaches the store
        # again, and then reads all rows at a newer version than the others have
        # been notified of.
        self.there.apply_changes([ServerRow("a", 5, None)], 5)
        self.isolated.mark_store_reachable(20.0)
        rows = [ServerRow("b", 1, b"pool:ready")]
        self.isolated.apply_full_read(rows, 9)
        self.assertEqual(self.usable_ids(self.isolated), ["a", "b"])
        self.merge_from(self.there)
        self.assertEqual(self.usable_ids(self.isolated), ["b"])

    def test_list_from_before_the_removal(self) -> None:
        # The other instance has not received the removal yet. Its list decides
        # nothing, and is not fetched again until it is newer.
        self.isolated.apply_changes([ServerRow("a", 5, None)], 5)
        self.merge_from(self.there)
        self.assertEqual(self.usable_ids(self.isolated), ["a", "b"])
        self.assertFalse(self.isolated.is_behind(self.there.standing))
        self.there.apply_changes([ServerRow("a", 5, None)], 5)
        self.merge_from(self.there)
        self.assertEqual(self.usable_ids(self.isolated), ["b"])

    def test_row_newer_than_the_list(self) -> None:
        # A server started after the list was made, and its row lapsed: the list
        # cannot contain it.
        self.isolated.apply_changes([ServerRow("c", 7, b"pool:ready")], 7)
        self.isolated.apply_changes([ServerRow("c", 8, None)], 8)
        self.there.apply_changes([ServerRow("a", 5, None)], 5)
        self.assertFalse(self.isolated.is_behind(self.there.standing))
        self.isolated.merge_snapshot(self.there.export_snapshot())
        self.assertEqual(self.usable_ids(self.isolated), ["a", "b", "c"])

    def test_list_of_a_fresh_instance_is_not_settled(self) -> None:
        # An instance starts just after an outage and reads a table that lacks
        # the row of a living server. Other instances keep that server.
        fresh = Registry(lambda data: None, decode)
        fresh.mark_store_reachable(20.0)
        fresh.apply_full_read([ServerRow("b", 1, b"pool:ready")], 9)
        fresh.expire(20.1)
        self.merge_from(fresh)
        self.assertEqual(self.usable_ids(self.isolated), ["a", "b"])
        fresh.expire(20.0 + RETURN_GRACE_S)
        self.merge_from(fresh)
        self.assertEqual(self.usable_ids(self.isolated), ["b"])

    def test_history_already_received_from_others(self) -> None:
        # Guards against requests to a server that left while the instance was
        # cut off from the store, although other instances had reported the
        # removal. After the instance's return the store sends the changes since
        # its last call in order: the old row brought the server back, and its
        # removal was then taken for a lapse.
        self.there.apply_changes([ServerRow("a", 4, b"pool:ready")], 4)
        self.there.apply_changes([ServerRow("a", 5, None)], 5)
        self.merge_from(self.there)
        self.isolated.mark_store_reachable(20.0)
        history = [
            ServerRow("a", 4, b"pool:ready"),
            ServerRow("a", 5, None),
            ServerRow("c", 6, b"pool:ready"),
            ServerRow("c", 7, None),
        ]
        changes = self.isolated.apply_changes(history, 8)
        self.assertEqual(self.usable_ids(self.isolated), ["b"])
        self.assertEqual(changes, [])

    def test_reconnected_instance_causes_no_fetch(self) -> None:
        # The returned instance has read a newer version and still keeps a
        # server that the others removed. That is nothing new to the others, and
        # not worth a fetch by each of them.
        self.there.apply_changes([ServerRow("a", 5, None)], 5)
        self.isolated.mark_store_reachable(20.0)
        rows = [ServerRow("b", 1, b"pool:ready")]
        self.isolated.apply_full_read(rows, 9)
        self.assertFalse(self.there.is_behind(self.isolated.standing))


if __name__ == "__main__":
    unittest.main()
