"""Permit clients and brokers of several instances in one process."""

import dataclasses
import random
import time
import unittest

import anyio

from jasminerelay import manifest, rendezvous
from jasminerelay.backends import ServerStatement
from jasminerelay.broker import REFUSED_NO_SERVER
from jasminerelay.brokerhost import BrokerHost
from jasminerelay.metrics import Counters, InvariantHandler
from jasminerelay.permitclient import PermitClient
from jasminerelay.schema.messages import (
    BrokerFrame,
    HeldPermit,
    InstanceFrame,
    Member,
    PermitGrant,
    PermitRefusal,
    PermitRequest,
    PermitRevocation,
)
from jasminerelay.schema.settings import Statsd
from jasminerelay.serverpauses import ServerPauses
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
    """Three instances; frames are delivered at once or not at all."""

    def __init__(self) -> None:
        self.names = ["a", "b", "c"]
        self.down: set[str] = set()
        self.silent: set[str] = set()
        self.directory = manifest.parse(MANIFEST, "m").unwrap()
        counters = Counters(Statsd())
        invariants = InvariantHandler(counters, fatal=True)
        self.hosts = {
            name: BrokerHost(lambda: self.directory, counters, invariants)
            for name in self.names
        }
        self.clients = {
            name: PermitClient(
                Member(name, "1", "z", "", "", "", "alive", 1),
                self.live,
                lambda: self.directory,
                lambda peer, frame, source=name: self.send(source, peer, frame),
                counters,
                invariants,
                TIMEOUT_S,
                ServerPauses(counters, lambda *_, **__: None, random.Random(1)),
            )
            for name in self.names
        }
        for peer, host in self.hosts.items():
            for name in self.names:
                self.connect(name, peer, host)

    def connect(self, name: str, peer: str, host: BrokerHost) -> None:
        def answer(frame) -> None:
            if peer not in self.silent:
                self.clients[name].on_frame(peer, frame)

        host.connect(name, answer)

    def live(self) -> list[Member]:
        return [
            Member(name, "1", "z", "", "", "", "alive", 1)
            for name in self.names
            if name not in self.down
        ]

    def send(self, source: str, peer: str, frame: InstanceFrame) -> None:
        del source
        self.hosts[peer].on_frame(frame)

    @property
    def broker_name(self) -> str:
        return rendezvous.owner(
            "pool/0", [name for name in self.names if name not in self.down]
        )

    def held(self, name: str) -> int:
        return self.hosts[name].cells.get("pool/0", (0, 0))[1]


def permit_request(ask_id: str) -> PermitRequest:
    """Returns a permit request."""
    return PermitRequest(
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


class LoanTest(unittest.IsolatedAsyncioTestCase):
    """Requests of one instance that borrow tokens at the same time."""

    def setUp(self) -> None:
        self.instances = Instances()
        self.instances.directory = manifest.parse(
            MANIFEST.replace(
                'name = "o"\n',
                'name = "o"\ntokens_per_s = 1.0\nburst_tokens = 60.0\n',
            ),
            "m",
        ).unwrap()
        self.organisation = self.instances.directory.organisations["o"]
        self.client = self.instances.clients["a"]
        self.loans: list = []
        self.frames: list[tuple[str, InstanceFrame]] = []
        self.deliver = self.client._send
        self.client._send = lambda *frame: self.frames.append(frame)

    async def take(self, tokens: float) -> None:
        self.loans.append(
            await self.client.take_tokens(self.organisation, tokens)
        )

    def deliver_all(self) -> None:
        for peer, frame in self.frames:
            self.deliver(peer, frame)
        self.frames.clear()

    async def test_loan_is_counted_once(self) -> None:
        # Guards against a loan that each waiting request adds to the balance:
        # an organisation was served more than its limit.
        async with anyio.create_task_group() as group:
            for _ in range(3):
                group.start_soon(self.take, 60.0)
            await anyio.wait_all_tasks_blocked()
            for peer, frame in self.frames:
                self.deliver(peer, frame)
                await anyio.wait_all_tasks_blocked()
        self.assertEqual(self.loans.count(None), 1)

    async def test_loans_that_come_together(self) -> None:
        # Guards against a loan that the next one replaces before the request
        # that asked for it has read it: nobody was served.
        async with anyio.create_task_group() as group:
            for _ in range(3):
                group.start_soon(self.take, 60.0)
            await anyio.wait_all_tasks_blocked()
            self.deliver_all()
        self.assertEqual(self.loans.count(None), 1)

    async def test_request_that_was_cancelled(self) -> None:
        # Guards against a loan that goes to a request that has ended.
        async with anyio.create_task_group() as group:
            group.start_soon(self.take, 20.0)
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()
        self.frames.clear()
        async with anyio.create_task_group() as group:
            group.start_soon(self.take, 20.0)
            await anyio.wait_all_tasks_blocked()
            self.deliver_all()
        self.assertEqual(self.loans, [None])


class PermitsTest(unittest.IsolatedAsyncioTestCase):
    """Permits across changes of brokers and manifests."""

    def setUp(self) -> None:
        random.seed(1)
        self.instances = Instances()
        self.entry = next(
            name
            for name in self.instances.names
            if name != self.instances.broker_name
        )
        self.client = self.instances.clients[self.entry]

    async def test_grant_while_permits_move(self) -> None:
        # The broker fails and this instance becomes the broker. It reports its
        # permits to itself, and the broker answers within the call and grants
        # pending requests. The dictionary of permits then changed during
        # iteration and the instance crashed (randomised run, seed 5).
        for number in range(3):
            self.client.take_over(
                HeldPermit(str(number), "pool/0", "s", 1, False)
            )
        self.instances.down.add(self.instances.broker_name)
        sent = self.client._send

        def answering(peer: str, frame: InstanceFrame) -> None:
            sent(peer, frame)
            if frame.held:
                granted = HeldPermit(f"late-{peer}", "pool/0", "s", 1, False)
                self.client._held_permits.setdefault(
                    granted.ask_id,
                    dataclasses.replace(
                        self.client._held_permits["0"], held=granted
                    ),
                )

        self.client._send = answering
        self.client._live_names_at = 0.0
        self.client._tick(time.monotonic())

    async def test_granted_and_released(self) -> None:
        grant = await self.client.acquire(permit_request("1"))
        self.assertEqual(grant, PermitGrant("1", "pool/0", "s"))
        self.assertEqual(self.instances.held(self.instances.broker_name), 1)
        self.client.release(release("1"))
        self.assertEqual(self.instances.held(self.instances.broker_name), 0)

    async def test_broker_does_not_know_of_leaving_server(self) -> None:
        # Guards against a request to a leaving server by a grant of a broker
        # that has not heard of it, and against its slot staying occupied.
        self.client.set_leaving_servers({"s"})
        with anyio.fail_after(1.0):
            result = await self.client.acquire(permit_request("1"))
        self.assertEqual(result.reason, REFUSED_NO_SERVER)
        self.assertEqual(self.instances.held(self.instances.broker_name), 0)

    async def test_grant_that_crosses_an_announcement(self) -> None:
        # Guards against a request to a server that has announced that it leaves
        # while the request waited for its permit.
        closed = iter((frozenset(), frozenset({"s"}), frozenset({"s"})))
        self.client._closed_servers = lambda cell: next(closed)
        with anyio.fail_after(1.0):
            result = await self.client.acquire(permit_request("1"))
        self.assertEqual(result.reason, REFUSED_NO_SERVER)
        self.assertEqual(self.instances.held(self.instances.broker_name), 0)

    async def test_broker_does_not_know_of_a_pause(self) -> None:
        # Guards against a request to a server that wants none of this instance
        # by a grant of a broker that knows nothing of it.
        statement = ServerStatement(False, True, 5.0, "")
        self.client._pauses.on_response("s", statement)
        with anyio.fail_after(1.0):
            result = await self.client.acquire(permit_request("1"))
        self.assertEqual(result.reason, REFUSED_NO_SERVER)
        self.assertGreater(result.retry_s, 4.0)
        self.assertEqual(self.instances.held(self.instances.broker_name), 0)

    async def test_former_broker_releases_permit(self) -> None:
        # The broker's instance leaves the membership and returns. The permit
        # must be reported to the new broker and released at the former one;
        # otherwise its slot stays occupied there for ever.
        first = self.instances.broker_name
        await self.client.acquire(permit_request("1"))
        self.instances.down.add(first)
        await anyio.sleep(0.15)
        self.client._tick(0.0)
        second = self.instances.broker_name
        self.assertNotEqual(first, second)
        self.assertEqual(self.instances.held(first), 0)
        self.assertEqual(self.instances.held(second), 1)
        self.instances.down.clear()
        await anyio.sleep(0.15)
        self.client._tick(0.0)
        self.assertEqual(self.instances.held(second), 0)
        self.client.release(release("1"))
        self.assertEqual(self.instances.held(first), 0)

    async def test_former_broker_revokes(self) -> None:
        # Guards against an answer that is preempted by a broker which was
        # frozen while another one took over the permit.
        former = self.instances.broker_name
        await self.client.acquire(permit_request("1"))
        self.instances.down.add(former)
        self.client._live_names_at = 0.0
        self.client._tick(time.monotonic())
        revocation = BrokerFrame([], [], [PermitRevocation("1")], [])
        self.client.on_frame(former, revocation)
        self.assertFalse(self.client.is_revoked("1"))
        self.client.on_frame(self.instances.broker_name, revocation)
        self.assertTrue(self.client.is_revoked("1"))

    async def test_new_session_frees_lost_releases(self) -> None:
        # A release is lost with the connection. The next session lists the
        # permits held, and the broker must free the slots of all others.
        broker_name = self.instances.broker_name
        await self.client.acquire(permit_request("1"))
        await self.client.acquire(permit_request("2"))
        self.assertEqual(self.instances.held(broker_name), 2)
        self.client._held_permits.pop("1")
        host = self.instances.hosts[broker_name]
        self.instances.connect(self.entry, broker_name, host)
        self.client.on_link_up(broker_name)
        self.assertEqual(self.instances.held(broker_name), 1)

    async def test_unresponsive_broker_and_late_grant(self) -> None:
        # The broker receives frames but does not answer, so the instance
        # grants from its own share. The broker's grant arrives after the
        # request has ended and must be released; without the cell in the
        # release, the slot stayed occupied.
        broker_name = self.instances.broker_name
        await self.client.acquire(permit_request("0"))
        self.client.release(release("0"))
        self.instances.silent.add(broker_name)
        async with anyio.create_task_group() as group:
            group.start_soon(self.client.run)
            grant = await self.client.acquire(permit_request("1"))
            self.assertIsInstance(grant, PermitGrant)
            group.cancel_scope.cancel()
        self.client.release(release("1"))
        self.instances.silent.clear()
        self.instances.hosts[broker_name].on_frame(
            InstanceFrame(self.entry, "1", [permit_request("1")], [], [], [])
        )
        self.assertEqual(self.instances.held(broker_name), 0)

    async def test_removed_cell(self) -> None:
        # The manifest removes the pool while a request waits for a permit.
        # The request must be refused; otherwise it is requested for ever.
        for ask_id in ("1", "2"):
            await self.client.acquire(permit_request(ask_id))
        results: list[PermitRefusal] = []

        async def wait() -> None:
            results.append(await self.client.acquire(permit_request("3")))

        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await anyio.sleep(0.05)
            self.instances.directory = manifest.parse(OTHER, "m").unwrap()
            for host in self.instances.hosts.values():
                host.on_manifest_changed()
            with anyio.fail_after(5):
                while not results:
                    await anyio.sleep(0.01)
        self.assertEqual(results[0].reason, "no_server")
        refusal = await self.client.acquire(permit_request("4"))
        self.assertEqual(refusal.reason, "no_server")


if __name__ == "__main__":
    unittest.main()
