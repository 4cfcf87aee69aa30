"""Where streams began: records, homes, and questions between instances."""

import unittest

import anyio

from jasminerelay import originlookup, peermessages
from jasminerelay.catalog import (
    BackendServer,
    Call,
    RepeatPolicy,
    Route,
    ServiceShare,
)
from jasminerelay.originlookup import (
    HOME,
    ONLY_VERSION,
    OWN,
    FoundOrigin,
    OriginLookup,
)
from jasminerelay.registry import Registry
from jasminerelay.scheduling.streamorigins import (
    ASKED,
    KEPT_S,
    MAX_GAP_S,
    MAX_RECORDS,
    TOLD,
    HomeRing,
    OriginRecords,
    SeenVersions,
    StreamOrigin,
    VersionHistory,
    covered_s,
    key_of,
    only_version,
)
from jasminerelay.schema.messages import Member, OriginAnswer, StreamsBegun
from tests import virtualtime
from tests.instanceworld import InstanceWorld, Node, Quiet

POOL = "pool"
VERSIONS = ("v1", "v2", "v3")
OLD_ORIGIN = StreamOrigin(POOL, "v1")
NEW_ORIGIN = StreamOrigin(POOL, "v2")
CONTACT_S = 3.0
"""Time after a start or a cut from which an instance counts as reached."""


def route(*services: str) -> Route:
    """Returns a resumable route."""
    shares = tuple(ServiceShare(name, 1.0) for name in services or (POOL,))
    return Route(
        "chat", "h", "/", RepeatPolicy.RESUMABLE, True, 15.0, 1.0, 1.0, 0,
        shares, 2, False, True,
    )  # fmt: skip


def call(attempt: str, resumes: str = "", organisation: str = "elm") -> Call:
    """Returns a request, which takes a stream up if it names one."""
    return Call(
        attempt, route(), POOL, 0, False, organisation, "POST", "h", b"/", (),
        b"", None, "7" if resumes else "", 0.0, 10.0, resumes,
    )  # fmt: skip


def server(version: str, name: str = "a", service: str = POOL) -> BackendServer:
    """Returns a server of a software version."""
    return BackendServer(
        name, service, "1.2.3.4:5", "z", 1, False, software_version=version
    )


async def confirmed() -> bool:
    """Confirms, as a store that answers."""
    return True


def member(name: str, zone: str = "a") -> Member:
    """Returns an instance."""
    return Member(name, "", zone, "", "", name, "alive", 0)


class OriginRecordsTest(unittest.TestCase):
    """What one instance keeps."""

    def setUp(self) -> None:
        self.records = OriginRecords()

    def test_kept_for_a_while(self) -> None:
        self.records.add(1, OLD_ORIGIN, 10.0)
        self.assertEqual(self.records.find(1, 10.0 + KEPT_S), OLD_ORIGIN)
        self.assertIsNone(self.records.find(1, 10.1 + KEPT_S))
        self.assertEqual(len(self.records), 0)

    def test_id_with_two_origins(self) -> None:
        # Guards against a guess where a caller used one id for two streams.
        self.records.add(1, OLD_ORIGIN, 10.0)
        self.records.add(1, NEW_ORIGIN, 10.1)
        self.assertIsNone(self.records.find(1, 10.2))
        self.records.add(1, NEW_ORIGIN, 10.3)
        self.assertIsNone(self.records.find(1, 10.4))
        self.assertEqual(self.records.all(10.4), [])

    def test_bounded(self) -> None:
        # Guards against memory that grows with the requests.
        for key in range(MAX_RECORDS + 10):
            self.records.add(key, OLD_ORIGIN, 10.0)
        self.assertEqual(len(self.records), MAX_RECORDS)
        self.assertIsNone(self.records.find(0, 10.0))

    def test_keys_of_two_organisations(self) -> None:
        # Guards against an organisation that goes on with another's stream.
        self.assertNotEqual(key_of("elm", "a1"), key_of("oak", "a1"))
        self.assertNotEqual(key_of("el", "ma1"), key_of("elm", "a1"))


class HomeRingTest(unittest.TestCase):
    """Which instances are a stream's homes."""

    def members(self, count: int) -> list[Member]:
        """Returns instances in three zones."""
        return [member(f"n{n}", "abc"[n % 3]) for n in range(count)]

    def test_homes_are_in_two_zones(self) -> None:
        # Guards against streams that are unknown once a zone has failed.
        for count in (6, 400):
            ring = HomeRing(self.members(count))
            for key in range(0, 2**64, 2**56):
                first, second = ring.homes(key, TOLD)
                self.assertNotEqual(first.zone, second.zone)

    def test_few_instances(self) -> None:
        self.assertEqual(HomeRing(()).homes(5, TOLD), [])
        only = member("n1")
        self.assertEqual(HomeRing([only]).homes(5, TOLD), [only])
        ring = HomeRing([member("n1"), member("n2")])
        self.assertEqual(len(ring.homes(5, ASKED)), 2)

    def test_homes_are_asked_by_an_instance_with_another_view(self) -> None:
        # Guards against take-ups that ask only instances that know nothing: a
        # home was told by an instance that has ended since, with another one;
        # both have come back as new members.
        for count in (6, 400):
            before = self.members(count)
            after = [*before[2:], member("m0", "a"), member("m1", "b")]
            told, asked = HomeRing(before[1:]), HomeRing(after)
            missed = 0
            keys = range(0, 2**64, 2**54)
            for key in keys:
                homes = {x.instance for x in told.homes(key, TOLD)}
                homes -= {"n0", "n1"}
                found = {x.instance for x in asked.homes(key, ASKED)}
                missed += not homes & found
            self.assertLess(missed, len(keys) / 100)

    def test_shares_are_even(self) -> None:
        counts: dict[str, int] = {}
        ring = HomeRing(self.members(400))
        keys = range(0, 2**64, 2**50)
        for key in keys:
            for home in ring.homes(key, TOLD):
                counts[home.instance] = counts.get(home.instance, 0) + 1
        self.assertLess(max(counts.values()), 4 * TOLD * len(keys) / 400)


class VersionHistoryTest(unittest.TestCase):
    """Whether one software version only can have begun a stream."""

    def setUp(self) -> None:
        self.history = VersionHistory()
        self.history.record_routes((route(),), 100.0)
        self.follow(100.0, 200.0)

    def follow(self, since: float, until: float, age_s: float = 0.5) -> None:
        """Lets time pass while the list is confirmed."""
        now = since
        while now <= until:
            self.history.record_age(age_s, now)
            now += 0.5

    def view(
        self, *listed: BackendServer, age_s: float = 0.5, now: float = 200.0
    ) -> SeenVersions:
        """Returns what this instance has seen of late."""
        return self.history.seen(POOL, listed, age_s, now)

    def only(self, *listed: BackendServer, now: float = 200.0) -> str | None:
        """Returns the only version that this instance has seen of late."""
        return only_version([self.view(*listed, now=now)], KEPT_S)

    def test_one_version(self) -> None:
        others = server("v9", service="other")
        self.assertEqual(self.only(server("v1"), others), "v1")

    def test_two_versions(self) -> None:
        self.assertIsNone(self.only(server("v1"), server("v2", "b")))

    def test_version_that_has_gone(self) -> None:
        # Guards against a guess after the last server of a version has ended.
        self.history.record_end(server("v2"), 150.0)
        self.assertIsNone(self.only(server("v1")))
        self.assertEqual(self.only(server("v1"), now=210.1), "v1")

    def test_instance_that_has_just_started(self) -> None:
        # Guards against a guess of an instance that has seen no other version
        # only because it has not run for long, and against its refusals where
        # another one has.
        young = SeenVersions(frozenset({"v1"}), 1.0, 0.0)
        self.assertIsNone(only_version([young], KEPT_S))
        self.assertEqual(only_version([young], 0.0), "v1")
        older = SeenVersions(frozenset({"v1"}), KEPT_S, 0.5)
        self.assertEqual(only_version([older, young], KEPT_S), "v1")
        other = SeenVersions(frozenset({"v1", "v2"}), KEPT_S, 0.5)
        self.assertIsNone(only_version([young, other], KEPT_S))

    def test_view_that_ended_before_another_began(self) -> None:
        # Guards against views that are added up although a version may have
        # come and gone between them.
        young = SeenVersions(frozenset({"v1"}), 1.0, 0.0)
        behind = SeenVersions(frozenset({"v1"}), KEPT_S, 2.0 + MAX_GAP_S)
        self.assertEqual(covered_s([young, behind]), 1.0)
        near = SeenVersions(frozenset({"v1"}), 50.0, 0.9 + MAX_GAP_S)
        self.assertAlmostEqual(covered_s([young, near]), 50.9 + MAX_GAP_S)
        never = SeenVersions(frozenset({"v1"}), 0.0, float("inf"))
        self.assertEqual(covered_s([never]), 0.0)

    def test_list_that_was_not_confirmed_for_a_while(self) -> None:
        # Guards against time that counts as watched while an instance was cut
        # off, with the list that it had before.
        self.history.record_age(MAX_GAP_S + 0.1, 200.5)
        self.assertEqual(self.view(server("v1"), now=200.5).watched_s, 0.0)
        self.follow(201.0, 203.0)
        self.assertAlmostEqual(
            self.view(server("v1"), now=203.0).watched_s, 2.0
        )

    def test_process_that_stood_still(self) -> None:
        # Guards against the same in a process that was stalled: what came in
        # meanwhile is read before its next check, and looks recent.
        self.history.record_age(0.1, 205.0)
        self.assertEqual(self.view(server("v1"), now=205.0).watched_s, 0.0)

    def test_restored_store(self) -> None:
        self.history.restart()
        self.assertIsNone(self.only(server("v1")))

    def test_route_that_led_elsewhere(self) -> None:
        # Guards against a stream that goes on at another service than the one
        # that began it.
        self.assertFalse(self.history.led_elsewhere(route(), 150.0))
        self.history.record_routes((route("other"),), 150.0)
        self.history.record_routes((route(),), 151.0)
        self.assertTrue(self.history.led_elsewhere(route(), 200.0))
        self.assertFalse(self.history.led_elsewhere(route(), 211.1))


class OriginWorld(InstanceWorld):
    """Instances at which streams begin, break off and are taken up.

    Attributes:
        wrong: Takes-up at which an origin was found that is not the stream's.
        known: Takes-up whose origin was found, at instances in contact.
        unknown: Others at instances in contact.
        messages: Messages sent, by kind.
        bytes: Their total size.
    """

    def __init__(
        self,
        seed: int,
        count: int,
        *,
        faults: bool,
        streams_s: float = 4.0,
        seconds: float = 8.0,
        old_share: float = 0.0,
    ):
        """Creates a simulation.

        Args:
            seed: Seed of times and faults.
            count: Number of instances.
            faults: Whether there are faults.
            streams_s: Streams that begin at each instance in a second.
            seconds: Duration.
            old_share: Share of instances of an earlier program version.
        """
        super().__init__(seed, count, faults=faults)
        self._streams_s = streams_s
        self._seconds = seconds
        self._old_share = old_share
        self.wrong = self.known = self.unknown = self.bytes = 0
        self.messages: dict[str, int] = {}
        self._lists: dict[tuple[str, ...], list[Member]] = {}

    def make(self, name: str) -> OriginLookup:
        """Returns the lookup of a new instance."""
        lookup = OriginLookup(name, name, Registry(None, None), Quiet())
        lookup.members = lambda: self._unchanged_members(name)
        lookup.old = self.rng.random() < self._old_share
        if lookup.old:
            lookup.handle_message = lambda message: None
        return lookup

    async def live(self, node: Node) -> None:
        """Runs the instance until it is stopped."""
        await node.watch.run()

    async def run(self) -> None:
        """Runs the simulation."""
        async with anyio.create_task_group() as group:
            self.group = group
            for _ in range(self.count):
                self.start_node()
            await anyio.sleep(CONTACT_S + 0.1)
            until = anyio.current_time() + self._seconds
            if self.faults:
                group.start_soon(self.disturb, until)
            while anyio.current_time() < until:
                pause_s = 1 / (self._streams_s * self.count)
                await anyio.sleep(self.rng.expovariate(1 / pause_s))
                group.start_soon(self._stream)
            await anyio.sleep(2.0)
            group.cancel_scope.cancel()

    async def _stream(self) -> None:
        """Begins a stream; takes it up once it, or its instance, has ended."""
        attempt = f"s{self.number()}"
        version = self.rng.choice(VERSIONS)
        first = self.rng.choice(self.alive)
        if not first.watch.old:
            first.watch.record_first_event(call(attempt), server(version))
        ends_at = anyio.current_time() + self.rng.uniform(0.0, 1.5)
        while first.alive and anyio.current_time() < ends_at:
            await anyio.sleep(0.05)
        await anyio.sleep(self.rng.uniform(0.01, 0.2))
        node = self.rng.choice([x for x in self.alive if not x.watch.old])
        in_contact = node.in_touch(anyio.current_time(), CONTACT_S)
        found = await node.watch.find(call(f"{attempt}+", attempt))
        if found.origin is not None:
            self.wrong += found.origin != StreamOrigin(POOL, version)
        if in_contact and not first.watch.old:
            self.known += found.origin is not None
            self.unknown += found.origin is None

    def _unchanged_members(self, name: str) -> list[Member]:
        """Returns the same list as before while it has the same instances."""
        found = self.members(self._node(name))
        names = tuple(item.instance for item in found)
        return self._lists.setdefault(names, found)

    def _node(self, name: str) -> Node:
        return next(node for node in self.nodes if node.name == name)

    def _send(self, node: Node, to: str, message: object) -> None:
        kind = type(message).__name__
        self.messages[kind] = self.messages.get(kind, 0) + 1
        self.bytes += len(peermessages.encode(message))
        super()._send(node, member(to), message)

    @property
    def share(self) -> float:
        """Share of the takes-up in contact whose origin was found."""
        return self.known / max(1, self.known + self.unknown)


class OriginModelTest(unittest.TestCase):
    """Instances that end, come back, are cut off and lose messages."""

    def run_world(self, *args, **options) -> OriginWorld:
        """Runs one simulation in virtual time."""
        world = OriginWorld(*args, **options)
        virtualtime.run(world.run, (originlookup,))
        self.assertEqual(world.wrong, 0)
        return world

    def test_six_instances_with_faults(self) -> None:
        # Guards against origins that are guessed, and against take-ups that are
        # refused although an instance knows the origin.
        known = unknown = 0
        for seed in range(12):
            world = self.run_world(seed, 6, faults=True)
            known += world.known
            unknown += world.unknown
        self.assertGreater(known + unknown, 1000)
        self.assertGreater(known, 0.5 * (known + unknown))

    def test_calm_instances(self) -> None:
        for count in (2, 6, 30):
            world = self.run_world(1, count, faults=False)
            self.assertEqual(world.unknown, 0)

    def test_rolling_update(self) -> None:
        # Guards against origins that new instances lose among old ones, which
        # keep and answer nothing.
        world = self.run_world(3, 8, faults=False, old_share=0.5)
        self.assertGreater(world.share, 0.5)

    def test_size_designed_for(self) -> None:
        # Guards against messages that grow with the square of the instances.
        per_stream = {}
        for count in (50, 400):
            world = self.run_world(
                1, count, faults=True, streams_s=9.0, seconds=0.5
            )
            taken_up = world.known + world.unknown
            self.assertGreater(world.share, 0.5, count)
            self.assertLessEqual(
                world.messages["OriginQuery"], 4 * ASKED * taken_up
            )
            streams = world.messages["StreamsBegun"] / TOLD
            per_stream[count] = sum(world.messages.values()) / streams
        self.assertLess(per_stream[400], 1.2 * per_stream[50])


class OriginLookupTest(unittest.IsolatedAsyncioTestCase):
    """What one instance tells and asks."""

    def setUp(self) -> None:
        self.sent: list[tuple[str, object]] = []
        self.lookup = self.new_lookup("n1")
        self.members = [member(f"n{n}", "ab"[n % 2]) for n in (1, 2, 3)]

    def new_lookup(self, name: str) -> OriginLookup:
        """Returns an instance's lookup, whose messages are noted."""
        lookup = OriginLookup(name, name, Registry(None, None), Quiet())
        lookup.members = lambda: self.members
        lookup.send = lambda to, message: self.sent.append((to, message))
        return lookup

    async def test_told_before_the_first_event_leaves(self) -> None:
        # Guards against streams that are unknown since their instance ended
        # right behind the first event: nothing is awaited.
        self.lookup.record_first_event(call("a1"), server("v2"))
        self.assertEqual([to for to, _ in self.sent], ["n3", "n2"])
        (_, message), _ = self.sent
        key = key_of("elm", "a1")
        self.assertEqual(message, StreamsBegun(POOL, "v2", [key]))

    async def test_own_stream(self) -> None:
        self.lookup.record_first_event(call("a1"), server("v2"))
        found = await self.lookup.find(call("a2", "a1"))
        self.assertEqual((found.origin, found.source), (NEW_ORIGIN, OWN))

    async def test_no_attempt_named(self) -> None:
        # Guards against a caller that names no attempt and goes on with the
        # stream of a request that had no id.
        self.lookup.record_first_event(call(""), server("v2"))
        self.members = []
        found = await self.lookup.find(call("a2", ""))
        self.assertIsNone(found.origin)

    async def test_other_organisation(self) -> None:
        self.lookup.record_first_event(call("a1"), server("v2"))
        self.members = []
        found = await self.lookup.find(call("a2", "a1", "oak"))
        self.assertIsNone(found.origin)

    async def test_home_that_has_just_started(self) -> None:
        # Guards against "I don't know" of one instance that is taken for a
        # "nobody does", and against an answer that is awaited in vain.
        other, home = self.new_lookup("n2"), self.new_lookup("n3")
        home.handle_message(StreamsBegun(POOL, "v2", [key_of("elm", "a1")]))

        async def deliver() -> None:
            await anyio.sleep(0.01)
            lookups = {"n1": self.lookup, "n2": other, "n3": home}
            while self.sent:
                to, message = self.sent.pop(0)
                lookups[to].handle_message(message)

        async with anyio.create_task_group() as group:
            group.start_soon(deliver)
            found = await self.lookup.find(call("a2", "a1"))
        self.assertEqual((found.origin, found.source), (NEW_ORIGIN, HOME))

    async def test_names_of_any_kind(self) -> None:
        # Guards against a request that fails since it names an odd attempt.
        self.members = []
        for name in ("", "\xff" * 200, "a1\x00", "none"):
            found = await self.lookup.find(call("a2", name))
            self.assertIsNone(found.origin)
            self.assertEqual(found.source, "")

    async def test_only_version_needs_a_confirmation(self) -> None:
        # Guards against a guess of an instance that is alone with a list of
        # servers that may be old.
        self.members = []
        seen = SeenVersions(frozenset({"v1"}), KEPT_S)
        self.lookup._view = lambda service: seen
        self.assertIsNone((await self.lookup.find(call("a", "b"))).origin)
        self.lookup.confirm = confirmed
        found = await self.lookup.find(call("a", "b"))
        self.assertEqual(
            (found.origin, found.source, found.proved_by),
            (OLD_ORIGIN, ONLY_VERSION, "n1"),
        )

    async def test_version_that_another_instance_has_seen(self) -> None:
        # Guards against a guess of an instance that does not know of a version
        # yet, or any more, at which the stream may have begun.
        for versions, origin in ((["v1"], OLD_ORIGIN), (["v1", "v2"], None)):
            lookup = self.new_lookup("n1")
            seen = SeenVersions(frozenset({"v1"}), KEPT_S)
            lookup._view = lambda service, seen=seen: seen
            lookup.confirm = confirmed

            async def answer(lookup=lookup, versions=versions) -> None:
                await anyio.sleep(0.01)
                (_, query), *_ = self.sent
                lookup.handle_message(
                    OriginAnswer("n2", query.number, False, "", "", versions, 9)
                )

            async with anyio.create_task_group() as group:
                group.start_soon(answer)
                found = await lookup.find(call("a"))
            self.assertEqual(found.origin, origin)
            self.sent.clear()

    async def find_among(
        self, reaches_store: tuple[str, ...], resumes: str = "b"
    ) -> FoundOrigin:
        """Takes an unknown stream up at the first of three instances.

        Args:
            reaches_store: Those that the store answers.
            resumes: The attempt that its caller names.
        """
        lookups = {name: self.new_lookup(name) for name in ("n1", "n2", "n3")}
        seen = SeenVersions(frozenset({"v1"}), KEPT_S)
        for name, lookup in lookups.items():
            lookup._view = lambda service: seen
            if name in reaches_store:
                lookup.confirm = confirmed
        async with anyio.create_task_group() as group:

            async def deliver() -> None:
                while True:
                    await anyio.sleep(0.005)
                    sent, self.sent[:] = list(self.sent), []
                    for to, message in sent:
                        lookups[to].handle_message(message)

            group.start_soon(deliver)
            for lookup in lookups.values():
                group.start_soon(lookup.run)
            found = await lookups["n1"].find(call("a", resumes))
            group.cancel_scope.cancel()
        return found

    async def test_instances_that_confirm_each_other(self) -> None:
        # Guards against a guess of instances that are all out of step.
        found = await self.find_among(())
        self.assertEqual((found.origin, found.source), (None, ""))

    async def test_answer_to_a_question_of_an_earlier_process(self) -> None:
        # Guards against an answer that was held up, and belongs to another
        # stream that an instance at this address had asked for.
        numbers = []
        for _ in range(2):
            self.sent.clear()
            lookup = self.new_lookup("n1")
            await lookup.find(call("a", "b"))
            (_, query), *_ = self.sent
            numbers.append(query.number)
        self.assertNotEqual(*numbers)

    async def test_proof_of_another_instance(self) -> None:
        # Guards against refusals at an instance without the store, where
        # another one reaches it.
        found = await self.find_among(("n3",))
        self.assertEqual((found.origin, found.proved_by), (OLD_ORIGIN, "n3"))

    async def test_stop_hands_over(self) -> None:
        # Guards against origins that are lost when both homes of a stream are
        # replaced one after the other, as in a planned update.
        for number in range(3):
            key = key_of("elm", f"a{number}")
            self.lookup.handle_message(StreamsBegun(POOL, "v1", [key]))
        self.lookup.hand_over()
        self.assertEqual({to for to, _ in self.sent}, {"n2", "n3"})
        for _, message in self.sent:
            self.assertEqual(len(message.keys), 3)


if __name__ == "__main__":
    unittest.main()
