"""Choices of one instance from all that it knows, without a network."""

import collections
import time
import unittest
import unittest.mock

import msgspec

from jasminerelay import peerwords
from jasminerelay.catalog import Prompt, PromptPart
from jasminerelay.dispatcher import SPLIT_EVERY_S, Dispatcher
from jasminerelay.enginemodel import LEAST_SAMPLES
from jasminerelay.pace import LEAST_TIMES
from jasminerelay.placing import Wait
from jasminerelay.platform import documents
from jasminerelay.prefix import CacheView
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import (
    KindDemand,
    PeerWord,
    ServerLoad,
    Standing,
)
from jasminerelay.waitingroom import TRIES, Waiter, WaitingRoom
from tests.test_cells import server_rows
from tests.test_placing import call, route

SERVICE = "pool"


def dispatcher(servers: int) -> Dispatcher:
    """Returns an instance's dispatcher with idle model servers."""
    registry = Registry(documents.catalog, documents.server)
    configuration = {
        "version": 1,
        "routes": [],
        "backends": [
            {
                "name": SERVICE,
                "runtime": {
                    "slotCount": 32,
                    "kvCapacity": 700_000,
                    "stride": 5,
                },
            }
        ],
    }
    registry.take_configuration(1, msgspec.json.encode(configuration))
    registry.take_all(server_rows(servers), 2)
    return Dispatcher(registry, "z", lambda: 1)


class IdlePaceTest(unittest.TestCase):
    """What a token is taken to cost an engine."""

    def test_burst_at_the_start(self) -> None:
        # A burst of long prompts meets engines of which nothing was seen
        # yet. All of them read, so each stream's tokens come slowly. Taken
        # for the engines' pace, that made chats look as if they needed three
        # servers of eight while long prompts were refused.
        desk = dispatcher(4)
        chat = call(route=route(name="chat", rank=0), prompt=call().prompt)
        desk.arrived(chat)
        before_s = desk.busy_s(chat)
        for number in range(4):
            desk.workload.start(f"i-{number:03}", 30_000, 40_000)
        self.look(desk, 4, token_s=0.05)
        self.assertAlmostEqual(desk.busy_s(chat), before_s)

    def test_slow_engines_are_learned_when_calm(self) -> None:
        desk = dispatcher(2)
        chat = call()
        desk.arrived(chat)
        before_s = desk.busy_s(chat)
        for number in range(2):
            desk.workload.start(f"i-{number:03}", 0, 10_000)
        self.look(desk, 2, token_s=0.5)
        self.assertGreater(desk.busy_s(chat), before_s * 2)

    def look(self, desk: Dispatcher, servers: int, token_s: float) -> None:
        """Lets streams pass at all servers while the split is looked at."""
        now = time.monotonic()
        for step in range(LEAST_SAMPLES):
            for number in range(servers):
                for _ in range(LEAST_TIMES):
                    desk.paces.observe(f"i-{number:03}", 5, 5 * token_s, now)
            desk.tick(now + step * SPLIT_EVERY_S)


class ToldPaceTest(unittest.TestCase):
    """Paces that other instances have seen."""

    def test_engine_seen_by_others_only(self) -> None:
        # Sixty instances share thirty engines, so most engines have no
        # stream of a given instance. One that the others see crawl under a
        # burst must not look idle to it: answers sent there would end at
        # their time limit with most of their tokens made.
        here, there = dispatcher(2), dispatcher(2)
        now = time.monotonic()
        there.workload.start("i-000", unread=100, memory=10_000)
        there.workload.start("i-001", unread=100, memory=10_000)
        there.paces.observe("i-000", 5, 5 * 0.06, now)
        there.paces.observe("i-001", 5, 5 * 0.004, now)
        here.hear_loads("there", 1, there.own_loads(now), now)
        for number in range(8):
            # Some of these starts belong to the first engine by hashing.
            parts = (PromptPart(f"start-{number}", 5000), PromptPart("x", 600))
            prompt = Prompt(parts, 5600, 1000, 400)
            asked = call(arrived=now - 1.9, ends=now + 13.1, prompt=prompt)
            placed = here.place(asked, frozenset())
            self.assertEqual(placed.server.id, "i-001")

    def test_words_are_not_passed_on(self) -> None:
        # What an instance was told is no sight of its own: passed on among
        # instances it would never grow old.
        here = dispatcher(1)
        here.workload.start("i-000", unread=100, memory=10_000)
        here.paces.hear("i-000", 0.06, 0.0)
        self.assertEqual(here.own_loads(0.1)[0].token_us, 0)

    def test_old_words_count_no_more(self) -> None:
        here = dispatcher(1)
        here.paces.hear("i-000", 0.06, 0.0)
        self.assertIsNone(here.paces.token_s("i-000", 10.0))


class RefugeTest(unittest.TestCase):
    """Where runs go from a leaving server."""

    def crowd(self, count: int, servers: int = 12) -> list[Dispatcher]:
        """Returns instances that share a split: six servers for long ones."""
        desks = [dispatcher(servers) for _ in range(count)]
        demand = [
            KindDemand(f"{SERVICE}/long", 4.0, 6600.0, 2),
            KindDemand(f"{SERVICE}/short", 4.0, 600.0, 0),
        ]
        now = time.monotonic()
        for desk in desks:
            desk.demand.hear("other", demand, now)
            desk.tick(now)
        return desks

    def test_instances_do_not_meet_at_one_server(self) -> None:
        # Fourteen streams of long prompts run at a server that leaves, each
        # carried by another instance. All learn of it at the same moment and
        # see the same idle servers. Sent to one, they would hold most of its
        # slots and preempt what runs there.
        taken: collections.Counter[str] = collections.Counter()
        for number, desk in enumerate(self.crowd(14)):
            seat = desk.refuge(call(f"c{number}"), frozenset({"i-000"}))
            taken[seat.placed.server.id] += 1
        self.assertGreaterEqual(len(taken), 4)
        self.assertLessEqual(max(taken.values()), 5)

    def test_not_among_more_urgent_ones(self) -> None:
        # The servers of long prompts are full, those of short and more urgent
        # ones nearly idle. A long run that went on there would preempt them.
        for number, desk in enumerate(self.crowd(8)):
            group = desk._splits[SERVICE].group("long")
            for name in group:
                for _ in range(40):
                    desk.workload.start(name, unread=0, memory=100)
            seat = desk.refuge(call(f"c{number}"), frozenset({group[0]}))
            self.assertIn(seat.placed.server.id, group[1:])

    def test_a_move_under_way_takes_room(self) -> None:
        desk = dispatcher(1)
        seat = desk.refuge(call(), frozenset())
        self.assertEqual(desk.workload.load("i-000").running, 1)
        seat.run.end()
        self.assertEqual(desk.workload.load("i-000").running, 0)
        self.assertIsNone(desk.refuge(call(), frozenset({"i-000"})))


class LentAmongFewTest(unittest.TestCase):
    """A burst of the most urgent kind among few instances."""

    def test_a_burst_goes_on_where_less_urgent_ones_run(self) -> None:
        # Guards against requests of the first rank that get nothing while the
        # split of servers follows their burst two seconds late: those of the
        # next rank went on beginning beside them.
        desk = dispatcher(7)
        now = time.monotonic()
        desk.demand.hear("other", LentServersTest.KINDS, now)
        desk.tick(now)
        split = desk._splits[SERVICE]
        for name in split.group("chat"):
            for _ in range(40):
                desk.workload.start(name, unread=0, memory=100)
        parts = (PromptPart("start", 200), PromptPart("own", 400))
        asked = call(
            "chat",
            arrived=now,
            ends=now + 10.0,
            route=route(name="chat", rank=0, pause_s=0.3),
            prompt=Prompt(parts, 600, 300, 200),
        )
        placed = desk.place(asked, frozenset())
        self.assertIn(placed.server.id, split.group("check"))


class LentServersTest(unittest.TestCase):
    """A cell's kinds that need a server and a half."""

    KINDS = (
        KindDemand(f"{SERVICE}/long", 4.0, 6600.0, 2),
        KindDemand(f"{SERVICE}/check", 2.0, 1800.0, 1),
        KindDemand(f"{SERVICE}/chat", 1.0, 600.0, 0),
    )

    def setUp(self) -> None:
        # An owner, which knows all that runs at its seven servers.
        self.desk = dispatcher(7)
        self.desk._caches = CacheView()
        now = time.monotonic()
        self.desk.demand.hear("other", self.KINDS, now)
        self.desk.tick(now)

    def ask(self, kind: str, rank: int):
        now = time.monotonic()
        parts = (PromptPart("start", 200), PromptPart("own", 400))
        asked = call(
            kind,
            arrived=now,
            ends=now + 10.0,
            route=route(name=kind, rank=rank, pause_s=0.3),
            prompt=Prompt(parts, 600, 300, 200),
        )
        return self.desk.place(asked, frozenset())

    def fill(self, kind: str) -> None:
        for name in self.desk._splits[SERVICE].group(kind):
            for _ in range(40):
                self.desk.workload.start(name, unread=0, memory=100)

    def test_urgent_kind_goes_to_the_next_short_one(self) -> None:
        # Chats fill their one server of the cell in a burst. Those that would
        # wait there for longer than their objective go to the checks' servers
        # at once, and not among long prompts, whose reading stretches pauses.
        self.fill("chat")
        placed = self.ask("chat", 0)
        group = self.desk._splits[SERVICE].group("check")
        self.assertIn(placed.server.id, group)

    def test_not_the_other_way_round(self) -> None:
        # Checks that overflow must not take the chats' server.
        self.fill("check")
        self.assertIsInstance(self.ask("check", 1), Wait)


class WorkOfALookTest(unittest.TestCase):
    """What it takes to look at those who wait."""

    def test_grows_with_the_servers_only(self) -> None:
        # A burst fills thirty engines, and thirty requests wait at an
        # instance, which looks at them thirty times a second. Compared with
        # every other one for every server and request, the engines' paces
        # alone took most of its processor, and the day was given up.
        desk = dispatcher(30)
        now = time.monotonic()
        for number in range(30):
            name = f"i-{number:03}"
            desk.paces.observe(name, 5, 0.05, now)
            for _ in range(40):
                desk.workload.start(name, unread=2000, memory=12_000)
        room = WaitingRoom(desk.place, desk.expect, desk.busy_s, desk.reserve)
        for number in range(30):
            asked = call(f"c{number}", arrived=now, ends=now + 15.0)
            room._waiting.append(Waiter(asked, frozenset(), 0.1))
        # The clock stands: an outlook is made again after 20 ms, and on a busy
        # machine one look may take longer.
        with (
            unittest.mock.patch.object(time, "monotonic", lambda: now),
            unittest.mock.patch.object(
                desk.paces, "token_s", wraps=desk.paces.token_s
            ) as asked_paces,
        ):
            room.freed(SERVICE)
        self.assertEqual(len(room), 30)
        self.assertLess(asked_paces.call_count, 30 * (TRIES + 2))


class PeerWordTest(unittest.TestCase):
    """Datagrams between instances."""

    def word(self, loads: list[ServerLoad]) -> PeerWord:
        demand = [KindDemand("pool/long", 0.5, 900.0, 2)]
        return PeerWord(
            None,
            "edge-1/0123456789ab",
            7,
            Standing(1, 2, 3),
            peerwords.load_columns(loads),
            peerwords.demand_columns(demand),
        )

    def test_there_and_back(self) -> None:
        loads = [ServerLoad("a", 1, 2, 3, 4), ServerLoad("b", 5, 6, 7)]
        word = peerwords.decode(peerwords.encode(self.word(loads)))
        self.assertEqual(peerwords.load_rows(word.loads), loads)
        (demand,) = peerwords.demand_rows(word.demand)
        self.assertEqual((demand.kind, demand.rank), ("pool/long", 2))

    def test_small(self) -> None:
        # Sixty instances send these several times a second to many others.
        loads = [
            ServerLoad(f"i-{number:010x}", 9000, 3, 40_000, 5000)
            for number in range(30)
        ]
        self.assertLess(len(peerwords.encode(self.word(loads))), 1100)

    def test_unreadable(self) -> None:
        # Lists of unlike length would give a server another one's load.
        word = self.word([ServerLoad("a", 1, 2, 3, 4)])
        word.loads.unread.clear()
        for data in (b"", b"\xc1", b"\x80", peerwords.encode(word)):
            with self.assertRaises(ValueError):
                peerwords.decode(data)


if __name__ == "__main__":
    unittest.main()
