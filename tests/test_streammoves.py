"""Tests of the moves of one stream."""

import unittest
import unittest.mock

from jasminerelay import streammoves
from jasminerelay.catalog import BackendServer
from jasminerelay.migration import KvCacheCopy, MoveResult
from jasminerelay.streammoves import StreamMoves

SERVER = BackendServer("a", "pool", "1.1.1.1:1", "z", 1, False)


class _Migrator:
    """Answers moves as it is told.

    Attributes:
        results: Results of the upcoming moves, each with whether the run is
            ordered to stop.
        asked: Number of moves.
    """

    def __init__(self, *results: tuple[MoveResult, bool]):
        self.results = list(results)
        self.asked = 0

    async def move(self, call, source, target, on_stop) -> MoveResult:
        self.asked += 1
        result, stops = self.results.pop(0)
        if stops:
            on_stop()
        return result


class StreamMovesTest(unittest.IsolatedAsyncioTestCase):
    """Several moves of one stream, where the first has failed."""

    def setUp(self) -> None:
        self.enterContext(
            unittest.mock.patch.object(streammoves, "REFUSED_COPY_PAUSE_S", 0.0)
        )
        self.spare = KvCacheCopy(SERVER, "h1", SERVER)

    async def leave_twice(self, *results: tuple[MoveResult, bool]):
        migrator = _Migrator(*results)
        moves = StreamMoves(None, migrator, None, SERVER, 0)

        def reserve(refused):
            return unittest.mock.Mock() if migrator.results else None

        for _ in range(2):
            await moves.leave(reserve)
        return moves, migrator

    async def test_spare_copy_stays(self) -> None:
        # Guards against losing the only copy of a run that may have stopped,
        # when a later copy is refused.
        lost = MoveResult(None, may_have_stopped=True, spare=self.spare)
        refused = MoveResult(None, may_have_stopped=False)
        moves, _ = await self.leave_twice((lost, True), (refused, False))
        self.assertEqual(moves.spare, self.spare)

    async def test_refused_copy_is_tried_elsewhere(self) -> None:
        # Guards against a single try to move a stream whose earlier move has
        # failed.
        failed = MoveResult(None, may_have_stopped=False)
        moves, migrator = await self.leave_twice(
            (failed, True), (failed, False), (failed, False)
        )
        self.assertEqual(migrator.asked, 3)
