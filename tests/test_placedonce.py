"""One request gets one place, whatever becomes of owners' datagrams."""

import unittest
import unittest.mock

import anyio

from jasminerelay import asking, cells, peerwords
from jasminerelay.schema.messages import OwnerWord
from jasminerelay.waitingroom import Seat
from tests.test_cells import SERVICE, Node, Site, prompts

SOON_S = 0.2


class PlacedOnceTest(unittest.IsolatedAsyncioTestCase):
    """Answers that come late, again, or from two owners.

    Callers would see a request that may run once run at two servers. Each
    place that an instance takes is one run, which it notes before it sends
    the request; so runs are what is counted.
    """

    def setUp(self) -> None:
        self.site = Site(30, servers=16)
        self.node = self.site.nodes["n00"]
        self.words: list[tuple[Node, OwnerWord]] = []
        for node in self.site.nodes.values():
            node.owned.answer = lambda _, word, node=node: self.words.append(
                (node, word)
            )
        self.seats: list[Seat] = []

    async def enter(self) -> None:
        """Asks for a place for one request."""
        seat = await self.node.asking.enter(next(prompts(1)), frozenset())
        self.seats.append(seat)

    async def deliver(self, words, times: int = 1) -> None:
        """Gives owners' words to the instance, each some times."""
        for _ in range(times):
            for _, word in list(words):
                data = peerwords.encode(word)
                self.node.asking.hear(peerwords.decode(data))
                await anyio.sleep(0)

    def assert_one_run(self) -> None:
        """Asserts that the request has one place and no more."""
        self.assertEqual(len(self.seats), 1)
        self.assertEqual(
            list(self.node.dispatcher.workload.runs.values()),
            [self.seats[0].run],
        )

    async def test_answer_after_the_own_view(self) -> None:
        # The owner's answer comes once the instance has decided by its own
        # view, in favour of another server. It is passed over.
        await self.enter()
        self.assertEqual(self.seats[0].owner, "")
        self.assertTrue(self.words)
        await self.deliver(self.words, times=3)
        await anyio.sleep(SOON_S)
        self.assert_one_run()

    async def test_placing_told_three_times(self) -> None:
        # The datagram with the place comes three times, as after it was told
        # again, before the request goes on and after.
        self.hold_answers()
        async with anyio.create_task_group() as group:
            group.start_soon(self.enter)
            await anyio.sleep(SOON_S)
            await self.deliver(self.words, times=3)
            await anyio.sleep(SOON_S)
            await self.deliver(self.words, times=3)
        self.assert_one_run()

    async def test_ask_in_two_datagrams(self) -> None:
        # An ask is told again while its answer is on the way. The owner
        # places it once and says the same place again.
        self.hold_answers()
        async with anyio.create_task_group() as group:
            group.start_soon(self.node.asking.run)
            group.start_soon(self.enter)
            await anyio.sleep(3 * asking.ASK_AGAIN_S)
            await self.deliver(self.words)
            await anyio.sleep(SOON_S)
            group.cancel_scope.cancel()
        answers = [item for _, word in self.words for item in word.answers]
        self.assertGreater(len(answers), 1)
        self.assertEqual(len({item.server for item in answers}), 1)
        self.assert_one_run()

    async def test_two_owners_answer(self) -> None:
        # The cell's owner changes while the ask is under way. The former one
        # and the new one place it, at two servers; the instance takes the
        # word of the one that it asks now, once.
        self.hold_answers()
        former = self.site.owner_of(self.home())
        async with anyio.create_task_group() as group:
            group.start_soon(self.node.asking.run)
            group.start_soon(self.enter)
            await anyio.sleep(SOON_S)
            former.counted_live = False
            self.site.see()
            await anyio.sleep(3 * asking.ASK_AGAIN_S)
            await self.deliver(self.words, times=2)
            await anyio.sleep(SOON_S)
            await self.deliver(reversed(self.words))
            group.cancel_scope.cancel()
        owners = {node.name for node, word in self.words if word.answers}
        self.assertEqual(len(owners), 2)
        self.assertNotEqual(self.seats[0].owner, former.name)
        self.assert_one_run()

    def hold_answers(self) -> None:
        """Lets the instance wait for as long as answers are held back."""
        self.enterContext(unittest.mock.patch.object(asking, "ANSWER_S", 30.0))

    def home(self) -> int:
        """Returns the cell of the request's start."""
        item = next(prompts(1))
        names = [server.id for server in self.node.registry.servers()]
        count = len(cells.cells_of(names))
        self.assertEqual(item.service, SERVICE)
        return cells.home(item.prompt.shared[-1].id, count)


if __name__ == "__main__":
    unittest.main()
