"""The pool of connections to backend servers."""

import unittest

import anyio

from jasminerelay import channels, netstream
from jasminerelay.catalog import BackendServer
from jasminerelay.channels import ChannelPool
from jasminerelay.httpclient import NotSentError
from jasminerelay.metrics import Counters
from jasminerelay.scheduling.serverpaths import ServerPaths
from jasminerelay.watchdog import Watchdog

SERVER = BackendServer("s", "pool", "127.0.0.1:1", "z", 1, False)


class NoRelays:
    """Stands for other instances, of which there are none."""

    async def open(self, server: BackendServer, *, ask_all: bool = False):
        raise NotSentError("none")

    def relays(self, instance: str) -> bool:
        return False


class FakeChannel:
    """A connection whose close yields to other tasks."""

    relayed_by = ""

    def __init__(self, reusable: bool = True):
        self.server = SERVER
        self.reusable = reusable
        self.closed = 0

    async def aclose(self) -> None:
        self.closed += 1
        await anyio.sleep(0)
        await anyio.sleep(0)


class PoolTest(unittest.IsolatedAsyncioTestCase):
    """Which connections are pooled, and when they are closed."""

    def setUp(self) -> None:
        self.paths = ServerPaths()
        self.pool = ChannelPool(
            Watchdog(),
            Counters(),
            netstream.open_connection,
            self.paths,
            NoRelays(),
        )

    async def fill(self, count: int, idle_s: float) -> list[FakeChannel]:
        pooled = [FakeChannel() for _ in range(count)]
        for channel in pooled:
            await self.pool.put_back(channel, idle_s, False)
        return pooled

    async def test_connection_of_a_stopping_relay_is_not_used(self) -> None:
        # Guards against requests that end with the instance that relays them.
        self.paths.record_relayed(SERVER.id, 0.0)
        direct, relayed = FakeChannel(), FakeChannel()
        relayed.relayed_by = "stopping"
        for channel in (direct, relayed):
            await self.pool.put_back(channel, 9.0, False)
        await anyio.sleep(2 * channels.MIN_IDLE_S)
        with self.assertRaises(NotSentError):
            await self.pool.acquire(SERVER)
        self.assertEqual((direct.closed, relayed.closed), (1, 1))

    async def test_acquire_while_stale_ones_are_closed(self) -> None:
        # Each close of a stale connection yields to requests, which acquire
        # connections from the same pool. An instance crashed because of this
        # (day "clocks", seed 32, on Moreton Bay).
        pooled = await self.fill(6, 0.0)
        await anyio.sleep(2 * channels.MIN_IDLE_S)
        acquired = []

        async def acquire() -> None:
            for _ in range(3):
                try:
                    acquired.append(await self.pool.acquire(SERVER))
                except channels.NotSentError:
                    acquired.append(None)

        async with anyio.create_task_group() as group:
            group.start_soon(self.pool.close_expired)
            group.start_soon(acquire)
        self.assertEqual([channel.closed for channel in pooled], [1] * 6)

    async def test_minimum_idle_time_before_reuse(self) -> None:
        # A second answer to the last request is detected in that time.
        await self.fill(1, 60.0)
        with self.assertRaises(channels.NotSentError):
            await self.pool.acquire(SERVER)
        await anyio.sleep(2 * channels.MIN_IDLE_S)
        self.assertIsInstance(await self.pool.acquire(SERVER), FakeChannel)

    async def test_distrusted_server_has_no_pool(self) -> None:
        self.pool.record_unexpected_data(SERVER)
        (channel,) = await self.fill(1, 60.0)
        self.assertEqual(channel.closed, 1)

    async def test_closing_or_unfinished_is_not_pooled(self) -> None:
        channel = FakeChannel()
        await self.pool.put_back(channel, 60.0, True)
        self.assertEqual(channel.closed, 1)
        broken = FakeChannel(reusable=False)
        await self.pool.put_back(broken, 60.0, False)
        self.assertEqual(broken.closed, 1)


if __name__ == "__main__":
    unittest.main()
