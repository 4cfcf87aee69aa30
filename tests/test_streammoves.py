"""Tests the orders that move a stream, with scripted replies."""

import asyncio
import contextlib
import unittest
import unittest.mock

import anyio

from jasminerelay import migration, streammoves
from jasminerelay.catalog import BackendServer
from jasminerelay.httpclient import (
    HttpRequest,
    HttpResponse,
    IncompleteExchangeError,
    NotSentError,
)
from jasminerelay.metrics import Counters
from jasminerelay.migration import MAX_ORDERS, MoveResult, StreamMigrator
from jasminerelay.platform.headers import PlatformDialect
from jasminerelay.streammoves import (
    MAX_MOVES,
    MAX_REFUSED_COPIES,
    StreamMoves,
)
from tests.test_placing import call

COPIED = HttpResponse(200, {}, b'{"handle":"h","created":4}')
NO_ROOM = HttpResponse(503, {}, b"{}")
STOPPED_WITHOUT_ROOM = HttpResponse(503, {}, b'{"handle":"h"}')
UNKNOWN_RUN = HttpResponse(404, {}, b"")
BUSY = HttpResponse(409, {}, b"")
DROPPED = HttpResponse(200, {}, b"")
LOST = IncompleteExchangeError("no reply")
UNSENT = NotSentError("refused")


def server(name: str) -> BackendServer:
    """Returns a server whose address starts with its name."""
    return BackendServer(name, "pool", f"{name}:1", "z", 8, False)


SOURCE, TARGET, OTHER = server("source"), server("target"), server("other")


class ScriptedClient:
    """Answers calls in the order of a script.

    Attributes:
        script: Replies and errors that are still to come.
        orders: What was called: "copy" and "stop" with the target, or "drop".
        gates: Events to wait for before a reply, by the number of the call.
    """

    def __init__(self, *script: HttpResponse | Exception):
        self.script = list(script)
        self.orders: list[str] = []
        self.gates: dict[int, anyio.Event] = {}

    async def call(self, request: HttpRequest) -> HttpResponse:
        """Records a call and returns the next reply of the script."""
        number = len(self.orders)
        self.orders.append(self._name_of(request))
        if number in self.gates:
            await self.gates[number].wait()
        await asyncio.sleep(0)
        reply = self.script.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply

    def _name_of(self, request: HttpRequest) -> str:
        if request.method == "DELETE":
            return "drop"
        target = next(
            item.name
            for item in (TARGET, OTHER)
            if item.address.encode() in request.body
        )
        stops = b'"final":true' in request.body
        return f"{'stop' if stops else 'copy'} {target}"


class MoveCase(unittest.IsolatedAsyncioTestCase):
    """Base of the tests with a scripted client."""

    def setUp(self) -> None:
        for module, name in (
            (migration, "ORDER_PAUSE_S"),
            (streammoves, "LEAVE_INTERVAL_S"),
            (streammoves, "SLOW_CHECK_INTERVAL_S"),
        ):
            self.enterContext(unittest.mock.patch.object(module, name, 0.005))
        self.counters = Counters()
        self.log = unittest.mock.Mock()

    def migrator(self, *script: HttpResponse | Exception) -> StreamMigrator:
        """Returns a migrator whose orders get the replies of a script."""
        self.client = ScriptedClient(*script)
        return StreamMigrator(
            self.client, PlatformDialect(), self.counters, self.log
        )


class OrdersTest(MoveCase):
    """What an instance concludes from the replies to its orders."""

    async def move(self, *script: HttpResponse | Exception) -> MoveResult:
        self.stop_noted_after: list[int] = []
        migrator = self.migrator(*script)
        result = await migrator.move(
            call(),
            SOURCE,
            TARGET,
            lambda: self.stop_noted_after.append(len(self.client.orders)),
        )
        self.assertEqual(self.client.script, [], "replies that were not used")
        return result

    async def test_moved(self) -> None:
        # Guards against a run that is stopped before its copy exists, and an
        # order to stop it that nobody knows of before it is sent.
        result = await self.move(COPIED, COPIED)
        self.assertEqual(self.client.orders, ["copy target", "stop target"])
        self.assertEqual(self.stop_noted_after, [1])
        self.assertEqual(result.copy.at, TARGET)
        self.assertTrue(result.may_have_stopped)

    async def test_copy_without_room_stops_nothing(self) -> None:
        # Guards against a run that is stopped though its copy was refused.
        busy = [BUSY] * MAX_ORDERS
        for script in (
            [NO_ROOM],
            [STOPPED_WITHOUT_ROOM],
            [UNKNOWN_RUN],
            busy,
            [LOST],
        ):
            with self.subTest(script=script):
                result = await self.move(*script)
                self.assertEqual(
                    self.client.orders, ["copy target"] * len(script)
                )
                self.assertEqual(self.stop_noted_after, [])
                self.assertEqual(
                    result, MoveResult(None, may_have_stopped=False)
                )

    async def test_reply_to_the_stop_lost_once(self) -> None:
        # Guards against a stopped run that is given up for a lost reply.
        result = await self.move(COPIED, LOST, COPIED)
        self.assertEqual(result.copy.at, TARGET)
        self.assertTrue(result.may_have_stopped)

    async def test_replies_to_the_stop_always_lost(self) -> None:
        # Guards against a run that may have stopped without a copy to continue
        # from, and against orders without end.
        result = await self.move(COPIED, *[LOST] * MAX_ORDERS)
        self.assertIsNone(result.copy)
        self.assertTrue(result.may_have_stopped)
        self.assertEqual(result.spare.at, TARGET)
        self.assertNotIn("drop", self.client.orders)

    async def test_busy_with_an_earlier_order(self) -> None:
        # Guards against a server that is still carrying out the order whose
        # reply was lost, taken for one that has no copy.
        result = await self.move(COPIED, LOST, BUSY, COPIED)
        self.assertEqual(result.copy.at, TARGET)

    async def test_busy_for_good(self) -> None:
        # Guards against a run that may have stopped and counts as running.
        result = await self.move(COPIED, *[BUSY] * MAX_ORDERS)
        self.assertIsNone(result.copy)
        self.assertTrue(result.may_have_stopped)
        self.assertIsNotNone(result.spare)

    async def test_run_that_has_ended(self) -> None:
        # Guards against a copy that holds its place at the target for a run
        # which needs none any more.
        result = await self.move(COPIED, UNKNOWN_RUN, DROPPED)
        self.assertEqual(
            self.client.orders, ["copy target", "stop target", "drop"]
        )
        self.assertIsNone(result.copy)
        self.assertFalse(result.may_have_stopped)

    async def test_unknown_run_after_a_lost_reply(self) -> None:
        # Guards against dropping the only copy of a run that the order whose
        # reply was lost has stopped.
        result = await self.move(COPIED, LOST, UNKNOWN_RUN)
        self.assertTrue(result.may_have_stopped)
        self.assertIsNotNone(result.spare)
        self.assertNotIn("drop", self.client.orders)

    async def test_stop_never_sent(self) -> None:
        # Guards against a running stream that counts as stopped by orders which
        # never left.
        result = await self.move(COPIED, *[UNSENT] * MAX_ORDERS, DROPPED)
        self.assertFalse(result.may_have_stopped)
        self.assertEqual(self.client.orders[-1], "drop")

    async def test_stopped_without_room_for_the_rest(self) -> None:
        # Guards against a run that has stopped and does not go on where its
        # memory is.
        result = await self.move(COPIED, STOPPED_WITHOUT_ROOM)
        self.assertTrue(result.copy.at_source)
        self.assertTrue(result.may_have_stopped)

    async def test_copy_that_cannot_be_dropped(self) -> None:
        # Guards against a stream that ends with the failure of a call which
        # only frees memory.
        result = await self.move(COPIED, UNKNOWN_RUN, LOST)
        self.assertIsNone(result.copy)
        events = [item.args[0] for item in self.log.warn.call_args_list]
        self.assertIn("copy_not_dropped", events)

    async def test_few_at_once_from_one_server(self) -> None:
        # Guards against paused streams that wait for others' copies.
        migrator = self.migrator(*[NO_ROOM] * 3)
        gate = anyio.Event()
        self.client.gates = {0: gate, 1: gate}
        async with anyio.create_task_group() as group:
            for _ in range(3):
                group.start_soon(migrator.move, call(), SOURCE, TARGET)
            await anyio.sleep(0.02)
            self.assertEqual(len(self.client.orders), 2)
            gate.set()
        self.assertEqual(len(self.client.orders), 3)


class StreamMovesTest(MoveCase):
    """When one stream is moved, how often, and who waits for it."""

    def setUp(self) -> None:
        super().setUp()
        self.refused: list[frozenset[str]] = []
        self.reservations: list[unittest.mock.Mock] = []
        self.targets = [TARGET, OTHER]

    def moves(
        self, *script: HttpResponse | Exception, before: int = 0
    ) -> StreamMoves:
        """Returns the moves of a stream whose orders get scripted replies."""
        migrator = self.migrator(*script)
        return StreamMoves(migrator, call(), SOURCE, before)

    def reserve(self, refused: frozenset[str]) -> unittest.mock.Mock | None:
        """Reserves the first target that is not refused."""
        self.refused.append(refused)
        left = [item for item in self.targets if item.id not in refused]
        if not left:
            return None
        reservation = unittest.mock.Mock()
        reservation.placed.server = left[0]
        self.reservations.append(reservation)
        return reservation

    def assert_all_released(self) -> None:
        """Fails if a reservation was not ended exactly once."""
        for item in self.reservations:
            item.run.end.assert_called_once_with()

    async def test_refused_copy_then_another_target(self) -> None:
        # Guards against a stream that stays at a leaving server since one
        # target had no room, and against asking that one again.
        moves = self.moves(NO_ROOM, COPIED, COPIED)
        await moves.leave(self.reserve)
        self.assertEqual(
            self.client.orders, ["copy target", "copy other", "stop other"]
        )
        self.assertEqual(moves.copy.at, OTHER)
        self.assertEqual(moves.count, 1)
        self.assertEqual(self.refused, [frozenset(), frozenset({TARGET.id})])
        self.assert_all_released()

    async def test_no_further_target(self) -> None:
        # Guards against a stream that is stopped though no target has room.
        moves = self.moves(NO_ROOM, NO_ROOM)
        # It goes on looking for one until the stream ends.
        self.assertFalse(
            await self.ends_soon(lambda: moves.leave(self.reserve))
        )
        self.assertEqual(self.client.orders, ["copy target", "copy other"])
        self.assertEqual((moves.copy, moves.count), (None, 0))
        self.assertFalse(moves.under_way)
        self.assertFalse(moves.may_have_stopped)
        self.assert_all_released()

    async def test_few_refused_copies(self) -> None:
        # Guards against copies without end, each of which loads a server's
        # link.
        self.targets = [
            unittest.mock.Mock(id=f"s{n}", address=TARGET.address)
            for n in range(MAX_REFUSED_COPIES + 2)
        ]
        moves = self.moves(*[NO_ROOM] * MAX_REFUSED_COPIES)
        await moves.leave(self.reserve)
        self.assertEqual(len(self.client.orders), MAX_REFUSED_COPIES)

    async def test_few_moves(self) -> None:
        # Guards against a stream that is paused again and again.
        moves = self.moves(before=MAX_MOVES)
        await moves.leave(self.reserve)
        await moves.leave_when_slow(self.reserve)
        self.assertEqual(self.client.orders, [])
        moves = self.moves(COPIED, COPIED, before=MAX_MOVES - 1)
        await moves.leave(self.reserve)
        self.assertIsNotNone(moves.copy)

    async def test_refused_copies_are_no_moves(self) -> None:
        # Guards against refused copies, which cost the stream nothing, that use
        # up its moves.
        moves = self.moves(NO_ROOM, COPIED, COPIED, before=MAX_MOVES - 1)
        await moves.leave(self.reserve)
        self.assertEqual(moves.copy.at, OTHER)

    async def test_slow_stream_waits_for_a_faster_server(self) -> None:
        # Guards against a slow stream that is never moved since no faster
        # server had room at first.
        moves = self.moves(COPIED, COPIED)
        rooms = iter([False, False, False, True])

        def reserve(refused: frozenset[str]) -> unittest.mock.Mock | None:
            return self.reserve(refused) if next(rooms) else None

        await moves.leave_when_slow(reserve)
        self.assertEqual(moves.copy.at, TARGET)

    async def test_one_move_at_a_time(self) -> None:
        # Guards against a slow stream at a leaving server that is copied twice
        # at once, or stopped for two targets.
        moves = self.moves(COPIED, COPIED)
        gate = self.client.gates[0] = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(moves.leave, self.reserve)
            group.start_soon(moves.leave_when_slow, self.reserve)
            await anyio.sleep(0.03)
            self.assertEqual(self.client.orders, ["copy target"])
            gate.set()
        self.assertEqual(self.client.orders, ["copy target", "stop target"])
        self.assertEqual(moves.count, 1)

    async def test_stream_that_ends_during_its_copy(self) -> None:
        # Guards against a whole stream whose end waits for its copy, and a copy
        # that stays at the target after it.
        moves = self.moves(COPIED, UNKNOWN_RUN, DROPPED)
        gate = self.client.gates[0] = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(moves.leave, self.reserve)
            await anyio.sleep(0.02)
            self.assertTrue(moves.under_way)
            with anyio.fail_after(1.0):
                await moves.wait_for_stop()
            self.assertFalse(await self.ends_soon(moves.wait))
            gate.set()
            with anyio.fail_after(1.0):
                await moves.wait()
            self.assertEqual(self.client.orders[-1], "drop")
        self.assertFalse(moves.may_have_stopped)
        self.assertIsNone(moves.copy)
        self.assert_all_released()

    async def test_stream_that_ends_before_the_reply_to_its_stop(self) -> None:
        # Guards against a stopped stream that is taken for one whose server
        # broke off, since its end outruns the reply.
        moves = self.moves(COPIED, COPIED)
        gate = self.client.gates[1] = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(moves.leave, self.reserve)
            await anyio.sleep(0.02)
            self.assertFalse(await self.ends_soon(moves.wait_for_stop))
            gate.set()
            with anyio.fail_after(1.0):
                await moves.wait_for_stop()
            self.assertTrue(moves.may_have_stopped)
            self.assertEqual(moves.copy.at, TARGET)

    async def test_spare_copy(self) -> None:
        # Guards against a stream that ends with the replies to its stop though
        # an earlier copy of it exists.
        moves = self.moves(COPIED, *[LOST] * MAX_ORDERS)
        await moves.leave(self.reserve)
        self.assertIsNone(moves.copy)
        self.assertTrue(moves.may_have_stopped)
        self.assertEqual(moves.spare.at, TARGET)
        self.assertEqual(moves.count, 1)

    async def test_spare_copy_stays(self) -> None:
        # Guards against losing the only copy of a run that may have stopped,
        # when a later copy is refused.
        moves = self.moves(COPIED, *[LOST] * MAX_ORDERS, NO_ROOM, NO_ROOM)
        await moves.leave(self.reserve)
        self.assertFalse(
            await self.ends_soon(lambda: moves.leave(self.reserve))
        )
        self.assertEqual(self.client.orders[-1], "copy other")
        self.assertEqual(moves.spare.at, TARGET)

    async def test_refused_copy_after_a_failed_stop(self) -> None:
        # Guards against a single try to move a stream whose earlier move has
        # failed.
        moves = self.moves(
            COPIED, UNKNOWN_RUN, DROPPED, NO_ROOM, COPIED, COPIED
        )
        await moves.leave(self.reserve)
        await moves.leave(self.reserve)
        self.assertEqual(moves.copy.at, OTHER)

    async def test_cancelled_during_its_copy(self) -> None:
        # Guards against a place at the target that stays taken after the caller
        # has left.
        moves = self.moves(COPIED)
        self.client.gates[0] = anyio.Event()
        self.assertFalse(
            await self.ends_soon(lambda: moves.leave(self.reserve))
        )
        self.assertFalse(moves.under_way)
        self.assert_all_released()

    async def ends_soon(self, wait) -> bool:
        """Returns whether a wait ends; cancels it otherwise."""
        with contextlib.suppress(TimeoutError), anyio.fail_after(0.05):
            await wait()
            return True
        return False


if __name__ == "__main__":
    unittest.main()
