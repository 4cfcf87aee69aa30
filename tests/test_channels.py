"""Connections to backend servers that are kept."""

import unittest

import anyio

from jasminerelay import channels
from jasminerelay.catalog import BackendServer
from jasminerelay.channels import Channels
from jasminerelay.watchdog import Watchdog

SERVER = BackendServer("s", "pool", "127.0.0.1:1", "z", 1, False)


class FakeChannel:
    """A connection whose close gives way to other tasks."""

    def __init__(self, reusable: bool = True):
        self.server = SERVER
        self.reusable = reusable
        self.closed = 0

    async def aclose(self) -> None:
        self.closed += 1
        await anyio.sleep(0)
        await anyio.sleep(0)


class KeptTest(unittest.IsolatedAsyncioTestCase):
    """What happens to kept connections."""

    def setUp(self) -> None:
        self.kept = Channels(Watchdog())

    async def give(self, count: int, idle_s: float) -> list[FakeChannel]:
        given = [FakeChannel() for _ in range(count)]
        for channel in given:
            await self.kept.give_back(channel, idle_s, False)
        return given

    async def test_taken_while_stale_ones_are_closed(self) -> None:
        # Stale connections are closed one after another; each close gives way
        # to requests, which take from the same list. An instance ended on
        # that (day "clocks", seed 32, on Moreton Bay).
        given = await self.give(6, 0.0)
        await anyio.sleep(2 * channels.SETTLE_S)
        taken = []

        async def take() -> None:
            for _ in range(3):
                try:
                    taken.append(await self.kept.take(SERVER))
                except channels.NotSentError:
                    taken.append(None)

        async with anyio.create_task_group() as group:
            group.start_soon(self.kept.tidy)
            group.start_soon(take)
        self.assertEqual([channel.closed for channel in given], [1] * 6)

    async def test_rests_before_it_is_used_again(self) -> None:
        # A second answer to the last request shows in that time.
        await self.give(1, 60.0)
        with self.assertRaises(channels.NotSentError):
            await self.kept.take(SERVER)
        await anyio.sleep(2 * channels.SETTLE_S)
        self.assertIsInstance(await self.kept.take(SERVER), FakeChannel)

    async def test_distrusted_server_keeps_none(self) -> None:
        self.kept.distrust(SERVER)
        (channel,) = await self.give(1, 60.0)
        self.assertEqual(channel.closed, 1)

    async def test_closing_or_unfinished_is_not_kept(self) -> None:
        channel = FakeChannel()
        await self.kept.give_back(channel, 60.0, True)
        self.assertEqual(channel.closed, 1)
        broken = FakeChannel(reusable=False)
        await self.kept.give_back(broken, 60.0, False)
        self.assertEqual(broken.closed, 1)


if __name__ == "__main__":
    unittest.main()
