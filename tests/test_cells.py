"""Cells of servers, their owners, and the instances that send to them."""

import contextlib
import time
import unittest
import unittest.mock
from collections.abc import Callable, Iterator

import anyio
import msgspec

from jasminerelay import cells, peermessages, placementclient
from jasminerelay.catalog import Call, Prompt, PromptPart
from jasminerelay.cellowner import SENDER_TIMEOUT_S
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.enginemodel import SLOT_SHARE
from jasminerelay.errors import NoCapacityError
from jasminerelay.followerroles import (
    FOLLOWER_SILENCE_S,
    FOLLOWERS_PER_ZONE,
    FollowerRole,
)
from jasminerelay.membership import ALIVE
from jasminerelay.metrics import Counters
from jasminerelay.ownedcells import OwnedCells
from jasminerelay.placementclient import (
    ANSWER_TIMEOUT_S,
    BATCH_S,
    CHECK_INTERVAL_S,
    PlacementClient,
)
from jasminerelay.placementmessages import (
    FOREIGN,
    PLACED,
    placement_request,
)
from jasminerelay.placementqueue import PlacementQueue, Reservation
from jasminerelay.placing import KNOWN_PREFILL_LIMIT_S
from jasminerelay.platform import decoding
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import CellUpdate, Member, ServerRow
from jasminerelay.schema.settings import Statsd
from tests.test_placing import call

SERVICE = "pool"
SLOTS = 32
READ_TOKEN_S = 1 / 20_000
FIRST_EVENT_S = 0.02
TOKEN_S = 0.005


def server_rows(count: int) -> list[ServerRow]:
    """Returns the rows of idle servers that are ready."""
    rows = []
    for number in range(count):
        data = {
            "backend": SERVICE,
            "address": f"10.0.0.{number}:1",
            "zone": "z",
            "version": "v1",
            "slotCount": SLOTS,
            "phase": "ready",
            "coldRemainingMs": 0,
            "callSeq": 0,
        }
        name = f"i-{number:03}"
        rows.append(ServerRow(name, 2, msgspec.json.encode(data)))
    return rows


def registry(servers: int) -> Registry:
    """Returns a registry of idle engines of one service."""
    found = Registry(decoding.catalog, decoding.server)
    configuration = {
        "version": 1,
        "routes": [
            {
                "name": "long",
                "hostname": "h",
                "prefix": "/",
                "routeType": "streaming",
                "timeoutMs": 15_000,
                "targetLatencyMs": 2_000,
                "gapTargetMs": 1_000,
                "priorityClass": 2,
                "backend": SERVICE,
                "sessionAffinity": True,
            }
        ],
        "backends": [
            {
                "name": SERVICE,
                "runtime": {
                    "slotCount": SLOTS,
                    "kvCapacity": 700_000,
                    "stride": 5,
                    "kvTokenBytes": 100_000,
                    "bandwidthMbps": 200_000,
                },
            }
        ],
    }
    found.apply_configuration(1, msgspec.json.encode(configuration))
    found.apply_full_read(server_rows(servers), 2)
    return found


class Site:
    """Instances whose messages arrive at once unless a test drops them."""

    def __init__(
        self,
        instances: int,
        servers: int,
        make_registry: Callable[[int], Registry] = registry,
    ):
        self.names = [f"n{number:02}" for number in range(instances)]
        self.crashed: set[str] = set()
        self.answers_lost: set[str] = set()
        self.lose: Callable[[], bool] = lambda: False
        self.deliver: Callable[[Callable[[], None]], None] = lambda send: send()
        self.nodes = {
            name: Node(self, name, make_registry(servers))
            for name in self.names
        }
        self.publish_membership()

    def live(self) -> list[Member]:
        """Returns the live instances."""
        return [
            node.member for node in self.nodes.values() if node.counted_live
        ]

    def publish_membership(self) -> None:
        """Gives all instances the current list of live ones."""
        live = self.live()
        for node in self.nodes.values():
            node.placement_client.update_instances(100, live)
            node.followers.update_instances(live, shared=True)

    async def publish_queues(self) -> None:
        """Exchanges the owners' queue estimates until cancelled."""
        while True:
            now = time.monotonic()
            for node in self.nodes.values():
                queues = node.owned.queue_estimates()
                for other in self.nodes.values():
                    other.owned.queues.update(queues, now)
            await anyio.sleep(0.02)

    def running(self, server: str) -> int:
        """Returns the true number of in-flight requests at a server."""
        return sum(
            node.dispatcher.workload.own_running(server)
            for node in self.nodes.values()
        )

    def unread(self, server: str) -> int:
        """Returns the true number of tokens pending prefill at a server."""
        return sum(
            item.unread
            for node in self.nodes.values()
            for item in node.dispatcher.workload.own_loads()
            if item.server == server
        )

    def owner_of(self, cell: int) -> "Node":
        """Returns the instance that owns a cell."""
        live = [node.name for node in self.nodes.values() if node.counted_live]
        return self.nodes[cells.owner(SERVICE, cell, live)]


class Node:
    """One instance of a site, without sockets."""

    def __init__(self, site: Site, name: str, node_registry: Registry):
        self.site = site
        self.name = name
        self.counted_live = True
        self.member = Member(name, "", "z", "", "", f"{name}:1", ALIVE, 1)
        self.registry = node_registry
        self.dispatcher = Dispatcher(
            node_registry, "z", lambda: len(site.names)
        )
        self.counters = Counters(Statsd())
        self.followers = FollowerRole(name, "z")
        self.local = PlacementQueue(
            self.dispatcher.place,
            self.dispatcher.expect,
            self.dispatcher.busy_s,
            self.dispatcher.reserve,
            actual_busy=self.dispatcher.actual_busy_s,
            headroom=self.dispatcher.headroom,
        )
        self.owned = OwnedCells(
            name,
            "z",
            node_registry,
            self.dispatcher.engine_models,
            self.dispatcher.lengths,
            self.counters,
        )
        self.placement_client = PlacementClient(
            name,
            self.member.peers,
            node_registry,
            self.dispatcher,
            self.local,
            self.counters,
        )
        self.owned.answer = self._send_answers
        self.placement_client.send = self._send_update
        model = self.dispatcher.engine_models.of(SERVICE)
        for tokens in (1_000, 4_000, 8_000, 16_000) * 3:
            model.read(tokens, FIRST_EVENT_S + tokens * READ_TOKEN_S, 0.0)
            model.add_step_time(tokens // 1_000, TOKEN_S, 0.0)

    def _send_update(self, owner: Member, message) -> None:
        dropped = {self.name, owner.instance} & self.site.crashed
        if dropped or self.site.lose():
            return
        data = peermessages.encode(message)
        owned = self.site.nodes[owner.instance].owned
        self.site.deliver(
            lambda: owned.handle_message(peermessages.decode(data))
        )

    def _send_answers(self, address: str, message) -> None:
        to = address.removesuffix(":1")
        dropped = (
            to in self.site.answers_lost or {self.name, to} & self.site.crashed
        )
        if dropped or self.site.lose():
            return
        data = peermessages.encode(message)
        client = self.site.nodes[to].placement_client
        self.site.deliver(
            lambda: client.handle_message(peermessages.decode(data))
        )


def prompts(count: int, starts: int = 1000) -> Iterator[Call]:
    """Yields new requests with long prompts and `starts` shared prefixes."""
    now = time.monotonic()
    for number in range(count):
        parts = (
            PromptPart(f"start-{number % starts}", 3_000),
            PromptPart(f"own-{number}", 3_000),
        )
        yield call(
            f"c{number}",
            arrived_at=now,
            answer_deadline=now + 15.0,
            prompt=Prompt(parts, 6_000, 400, 200),
        )


class PlainServiceTest(unittest.IsolatedAsyncioTestCase):
    """A plain service with three servers and many instances."""

    async def test_no_owner_gets_messages(self) -> None:
        # Guards against a single owner that gets all lookups of the deployment
        # and is too busy to answer, or even to be considered alive.
        site = Site(30, 3)
        asked = []
        used = set()
        for node in site.nodes.values():
            node.dispatcher._usable.engine_of = lambda service: None
            node.placement_client.send = lambda owner, message: asked.append(
                owner
            )
            for number in range(4):
                item = call(
                    f"{node.name}-{number}",
                    arrived_at=time.monotonic(),
                    answer_deadline=time.monotonic() + 4.0,
                    prompt=None,
                )
                reservation = await node.placement_client.reserve_server(
                    item, frozenset()
                )
                used.add(reservation.placed.server.id)
            self.assertIsNone(node.placement_client.owner_of_server("i-000"))
        self.assertEqual(asked, [])
        self.assertEqual(len(used), 3)


class CellsTest(unittest.TestCase):
    """How servers are grouped into cells, and who owns a cell."""

    def test_even_and_small(self) -> None:
        for count in (1, 6, 8, 9, 30, 39, 300):
            split = cells.cells_of(f"s{number}" for number in range(count))
            sizes = [len(cell) for cell in split]
            self.assertEqual(sum(sizes), count)
            self.assertLessEqual(max(sizes), cells.MAX_SERVERS_PER_CELL)
            self.assertGreaterEqual(min(sizes) * 2, max(sizes) - 2)

    def test_few_servers_move_when_one_is_removed(self) -> None:
        names = [f"s{number}" for number in range(300)]
        before = _cells_by_server(names)
        after = _cells_by_server(names[1:])
        moved = [name for name in after if after[name] != before[name]]
        self.assertLess(len(moved), 30)

    def test_one_owner_removed(self) -> None:
        # Only the cells of the removed instance get another owner.
        names = [f"n{number}" for number in range(60)]
        for cell in range(40):
            before = cells.owner(SERVICE, cell, names)
            after = cells.owner(SERVICE, cell, names[1:])
            if before != names[0]:
                self.assertEqual(before, after)


class InvalidMessagesTest(unittest.TestCase):
    """Datagrams that no instance of this version sends."""

    def test_unknown_cells(self) -> None:
        # An instance with another list of servers requests a placement at a
        # cell that doesn't exist here. It gets an answer that says so at once,
        # and places the request itself.
        node = Site(2, servers=4).nodes["n00"]
        answers = []
        node.owned.answer = lambda address, message: answers.append(message)
        for service, cell in ((SERVICE, 7), (SERVICE, -1), ("other", 0)):
            ask = placement_request(
                1, next(prompts(1)), frozenset(), False, 0.0
            )
            message = CellUpdate(
                "n01", "n01:1", service, cell, 1, [ask], [], [], []
            )
            node.owned.handle_message(message)
            self.assertEqual(answers.pop().answers[0].state, FOREIGN)
        self.assertEqual(len(node.owned), 0)

    def test_all_servers_avoided(self) -> None:
        # Guards against an owner that ends with a traceback since a request
        # must use none of its cell's servers.
        node = Site(2, servers=4).nodes["n00"]
        answers = []
        node.owned.answer = lambda address, message: answers.append(message)
        ask = placement_request(
            1,
            next(prompts(1)),
            frozenset(f"i-{number:03}" for number in range(4)),
            False,
            time.monotonic(),
        )
        message = CellUpdate("n01", "n01:1", SERVICE, 0, 1, [ask], [], [], [])
        node.owned.handle_message(message)
        self.assertNotEqual(answers.pop().answers[0].state, PLACED)

    def test_unreadable(self) -> None:
        # Corrupt datagrams and those of other versions are rejected.
        ask = placement_request(1, next(prompts(1)), frozenset(), False, 0.0)
        uneven = msgspec.structs.replace(ask, part_tokens=[1, 2, 3])
        message = CellUpdate("a", "a:1", SERVICE, 0, 1, [uneven], [], [], [])
        for data in (
            peermessages.PLACE_TAG,
            peermessages.OWNER_TAG + b"\x80",
            peermessages.PLACE_TAG + b"\xc1",
            peermessages.encode(message),
        ):
            with self.assertRaises(ValueError):
                peermessages.decode(data)


class FollowersTest(unittest.TestCase):
    """Which instances follow the store on behalf of others."""

    def setUp(self) -> None:
        self.site = Site(30, servers=4)
        self.zone_followers = [
            node
            for node in self.site.nodes.values()
            if node.followers.change_recipients()
        ]

    def test_each_has_one_leader(self) -> None:
        notified = [
            member.instance
            for node in self.zone_followers
            for member in node.followers.change_recipients()
        ]
        names = {node.name for node in self.zone_followers}
        self.assertEqual(len(self.zone_followers), FOLLOWERS_PER_ZONE)
        self.assertEqual(sorted(notified), sorted(set(self.site.names) - names))

    def test_silent_leaders(self) -> None:
        # An instance doesn't follow the store closely while the followers of
        # its zone send messages, and does so once they have been silent.
        notified = (
            self.zone_followers[0].followers.change_recipients()[0].instance
        )
        followers = self.site.nodes[notified].followers
        self.assertTrue(followers.follows_closely())
        now = time.monotonic()
        followers.record_message(self.zone_followers[0].name, now)
        self.assertFalse(followers.follows_closely())
        followers.record_message(
            self.zone_followers[0].name, now - FOLLOWER_SILENCE_S
        )
        self.assertTrue(followers.follows_closely())

    def test_few_instances_all_follow(self) -> None:
        node = self.zone_followers[0]
        node.followers.update_instances([node.member], shared=False)
        self.assertTrue(node.followers.follows_closely())
        self.assertEqual(node.followers.change_recipients(), [])


class ConcurrentPlacementTest(unittest.IsolatedAsyncioTestCase):
    """Many instances that place requests at the same servers at once."""

    def setUp(self) -> None:
        _disable_answer_timeout(self)

    async def test_simultaneous_placements(self) -> None:
        # Sixty instances get a long prompt each within a millisecond, before
        # any load report arrives, so each considers all servers idle.
        # Owners give no server more pending prefill than the limit and one
        # prompt.
        site = Site(60, servers=8)
        async with anyio.create_task_group() as group:
            calls = zip(site.nodes.values(), prompts(120, 3), strict=False)
            for node, item in calls:
                group.start_soon(_reserve, node, item)
            await anyio.sleep(CHECK_INTERVAL_S)
            max_unread = max(
                site.unread(f"i-{number:03}") for number in range(8)
            )
            group.cancel_scope.cancel()
        self.assertLessEqual(
            max_unread * READ_TOKEN_S,
            KNOWN_PREFILL_LIMIT_S + 6_000 * READ_TOKEN_S,
        )

    async def test_freed_slot_goes_to_one(self) -> None:
        # All slots are taken and twenty instances wait. One request ends at
        # one instance; exactly one waiting request gets the free slot.
        site = Site(30, servers=1)
        reservations: list[Reservation] = []
        waiting: list[Reservation] = []
        nodes = list(site.nodes.values())
        async with anyio.create_task_group() as group:
            for node in nodes:
                group.start_soon(node.placement_client.run)
                group.start_soon(node.owned.run)
            for item in prompts(28, 1):
                with anyio.move_on_after(1.0):
                    reservation = await nodes[
                        0
                    ].placement_client.reserve_server(item, frozenset())
                    reservation.run.read(0.1)
                    nodes[0].placement_client.capacity_freed(SERVICE)
                    reservations.append(reservation)
                await anyio.sleep(BATCH_S * 2)
            for node, item in zip(nodes[1:21], prompts(20, 1), strict=True):
                group.start_soon(_reserve, node, item, waiting)
            await anyio.sleep(CHECK_INTERVAL_S)
            before = len(waiting)
            reservations[0].run.end()
            nodes[0].placement_client.capacity_freed(SERVICE)
            await _until(lambda: len(waiting) > before)
            await anyio.sleep(CHECK_INTERVAL_S)
            after = len(waiting)
            group.cancel_scope.cancel()
        self.assertEqual(after - before, 1)


class RedirectTest(unittest.IsolatedAsyncioTestCase):
    """A cell with a queue, and others without one."""

    def setUp(self) -> None:
        _disable_answer_timeout(self)

    async def test_hot_prefix(self) -> None:
        # One shared prefix gets most of the traffic for a second, so its cell
        # has a queue while the other cell is idle. Requests that would wait
        # longer than the repeated prefill takes go to the other cell.
        site = Site(40, servers=16)
        nodes = list(site.nodes.values())
        reservations: list[Reservation] = []
        async with anyio.create_task_group() as group:
            for node in nodes:
                group.start_soon(node.placement_client.run)
                group.start_soon(node.owned.run)
            group.start_soon(site.publish_queues)
            for node, item in zip(nodes, prompts(8), strict=False):
                group.start_soon(_reserve_if_possible, node, item, [])
            await anyio.sleep(0.05)
            for number, item in enumerate(prompts(120, 1)):
                group.start_soon(
                    _reserve_if_possible, nodes[number % 40], item, reservations
                )
            split = cells.cells_of(x.id for x in nodes[0].registry.servers())
            await _until(
                lambda: all(
                    {
                        reservation.placed.server.id
                        for reservation in reservations
                    }
                    & set(cell)
                    for cell in split
                )
            )
            group.cancel_scope.cancel()
        self.assertGreater(_redirects(nodes), 0)

    async def test_no_redirects_between_equal_queues(self) -> None:
        # Both queues have the same length; redirects would only repeat the
        # prefill of shared prefixes.
        site = Site(40, servers=16)
        nodes = list(site.nodes.values())
        async with anyio.create_task_group() as group:
            for node in nodes:
                group.start_soon(node.placement_client.run)
                group.start_soon(node.owned.run)
            group.start_soon(site.publish_queues)
            for number, item in enumerate(prompts(60, 60)):
                group.start_soon(
                    _reserve_if_possible, nodes[number % 40], item, []
                )
            await anyio.sleep(0.4)
            group.cancel_scope.cancel()
        self.assertEqual(_redirects(nodes), 0)


class LossTest(unittest.IsolatedAsyncioTestCase):
    """Instances that crash, hang or lose datagrams."""

    async def test_crashed_owner_costs_one_timeout(self) -> None:
        # The owner of the cell has crashed, which has not been detected yet.
        # An instance places its first request itself after a short timeout,
        # since there is no other owner, and the next ones at once.
        site = Site(30, servers=6)
        site.crashed.add(site.owner_of(0).name)
        node = next(
            x for x in site.nodes.values() if x.name not in site.crashed
        )
        items = list(prompts(3))
        elapsed_s = []
        self.enterContext(
            unittest.mock.patch.object(placementclient, "OWNER_BACKOFF_S", 60.0)
        )
        for item in items:
            since = time.monotonic()
            await node.placement_client.reserve_server(item, frozenset())
            elapsed_s.append(time.monotonic() - since)
        self.assertGreaterEqual(elapsed_s[0], ANSWER_TIMEOUT_S)
        self.assertEqual(node.counters.snapshot()["place.owner_silent"], 1)
        self.assertEqual(node.counters.snapshot()["place.owner_spared"], 2)

    async def test_owners_of_other_cells_are_asked(self) -> None:
        # Guards against instances that place by themselves, without knowledge
        # of each other, while the owner of one cell of several is away.
        site = Site(30, servers=20)
        site.crashed.add(site.owner_of(0).name)
        node = next(
            x for x in site.nodes.values() if x.name not in site.crashed
        )
        items = [
            item
            for item in prompts(60)
            if cells.cell_of_key(item.prompt.shared_parts[-1].id, 3) == 0
        ]
        for item in items[:4]:
            reservation = await node.placement_client.reserve_server(
                item, frozenset()
            )
            self.assertNotIn(reservation.owner, ("", *site.crashed))
        counts = node.counters.snapshot()
        self.assertEqual(counts["place.owner_silent"], 1)
        self.assertNotIn("place.alone", counts)

    async def test_places_of_instances_without_an_owner(self) -> None:
        # Guards against instances that fill a server together, each by what it
        # knows itself, while no owner can be asked.
        for instances in (26, 67, 400):
            site = Site(26, servers=20)
            live = [site.nodes["n00"].member]
            live += [
                msgspec.structs.replace(live[0], instance=f"x{number:03}")
                for number in range(instances - 1)
            ]
            engine = site.nodes["n00"].dispatcher.engine_of(SERVICE)
            client = site.nodes["n00"].placement_client
            for server in ("i-000", "i-007"):
                total = 0
                for member in live:
                    client._own = member.instance
                    client._live = {}
                    client.update_instances(instances, list(live))
                    total += client.own_places(server, engine)
                spare = SLOTS - int(SLOTS * SLOT_SHARE)
                self.assertEqual(total, spare)

    async def test_new_owner_learns_in_flight_requests(self) -> None:
        # The owner crashes and is detected as failed. Its successor learns of
        # all in-flight requests from the instances that have them, before it
        # has placed many requests itself.
        site = Site(30, servers=4)
        nodes = list(site.nodes.values())
        async with anyio.create_task_group() as group:
            for node in nodes:
                group.start_soon(node.placement_client.run)
                group.start_soon(node.owned.run)
            for node, item in zip(nodes, prompts(4), strict=False):
                await node.placement_client.reserve_server(item, frozenset())
            owner = site.owner_of(0)
            site.crashed.add(owner.name)
            owner.counted_live = False
            site.publish_membership()
            own = len(owner.dispatcher.workload.runs)
            names = [item.id for item in owner.registry.servers()]
            truth = sum(site.running(name) for name in names) - own
            await _until(lambda: _in_flight(site.owner_of(0).owned) == truth)
            group.cancel_scope.cancel()

    async def test_two_owners_at_once(self) -> None:
        # Half of the instances consider the owner failed, so the cell has two
        # owners, and each knows only the requests of the instances that send
        # to it. Each fills a server to its usual limit at most, so a server
        # gets at most twice that while the views differ, and no request gets
        # two placements.
        _disable_answer_timeout(self)
        site = Site(40, servers=2)
        nodes = list(site.nodes.values())
        live = [node.member for node in nodes if node is not site.owner_of(0)]
        for node in nodes[::2]:
            node.placement_client.update_instances(100, live)
        reservations: list[Reservation] = []
        async with anyio.create_task_group() as group:
            for node in nodes:
                group.start_soon(node.placement_client.run)
                group.start_soon(node.owned.run)
            for number, item in enumerate(prompts(400, 50)):
                group.start_soon(
                    _reserve_if_possible, nodes[number % 40], item, reservations
                )
            await anyio.sleep(3 * CHECK_INTERVAL_S)
            for reservation in reservations:
                reservation.run.read(0.1)
            await anyio.sleep(3 * CHECK_INTERVAL_S)
            max_running = max(
                site.running(f"i-{number:03}") for number in range(2)
            )
            group.cancel_scope.cancel()
        self.assertEqual(
            sum(node.owned.loads(time.monotonic()) != [] for node in nodes), 2
        )
        self.assertLessEqual(max_running, 2 * int(SLOTS * SLOT_SHARE))
        runs = [reservation.run for reservation in reservations]
        self.assertEqual(len({id(run) for run in runs}), len(runs))

    async def test_lost_answer_frees_reservation(self) -> None:
        # The datagram with the placement is lost. After one timeout the
        # instance places the request itself; the next datagram frees what the
        # owner had reserved, and the request is counted only once.
        site = Site(30, servers=4)
        node = site.nodes["n00"]
        site.answers_lost.add("n00")
        async with anyio.create_task_group() as group:
            group.start_soon(node.placement_client.run)
            await node.placement_client.reserve_server(
                next(prompts(1)), frozenset()
            )
            owned = site.owner_of(0).owned
            await _until(lambda: _in_flight(owned) == 1)
            await anyio.sleep(2 * CHECK_INTERVAL_S)
            self.assertEqual(_in_flight(owned), 1)
            group.cancel_scope.cancel()

    async def test_sender_crashes(self) -> None:
        # An instance crashes with requests in flight, and its connections
        # close. The owner drops these requests after the time that this takes.
        site = Site(30, servers=4)
        node = site.nodes["n01"]
        await node.placement_client.reserve_server(
            next(prompts(1)), frozenset()
        )
        owned = site.owner_of(0).owned
        owned.tick(time.monotonic())
        self.assertEqual(_in_flight(owned), 1)
        owned.tick(time.monotonic() + SENDER_TIMEOUT_S + 0.1)
        self.assertEqual(len(owned), 0)

    async def test_caller_disconnects(self) -> None:
        # A caller disconnects while its request waits at the owner. The owner
        # removes the request from its queue.
        site = Site(30, servers=1)
        node = site.nodes["n02"]
        async with anyio.create_task_group() as group:
            group.start_soon(node.placement_client.run)
            group.start_soon(node.owned.run)
            for item in prompts(6):
                with anyio.move_on_after(0.01):
                    await node.placement_client.reserve_server(
                        item, frozenset()
                    )
            await _until(lambda: site.owner_of(0).owned.waiting == 0)
            group.cancel_scope.cancel()

    async def test_refusal_without_delay(self) -> None:
        # The owner finds that a request can't end in time. The caller gets a
        # refusal with a Retry-After time at once, as the request has not run.
        site = Site(30, servers=1)
        node = site.nodes["n03"]
        await node.placement_client.reserve_server(
            next(prompts(1)), frozenset()
        )
        now = time.monotonic()
        brief = next(prompts(1))
        brief = call(
            "h", arrived_at=now, answer_deadline=now + 0.1, prompt=brief.prompt
        )
        with self.assertRaises(NoCapacityError) as caught:
            await node.placement_client.reserve_server(brief, frozenset())
        self.assertIsNotNone(caught.exception.retry_s)


def _disable_answer_timeout(case: unittest.TestCase) -> None:
    """Disables the timeout for owners' answers.

    Otherwise a busy machine that delays the test by 30 ms would make instances
    place requests themselves, which these tests are not about.
    """
    case.enterContext(
        unittest.mock.patch.object(placementclient, "ANSWER_TIMEOUT_S", 30.0)
    )


async def _until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(30):
        while not condition():
            await anyio.sleep(0.01)


def _redirects(nodes: list[Node]) -> int:
    counts = (node.counters.snapshot() for node in nodes)
    return sum(item.get("place.passed", 0) for item in counts)


async def _reserve(
    node: Node, item: Call, reservations: list | None = None
) -> None:
    reservation = await node.placement_client.reserve_server(item, frozenset())
    if reservations is not None:
        reservations.append(reservation)


async def _reserve_if_possible(
    node: Node, item: Call, reservations: list
) -> None:
    with contextlib.suppress(NoCapacityError):
        await _reserve(node, item, reservations)


def _in_flight(owned: OwnedCells) -> int:
    return sum(item.running for item in owned.loads(time.monotonic()))


def _cells_by_server(names: list[str]) -> dict[str, int]:
    return {
        name: number
        for number, cell in enumerate(cells.cells_of(names))
        for name in cell
    }


if __name__ == "__main__":
    unittest.main()
