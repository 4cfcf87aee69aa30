"""Tests the queue of requests that wait for a server."""

import dataclasses
import time
import unittest

import anyio

from jasminerelay.admission import WaitEstimate, retry_after_s
from jasminerelay.catalog import (
    Call,
)
from jasminerelay.errors import NoCapacityError
from jasminerelay.placementqueue import PlacementQueue, QueueEntry
from jasminerelay.placing import PlacementDecision, Wait
from jasminerelay.workload import (
    Workload,
)
from tests.test_placing import call, option, route


class QueueTest(unittest.IsolatedAsyncioTestCase):
    """The queue of one instance."""

    def queue(self, free: list[str], too_late: bool = False) -> PlacementQueue:
        workload = Workload()

        def find(item: Call, avoid: frozenset[str]):
            return (
                PlacementDecision(option(free.pop()).server, 0, 0)
                if free
                else Wait("no")
            )

        self.workload = workload
        return PlacementQueue(
            find,
            lambda item, ahead: WaitEstimate(
                99.0 if too_late else 0.0, 0.0, 1.0
            ),
            lambda item: 0.1,
            lambda item, placed: workload.start(placed.server.id, 0, 0),
        )

    async def test_higher_rank_first(self) -> None:
        # Three requests wait while no server is free. When one becomes free,
        # the request of the highest rank gets it although it came last, and one
        # that can still meet its objective comes before one that is late.
        free: list[str] = []
        queue = self.queue(free)
        now = time.monotonic()
        order: list[str] = []

        async def enter(item: Call) -> None:
            await queue.reserve_server(item, frozenset())
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
                queue.capacity_freed("pool")
                await anyio.sleep(0)
                await anyio.sleep(0)
        self.assertEqual(order, ["high", "low", "late"])

    def test_equal_organisations_are_ordered_by_route(self) -> None:
        queue = [
            QueueEntry(call("study", 0.0, rank=1), frozenset(), 0.1),
            QueueEntry(
                call("chat", 1.0, rank=1, route=route(rank=0)),
                frozenset(),
                0.1,
            ),
            QueueEntry(call("first", 2.0, rank=0), frozenset(), 0.1),
        ]
        queue.sort(key=lambda item: item.sort_key(2.0))
        order = [item.call.id for item in queue]
        self.assertEqual(order, ["first", "chat", "study"])

    def test_order_includes_prefill_time(self) -> None:
        # Guards against a request placed first although its prompt takes longer
        # to prefill than the time left to its objective: it would be late
        # anyway, and so would the request that has just come.
        queue = [
            QueueEntry(call("old", 0.0), frozenset(), 0.1, first_s=0.4),
            QueueEntry(call("new", 1.5), frozenset(), 0.1, first_s=0.4),
        ]
        queue.sort(key=lambda item: item.sort_key(1.7))
        self.assertEqual([item.call.id for item in queue], ["new", "old"])

    async def test_late_request_is_refused_at_once(self) -> None:
        queue = self.queue([], too_late=True)
        with self.assertRaises(NoCapacityError) as caught:
            await queue.reserve_server(call(), frozenset())
        self.assertGreater(caught.exception.retry_s, 0)

    async def test_disconnect_releases_capacity(self) -> None:
        # Guards against a leaked in-flight request when a caller disconnects
        # just as its request is placed: it would occupy capacity at the server
        # for good.
        free: list[str] = []
        queue = self.queue(free)

        async def serve() -> None:
            reservation = await queue.reserve_server(call(), frozenset())
            try:
                await anyio.sleep_forever()
            finally:
                reservation.run.end()

        async with anyio.create_task_group() as group:
            group.start_soon(serve)
            await anyio.sleep(0)
            free.append("a")
            queue.capacity_freed("pool")
            group.cancel_scope.cancel()
        self.assertEqual(self.workload.load("a").running, 0)
        self.assertEqual(len(queue), 0)

    def test_refuses_callers_who_would_disconnect(self) -> None:
        # There is time for the whole answer, but its caller disconnects after
        # three seconds without an event, so the prefill would be wasted.
        estimate = WaitEstimate(
            2.9, 1.0, 15.0, first_s=0.3, caller_idle_timeout_s=3.0
        )
        self.assertTrue(estimate.too_late)
        longer_timeout = dataclasses.replace(
            estimate, caller_idle_timeout_s=4.0
        )
        self.assertFalse(longer_timeout.too_late)

    def test_retry_after_is_bounded(self) -> None:
        # Callers respect a Retry-After of up to a third of their time left.
        for left_s in (0.3, 3.0, 15.0):
            estimate = WaitEstimate(40.0, 5.0, left_s)
            for spread in (0.0, 0.5, 1.0):
                delay_s = retry_after_s(estimate, spread)
                self.assertLessEqual(delay_s, max(0.05, left_s / 3))
                self.assertGreater(delay_s, 0)


if __name__ == "__main__":
    unittest.main()
