"""Tests that changed settings end no answer that is under way."""

import asyncio
import re
import signal
import unittest

import anyio

from standins.platformsite import SiteOptions
from tests.processcase import ProcessCase
from tests.slowcallercase import request_head

LONG_BYTES = 8 << 20
BODY_BYTES = 200_000
EVENTS = 60


class ReloadTest(ProcessCase):
    """SIGHUP with a settings file of less memory."""

    options = SiteOptions(
        engines=1, memory_mb=160, routes={"chat": {"timeoutMs": 9000}}
    )

    async def long_answer(self) -> None:
        reader, writer = await self.send(request_head("/confirm/long"))
        await self.assert_served(reader)
        received = 0
        while received < LONG_BYTES:
            part = await reader.read(64 * 1024)
            self.assertTrue(part, f"ended after {received} bytes")
            before, received = received, received + len(part)
            if before >> 21 != received >> 21:
                await anyio.sleep(1.0)
        writer.close()

    async def slow_body(self) -> None:
        head = request_head("/confirm/x", body_bytes=BODY_BYTES)
        reader, writer = await self.send(head)
        for _ in range(10):
            writer.write(b"x" * (BODY_BYTES // 10))
            await anyio.sleep(0.3)
        await self.assert_served(reader)
        writer.close()

    async def stream(self) -> None:
        reader, writer = await self.send(
            request_head(
                "/chat/1/stream",
                Token_Usage=f"900,{EVENTS}",
                Length_Hint=f"{EVENTS}",
                Prefix_Hash="aa:500,bb:400",
            )
        )
        await self.assert_served(reader)
        await reader.readuntil(b"id: %d\n" % EVENTS)
        await reader.readuntil(b"0\r\n\r\n")
        writer.close()

    async def send(self, head: bytes):
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(head)
        return reader, writer

    async def assert_served(self, reader: asyncio.StreamReader) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 200 ", head.partition(b"\r\n")[0])

    async def test_less_memory(self) -> None:
        # Guards against a reload that ends answers and bodies under way.
        async with self.process() as (site, process):
            for server in site.servers.values():
                server.faults.body_bytes = LONG_BYTES
                server.faults.tick_s = 0.05
            settings = self.log.with_suffix(".toml")
            text = settings.read_text()
            changed = re.sub(r"memoryMb = \d+", "memoryMb = 60", text)
            self.assertNotEqual(changed, text)
            async with anyio.create_task_group() as group:
                for _ in range(3):
                    for caller in (
                        self.long_answer,
                        self.slow_body,
                        self.stream,
                    ):
                        group.start_soon(caller)
                await anyio.sleep(1.0)
                settings.write_text(changed)
                process.send_signal(signal.SIGHUP)
            self.assertIn('"event":"reload"', self.log.read_text())


if __name__ == "__main__":
    unittest.main()
