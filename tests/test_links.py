"""Links to other instances whose streams end at any moment."""

import asyncio
import time
import types
import unittest

import anyio
import grpc
from grpc._cython import cygrpc

from jasminerelay.peers import MAX_QUEUED_FRAMES, Links, PeerServer, _Link
from jasminerelay.schema.messages import BrokerFrame, EntryFrame


class WriteTest(unittest.IsolatedAsyncioTestCase):
    """Writes on a stream that the other side has ended."""

    async def test_ended_stream(self) -> None:
        # The other instance ends the stream between two frames. The library
        # says so in ways of its own; none may leave the link, since it would
        # end this instance (it did, in a randomised run with seed 5).
        counters = types.SimpleNamespace(incr=lambda name: None)
        links = Links("a", None, None, counters)
        for error in (
            asyncio.InvalidStateError("RPC already finished."),
            grpc.aio.UsageError("done"),
        ):
            cancelled: list[bool] = []

            async def write(frame, error=error) -> None:
                raise error

            call = types.SimpleNamespace(
                write=write, cancel=lambda kept=cancelled: kept.append(True)
            )
            frames, source = anyio.create_memory_object_stream(10)
            frames.send_nowait(EntryFrame("a", "1", [], [], [], []))
            await links._write(call, _Link(frames, source, time.monotonic()))
            self.assertEqual(cancelled, [True])
            frames.close()
            source.close()


class AnsweringSideTest(unittest.IsolatedAsyncioTestCase):
    """Streams whose asking side goes while it is being answered."""

    def setUp(self) -> None:
        self.host = _Host()
        security = types.SimpleNamespace(
            admits=lambda metadata: metadata == "known"
        )
        self.server = PeerServer.__new__(PeerServer)
        self.server._host = self.host
        self.server._security = security

    async def test_gone_between_two_frames(self) -> None:
        # An instance asks, and ends before the second answer is written. Its
        # callers have gone with it. The broker's instance must end the stream
        # without a traceback, and hear that the asker is gone, so that its
        # asks no longer wait and its permits lapse after their time.
        for error in (
            cygrpc.ExecuteBatchError(
                "Failed grpc_call_start_batch: 10",
                (cygrpc.SendMessageOperation,),
            ),
            grpc.aio.UsageError("done"),
            asyncio.InvalidStateError("RPC already finished."),
        ):
            self.host.gone.clear()
            context = _Context("known", [None, error])
            with anyio.fail_after(5):
                await self.server._permits(self.requests(2), context)
            self.assertEqual(self.host.gone, ["asker"])
            self.assertEqual(context.written, 1)

    async def test_asker_that_does_not_read(self) -> None:
        # A frozen asker reads nothing, so its answers fill the queue. The
        # stream ends by itself; the broker that answered goes on undisturbed,
        # and the asker tells everything anew once it is back.
        context = _Context("known", [None], stuck=True)
        with anyio.fail_after(5):
            await self.server._permits(
                self.requests(MAX_QUEUED_FRAMES + 2), context
            )
        self.assertEqual(self.host.gone, ["asker"])

    async def test_stranger_that_leaves_at_once(self) -> None:
        # One without the secret ends its call before it is told so. Nothing
        # of the call may reach the broker.
        error = grpc.aio.InternalError()
        context = _Context("stranger", [], abort=error)
        with self.assertRaises(asyncio.CancelledError):
            await self.server._permits(self.requests(1), context)
        self.assertEqual(self.host.taken, 0)

    async def requests(self, count: int):
        for _ in range(count):
            yield EntryFrame("asker", "1", [], [], [], [])
            await anyio.sleep(0)
        await anyio.sleep_forever()


class _Host:
    """Answers each frame with an empty one."""

    def __init__(self) -> None:
        self.gone: list[str] = []
        self.taken = 0
        self._send = None

    def connect(self, entry: str, send) -> None:
        self._send = send

    def disconnect(self, entry: str, send) -> None:
        self.gone.append(entry)

    def take(self, frame: EntryFrame) -> None:
        self.taken += 1
        self._send(BrokerFrame([], [], [], []))


class _Context:
    """The answering side's handle of a call; each write has an outcome."""

    def __init__(self, metadata, outcomes, stuck=False, abort=None):
        self._metadata = metadata
        self._outcomes = list(outcomes)
        self._stuck = stuck
        self._abort = abort
        self.written = 0

    def invocation_metadata(self):
        return self._metadata

    async def abort(self, code, details) -> None:
        raise self._abort

    async def write(self, frame) -> None:
        if self._stuck:
            await anyio.sleep_forever()
        error = self._outcomes.pop(0)
        if error is not None:
            raise error
        self.written += 1


if __name__ == "__main__":
    unittest.main()
