"""Tests of an instance's ports while it ends."""

import unittest
import unittest.mock

import anyio

from jasminerelay.addresses import split_address
from jasminerelay.watchdog import Watchdog
from standins.platformsite import SiteOptions
from tests.platformcase import WAIT_S, PlatformCase
from tests.slowcallercase import request_head

ENDING_S = 2.0


class StopPortsTest(PlatformCase):
    """Connections of callers."""

    options = SiteOptions(grace_s=1.2)

    async def test_kept_connection(self) -> None:
        # Guards against requests on kept connections that an ending instance
        # neither reads nor lets fail until its process is gone.
        run = Watchdog.run

        async def run_and_end_slowly(watchdog: Watchdog) -> None:
            try:
                await run(watchdog)
            finally:
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(ENDING_S)

        with unittest.mock.patch.object(Watchdog, "run", run_and_end_slowly):
            async with self.site() as (_, (instance,)):
                host, port = split_address(instance.callers)
                async with await anyio.connect_tcp(host, port) as connection:
                    await connection.send(request_head("/lookup/slot"))
                    answer = await connection.receive()
                    self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
                    instance.stop()
                    with anyio.fail_after(WAIT_S):
                        with self.assertRaises(anyio.EndOfStream):
                            while True:
                                await connection.receive()
                    self.assertTrue(instance.running)
                with self.assertRaises(OSError):
                    await anyio.connect_tcp(host, port)


if __name__ == "__main__":
    unittest.main()
