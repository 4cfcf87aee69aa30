"""Links between instances whose streams end at any moment."""

import asyncio
import logging
import time
import types
import unittest

import anyio
import grpc
from grpc._cython import cygrpc

from jasminerelay.metrics import Counters
from jasminerelay.peers import (
    MAX_QUEUED_FRAMES,
    BrokerLinks,
    PeerServer,
    _BrokerLink,
)
from jasminerelay.schema.messages import BrokerFrame, InstanceFrame
from jasminerelay.taskguard import FailureLog, TaskGuard

_log = logging.getLogger(__name__)


class ClientWriteTest(unittest.IsolatedAsyncioTestCase):
    """Writes to a stream that the remote instance has ended."""

    async def test_stream_ended_by_remote(self) -> None:
        # The remote instance ends the stream between two frames, for which
        # grpc.aio raises errors of several types. Guards against an uncaught
        # one that terminates this instance, as in a randomised run with seed 5.
        counters = types.SimpleNamespace(incr=lambda name: None)
        links = BrokerLinks("a", None, None, counters, None)
        for error in (
            asyncio.InvalidStateError("RPC already finished."),
            grpc.aio.UsageError("done"),
        ):
            cancelled: list[bool] = []

            async def write(frame, error=error) -> None:
                raise error

            call = types.SimpleNamespace(
                write=write,
                cancel=lambda cancellations=cancelled: cancellations.append(
                    True
                ),
            )
            frames, source = anyio.create_memory_object_stream(10)
            frames.send_nowait(InstanceFrame("a", "1", [], [], [], []))
            await links._write(
                call, _BrokerLink(frames, source, time.monotonic())
            )
            self.assertEqual(cancelled, [True])
            frames.close()
            source.close()


class ServerStreamTest(unittest.IsolatedAsyncioTestCase):
    """Streams whose client disconnects while the broker answers."""

    def setUp(self) -> None:
        self.host = _FakeBrokerHost()
        credentials = types.SimpleNamespace(
            is_valid=lambda metadata: metadata == "authenticated"
        )
        self.server = PeerServer.__new__(PeerServer)
        self.server._broker_host = self.host
        self.server._credentials = credentials
        self.server._guard = TaskGuard(Counters(), FailureLog(_log))

    async def test_client_disconnects_between_two_frames(self) -> None:
        # A client instance terminates, together with its callers, before the
        # second answer is written. The server must end the stream without a
        # traceback and disconnect the client from the broker, so that its
        # queued requests are dropped and its permits expire.
        for error in (
            cygrpc.ExecuteBatchError(
                "Failed grpc_call_start_batch: 10",
                (cygrpc.SendMessageOperation,),
            ),
            grpc.aio.UsageError("done"),
            asyncio.InvalidStateError("RPC already finished."),
        ):
            self.host.gone.clear()
            context = _FakeCallContext("authenticated", [None, error])
            with anyio.fail_after(5):
                await self.server._serve_permits(self.requests(2), context)
            self.assertEqual(self.host.gone, ["client"])
            self.assertEqual(context.written, 1)

    async def test_client_that_does_not_read(self) -> None:
        # A frozen client does not read, so its answers fill the queue. The
        # server must end the stream without disturbing the broker; the client
        # sends its full state again when it reconnects.
        context = _FakeCallContext("authenticated", [None], blocked=True)
        with anyio.fail_after(5):
            await self.server._serve_permits(
                self.requests(MAX_QUEUED_FRAMES + 2), context
            )
        self.assertEqual(self.host.gone, ["client"])

    async def test_unauthenticated_client_that_disconnects_at_once(
        self,
    ) -> None:
        # A caller without the peer secret ends its call before the refusal is
        # sent. No frame of the call may reach the broker.
        error = grpc.aio.InternalError()
        context = _FakeCallContext("unauthenticated", [], abort=error)
        with self.assertRaises(asyncio.CancelledError):
            await self.server._serve_permits(self.requests(1), context)
        self.assertEqual(self.host.frames_taken, 0)

    async def requests(self, count: int):
        for _ in range(count):
            yield InstanceFrame("client", "1", [], [], [], [])
            await anyio.sleep(0)
        await anyio.sleep_forever()


class _FakeBrokerHost:
    """Broker host that answers each frame with an empty one."""

    def __init__(self) -> None:
        self.gone: list[str] = []
        self.frames_taken = 0
        self._send = None

    def connect(self, entry: str, send) -> None:
        self._send = send

    def disconnect(self, entry: str, send) -> None:
        self.gone.append(entry)

    def on_frame(self, frame: InstanceFrame) -> None:
        self.frames_taken += 1
        self._send(BrokerFrame([], [], [], []))


class _FakeCallContext:
    """Server-side call context; each write takes the next given outcome."""

    def __init__(self, metadata, outcomes, blocked=False, abort=None):
        self._metadata = metadata
        self._outcomes = list(outcomes)
        self._blocked = blocked
        self._abort = abort
        self.written = 0

    def invocation_metadata(self):
        return self._metadata

    async def abort(self, code, details) -> None:
        raise self._abort

    async def write(self, frame) -> None:
        if self._blocked:
            await anyio.sleep_forever()
        error = self._outcomes.pop(0)
        if error is not None:
            raise error
        self.written += 1


if __name__ == "__main__":
    unittest.main()
