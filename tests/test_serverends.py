"""Tests what proves that a backend server has ended."""

import contextlib
import itertools
import random
import time
import unittest

import anyio

from jasminerelay import serverends
from jasminerelay.catalog import BackendServer
from jasminerelay.httpclient import NotSentError, ServerUnreachedError
from jasminerelay.metrics import Counters
from jasminerelay.scheduling.serverpaths import ServerPaths
from jasminerelay.serverends import Alive, Ended, ServerEnds, Unknown, Word
from standins.platformsite import SiteOptions
from standins.servernetwork import Cut
from tests.platformcase import PlatformCase

BROKEN = 24
"""Requests whose answers break off; three servers lose several of them."""

SETTLED_S = 1.0
"""Time after which the probes of servers that lost a connection have ended,
and their reports have reached the other instances."""

INNOCENT = 12
SHARED_PREFIX = "aa:500"


FATAL = b"ends each server that runs it"
MAX_CRASHED = 3
"""Servers that one request may crash before it is blocked."""

REPEATS = 8
RETRY_PAUSE_S = 0.4


def server(number: int) -> BackendServer:
    """Returns a server at an address of its own."""
    return BackendServer(f"s{number}", "b", f"h{number}:1", "z", 1, False)


class _Links:
    """Stands in for the connections of an instance.

    Attributes:
        failures: Why no direct connection opens, by server.
        word: Why no other instance opens one; None if one does.
        tried: Servers in the order of the direct attempts.
        ask_s: Time until other instances answer.
    """

    def __init__(self, paths: ServerPaths):
        self._paths = paths
        self.failures: dict[str, Exception] = {}
        self.word: NotSentError | None = None
        self.tried: list[str] = []
        self.ask_s = 0.0

    async def confirm_directly(self, server, timeout_s: float) -> None:
        """Opens one that stays open, or raises why it fails."""
        await self.connect_directly(server, timeout_s)

    async def connect_directly(self, server, timeout_s: float) -> None:
        """Opens a direct connection, or raises why it fails."""
        del timeout_s
        self.tried.append(server.id)
        if server.id in self.failures:
            raise NotSentError("failed") from self.failures[server.id]
        self._paths.record_direct(server.id, time.monotonic())

    async def confirm_relayed(self, server) -> None:
        """Opens one through another instance, or raises why it fails."""
        del server
        await anyio.sleep(self.ask_s)
        if self.word is not None:
            raise self.word


class ServerEndsTest(unittest.IsolatedAsyncioTestCase):
    """What one instance concludes of a server."""

    def setUp(self) -> None:
        self.paths = ServerPaths()
        self.links = _Links(self.paths)
        self.servers = [server(number) for number in range(6)]
        self.alone = False
        self.ends = ServerEnds(
            self.links,
            self.paths,
            lambda: self.servers,
            lambda: self.alone,
            Counters(),
            random.Random(1),
        )

    def refuse(self, count: int) -> None:
        """Has that many servers refuse direct connections."""
        for item in self.servers[:count]:
            self.links.failures[item.id] = ConnectionRefusedError()

    async def find(self, *options: float) -> serverends.ServerEnd:
        """Returns what is found of the first server."""
        return await self.ends.find(self.servers[0], *options)

    async def test_accepted_connection(self) -> None:
        self.assertEqual(await self.find(), Alive())
        self.assertEqual(self.links.tried, ["s0"])

    async def test_refusal_that_others_confirm(self) -> None:
        self.refuse(1)
        self.links.word = ServerUnreachedError("", refused_there=True)
        self.assertIsInstance(await self.find(), Ended)

    async def test_server_that_only_this_instance_does_not_reach(self) -> None:
        # Guards against a cut from one server that counts as its end.
        self.refuse(1)
        self.assertEqual(await self.find(), Alive())

    async def test_refusal_of_which_others_say_nothing(self) -> None:
        # Guards against the word of one instance while there are others.
        self.refuse(1)
        self.links.word = NotSentError("")
        self.assertEqual(await self.find(), Unknown(suspected=True))

    async def test_time_out_is_no_end(self) -> None:
        # Guards against slow servers that count as ended.
        self.links.failures["s0"] = TimeoutError()
        self.links.word = ServerUnreachedError("", refused_there=True)
        self.assertEqual(await self.find(), Unknown())

    async def test_alone(self) -> None:
        # Guards against a lone instance that never notices a crash.
        self.alone = True
        self.refuse(1)
        self.assertIsInstance(await self.find(), Ended)

    async def test_alone_and_cut_off(self) -> None:
        # Guards against a lone instance that blames requests for its cut.
        self.alone = True
        self.refuse(6)
        self.assertEqual(await self.find(), Unknown(suspected=True))

    async def test_alone_with_one_server(self) -> None:
        # Guards against a refusal that nothing tells from a cut.
        self.alone = True
        self.servers = self.servers[:1]
        self.refuse(1)
        self.assertEqual(await self.find(), Unknown(suspected=True))

    async def test_others_do_not_answer(self) -> None:
        # Guards against a caller that waits for the word of instances that
        # have hung.
        self.refuse(1)
        self.links.ask_s = 30.0
        began_at = time.monotonic()
        self.assertEqual(await self.find(0.05), Unknown(suspected=True))
        self.assertLess(time.monotonic() - began_at, 5.0)

    async def test_server_out_of_reach(self) -> None:
        # Guards against direct refusals at an instance that relays.
        self.refuse(6)
        for item in self.servers[:2]:
            self.paths.record_relayed(item.id, time.monotonic())
        self.assertEqual(await self.find(), Alive())
        self.links.word = ServerUnreachedError("")
        self.assertEqual(await self.find(), Unknown(suspected=True))
        self.links.word = ServerUnreachedError("", refused_there=True)
        self.assertIsInstance(await self.find(), Ended)
        self.assertEqual(self.links.tried, [])

    async def test_path_that_is_bad_is_tried_seldom(self) -> None:
        # Guards against a burst of connections while all servers are down.
        self.refuse(6)
        for _ in range(50):
            since = time.monotonic()
            good = await self.ends.path_is_good(self.servers[0], since)
            self.assertIs(good, False)
        self.assertLessEqual(
            len(self.links.tried), 2 * serverends.MAX_PATH_SERVERS
        )

    def test_answer_whose_end_is_in_doubt(self) -> None:
        # Guards against a short answer that passes for a whole one.
        may_have_ended = serverends.may_have_ended
        self.assertTrue(may_have_ended(Ended("refused_here")))
        self.assertTrue(may_have_ended(Unknown(suspected=True)))
        self.assertFalse(may_have_ended(Unknown()))
        self.assertFalse(may_have_ended(Alive()))

    def test_blame_needs_proof(self) -> None:
        # Guards against an end without a refusal, or against another's word.
        for word, refused, good in itertools.product(
            Word, (False, True), (False, True)
        ):
            end = serverends.conclude(word, refused=refused, path_good=good)
            if isinstance(end, Ended):
                self.assertTrue(word is Word.REFUSED or (refused and good))
                self.assertNotIn(word, (Word.REACHED, Word.SILENT))


class SoundServersTest(PlatformCase):
    """Servers that break answers off, at an instance cut off from them."""

    options = SiteOptions(
        engines=3, plain=3, retry_allowance=200.0, retry_ratio=1.0
    )
    networks = True

    @contextlib.asynccontextmanager
    async def cut_off(self, kind: Cut, cut_count: int, count: int):
        """Runs instances, the first of which are cut off from servers."""
        async with self.site(count) as (site, instances):
            await self.until(
                lambda: all(i.live_instance_count == count for i in instances)
            )
            for number, instance in enumerate(instances):
                await self.send(instance, f"w{number}", 6)
            for instance in instances[:cut_count]:
                self.network_of[instance.boot.name].cut(kind)
            yield site, instances

    async def send(self, instance, name: str, count: int) -> list[int]:
        """Sends streams with a shared part; returns their statuses."""
        statuses = []

        async def ask(number: int) -> None:
            kind = ("chat", "sheet")[number % 2]
            with anyio.move_on_after(5.0):
                answer = await self.ask(
                    instance,
                    f"/{kind}/{number}/stream",
                    attempt=f"{name}-{number}",
                    body=b"%d" % number,
                    Token_Usage="600,10",
                    Prefix_Hash=f"{SHARED_PREFIX},{number:x}:100",
                    Deadline_Ms="5000",
                )
                statuses.append(answer.status)

        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(ask, number)
                await anyio.sleep(0.02)
        return statuses

    async def check_sound(
        self,
        kind: Cut,
        *,
        by_connection: bool = False,
        cut_count: int = 1,
        count: int = 3,
    ) -> None:
        """Breaks answers off, then checks that nobody takes a server for dead.

        Args:
            kind: How the first instances are cut off.
            by_connection: Whether the answers end with their connections.
            cut_count: Number of instances that are cut off at once.
            count: Number of instances.
        """
        async with self.cut_off(kind, cut_count, count) as (site, instances):
            for server in site.servers.values():
                server.faults.by_connection = by_connection
                server.faults.break_after = 3
            await self.send(instances[0], "b", BROKEN)
            await anyio.sleep(SETTLED_S)
            for server in site.servers.values():
                server.faults.by_connection = False
                server.faults.break_after = 0
            for number, instance in enumerate(instances):
                statuses = await self.send(instance, f"i{number}", INNOCENT)
                self.assertNotIn(500, statuses, (kind, number))
            for instance in instances:
                counts = instance.counters.snapshot()
                found = {
                    name: counts[name]
                    for name in (
                        "crash.server_ended",
                        "crash.blocked",
                        "crash.told",
                        "crash.heard",
                    )
                    if counts.get(name)
                }
                self.assertEqual(found, {}, (kind, instance.boot.name))
                self.assertEqual(
                    instance._crashes.ledger.all_blocked, frozenset()
                )
            for instance in instances[cut_count:]:
                for server in instance.registry.servers():
                    health = instance.dispatcher.health(server.service)
                    self.assertFalse(health.unavailable(server.id))

    async def test_new_connections_are_refused(self) -> None:
        # Guards against requests blocked for the cut of one instance.
        await self.check_sound(Cut.NEW_REFUSED)

    async def test_connections_are_reset(self) -> None:
        # Guards against a reset by the network that counts as a crash.
        await self.check_sound(Cut.RESET)

    async def test_answers_by_connection(self) -> None:
        # Guards against answers without a length that end at a cut.
        await self.check_sound(Cut.NEW_REFUSED, by_connection=True)

    async def test_instances_that_share_a_cut(self) -> None:
        # Guards against instances that have just been cut off and confirm to
        # each other that servers are down.
        await self.check_sound(Cut.RESET, cut_count=4, count=5)


class CrashBehindCutTest(PlatformCase):
    """A request that crashes servers, at an instance cut off from them."""

    options = SiteOptions(engines=4, plain=1, fatal=FATAL)
    networks = True

    async def test_request_is_blocked(self) -> None:
        # Guards against crashes that an instance which is cut off misses.
        async with self.site(3) as (site, instances):
            await self.until(
                lambda: all(i.live_instance_count == 3 for i in instances)
            )
            self.network_of[instances[0].boot.name].cut(Cut.NEW_REFUSED)
            statuses = []
            for number in range(REPEATS):
                answer = await self.ask(
                    instances[0],
                    "/sheet/s1/stream",
                    attempt=f"try-{number}",
                    body=FATAL,
                    Token_Usage="100,5",
                    Prefix_Hash="a:60,b:40",
                )
                statuses.append(answer.status)
                await anyio.sleep(RETRY_PAUSE_S)
        self.assertLessEqual(len(site.ended), MAX_CRASHED)
        self.assertEqual(statuses[-1], 500, statuses)


if __name__ == "__main__":
    unittest.main()
