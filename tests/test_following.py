"""Following the store's tables through outages and lost history."""

import contextlib
import random
import types
import unittest

import anyio

from jasminerelay import following
from jasminerelay.catalog import BackendServer
from jasminerelay.errors import StoreError
from jasminerelay.eventlog import EventLog
from jasminerelay.following import (
    Follower,
    HistoryGoneError,
    Manner,
    Page,
    RegistryFeed,
    StoreState,
)
from jasminerelay.freshness import Freshness
from jasminerelay.metrics import Counters
from jasminerelay.registry import RETURN_GRACE_S, Registry
from jasminerelay.schema.messages import ServerRow
from jasminerelay.schema.settings import Statsd


def decode(name: str, data: bytes) -> BackendServer:
    """Reads a row of the form service:phase."""
    service, _, phase = data.decode().partition(":")
    if not service:
        raise ValueError(f"row {name} is empty")
    return BackendServer(name, service, "1.2.3.4:5", "z", 1, phase == "leaving")


def silent_log() -> EventLog:
    """Returns a log that writes nothing."""
    log = types.SimpleNamespace()
    log.info = log.trouble = lambda event, **fields: None
    return log


SILENT = object()
"""Stands for a call that is never answered."""


class Script:
    """A table that answers as told, one answer a call."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.on_silent = lambda: None
        self.waits: list[float | None] = []

    async def read(self) -> Page:
        return await self._next(None)

    async def changes(self, after: int, wait_s: float) -> Page:
        return await self._next(wait_s)

    async def _next(self, wait_s: float | None) -> Page:
        self.waits.append(wait_s)
        if not self.answers:
            await anyio.sleep_forever()
        answer = self.answers.pop(0)
        if answer is SILENT:
            self.on_silent()
            await anyio.sleep_forever()
        if isinstance(answer, Exception):
            raise answer
        return answer


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """One table."""

    async def follow(self, script: Script) -> Registry:
        registry = Registry(lambda data: None, decode)
        log = silent_log()
        state = StoreState(registry, Freshness(["servers"]), log)
        feed = RegistryFeed(registry, "configuration", Counters(Statsd()), log)
        follower = Follower(
            "servers", script, state, Counters(Statsd()), random.Random(1)
        )
        self.state = state
        following_s = (
            following.RETRY_LEAST_S,
            following.RETRY_MOST_S,
            following.STALE_PAUSE_S,
            following.GATHER_S,
        )
        following.RETRY_LEAST_S = following.RETRY_MOST_S = 0.0
        following.STALE_PAUSE_S = following.GATHER_S = 0.0
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    follower.run, feed.take_all_servers, feed.take_servers
                )
                while script.answers:
                    await anyio.sleep(0)
                for _ in range(10):
                    await anyio.sleep(0)
                group.cancel_scope.cancel()
        finally:
            (
                following.RETRY_LEAST_S,
                following.RETRY_MOST_S,
                following.STALE_PAUSE_S,
                following.GATHER_S,
            ) = following_s
        return registry

    async def test_removal_after_outage(self) -> None:
        # Callers' requests reach a server later than it may be used. The
        # store is away and comes back; nothing changes for some seconds, then
        # a server leaves without a word and its row goes. An instance whose
        # first call after the outage waits for a change learns of the return
        # with that very change, and keeps the server as if it had lapsed.
        row = ServerRow("s", 1, b"pool:ready")
        script = Script(
            Page((row,), 1),
            Page((), 1),
            StoreError("away"),
            Page((), 1),
            Page((ServerRow("s", 2, None),), 2),
        )
        registry = await self.follow(script)
        long = following.WAIT_S
        self.assertEqual(script.waits[:5], [None, 0.0, long, 0.0, long])
        self.assertFalse(self.state.lost)
        registry.expire(float("inf"))
        self.assertEqual(registry.servers(), [])

    async def test_call_that_an_outage_left_without_answer(self) -> None:
        # A server says that it leaves, and two seconds later a caller's
        # request reaches it. The store was silent for some seconds; the call
        # that waited for changes of servers then stayed without an answer for
        # good, on a connection that looked alive, while the call for the
        # configuration had failed and worked again long ago.
        row = ServerRow("s", 1, b"pool:ready")
        script = Script(
            Page((row,), 1),
            Page((), 1),
            SILENT,
            Page((ServerRow("s", 2, b"pool:leaving"),), 2),
        )
        script.on_silent = lambda: self.state.failed("op", "silent")
        with anyio.fail_after(10):
            registry = await self.follow(script)
        self.assertTrue(registry.server("s").draining)
        self.assertEqual(script.waits[3], 0.0)

    async def test_doubt_ends_a_long_pause(self) -> None:
        # Among many instances most pause for seconds after a change, since
        # others tell them. The store goes away in such a pause; another
        # instance says so. This one must ask at once: rows that lapse before
        # it notices would pass for removals, and the pool would be empty.
        async with self.pausing(lambda: Manner(1.0, 60.0)) as (script, state):
            await anyio.sleep(0.05)
            self.assertEqual(len(script.waits), 2)
            state.failed("op", "silent")
            await self.asked(script, 3)
        self.assertEqual(script.waits[2], 0.0)

    async def test_silent_leaders_end_a_long_pause(self) -> None:
        # Those who follow the store for this instance die while it pauses. A
        # server that leaves then must still be known in two seconds, so the
        # pause ends once they have been silent, and not after its full time.
        manners = [Manner(1.0, 60.0)]
        async with self.pausing(lambda: manners[0]) as (script, _):
            manners[0] = Manner(1.0, 0.0)
            await self.asked(script, 3)

    @contextlib.asynccontextmanager
    async def pausing(self, manner):
        """Gives the calls of a follower that pauses as told, and its state."""
        row = ServerRow("s", 1, b"pool:ready")
        changed = ServerRow("s", 2, b"pool:ready")
        script = Script(Page((row,), 1), Page((changed,), 2), Page((), 2))
        registry = Registry(lambda data: None, decode)
        log = silent_log()
        state = StoreState(registry, Freshness(["servers"]), log)
        counters = Counters(Statsd())
        feed = RegistryFeed(registry, "configuration", counters, log)
        follower = Follower(
            "servers", script, state, counters, random.Random(1), manner
        )
        with anyio.fail_after(10):
            async with anyio.create_task_group() as group:
                group.start_soon(
                    follower.run, feed.take_all_servers, feed.take_servers
                )
                await self.asked(script, 2)
                yield script, state
                group.cancel_scope.cancel()

    async def asked(self, script: Script, count: int) -> None:
        """Waits until the store has been asked so often."""
        while len(script.waits) < count:
            await anyio.sleep(0.001)

    async def test_lost_history(self) -> None:
        # A server leaves while the store forgets its history. The follower is
        # told so, reads all rows and must notice that one is missing.
        rows = [ServerRow(name, 1, b"pool:ready") for name in "ab"]
        script = Script(
            Page(tuple(rows), 1),
            HistoryGoneError("gone"),
            Page((rows[0],), 5),
        )
        registry = await self.follow(script)
        self.assertEqual([s.id for s in registry.servers()], ["a"])

    async def test_stale_read(self) -> None:
        # After lost history the store may answer from an older moment. Taking
        # that would bring back a server that has left; it is read again.
        ready = ServerRow("a", 1, b"pool:ready")
        leaving = ServerRow("a", 4, b"pool:leaving")
        script = Script(
            Page((ready,), 1),
            Page((leaving,), 4),
            HistoryGoneError("gone"),
            Page((ready,), 2),
            Page((leaving,), 4),
        )
        registry = await self.follow(script)
        self.assertTrue(registry.server("a").draining)
        self.assertEqual(registry.servers_of("pool"), [])

    async def test_unreadable_row(self) -> None:
        # One row that cannot be read must not cost the others.
        script = Script(
            Page((ServerRow("a", 1, b""), ServerRow("b", 2, b"pool:ready")), 2),
        )
        registry = await self.follow(script)
        self.assertEqual([s.id for s in registry.servers()], ["b"])


class FeedTest(unittest.TestCase):
    """What the lines tell of rows that are taken or passed over."""

    def test_configuration_passed_over(self) -> None:
        # An operator finds an old configuration in force. A line tells a row
        # that came and was passed over from one that never came.
        lines = []
        log = types.SimpleNamespace(
            trouble=lambda event, **fields: lines.append((event, fields))
        )
        registry = Registry(
            lambda data: types.SimpleNamespace(version=int(data)), decode
        )
        feed = RegistryFeed(registry, "config", Counters(Statsd()), log)
        for version, data in ((5, b"7"), (6, b"6"), (5, b"7")):
            row = ServerRow("config", version, data)
            feed.take_configuration(Page((row,), version))
        self.assertEqual(
            [(event, fields["row_version"]) for event, fields in lines],
            [("configuration", 5), ("configuration_passed_over", 6)],
        )


class RegistryTest(unittest.TestCase):
    """Knowledge from the store and from other instances."""

    def setUp(self) -> None:
        self.registry = Registry(self._catalog, decode)

    @staticmethod
    def _catalog(data: bytes):
        return types.SimpleNamespace(version=int(data))

    def test_configuration_never_goes_back(self) -> None:
        self.assertTrue(self.registry.take_configuration(5, b"7"))
        self.assertFalse(self.registry.take_configuration(4, b"6"))
        self.assertFalse(self.registry.take_configuration(6, b"6"))
        self.assertEqual(self.registry.catalog.version, 7)

    def test_unreadable_configuration_changes_nothing(self) -> None:
        self.registry.take_configuration(1, b"1")
        with self.assertRaises(ValueError):
            self.registry.take_configuration(2, b"?")
        self.assertTrue(self.registry.take_configuration(3, b"3"))

    def test_lapsed_in_outage(self) -> None:
        # The pool must not look empty since the store was away: servers could
        # not renew their rows, which lapsed, but they serve all the same.
        # Those that are back in time stay without a gap; the others go.
        for name in "ab":
            self.registry.take_changes([ServerRow(name, 1, b"pool:ready")], 1)
        self.registry.store_lost()
        gone = [ServerRow(name, 2, None) for name in "ab"]
        self.registry.take_changes(gone, 2)
        self.assertEqual(len(self.registry.servers_of("pool")), 2)
        self.registry.store_regained(10.0)
        self.assertEqual(self.registry.expire(10.0 + RETURN_GRACE_S / 2), [])
        self.registry.take_changes([ServerRow("a", 3, b"pool:ready")], 3)
        gone = self.registry.expire(10.1 + RETURN_GRACE_S)
        self.assertEqual([server.id for server in gone], ["b"])
        left = [server.id for server in self.registry.servers_of("pool")]
        self.assertEqual(left, ["a"])

    def test_gone_in_calm(self) -> None:
        # With the store at hand a row that goes means a server that leaves.
        self.registry.take_changes([ServerRow("a", 1, b"pool:ready")], 1)
        self.registry.take_changes([ServerRow("a", 2, None)], 2)
        self.assertEqual(self.registry.servers(), [])

    def test_adopts_newer_only(self) -> None:
        # An instance that the store turns away learns from another one that a
        # server leaves; an older word must not bring the server back.
        other = Registry(self._catalog, decode)
        for registry in (self.registry, other):
            registry.take_changes([ServerRow("a", 1, b"pool:ready")], 1)
        before = other.export()
        other.take_changes([ServerRow("a", 2, b"pool:leaving")], 2)
        other.take_configuration(3, b"3")
        self.registry.adopt(other.export())
        self.assertTrue(self.registry.server("a").draining)
        self.assertEqual(self.registry.catalog.version, 3)
        self.registry.adopt(before)
        self.assertTrue(self.registry.server("a").draining)

    def test_standing_tells_difference(self) -> None:
        empty = self.registry.standing
        self.registry.take_changes([ServerRow("a", 1, b"pool:ready")], 1)
        self.assertNotEqual(
            empty.servers_digest, self.registry.standing.servers_digest
        )


class SettledTest(unittest.TestCase):
    """Who may judge that a server without a row is gone.

    Callers' requests reach a server long after it left: its row was removed,
    and an instance that had lost the store took the removal for the lapse of
    a living server. An instance that has had the store throughout can tell
    the two apart, so its list decides; nobody else's does.
    """

    def setUp(self) -> None:
        self.there = self.instance()
        self.cut = self.instance()
        self.there.expire(RETURN_GRACE_S)
        self.cut.store_lost()

    @staticmethod
    def instance() -> Registry:
        """Returns an instance that the store answers first at 0 s."""
        registry = Registry(lambda data: None, decode)
        registry.store_regained(0.0)
        rows = [ServerRow(name, 1, b"pool:ready") for name in "ab"]
        registry.take_all(rows, 2)
        return registry

    @staticmethod
    def ids(registry: Registry) -> list[str]:
        return [server.id for server in registry.servers_of("pool")]

    def hear(self, other: Registry) -> None:
        """Lets the cut off instance take another one's list, if it asks."""
        if self.cut.behind(other.standing):
            self.cut.adopt(other.export())

    def test_removed_before_the_others_eyes(self) -> None:
        self.there.take_changes([ServerRow("a", 5, None)], 5)
        self.hear(self.there)
        self.assertEqual(self.ids(self.cut), ["b"])

    def test_heard_from_one_that_cannot_tell(self) -> None:
        # All have lost the store; one has it back and finds a row missing. It
        # may be that of a living server, so nobody drops it yet. After the
        # grace time that one's list is settled, though nothing in it changed.
        self.there.store_lost()
        self.there.store_regained(20.0)
        self.there.take_changes([ServerRow("a", 5, None)], 5)
        self.hear(self.there)
        self.assertEqual(self.ids(self.cut), ["a", "b"])
        self.assertFalse(self.cut.behind(self.there.standing))
        self.there.expire(20.0 + RETURN_GRACE_S)
        self.hear(self.there)
        self.assertEqual(self.ids(self.cut), ["b"])

    def test_found_missing_at_its_own_return(self) -> None:
        # The cut off instance hears of nobody until its return, and reads all
        # rows as of a newer moment than the others have had news of.
        self.there.take_changes([ServerRow("a", 5, None)], 5)
        self.cut.store_regained(20.0)
        rows = [ServerRow("b", 1, b"pool:ready")]
        self.cut.take_all(rows, 9)
        self.assertEqual(self.ids(self.cut), ["a", "b"])
        self.hear(self.there)
        self.assertEqual(self.ids(self.cut), ["b"])

    def test_list_from_before_the_removal(self) -> None:
        # The other one has not heard of the removal yet. Its list decides
        # nothing, and is not asked for again until it is newer.
        self.cut.take_changes([ServerRow("a", 5, None)], 5)
        self.hear(self.there)
        self.assertEqual(self.ids(self.cut), ["a", "b"])
        self.assertFalse(self.cut.behind(self.there.standing))
        self.there.take_changes([ServerRow("a", 5, None)], 5)
        self.hear(self.there)
        self.assertEqual(self.ids(self.cut), ["b"])

    def test_row_newer_than_the_list(self) -> None:
        # A server came after the list was made, and its row lapsed: the list
        # cannot know it.
        self.cut.take_changes([ServerRow("c", 7, b"pool:ready")], 7)
        self.cut.take_changes([ServerRow("c", 8, None)], 8)
        self.there.take_changes([ServerRow("a", 5, None)], 5)
        self.assertFalse(self.cut.behind(self.there.standing))
        self.cut.adopt(self.there.export())
        self.assertEqual(self.ids(self.cut), ["a", "b", "c"])

    def test_fresh_instance_cannot_tell(self) -> None:
        # An instance starts just after an outage and reads a table in which
        # the row of a living server is missing. Others keep that server.
        fresh = Registry(lambda data: None, decode)
        fresh.store_regained(20.0)
        fresh.take_all([ServerRow("b", 1, b"pool:ready")], 9)
        fresh.expire(20.1)
        self.hear(fresh)
        self.assertEqual(self.ids(self.cut), ["a", "b"])
        fresh.expire(20.0 + RETURN_GRACE_S)
        self.hear(fresh)
        self.assertEqual(self.ids(self.cut), ["b"])

    def test_history_heard_of_already(self) -> None:
        # A request reaches a server that left while its instance was cut off,
        # though the others had told it so. At its return the store gives the
        # changes since its last call, one after another: the old row brought
        # the server back, and its removal then passed for a lapse.
        self.there.take_changes([ServerRow("a", 4, b"pool:ready")], 4)
        self.there.take_changes([ServerRow("a", 5, None)], 5)
        self.hear(self.there)
        self.cut.store_regained(20.0)
        history = [
            ServerRow("a", 4, b"pool:ready"),
            ServerRow("a", 5, None),
            ServerRow("c", 6, b"pool:ready"),
            ServerRow("c", 7, None),
        ]
        news = self.cut.take_changes(history, 8)
        self.assertEqual(self.ids(self.cut), ["b"])
        self.assertEqual(news, [])

    def test_return_of_one_moves_nobody(self) -> None:
        # The returned instance has read as of a newer moment and still keeps
        # a server that the others dropped. That is no news to them, and not
        # worth a fetch by each of them.
        self.there.take_changes([ServerRow("a", 5, None)], 5)
        self.cut.store_regained(20.0)
        rows = [ServerRow("b", 1, b"pool:ready")]
        self.cut.take_all(rows, 9)
        self.assertFalse(self.there.behind(self.cut.standing))


if __name__ == "__main__":
    unittest.main()
