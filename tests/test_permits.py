"""Desks and brokers of several instances, over links that can be cut."""

import dataclasses
import random
import time
import unittest

import anyio

from jasminerelay import manifest, rendezvous
from jasminerelay.brokers import BrokerHost
from jasminerelay.metrics import Counters, Invariants
from jasminerelay.permits import PermitDesk
from jasminerelay.schema.messages import (
    Ask,
    EntryFrame,
    Grant,
    Held,
    Member,
    Refusal,
)
from jasminerelay.schema.settings import Statsd
from tests.fakes import release

MANIFEST = """
[[classes]]
name = "c"
rank = 1
target_s = 1.0
[[organisations]]
name = "o"
key_digests = []
[[request_types]]
name = "t"
class_name = "c"
models = ["m"]
[[pools]]
name = "pool"
models = ["m"]
[[pools.servers]]
name = "s"
address = "127.0.0.1:1"
zone = "a"
slots = 2
"""
OTHER = MANIFEST.replace('"pool"', '"other"')
TIMEOUT_S = 0.3


class Instances:
    """Three instances in one process; frames go at once or not at all."""

    def __init__(self) -> None:
        self.names = ["a", "b", "c"]
        self.down: set[str] = set()
        self.silent: set[str] = set()
        self.directory = manifest.parse(MANIFEST, "m").unwrap()
        counters = Counters(Statsd())
        invariants = Invariants(counters, fatal=True)
        self.hosts = {
            name: BrokerHost(lambda: self.directory, counters, invariants)
            for name in self.names
        }
        self.desks = {
            name: PermitDesk(
                Member(name, "1", "z", "", "", "", "alive", 1),
                self.live,
                lambda: self.directory,
                lambda peer, frame, source=name: self.send(source, peer, frame),
                counters,
                invariants,
                TIMEOUT_S,
            )
            for name in self.names
        }
        for peer, host in self.hosts.items():
            for name in self.names:
                self.connect(name, peer, host)

    def connect(self, name: str, peer: str, host: BrokerHost) -> None:
        def answer(frame) -> None:
            if peer not in self.silent:
                self.desks[name].on_frame(peer, frame)

        host.connect(name, answer)

    def live(self) -> list[Member]:
        return [
            Member(name, "1", "z", "", "", "", "alive", 1)
            for name in self.names
            if name not in self.down
        ]

    def send(self, source: str, peer: str, frame: EntryFrame) -> None:
        del source
        self.hosts[peer].take(frame)

    @property
    def owner(self) -> str:
        return rendezvous.owner(
            "pool/0", [name for name in self.names if name not in self.down]
        )

    def held(self, name: str) -> int:
        return self.hosts[name].cells.get("pool/0", (0, 0))[1]


def ask(ask_id: str) -> Ask:
    """Returns an ask for a permit."""
    return Ask(
        ask_id,
        "pool/0",
        1,
        "o",
        1.0,
        1.0,
        0.0,
        5.0,
        1.0,
        0.0,
        0.0,
        False,
        False,
        False,
        [],
        [],
        "",
    )


class PermitsTest(unittest.IsolatedAsyncioTestCase):
    """Permits over changes of brokers and manifests."""

    def setUp(self) -> None:
        random.seed(1)
        self.instances = Instances()
        self.entry = next(
            name
            for name in self.instances.names
            if name != self.instances.owner
        )
        self.desk = self.instances.desks[self.entry]

    async def test_grant_while_permits_move(self) -> None:
        # The broker dies and this very instance is the next one. It moves its
        # permits there; the broker, in the same process, answers at once and
        # grants what waits. The instance ended on that (randomised run with
        # seed 5): its table of permits changed while it was gone through.
        for number in range(3):
            self.desk.adopt(Held(str(number), "pool/0", "s", 1, False))
        self.instances.down.add(self.instances.owner)
        sent = self.desk._send

        def answering(peer: str, frame: EntryFrame) -> None:
            sent(peer, frame)
            if frame.held:
                granted = Held(f"late-{peer}", "pool/0", "s", 1, False)
                self.desk._holding.setdefault(
                    granted.ask_id,
                    dataclasses.replace(self.desk._holding["0"], held=granted),
                )

        self.desk._send = answering
        self.desk._names_at = 0.0
        self.desk._tick(time.monotonic())

    async def test_granted_and_released(self) -> None:
        grant = await self.desk.acquire(ask("1"))
        self.assertEqual(grant, Grant("1", "pool/0", "s"))
        self.assertEqual(self.instances.held(self.instances.owner), 1)
        self.desk.release(release("1"))
        self.assertEqual(self.instances.held(self.instances.owner), 0)

    async def test_former_broker_keeps_nothing(self) -> None:
        # The owner leaves the view for a while and comes back. The permit is
        # told to the new broker and taken from the former one; else its slot
        # would be taken there for ever (it was once).
        first = self.instances.owner
        await self.desk.acquire(ask("1"))
        self.instances.down.add(first)
        await anyio.sleep(0.15)
        self.desk._tick(0.0)
        second = self.instances.owner
        self.assertNotEqual(first, second)
        self.assertEqual(self.instances.held(first), 0)
        self.assertEqual(self.instances.held(second), 1)
        self.instances.down.clear()
        await anyio.sleep(0.15)
        self.desk._tick(0.0)
        self.assertEqual(self.instances.held(second), 0)
        self.desk.release(release("1"))
        self.assertEqual(self.instances.held(first), 0)

    async def test_new_session_forgets_lost_releases(self) -> None:
        # A release is lost with the connection. The next session tells what
        # is held, and the broker frees what is not told.
        owner = self.instances.owner
        await self.desk.acquire(ask("1"))
        await self.desk.acquire(ask("2"))
        self.assertEqual(self.instances.held(owner), 2)
        self.desk._holding.pop("1")
        host = self.instances.hosts[owner]
        self.instances.connect(self.entry, owner, host)
        self.desk.on_link_up(owner)
        self.assertEqual(self.instances.held(owner), 1)

    async def test_silent_broker_and_its_late_grant(self) -> None:
        # The broker hears and does not answer. The desk grants from its own
        # share. The broker's grant comes late, for a request that is over;
        # the desk gives the slot back (once it named no cell, and the slot
        # stayed taken).
        owner = self.instances.owner
        await self.desk.acquire(ask("0"))
        self.desk.release(release("0"))
        self.instances.silent.add(owner)
        async with anyio.create_task_group() as group:
            group.start_soon(self.desk.run)
            grant = await self.desk.acquire(ask("1"))
            self.assertIsInstance(grant, Grant)
            group.cancel_scope.cancel()
        self.desk.release(release("1"))
        self.instances.silent.clear()
        self.instances.hosts[owner].take(
            EntryFrame(self.entry, "1", [ask("1")], [], [], [])
        )
        self.assertEqual(self.instances.held(owner), 0)

    async def test_cell_that_is_gone(self) -> None:
        # The manifest takes the pool away while a request waits for it. The
        # request is refused; it would ask for ever otherwise.
        for ask_id in ("1", "2"):
            await self.desk.acquire(ask(ask_id))
        results: list[Refusal] = []

        async def wait() -> None:
            results.append(await self.desk.acquire(ask("3")))

        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await anyio.sleep(0.05)
            self.instances.directory = manifest.parse(OTHER, "m").unwrap()
            for host in self.instances.hosts.values():
                host.manifest_changed()
            with anyio.fail_after(5):
                while not results:
                    await anyio.sleep(0.01)
        self.assertEqual(results[0].reason, "no_server")
        refusal = await self.desk.acquire(ask("4"))
        self.assertEqual(refusal.reason, "no_server")


if __name__ == "__main__":
    unittest.main()
