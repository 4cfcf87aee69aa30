"""Tests instances on the platform: outages, discovery, slow callers, stops."""

import contextlib
import unittest
import unittest.mock

import anyio
from anyio.abc import SocketAttribute

from jasminerelay import followerroles, peerlink
from jasminerelay.httpclient import NotSentError
from jasminerelay.platform import root
from jasminerelay.platform.root import REGISTER_PAUSE_S
from jasminerelay.registry import StoreStatus
from jasminerelay.storefollowing import LONG_POLL_S, MIN_RECHECK_AGE_S
from standins.platformsite import API_KEY, HOST, PLAIN_BACKEND, SiteOptions
from tests.platformcase import WAIT_S, PlatformCase, events, fetch

PROMPT = {"Token_Usage": "1200,20", "Prefix_Hash": "aa:1000,bb:200"}


class StoreOutageTest(PlatformCase):
    """Instances that cannot reach the store."""

    async def disconnect_one(self, site, first, second) -> None:
        """Disconnects only the first of two instances from the store."""
        await self.until(lambda: first.live_instance_count == 2)
        await self.until(lambda: second.live_instance_count == 2)
        self.disconnect_from_store(first)
        # Long polls already open still deliver one change each.
        site.write_configuration()
        site.write_server_row("plain-2", PLAIN_BACKEND)
        await self.until(lambda: first.version == site.version)

    def disconnect_from_store(self, instance) -> None:
        async def refuse(exchange) -> None:
            if "/-/" in exchange.url:
                raise NotSentError("cut off")
            return await call(exchange)

        call = instance.client.call
        instance.client.call = refuse

    async def test_learns_from_another_instance(self) -> None:
        # One instance cannot reach the store while an API key is replaced and
        # a server starts to drain. It must learn both changes from the other
        # instance within seconds.
        async with self.site(2) as (site, (first, second)):
            await self.disconnect_one(site, first, second)
            site.write_configuration(
                tenants=[{"name": "elm", "apiKeys": ["new"]}]
            )
            site.write_server_row("plain-1", PLAIN_BACKEND, "draining")
            await self.until(lambda: first.version == site.version)
            await self.until(
                lambda: len(first.registry.servers_of(PLAIN_BACKEND)) == 1
            )

    async def test_removed_server_while_cut_off(self) -> None:
        # Guards against requests that reach a server twelve seconds after it
        # left. One instance is disconnected from the store, the others and the
        # servers are not. A server's row is removed without draining first, and
        # the disconnected instance learns it from another one within half a
        # second. Without the store it took the removal for the expiry of a live
        # server's row in an outage, and used the server until two seconds
        # after the store was back; the other instances dropped it at once.
        async with self.site(2) as (site, (first, second)):
            await self.disconnect_one(site, first, second)
            site.store.delete("servers", "plain-1")
            await self.until(
                lambda: len(second.registry.servers_of(PLAIN_BACKEND)) == 1
            )
            await self.until(
                lambda: len(first.registry.servers_of(PLAIN_BACKEND)) == 1
            )
            for number in range(4):
                attempt = f"a{number}"
                await self.ask(first, "/confirm/x", attempt=attempt)
            self.assertEqual(site.servers["plain-1"].journal, [])

    async def test_unknown_route_without_store(self) -> None:
        # The only instance cannot reach the store. An unknown route may have
        # been added meanwhile. "Not found" would be final for the caller, so
        # the instance must return "not ready".
        async with self.site() as (site, (instance,)):
            site.store.faults.down = True
            await self.until(lambda: not instance.configuration_confirmed)
            answer = await self.ask(instance, "/new/x")
            self.assertEqual(answer.status, 503)
            wrong = await self.ask(instance, "/confirm/x", key="new")
            self.assertEqual(wrong.status, 503)

    async def test_unknown_route_at_two_instances_without_store(self) -> None:
        # Neither of two instances can reach the store. Both report the same
        # version, which does not confirm that it is the newest: a caller of a
        # route just added got "not found".
        async with self.site(2) as (site, (first, second)):
            await self.until(lambda: first.live_instance_count == 2)
            site.store.faults.down = True
            # Long polls already open still deliver one change each.
            site.write_configuration()
            for instance in (first, second):
                await self.until(
                    lambda i=instance: (
                        i.registry.standing.touch == StoreStatus.UNREACHABLE
                    )
                )
            # Until then the store's last response counts as current.
            await anyio.sleep(root.MAX_CONFIRMED_AGE_S)
            answer = await self.ask(first, "/new/x")
            self.assertEqual(answer.status, 503)

    async def test_serves_without_store(self) -> None:
        async with self.site() as (site, (instance,)):
            site.store.faults.down = True
            answer = await self.ask(instance, "/confirm/x")
            self.assertEqual(answer.status, 200)

    async def test_start_without_store(self) -> None:
        # An instance that starts while the store is down has no
        # configuration. It must return "not ready" rather than "not found", and
        # fetch the configuration and servers from another instance.
        async with self.site() as (site, (first,)):
            site.store.faults.down = True
            async with anyio.create_task_group() as group:
                second = await self.start(group, site, "edge-2")
                await self.until(lambda: second.listening)
                answer = await self.ask(second, "/confirm/x")
                self.assertEqual(answer.status, 503)
                self.assertIn("retry-after", answer.headers)
                second.add_peer_address(first.boot.peers)
                await self.until(lambda: second.ready)
                answer = await self.ask(second, "/confirm/x")
                self.assertEqual(answer.status, 200)
                group.cancel_scope.cancel()


class UnnoticedOutageTest(PlatformCase):
    """A store outage that an instance's open long polls do not reveal."""

    options = SiteOptions(links=True)

    async def test_another_instance_has_lost_the_store(self) -> None:
        # Guards against refused callers because a service seems to have no
        # servers although they are alive. The store refuses new calls and
        # keeps long polls open, so only one instance notices the outage. Rows
        # of live servers expire; the other instance sees that in its long poll,
        # takes the servers for removed and notifies the first one. When an
        # instance learns that another one lost the store, it must poll the
        # store itself at once.
        async with self.site(2) as (site, (first, second)):
            await self.until(lambda: first.live_instance_count == 2)
            await self.until(lambda: second.live_instance_count == 2)
            await anyio.sleep(MIN_RECHECK_AGE_S)
            site.store.faults.down = True
            site.links["edge-1"].reset()
            for instance in (first, second):
                await self.until(
                    lambda i=instance: (
                        i.registry.standing.touch == StoreStatus.UNREACHABLE
                    )
                )
            for name in ("plain-1", "plain-2"):
                site.store.delete("servers", name)
            site.store.faults.down = False
            for instance in (first, second):
                await self.until(
                    lambda i=instance: (
                        i.registry.standing.touch != StoreStatus.UNREACHABLE
                    )
                )
                self.assertEqual(
                    len(instance.registry.servers_of(PLAIN_BACKEND)), 2
                )
                answer = await self.ask(instance, "/confirm/x")
                self.assertEqual(answer.status, 200)

    @unittest.mock.patch.object(root, "LEADER_LONG_POLL_S", LONG_POLL_S)
    @unittest.mock.patch.object(
        followerroles.FollowerRole, "poll_age_s", lambda *_, **__: 1e9
    )
    async def test_only_a_report_shows_the_loss(self) -> None:
        # The same where neither the age of the data nor the leader's calls
        # would show it: the report alone must cause a call.
        async with self.site(2) as (site, (first, second)):
            await self.until(lambda: first.live_instance_count == 2)
            await self.until(lambda: second.live_instance_count == 2)
            await anyio.sleep(2 * MIN_RECHECK_AGE_S)
            site.store.faults.down = True
            site.links["edge-1"].reset()
            for instance in (first, second):
                await self.until(
                    lambda i=instance: (
                        i.registry.standing.touch == StoreStatus.UNREACHABLE
                    )
                )


class DiscoveryTest(PlatformCase):
    """Instances that start without addresses of each other."""

    async def test_started_apart(self) -> None:
        # A second instance starts long after the first one has read the
        # instances' rows, as when a crashed instance is replaced. Callers of
        # either must get both addresses within seconds, not only after the
        # rows are next read.
        async with (
            self.site() as (site, (first,)),
            anyio.create_task_group() as group,
        ):
            await anyio.sleep(3 * REGISTER_PAUSE_S)
            second = await self.start(group, site, "edge-2")
            await self.until(lambda: first.live_instance_count == 2)
            await self.until(lambda: second.live_instance_count == 2)
            group.cancel_scope.cancel()

    async def test_started_together(self) -> None:
        # All instances are killed and restart at once. The first datagrams of
        # each arrive before the others listen, and are lost. Until the next
        # ones each instance considers itself the only one: it lists only
        # itself to callers and fills the engines as if no other used them.
        with unittest.mock.patch.object(peerlink, "JOIN_INTERVAL_S", 1e9):
            async with (
                self.site() as (site, (first,)),
                await anyio.create_udp_socket(local_host="127.0.0.1") as other,
            ):
                host, port = other.extra(SocketAttribute.local_address)
                first.add_peer_address(f"{host}:{port}")
                with anyio.fail_after(WAIT_S):
                    for _ in range(3):
                        await other.receive()


class SlowCallerTest(PlatformCase):
    """Callers that hold idle connections."""

    LIMITS = {
        "maxHeaderBytes": 2000,
        "maxBodyBytes": 1000,
        "headerTimeoutMs": 300,
        "idleTimeoutMs": 300,
    }

    async def send_and_read(self, instance, sent: bytes) -> bytes:
        """Sends bytes and reads until the instance closes the connection."""
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
        # Callers open connections and send nothing, half a head or half a
        # body, or stay idle after a request. Each would hold a file descriptor
        # for good. The configured time limits must close the connections, and
        # requests that were not fully read must be reported as not run.
        async with (
            self.site(0) as (site, _),
            anyio.create_task_group() as group,
        ):
            # Longer ones that callers may know would hold for a while.
            site.write_configuration(limits=self.LIMITS)
            instance = await self.start(group, site, "edge-1")
            await self.until(lambda: instance.ready)
            head = f"POST /confirm/x HTTP/1.1\r\nHost: {HOST}\r\n".encode()
            key = f"Authorization: Bearer {API_KEY}\r\n".encode()
            whole = head + key + b"Attempt-Id: a1\r\nContent-Length: "
            for sent, status in (
                (b"", b""),
                (head, b"HTTP/1.1 408"),
                (head + b"X: " + b"x" * 3000, b"HTTP/1.1 400"),
                (whole + b"9\r\n\r\nhalf", b"HTTP/1.1 408"),
                (whole + b"0\r\n\r\n", b"HTTP/1.1 200"),
            ):
                with self.subTest(sent=sent[-20:]):
                    read = await self.send_and_read(instance, sent)
                    self.assertEqual(read[:12], status)
            ran = [r for s in site.servers.values() for r in s.journal]
            self.assertEqual(len(ran), 1)
            group.cancel_scope.cancel()


class CompleteStopTest(PlatformCase):
    """A planned stop until the process ends."""

    options = SiteOptions(grace_s=1.5)

    async def test_row_is_removed(self) -> None:
        # An instance without in-flight requests stops before its grace time
        # and removes its row from the store. Otherwise new instances would
        # contact a dead address for good.
        async with self.site() as (site, (instance,)):
            await self.until(lambda: site.store.keys("jasminerelay_instances"))
            instance.stop()
            await self.until(lambda: not instance.running)
            self.assertEqual(site.store.keys("jasminerelay_instances"), [])

    async def test_store_unresponsive_at_the_stop(self) -> None:
        async with self.site() as (site, (instance,)):
            site.store.faults.hang = True
            instance.stop()
            await self.until(lambda: not instance.running)


class StopTest(PlatformCase):
    """A planned stop of one of two instances."""

    async def test_stream_under_way_is_finished(self) -> None:
        # SIGTERM arrives in the middle of a stream. The instance must leave
        # the entry lists at once, finish the stream and then stop.
        async with self.site(2) as (site, (first, second)):
            await self.until(lambda: second.live_instance_count == 2)
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
            await self.until(lambda: second.live_instance_count == 1)
            late = await self.ask(first, "/confirm/x")
            self.assertEqual(late.status, 200)
            self.assertEqual(late.headers["connection"], "close")


if __name__ == "__main__":
    unittest.main()
