"""Proofs of the list of servers by the store."""

import unittest

import anyio

from jasminerelay.errors import StoreError
from jasminerelay.freshness import Freshness
from jasminerelay.listproof import ListProof
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import ServerRow
from jasminerelay.storefollowing import (
    HistoryGoneError,
    RegistryFeed,
    StoreMonitor,
    TablePage,
)
from tests.instanceworld import Quiet
from tests.test_following import decode

ANSWER_S = 0.05


class Source:
    """A table whose calls take a while."""

    def __init__(self) -> None:
        self.calls = 0
        self.failing = self.history_gone = False
        self.page = TablePage((), 1)

    async def changes(self, after: int, wait_s: float) -> TablePage:
        """Answers with the page as it was when the call began."""
        self.calls += 1
        page = self.page
        await anyio.sleep(ANSWER_S)
        if self.failing:
            raise StoreError("down")
        if self.history_gone:
            raise HistoryGoneError("gone")
        return page

    async def read(self) -> TablePage:
        """Answers with the page."""
        self.calls += 1
        return self.page


class ListProofTest(unittest.IsolatedAsyncioTestCase):
    """Who shares a call, and what it proves."""

    def setUp(self) -> None:
        self.source = Source()
        self.registry = Registry(lambda data: None, decode)
        self.state = StoreMonitor(
            self.registry, Freshness(("servers",)), Quiet()
        )
        feed = RegistryFeed(self.registry, "config", Quiet(), Quiet())
        self.proof = ListProof(
            "servers", self.source, self.registry, feed, self.state, Quiet()
        )
        self.proved: list[bool] = []

    async def ask(self) -> None:
        """Asks for a proof."""
        self.proved.append(await self.proof.confirm())

    def add(self, name: str) -> None:
        """Adds a server to the table."""
        row = ServerRow(name, self.source.page.version + 1, b"pool:ready")
        self.source.page = TablePage((row,), row.version)

    async def test_shared_call(self) -> None:
        # Guards against a call of the store for each take-up.
        async with anyio.create_task_group() as group:
            for _ in range(30):
                group.start_soon(self.ask)
        self.assertEqual(self.proved, [True] * 30)
        self.assertLessEqual(self.source.calls, 2)

    async def test_question_during_a_call(self) -> None:
        # Guards against a proof older than the question: a version may have
        # joined, and begun the stream, after the call was answered.
        async with anyio.create_task_group() as group:
            group.start_soon(self.ask)
            await anyio.sleep(ANSWER_S / 2)
            self.add("new")
            await self.ask()
            names = [server.name for server in self.registry.servers()]
        self.assertEqual(names, ["new"])
        self.assertEqual(self.proved, [True, True])

    async def test_store_that_does_not_answer(self) -> None:
        self.source.failing = True
        await self.ask()
        self.source.failing = False
        self.state.failed("servers", "down")
        await self.ask()
        self.assertEqual((self.proved, self.source.calls), ([False, False], 1))

    async def test_answers_that_are_older_than_the_list(self) -> None:
        # Guards against a proof by an answer that the list passes over, as of
        # a store that came back from a copy.
        self.add("new")
        await self.ask()
        newest = self.source.page.version
        for self.source.history_gone in (False, True):
            self.source.page = TablePage((), newest - 1)
            await self.ask()
        self.assertEqual(self.proved, [True, False, False])

    async def test_history_that_is_gone(self) -> None:
        self.source.history_gone = True
        self.add("new")
        await self.ask()
        self.assertEqual(self.proved, [True])
        self.assertEqual(len(self.registry.servers()), 1)


if __name__ == "__main__":
    unittest.main()
