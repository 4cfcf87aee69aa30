"""Tests of moves that an instance orders shortly before its own end."""

import unittest

import anyio

from standins.platformsite import MODEL_BACKEND, SiteOptions
from tests.platformcase import PlatformCase

EVENTS = 600
DRAIN_AFTER_S = 2.85
MOVE_S = 0.35
"""With these, the run would be stopped before the last sixth of the grace
period, and go on only after the instance has ended."""

ANSWER_TIME_MS = 120_000
"""Enough for the stream on a busy machine: one that can't end in time may be
moved to a faster server while its instance still has time for it."""


class StopMovesTest(PlatformCase):
    """Streams on a server that leaves while their instance ends."""

    options = SiteOptions(
        grace_s=4.0, routes={"chat": {"timeoutMs": ANSWER_TIME_MS}}
    )

    async def test_run_is_not_stopped_at_the_end(self) -> None:
        # Guards against a run that is stopped for a move which its instance
        # does not live to complete.
        async with self.site() as (site, (instance,)):
            async with anyio.create_task_group() as group:
                group.start_soon(self.stream, instance)
                await self.until(lambda: self.running(site))
                (server,) = self.running(site)
                for item in site.servers.values():
                    item.faults.move_s = MOVE_S
                instance.stop()
                await anyio.sleep(DRAIN_AFTER_S)
                site.write_server_row(server.name, MODEL_BACKEND, "draining")
                await self.until(lambda: not instance.running)
                group.cancel_scope.cancel()
            (ran,) = server.journal
            self.assertFalse(ran.moved)

    async def stream(self, instance) -> None:
        await self.ask(
            instance,
            "/chat/1/stream",
            Token_Usage=f"900,{EVENTS}",
            Prefix_Hash="aa:500,bb:400",
        )

    def running(self, site) -> list:
        return [x for x in site.servers.values() if x.running]


if __name__ == "__main__":
    unittest.main()
