"""A request gets one placement, whatever happens to the owners' datagrams."""

import unittest
import unittest.mock

import anyio

from jasminerelay import cells, peermessages, placementclient
from jasminerelay.placementqueue import Reservation
from jasminerelay.schema.messages import OwnerAnswers
from tests.test_cells import SERVICE, Node, Site, prompts

DELIVERY_WAIT_S = 0.2


class PlacedOnceTest(unittest.IsolatedAsyncioTestCase):
    """Answers that are late, repeated, or sent by two owners.

    Otherwise a request that may run only once could run at two servers. An
    instance records one run for each placement that it accepts, before it sends
    the request, so the tests count runs.
    """

    def setUp(self) -> None:
        self.site = Site(30, servers=16)
        self.node = self.site.nodes["n00"]
        self.answers_sent: list[tuple[Node, OwnerAnswers]] = []
        for node in self.site.nodes.values():
            node.owned.answer = lambda _, message, node=node: (
                self.answers_sent.append((node, message))
            )
        self.reservations: list[Reservation] = []

    async def reserve(self) -> None:
        """Requests a placement for one request."""
        reservation = await self.node.placement_client.reserve_server(
            next(prompts(1)), frozenset()
        )
        self.reservations.append(reservation)

    async def deliver(self, answers_sent, times: int = 1) -> None:
        """Delivers owners' answers to the instance, `times` times each."""
        for _ in range(times):
            for _, message in list(answers_sent):
                data = peermessages.encode(message)
                self.node.placement_client.handle_message(
                    peermessages.decode(data)
                )
                await anyio.sleep(0)

    def assert_one_run(self) -> None:
        """Asserts that the request has exactly one placement."""
        self.assertEqual(len(self.reservations), 1)
        self.assertEqual(
            list(self.node.dispatcher.workload.runs.values()),
            [self.reservations[0].run],
        )

    async def test_answer_after_local_placement(self) -> None:
        # The owner's answer arrives after the instance has placed the request
        # itself. It is ignored.
        await self.reserve()
        self.assertEqual(self.reservations[0].owner, "")
        self.assertTrue(self.answers_sent)
        await self.deliver(self.answers_sent, times=3)
        await anyio.sleep(DELIVERY_WAIT_S)
        self.assert_one_run()

    async def test_repeated_answer(self) -> None:
        # The datagram with the placement arrives three times, as when the owner
        # repeats it, both before the request proceeds and after.
        self.hold_answers()
        async with anyio.create_task_group() as group:
            group.start_soon(self.reserve)
            await anyio.sleep(DELIVERY_WAIT_S)
            await self.deliver(self.answers_sent, times=3)
            await anyio.sleep(DELIVERY_WAIT_S)
            await self.deliver(self.answers_sent, times=3)
        self.assert_one_run()

    async def test_repeated_update(self) -> None:
        # The update with the request is repeated while the answer is in
        # transit. The owner places it once and repeats its answer.
        self.hold_answers()
        async with anyio.create_task_group() as group:
            group.start_soon(self.node.placement_client.run)
            group.start_soon(self.reserve)
            await anyio.sleep(3 * placementclient.WAITING_UPDATE_INTERVAL_S)
            await self.deliver(self.answers_sent)
            await anyio.sleep(DELIVERY_WAIT_S)
            group.cancel_scope.cancel()
        answers = [
            item for _, message in self.answers_sent for item in message.answers
        ]
        self.assertGreater(len(answers), 1)
        self.assertEqual(len({item.server for item in answers}), 1)
        self.assert_one_run()

    async def test_two_owners_answer(self) -> None:
        # The cell's owner changes while the request waits. The former and the
        # new owner place it at different servers; the instance accepts one
        # answer, that of the current owner.
        self.hold_answers()
        former = self.site.owner_of(self.cell())
        async with anyio.create_task_group() as group:
            group.start_soon(self.node.placement_client.run)
            group.start_soon(self.reserve)
            await anyio.sleep(DELIVERY_WAIT_S)
            former.counted_live = False
            self.site.publish_membership()
            await anyio.sleep(3 * placementclient.WAITING_UPDATE_INTERVAL_S)
            await self.deliver(self.answers_sent, times=2)
            await anyio.sleep(DELIVERY_WAIT_S)
            await self.deliver(reversed(self.answers_sent))
            group.cancel_scope.cancel()
        owners = {
            node.name for node, message in self.answers_sent if message.answers
        }
        self.assertEqual(len(owners), 2)
        self.assertNotEqual(self.reservations[0].owner, former.name)
        self.assert_one_run()

    def hold_answers(self) -> None:
        """Disables the timeout for answers, which are held back."""
        self.enterContext(
            unittest.mock.patch.object(
                placementclient, "ANSWER_TIMEOUT_S", 30.0
            )
        )

    def cell(self) -> int:
        """Returns the cell of the request's shared prefix."""
        item = next(prompts(1))
        names = [server.id for server in self.node.registry.servers()]
        count = len(cells.cells_of(names))
        self.assertEqual(item.service, SERVICE)
        return cells.cell_of_key(item.prompt.shared_parts[-1].id, count)


if __name__ == "__main__":
    unittest.main()
