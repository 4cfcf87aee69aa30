"""Tests the choice of a server under load, without a network."""

import collections
import dataclasses
import random
import unittest

from jasminerelay import placing
from jasminerelay.catalog import (
    BackendServer,
    Call,
    Engine,
    Prompt,
    PromptPart,
    RepeatPolicy,
    Route,
    ServiceShare,
)
from jasminerelay.enginemodel import EngineSpeeds
from jasminerelay.placing import (
    OutputEstimate,
    PlacementCandidate,
    PlacementDecision,
    Wait,
)
from jasminerelay.workload import (
    NO_LOAD,
    Load,
)

ENGINE = Engine(64, 700_000, 18_432, True, 5)
ESTIMATE = OutputEstimate(400, 400)
SPEEDS = EngineSpeeds(1 / 80_000, 0.045, 0.004, 0.000_08)


def route(**fields) -> Route:
    """Returns a route of long prompts; other fields have default values."""
    values = {
        "name": "long",
        "host": "h",
        "prefix": "/",
        "repeat_policy": RepeatPolicy.ONCE,
        "streaming": True,
        "timeout_s": 15.0,
        "objective_s": 2.0,
        "pause_s": 1.0,
        "rank": 2,
        "services": (ServiceShare("pool", 1.0),),
        "max_servers": 1,
        "anonymous": False,
        "model": True,
    }
    return Route(**{**values, **fields})


def call(name: str = "c1", arrived_at: float = 0.0, **fields) -> Call:
    """Returns a request with a shared prompt prefix of 5,000 tokens."""
    parts = (PromptPart("start", 5000), PromptPart(name, 6000))
    values = {
        "route": route(),
        "service": "pool",
        "rank": 2,
        "urgency": 0,
        "organisation": "o",
        "method": "POST",
        "host": "h",
        "target": b"/",
        "headers": (),
        "body": b"",
        "prompt": Prompt(parts, 11_000, 1000, 400),
        "last_event_id": "",
        "arrived_at": arrived_at,
        "answer_deadline": arrived_at + 15.0,
    }
    return Call(name, **{**values, **fields})


def option(name: str, load: Load = NO_LOAD, **fields) -> PlacementCandidate:
    """Returns a server with some load."""
    server = BackendServer(name, "pool", "1.2.3.4:5", "z", 6, False)
    return PlacementCandidate(server, load, **fields)


def place(options: list[PlacementCandidate], now: float = 0.0, **fields):
    """Places a request."""
    return placing.place_model(
        call(**fields), ENGINE, SPEEDS, options, ESTIMATE, now
    )


class KnownCachesTest(unittest.TestCase):
    """Placement where the contents of all servers' caches are known."""

    FAST_LINKS = dataclasses.replace(ENGINE, link_bits_per_s=2e11)

    def place(self, *options: PlacementCandidate):
        cache_known = [
            dataclasses.replace(item, cache_known=True) for item in options
        ]
        return placing.place_model(
            call(), self.FAST_LINKS, SPEEDS, cache_known, ESTIMATE, 0.0
        )

    def test_uncached_prefix_is_prefilled(self) -> None:
        # Guards against an overloaded server under a burst of requests whose
        # common prefix is cached nowhere yet. With the prefix assumed cached at
        # the first server in the common order, each request counted for half of
        # its prefill, and that server got twice what it can prefill in time.
        placed = self.place(option("a"), option("b"))
        self.assertEqual(placed.unread, 11_000)
        self.assertIsNone(placed.source)
        self.assertTrue(placed.prefill_known)

    def test_prefix_is_copied_from_a_holder(self) -> None:
        busy = Load(20_000, 10, 100_000)
        placed = self.place(option("a", busy, cached_tokens=5000), option("b"))
        self.assertEqual(placed.server.id, "b")
        self.assertEqual(placed.source.id, "a")
        self.assertEqual(placed.unread, 6000)

    def test_pending_prefill_is_bounded(self) -> None:
        # All requests sent are known at once, so a tenth of a second of pending
        # prefill keeps an engine busy; the rest waits where it can still be
        # reordered.
        ahead = int(placing.KNOWN_PREFILL_LIMIT_S / SPEEDS.read_token_s) + 1
        full = Load(ahead, 1, 10_000)
        self.assertIsInstance(self.place(option("a", full)), Wait)


class ModelPlacingTest(unittest.TestCase):
    """Placement of one request on the servers of its group."""

    def first_choice(self) -> str:
        return place([option("a"), option("b"), option("c")]).server.id

    def test_same_prefix_same_server(self) -> None:
        # Requests with the same prompt prefix go to the same server, whichever
        # instance places them, so that the prefix is prefilled once.
        first_choice = self.first_choice()
        for name in ("x", "y", "z"):
            placed = place([option("c"), option("a"), option("b")], name=name)
            self.assertEqual(placed.server.id, first_choice)
            self.assertEqual(placed.unread, 6000)

    def test_waits_for_the_server_with_the_prefix(self) -> None:
        # A burst of requests with the same prefix fills its server. For a while
        # the next request waits in the instance; one that is almost late goes
        # elsewhere.
        full = Load(unread=45_000, running=5, memory=50_000)
        first_choice = self.first_choice()
        options = [
            option(name, full if name == first_choice else Load())
            for name in "abc"
        ]
        self.assertIsInstance(place(options, now=0.0), Wait)
        late = place(options, now=1.9)
        self.assertNotEqual(late.server.id, first_choice)
        self.assertEqual(late.unread, 11_000)

    def test_overflow_goes_to_one_server(self) -> None:
        # Guards against a prefix prefilled at as many servers as there are
        # instances. A burst of requests with the same prefix fills its server
        # at many instances at once. The overflow goes to one further server,
        # though each instance sees other loads.
        names = [f"s{number}" for number in range(20)]
        first_choice = place([option(name) for name in names]).server.id
        full = Load(unread=45_000, running=5, memory=50_000)
        rng = random.Random(4)
        chosen = set()
        for _ in range(60):
            options = [
                option(
                    name,
                    full
                    if name == first_choice
                    else Load(rng.randrange(9000), rng.randrange(9), 50_000),
                )
                for name in names
            ]
            chosen.add(place(options, now=1.9).server.id)
        self.assertEqual(len(chosen), 1)

    def place_overflow(self, engine: Engine) -> PlacementDecision:
        """Places an almost late request whose first-choice server is full."""
        full = Load(unread=45_000, running=5, memory=50_000)
        first_choice = self.first_choice()
        options = [
            option(name, full if name == first_choice else Load())
            for name in "abc"
        ]
        return placing.place_model(
            call(), engine, SPEEDS, options, ESTIMATE, now=1.9
        )

    def test_prefix_is_copied_where_that_is_faster(self) -> None:
        # Requests with the same prefix overflow from the server that has it
        # cached. Copying the prefix between two servers takes 4 ms, prefilling
        # it again 60 ms of an engine that others wait for.
        linked = dataclasses.replace(ENGINE, link_bits_per_s=200e9)
        placed = self.place_overflow(linked)
        self.assertEqual(placed.source.id, self.first_choice())
        self.assertEqual(placed.unread, 6000)

    def test_prefix_is_prefilled_where_copies_are_slow(self) -> None:
        for bits_s in (0.0, 1e9):
            linked = dataclasses.replace(ENGINE, link_bits_per_s=bits_s)
            self.assertEqual(self.place_overflow(linked).unread, 11_000)

    def test_source_is_another_server(self) -> None:
        # The first-choice server may have evicted the prefix, since its cache
        # is limited. It copies from the next server in the order, never from
        # itself.
        placed = place([option("a"), option("b"), option("c")])
        self.assertNotEqual(placed.source.id, placed.server.id)
        self.assertIsNone(place([option("a")]).source)

    def test_known_holder_is_the_first_source(self) -> None:
        first_choice = self.first_choice()
        (holder, other) = sorted(set("abc") - {first_choice})
        full = Load(unread=45_000, running=5, memory=50_000)
        options = [
            option(first_choice, full),
            option(holder, full, cached_tokens=5000),
            option(other),
        ]
        placed = place(options, now=1.9)
        self.assertEqual((placed.server.id, placed.source.id), (other, holder))

    def test_slots_and_cache_bound_a_server(self) -> None:
        full_slots = Load(running=60, memory=10_000)
        full_cache = Load(running=10, memory=690_000)
        for load in (full_slots, full_cache):
            self.assertIsInstance(place([option("a", load)], now=5.0), Wait)

    def test_request_larger_than_the_cache_share(self) -> None:
        prompt = Prompt((PromptPart("x", 900_000),), 900_000, 10, None)
        self.assertIsInstance(
            place([option("a")], prompt=prompt), PlacementDecision
        )

    def test_slow_engine_has_no_capacity(self) -> None:
        # The measured time per token shows that an answer would exceed its time
        # limit; another request would slow all streams there.
        busy = Load(running=20, memory=100_000)
        slow = option("a", busy, token_s=0.04)
        self.assertIsInstance(place([slow], now=5.0), Wait)
        fast = option("a", busy, token_s=0.01)
        self.assertIsInstance(place([fast], now=5.0), PlacementDecision)

    def test_blocked_server_is_excluded(self) -> None:
        options = [option("a", blocked=True), option("b")]
        self.assertEqual(place(options).server.id, "b")
        self.assertIsInstance(place([option("a", blocked=True)]), Wait)

    def test_servers_with_little_prefill(self) -> None:
        options = [option("a", Load(unread=50_000)), option("b")]
        selected = placing.with_prefill_at_most(options, 4096)
        self.assertEqual([o.server.id for o in selected], ["b"])


class PlainPlacingTest(unittest.TestCase):
    """Placement of requests of plain services."""

    def test_least_loaded_server(self) -> None:
        plain = call(prompt=None)
        options = [option("a", Load(running=3)), option("b", Load(running=1))]
        placed = placing.place_plain(plain, options, "z")
        self.assertEqual(placed.server.id, "b")

    def test_ties_spread(self) -> None:
        options = [option(name) for name in "abc"]
        found = {
            placing.place_plain(
                call(f"c{number}", prompt=None), options, "z"
            ).server.id
            for number in range(30)
        }
        self.assertEqual(found, {"a", "b", "c"})

    def test_waits_for_full_servers(self) -> None:
        full = [option("a", Load(running=12))]
        placed = placing.place_plain(call(prompt=None), full, "z")
        self.assertIsInstance(placed, Wait)


class ServerSpeedTest(unittest.TestCase):
    """Placement on servers of different speed.

    Load: servers of 0.7, 0.7 and 1.7 times the usual speed.
    """

    def model_place(self, *options: PlacementCandidate):
        """Places a request where the contents of all caches are known."""
        known = [
            dataclasses.replace(item, cache_known=True) for item in options
        ]
        return placing.place_model(call(), ENGINE, SPEEDS, known, ESTIMATE, 0.0)

    def test_faster_server_first(self) -> None:
        placed = self.model_place(
            option("a", server_slowness=1.43), option("b", server_slowness=0.59)
        )
        self.assertEqual(placed.server.id, "b")

    def test_loaded_fast_server_comes_after_an_idle_one(self) -> None:
        # Guards against all requests at the server that looks fastest.
        load = Load(unread=10_000, running=40, memory=100_000)
        placed = self.model_place(
            option("a"), option("b", load, server_slowness=0.59)
        )
        self.assertEqual(placed.server.id, "a")

    def test_no_wait_for_the_faster_server(self) -> None:
        # Guards against requests that wait for the fastest server while others
        # are idle. Only repeated prefill is worth a wait.
        ahead = int(placing.KNOWN_PREFILL_LIMIT_S / SPEEDS.read_token_s / 0.25)
        full = Load(ahead + 1, 1, 10_000)
        placed = self.model_place(
            option("a", slowness=2.5, server_slowness=2.5),
            option("b", full, slowness=0.25, server_slowness=0.25),
        )
        self.assertEqual(placed.server.id, "a")

    def test_pending_prefill_is_bounded_by_time(self) -> None:
        half = int(placing.KNOWN_PREFILL_LIMIT_S / SPEEDS.read_token_s / 2)
        for slowness, fits in ((1.0, True), (2.5, False), (0.59, True)):
            item = option("a", Load(half, 1, 10_000), server_slowness=slowness)
            item = dataclasses.replace(item, cache_known=True)
            found = placing.has_capacity(ENGINE, SPEEDS, item, 11_000)
            self.assertEqual(found, fits, slowness)

    def test_learned_limit(self) -> None:
        load = Load(running=20, memory=200_000)
        for limit, fits in ((0, True), (20, False), (21, True)):
            item = option("a", load, limit=limit)
            found = placing.has_capacity(ENGINE, SPEEDS, item, 11_000)
            self.assertEqual(found, fits, limit)

    def test_lasting_slowness_is_no_straggler(self) -> None:
        # Guards against a slow machine that pays twice: by its expected times
        # and by the penalty for servers that are slower than they should be.
        scores = [
            placing._score(
                call(),
                ENGINE,
                SPEEDS,
                option("a", slowness=2.0, server_slowness=slowness),
                "a",
                (),
                ESTIMATE,
            ).seconds
            for slowness in (1.0, 2.0)
        ]
        penalty_s = scores[0] - scores[1]
        self.assertAlmostEqual(
            penalty_s, placing.SLOW_SERVER_PENALTY_S, delta=0.05
        )

    def test_idle_plain_servers_by_speed(self) -> None:
        # Guards against instances that all choose what looks fast: idle servers
        # get requests in proportion to their speed.
        speeds = {"a": 0.7, "b": 0.7, "c": 1.7, "d": 1.0}
        options = [
            option(name, server_slowness=1 / speed)
            for name, speed in speeds.items()
        ]
        counts = collections.Counter(
            placing.place_plain(
                call(f"c{number}", prompt=None), options, "z"
            ).server.id
            for number in range(4000)
        )
        for name, speed in speeds.items():
            expected = 4000 * speed / sum(speeds.values())
            self.assertLess(abs(counts[name] / expected - 1), 0.1, name)

    def test_clearly_slow_plain_server(self) -> None:
        plain = call(prompt=None)
        for running, chosen in ((1, "b"), (2, "a")):
            options = [
                option("a", server_slowness=2.5),
                option("b", Load(running=running)),
            ]
            placed = placing.place_plain(plain, options, "z")
            self.assertEqual(placed.server.id, chosen)

    def test_plain_server_with_unknown_requests(self) -> None:
        # Guards against a server that is busy with requests that no instance
        # knows of.
        plain = call(prompt=None)
        options = [option("a", unknown=4.0), option("b", Load(running=2))]
        placed = placing.place_plain(plain, options, "z")
        self.assertEqual(placed.server.id, "b")
        full = [option("a", Load(running=6), unknown=6.0)]
        self.assertIsInstance(placing.place_plain(plain, full, "z"), Wait)

    def test_slow_plain_server_keeps_its_slots(self) -> None:
        # Guards against a wrong estimate that starves a server: however slow it
        # looks, it gets requests when the others are busy.
        plain = call(prompt=None)
        for running, fits in ((5, True), (6, False)):
            options = [option("a", Load(running=running), server_slowness=4.0)]
            placed = placing.place_plain(plain, options, "z")
            self.assertEqual(isinstance(placed, PlacementDecision), fits)


class CallTest(unittest.TestCase):
    """The request type."""

    def test_frozen(self) -> None:
        with self.assertRaises(dataclasses.FrozenInstanceError):
            call().rank = 0


if __name__ == "__main__":
    unittest.main()
