"""Instances on the platform: outages, meeting, slow callers, stops."""

import contextlib
import unittest
import unittest.mock

import anyio
from anyio.abc import SocketAttribute

from jasminerelay import peerlink
from jasminerelay.following import CHECK_AGE_S
from jasminerelay.httpclient import NotSentError
from jasminerelay.platform import root
from jasminerelay.platform.root import REGISTER_PAUSE_S
from jasminerelay.registry import Touch
from standins.platformsite import HOST, KEY, PLAIN, SiteOptions
from tests.platformcase import WAIT_S, PlatformCase, events, fetch

PROMPT = {"Token_Usage": "1200,20", "Prefix_Hash": "aa:1000,bb:200"}


class StoreOutageTest(PlatformCase):
    """Instances that the store does not serve."""

    async def cut_off_one(self, site, first, second) -> None:
        """Cuts the first of two instances off from the store alone."""
        await self.until(lambda: first.peers_live == 2)
        await self.until(lambda: second.peers_live == 2)
        self.cut_from_store(first)
        # The calls that wait already still bring one change each.
        site.configure()
        site.register("plain-2", PLAIN)
        await self.until(lambda: first.version == site.version)

    def cut_from_store(self, instance) -> None:
        async def refuse(exchange) -> None:
            if "/-/" in exchange.url:
                raise NotSentError("cut off")
            return await call(exchange)

        call = instance.client.call
        instance.client.call = refuse

    async def test_learns_from_another_instance(self) -> None:
        # The store turns one instance away. A key is taken and a server
        # leaves; the instance learns both from the other one within seconds.
        async with self.site(2) as (site, (first, second)):
            await self.cut_off_one(site, first, second)
            site.configure(tenants=[{"name": "elm", "apiKeys": ["new"]}])
            site.register("plain-1", PLAIN, "draining")
            await self.until(lambda: first.version == site.version)
            await self.until(lambda: len(first.registry.servers_of(PLAIN)) == 1)

    async def test_removed_server_while_cut_off(self) -> None:
        # Callers' requests reach a server twelve seconds after it left. One
        # instance is cut off from the store, all others and the servers are
        # not. A server's row is removed without a word of draining; the cut
        # off instance hears of it from another one within half a second.
        # Having lost the store itself, it takes the removal for the lapse of
        # a living server in an outage, and goes on sending there until two
        # seconds after the store serves it again. Lines of the instances
        # proved it: the others wrote "gone" at once, this one "kept without
        # a row".
        async with self.site(2) as (site, (first, second)):
            await self.cut_off_one(site, first, second)
            site.store.drop("servers", "plain-1")
            await self.until(
                lambda: len(second.registry.servers_of(PLAIN)) == 1
            )
            await self.until(lambda: len(first.registry.servers_of(PLAIN)) == 1)
            for number in range(4):
                attempt = f"a{number}"
                await self.ask(first, "/confirm/x", attempt=attempt)
            self.assertEqual(site.servers["plain-1"].journal, [])

    async def test_unknown_route_without_touch(self) -> None:
        # An instance has lost the store and knows no other. A route that it
        # does not know may have been added since: "not found" would be final
        # for the caller, so it says "not yet".
        async with self.site() as (site, (instance,)):
            site.store.faults.down = True
            await self.until(lambda: not instance.current)
            answer = await self.ask(instance, "/new/x")
            self.assertEqual(answer.status, 503)
            wrong = await self.ask(instance, "/confirm/x", key="new")
            self.assertEqual(wrong.status, 503)

    async def test_unknown_route_among_instances_without_touch(self) -> None:
        # The same with two instances that have both lost the store. Each says
        # the version that the other has; neither can know that it is the
        # newest, and a caller of a route just added was told "not found".
        async with self.site(2) as (site, (first, second)):
            await self.until(lambda: first.peers_live == 2)
            site.store.faults.down = True
            # The calls that wait already still bring one change each.
            site.configure()
            for instance in (first, second):
                await self.until(
                    lambda i=instance: i.registry.standing.touch == Touch.LOST
                )
            # So long the store's own last word counts.
            await anyio.sleep(root.CURRENT_S)
            answer = await self.ask(first, "/new/x")
            self.assertEqual(answer.status, 503)

    async def test_serves_without_store(self) -> None:
        async with self.site() as (site, (instance,)):
            site.store.faults.down = True
            answer = await self.ask(instance, "/confirm/x")
            self.assertEqual(answer.status, 200)

    async def test_start_without_store(self) -> None:
        # An instance that starts while the store is away knows nothing: it
        # says "not yet", not "no such route", and takes what it needs from
        # another instance.
        async with self.site() as (site, (first,)):
            site.store.faults.down = True
            async with anyio.create_task_group() as group:
                second = await self.start(group, site, "edge-2")
                await self.until(lambda: second.serving)
                answer = await self.ask(second, "/confirm/x")
                self.assertEqual(answer.status, 503)
                self.assertIn("retry-after", answer.headers)
                second.meet(first.boot.peers)
                await self.until(lambda: second.ready)
                answer = await self.ask(second, "/confirm/x")
                self.assertEqual(answer.status, 200)
                group.cancel_scope.cancel()


class UnnoticedOutageTest(PlatformCase):
    """An outage of the store that an instance's waiting calls do not show."""

    options = SiteOptions(links=True)

    async def test_another_instance_has_lost_the_store(self) -> None:
        # Callers are refused, since the pool is empty though its servers
        # live. The store refuses new calls and lets the waiting ones wait, so
        # only one instance notices. Rows of living servers lapse; the other
        # instance hears of that by its waiting call as if nothing else were
        # wrong, takes them for gone, and tells the first one so. Told that
        # the store is lost to another one, it must ask at once itself.
        async with self.site(2) as (site, (first, second)):
            await self.until(lambda: first.peers_live == 2)
            await self.until(lambda: second.peers_live == 2)
            await anyio.sleep(CHECK_AGE_S)
            site.store.faults.down = True
            site.links["edge-1"].reset()
            for instance in (first, second):
                await self.until(
                    lambda i=instance: i.registry.standing.touch == Touch.LOST
                )
            for name in ("plain-1", "plain-2"):
                site.store.drop("servers", name)
            site.store.faults.down = False
            for instance in (first, second):
                await self.until(
                    lambda i=instance: i.registry.standing.touch != Touch.LOST
                )
                self.assertEqual(len(instance.registry.servers_of(PLAIN)), 2)
                answer = await self.ask(instance, "/confirm/x")
                self.assertEqual(answer.status, 200)


class MeetingTest(PlatformCase):
    """Instances that know no address of each other."""

    async def test_started_apart(self) -> None:
        # One instance has long read the others' rows when a second one
        # starts, as after a loss. Callers of either must be told of both
        # within seconds, not when the rows are next read.
        async with (
            self.site() as (site, (first,)),
            anyio.create_task_group() as group,
        ):
            await anyio.sleep(3 * REGISTER_PAUSE_S)
            second = await self.start(group, site, "edge-2")
            await self.until(lambda: first.peers_live == 2)
            await self.until(lambda: second.peers_live == 2)
            group.cancel_scope.cancel()

    async def test_started_together(self) -> None:
        # All instances are killed and start again at once. The first words
        # that each sends come before the others listen, and are lost. Until
        # the next ones each takes itself for the only instance, names only
        # itself to callers and fills the engines as if it were alone.
        with unittest.mock.patch.object(peerlink, "GREET_EVERY_S", 1e9):
            async with (
                self.site() as (site, (first,)),
                await anyio.create_udp_socket(local_host="127.0.0.1") as other,
            ):
                host, port = other.extra(SocketAttribute.local_address)
                first.meet(f"{host}:{port}")
                with anyio.fail_after(WAIT_S):
                    for _ in range(3):
                        await other.receive()


class SlowCallerTest(PlatformCase):
    """Callers that hold connections without use."""

    LIMITS = {
        "maxHeaderBytes": 2000,
        "maxBodyBytes": 1000,
        "headerTimeoutMs": 300,
        "idleTimeoutMs": 300,
    }

    async def talk(self, instance, sent: bytes) -> bytes:
        """Sends bytes and reads until the instance hangs up."""
        host, _, port = instance.callers.rpartition(":")
        stream = await anyio.connect_tcp(host, int(port))
        read = b""
        async with stream:
            if sent:
                await stream.send(sent)
            with anyio.fail_after(5.0):
                with contextlib.suppress(anyio.EndOfStream):
                    while True:
                        read += await stream.receive()
        return read

    async def test_times_of_the_configuration(self) -> None:
        # Callers open connections and send nothing, half a head, or half a
        # body, or rest after a request. Each would hold a descriptor for
        # good; the operator's limits end them, and those that have not been
        # read are told truthfully that they did not run.
        async with self.site() as (site, (instance,)):
            site.configure(limits=self.LIMITS)
            await self.until(lambda: instance.version == site.version)
            head = f"POST /confirm/x HTTP/1.1\r\nHost: {HOST}\r\n".encode()
            key = f"Authorization: Bearer {KEY}\r\n".encode()
            whole = head + key + b"Attempt-Id: a1\r\nContent-Length: "
            for sent, status in (
                (b"", b""),
                (head, b"HTTP/1.1 408"),
                (head + b"X: " + b"x" * 3000, b"HTTP/1.1 400"),
                (whole + b"9\r\n\r\nhalf", b"HTTP/1.1 408"),
                (whole + b"0\r\n\r\n", b"HTTP/1.1 200"),
            ):
                with self.subTest(sent=sent[-20:]):
                    read = await self.talk(instance, sent)
                    self.assertEqual(read[:12], status)
            ran = [r for s in site.servers.values() for r in s.journal]
            self.assertEqual(len(ran), 1)


class StopToTheEndTest(PlatformCase):
    """A planned stop until the process is done."""

    options = SiteOptions(grace_s=1.5)

    async def test_row_is_removed(self) -> None:
        # An instance that has nothing under way ends before its grace time,
        # in order, and takes its row out of the store: a new one would greet
        # a dead address for good.
        async with self.site() as (site, (instance,)):
            await self.until(lambda: site.store.keys("jasminerelay_instances"))
            instance.stop()
            await self.until(lambda: not instance.running)
            self.assertEqual(site.store.keys("jasminerelay_instances"), [])

    async def test_store_away_at_the_end(self) -> None:
        async with self.site() as (site, (instance,)):
            site.store.faults.hang = True
            instance.stop()
            await self.until(lambda: not instance.running)


class StopTest(PlatformCase):
    """A planned stop of one of two instances."""

    async def test_stream_under_way_is_finished(self) -> None:
        # SIGTERM comes in the middle of a stream. The instance leaves the
        # entry lists at once, finishes the stream and ends.
        async with self.site(2) as (site, (first, second)):
            await self.until(lambda: second.peers_live == 2)
            answers = []

            async def ask() -> None:
                answers.append(
                    await self.ask(first, "/sheet/1/stream", **PROMPT)
                )

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await self.until(
                    lambda: any(s.journal for s in site.servers.values())
                )
                first.stop()
            self.assertEqual(answers[0].body, events(20))
            self.assertTrue(answers[0].whole)
            ready = await fetch(f"http://{first.readiness}/-/readyz")
            self.assertEqual(ready.status, 503)
            await self.until(lambda: second.peers_live == 1)
            late = await self.ask(first, "/confirm/x")
            self.assertEqual(late.status, 200)
            self.assertEqual(late.headers["connection"], "close")


if __name__ == "__main__":
    unittest.main()
