"""Tests the search for another server while one is silent, without sockets."""

import unittest
import unittest.mock

import anyio

from jasminerelay import succession
from jasminerelay.exchange import (
    Delivered,
    Failed,
    Interrupted,
    NotRun,
    Unknown,
)
from jasminerelay.scheduling.handover import Handover
from jasminerelay.succession import MAX_REJECTIONS, Run, Search


def run_at(name: str) -> Run:
    """Returns a run whose attempt and server are not used."""
    return Run(unittest.mock.Mock(), unittest.mock.Mock(id=name))


class SearchTest(unittest.IsolatedAsyncioTestCase):
    """How often servers are asked, and what ends that."""

    def setUp(self) -> None:
        self.enterContext(
            unittest.mock.patch.object(succession, "SEARCH_INTERVAL_S", 0.005)
        )
        self.asked = 0
        self.probed = 0

    async def asyncSetUp(self) -> None:  # noqa: N802 (unittest's name)
        self.search = Search(Handover(), self.probe)

    async def probe(self) -> None:
        self.probed += 1

    async def search_until(self, ask) -> None:
        """Runs the search with a function that is called for each server."""

        async def counted(search: Search) -> None:
            self.asked += 1
            await ask(search)

        with anyio.fail_after(2.0):
            await self.search.run(counted)

    async def test_no_place_at_first(self) -> None:
        # Guards against a search that ends since no server had room at first.
        async def ask(search: Search) -> None:
            if self.asked == 10:
                search.successor = run_at("b")
                search.handover.take()

        await self.search_until(ask)
        self.assertEqual((self.asked, self.probed), (10, 1))
        self.assertIsNotNone(self.search.successor)

    async def test_few_rejections(self) -> None:
        # Guards against a request that is sent to one server after the other
        # while its own has it.
        async def ask(search: Search) -> None:
            search.successor = run_at("b")
            search.record_rejection()

        await self.search_until(ask)
        self.assertEqual(self.asked, MAX_REJECTIONS)
        self.assertIsNone(self.search.successor)
        self.assertTrue(self.search.handover.open)

    async def test_silent_server_goes_on(self) -> None:
        # Guards against a server that goes on being asked after the silent one
        # has sent an event.
        ended = []

        async def ask(search: Search) -> None:
            search.successor = run_at("b")
            try:
                await anyio.sleep_forever()
            finally:
                search.record_rejection()
                ended.append(search.handover.open)

        async with anyio.create_task_group() as group:
            group.start_soon(self.search_until, ask)
            await anyio.sleep(0.02)
            self.assertTrue(self.search.handover.keep())
        self.assertEqual((self.asked, ended), (1, [False]))
        self.assertIsNone(self.search.successor)

    async def test_goes_on_while_it_is_probed(self) -> None:
        # Guards against asking another server though the silent one has sent
        # an event during the probe.
        async def probe() -> None:
            self.search.handover.keep()
            await anyio.sleep(0)

        self.search = Search(Handover(), probe)

        async def ask(search: Search) -> None:
            self.fail("asked")

        await self.search_until(ask)
        self.assertEqual(self.asked, 0)

    async def test_request_ends(self) -> None:
        # Guards against a request at another server that outlives its caller.
        async def ask(search: Search) -> None:
            await anyio.sleep_forever()

        async with anyio.create_task_group() as group:
            group.start_soon(self.search_until, ask)
            await anyio.sleep(0.02)
            with anyio.fail_after(1.0):
                await self.search.cancel()
            self.assertTrue(self.search.ended.is_set())
        self.assertEqual(self.asked, 1)


class TakenOverTest(unittest.IsolatedAsyncioTestCase):
    """Which run goes on with an answer."""

    def silent_run(self) -> Run:
        """Returns a run whose search has not asked anybody yet."""
        run = run_at("a")
        run.search = Search(Handover(), unittest.mock.AsyncMock())
        return run

    async def test_no_search(self) -> None:
        # Guards against an answer of a server that was never silent that is
        # awaited from another one.
        self.assertIsNone(run_at("a").taken_over_by)

    async def test_broke_off_while_another_was_asked(self) -> None:
        # Guards against a third server where the second one has the request.
        for outcome in (
            Unknown("reset"),
            Interrupted("reset"),
            NotRun("full"),
            Failed(unittest.mock.Mock(), b""),
        ):
            run = self.silent_run()
            run.search.successor = run_at("b")
            run.outcome = outcome
            self.assertIs(run.taken_over_by, run.search.successor)
            self.assertFalse(run.search.handover.keep())

    async def test_broke_off_between_two(self) -> None:
        # Guards against waiting for a server that has rejected the request.
        run = self.silent_run()
        run.outcome = Unknown("reset")
        self.assertIsNone(run.taken_over_by)

    async def test_answered_while_another_was_asked(self) -> None:
        # Guards against a whole answer that is thrown away for a server which
        # has accepted nothing.
        run = self.silent_run()
        run.search.successor = run_at("b")
        run.outcome = Delivered(200)
        self.assertIsNone(run.taken_over_by)

    async def test_taken(self) -> None:
        # Guards against an answer of which both servers send a part.
        run = self.silent_run()
        run.search.successor = run_at("b")
        run.search.handover.take()
        self.assertIs(run.taken_over_by, run.search.successor)


if __name__ == "__main__":
    unittest.main()
