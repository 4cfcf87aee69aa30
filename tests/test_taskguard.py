"""Tasks, messages and datagrams that fail without ending the instance."""

import math
import unittest

import anyio
import msgspec

from jasminerelay import datagrams, peermessages
from jasminerelay.errors import InvariantError
from jasminerelay.eventlog import _encode_line
from jasminerelay.metrics import Counters
from jasminerelay.schema import messages
from jasminerelay.taskguard import TaskGuard
from tests.platformcase import PlatformCase

FAILURE_S = 1.5
"""Time in which the others notice an instance that is silent."""


class TaskGuardTest(unittest.IsolatedAsyncioTestCase):
    """Tasks and handlers that fail."""

    def setUp(self) -> None:
        self.lines: list[str] = []
        self.guard = TaskGuard(Counters(), self)

    def warn(self, event: str, **fields: object) -> None:
        """Records a line."""
        self.lines.append(event)

    async def test_task_starts_again(self) -> None:
        # Guards against a process that ends with all its requests because one
        # of its tasks met what it could not handle.
        runs = []

        async def task() -> None:
            runs.append(1)
            if len(runs) < 2:
                raise OverflowError

        with anyio.fail_after(5.0):
            await self.guard.keep_running("task", task)
        self.assertEqual((len(runs), self.lines), (2, ["task_failed"]))

    async def test_cancelled_task_ends(self) -> None:
        with anyio.move_on_after(0.01) as scope:
            await self.guard.keep_running("task", anyio.sleep_forever)
        self.assertTrue(scope.cancelled_caught)

    def test_handler_drops_its_message(self) -> None:
        self.assertTrue(self.guard.handle("datagram", int, "7"))
        self.assertFalse(self.guard.handle("datagram", int, "x"))
        self.assertEqual(self.lines, ["message_dropped"])

    def test_violated_invariant_passes(self) -> None:
        def violate() -> None:
            raise InvariantError("x")

        with self.assertRaises(InvariantError):
            self.guard.handle("datagram", violate)


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """What a link between instances cannot send."""

    async def test_address_that_is_none(self) -> None:
        # Guards against a row or a datagram whose address closes the socket.
        faults: list[Exception] = []
        link = datagrams.DatagramSocket(lambda data: None, faults.append)
        async with anyio.create_task_group() as group:
            group.start_soon(link.run, "127.0.0.1:0")
            await anyio.sleep(0.05)
            for address in ("somewhere", "a\u2024b:7", "10.0.0.1:x"):
                self.assertFalse(link.send(address, b"x"))
            group.cancel_scope.cancel()
        self.assertEqual(len(faults), 3)

    def test_message_that_cannot_be_encoded_keeps_its_gossip(self) -> None:
        # Guards against an instance that the others take for failed, since its
        # load holds a number that no message can.
        load = messages.ServerLoad("s", 2**70, 1, 1)
        message = messages.PeerMessage(
            None,
            "a",
            1,
            messages.ReplicaStatus(0, 0, 0),
            peermessages.load_columns([load]),
            peermessages.demand_columns([]),
        )
        with self.assertRaises(peermessages.ENCODE_ERRORS):
            peermessages.encode(message)
        data = peermessages.encode(peermessages.without_load(message))
        self.assertEqual(peermessages.decode(data).sender, "a")

    def test_any_field_is_logged(self) -> None:
        # Guards against a log line that fails the request that it is about.
        for value in ("\ud800", 2**80, math.nan, b"\xff", object):
            line = _encode_line({"event": "refused", "value": value})
            self.assertIn("refused", msgspec.json.decode(line)["event"])


class OwnLoadTest(PlatformCase):
    """An instance whose own load holds a number that no message can."""

    async def test_load_that_cannot_be_told(self) -> None:
        # Guards against an instance that ends, or that the others take for
        # failed, since it cannot tell them its load.
        async with self.site(2) as (site, instances):
            instances[0].dispatcher.workload.start(
                "engine-1", unread=2**70, memory=2**70
            )
            await anyio.sleep(2 * FAILURE_S)
            for instance in instances:
                self.assertTrue(instance.running)
                self.assertEqual(instance._peers.count, 2)
            counts = instances[0].counters.snapshot()
            self.assertGreater(counts["message.dropped"], 0)


if __name__ == "__main__":
    unittest.main()
