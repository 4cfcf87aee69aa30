"""Tests connections to servers that other instances relay."""

import asyncio
import collections
import random
import unittest

import anyio
import httpcore

from jasminerelay import netstream, ports, relayport
from jasminerelay.catalog import BackendServer
from jasminerelay.httpclient import NotSentError, ServerUnreachedError
from jasminerelay.metrics import Counters
from jasminerelay.peerlink import SnapshotApp
from jasminerelay.registry import Registry
from jasminerelay.relayclient import RelayClient
from jasminerelay.relayport import RelayApp
from jasminerelay.scheduling.serverpaths import ServerPaths
from jasminerelay.schema.messages import Member
from jasminerelay.watchdog import Watchdog
from standins import connectionanswers
from standins.launcher import free_address
from standins.platformserver import Break
from standins.platformsite import SiteOptions
from standins.servernetwork import Cut
from tests.platformcase import WAIT_S, PlatformCase, events

HEAD = b"HTTP/1.1 200 OK\r\n"


class ServerPathsTest(unittest.TestCase):
    """Which servers are reached through other instances."""

    def test_one_server_is_no_cut(self) -> None:
        paths = ServerPaths()
        paths.record_direct("s1", 1.0)
        self.assertTrue(paths.record_relayed("s2", 2.0))
        self.assertFalse(paths.record_relayed("s2", 2.1))
        self.assertTrue(paths.relays("s2"))
        self.assertFalse(paths.relays("s1"))

    def test_direct_connection_disproves_a_cut(self) -> None:
        # Guards against servers of one service that hide the others.
        paths = ServerPaths()
        paths.record_relayed("s1", 2.0)
        paths.record_relayed("s2", 2.1)
        self.assertTrue(paths.cut)
        paths.record_direct("s3", 2.2)
        self.assertFalse(paths.cut)
        self.assertTrue(paths.relays("s1"))

    def test_probes(self) -> None:
        # Guards against relaying on after the links are back, and against a
        # burst of probes while they are not.
        paths = ServerPaths()
        self.assertIsNone(paths.next_probe(0.0))
        for number in range(4):
            paths.record_relayed(f"s{number}", 1.0)
        probed = []
        for step in range(100):
            name = paths.next_probe(1.0 + step / 10)
            probed += [name] if name else []
        self.assertEqual(len(probed), 9)
        self.assertEqual(set(probed), {"s0", "s1", "s2", "s3"})
        for _ in range(4):
            paths.record_direct(paths.next_probe(20.0), 20.0)
        self.assertEqual(paths.out_of_reach, 0)

    def test_forgotten_server(self) -> None:
        paths = ServerPaths()
        paths.record_relayed("s1", 1.0)
        paths.forget("s1")
        self.assertIsNone(paths.next_probe(9.0))


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """One relay between a client and a raw server."""

    async def asyncSetUp(self) -> None:
        self.may_relay = True
        self.doubted: list[str] = []
        self.counters = Counters()
        self.peers: list[Member] = []
        self.client = RelayClient(
            "z", lambda: self.peers, Watchdog(), Counters(), random.Random(1)
        )
        self.end = lambda writer: writer.close()
        self.received = b""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.server = BackendServer("s", "b", f"{host}:{port}", "z", 1, False)
        self.gone = anyio.Event()

    async def serve(self, reader, writer) -> None:
        """Answers each request in part, then ends the connection."""
        while True:
            data = await reader.read(65536)
            if not data:
                self.gone.set()
                return
            self.received += data
            if b"\r\n\r\n" in self.received:
                writer.write(HEAD + b"\r\nhalf")
                await writer.drain()
                await asyncio.sleep(0.05)
                self.end(writer)

    async def start_port(self, app) -> tuple[ports.HttpServer, str]:
        """Serves an application; returns its port and address."""
        address = free_address()
        port = ports.port(app, address)
        task = asyncio.create_task(port.serve())
        self.addCleanup(task.cancel)
        while not port.started:
            await asyncio.sleep(0.01)
        return port, address

    async def start_relay(
        self, zone: str = "z"
    ) -> tuple[RelayApp, ports.HttpServer]:
        """Starts an instance's port; returns the app and its port."""
        app = RelayApp(
            lambda name: self.server if name == self.server.id else None,
            lambda server: self.may_relay,
            netstream.open_connection,
            self.counters,
        )
        port, address = await self.start_port(app)
        app.on_unreachable = self.doubted.append
        name = f"i{len(self.peers)}"
        self.peers.append(Member(name, "", zone, "", "", address, "alive", 0))
        return app, port

    async def ask(self):
        """Sends a request through a relay; returns how the answer ended."""
        relay = await self.client.open(self.server)
        relay.conn.timeout_s = 5.0
        response = await relay.conn.send("POST", b"/x", [], b"body")
        try:
            body = await response.aread()
        except Exception as exc:
            return relay, repr(exc)
        finally:
            await response.aclose()
        return relay, body

    async def test_end_of_the_server(self) -> None:
        app, _ = await self.start_relay()
        relay, body = await self.ask()
        self.assertEqual(body, b"half")
        self.assertFalse(relay.protocol.lost)
        self.assertIn(b"body", self.received)
        await asyncio.sleep(0.05)
        self.assertEqual(app.count, 0)

    async def test_reset_of_the_server_is_passed_on(self) -> None:
        # Guards against a reset that becomes an end in order on its way.
        self.end = lambda writer: connectionanswers.reset(writer.transport)
        await self.start_relay()
        relay, fault = await self.ask()
        self.assertIn("reset by the server", str(fault))
        self.assertFalse(relay.protocol.lost)

    async def test_end_of_the_relay_is_no_end_of_the_server(self) -> None:
        # Guards against an answer that counts as whole since its relay ended.
        self.end = lambda writer: None
        _, port = await self.start_relay()
        relay = await self.client.open(self.server)
        relay.conn.timeout_s = 5.0
        response = await relay.conn.send("POST", b"/x", [], b"")
        self.assertEqual(await response.receive(), b"half")
        for connection in list(port.server_state.connections):
            connection.transport.close()
        with self.assertRaises(httpcore.ReadError):
            await response.receive()
        self.assertTrue(relay.protocol.lost)
        self.assertFalse(response.complete)

    async def test_what_follows_the_end_of_the_server(self) -> None:
        # Guards against bytes after a server's end, or of another answer of the
        # relaying instance, that are taken for the server's.
        async def relay(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            frames = b"".join(
                relayport.FRAME_HEAD.pack(kind, len(data)) + data
                for kind, data in (
                    (relayport.DATA, HEAD + b"\r\nhalf"),
                    (relayport.ENDED, b""),
                    (relayport.DATA, b"more"),
                )
            )
            answer = HEAD + b"Content-Length: %d\r\n\r\n" % len(frames)
            writer.write(answer)
            await asyncio.sleep(0.1)
            writer.write(frames + answer + frames)

        server = await asyncio.start_server(relay, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        address = f"{host}:{port}"
        self.peers.append(Member("i", "", "z", "", "", address, "alive", 0))
        opened = await self.client.open(self.server)
        received = []
        opened.conn.data_received = received.append
        opened.conn.eof_received = lambda: received.append(None)
        await asyncio.sleep(0.3)
        self.assertEqual(received, [HEAD + b"\r\nhalf", None])

    async def test_malformed_address_of_an_instance(self) -> None:
        # Guards against an odd member's record that fails a request.
        for number, odd in enumerate(("", "a.name:80", "10.0.0.1:99999")):
            self.peers.append(
                Member(f"odd-{number}", "", "z", "", "", odd, "alive", 0)
            )
        await self.start_relay()
        relay = await self.client.open(self.server)
        self.assertEqual(relay.instance, "i3")
        relay.conn.close()

    async def test_client_that_leaves_ends_the_connection(self) -> None:
        # Guards against servers that work on after the caller has left.
        self.end = lambda writer: None
        await self.start_relay()
        relay = await self.client.open(self.server)
        relay.conn.timeout_s = 5.0
        await relay.conn.send("POST", b"/x", [], b"")
        relay.conn.close()
        with anyio.fail_after(1.0):
            await self.gone.wait()

    async def test_second_instance_after_a_refusal(self) -> None:
        # Guards against one instance that is cut off as well.
        for _ in range(2):
            await self.start_relay()
        self.may_relay = False
        with self.assertRaises(NotSentError):
            await self.client.open(self.server)
        self.assertEqual(self.counters.snapshot()["relay.refused.503"], 2)
        self.may_relay = True
        self.client._left_out_until.clear()
        await self.client.open(self.server)

    async def test_instance_of_an_older_version_is_left_out(self) -> None:
        # Guards against a rolling update that ends the search for a relay.
        snapshots = SnapshotApp(Registry(None, None))
        _, address = await self.start_port(snapshots)
        self.peers.append(Member("old", "", "z", "", "", address, "alive", 0))
        with self.assertRaises(NotSentError):
            await self.client.open(self.server)
        await self.start_relay()
        self.client._left_out_until.clear()
        relay = await self.client.open(self.server)
        self.assertNotEqual(relay.instance, "old")

    async def test_word_on_an_unreachable_server_is_final(self) -> None:
        for _ in range(3):
            await self.start_relay()
        down = BackendServer("s", "b", free_address(), "z", 1, False)
        self.server = down
        with self.assertRaisesRegex(NotSentError, "do not reach it either"):
            await self.client.open(down)
        refused = self.counters.snapshot()["relay.refused.502"]
        self.assertEqual(refused, 2)
        self.assertEqual(self.doubted, ["s", "s"])

    async def test_other_zones_help_where_most_of_a_zone_is_cut(self) -> None:
        # Guards against a few instances that carry a zone.
        for number in range(10):
            self.peers.append(
                Member(f"n{number}", "", "z", "", "", "127.0.0.1:1", "a", 0)
            )
            self.peers.append(
                Member(f"f{number}", "", "y", "", "", "127.0.0.1:1", "a", 0)
            )
        near = {self.client._choose(0.0)[0].zone for _ in range(50)}
        self.assertEqual(near, {"z"})
        for number in range(6):
            self.client.leave_out(f"n{number}")
        now = anyio.current_time()
        zones = {self.client._choose(now)[0].zone for _ in range(50)}
        self.assertEqual(zones, {"y", "z"})

    async def test_zone_that_is_cut_asks_the_others(self) -> None:
        # Guards against a zone of many instances whose first connections each
        # ask only instances that share the cut.
        for number in range(400):
            zone = "z" if number < 130 else f"y{number % 4}"
            self.peers.append(
                Member(f"n{number}", "", zone, "", "", "127.0.0.1:1", "a", 0)
            )
        for _ in range(50):
            zones = [member.zone for member in self.client._choose(0.0)]
            self.assertEqual(zones[0], "z")
            self.assertEqual(len(set(zones[:5])), 5)
        self.client._zone_last_until = 2.0
        carriers = collections.Counter(
            self.client._choose(1.0)[0].instance for _ in range(2700)
        )
        zones = {m.zone for m in self.peers if m.instance in carriers}
        self.assertEqual(zones, {"y0", "y1", "y2", "y3"})
        self.assertLess(max(carriers.values()), 40)

    async def test_word_of_an_instance_that_is_cut_off_is_no_proof(
        self,
    ) -> None:
        # Guards against instances that share a cut and end the search for a
        # way by saying that the server is down.
        for zone in ("z", "y"):
            app, _ = await self.start_relay(zone)
            app._reaches_servers = lambda: False
            app._open_connection = _fail
        await self.start_relay("x")
        self.client._choose = lambda now, **_: self.peers
        relay = await self.client.open(self.server)
        self.assertEqual(relay.instance, "i2")

    async def test_witness_that_has_just_been_cut_off(self) -> None:
        # Guards against an instance that reached servers a moment ago and
        # says of each that it is down.
        app, _ = await self.start_relay()
        app._open_connection = _fail
        for reached_lately in (False, True):
            app._reaches_servers = lambda lately=reached_lately: lately
            for good, witness in ((False, False), (True, True)):

                async def path_is_good(server, since, found=good) -> bool:
                    del server, since
                    return found

                app._path_is_good = path_is_good
                self.client._left_out_until.clear()
                with self.assertRaises(NotSentError) as caught:
                    await self.client.open(self.server)
                unreached = isinstance(caught.exception, ServerUnreachedError)
                self.assertEqual(unreached, witness)
                if unreached:
                    self.assertTrue(caught.exception.refused_there)

    async def test_instance_that_does_not_know_a_server(self) -> None:
        # Guards against an instance that is asked for nothing for a while
        # since a row was deleted there first.
        await self.start_relay()
        gone = BackendServer("gone", "b", self.server.address, "z", 1, False)
        with self.assertRaises(NotSentError) as caught:
            await self.client.open(gone)
        self.assertNotIsInstance(caught.exception, ServerUnreachedError)
        relay = await self.client.open(self.server)
        self.assertEqual(relay.instance, "i0")

    async def test_instance_left_out_is_asked_last(self) -> None:
        # Guards against the silence of the only other instance.
        await self.start_relay()
        self.client.leave_out("i0")
        with self.assertRaises(NotSentError):
            await self.client.open(self.server)
        relay = await self.client.open(self.server, ask_all=True)
        self.assertEqual(relay.instance, "i0")

    async def test_witnesses_of_one_zone_are_no_proof(self) -> None:
        # Guards against two instances of a zone that has just been cut.
        for _ in range(2):
            app, _ = await self.start_relay("z")
            app._open_connection = _fail
        await self.start_relay("y")
        choose = self.client._choose
        self.client._choose = lambda now, **_: self.peers
        relay = await self.client.open(self.server)
        self.assertEqual(relay.instance, "i2")
        self.assertEqual(choose(anyio.current_time())[0].zone, "y")


async def _fail(*args) -> None:
    raise ConnectionRefusedError("cut off")


class RelayedAnswersTest(PlatformCase):
    """Answers that reach their callers through two instances."""

    options = SiteOptions(engines=3, plain=3)
    networks = True

    async def test_broken_off_answers(self) -> None:
        # Guards against a relay that makes a broken answer look complete, or
        # runs a request twice.
        async with self.site(3) as (site, instances):
            await self.until(
                lambda: all(i.live_instance_count == 3 for i in instances)
            )
            first = instances[0]
            self.network_of[first.boot.name].cut(Cut.RESET)
            for kind in Break:
                for server in site.servers.values():
                    server.journal.clear()
                    server.faults.by_connection = True
                    server.faults.breaks = 100
                    server.faults.break_as = kind
                answer = await self.ask(
                    first, "/sheet/1/stream", Token_Usage="600,10"
                )
                self.assertFalse(answer.whole and answer.status == 200, kind)
                for server in site.servers.values():
                    server.faults.breaks = 0
                whole = await self.ask(
                    first, "/chat/1/stream", Token_Usage="600,10", attempt="b"
                )
                self.assertEqual(whole.body, events(10))
                runs = sum(len(s.journal) for s in site.servers.values())
                self.assertEqual(runs, 2)

    async def test_server_that_is_killed_between_two_events(self) -> None:
        # Guards against a stream that counts as complete since its server, to
        # which another instance relays, was killed and its connections ended in
        # order.
        async with self.site(2) as (site, instances):
            await self.until(
                lambda: all(i.live_instance_count == 2 for i in instances)
            )
            first = instances[0]
            self.network_of[first.boot.name].cut(Cut.RESET)
            for server in site.servers.values():
                server.faults.by_connection = True
            answers = []

            async def ask() -> None:
                path = "/sheet/1/stream"
                answers.append(
                    await self.ask(first, path, Token_Usage="600,40")
                )

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await self.until(
                    lambda: any(
                        ran.last_token >= 5
                        for server in site.servers.values()
                        for ran in server.journal
                    )
                )
                (name,) = (n for n, s in site.servers.items() if s.running)
                site.kill_server(name, in_order=True)
            self.assertFalse(answers[0].whole)

    async def test_silent_server_is_left(self) -> None:
        # Guards against a relay that is not asked any more since a stream has
        # left a silent server that it relays.
        async with self.site(3) as (site, instances):
            await self.until(
                lambda: all(i.live_instance_count == 3 for i in instances)
            )
            first = instances[0]
            self.network_of[first.boot.name].cut(Cut.RESET)
            left_out: list[str] = []
            first._channels._relays.leave_out = left_out.append
            answers = []

            async def ask() -> None:
                answers.append(
                    await self.ask(
                        first, "/chat/1/stream", Token_Usage="600,60"
                    )
                )

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await self.until(
                    lambda: any(s.running for s in site.servers.values())
                )
                await anyio.sleep(0.2)
                for server in site.servers.values():
                    server.faults.silent = server.running > 0
            self.assertEqual(answers[0].body, events(60))
            self.assertEqual(left_out, [])

    async def test_servers_that_are_down_are_not_out_of_reach(self) -> None:
        # Guards against an alarm where all instances fail alike.
        async with self.site(2) as (site, (first, _second)):
            for name in list(site.servers):
                site.kill_server(name)
            for number in range(4):
                answer = await self.ask(
                    first, "/lookup/x", attempt=f"d{number}"
                )
                self.assertNotEqual(answer.status, 200)
            self.assertEqual(first._paths.out_of_reach, 0)

    async def test_quiet_instance_learns_that_it_is_cut_off(self) -> None:
        # Guards against an instance without requests that goes on saying
        # that it does not reach servers which others reach.
        async with self.site(3) as (site, instances):
            await self.until(
                lambda: all(i.live_instance_count == 3 for i in instances)
            )
            for instance in instances[:2]:
                self.network_of[instance.boot.name].cut(Cut.HANG)
            answers = []

            async def ask(number: int) -> None:
                answers.append(
                    await self.ask(
                        instances[0], "/lookup/x", attempt=f"k{number}"
                    )
                )

            # Which instance is asked to relay a connection is random.
            with anyio.fail_after(WAIT_S):
                while not instances[1]._paths.out_of_reach:
                    async with anyio.create_task_group() as group:
                        for number in range(6):
                            group.start_soon(ask, len(answers) + number)
            answers.clear()
            for number in range(10):
                await ask(100 + number)
            served = sum(answer.status == 200 for answer in answers)
            self.assertGreater(served, 5)

    async def test_silent_server_is_not_out_of_reach(self) -> None:
        # Guards against a server that is silent for a second and counts as
        # one that this instance does not reach.
        async with self.site(2) as (site, (first, _second)):
            for server in site.servers.values():
                server.faults.silent = True
            async with anyio.create_task_group() as group:
                for number in range(4):
                    group.start_soon(
                        lambda n=number: self.ask(
                            first, "/confirm/x", attempt=f"q{n}"
                        )
                    )
                await anyio.sleep(1.2)
                for server in site.servers.values():
                    server.faults.silent = False
            self.assertEqual(first._paths.out_of_reach, 0)
