"""Tests the stop of a real instance process while slow callers read."""

import asyncio
import contextlib
import signal
import time
import unittest

import anyio

from standins.platformsite import SiteOptions
from tests.processcase import ProcessCase
from tests.slowcallercase import request_head

LONG_BYTES = 96 << 20
GRACE_S = 8.0
PIECE_BYTES = 64 * 1024
PAUSE_S = 0.02


class SlowStopTest(ProcessCase):
    """SIGTERM."""

    options = SiteOptions(engines=1, grace_s=GRACE_S)

    async def test_stop_while_slow_callers_read(self) -> None:
        # Guards against a stop that waits for slow callers beyond the grace
        # time, and against a response cut by it that looks complete.
        async with self.process() as (site, process):
            for server in site.servers.values():
                server.faults.body_bytes = LONG_BYTES
            reader, writer = await asyncio.open_connection(
                *self.address, limit=PIECE_BYTES
            )
            writer.write(request_head("/confirm/long"))
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"content-length: %d" % LONG_BYTES, head)
            process.send_signal(signal.SIGTERM)
            began = time.monotonic()
            async with anyio.create_task_group() as group:
                group.start_soon(self.read_slowly, reader)
                while process.poll() is None:
                    await anyio.sleep(0.02)
                took_s = time.monotonic() - began
            writer.close()
            self.assertEqual(process.returncode, 0)
            # Callers are served for as long as the instance may run.
            self.assertGreater(took_s, 0.8 * GRACE_S)
            self.assertLess(took_s, GRACE_S)

    async def read_slowly(self, reader: asyncio.StreamReader) -> None:
        received = 0
        with contextlib.suppress(ConnectionError):
            while part := await reader.read(PIECE_BYTES):
                received += len(part)
                await anyio.sleep(PAUSE_S)
        self.assertLess(received, LONG_BYTES)


if __name__ == "__main__":
    unittest.main()
