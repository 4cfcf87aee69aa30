"""Randomised model of instances that share the store's confirmations.

The real followers, ages and reports run in virtual time on a model of the
store, of its connections and of the messages between instances. Times and
faults are drawn from a seed.
"""

import asyncio
import functools
import random
import types
import unittest
import unittest.mock
from collections.abc import Awaitable, Callable

import anyio
import msgspec

from jasminerelay import followerroles, rendezvous, storebackoff, storeversion
from jasminerelay.errors import StoreError
from jasminerelay.followerroles import FollowerRole
from jasminerelay.freshness import Freshness
from jasminerelay.membership import ALIVE
from jasminerelay.metrics import Counters
from jasminerelay.peerstatus import PeerStatusTable
from jasminerelay.platform.root import (
    FIRST_CONTACT_S,
    INDIRECT_START_WAIT_S,
    MAX_CONFIRMED_AGE_S,
)
from jasminerelay.platform.storeclient import CALL_TIMEOUT_S
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import Member, ServerRow
from jasminerelay.schema.settings import Statsd
from jasminerelay.storefollowing import (
    INDIRECT_MODE,
    LEADER_LONG_POLL_S,
    FollowMode,
    HistoryGoneError,
    RegistryFeed,
    StoreMonitor,
    TableFollower,
    TablePage,
)
from tests.test_following import decode, silent_log

LENGTH_S = 60.0
STEP_S = 0.05

SETTLED_S = 3.0
"""Time from the start until all instances know each other and the first
version."""

MAX_CHANGE_DELAY_S = 2.0
"""Time within which a change must be in force after the store has accepted
it."""

MAX_DELAY_AFTER_RETURN_S = 2.0
"""The same after the store, or the connection to it, becomes available
again."""

NOTICE_S = 2.0
"""Time within which the failure or the return of other instances is
detected."""

ANSWER_DELAY_S = 0.004
MESSAGE_DELAY_S = 0.002
LOSS_RATE = 0.01
TABLES = ("op", "servers")

_weight = functools.cache(rendezvous._weight)
"""Weights of names, kept since all instances here need the same ones."""


def now() -> float:
    """Returns the virtual time."""
    return asyncio.get_running_loop().time()


class Store:
    """Two tables with one version, and the times of their changes.

    Attributes:
        calls: Time and instance of each call, answered or not.
        readers: Instance of each call for all rows of a table.
    """

    def __init__(self) -> None:
        self.up = True
        self.up_since = 0.0
        self.era = 0
        self.number = 0
        self.configuration = 0
        self.rows: list[tuple[str, ServerRow]] = []
        self.accepted: list[tuple[float, int]] = []
        self.calls: list[tuple[float, str]] = []
        self.readers: list[str] = []
        self._changed = anyio.Event()

    @property
    def version(self) -> int:
        """The newest version."""
        return storeversion.make(self.era, self.number)

    def write_configuration(self, *, again: bool = False) -> None:
        """Accepts a new configuration, or the newest one again."""
        self.configuration += not again
        self._put("op", "config", str(self.configuration).encode())
        self.accepted.append((now(), self.configuration))

    def write_server_row(self, name: str) -> None:
        """Accepts a server's row."""
        self._put("servers", name, b"pool:ready")

    def restore(self, lost_s: float) -> None:
        """Comes back in a new era, without what was accepted lately."""
        kept_until = now() - lost_s
        kept = [x for x in self.accepted if x[0] <= kept_until]
        kept = kept or self.accepted[:1]
        newest = str(kept[-1][1]).encode()
        last = max(
            number
            for number, (table, row) in enumerate(self.rows)
            if table == "op" and row.data == newest
        )
        self.accepted = kept
        self.era += 1
        self.rows = [
            (
                table,
                msgspec.structs.replace(
                    row,
                    version=storeversion.make(
                        self.era, storeversion.number_of(row.version)
                    ),
                ),
            )
            for table, row in self.rows[: last + 1]
        ]
        self.number = storeversion.number_of(self.rows[-1][1].version)

    def page(self, table: str, after: int) -> TablePage:
        """Returns the newest row of each key that changed after a version."""
        found = {
            row.id: row
            for name, row in self.rows
            if name == table and row.version > after
        }
        return TablePage(tuple(found.values()), self.version)

    async def changes(self, table: str, after: int, wait_s: float) -> TablePage:
        """Waits for a change."""
        era = storeversion.era_of(after)
        with anyio.move_on_after(wait_s):
            while self.era == era and not self.page(table, after).rows:
                await self._changed.wait()
        if after and (self.era != era or after > self.version):
            raise HistoryGoneError("the store came back from a copy")
        return self.page(table, after)

    def _put(self, table: str, key: str, data: bytes) -> None:
        self.number += 1
        self.rows.append((table, ServerRow(key, self.version, data)))
        self._changed.set()
        self._changed = anyio.Event()


class Table:
    """An instance's calls on one table.

    A call that is in flight when the store or the connection becomes
    unresponsive is never answered: only its own timeout ends it.
    """

    def __init__(self, node: "Node", name: str):
        self._node = node
        self._name = name

    async def read(self) -> TablePage:
        """Returns all rows."""
        self._node.world.store.readers.append(self._node.name)
        return await self.changes(0, 0.0)

    async def changes(self, after: int, wait_s: float) -> TablePage:
        """Waits for a change, while the store answers."""
        node, store = self._node, self._node.world.store
        store.calls.append((now(), node.name))
        if not node.reaches_store and node.refused:
            raise StoreError("refused")
        silent = node.unanswered_count
        with anyio.move_on_after(wait_s + CALL_TIMEOUT_S):
            if node.reaches_store:
                await anyio.sleep(ANSWER_DELAY_S)
                node.see_era(store.era)
                page = await store.changes(self._name, after, wait_s)
                if silent == node.unanswered_count:
                    return page
            await anyio.sleep_forever()
        raise StoreError("silent")


class Node:
    """One instance, without requests and sockets.

    Attributes:
        unanswered_count: How often calls in flight were left unanswered.
        linked: Whether the connection to the store works.
        linked_since: When it began to work.
        refused: Whether the store rejects calls while it does not answer.
        joined_at: When the instance came to its side.
    """

    def __init__(self, world: "World", member: Member):
        self.world = world
        self.member = member
        self.name = member.instance
        self.unanswered_count = 0
        self.linked = True
        self.linked_since = now()
        self.refused = False
        self.era = world.store.era
        self._part = 0
        self.joined_at = now()
        self.scope = anyio.CancelScope()
        self._live: list[Member] = []
        self._lost: list[str] = []
        self.registry = Registry(
            lambda data: types.SimpleNamespace(version=int(data)), decode
        )
        self.freshness = Freshness(TABLES)
        self.peer_status = PeerStatusTable(self.registry, self.freshness)
        self.followers = FollowerRole(member.instance, member.zone)
        log, counters = silent_log(), Counters(Statsd())
        self.state = StoreMonitor(self.registry, self.freshness, log, world.rng)
        self.state.outage = self._classify_outage
        self.state.on_confirmed_or_lost = lambda: self.send_status(
            self.followers.confirmation_recipients()
        )
        self.feed = RegistryFeed(self.registry, "config", counters, log)
        self.feed.on_changed = lambda: self.send_status(
            self.followers.change_recipients()
        )
        self._followers = {
            table: TableFollower(
                table,
                Table(self, table),
                self.state,
                counters,
                world.rng,
                lambda table=table: self._mode(table),
            )
            for table in TABLES
        }
        self.counters = counters

    @property
    def part(self) -> int:
        """Side of a network partition; messages do not cross sides."""
        return self._part

    @part.setter
    def part(self, part: int) -> None:
        self._part = part
        self.world.members_changed()

    @property
    def reaches_store(self) -> bool:
        """Whether the store answers new calls of this instance."""
        return self.linked and self.world.store.up

    @property
    def answered_since(self) -> float:
        """Time since which the store has answered it."""
        return max(self.linked_since, self.world.store.up_since)

    @property
    def version(self) -> int:
        """The configuration in force on this instance."""
        return self.registry.catalog.version if self.registry.catalog else 0

    @property
    def configuration_confirmed(self) -> bool:
        """Whether the instance may give final refusals."""
        is_recent = self.freshness.age_s(now()) <= MAX_CONFIRMED_AGE_S
        return is_recent and not self.peer_status.newer_configuration_reported(
            now()
        )

    def see_era(self, era: int) -> None:
        """Processes the store's era, which all its answers state."""
        if era > self.era:
            self.era = era
            self.state.on_new_era()

    async def run(self) -> None:
        """Runs until its scope is cancelled."""
        with self.scope:
            async with anyio.create_task_group() as group:
                feed = self.feed
                group.start_soon(
                    self._followers["op"].run,
                    feed.apply_operator_rows,
                    feed.apply_operator_rows,
                    lambda: self._start(
                        lambda: self.registry.configuration_version
                    ),
                )
                group.start_soon(
                    self._followers["servers"].run,
                    feed.apply_all_servers,
                    feed.apply_server_changes,
                    lambda: self._start(lambda: self.registry.servers_version),
                )
                group.start_soon(self._tick)

    async def _start(self, version: Callable[[], int]) -> int | None:
        """Waits for other instances' data as an instance does at its start."""
        known = self.world.seen_by(self)
        reads = followerroles.reads_at_start(self.member, known)
        limit_s = FIRST_CONTACT_S if reads else INDIRECT_START_WAIT_S
        with anyio.move_on_after(limit_s):
            while not self.registry.complete:
                await anyio.sleep(STEP_S)
        return version() if self.registry.complete else None

    def send_status(self, members: list[Member]) -> None:
        """Sends the versions of the instance's data to others."""
        age_s = self.freshness.age_s(now())
        standing = msgspec.structs.replace(
            self.registry.standing,
            age_ms=-1 if age_s == float("inf") else int(age_s * 1000),
        )
        for member in members:
            self.world.send(self, member.instance, standing)

    def process_message(self, sender: "Node", standing) -> None:
        """Processes a message."""
        if self.peer_status.reports_store_loss(sender.name, standing):
            self.state.check()
        self.peer_status.record_report(sender.name, standing, now(), now())
        if standing.touch:
            self.followers.record_message(sender.name, now())

    def _classify_outage(self) -> storebackoff.Outage:
        return storebackoff.classify(
            self.peer_status.reports,
            self.state.lost_since,
            now(),
            age_s=self.freshness.age_s(now()),
            is_first_caller=self.followers.is_first_caller,
        )

    def _mode(self, table: str) -> FollowMode:
        polls = table == "op" or self.followers.polls_all_tables(now())
        if self.followers.is_leader and polls:
            return FollowMode(wait_s=LEADER_LONG_POLL_S)
        follows_closely = self.followers.follows_closely()
        return FollowMode() if follows_closely else INDIRECT_MODE

    async def _tick(self) -> None:
        rounds = 0
        while True:
            await anyio.sleep(self.world.rng.uniform(0.09, 0.11))
            rounds += 1
            self.freshness.tick(now())
            live = self.world.seen_by(self)
            lost = self.peer_status.without_store()
            if self.state.lost:
                lost.append(self.name)
            if live is not self._live or lost != self._lost:
                self._live, self._lost = live, lost
                self.followers.update_instances(
                    live, shared=self.world.shared, without_store=lost
                )
            self.peer_status.fetches_at_once = (
                not self.followers.follows_closely()
            )
            lags = self.followers.record_lag(
                now(), versions_differ=self.freshness.versions_differ
            )
            self.state.abort_waits_if_older(
                self.followers.poll_age_s(lags=lags)
            )
            if rounds % 2 == 0 and len(live) > 1:
                others = [item for item in live if item is not self.member]
                self.send_status([self.world.rng.choice(others)])
            if rounds % 4 == 0:
                self.send_status(self.followers.change_recipients())
            await self._catch_up()

    async def _catch_up(self) -> None:
        name = self.peer_status.fetch_source(now())
        other = self.world.nodes.get(name or "")
        if other is None or other.part != self.part:
            return
        await anyio.sleep(ANSWER_DELAY_S)
        self.registry.merge_snapshot(other.registry.export_snapshot())
        self.peer_status.record_fetch(now())


class World:
    """Simulates one seed and checks every step."""

    def __init__(
        self,
        test: unittest.TestCase,
        seed: int,
        count: int,
        scenario: Callable[["World"], Awaitable[None]] | None = None,
        *,
        restores: bool = False,
    ):
        """Creates the world.

        Args:
            test: Receives the assertions.
            seed: Seed of times and faults.
            count: Number of instances.
            scenario: Events instead of randomly drawn faults; the simulation
                ends with it.
            restores: Whether the store also comes back from older copies.
        """
        self._restores = restores
        self._test = test
        self._scenario = scenario
        self._count = count
        self.rng = random.Random(seed)
        self.shared = count >= followerroles.MIN_INSTANCES_FOR_FOLLOWERS
        self.store = Store()
        self.nodes: dict[str, Node] = {}
        self._group = None
        self._started = 0
        self._views: dict[int, list[Member]] | None = None
        self._is_partitioned = False
        self._joined_at = 0.0

    async def run(self) -> None:
        """Simulates the whole time."""
        with unittest.mock.patch.object(rendezvous, "_weight", _weight):
            await self._run()

    async def _run(self) -> None:
        self.store.write_configuration()
        async with anyio.create_task_group() as group:
            self._group = group
            for number in range(self._count):
                self.start(f"z{number % 3}")
            group.start_soon(self._check_all)
            if self._scenario is not None:
                await anyio.sleep(SETTLED_S)
                await self._scenario(self)
            else:
                group.start_soon(self._change_configuration)
                group.start_soon(self._inject_faults)
                await anyio.sleep(LENGTH_S)
            group.cancel_scope.cancel()

    def send(self, sender: Node, to: str, standing) -> None:
        """Delivers a message, unless it is lost or a partition prevents it."""
        self._group.start_soon(self._deliver, sender, to, standing)

    def seen_by(self, node: Node) -> list[Member]:
        """Returns the instances that a node considers live, with a delay.

        All nodes of one side of a partition see the same list, which is kept.
        """
        if self._views is None:
            nodes = self.nodes.values()
            self._views = {}
            self._is_partitioned = len({other.part for other in nodes}) > 1
            self._joined_at = max(other.joined_at for other in nodes)
        if self._is_partitioned and now() - self._joined_at < NOTICE_S:
            return [
                other.member
                for other in self.nodes.values()
                if other is node
                or other.part == node.part
                or now() - max(other.joined_at, node.joined_at) < NOTICE_S
            ]
        view = self._views.get(node.part)
        if view is None:
            view = self._views[node.part] = [
                other.member
                for other in self.nodes.values()
                if other.part == node.part
            ]
        return view

    def members_changed(self) -> None:
        """Discards the lists of instances, as one came, left or moved."""
        self._views = None

    async def _deliver(self, sender: Node, to: str, standing) -> None:
        await anyio.sleep(MESSAGE_DELAY_S)
        node = self.nodes.get(to)
        if node is None or node.part != sender.part:
            return
        if self.rng.random() >= LOSS_RATE:
            node.process_message(sender, standing)

    def start(self, zone: str) -> Node:
        """Starts an instance without data."""
        self._started += 1
        name = f"i{self._started}"
        node = Node(self, Member(name, "", zone, "", "", "", ALIVE, 1))
        self.nodes[name] = node
        self.members_changed()
        self._group.start_soon(node.run)
        return node

    async def _check_all(self) -> None:
        while True:
            await anyio.sleep(STEP_S)
            expected = self._newest_at(now() - MAX_CHANGE_DELAY_S)
            for node in self.nodes.values():
                self._check(node, expected)

    async def _change_configuration(self) -> None:
        while True:
            await anyio.sleep(self.rng.uniform(0.3, 5.0))
            if not self.store.up:
                continue
            if self.rng.random() < 0.8:
                self.store.write_configuration()
            else:
                self.store.write_server_row(f"s{self.rng.randrange(4)}")

    async def _inject_faults(self) -> None:
        faults = (
            self._outage,
            self._cut_off,
            self._partition_zone,
            self._replace,
            *([self._restore] * 3 if self._restores else []),
        )
        while True:
            await anyio.sleep(self.rng.uniform(1.0, 6.0))
            await self.rng.choice(faults)()

    async def _outage(self) -> None:
        """Makes the store unresponsive or reject calls, and restores it."""
        # Most calls after a change are sent at the same moment.
        if self.rng.random() < 0.5:
            self.store.write_configuration()
            await anyio.sleep(self.rng.uniform(0.0, 0.5))
        for node in self.nodes.values():
            self.leave_calls_unanswered(node)
        self.store.up = False
        await anyio.sleep(self.rng.uniform(0.5, 7.0))
        self.store.up = True
        self.store.up_since = now()
        self.store.write_configuration()

    async def _restore(self) -> None:
        """Lets the store come back from a copy; the operator writes again."""
        for _ in range(self.rng.choice((1, 1, 2))):
            for node in self.nodes.values():
                self.leave_calls_unanswered(node)
            self.store.up = False
            await anyio.sleep(self.rng.uniform(0.05, 3.0))
            self.store.restore(self.rng.uniform(0.0, 8.0))
            self.store.up = True
            self.store.up_since = now()
            await anyio.sleep(self.rng.uniform(0.0, 1.0))
        self.store.write_configuration(again=True)
        self.store.up_since = now()

    async def _cut_off(self) -> None:
        """Cuts some instances off from the store, mostly followers."""
        zone = f"z{self.rng.randrange(3)}"
        group = [n for n in self.nodes.values() if n.member.zone == zone]
        chosen = followerroles.followers_of_zone(
            zone, [node.name for node in group]
        )
        if self.rng.random() < 0.5:
            chosen = self.rng.sample(list(self.nodes), 2)
        cut = [self.nodes[name] for name in chosen]
        for node in cut:
            self.leave_calls_unanswered(node)
            node.linked = False
        await anyio.sleep(self.rng.uniform(2.0, 9.0))
        for node in cut:
            node.linked = True
            node.linked_since = now()

    async def _partition_zone(self) -> None:
        """Partitions a zone, half of the time also from the store."""
        zone = f"z{self.rng.randrange(3)}"
        group = [n for n in self.nodes.values() if n.member.zone == zone]
        store_too = self.rng.random() < 0.5
        for node in group:
            node.part, node.joined_at = 1, now()
            if store_too:
                self.leave_calls_unanswered(node)
                node.linked = False
        await anyio.sleep(self.rng.uniform(2.0, 9.0))
        for node in group:
            node.part, node.joined_at = 0, now()
            if store_too:
                node.linked, node.linked_since = True, now()

    async def _replace(self) -> None:
        """Stops an instance and starts another, often the leading one."""
        names = list(self.nodes)
        leaders = [n.name for n in self.nodes.values() if n.followers.is_leader]
        name = self.rng.choice(leaders or names)
        node = self.nodes.pop(name)
        self.members_changed()
        node.scope.cancel()
        await anyio.sleep(self.rng.uniform(0.1, 1.0))
        self.start(node.member.zone)

    def leave_calls_unanswered(self, node: Node) -> None:
        """Leaves an instance's calls in flight unanswered for good."""
        node.unanswered_count += 1
        node.refused = self.rng.random() < 0.3

    def _check(self, node: Node, expected: int) -> None:
        is_answered = (
            node.reaches_store
            and now() - node.answered_since > MAX_DELAY_AFTER_RETURN_S
        )
        if is_answered:
            self._test.assertGreaterEqual(
                node.version,
                expected,
                f"at {now():.2f} s {node.name} lags behind the store",
            )
            # Otherwise unknown routes would get 503 for good. An instance that
            # knows of a newer version answers 503 until that arrives, as
            # checked above.
            self._test.assertLessEqual(
                node.freshness.age_s(now()),
                MAX_CONFIRMED_AGE_S,
                f"at {now():.2f} s {node.name} lacks confirmation of its data",
            )
        if node.version < expected:
            self._test.assertFalse(
                node.configuration_confirmed,
                f"at {now():.2f} s {node.name} gives final refusals by an old"
                " version",
            )

    def _newest_at(self, at: float) -> int:
        """Returns the configuration that was the newest at a time."""
        return max((v for t, v in self.store.accepted if t <= at), default=0)
