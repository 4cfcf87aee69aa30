"""Where requests go under load, without a network."""

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
    Repeat,
    Route,
    Share,
)
from jasminerelay.enginemodel import Speeds
from jasminerelay.placing import Guess, Option, Placed, Wait
from jasminerelay.workload import (
    NOTHING,
    Load,
)

ENGINE = Engine(64, 700_000, 18_432, True, 5)
GUESS = Guess(400, 400)
SPEEDS = Speeds(1 / 80_000, 0.045, 0.004, 0.000_08)


def route(**fields) -> Route:
    """Returns a route of long prompts; unnamed fields have plain values."""
    values = {
        "name": "long",
        "host": "h",
        "prefix": "/",
        "repeat": Repeat.ONCE,
        "streaming": True,
        "timeout_s": 15.0,
        "objective_s": 2.0,
        "pause_s": 1.0,
        "rank": 2,
        "services": (Share("pool", 1.0),),
        "max_servers": 1,
        "anonymous": False,
        "model": True,
    }
    return Route(**{**values, **fields})


def call(name: str = "c1", arrived: float = 0.0, **fields) -> Call:
    """Returns a request with a shared start of 5,000 tokens."""
    parts = (PromptPart("start", 5000), PromptPart(name, 6000))
    values = {
        "route": route(),
        "service": "pool",
        "rank": 2,
        "urgent": False,
        "organisation": "o",
        "method": "POST",
        "host": "h",
        "target": b"/",
        "headers": (),
        "body": b"",
        "prompt": Prompt(parts, 11_000, 1000, 400),
        "last_event": "",
        "arrived": arrived,
        "ends": arrived + 15.0,
    }
    return Call(name, **{**values, **fields})


def option(name: str, load: Load = NOTHING, **fields) -> Option:
    """Returns a server with what is under way there."""
    server = BackendServer(name, "pool", "1.2.3.4:5", "z", 6, False)
    return Option(server, load, **fields)


def place(options: list[Option], now: float = 0.0, **fields):
    """Places a request."""
    return placing.place_model(
        call(**fields), ENGINE, SPEEDS, options, GUESS, now
    )


class KnownCachesTest(unittest.TestCase):
    """Placing where all that servers have read is known."""

    LINKED = dataclasses.replace(ENGINE, link_bits_s=2e11)

    def place(self, *options: Option):
        known = [dataclasses.replace(item, known=True) for item in options]
        return placing.place_model(
            call(), self.LINKED, SPEEDS, known, GUESS, 0.0
        )

    def test_cold_start_is_read(self) -> None:
        # Requests with a start that nobody has read yet come in a burst. Taken
        # for read at the server that it belongs to, each was counted for half
        # of its reading, and that server was filled with twice what it reads
        # in time.
        placed = self.place(option("a"), option("b"))
        self.assertEqual(placed.unread, 11_000)
        self.assertIsNone(placed.source)
        self.assertTrue(placed.sure)

    def test_copied_from_who_has_it(self) -> None:
        busy = Load(20_000, 10, 100_000)
        placed = self.place(option("a", busy, warm=5000), option("b"))
        self.assertEqual(placed.server.id, "b")
        self.assertEqual(placed.source.id, "a")
        self.assertEqual(placed.unread, 6000)

    def test_no_reading_piles_up(self) -> None:
        # What is sent is known at once, so a tenth of a second of reading is
        # enough to keep an engine at work; the rest waits where its order can
        # still change.
        ahead = int(placing.KNOWN_UNREAD_S / SPEEDS.read_token_s) + 1
        full = Load(ahead, 1, 10_000)
        self.assertIsInstance(self.place(option("a", full)), Wait)


class ModelPlacingTest(unittest.TestCase):
    """One request and the servers of its group."""

    def home(self) -> str:
        return place([option("a"), option("b"), option("c")]).server.id

    def test_same_start_same_server(self) -> None:
        # Requests that share the start of their prompts meet at one server,
        # whichever instance places them: reading it once is enough.
        home = self.home()
        for name in ("x", "y", "z"):
            placed = place([option("c"), option("a"), option("b")], name=name)
            self.assertEqual(placed.server.id, home)
            self.assertEqual(placed.unread, 6000)

    def test_waits_for_the_warm_server(self) -> None:
        # A burst about one thing fills its server. For a while the next one
        # waits in the instance; what is nearly late goes elsewhere.
        full = Load(unread=45_000, running=5, memory=50_000)
        home = self.home()
        options = [
            option(name, full if name == home else Load()) for name in "abc"
        ]
        self.assertIsInstance(place(options, now=0.0), Wait)
        late = place(options, now=1.9)
        self.assertNotEqual(late.server.id, home)
        self.assertEqual(late.unread, 11_000)

    def test_overflow_has_an_order(self) -> None:
        # A burst about one thing fills its server at many instances at once.
        # What overflows reads the start anew at one further server, not at as
        # many as there are instances, though each sees other loads.
        names = [f"s{number}" for number in range(20)]
        home = place([option(name) for name in names]).server.id
        full = Load(unread=45_000, running=5, memory=50_000)
        rng = random.Random(4)
        chosen = set()
        for _ in range(60):
            options = [
                option(
                    name,
                    full
                    if name == home
                    else Load(rng.randrange(9000), rng.randrange(9), 50_000),
                )
                for name in names
            ]
            chosen.add(place(options, now=1.9).server.id)
        self.assertEqual(len(chosen), 1)

    def overflowing(self, engine: Engine) -> Placed:
        """Places a late request whose start's server is full."""
        full = Load(unread=45_000, running=5, memory=50_000)
        home = self.home()
        options = [
            option(name, full if name == home else Load()) for name in "abc"
        ]
        return placing.place_model(
            call(), engine, SPEEDS, options, GUESS, now=1.9
        )

    def test_start_is_copied_where_that_is_quicker(self) -> None:
        # A burst about one thing overflows from the server that has read its
        # start. A copy of it between two servers takes 4 ms, reading it again
        # 60 ms of an engine that others wait for.
        linked = dataclasses.replace(ENGINE, link_bits_s=200e9)
        placed = self.overflowing(linked)
        self.assertEqual(placed.source.id, self.home())
        self.assertEqual(placed.unread, 6000)

    def test_start_is_read_where_copies_are_slow(self) -> None:
        for bits_s in (0.0, 1e9):
            linked = dataclasses.replace(ENGINE, link_bits_s=bits_s)
            self.assertEqual(self.overflowing(linked).unread, 11_000)

    def test_source_is_another_server(self) -> None:
        # The server of a start may have lost it since: memory is limited. It
        # asks the next one in the order, and never itself.
        placed = place([option("a"), option("b"), option("c")])
        self.assertNotEqual(placed.source.id, placed.server.id)
        self.assertIsNone(place([option("a")]).source)

    def test_who_was_seen_to_read_it_is_asked_first(self) -> None:
        home = self.home()
        (seen, other) = sorted(set("abc") - {home})
        full = Load(unread=45_000, running=5, memory=50_000)
        options = [
            option(home, full),
            option(seen, full, warm=5000),
            option(other),
        ]
        placed = place(options, now=1.9)
        self.assertEqual((placed.server.id, placed.source.id), (other, seen))

    def test_slots_and_memory_bound_a_server(self) -> None:
        crowded = Load(running=60, memory=10_000)
        stuffed = Load(running=10, memory=690_000)
        for load in (crowded, stuffed):
            self.assertIsInstance(place([option("a", load)], now=5.0), Wait)

    def test_huge_request_runs_alone(self) -> None:
        prompt = Prompt((PromptPart("x", 900_000),), 900_000, 10, None)
        self.assertIsInstance(place([option("a")], prompt=prompt), Placed)

    def test_slow_engine_is_full(self) -> None:
        # Streams that pass through tell that an answer would take longer than
        # its time limit; a further request would slow all of them.
        busy = Load(running=20, memory=100_000)
        slow = option("a", busy, token_s=0.04)
        self.assertIsInstance(place([slow], now=5.0), Wait)
        fast = option("a", busy, token_s=0.01)
        self.assertIsInstance(place([fast], now=5.0), Placed)

    def test_blocked_server_is_left_out(self) -> None:
        options = [option("a", blocked=True), option("b")]
        self.assertEqual(place(options).server.id, "b")
        self.assertIsInstance(place([option("a", blocked=True)]), Wait)

    def test_calm_servers_read_no_long_prompt(self) -> None:
        options = [option("a", Load(unread=50_000)), option("b")]
        calm = placing.calm(options, 4096)
        self.assertEqual([o.server.id for o in calm], ["b"])


class PlainPlacingTest(unittest.TestCase):
    """Requests of plain services."""

    def test_least_loaded_and_near(self) -> None:
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

    def test_full_servers_make_it_wait(self) -> None:
        full = [option("a", Load(running=12))]
        placed = placing.place_plain(call(prompt=None), full, "z")
        self.assertIsInstance(placed, Wait)


class CallTest(unittest.TestCase):
    """The request type."""

    def test_frozen(self) -> None:
        with self.assertRaises(dataclasses.FrozenInstanceError):
            call().rank = 0


if __name__ == "__main__":
    unittest.main()
