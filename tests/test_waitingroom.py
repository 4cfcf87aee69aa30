"""Requests that wait in an instance."""

import dataclasses
import time
import unittest

import anyio

from jasminerelay.admission import Prospect, retry_after_s
from jasminerelay.catalog import (
    Call,
)
from jasminerelay.errors import NoRoomError
from jasminerelay.placing import Placed, Wait
from jasminerelay.waitingroom import Waiter, WaitingRoom
from jasminerelay.workload import (
    Workload,
)
from tests.test_placing import call, option, route


class WaitingRoomTest(unittest.IsolatedAsyncioTestCase):
    """Requests that wait in an instance."""

    def room(self, free: list[str], hopeless: bool = False) -> WaitingRoom:
        workload = Workload()

        def find(item: Call, avoid: frozenset[str]):
            return (
                Placed(option(free.pop()).server, 0, 0) if free else Wait("no")
            )

        self.workload = workload
        return WaitingRoom(
            find,
            lambda item, ahead: Prospect(99.0 if hopeless else 0.0, 0.0, 1.0),
            lambda item: 0.1,
            lambda item, placed: workload.start(placed.server.id, 0, 0),
        )

    async def test_higher_rank_first(self) -> None:
        # Three wait while nothing is free. A place comes free: the one of the
        # highest rank gets it though it came last, and one that can still be
        # in time goes before one that is late.
        free: list[str] = []
        room = self.room(free)
        now = time.monotonic()
        order: list[str] = []

        async def enter(item: Call) -> None:
            await room.enter(item, frozenset())
            order.append(item.id)

        waiting = [
            call("late", now - 5.0),
            call("low", now),
            call("high", now, rank=0),
        ]
        async with anyio.create_task_group() as group:
            for item in waiting:
                group.start_soon(enter, item)
                await anyio.sleep(0)
            for _ in waiting:
                free.append("a")
                room.freed("pool")
                await anyio.sleep(0)
                await anyio.sleep(0)
        self.assertEqual(order, ["high", "low", "late"])

    def test_alike_organisations_go_by_route(self) -> None:
        room = [
            Waiter(call("study", 0.0, rank=1), frozenset(), 0.1),
            Waiter(
                call("chat", 1.0, rank=1, route=route(rank=0)),
                frozenset(),
                0.1,
            ),
            Waiter(call("first", 2.0, rank=0), frozenset(), 0.1),
        ]
        room.sort(key=lambda item: item.order(2.0))
        order = [item.call.id for item in room]
        self.assertEqual(order, ["first", "chat", "study"])

    def test_late_by_the_reading_that_is_left(self) -> None:
        # A burst fills the engines. The first one's objective is not over
        # yet, but its prompt takes longer to read than what is left of it;
        # placed first, it would be late all the same, and so would the one
        # that has just come.
        room = [
            Waiter(call("old", 0.0), frozenset(), 0.1, first_s=0.4),
            Waiter(call("new", 1.5), frozenset(), 0.1, first_s=0.4),
        ]
        room.sort(key=lambda item: item.order(1.7))
        self.assertEqual([item.call.id for item in room], ["new", "old"])

    async def test_hopeless_is_refused_at_once(self) -> None:
        room = self.room([], hopeless=True)
        with self.assertRaises(NoRoomError) as caught:
            await room.enter(call(), frozenset())
        self.assertGreater(caught.exception.retry_s, 0)

    async def test_caller_that_leaves_frees_its_place(self) -> None:
        # A caller leaves just as its place is found. A run that nobody ends
        # would hold room at the server for good.
        free: list[str] = []
        room = self.room(free)

        async def serve() -> None:
            seat = await room.enter(call(), frozenset())
            try:
                await anyio.sleep_forever()
            finally:
                seat.run.end()

        async with anyio.create_task_group() as group:
            group.start_soon(serve)
            await anyio.sleep(0)
            free.append("a")
            room.freed("pool")
            group.cancel_scope.cancel()
        self.assertEqual(self.workload.load("a").running, 0)
        self.assertEqual(len(room), 0)

    def test_caller_that_will_have_left(self) -> None:
        # There is time for the whole answer, but its caller leaves a stream
        # that stays silent for three seconds: read for it, the prompt would
        # be read in vain.
        prospect = Prospect(2.9, 1.0, 15.0, first_s=0.3, patience_s=3.0)
        self.assertTrue(prospect.hopeless)
        patient = dataclasses.replace(prospect, patience_s=4.0)
        self.assertFalse(patient.hopeless)

    def test_retry_after_is_kept_to(self) -> None:
        # Callers wait as told up to a third of the time they have left.
        for left_s in (0.3, 3.0, 15.0):
            prospect = Prospect(40.0, 5.0, left_s)
            for spread in (0.0, 0.5, 1.0):
                told = retry_after_s(prospect, spread)
                self.assertLessEqual(told, max(0.05, left_s / 3))
                self.assertGreater(told, 0)


if __name__ == "__main__":
    unittest.main()
